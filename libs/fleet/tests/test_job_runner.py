"""Jobs from submission to their end, with one or several runners."""

import asyncio

import pytest
from burdockthread_model.job import JobState
from burdockthread_model.steps import Step
from burdockthread_routing.job_ledger import JOB_PREFIX, decode_jobs, encode_jobs
from burdockthread_store.store import Change

from .job_site import desk_with_cores, new_job

JOB_STEPS = (Step.JOB_CLAIMED, Step.JOB_STARTED, Step.JOB_ENDED)


async def test_jobs_run_to_their_end(site):
    node = site.owner()
    await site.submit(new_job("a"), new_job("b"))
    await site.wait(5)
    assert set((await site.states()).values()) == {JobState.CLAIMED}
    await site.wait(25)
    jobs = await site.jobs()
    assert {job.state for job in jobs.values()} == {JobState.DONE}
    assert jobs["a"].attempt == 1
    assert jobs["a"].ended_s > jobs["a"].claimed_s
    assert site.workers.starts() == {"a": 1, "b": 1}
    assert [s for s in JOB_STEPS if s in node.steps.reached] == list(JOB_STEPS)


async def test_the_claim_is_recorded_before_the_dispatch(site):
    node = site.owner()
    seen = []

    async def record_state():
        seen.append((await site.states(), dict(site.workers.starts())))

    node.steps.actions[Step.JOB_CLAIMED] = record_state
    await site.submit(new_job("a"))
    await site.wait(2)
    assert seen == [({"a": JobState.CLAIMED}, {})]


async def test_many_jobs_take_few_writes(site):
    site.add_pool("big", 4, cores=64, memory_gb=512)
    site.owner()
    big = {"service": "org/big", "run_time_s": 5.0}
    warm = [new_job(f"warm-{n}", **big) for n in range(16)]
    await site.submit(*warm, segment="warm", service="org/big")
    await site.wait(10)
    for segment in range(4):
        team = f"team-{segment}"
        jobs = [new_job(f"{segment}-{n}", team=team, **big) for n in range(50)]
        await site.submit(*jobs, segment=f"s{segment}", service="org/big")
    before = site.store.revision
    await site.wait(15)
    assert set((await site.states()).values()) == {JobState.DONE}
    assert site.store.revision - before <= 4


async def test_a_cold_start_takes_a_few_writes_a_second(site):
    site.add_pool("big", 4, cores=64, memory_gb=512)
    site.owner()
    jobs = [
        new_job(str(n), service="org/big", run_time_s=5.0, team=f"team-{n % 4}")
        for n in range(200)
    ]
    await site.submit(*jobs, service="org/big")
    await site.clock.advance(0.25)
    before = site.store.revision
    for _ in range(15):
        await site.wait(1)
        assert site.store.revision - before <= 2
        before = site.store.revision
    assert set((await site.states()).values()) == {JobState.DONE}


@pytest.mark.parametrize("idempotent", [True, False])
@pytest.mark.parametrize("step", JOB_STEPS)
async def test_a_killed_runner_is_replaced(site, step, idempotent):
    first = site.owner()
    stop = asyncio.Event()

    async def hang():
        stop.set()
        await asyncio.Event().wait()

    first.steps.actions[step] = hang
    await site.submit(*(new_job(str(n), idempotent=idempotent) for n in range(6)))
    await site.wait(30)
    assert stop.is_set()
    await first.kill()
    site.node("entry-c").start()
    await site.wait(60)
    assert set((await site.states()).values()) == {JobState.DONE}
    assert site.most_starts() == 1


@pytest.mark.parametrize("reboot", [False, True])
@pytest.mark.parametrize("idempotent", [True, False])
@pytest.mark.parametrize("step", JOB_STEPS)
async def test_a_paused_runner_causes_no_duplicate_starts(
    site, step, idempotent, reboot
):
    first = site.owner()
    resume = asyncio.Event()
    first.steps.actions[step] = resume.wait
    await site.submit(*(new_job(str(n), idempotent=idempotent) for n in range(6)))
    await site.wait(23)
    first.pause()
    site.node("entry-c").start()
    await site.wait(5)
    if reboot:
        site.reboot("ledger-0")
    await site.wait(15)
    resume.set()
    await site.wait(90)
    jobs = await site.jobs()
    allowed = {JobState.DONE} if idempotent else {JobState.DONE, JobState.UNKNOWN}
    assert {job.state for job in jobs.values()} <= allowed
    assert site.most_starts() <= (1 if not (idempotent and reboot) else 2)


