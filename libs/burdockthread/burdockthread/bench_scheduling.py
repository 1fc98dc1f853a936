"""Measurements of the cost of scheduling a pool at several sizes."""

import asyncio
import time
import tracemalloc
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import NamedTuple

from burdockthread_model.clock import MemoryClock
from burdockthread_model.events import EventLog
from burdockthread_model.metrics import MemoryMetrics
from burdockthread_scheduling.duty import Tenure
from burdockthread_scheduling.intake import JobIntake
from burdockthread_scheduling.job_index import JobIndex
from burdockthread_scheduling.memory_runs import TaskNature
from burdockthread_scheduling.memory_workers import MAX_LEASE_S, STOP_S, MemoryWorkers
from burdockthread_scheduling.placement_policy import NoPolicyService
from burdockthread_scheduling.pool_core import PoolParts
from burdockthread_scheduling.pool_scheduler import PoolScheduler
from burdockthread_scheduling.pool_status import PlannerAnswer, PoolStatus
from burdockthread_scheduling.records import SHARED_PREFIX, duty_key
from burdockthread_scheduling.specs import (
    FleetConfiguration,
    JobSpec,
    PoolSpec,
    QueueSpec,
    StepSpec,
)
from burdockthread_scheduling.store_contact import StoreContact
from burdockthread_scheduling.workers import Capacity
from burdockthread_store.memory_store import MemoryStore
from burdockthread_store.prefix_cache import PrefixCache
from burdockthread_store.settled_store import SettledStore
from burdockthread_store.store import ANY_REVISION, Change, Guard

from burdockthread.measures import Measure, at_most

POOL, QUEUE = "pool", "queue"
CONFIGURATION = FleetConfiguration(
    1,
    {QUEUE: QueueSpec(QUEUE, "h", "/", POOL, max_attempts=4, stretch=1.6)},
    {POOL: PoolSpec(POOL)},
)
CAPACITY = Capacity(64_000, 131_072)
SIZES = (44, 179)
WAITING_TASKS = 5_000
TASKS_OF_STEP = 8
ROUNDS = 20
# Rounds run every 0.1 s and may use a fifth of a core.
ROUND_TARGET_MS = 20.0
STEP_S = 0.05
SETTLE_S = 1.0


class HeldPool(NamedTuple):
    """An in-memory pool and the scheduler that holds its duty."""

    clock: MemoryClock
    memory_workers: MemoryWorkers
    intake: JobIntake
    holder: PoolScheduler


@asynccontextmanager
async def held_pool(workers: int) -> AsyncIterator[HeldPool]:
    """Runs the scheduler of a pool with in-memory workers within the block."""
    clock, metrics, log = MemoryClock(), MemoryMetrics(), EventLog("bench")
    memory = MemoryStore(clock)
    store = SettledStore(memory, "entry", clock, metrics)
    cache = PrefixCache(store, SHARED_PREFIX, clock)
    index = JobIndex(cache, store, clock, log)
    memory_workers = MemoryWorkers(clock, lambda _: TaskNature(duration_s=2.0))
    for number in range(workers):
        memory_workers.add(f"w{number}", POOL, CAPACITY, (f"r{number // 12}",))
    key = duty_key(POOL)
    fence = await memory.write([Change(key, b"entry", ANY_REVISION)])

    async def report(_: PoolStatus) -> PlannerAnswer:
        return PlannerAnswer((), {})

    async def release(*_: object) -> str:
        return ""

    parts = PoolParts(
        entry="entry",
        address="entry",
        process="process",
        store=store,
        jobs=index,
        roster=memory_workers,
        gateway=memory_workers,
        policy=NoPolicyService(),
        configuration=lambda: CONFIGURATION,
        clock=clock,
        metrics=metrics,
        log=log,
        report=report,
        release=release,
        stop_s=STOP_S,
        max_lease_s=MAX_LEASE_S,
    )
    holder = PoolScheduler(POOL, Tenure(POOL, fence, Guard(key, fence)), parts)
    contact = StoreContact(clock, clock.now)
    intake = JobIntake(store, index, contact, clock, metrics, log)
    tasks = [asyncio.create_task(work) for work in (cache.run(), holder.run())]
    try:
        await pass_time(clock, SETTLE_S)
        yield HeldPool(clock, memory_workers, intake, holder)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def pass_time(clock: MemoryClock, seconds: float) -> None:
    """Advances the clock in steps of `STEP_S`."""
    for _ in range(round(seconds / STEP_S)):
        await clock.advance(STEP_S)


async def submit(pool: HeldPool, jobs: int) -> None:
    """Submits jobs of two steps and waits until all are accepted."""
    step = StepSpec(TASKS_OF_STEP, 12_000, 8_000, estimated_ms=2_000)
    steps = (step, step._replace(after=(0,)))
    accepted_ms = int(pool.clock.wall() * 1000)
    submissions = [
        asyncio.create_task(
            pool.intake.submit(
                JobSpec(f"{n:016x}", QUEUE, "", steps, accepted_ms=accepted_ms), POOL
            )
        )
        for n in range(jobs)
    ]
    await pass_time(pool.clock, SETTLE_S)
    await asyncio.gather(*submissions)


async def measures(seed: int) -> list[Measure]:
    """Measures the cost of a scheduling round, a started task and a known job.

    Args:
        seed: Not used; the measurements use no random numbers.
    """
    del seed
    found: list[Measure] = []
    for workers in SIZES:
        async with held_pool(workers) as pool:
            tracemalloc.start()
            jobs = WAITING_TASKS // TASKS_OF_STEP // 2
            await submit(pool, jobs)
            memory = tracemalloc.get_traced_memory()[0] / jobs
            tracemalloc.stop()
            site = f"{workers}_workers"
            found.append(
                at_most(
                    "scheduling.round",
                    site,
                    round_ms(pool),
                    "ms",
                    ROUND_TARGET_MS,
                    None,
                )
            )
            found.append(Measure("scheduling.job_memory", site, memory, "bytes/job"))
            found.append(await started_task(pool, site))
    return found


def round_ms(pool: HeldPool) -> float:
    """Returns the processor milliseconds of a round that ranks every job again."""
    started_s = time.process_time()
    for _ in range(ROUNDS):
        pool.holder.core.order.known.clear()
        pool.holder.step()
    return (time.process_time() - started_s) / ROUNDS * 1000


async def started_task(pool: HeldPool, site: str) -> Measure:
    """Measures the processor time per run, including the in-memory workers."""
    before, started_s = len(pool.memory_workers.audit.records), time.process_time()
    await pass_time(pool.clock, 3.0)
    runs = len(pool.memory_workers.audit.records) - before
    spent_ms = (time.process_time() - started_s) * 1000
    return Measure("scheduling.started_task", site, spent_ms / max(runs, 1), "ms")
