"""A new holder confirms its copy of the registrations before it orders anything."""

import pytest
from burdockthread_model.errors import StoreUnavailableError
from burdockthread_scheduling.records import JobPhase
from burdockthread_scheduling.roster import WorkerRoster
from burdockthread_scheduling.workers import WorkerKey
from pool_site import POOL, step

DRAINING = WorkerKey("w1", 1)


class OldRoster(WorkerRoster):
    """A copy of the registrations that is as old as its last confirmation.

    Attributes:
        down: Whether the store does not answer.
    """

    def __init__(self, park):
        self.park = park
        self.down = False
        self.copy = dict(park.workers(POOL))

    def workers(self, pool):
        return self.copy

    def changed(self):
        return self.park.changed()

    async def confirm(self):
        if self.down:
            raise StoreUnavailableError("no answer")
        self.copy = dict(self.park.workers(POOL))


@pytest.fixture
def roster(site):
    """A copy from before a worker reported that it is draining."""
    for worker_id in ("w1", "w2"):
        site.park.add(worker_id, POOL)
    found = OldRoster(site.park)
    worker = site.park.by_key[DRAINING]
    worker.listing = worker.listing._replace(draining=True)
    return found


# Guards against starts on a worker that has long been draining: an entry without duties
# does not follow the registrations, and used its old copy once it held a pool.
async def test_new_holder_starts_nothing_on_a_worker_that_has_been_draining(
    site, roster
):
    await site.holder(roster=roster)
    job = await site.submit(step(8))
    await site.until(lambda: site.phase(job) is JobPhase.COMPLETED)
    assert DRAINING not in {run.worker for run in site.runs(job)}


async def test_new_holder_waits_for_a_store_that_does_not_confirm(site, roster):
    roster.down = True
    await site.holder(roster=roster)
    job = await site.submit(step(8))
    await site.pass_time(2.0)
    assert site.runs(job) == []
    roster.down = False
    await site.until(lambda: site.phase(job) is JobPhase.COMPLETED)
