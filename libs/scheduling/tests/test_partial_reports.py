"""Reports that list only a part of what a worker or a pool has."""

import pytest
from burdockthread_scheduling.job_index import ShownState
from burdockthread_scheduling.memory_runs import TaskNature
from burdockthread_scheduling.memory_workers import MAX_LISTED
from burdockthread_scheduling.records import JobPhase
from burdockthread_scheduling.workers import Capacity
from pool_site import POOL, QUEUE, step

TASKS = MAX_LISTED + 200
SMALL = {"cpu_milli": 10, "memory_mb": 1, "estimated_ms": 4_000}
NATURE = TaskNature(duration_s=4.0, size=Capacity(10, 1))
LASTING = NATURE._replace(duration_s=float("inf"))


@pytest.fixture
async def unstored(site):
    """A job whose tasks have all ended while the store was down."""
    worker = site.park.add("w1", POOL)
    first = await site.holder()
    job = await site.submit(step(TASKS, **SMALL), nature=NATURE)
    await site.until(lambda: len(site.runs(job)) == TASKS)
    site.faulty.set_faults({"down": True})
    await site.until(lambda: len(worker.ended) == TASKS)
    await site.kill(first)
    site.faulty.set_faults({"down": False})
    return job


async def test_tasks_among_ends_not_listed_yet_do_not_start_again(site, unstored):
    """A new holder took the oldest ends of a worker for all of them."""
    await site.holder("entry-2", "process-2")
    await site.until(lambda: site.phase(unstored) is JobPhase.COMPLETED)
    assert len(site.runs(unstored)) == TASKS


async def test_ends_not_listed_yet_outlast_the_wait_for_leases(
    site, unstored, monkeypatch
):
    """The wait ended by time, although the new holder had kept the leases."""
    monkeypatch.setattr("burdockthread_scheduling.progress_writer.BATCH_DELAY_S", 0.3)
    second = await site.holder("entry-2", "process-2")
    await site.until(lambda: second.loaded)
    site.faulty.set_faults({"down": True})
    await site.pass_time(16.0)
    assert second.workers.assignment.unreached
    site.faulty.set_faults({"down": False})
    await site.until(lambda: site.phase(unstored) is JobPhase.COMPLETED)
    assert len(site.runs(unstored)) == TASKS


async def test_run_missing_among_many_is_started_again(site):
    """A long list of runs was taken for a part of them, so that none was missed."""
    worker = site.park.add("w1", POOL)
    await site.holder()
    job = await site.submit(
        step(MAX_LISTED + 50, lasting=True, **SMALL), nature=LASTING
    )
    await site.until(lambda: len(worker.runs) == MAX_LISTED + 50)
    await site.pass_time(1.0)
    _, run = worker.runs.popitem()
    site.park.audit.replace_record(worker.listing, run, site.clock.now(), None)
    await site.until(lambda: len(site.runs(job)) == MAX_LISTED + 51, seconds=3.0)


async def test_jobs_that_a_report_leaves_out_count_as_waiting(site, monkeypatch):
    """Beyond the jobs that a report lists, others took waiting jobs for running."""
    monkeypatch.setattr(
        "burdockthread_scheduling.progress_writer.MAX_REPORTED_UNSTARTED", 3
    )
    await site.holder()
    jobs = [await site.submit() for _ in range(8)]
    await site.pass_time(3.0)
    assert site.index.waiting(QUEUE) == len(jobs)
    shown = {site.index.shown_state(job, site.index.jobs[job]) for job in jobs}
    assert shown == {ShownState.QUEUED}


async def test_jobs_that_run_do_not_count_as_left_out(site, monkeypatch):
    """The report tells how many it leaves out, not which."""
    monkeypatch.setattr(
        "burdockthread_scheduling.progress_writer.MAX_REPORTED_UNSTARTED", 1
    )
    site.park.add("w1", POOL, Capacity(2_000, 4_096))
    await site.holder()
    for _ in range(5):
        await site.submit(nature=LASTING)
    await site.pass_time(3.0)
    assert site.index.waiting(QUEUE) == 3
