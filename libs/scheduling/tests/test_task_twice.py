"""No task runs twice: holders that overlap, and workers that start again."""

import asyncio

import pytest
from burdockthread_model.clock import Clock
from burdockthread_model.errors import StoreUnknownError
from burdockthread_scheduling.duties import LEASE_GRACE_S
from burdockthread_scheduling.memory_runs import TaskNature
from burdockthread_scheduling.records import JobPhase
from burdockthread_scheduling.roster import WorkerRoster
from burdockthread_scheduling.specs import TaskId
from burdockthread_scheduling.workers import StartOrder, WorkerGateway, WorkerKey
from pool_site import POOL, step

FOREVER = TaskNature(duration_s=float("inf"))
ONE, TWO, THREE = (WorkerKey(f"w{number}", 1) for number in (1, 2, 3))


class Freezer(WorkerGateway, Clock):
    """The clock of one entry and its way to the workers, which stand still at will."""

    def __init__(self, site):
        self.gateway = site.park
        self.clock = site.clock
        self.awake = asyncio.Event()
        self.awake.set()

    async def thaw(self, call):
        """Waits for a call, and until the entry is awake, before and after it."""
        await self.awake.wait()
        try:
            return await call
        finally:
            await self.awake.wait()

    async def start(self, *order):
        return await self.thaw(self.gateway.start(*order))

    async def stop(self, *order):
        return await self.thaw(self.gateway.stop(*order))

    async def hold(self, *order):
        return await self.thaw(self.gateway.hold(*order))

    async def pace(self, *order):
        return await self.thaw(self.gateway.pace(*order))

    async def close(self):
        await self.gateway.close()

    def now(self):
        return self.clock.now()

    def wall(self):
        return self.clock.wall()

    async def sleep(self, seconds):
        await self.thaw(self.clock.sleep(seconds))

    def timeout(self, seconds):
        return self.clock.timeout(seconds)


class LateRoster(WorkerRoster):
    """The registrations, which stay as they were while `known` holds them."""

    def __init__(self, park):
        self.park = park
        self.known = None

    def workers(self, pool):
        return self.park.workers(pool) if self.known is None else self.known

    def changed(self):
        return self.park.changed()


@pytest.fixture
def workers(site):
    for key in (ONE, TWO, THREE):
        site.park.add(key.worker_id, POOL)
    return site.park.by_key


# An idle holder that had lost its pool started a job that its successor had, too.
async def test_holder_without_a_lease_starts_no_job_that_came_since(site, workers):
    lease_left_s = 2.0
    await site.holder(lease_left=lambda: lease_left_s)
    await site.pass_time(0.5)
    lease_left_s = -1.0
    workers[ONE].silent = True
    await site.holder("entry-2", "process-2")
    await site.pass_time(0.3)
    workers[ONE].silent = False
    job = await site.submit(step(4))
    await site.until(lambda: site.phase(job) is JobPhase.COMPLETED)
    assert len(site.runs(job)) == 4


# The same, where the entry itself had offered the pool before its lease ended.
async def test_holder_that_offers_its_pool_starts_no_job_that_came_since(site, workers):
    first = await site.holder(lease_left=lambda: 1.0)
    await site.pass_time(0.5)
    await first.pause()
    workers[ONE].silent = True
    await site.holder("entry-2", "process-2")
    await site.pass_time(0.3)
    workers[ONE].silent = False
    job = await site.submit(step(4))
    await site.until(lambda: site.phase(job) is JobPhase.COMPLETED)
    assert len(site.runs(job)) == 4


# Jobs that come while the store is out of reach must not wait for ever.
async def test_holder_starts_what_came_in_doubt_once_it_is_certain(site, workers):
    lease_left_s = -1.0
    await site.holder(lease_left=lambda: lease_left_s)
    job = await site.submit(step(2))
    await site.pass_time(1.0)
    assert site.runs(job) == []
    lease_left_s = 2.0
    await site.until(lambda: site.phase(job) is JobPhase.COMPLETED, seconds=2.0)


# A third holder asked only the second whether the first still gives orders.
@pytest.mark.parametrize("third", ["process-2", "process-3"])
async def test_third_holder_waits_for_the_first_too(site, workers, third):
    freezer = Freezer(site)
    await site.holder(gateway=freezer, clock=freezer)
    await site.pass_time(0.5)
    await site.submit(step(3, lasting=True), nature=FOREVER)
    freezer.awake.clear()
    workers[ONE].silent = workers[TWO].silent = True
    second = await site.holder("entry-2", "process-2")
    await site.pass_time(1.0)
    await site.kill(second)
    site.processes["entry-2"] = third
    await site.holder("entry-2", third)
    await site.pass_time(4.5)
    freezer.awake.set()
    workers[TWO].silent = False
    await site.pass_time(3.0)
    assert len(site.park.running()) == 3


# A planned stop of the second holder told the third that all orders were given.
async def test_hand_over_tells_of_a_holder_before_that_may_still_act(site, workers):
    freezer = Freezer(site)
    await site.holder(gateway=freezer, clock=freezer)
    await site.pass_time(0.5)
    await site.submit(step(3, lasting=True), nature=FOREVER)
    freezer.awake.clear()
    workers[ONE].silent = workers[TWO].silent = True
    second = await site.holder("entry-2", "process-2")
    await site.pass_time(1.0)
    await second.hand_over()
    await site.kill(second)
    await site.holder("entry-3", "process-3")
    await site.pass_time(4.5)
    freezer.awake.set()
    workers[TWO].silent = False
    await site.pass_time(3.0)
    assert len(site.park.running()) == 3


