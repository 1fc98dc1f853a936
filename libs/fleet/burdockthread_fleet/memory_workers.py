"""In-memory workers with task leases, delayed reports and injected faults."""

from collections import Counter
from typing import NamedTuple

from burdockthread_model.clock import Clock
from burdockthread_model.errors import PlatformError

from burdockthread_fleet.worker_client import (
    Task,
    TaskRefusedError,
    TaskReport,
    TaskState,
    WorkerClient,
)

SNAPSHOT_LIMIT = 64
ENDED_REPORT_S = 120.0


class ActualSize(NamedTuple):
    """Resources and run time that a task needs, whatever its job declared."""

    cores: float
    memory_gb: float
    run_time_s: float


class MemoryTask:
    """A task on a worker.

    Attributes:
        progress_s: Completed work, in seconds at full speed.
        share: Share of its processors that the task may use, 0 to 1.
    """

    def __init__(self, task: Task, size: ActualSize, now: float) -> None:
        self.task = task
        self.size = size
        self.state = TaskState.RUNNING
        self.reason = ""
        self.share = 1.0
        self.progress_s = 0.0
        self.updated_s = now
        self.lease_until_s = now + task.lease_s
        self.ended_s = float("inf")

    def end(self, now: float, state: TaskState, reason: str = "") -> None:
        """Ends the task; a task that has ended keeps its state."""
        if self.state is TaskState.RUNNING:
            self.state = state
            self.reason = reason
            self.ended_s = now

    def advance(self, now: float, speed: float) -> None:
        """Adds the progress made until a time, but not beyond the lease.

        Args:
            now: Clock time in seconds.
            speed: Share of the requested processors that the worker provided.
        """
        if self.state is not TaskState.RUNNING:
            return
        worked_until_s = min(now, self.lease_until_s)
        elapsed_s = max(worked_until_s - self.updated_s, 0.0)
        self.progress_s += elapsed_s * self.share * speed
        self.updated_s = now
        if self.progress_s >= self.size.run_time_s:
            self.end(now, TaskState.DONE)
        elif now >= self.lease_until_s:
            self.end(now, TaskState.STOPPED, "lease lapsed")

    def report(self, vm: str, wall_s: float) -> TaskReport:
        """Returns a report of the current state."""
        running = self.state is TaskState.RUNNING
        return TaskReport(
            task_id=self.task.task_id,
            vm=vm,
            state=self.state,
            cores_used=self.size.cores * self.share if running else 0.0,
            memory_gb_used=self.size.memory_gb if running else 0.0,
            reason=self.reason,
            observed_s=wall_s,
        )


class WorkerFaults:
    """Faults injected into a worker.

    Attributes:
        fails_everything: Every task fails as soon as it starts.
        report_lag_s: Age of the worker's reports in seconds.
        size_factor: Ratio of the resources and run time that a task needs to
            those declared.
        loses_answers: Orders take effect, but their responses are lost.
        paused: The worker makes no progress, answers no order and sends no new
            report; leases still expire by the worker's clock.
        failing_payloads: Payloads that fail on this worker.
    """

    def __init__(self) -> None:
        self.fails_everything = False
        self.report_lag_s = 0.0
        self.size_factor = 1.0
        self.loses_answers = False
        self.paused = False
        self.failing_payloads: set[str] = set()


