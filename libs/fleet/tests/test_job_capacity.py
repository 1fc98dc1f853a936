"""Capacity for jobs: spare pool, displacement, quotas and actual usage."""

import pytest
from burdockthread_model.job import JobState
from burdockthread_model.request import RequestClass

from .job_site import SERVICE, desk_with_cores, fill, new_job, start_delays, urgent


async def test_an_urgent_job_borrows_from_the_spare_pool(site):
    site.add_pool("spare", 1, spare=True)
    site.owner()
    await fill(site, SERVICE, 30, memory_gb=0.1)
    (delay_s,) = await start_delays(site, [urgent("u")], 10)
    assert delay_s <= 7.1
    assert (await site.jobs())["u"].vm == "spare-0"
    assert "checkpoint" not in " ".join(site.workers.orders)


@pytest.mark.parametrize("lag_s", [0.0, 5.0])
async def test_urgent_jobs_displace_when_every_pool_is_full(site, lag_s):
    site.add_pool("spare", 2, spare=True)
    for worker in site.workers.workers.values():
        worker.faults.report_lag_s = lag_s
    site.owner()
    await fill(site, SERVICE, 30, memory_gb=0.1)
    await fill(
        site, "org/spare", 30, memory_gb=0.1, request_class=RequestClass.DEFERRED
    )
    jobs = [urgent(f"u{n}", team=f"team-{n}", run_time_s=60.0) for n in range(4)]
    assert max(await start_delays(site, jobs, 20)) <= 7.1
    states = await site.states()
    displaced = [name for name, s in states.items() if s is JobState.CHECKPOINTED]
    assert displaced
    assert not {JobState.UNKNOWN, JobState.FAILED} & set(states.values())
    await site.wait(1_500)
    assert set((await site.states()).values()) == {JobState.DONE}


async def test_a_job_displaces_nothing_on_a_vm_where_it_failed(site):
    node = site.owner()
    deferred = RequestClass.DEFERRED
    await fill(site, SERVICE, 30, memory_gb=0.1, request_class=deferred)
    node.runner.rounds["org"].quarantine.failed_on["u"].add("ledger-0")
    (delay_s,) = await start_delays(site, [urgent("u")], 10)
    assert delay_s <= 7.1
    assert (await site.jobs())["u"].vm == "ledger-1"


async def test_a_job_that_cannot_run_is_parked_until_it_can(site):
    site.owner()
    await site.submit(new_job("large", cores=20.0), new_job("small"))
    await site.submit(
        new_job("lost", service="org/gone"), segment="s2", service="org/gone"
    )
    await site.wait(5)
    jobs = await site.jobs()
    assert jobs["large"].state is JobState.PARKED
    assert "20 cores" in jobs["large"].reason
    assert jobs["lost"].state is JobState.QUEUED
    site.add_pool("huge", 1, cores=64)
    site.services[SERVICE] = site.services[SERVICE]._replace(pool="org/huge")
    await site.wait(40)
    assert (await site.states())["large"] is JobState.DONE


async def test_memory_is_relieved_when_declarations_are_ten_times_too_small(site):
    for worker in site.workers.workers.values():
        worker.faults.size_factor = 10.0
        worker.faults.report_lag_s = 2.0
    site.owner()
    jobs = [
        new_job(str(n), cores=0.1, memory_gb=0.3, run_time_s=6.0) for n in range(40)
    ]
    await site.submit(*jobs)
    over_s = 0.0
    for _ in range(1_200):
        await site.clock.advance(0.5)
        for worker in site.workers.workers.values():
            used_gb = sum(task.size.memory_gb for task in worker.running())
            over_s += 0.5 * (used_gb > 16)
    assert set((await site.states()).values()) == {JobState.DONE}
    assert over_s <= 10


async def test_a_quota_holds_with_two_runners_at_once(site):
    site.add_pool("wide", 4, cores=32, memory_gb=64)
    for name in ("entry-a", "entry-b"):
        node = site.node(name)
        node.view.organisations = {("template", "org"): desk_with_cores(10)}
        node.runner.owned = lambda: {"org"}
        node.start()
    for segment in range(10):
        service = "org/wide" if segment % 2 else SERVICE
        jobs = [
            new_job(f"{segment}-{n}", service=service, run_time_s=10.0)
            for n in range(5)
        ]
        await site.submit(*jobs, segment=f"s{segment}", service=service)
    most = 0
    for _ in range(180):
        await site.clock.advance(0.5)
        running = [w.running() for w in site.workers.workers.values()]
        most = max(most, sum(len(tasks) for tasks in running))
    assert most == 10
    assert set((await site.states()).values()) == {JobState.DONE}


async def test_the_least_urgent_class_never_starves(site):
    site.owner()
    jobs = [
        new_job(
            f"{request_class}-{n}",
            request_class=request_class,
            team=f"team-{n % 4}",
            run_time_s=4.0,
            memory_gb=0.1,
        )
        for request_class in (RequestClass.URGENT, RequestClass.DEFERRED)
        for n in range(200)
    ]
    await site.submit(*jobs)
    await site.wait(30)
    done = [name for name, s in (await site.states()).items() if s is JobState.DONE]
    urgent_done = sum(name.startswith("urgent") for name in done)
    deferred_done = len(done) - urgent_done
    assert deferred_done >= 0.05 * len(done)
    assert urgent_done >= 0.5 * len(done)


async def test_a_standard_job_displaces_deferred_jobs_after_waiting(site):
    site.owner()
    await fill(site, SERVICE, 30, memory_gb=0.1, request_class=RequestClass.DEFERRED)
    job = new_job("s", cores=2.0, submitted_s=site.clock.wall())
    (delay_s,) = await start_delays(site, [job], 10)
    assert 3.0 <= delay_s <= 7.1


async def test_urgent_work_starts_although_a_worker_does_not_answer(site):
    site.owner()
    await fill(site, SERVICE, 30, memory_gb=0.1)
    site.workers.workers["ledger-0"].faults.paused = True
    jobs = [urgent(f"u{n}", team=f"team-{n}") for n in range(2)]
    assert max(await start_delays(site, jobs, 12)) <= 7.1
