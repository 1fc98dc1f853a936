"""Cancels of jobs whose submissions are still under way."""

import asyncio

import pytest
from burdockthread_model.errors import NotFoundError, StoreUnavailableError
from burdockthread_scheduling.desk import JobDesk, NoJobError
from burdockthread_scheduling.intake import JobIntake
from burdockthread_scheduling.job_index import JobIndex
from burdockthread_scheduling.records import SHARED_PREFIX, JobPhase
from burdockthread_scheduling.specs import JobSpec
from burdockthread_scheduling.store_contact import StoreContact
from burdockthread_store.faulty_store import FaultyStore
from burdockthread_store.prefix_cache import PrefixCache
from burdockthread_store.settled_store import SettledStore
from pool_site import POOL, QUEUE, step

JOB = "00000000000000aa"
SPEC = JobSpec(JOB, QUEUE, "text", (step(),), accepted_ms=1)


class OtherEntry:
    """An entry with a connection of its own to the store of a site.

    Its copy of the store is not followed, so that it reads what it has to know.
    """

    def __init__(self, site):
        self.site = site
        self.faulty = FaultyStore(site.memory, site.clock)
        store = SettledStore(self.faulty, "other", site.clock, site.metrics)
        cache = PrefixCache(store, SHARED_PREFIX, site.clock)
        self.index = JobIndex(cache, store, site.clock, site.log)
        contact = StoreContact(site.clock, site.clock.now)
        self.intake = JobIntake(
            store, self.index, contact, site.clock, site.metrics, site.log
        )
        self.desk = JobDesk(
            None, self.index, self.intake, site.clock, site.metrics, site.log
        )

    def lose_store_with_next_write(self):
        """Makes the next write late, and the store unreachable from then on."""
        write = self.faulty.write

        async def write_late(changes, guards=()):
            self.faulty.write = write
            self.faulty.set_faults({"late_write_s": 3.0})
            try:
                return await write(changes, guards)
            finally:
                self.faulty.set_faults({"down": True})

        self.faulty.write = write_late

    async def finish(self, work, seconds=1.0):
        """Lets time pass and returns the outcome of the work."""
        task = asyncio.create_task(work)
        await self.site.pass_time(seconds)
        return await task


@pytest.fixture
def other(site):
    return OtherEntry(site)


async def test_submission_under_way_does_not_store_a_cancelled_job(site, other):
    """A cancel answered with "no such job", and the job ran on."""
    submitting = asyncio.create_task(other.intake.submit(SPEC, POOL))
    other.lose_store_with_next_write()
    await site.pass_time(0.1)
    assert other.faulty.late_writes
    with pytest.raises(NotFoundError):
        await other.finish(site.intake.cancel(JOB))
    await site.pass_time(4.0)
    other.faulty.set_faults({"down": False})
    await site.pass_time(2.0)
    with pytest.raises((NotFoundError, StoreUnavailableError)):
        await submitting
    assert site.phase(JOB) is JobPhase.WITHDRAWN
    assert f"work/{POOL}/{JOB}" not in {
        item.key for item in (await site.memory.list("work/")).items
    }


async def test_submission_passed_on_later_does_not_store_a_cancelled_job(site, other):
    with pytest.raises(NotFoundError):
        await other.finish(other.intake.cancel(JOB))
    with pytest.raises(NotFoundError):
        await other.finish(site.intake.submit(SPEC, POOL))


async def test_job_stored_before_its_cancel_is_cancelled(site, other):
    """The record of the cancel must not replace that of the job."""
    write = other.intake.write_withdrawal

    async def write_after_the_job(job_id):
        other.intake.write_withdrawal = write
        await site.intake.submit(SPEC, POOL)
        await write(job_id)

    other.intake.write_withdrawal = write_after_the_job
    await other.finish(other.intake.cancel(JOB))
    assert site.phase(JOB) is JobPhase.CANCELLED


async def test_withdrawn_job_is_shown_as_none(site, other):
    """Nobody has submitted it, as far as an entry can tell."""
    for _ in range(2):
        with pytest.raises(NoJobError):
            await other.finish(other.desk.cancel(JOB, 3.0))
        with pytest.raises(NoJobError):
            await other.finish(other.desk.state(JOB, 3.0))
    assert site.index.waiting(QUEUE) == 0
    assert not site.index.open_pools()


async def test_cancel_that_could_not_be_recorded_is_not_confirmed(site, other):
    """Without the record the job may still be stored."""
    other.faulty.set_faults({"down": True})
    with pytest.raises(StoreUnavailableError):
        await other.finish(other.intake.cancel(JOB))
    await site.submit()
    assert await other.finish(site.intake.submit(SPEC, POOL)) is None
