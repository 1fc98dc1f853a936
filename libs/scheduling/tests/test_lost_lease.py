"""A holder whose lease has expired does not conclude from silence that runs ended.

The pattern: the holder's lease at the store runs out while it cannot reach a worker.
Its successor can, renews the lease of the runs there and takes note of their ends, but
has not reached another worker yet, which still accepts orders of the first holder.
"""

import pytest
from burdockthread_scheduling.memory_runs import TaskNature
from burdockthread_scheduling.records import JobPhase
from burdockthread_scheduling.workers import WorkerGateway, WorkerKey, WorkerSilentError
from pool_site import POOL, step

ONE, TWO = WorkerKey("w1", 1), WorkerKey("w2", 1)
LONG = TaskNature(duration_s=9.0)


class CutGateway(WorkerGateway):
    """The orders of one entry, which reach all workers but those in `cut`."""

    def __init__(self, site):
        self.site = site
        self.cut = set()

    async def send(self, name, worker, *order):
        if worker.key.worker_id in self.cut:
            await self.site.clock.sleep(order[-1])
            raise WorkerSilentError("the link is cut")
        return await getattr(self.site.park, name)(worker, *order)

    async def start(self, worker, *order):
        return await self.send("start", worker, *order)

    async def stop(self, worker, *order):
        return await self.send("stop", worker, *order)

    async def pace(self, worker, *order):
        return await self.send("pace", worker, *order)

    async def hold(self, worker, *order):
        return await self.send("hold", worker, *order)

    async def close(self):
        await self.site.park.close()


class Overlap:
    """Two holders of a pool, each cut off from one of two workers.

    Attributes:
        first, second: Gateways of the two entries.
        lease_left_s: What is left of the first entry's lease.
    """

    def __init__(self, site):
        self.site = site
        self.first = CutGateway(site)
        self.second = CutGateway(site)
        self.lease_left_s = 2.0

    async def begin(self, *steps, nature=LONG):
        """Starts a job on the first worker, then cuts the first holder off."""
        site = self.site
        site.park.add("w1", POOL)
        self.holder = await site.holder(
            gateway=self.first, lease_left=lambda: self.lease_left_s
        )
        await site.pass_time(0.5)
        job = await site.submit(*steps, nature=nature)
        await site.until(lambda: site.runs(job))
        site.park.add("w2", POOL)
        await site.pass_time(0.5)
        self.lease_left_s = -1.0
        self.first.cut, self.second.cut = {"w1"}, {"w2"}
        await site.holder("entry-2", "process-2", gateway=self.second)
        return job

    def end(self):
        """Heals all links."""
        self.first.cut, self.second.cut = set(), set()


@pytest.fixture
def overlap(site):
    return Overlap(site)


# Guards against two runs of a task at once: the first holder takes the leases on a
# worker that it cannot reach for expired, though its successor has renewed them.
@pytest.mark.parametrize("fields", [{}, {"lasting": True}, {"gang": True}], ids=str)
async def test_leases_that_the_successor_renews_have_not_expired(site, overlap, fields):
    job = await overlap.begin(step(1, **fields))
    await site.pass_time(5.0)
    assert len(site.runs(job)) == 1


# Guards against a start after an end that the successor has taken note of.
async def test_task_that_succeeded_at_the_successor_is_not_started_again(site, overlap):
    job = await overlap.begin(step(1), nature=TaskNature(duration_s=2.0))
    await site.pass_time(5.0)
    assert len(site.runs(job)) == 1


# The same where the worker is gone after the successor took note of the end.
@pytest.mark.parametrize("born_ms", [None, 2], ids=["ended", "restarted"])
async def test_task_that_succeeded_on_a_worker_that_ended_is_not_started_again(
    site, overlap, born_ms
):
    job = await overlap.begin(step(1), nature=TaskNature(duration_s=2.0))
    await site.pass_time(2.5)
    site.park.remove(ONE)
    if born_ms is not None:
        site.park.add("w1", POOL, born_ms=born_ms)
    overlap.first.cut, overlap.second.cut = set(), {"w1", "w2"}
    await site.pass_time(3.0)
    assert len(site.runs(job)) == 1


# A holder that becomes certain again repeats the runs that have really expired.
async def test_runs_that_expired_are_repeated_once_the_lease_is_certain(site, overlap):
    site.park.add("w1", POOL)
    await site.holder(gateway=overlap.first, lease_left=lambda: overlap.lease_left_s)
    await site.pass_time(0.5)
    job = await site.submit(step(1), nature=TaskNature(duration_s=2.0))
    site.park.add("w2", POOL)
    await site.pass_time(0.5)
    overlap.lease_left_s = -1.0
    overlap.first.cut = {"w1"}
    await site.pass_time(5.0)
    assert len(site.runs(job)) == 1
    overlap.lease_left_s = 2.0
    await site.until(lambda: site.phase(job) is JobPhase.COMPLETED, seconds=8.0)
    assert [run.worker for run in site.runs(job)] == [ONE, TWO]


# Guards against a lease that is longer than the next holder assumes: the clock of the
# worker is slow and was read long before the start.
async def test_lease_on_a_slow_clock_ends_when_the_next_holder_expects(site, overlap):
    worker = site.park.add("w1", POOL)
    worker.clock_rate = 0.98
    first = await site.holder()
    await site.pass_time(100.0)
    job = await site.submit(step(1), nature=LONG)
    await site.until(lambda: site.runs(job))
    await site.kill(first)
    site.park.add("w2", POOL)
    site.processes["entry-1"] = "process-2"
    overlap.second.cut = {"w1"}
    await site.holder("entry-2", "process-2", gateway=overlap.second)
    await site.until(lambda: len(site.runs(job)) > 1)
    site.park.running()
