"""An unexpected error with one worker leaves the others and the pool at work."""

import pytest
from burdockthread_scheduling.memory_runs import TaskNature
from burdockthread_scheduling.records import JobPhase
from burdockthread_scheduling.workers import WorkerGateway, WorkerKey
from pool_site import POOL, step

ODD = WorkerKey("w-odd", 1)
CALLS = ("hold", "start", "stop", "pace")


class OddWorkerGateway(WorkerGateway):
    """Raises an unexpected error in some calls to one worker.

    Attributes:
        broken: Names of the calls that raise.
    """

    def __init__(self, gateway, *broken):
        self.gateway = gateway
        self.broken = set(broken)

    async def call(self, name, worker, *order):
        if worker.key == ODD and name in self.broken:
            raise UnicodeError("label too long")
        return await getattr(self.gateway, name)(worker, *order)

    async def hold(self, worker, *order):
        return await self.call("hold", worker, *order)

    async def start(self, worker, *order):
        return await self.call("start", worker, *order)

    async def stop(self, worker, *order):
        return await self.call("stop", worker, *order)

    async def pace(self, worker, *order):
        return await self.call("pace", worker, *order)

    async def close(self):
        await self.gateway.close()


@pytest.fixture
def park(site):
    for worker_id in (ODD.worker_id, "w2", "w3"):
        site.park.add(worker_id, POOL)
    return site.park


# Guards against a pool that is given up, again and again, for an error in the calls to
# a single worker.
@pytest.mark.parametrize("name", CALLS)
async def test_pool_goes_on_when_calls_to_one_worker_raise(site, park, name):
    holder = await site.holder(gateway=OddWorkerGateway(park, name))
    job = await site.submit(step(40), nature=TaskNature(duration_s=0.5))
    await site.until(lambda: site.phase(job) is JobPhase.COMPLETED)
    assert not holder.core.lost


# The same for a start whose outcome is unknown: the run is stopped before it is
# repeated elsewhere.
async def test_start_that_raises_after_it_took_effect_is_not_repeated_at_once(
    site, park
):
    gateway = OddWorkerGateway(park)
    await site.holder(gateway=gateway)
    start = gateway.start

    async def start_and_raise(worker, *order):
        answer = await start(worker, *order)
        if worker.key == ODD:
            raise UnicodeError("the answer cannot be read")
        return answer

    gateway.start = start_and_raise
    job = await site.submit(step(40), nature=TaskNature(duration_s=0.5))
    await site.until(lambda: site.phase(job) is JobPhase.COMPLETED)


# Guards against a report whose processing fails.
async def test_pool_goes_on_when_the_report_of_one_worker_cannot_be_processed(
    site, park
):
    holder = await site.holder()
    process = holder.reports.on_running

    def fail_for_one(worker, run, clock_ms):
        if worker.listing.key == ODD:
            raise KeyError(run.task)
        process(worker, run, clock_ms)

    holder.reports.on_running = fail_for_one
    job = await site.submit(step(40), nature=TaskNature(duration_s=0.5))
    await site.until(lambda: site.phase(job) is JobPhase.COMPLETED)
    assert not holder.core.lost