class MemoryWorker:
    """A worker that runs tasks in memory.

    Attributes:
        tasks: All tasks started in this boot, by id.
        reported: Tasks that run or ended within ``ENDED_REPORT_S``, by id.
        starts: Number of starts by job id, over all boots.
        checkpoints: Progress in seconds by job id, shared by all workers.
        snapshots: The last reports with the clock times at which they were taken.
    """

    def __init__(self, vm: str, cores: float, clock: Clock, pool: str = "") -> None:
        self.vm = vm
        self.cores = cores
        self.clock = clock
        self.pool = pool
        self.generation = 1
        self.boot_id = "boot-1"
        self.draining = False
        self.faults = WorkerFaults()
        self.tasks: dict[str, MemoryTask] = {}
        self.reported: dict[str, MemoryTask] = {}
        self.starts: Counter[str] = Counter()
        self.checkpoints: dict[str, float] = {}
        self.snapshots: list[tuple[float, tuple[TaskReport, ...]]] = []

    def advance(self) -> None:
        """Advances all tasks to the current time; drops old ended tasks."""
        if self.faults.paused:
            return
        speed = self.speed()
        now = self.clock.now()
        for task_id, item in list(self.reported.items()):
            item.advance(now, speed)
            if now - item.ended_s > ENDED_REPORT_S:
                del self.reported[task_id]

    def speed(self) -> float:
        """Returns the share of the requested processors that the worker provides."""
        requested_cores = sum(t.size.cores * t.share for t in self.running())
        return min(1.0, self.cores / requested_cores) if requested_cores else 1.0

    def running(self) -> list[MemoryTask]:
        """Returns the running tasks."""
        return [t for t in self.reported.values() if t.state is TaskState.RUNNING]

    def refusal(self, task: Task) -> str:
        """Returns the reason to refuse a task, or an empty string."""
        if self.draining:
            return "draining"
        if task.pool != self.pool:
            return "pool"
        if task.generation < self.generation:
            return "generation"
        if task.boot_id != self.boot_id:
            return "boot"
        return ""

    def start(self, task: Task) -> None:
        """Starts a task unless its id was seen in this boot.

        Raises:
            TaskRefusedError: The task did not start.
        """
        self.advance()
        if task.task_id in self.tasks:
            return
        reason = self.refusal(task)
        if reason:
            raise TaskRefusedError(f"{self.vm} refused {task.task_id}: {reason}")
        job_id = job_id_of(task.task_id)
        started = MemoryTask(task, self.actual(task), self.clock.now())
        started.progress_s = self.checkpoints.get(job_id, 0.0)
        self.tasks[task.task_id] = started
        self.reported[task.task_id] = started
        self.starts[job_id] += 1
        if self.faults.fails_everything or task.payload in self.faults.failing_payloads:
            started.end(self.clock.now(), TaskState.FAILED, "failed to start")

    def actual(self, task: Task) -> ActualSize:
        """Returns the actual size of a task; subclasses may choose another one."""
        factor = self.faults.size_factor
        return ActualSize(
            task.cores * factor, task.memory_gb * factor, task.run_time_s * factor
        )

    def renew(self, task_ids: tuple[str, ...], lease_s: float) -> None:
        """Renews the leases of the tasks that still run."""
        self.advance()
        for task_id in task_ids:
            found = self.tasks.get(task_id)
            if found is not None and found.state is TaskState.RUNNING:
                found.lease_until_s = self.clock.now() + lease_s

    def checkpoint(self, task_id: str) -> None:
        """Stops a running task and saves its progress for a later start."""
        self.advance()
        found = self.tasks.get(task_id)
        if found is not None and found.state is TaskState.RUNNING:
            self.checkpoints[job_id_of(task_id)] = found.progress_s
            found.end(self.clock.now(), TaskState.CHECKPOINTED)

    def throttle(self, task_id: str, share: float) -> None:
        """Limits a task to a share of its processors; unknown ids are ignored."""
        self.advance()
        if task_id in self.tasks:
            self.tasks[task_id].share = share

    def stop(self, task_id: str) -> None:
        """Stops a task without a checkpoint; unknown ids are ignored."""
        self.advance()
        if task_id in self.tasks:
            now = self.clock.now()
            self.tasks[task_id].end(now, TaskState.STOPPED, "stopped by order")

    def reboot(self, boot_id: str) -> None:
        """Drops all tasks and reports, and ends the drain, as a reboot does."""
        self.boot_id = boot_id
        self.draining = False
        self.tasks.clear()
        self.reported.clear()
        self.snapshots.clear()

    def reports(self) -> tuple[TaskReport, ...]:
        """Takes a snapshot and returns the newest one that is older than the lag."""
        now = self.clock.now()
        if not self.faults.paused:
            self.advance()
            wall_s = self.clock.wall()
            current_reports = tuple(
                t.report(self.vm, wall_s) for t in self.reported.values()
            )
            self.snapshots.append((now, current_reports))
            del self.snapshots[:-SNAPSHOT_LIMIT]
        limit_s = now - self.faults.report_lag_s
        visible = [reports for at_s, reports in self.snapshots if at_s <= limit_s]
        return visible[-1] if visible else ()