async def test_two_concurrent_runners_start_each_job_once(site):
    first, second = site.node("entry-a"), site.node("entry-b")
    for node in (first, second):
        node.runner.owned = lambda: {"org"}
        node.start()
    for segment in range(5):
        jobs = [new_job(f"{segment}-{n}", run_time_s=3.0) for n in range(10)]
        await site.submit(*jobs, segment=f"s{segment}")
    await site.wait(60)
    assert set((await site.states()).values()) == {JobState.DONE}
    assert site.most_starts() == 1
    assert len(site.workers.starts()) == 50


async def test_a_cancelled_queued_job_never_runs(site):
    node = site.owner()
    jobs = [new_job(str(n), state=JobState.CANCELLED) for n in range(3)]
    await site.submit(*jobs, new_job("a"))
    await site.wait(30)
    assert site.workers.starts() == {"a": 1}
    assert node.runner.rounds["org"].open_jobs() == []


async def test_a_task_of_a_cancelled_job_is_stopped(site):
    site.owner()
    await site.submit(new_job("a", run_time_s=500.0))
    await site.wait(3)
    found = (await site.store.list(JOB_PREFIX)).items[0]
    job = decode_jobs(found.value)[0]._replace(
        state=JobState.CANCELLED, ended_s=site.clock.wall()
    )
    await site.store.write([Change(found.key, encode_jobs([job]), found.revision)])
    await site.wait(3)
    assert not site.workers.workers[job.vm].running()
    assert (await site.states())["a"] is JobState.CANCELLED


async def test_a_placer_with_a_stale_cache_makes_no_claims(site):
    site.add_pool("ledger", 4)
    first, second = site.node("entry-a"), site.node("entry-b")
    for node in (first, second):
        node.view.organisations = {("template", "org"): desk_with_cores(5)}
        node.runner.owned = lambda: {"org"}
        node.start()
    records = dict(site.records)
    site.records.clear()
    late = [new_job(f"late-{n}", submitted_s=9.0) for n in range(5)]
    await site.submit(*late, segment="late")
    await site.wait(2)
    missed = []
    apply, second.cache.apply = second.cache.apply, missed.append
    await site.submit(*(new_job(f"early-{n}") for n in range(5)), segment="early")
    site.records.update(records)
    await site.wait(10)
    assert set(site.workers.starts()) == {f"early-{n}" for n in range(5)}
    second.cache.apply = apply
    for event in missed:
        apply(event)
    await site.wait(60)
    assert set((await site.states()).values()) == {JobState.DONE}
    assert site.most_starts() == 1


async def test_a_job_cancelled_between_claim_and_dispatch_does_not_start(site):
    node = site.owner()
    resume = asyncio.Event()
    node.steps.actions[Step.JOB_CLAIMED] = resume.wait
    await site.submit(new_job("a"))
    await site.wait(2)
    (found,) = (await site.store.list(JOB_PREFIX)).items
    (job,) = decode_jobs(found.value)
    assert job.state is JobState.CLAIMED
    job = job._replace(state=JobState.CANCELLED, ended_s=site.clock.wall())
    await site.store.write([Change(found.key, encode_jobs([job]), found.revision)])
    await site.wait(1)
    resume.set()
    await site.wait(20)
    assert not site.workers.starts()
    assert await site.states() == {"a": JobState.CANCELLED}


async def test_load_timers_and_reports_are_dropped_without_open_jobs(site):
    node = site.owner()
    await site.submit(new_job("a"))
    await site.wait(1)
    rounds = node.runner.rounds["org"]
    rounds.rules.hot_since_s["ledger-0"] = 0.0
    await site.wait(30)
    assert (await site.states())["a"] is JobState.DONE
    assert not rounds.rules.hot_since_s
    assert not rounds.table.reports
