"""Sends orders to workers in the background and records their outcomes."""

import asyncio
from collections import defaultdict
from collections.abc import Callable, Coroutine, Iterable

from burdockthread_model.clock import Clock
from burdockthread_model.errors import PlatformError
from burdockthread_model.events import EventLog
from burdockthread_model.job import Job
from burdockthread_model.metrics import Metrics
from burdockthread_model.steps import Step, Steps

from burdockthread_fleet.job_outcomes import task_id_of
from burdockthread_fleet.task_table import (
    RENEW_INTERVAL_S,
    TASK_LEASE_S,
    TaskTable,
)
from burdockthread_fleet.worker_client import (
    Task,
    TaskRefusedError,
    WorkerClient,
)

DISPATCH_WINDOW_S = 5.0
DISPATCH_RETRY_S = 1.0
REPEAT_ORDER_S = 2.0


class TaskOrders:
    """Starts, renews, checkpoints, throttles and stops tasks.

    Attributes:
        is_current: Returns whether a claim is still in force.
        avoid: Called with the VM of each refused or unanswered start or renewal.
        dispatched: Ids of tasks whose start this process sends or has sent.
        refused: Reason for each claim whose task certainly did not start, by task
            id and time of the claim.
        sent_s: Clock time until which an order is not repeated, by order.
        renewals_s: Clock time of the next lease renewal, by VM.
        pending: Orders in progress, by order and task or worker.
    """

    def __init__(
        self,
        workers: WorkerClient,
        table: TaskTable,
        clock: Clock,
        metrics: Metrics,
        log: EventLog,
        steps: Steps,
        is_current: Callable[[Job], bool],
        avoid: Callable[[str], None],
    ) -> None:
        self.is_current = is_current
        self.avoid = avoid
        self.workers = workers
        self.table = table
        self.clock = clock
        self.metrics = metrics
        self.log = log
        self.steps = steps
        self.dispatched: set[str] = set()
        self.refused: dict[tuple[str, float], str] = {}
        self.sent_s: dict[str, float] = {}
        self.renewals_s: dict[str, float] = {}
        self.pending: dict[str, asyncio.Task[None]] = {}

    def spawn(self, name: str, work: Coroutine[None, None, None]) -> None:
        """Runs an order in the background, one at a time per name."""
        if name in self.pending:
            work.close()
            return
        task = asyncio.create_task(work)
        self.pending[name] = task
        task.add_done_callback(lambda _: self.pending.pop(name, None))

    async def close(self) -> None:
        """Cancels all pending orders and waits for their end."""
        tasks = list(self.pending.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def dispatch(
        self, job: Job, task: Task, claimed_s: float, *, sole_sender: bool
    ) -> None:
        """Starts a claimed job on its worker, in the background.

        Args:
            job: Job as claimed in the store.
            task: Task of the claim.
            claimed_s: Clock time read before the claim was written.
            sole_sender: Whether no other process can have sent this start.
        """
        self.dispatched.add(task.task_id)
        self.table.track(task.task_id, self.clock.now())
        work = self.start(
            job, task, claimed_s + DISPATCH_WINDOW_S, sole_sender=sole_sender
        )
        self.spawn(f"start {task.task_id}", work)

    async def start(
        self, job: Job, task: Task, give_up_s: float, *, sole_sender: bool
    ) -> None:
        """Retries a start until answered or until ``give_up_s``.

        An unanswered start may have taken effect, so a later refusal does not
        prove that the task did not start.
        """
        while self.clock.now() < give_up_s and self.is_current(job):
            try:
                await self.workers.start(job.vm, task)
            except TaskRefusedError as error:
                self.avoid(job.vm)
                self.metrics.count("jobs.refused_starts")
                self.log.info("job_start_refused", job=job.job_id, reason=error)
                if sole_sender:
                    self.refused[task.task_id, job.claimed_s] = str(error)
                return
            except PlatformError as error:
                sole_sender = False
                self.avoid(job.vm)
                self.log.info("job_start_unanswered", job=job.job_id, reason=error)
                await self.clock.sleep(DISPATCH_RETRY_S)
                continue
            self.metrics.count("jobs.started")
            self.log.info("job_started", job=job.job_id, vm=job.vm, task=task.task_id)
            await self.steps.reach(Step.JOB_STARTED)
            return
        if sole_sender:
            self.dispatched.discard(task.task_id)

    def renew(self, jobs: Iterable[Job]) -> None:
        """Renews the leases of claimed jobs that are due, one order per worker."""
        now = self.clock.now()
        by_vm: defaultdict[str, list[str]] = defaultdict(list)
        for job in jobs:
            by_vm[job.vm].append(task_id_of(job))
        for vm, task_ids in by_vm.items():
            if now >= self.renewals_s.get(vm, now) or vm not in self.renewals_s:
                self.renewals_s[vm] = now + RENEW_INTERVAL_S
                self.spawn(f"renew {vm}", self.send_renewal(vm, tuple(task_ids)))

    async def send_renewal(self, vm: str, task_ids: tuple[str, ...]) -> None:
        """Sends a lease renewal to one worker and records it.

        An unanswered renewal is recorded too, because it may have been applied.
        """
        answered = False
        try:
            await self.workers.renew(vm, task_ids, TASK_LEASE_S)
            answered = True
        except TaskRefusedError:
            return
        except PlatformError as error:
            self.avoid(vm)
            self.metrics.count("jobs.renewals_failed")
            self.log.info("task_renewal_failed", vm=vm, reason=error)
        self.table.record_renewal(task_ids, self.clock.now(), answered=answered)

    def stop(self, vm: str, task_id: str) -> bool:
        """Stops a task; returns whether this is the first such order."""
        return self.order(f"stop {task_id}", task_id, self.workers.stop(vm, task_id))

    def checkpoint(self, vm: str, task_id: str) -> bool:
        """Checkpoints a task; returns whether this is the first such order."""
        work = self.workers.checkpoint(vm, task_id)
        return self.order(f"checkpoint {task_id}", task_id, work)

    def throttle(self, vm: str, task_id: str, share: float) -> bool:
        """Throttles a task; returns whether this is the first such order."""
        work = self.workers.throttle(vm, task_id, share)
        return self.order(f"throttle {task_id}", "", work)

    def order(
        self, name: str, released: str, work: Coroutine[None, None, None]
    ) -> bool:
        """Sends an order unless pending or sent within ``REPEAT_ORDER_S``.

        Args:
            name: Order and task id.
            released: Task that has stopped once the order is confirmed, or empty.
            work: Call that sends the order.

        Returns:
            Whether the order was sent for the first time.
        """
        now = self.clock.now()
        if now < self.sent_s.get(name, now) or name in self.pending:
            work.close()
            return False
        is_new = name not in self.sent_s
        self.sent_s[name] = now + REPEAT_ORDER_S
        self.spawn(name, self.send(name, released, work))
        return is_new

    async def send(
        self, name: str, released: str, work: Coroutine[None, None, None]
    ) -> None:
        """Sends an order and records the task that its confirmation releases."""
        try:
            await work
        except PlatformError as error:
            self.metrics.count("jobs.orders_failed")
            self.log.info("task_order_failed", order=name, reason=error)
            return
        if released:
            self.table.released.add(released)

    def forget(self, task_id: str) -> None:
        """Drops all state of one task."""
        self.dispatched.discard(task_id)
        for claim in [claim for claim in self.refused if claim[0] == task_id]:
            del self.refused[claim]
        for name in ("stop", "checkpoint", "throttle"):
            self.sent_s.pop(f"{name} {task_id}", None)