# A frozen entry woke long after its lease and gave orders before it looked up.
async def test_holder_long_without_a_lease_orders_nothing(site):
    lease_left_s = 2.0
    holder = await site.holder(lease_left=lambda: lease_left_s)
    job = await site.submit(step(1))
    lease_left_s = -LEASE_GRACE_S - 0.1
    site.park.add("w1", POOL)
    await site.pass_time(1.0)
    assert site.runs(job) == []
    assert holder.work.done()


# The planner's word that it had ended a worker was taken for its next life.
async def test_life_after_the_one_that_the_planner_ended_keeps_its_runs(site, workers):
    await site.holder()
    site.park.remove(THREE)
    await site.pass_time(0.5)
    job = await site.submit(step(20, lasting=True), nature=FOREVER)
    await site.until(lambda: len(site.runs(job)) == 20)
    site.park.add("w3", POOL, born_ms=2)
    await site.pass_time(0.5)
    site.ended = ("w2",)
    await site.pass_time(2.0)
    assert len(site.runs(job)) == 20


# A worker that started again took a start meant for its last life; that life's runs
# were taken as lost, this one with them, and it was started elsewhere.
async def test_start_that_the_next_life_of_a_worker_took_is_not_doubled(site, workers):
    roster = LateRoster(site.park)
    await site.holder(roster=roster)
    await site.pass_time(0.5)
    roster.known = dict(roster.workers(POOL))
    site.park.add("w1", POOL, born_ms=2)
    job = await site.submit(step(4))
    await site.pass_time(1.0)
    roster.known = None
    await site.until(lambda: site.phase(job) is JobPhase.COMPLETED)


# The same, where the next life of the worker never registers in the pool.
async def test_start_on_an_unlisted_life_is_given_up_once_its_lease_is_over(
    site, workers
):
    roster = LateRoster(site.park)
    holder = await site.holder(roster=roster)
    await site.pass_time(0.5)
    roster.known = dict(roster.workers(POOL))
    site.park.add("w1", POOL, born_ms=2)
    job = await site.submit(step(4), nature=TaskNature(duration_s=2.0))
    await site.pass_time(0.3)
    roster.known.pop(ONE)
    await site.pass_time(2.0)
    assert ONE in holder.workers.assigned
    await site.until(lambda: site.phase(job) is JobPhase.COMPLETED, seconds=15.0)


# A holder that woke without its lease started a task on a worker that had started
# again since, and so knew no token of the next holder yet.
async def test_holder_in_doubt_starts_nothing_where_it_has_not_looked(site, workers):
    freezer, roster = Freezer(site), LateRoster(site.park)
    lease_left_s = 2.0
    roster.known = {THREE: workers[THREE].listing}
    await site.holder(
        gateway=freezer, clock=freezer, roster=roster, lease_left=lambda: lease_left_s
    )
    await site.pass_time(0.5)
    freezer.awake.clear()
    await site.pass_time(0.5)
    await site.submit(step(4, lasting=True), nature=FOREVER)
    lease_left_s = -1.0
    late = LateRoster(site.park)
    await site.holder("entry-2", "process-2", roster=late)
    await site.pass_time(2.0)
    late.known = dict(late.workers(POOL))
    site.park.add(THREE.worker_id, POOL, born_ms=2)
    freezer.awake.set()
    await site.pass_time(2.0)
    assert len(site.park.running()) == 4


# Doubt must not keep a holder from the workers that answer it: the store may be out.
async def test_holder_in_doubt_goes_on_with_workers_that_answer(site, workers):
    lease_left_s = 2.0
    await site.holder(lease_left=lambda: lease_left_s)
    job = await site.submit(step(40, cpu_milli=4_000))
    await site.until(lambda: len(site.runs(job)) == 12)
    lease_left_s = -1.0
    await site.until(lambda: site.phase(job) is JobPhase.COMPLETED, seconds=6.0)


# A holder met runs of a job that it had not heard of yet, stopped them, and started
# the job's tasks when it heard of it, before those had ended.
async def test_runs_met_before_their_job_is_known_end_before_others_start(site):
    worker = site.park.add("w1", POOL)
    tasks = [TaskId(f"{1:016x}", 0, 0, number) for number in range(3)]
    for task in tasks:
        worker.start(StartOrder(task, 1, "text", 3_000, 0))
    await site.holder()
    await site.pass_time(0.1)
    job = await site.submit(step(3))
    assert job == tasks[0].job_id
    await site.until(lambda: site.phase(job) is JobPhase.COMPLETED)


# A write of the assigned workers took effect, but failed for its holder, which used
# a worker that the store did not name any more.
async def test_worker_that_a_failed_write_left_out_gets_no_runs(site):
    site.park.add("w1", POOL)
    site.park.add("w2", POOL)
    holder = await site.holder()
    await site.pass_time(1.0)
    write = holder.workers.write_assigned

    async def write_and_fail(workers, *, released):
        await write(workers, released=released)
        raise StoreUnknownError("the answer was lost")

    holder.workers.write_assigned = write_and_fail
    site.park.remove(TWO)
    await site.pass_time(0.3)
    site.park.add("w2", POOL)
    await site.pass_time(0.3)
    assert TWO in holder.core.workers
    assert TWO not in holder.workers.assigned
