"""A holder that is cut off from the store while the next one takes its pool over."""

import pytest
from burdockthread_scheduling.memory_runs import TaskNature
from burdockthread_scheduling.records import JobPhase
from burdockthread_scheduling.workers import EndKind, WorkerGateway, WorkerSilentError
from burdockthread_store.faulty_store import FaultyStore
from burdockthread_store.settled_store import SettledStore
from pool_site import POOL, step

FOREVER = float("inf")
WORKERS = ("w1", "w2", "w3")


class DeafGateway(WorkerGateway):
    """Gateway of an entry that does not reach some of the workers.

    Attributes:
        unreached: Ids of these workers.
    """

    def __init__(self, gateway, clock, *unreached):
        self.gateway = gateway
        self.clock = clock
        self.unreached = set(unreached)

    async def expect_reached(self, worker, timeout_s):
        if worker.key.worker_id in self.unreached:
            await self.clock.sleep(timeout_s)
            raise WorkerSilentError("not reached")

    async def start(self, worker, order, timeout_s):
        await self.expect_reached(worker, timeout_s)
        return await self.gateway.start(worker, order, timeout_s)

    async def stop(self, worker, task, run, fence, timeout_s):
        await self.expect_reached(worker, timeout_s)
        return await self.gateway.stop(worker, task, run, fence, timeout_s)

    async def hold(self, worker, order, timeout_s):
        await self.expect_reached(worker, timeout_s)
        return await self.gateway.hold(worker, order, timeout_s)

    async def pace(self, worker, task, run, percent, fence, timeout_s):
        await self.expect_reached(worker, timeout_s)
        return await self.gateway.pace(worker, task, run, percent, fence, timeout_s)

    async def close(self):
        await self.gateway.close()


@pytest.fixture
async def cut_off(site):
    """A holder that can be cut off from the store and from all but some workers."""
    for worker_id in WORKERS:
        site.park.add(worker_id, POOL)
    faulty = FaultyStore(site.memory, site.clock)
    gateway = DeafGateway(site.park, site.clock)
    holder = await site.holder(
        gateway=gateway,
        store=SettledStore(faulty, "entry-1", site.clock, site.metrics),
        lease_left=lambda: -1.0 if faulty.faults.down else 1.0,
    )

    def cut_off(*reached):
        faulty.set_faults({"down": True})
        gateway.unreached = set(WORKERS).difference(reached)

    holder.cut_off = cut_off
    await site.pass_time(0.5)
    return holder


@pytest.mark.parametrize("gang", [True, False])
@pytest.mark.parametrize("after_s", [0.0, 0.05, 0.3])
async def test_step_after_one_that_ends_at_a_takeover_runs_once(
    site, cut_off, gang, after_s
):
    """Both holders learnt of the end of a gang, and both started the next step."""
    first = step(2, gang=gang, max_per_worker=1)
    site.park.nature = lambda task: TaskNature(
        duration_s=2.0 if task.step else FOREVER,
        gang=2 if gang and not task.step else 0,
    )
    job = await site.submit(first, step(2, after=(0,), max_per_worker=1))
    await site.until(lambda: len(site.park.running()) == 2)
    await site.pass_time(0.5)
    members = [w for w in site.park.by_key.values() if w.runs]
    names = [worker.listing.key.worker_id for worker in members]
    cut_off.cut_off(*names)
    gateway = DeafGateway(site.park, site.clock, names[0])
    second = await site.holder("entry-2", "process-2", gateway=gateway)
    await site.until(lambda: any(w.contacted for w in second.core.workers.values()))
    await site.pass_time(after_s)
    for worker in members:
        for run in tuple(worker.runs.values()):
            worker.end(run, EndKind.SUCCEEDED)
    await site.pass_time(0.6)
    gateway.unreached.clear()
    await site.until(lambda: site.phase(job) is JobPhase.COMPLETED)
    assert site.park.audit.violations == []


async def test_failed_task_is_tried_again_by_one_of_two_holders(site, cut_off):
    """The earlier holder learnt of the end from a poll that the worker had taken."""
    site.park.nature = lambda task: TaskNature(duration_s=FOREVER)
    job = await site.submit(step())
    await site.until(lambda: len(site.park.running()) == 1)
    await site.pass_time(0.5)
    worker = next(w for w in site.park.by_key.values() if w.runs)
    name = worker.listing.key.worker_id
    other = next(found for found in WORKERS if found != name)
    cut_off.cut_off(name, other)
    gateway = DeafGateway(site.park, site.clock, other)
    second = await site.holder("entry-2", "process-2", gateway=gateway)
    await site.until(lambda: any(w.contacted for w in second.core.workers.values()))
    site.park.nature = lambda task: TaskNature(duration_s=1.0)
    worker.end(next(iter(worker.runs.values())), EndKind.FAILED)
    await site.pass_time(0.6)
    gateway.unreached.clear()
    await site.until(lambda: site.phase(job) is JobPhase.COMPLETED)
    assert site.park.audit.violations == []
