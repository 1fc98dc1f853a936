"""Jobs on workers that fail, reboot or do not answer."""

import asyncio

import pytest
from burdockthread_fleet.worker_client import TaskRefusedError
from burdockthread_model.job import JobState
from burdockthread_model.vm import VmState

from .job_site import new_job


async def test_lost_answers_of_workers_start_nothing_twice(site):
    site.owner()
    for worker in site.workers.workers.values():
        worker.faults.loses_answers = True
    await site.submit(*(new_job(str(n)) for n in range(6)))
    await site.wait(60)
    assert set((await site.states()).values()) == {JobState.DONE}
    assert site.most_starts() == 1


async def test_idempotent_jobs_of_a_lost_worker_are_queued_after_lease_expiry(site):
    site.owner()
    job = new_job("a", idempotent=True, run_time_s=200.0)
    await site.submit(job, new_job("b", run_time_s=200.0))
    await site.wait(3)
    for name in ("a", "b"):
        vm = (await site.jobs())[name].vm
        site.workers.workers[vm].faults.paused = True
    paused_s = site.clock.now()
    site.add_pool("ledger", 4)
    for vm in ("ledger-0", "ledger-1"):
        site.workers.workers[vm].faults.paused = True
    while (await site.states())["a"] is not JobState.QUEUED:
        await site.clock.advance(0.5)
        assert site.clock.now() < paused_s + 300
        if site.workers.starts()["a"] > 0:
            break
    assert site.clock.now() - paused_s > 30.0
    await site.wait(10)
    states = await site.states()
    assert states["b"] is JobState.UNKNOWN
    assert (await site.jobs())["a"].attempt == 2


async def test_a_reboot_makes_a_job_unknown_that_is_not_idempotent(site):
    site.owner()
    await site.submit(new_job("a", run_time_s=100.0))
    await site.wait(3)
    site.reboot((await site.jobs())["a"].vm)
    await site.wait(30)
    job = (await site.jobs())["a"]
    assert job.state is JobState.UNKNOWN
    assert job.reason
    assert site.most_starts() == 1


async def test_failing_report_reads_end_no_tasks(site):
    site.owner()
    await site.submit(*(new_job(str(n), run_time_s=90.0) for n in range(4)))
    await site.wait(3)

    async def fail(pool):
        raise TimeoutError

    reports, site.workers.reports = site.workers.reports, fail
    await site.wait(60)
    site.workers.reports = reports
    await site.wait(40)
    assert set((await site.states()).values()) == {JobState.DONE}
    assert site.most_starts() == 1


async def test_failing_jobs_that_are_not_idempotent_fail_no_round(site):
    site.owner()
    for worker in site.workers.workers.values():
        worker.faults.failing_payloads.add("poison")
    jobs = [new_job(str(n), payload="poison") for n in range(6)]
    await site.submit(*jobs, new_job("good"))
    await site.wait(40)
    states = await site.states()
    assert states.pop("good") is JobState.DONE
    assert set(states.values()) == {JobState.FAILED}
    assert site.metrics.counters["jobs.rounds_failed"] == 0


async def test_tasks_leave_a_draining_vm_without_loss(site):
    site.owner()
    await site.submit(*(new_job(str(n), run_time_s=100.0) for n in range(4)))
    await site.wait(50)
    vm = "ledger-0"
    assert site.workers.workers[vm].running()
    site.records[vm] = site.records[vm]._replace(state=VmState.DRAINING)
    await site.wait(5)
    assert not site.workers.workers[vm].running()
    await site.wait(70)
    jobs = await site.jobs()
    assert {job.state for job in jobs.values()} == {JobState.DONE}
    assert {job.vm for job in jobs.values()} == {"ledger-1"}


async def test_a_stale_generation_is_refused_and_placed_again(site):
    site.owner()
    site.workers.workers["ledger-0"].generation = 2
    site.workers.workers["ledger-1"].pool = "org/other"
    await site.submit(new_job("a"))
    await site.wait(20)
    assert not site.workers.starts()
    assert (await site.jobs())["a"].state in (JobState.QUEUED, JobState.CLAIMED)
    site.records["ledger-0"] = site.records["ledger-0"]._replace(generation=2)
    await site.wait(40)
    assert (await site.states())["a"] is JobState.DONE