class MemoryWorkerClient(WorkerClient):
    """Client of in-memory workers that records every order.

    Attributes:
        workers: Workers by VM; orders to any other VM are refused.
        orders: All orders as text, in the order sent.
        down: Whether all calls fail without an answer.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.workers: dict[str, MemoryWorker] = {}
        self.checkpoints: dict[str, float] = {}
        self.orders: list[str] = []
        self.down = False

    def add(self, vm: str, cores: float, pool: str) -> MemoryWorker:
        """Adds a worker that shares the checkpoints of all workers."""
        worker = MemoryWorker(vm, cores, self.clock, pool)
        worker.checkpoints = self.checkpoints
        self.workers[vm] = worker
        return worker

    def starts(self) -> Counter[str]:
        """Returns the number of starts of each job, over all workers."""
        total: Counter[str] = Counter()
        for worker in self.workers.values():
            total.update(worker.starts)
        return total

    def record_order(self, vm: str, order: str) -> MemoryWorker:
        """Records an order and returns its worker.

        Raises:
            TaskRefusedError: There is no such worker; the order had no effect.
            PlatformError: The worker does not answer.
        """
        self.orders.append(f"{order} {vm}")
        worker = self.workers.get(vm)
        if worker is None:
            raise TaskRefusedError(f"no worker {vm}")
        if self.down or worker.faults.paused:
            raise PlatformError(f"worker {vm} did not answer")
        return worker

    def raise_if_response_lost(self, worker: MemoryWorker) -> None:
        """Raises PlatformError if the worker's responses are lost."""
        if worker.faults.loses_answers:
            raise PlatformError(f"response of worker {worker.vm} was lost")

    async def start(self, vm: str, task: Task) -> None:
        """Starts a task; see `WorkerClient.start`."""
        worker = self.record_order(vm, f"start {task.task_id}")
        worker.start(task)
        self.raise_if_response_lost(worker)

    async def renew(self, vm: str, task_ids: tuple[str, ...], lease_s: float) -> None:
        """Renews leases; see `WorkerClient.renew`."""
        worker = self.record_order(vm, f"renew {len(task_ids)}")
        worker.renew(task_ids, lease_s)
        self.raise_if_response_lost(worker)

    async def checkpoint(self, vm: str, task_id: str) -> None:
        """Checkpoints a task; see `WorkerClient.checkpoint`."""
        worker = self.record_order(vm, f"checkpoint {task_id}")
        worker.checkpoint(task_id)
        self.raise_if_response_lost(worker)

    async def throttle(self, vm: str, task_id: str, share: float) -> None:
        """Throttles a task; see `WorkerClient.throttle`."""
        worker = self.record_order(vm, f"throttle {task_id} {share:.2f}")
        worker.throttle(task_id, share)
        self.raise_if_response_lost(worker)

    async def stop(self, vm: str, task_id: str) -> None:
        """Stops a task; see `WorkerClient.stop`."""
        worker = self.record_order(vm, f"stop {task_id}")
        worker.stop(task_id)
        self.raise_if_response_lost(worker)

    async def reports(self, pool: str) -> tuple[TaskReport, ...]:
        """Returns the reports of all workers in a pool."""
        if self.down:
            raise PlatformError(f"reports of {pool}: no answer")
        return tuple(
            report
            for worker in self.workers.values()
            if worker.pool == pool
            for report in worker.reports()
        )

    async def close(self) -> None:
        """Does nothing; there are no connections to close."""


def job_id_of(task_id: str) -> str:
    """Returns the job id within a task id ``<job id>.<attempt>``."""
    return task_id.rpartition(".")[0]
