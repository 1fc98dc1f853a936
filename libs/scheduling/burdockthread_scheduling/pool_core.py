"""State and dependencies that the components of a pool's holder share."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from typing import NamedTuple

from burdockthread_model.clock import Clock
from burdockthread_model.events import EventLog
from burdockthread_model.metrics import Metrics
from burdockthread_store.store import ConfigurationStore

from burdockthread_scheduling.board import Board
from burdockthread_scheduling.duty import Tenure
from burdockthread_scheduling.estimates import DurationEstimates
from burdockthread_scheduling.guarded_gateway import GuardedGateway
from burdockthread_scheduling.job_index import JobIndex
from burdockthread_scheduling.job_order import JobOrder
from burdockthread_scheduling.placement_policy import PolicyService
from burdockthread_scheduling.pool_status import PlannerAnswer, PoolStatus
from burdockthread_scheduling.quota_messages import QuotaAnswer, QuotaReport
from burdockthread_scheduling.roster import WorkerRoster
from burdockthread_scheduling.specs import (
    FleetConfiguration,
    JobSpec,
    PoolSpec,
    QueueSpec,
)
from burdockthread_scheduling.start_window import StartWindow
from burdockthread_scheduling.worker_health import WorkerHealth
from burdockthread_scheduling.worker_state import WorkerState
from burdockthread_scheduling.workers import WorkerGateway, WorkerKey


async def no_allocator(report: QuotaReport) -> QuotaAnswer | None:
    """Returns no limits, as where no organisation has a quota."""
    return None


class PoolParts(NamedTuple):
    """The objects that the scheduler of a pool depends on.

    Attributes:
        entry: Name of this entry.
        address: Address of this entry for others.
        process: Id of this process.
        store: The store.
        jobs: States of all jobs.
        roster: Registered workers.
        gateway: Sends orders to workers.
        policy: Service that applies the placement policies.
        configuration: Returns the configuration in force.
        clock: Source of time.
        metrics: Counters.
        log: Events.
        report: Sends a status to the machine planner; returns its answer, or None
            if the planner cannot be reached.
        release: Asks the entry at an address to send no more orders for a pool
            under fencing tokens below the given one; returns the id of its process.
        stop_s: Longest time in seconds that a run takes to end once stopped.
        max_lease_s: Longest lease of a run in seconds that workers grant.
        report_quota: Reports to the allocator of quotas; returns its answer, or None if
            it cannot be reached.
    """

    entry: str
    address: str
    process: str
    store: ConfigurationStore
    jobs: JobIndex
    roster: WorkerRoster
    gateway: WorkerGateway
    policy: PolicyService
    configuration: Callable[[], FleetConfiguration]
    clock: Clock
    metrics: Metrics
    log: EventLog
    report: Callable[[PoolStatus], Awaitable[PlannerAnswer | None]]
    release: Callable[[str, str, int], Awaitable[str]]
    stop_s: float
    max_lease_s: float
    report_quota: Callable[[QuotaReport], Awaitable[QuotaAnswer | None]] = no_allocator


class PoolCore:
    """The state of one pool at its holder.

    Attributes:
        board: Jobs of the pool.
        workers: Workers by id and time of start.
        gateway: Sends orders to the workers.
        estimates: Estimates of the durations of tasks.
        order: Order in which jobs are served.
        health: Failures and quarantine of workers.
        window: Bounds the starts in flight.
        lost: Why the duty is lost, or empty.
        offered: Whether the duty is offered to another entry, which may hold it.
        wake: Set when another round of decisions may be needed.
    """

    def __init__(self, pool: str, tenure: Tenure, parts: PoolParts) -> None:
        self.pool = pool
        self.tenure = tenure
        self.parts = parts
        self.clock = parts.clock
        self.log = parts.log
        self.metrics = parts.metrics
        self.board = Board()
        self.workers: dict[WorkerKey, WorkerState] = {}
        self.gateway = GuardedGateway(parts.gateway, self.log)
        self.estimates = DurationEstimates(self.clock)
        self.order = JobOrder(self.estimates, self.clock, self.has_organisations)
        self.health = WorkerHealth(self.clock, self.metrics, self.log)
        self.window = StartWindow(self.clock)
        self.lost = ""
        self.offered = False
        self.wake = asyncio.Event()
        self.tasks: set[asyncio.Task[None]] = set()

    def has_organisations(self) -> bool:
        """Returns whether the configuration names organisations."""
        return bool(self.parts.configuration().organisations.by_name)

    def spawn(self, work: Coroutine[None, None, None]) -> asyncio.Task[None]:
        """Starts a task that is cancelled when the duty ends."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.finished)
        return task

    def finished(self, task: asyncio.Task[None]) -> None:
        """Removes an ended task; if the task failed, the duty ends."""
        self.tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            self.log.error("pool_work_failed", pool=self.pool, reason=repr(error))
            self.lose(repr(error))

    def is_certain(self) -> bool:
        """Returns whether no other entry can hold the duty now."""
        return not self.offered and self.tenure.lease_left_s() > 0

    def lose(self, reason: str) -> None:
        """Ends the duty at its next round, for the given reason."""
        self.lost = reason
        self.wake.set()

    def cancel_all(self) -> None:
        """Cancels all tasks started with `spawn`."""
        for task in self.tasks:
            task.cancel()

    def queue_of(self, job: JobSpec) -> QueueSpec:
        """Returns the queue of a job; as recorded with it if it was removed since."""
        found = self.parts.configuration().queues.get(job.queue)
        if found is not None:
            return found
        self.log.info(
            "queue_removed",
            job=job.job_id,
            queue=job.queue,
            attempts=job.terms.max_attempts,
            policy=job.terms.placement_policy is not None,
        )
        return QueueSpec.from_job(job, self.pool)

    def spec(self) -> PoolSpec:
        """Returns the pool's configuration; defaults if there is none."""
        found = self.parts.configuration().pools.get(self.pool)
        return found or PoolSpec(self.pool)
