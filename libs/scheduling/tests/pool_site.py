"""A pool with its store, workers and holders, for tests."""

import asyncio

from burdockthread_model.clock import MemoryClock
from burdockthread_model.errors import PeerEndedError, PeerUnavailableError
from burdockthread_model.events import EventLog
from burdockthread_model.metrics import MemoryMetrics
from burdockthread_scheduling.duty import Tenure
from burdockthread_scheduling.intake import JobIntake
from burdockthread_scheduling.job_index import JobIndex
from burdockthread_scheduling.memory_runs import TaskNature
from burdockthread_scheduling.memory_workers import MemoryWorkers
from burdockthread_scheduling.placement_policy import MemoryPolicyService
from burdockthread_scheduling.pool_core import PoolParts
from burdockthread_scheduling.pool_scheduler import PoolScheduler
from burdockthread_scheduling.pool_status import PlannerAnswer
from burdockthread_scheduling.records import SHARED_PREFIX, duty_key
from burdockthread_scheduling.roster import WorkerRoster
from burdockthread_scheduling.specs import (
    FleetConfiguration,
    JobSpec,
    PoolSpec,
    QueueSpec,
    StepSpec,
)
from burdockthread_scheduling.store_contact import StoreContact
from burdockthread_store.faulty_store import FaultyStore
from burdockthread_store.memory_store import MemoryStore
from burdockthread_store.prefix_cache import PrefixCache
from burdockthread_store.settled_store import SettledStore
from burdockthread_store.store import ANY_REVISION, Change, Guard

POOL = "pool-a"
QUEUE = "queue-a"
CONFIGURATION = FleetConfiguration(
    version=1,
    queues={
        QUEUE: QueueSpec(
            QUEUE,
            "a.example",
            "/a/",
            POOL,
            max_attempts=4,
            stretch=1.6,
            latency_target_ms=600,
        )
    },
    pools={POOL: PoolSpec(POOL), "pool-off": PoolSpec("pool-off", spare=True)},
)
STEP_MS = 50


def step(tasks=1, **fields):
    """A step whose tasks take a core each for about a second."""
    values = {"cpu_milli": 1_000, "memory_mb": 256, "estimated_ms": 1_000, **fields}
    return StepSpec(tasks, **values)


class StaleRoster(WorkerRoster):
    """Roster that returns the outdated registrations in `known`, unless None."""

    def __init__(self, park):
        self.park = park
        self.known = None

    def workers(self, pool):
        return self.park.workers(pool) if self.known is None else self.known

    def changed(self):
        return self.park.changed()


class PoolSite:
    """One pool; each call of `holder` starts the holder of a later term."""

    def __init__(self):
        self.clock = MemoryClock()
        self.memory = MemoryStore(self.clock)
        self.faulty = FaultyStore(self.memory, self.clock)
        self.metrics = MemoryMetrics()
        self.log = EventLog("test")
        self.natures = {}
        self.park = MemoryWorkers(
            self.clock, lambda task: self.natures.get(task.job_id, TaskNature())
        )
        self.vacate = ()
        self.ended = ()
        self.planner_silent = False
        self.quota_report = None
        self.quota_answer = None
        self.policy = MemoryPolicyService()
        self.configuration = CONFIGURATION
        # By address; None where no process listens any more.
        self.processes = {}
        self.tasks = []
        self.holders = []
        self.jobs = 0
        store = self.store_of("entry-1")
        self.cache = PrefixCache(store, SHARED_PREFIX, self.clock, 0.3)
        self.index = JobIndex(self.cache, store, self.clock, self.log)
        self.store_silent_s = 0.0
        contact = StoreContact(
            self.clock, lambda: self.clock.now() - self.store_silent_s
        )
        self.intake = JobIntake(
            store, self.index, contact, self.clock, self.metrics, self.log
        )
        self.tasks.append(asyncio.create_task(self.cache.run()))

    def store_of(self, entry):
        """The store as one entry uses it."""
        return SettledStore(self.faulty, entry, self.clock, self.metrics)

    async def holder(
        self,
        entry="entry-1",
        process="process-1",
        gateway=None,
        clock=None,
        roster=None,
        lease_left=None,
        store=None,
    ):
        """Makes an entry the holder and starts its work."""
        key = duty_key(f"pool:{POOL}")
        change = Change(key, entry.encode(), ANY_REVISION)
        fence = await self.memory.write([change])
        tenure = Tenure(f"pool:{POOL}", fence, Guard(key, fence))
        if lease_left is not None:
            tenure = tenure._replace(lease_left_s=lease_left)
        parts = PoolParts(
            entry=entry,
            address=entry,
            process=process,
            store=store or self.store_of(entry),
            jobs=self.index,
            roster=roster or self.park,
            gateway=gateway or self.park,
            policy=self.policy,
            configuration=lambda: self.configuration,
            clock=clock or self.clock,
            metrics=self.metrics,
            log=self.log,
            report=self.report,
            release=self.release,
            stop_s=self.park.stop_s,
            report_quota=self.report_quota,
            max_lease_s=self.park.max_lease_s,
        )
        scheduler = PoolScheduler(POOL, tenure, parts)
        scheduler.work = asyncio.create_task(scheduler.run())
        self.tasks.append(scheduler.work)
        self.holders.append(scheduler)
        return scheduler

    async def kill(self, scheduler):
        """Ends a holder without a hand-over."""
        scheduler.work.cancel()
        await asyncio.gather(scheduler.work, return_exceptions=True)

    async def report(self, status):
        """Answers as the machine planner."""
        self.status = status
        if self.planner_silent:
            return None
        return PlannerAnswer(self.vacate, {}, self.ended)

    async def report_quota(self, report):
        """Answers as the allocator of quotas, if the test has set its answer."""
        self.quota_report = report
        return self.quota_answer

    async def release(self, address, pool, fence):
        """Answers as the entry that held the pool before."""
        if address not in self.processes:
            raise PeerUnavailableError(address)
        process = self.processes[address]
        if process is None:
            raise PeerEndedError(address)
        return process

    async def submit(self, *steps, queue=QUEUE, nature=None, **fields):
        """Accepts a job and returns its id."""
        self.jobs += 1
        job_id = f"{self.jobs:016x}"
        if nature is not None:
            self.natures[job_id] = nature
        job = JobSpec(
            job_id,
            queue,
            "text",
            tuple(steps or [step()]),
            accepted_ms=int(self.clock.wall() * 1000),
            **fields,
        )
        self.park.audit.disruptions.watch(job_id, job.steps)
        waiting = asyncio.create_task(self.intake.submit(job, POOL))
        await self.pass_time(0.1)
        await waiting
        return job_id

    async def pass_time(self, seconds):
        """Lets time pass in small steps."""
        left = seconds
        while left > 0:
            await self.clock.advance(min(left, STEP_MS / 1000))
            left -= STEP_MS / 1000

    async def until(self, condition, seconds=20.0):
        """Lets time pass until a condition holds."""
        for _ in range(int(seconds * 1000 / STEP_MS)):
            if condition():
                return
            await self.pass_time(STEP_MS / 1000)
        raise AssertionError("the condition did not come true in time")

    def phase(self, job_id):
        """The recorded phase of a job."""
        known = self.index.jobs.get(job_id)
        return None if known is None else known.record.phase

    def runs(self, job_id):
        """The runs of a job's tasks as the workers recorded them."""
        return [r for r in self.park.audit.records if r.task.job_id == job_id]

    async def close(self):
        """Cancels all tasks of the site."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