async def test_a_worker_that_fails_everything_gets_few_jobs(site):
    site.add_pool("many", 4)
    site.workers.workers["many-0"].faults.fails_everything = True
    node = site.owner()
    jobs = [
        new_job(str(n), service="org/many", idempotent=True, run_time_s=10.0)
        for n in range(100)
    ]
    await site.submit(*jobs, service="org/many")
    await site.wait(55)
    assert sum(site.workers.workers["many-0"].starts.values()) <= 4
    assert "many-0" in node.runner.quarantined_workers()
    site.workers.workers["many-0"].faults.fails_everything = False
    await site.wait(10)
    late = [job._replace(job_id=f"late-{job.job_id}") for job in jobs]
    await site.submit(*late, service="org/many", segment="late")
    await site.wait(100)
    assert set((await site.states()).values()) == {JobState.DONE}
    assert node.runner.quarantined_workers() == {}
    assert site.metrics.counters["jobs.workers_reinstated"] == 1


async def test_an_idle_worker_with_failures_gets_one_job_at_a_time(site):
    node = site.owner()
    site.records["ledger-1"] = site.records["ledger-1"]._replace(state=VmState.DRAINING)
    await site.wait(1)
    quarantine = node.runner.rounds["org"].quarantine
    for name in "abcd":
        quarantine.fail("elsewhere", name, 0.0)
        quarantine.fail("ledger-0", name, 0.0)
    quarantine.until_s.clear()
    for name in "abcd":
        quarantine.failed_on[name] = {"elsewhere", "ledger-0"}
    assert quarantine.failures["ledger-0"] == set("abcd")
    await site.submit(new_job("x"), new_job("y"))
    await site.wait(5)
    assert len(site.workers.starts()) == 1
    await site.wait(60)
    assert set((await site.states()).values()) == {JobState.DONE}


async def test_a_job_failing_everywhere_is_parked_without_a_quarantine(site):
    site.add_pool("many", 4)
    for worker in site.workers.workers.values():
        worker.faults.failing_payloads.add("poison")
    node = site.owner()
    jobs = [
        new_job(str(n), service="org/many", idempotent=True, payload=payload)
        for n, payload in enumerate(["poison"] + ["{}"] * 20)
    ]
    await site.submit(*jobs, service="org/many")
    await site.wait(150)
    jobs = await site.jobs()
    assert jobs["0"].state is JobState.PARKED
    assert "several workers" in jobs["0"].reason
    assert jobs["0"].attempt == 3
    assert {job.state for name, job in jobs.items() if name != "0"} == {JobState.DONE}
    assert node.runner.quarantined_workers() == {}


async def test_leases_are_renewed_in_one_order_for_each_worker(site):
    site.owner()
    await site.submit(*(new_job(str(n), run_time_s=90.0) for n in range(10)))
    await site.wait(60)
    renewals = [o for o in site.workers.orders if o.startswith("renew")]
    assert len(renewals) <= 2 * 7
    assert any(order.startswith("renew 4") for order in renewals)


async def test_a_start_delivered_after_a_reboot_is_refused(site):
    first = site.owner()
    start = site.workers.start
    held = []

    async def hold(vm, task):
        held.append((vm, task))
        await asyncio.Event().wait()

    site.workers.start = hold
    await site.submit(new_job("a", run_time_s=100.0))
    await site.wait(2)
    ((vm, task),) = held
    await first.kill()
    site.workers.start = start
    site.node("entry-c").start()
    await site.wait(10)
    assert site.workers.starts() == {"a": 1}
    site.reboot(vm)
    with pytest.raises(TaskRefusedError):
        await start(vm, task)
    await site.wait(60)
    assert site.workers.starts() == {"a": 1}
    assert (await site.states())["a"] is JobState.UNKNOWN
