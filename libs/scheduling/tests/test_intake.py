"""Acceptance of jobs when the store fails or a record is unreadable."""

import asyncio

import pytest
from burdockthread_model.errors import StoreUnavailableError, StoreUnknownError
from burdockthread_scheduling.desk import JobDesk, NotReadyError
from burdockthread_scheduling.intake import (
    LATE_WRITE_S,
    MAX_JOBS_PER_WRITE,
    MAX_WRITES_AT_ONCE,
)
from burdockthread_scheduling.job_index import ShownState
from burdockthread_scheduling.records import JobPhase, job_key
from burdockthread_scheduling.specs import JobSpec
from burdockthread_scheduling.store_contact import STORE_SILENT_S
from burdockthread_store.store import ANY_REVISION, Change
from pool_site import POOL, QUEUE, step

JOB = "00000000000000aa"


def job(job_id):
    """A job of one task."""
    return JobSpec(job_id, QUEUE, "text", (step(),), accepted_ms=1)


async def submitted(site, job_id, seconds=1.0):
    """Submits a job and lets time pass; returns the submission."""
    waiting = asyncio.create_task(site.intake.submit(job(job_id), POOL))
    await site.pass_time(seconds)
    return waiting


# Guards against an unexpected error that ends the writer task: the jobs of its
# batch, waiting jobs and all retries would never be answered.
async def test_submission_with_an_unreadable_record_is_answered(site):
    await site.memory.write([Change(job_key(JOB), b"broken", ANY_REVISION)])
    waiting = await submitted(site, JOB)
    assert waiting.done()
    with pytest.raises(StoreUnknownError):
        await waiting
    assert site.intake.unsettled == {}
    other = await submitted(site, "00000000000000bb")
    assert other.done()
    assert site.phase("00000000000000bb") is JobPhase.ACCEPTED


async def test_submission_that_did_not_reach_the_store_is_refused(site):
    site.faulty.set_faults({"down": True})
    waiting = await submitted(site, JOB)
    with pytest.raises(StoreUnavailableError):
        await waiting


# Guards against a refusal as not stored of a job that another entry has stored.
async def test_job_that_may_be_stored_already_is_not_refused(site):
    await submitted(site, JOB)
    site.index.forget(JOB)
    get = site.intake.store.store.get

    async def without_an_answer(key):
        if key == job_key(JOB):
            raise StoreUnavailableError("no answer")
        return await get(key)

    site.intake.store.store.get = without_an_answer
    waiting = await submitted(site, JOB)
    with pytest.raises(StoreUnknownError):
        await waiting


# Guards against wrong counts of open jobs; a pool has a holder while it has any.
async def test_open_jobs_are_counted_until_they_end_or_are_gone(site):
    other = "00000000000000bb"
    for job_id in (JOB, other):
        await submitted(site, job_id)
        await submitted(site, job_id)
    assert site.index.open_jobs[POOL] == 2
    await site.intake.cancel(JOB)
    await site.pass_time(0.5)
    assert site.index.open_jobs[POOL] == 1
    assert site.index.open_pools() == {POOL}
    site.index.forget(other)
    site.index.forget(other)
    assert site.index.open_pools() == set()


# Guards against submissions that wait for their deadline while the store is known to
# be silent.
async def test_submission_without_contact_is_refused_at_once(site):
    site.store_silent_s = STORE_SILENT_S
    waiting = await submitted(site, JOB, 0.0)
    with pytest.raises(StoreUnavailableError):
        await waiting
    assert site.phase(JOB) is None


async def test_stored_job_is_confirmed_without_contact(site):
    await submitted(site, JOB)
    site.store_silent_s = STORE_SILENT_S
    waiting = await submitted(site, JOB, 0.0)
    await waiting


# Guards against submissions answered as unsettled of which nothing was sent.
async def test_submissions_that_wait_for_a_writer_are_refused(site):
    jobs = [f"{n:016x}" for n in range(MAX_JOBS_PER_WRITE * MAX_WRITES_AT_ONCE + 1)]
    site.faulty.set_faults({"slow_s": 60.0})
    waiting = [asyncio.create_task(site.intake.submit(job(j), POOL)) for j in jobs]
    await site.pass_time(0.1)
    assert len(site.intake.waiting) == 1
    site.intake.refuse_unsent()
    with pytest.raises(StoreUnavailableError):
        await waiting[-1]
    assert not any(task.done() for task in waiting[:-1])
    for task in waiting:
        task.cancel()


async def outcome(site, work):
    """Lets time pass and returns the outcome of the work."""
    task = asyncio.create_task(work)
    await site.pass_time(1.0)
    return await task


# Guards against a refusal of a later attempt while the first one's write is under way.
async def test_write_given_up_without_an_outcome_counts_as_under_way(site):
    async def write(changes, guards=()):
        raise StoreUnknownError("no outcome")

    site.intake.store.write = write
    with pytest.raises(StoreUnknownError):
        await outcome(site, site.intake.submit(job(JOB), POOL))
    assert site.intake.is_unsettled(JOB)
    site.store_silent_s = STORE_SILENT_S
    with pytest.raises(StoreUnknownError):
        await outcome(site, site.intake.submit(job(JOB), POOL))
    await site.pass_time(LATE_WRITE_S)
    assert not site.intake.is_unsettled(JOB)
    with pytest.raises(StoreUnavailableError):
        await outcome(site, site.intake.submit(job(JOB), POOL))


# Guards against "no such job" for one that is about to be stored.
async def test_job_that_is_being_stored_is_not_shown_as_none(site):
    desk = JobDesk(None, site.index, site.intake, site.clock, site.metrics, site.log)
    site.faulty.set_faults({"slow_s": 0.5})
    storing = asyncio.create_task(site.intake.submit(job(JOB), POOL))
    await site.pass_time(0.1)
    site.faulty.set_faults({"slow_s": 0.0})
    with pytest.raises(NotReadyError):
        await outcome(site, desk.state(JOB, 3.0))
    await storing
    assert await outcome(site, desk.state(JOB, 3.0)) is ShownState.QUEUED
