"""Processes the reports of workers: running and ended runs."""

from collections.abc import Callable

from burdockthread_scheduling.board import JobEnd, JobRun, TaskRun
from burdockthread_scheduling.disruption_budget import AVAILABLE_PERCENT
from burdockthread_scheduling.pool_core import PoolCore
from burdockthread_scheduling.pool_workers import PoolWorkers
from burdockthread_scheduling.progress_writer import ProgressWriter
from burdockthread_scheduling.run_orders import RunOrders
from burdockthread_scheduling.sessions import ReportListener
from burdockthread_scheduling.specs import TaskId
from burdockthread_scheduling.worker_state import (
    CLOCK_RATE_BOUND,
    Placement,
    PlacementPhase,
    WorkerState,
)
from burdockthread_scheduling.workers import (
    Capacity,
    EndKind,
    EndReport,
    HoldReport,
    RunReport,
)

# A stopped run may still be listed as running shortly after its end.
STOP_MARGIN_MS = 50


class RunReports(ReportListener):
    """Updates the jobs of the pool from the reports of the workers.

    Attributes:
        workers: The workers; set by the holder.
        orders: Orders to workers; set by the holder.
        writer: Stores what has ended; set by the holder.
        unclaimed: Runs of jobs that this holder does not know yet, by job.
    """

    workers: PoolWorkers
    orders: RunOrders
    writer: ProgressWriter

    def __init__(self, core: PoolCore) -> None:
        self.core = core
        self.clock = core.clock
        self.log = core.log
        self.unclaimed: dict[str, list[Placement]] = {}

    def on_fenced(self, worker: WorkerState) -> None:
        """Gives up the pool: the worker has seen a higher fencing token."""
        self.core.lose(f"fenced by {worker.worker_id}")

    def on_replaced(self, worker: WorkerState) -> None:
        """Handles another worker's answer at the address."""
        self.workers.replaced(worker)

    def on_restarted(self, worker: WorkerState, born_ms: int) -> None:
        """Handles a restart of the worker at a Unix time in milliseconds."""
        self.workers.restarted(worker, born_ms)

    def on_report(self, worker: WorkerState, report: HoldReport, sent_s: float) -> None:
        """Processes a report that was requested at clock time `sent_s`."""
        worker.contacted = True
        listed = set()
        for run in report.running:
            listed.add((run.task, run.run))
            self.on_running(worker, run, report.clock_ms, sent_s)
        for end in report.ended.ends:
            listed.add((end.task, end.run))
            if end.number > worker.seen_end:
                worker.seen_end = end.number
                self.on_end(worker, end)
        if report.is_whole():
            self.workers.note_runs_known(worker)
            self.drop_missing(worker, listed, sent_s)
        if worker.seen_end > worker.settled_end:
            self.writer.pending.set()
        self.core.wake.set()

    def on_running(
        self, worker: WorkerState, run: RunReport, clock_ms: int, sent_s: float
    ) -> None:
        """Processes a running run.

        Args:
            worker: The worker.
            run: The run.
            clock_ms: Time on the worker's clock at which the run was listed.
            sent_s: Clock time at which the report was requested.
        """
        now = self.clock.now()
        placement = self.workers.placement(worker, run.task, run.run)
        if placement is None:
            placement = self.adopt(worker, run, clock_ms)
        placement.confirm(now)
        placement.life_known = True
        placement.settle(clock_ms)
        placement.measure = run.measure
        placement.measured_s = now
        task = placement.task
        if task is not None and not task.located and self.is_after_last_order(sent_s):
            task.job.locate(task)
        if task is not None and task.step.lasting:
            placement.percent = run.percent
            if run.percent >= AVAILABLE_PERCENT:
                self.core.health.succeed(worker)
        else:
            placement.advance(run.percent, now, clock_ms)
        if task is not None and run.checkpoint:
            task.checkpoint = run.checkpoint

    def is_after_last_order(self, since_s: float) -> bool:
        """Returns whether earlier holders had sent all orders by a clock time."""
        return since_s >= self.workers.assignment.silent_s

    def adopt(self, worker: WorkerState, run: RunReport, clock_ms: int) -> Placement:
        """Adds a run that an earlier holder has started; stops it if unwanted.

        The earlier holder may have sent a stop, which reports do not show. The worker
        has refused its orders since the first answer to this holder.
        """
        task = self.core.board.find(run.task)
        wanted = task is not None and (
            not task.placements
            or (task.step.duplicates_allowed and len(task.placements) == 1)
        )
        size = task.size if task is not None else Capacity()
        placement = Placement(
            task if wanted else None,
            run.task,
            run.run,
            worker,
            size,
            self.clock.now(),
        )
        stop_ms = self.core.parts.stop_s * 1000 * CLOCK_RATE_BOUND + STOP_MARGIN_MS
        placement.pace = None
        placement.pending_stop_until_ms = int(clock_ms + stop_ms)
        worker.add(placement)
        worker.adopt_lease()
        if task is not None and wanted:
            task.placements.append(placement)
            task.last_run = max(task.last_run, run.run)
            task.job.begun = True
        else:
            if run.task.job_id not in self.core.board.jobs:
                self.unclaimed.setdefault(run.task.job_id, []).append(placement)
            self.orders.stop(placement, "not wanted")
        self.log.info(
            "run_adopted",
            task=run.task,
            run=run.run,
            worker=worker.worker_id,
            wanted=wanted,
            doubtful_ms=int(stop_ms),
        )
        return placement

    def claim(self, job: JobRun) -> None:
        """Assigns to a new job its runs that were reported before the job was known.

        The runs are being stopped; the tasks start once they have ended.
        """
        job.open_due(self.clock.wall() * 1000)
        for placement in self.unclaimed.pop(job.spec.job_id, ()):
            worker = placement.worker
            task = job.find(placement.task_id)
            key = (placement.task_id, placement.run)
            if task is None or worker.placements.get(key) is not placement:
                continue
            worker.claim(placement, task)
            task.last_run = max(task.last_run, placement.run)
            self.log.info(
                "run_claimed",
                task=placement.task_id,
                run=placement.run,
                worker=worker.worker_id,
            )

    def on_end(self, worker: WorkerState, end: EndReport) -> None:
        """Processes an ended run: success, failure or saved progress."""
        placement = self.workers.placement(worker, end.task, end.run)
        if placement is not None:
            worker.remove(placement)
        core = self.core
        core.metrics.count(f"runs.{end.kind.value}")
        self.log.info(
            "run_ended",
            task=end.task,
            run=end.run,
            worker=worker.worker_id,
            how=end.kind.value,
            number=end.number,
            stopped_here=is_stopping(placement),
        )
        job = core.board.jobs.get(end.task.job_id)
        task = core.board.find(end.task)
        if job is None or task is None:
            return
        if end.kind is EndKind.SUCCEEDED:
            core.health.succeed(worker)
            if placement is not None:
                core.estimates.learn(task, placement)
            self.succeed(job, end.task)
        elif end.kind is EndKind.FAILED:
            self.fail(job, task, worker, end.run)
        elif end.checkpoint:
            # The worker forgets it once the end is acknowledged.
            task.checkpoint = end.checkpoint
            job.dirty = True
            self.writer.queue_progress(job)

    def drop_missing(
        self, worker: WorkerState, listed: set[tuple[TaskId, int]], sent_s: float
    ) -> None:
        """Drops the runs that a worker had before the poll and no longer lists."""
        for key, placement in tuple(worker.placements.items()):
            if key in listed or placement.certain_s >= sent_s:
                continue
            worker.remove(placement)
            self.log.info(
                "run_missing",
                task=placement.task_id,
                run=placement.run,
                worker=worker.worker_id,
                stopped_here=is_stopping(placement),
            )

    def succeed(self, job: JobRun, task_id: TaskId) -> None:
        """Records the success of a task, and of all members if it is in a gang."""
        for task in job.succeed(task_id):
            for placement in tuple(task.placements):
                self.orders.stop(placement, "task succeeded")
        self.writer.queue_progress(job)

    def fail(self, job: JobRun, task: TaskRun, worker: WorkerState, run: int) -> None:
        """Records a failed run; fails the job after the last attempt of its queue."""
        task.failed_on.add(worker.worker_id)
        self.core.health.fail(worker, task, len(self.core.workers))
        if task.step.lasting:
            return
        task.failures.add(run)
        job.dirty = True
        self.writer.queue_progress(job)
        if len(job.failed_runs(task)) < job.queue.max_attempts:
            return
        job.end = JobEnd.FAILED
        self.log.info("job_failed", job=job.spec.job_id, task=task.task)
        self.stop_job(job)

    def stop_job(self, job: JobRun) -> None:
        """Stops all runs of a job."""
        for worker in self.core.workers.values():
            for placement in tuple(worker.placements.values()):
                if placement.task_id.job_id == job.spec.job_id:
                    self.orders.stop(placement, "job ended")

    def snapshot_ends(self) -> Callable[[], None]:
        """Returns a function that acknowledges the ended runs seen until now."""
        seen = [(worker, worker.seen_end) for worker in self.core.workers.values()]

        def settle() -> None:
            for worker, number in seen:
                if number <= worker.settled_end:
                    continue
                worker.settled_end = number
                entry = self.workers.sessions.get(worker.listing.key)
                if entry is not None:
                    entry[0].stored.set()
                    worker.wake.set()

        return settle


def is_stopping(placement: Placement | None) -> bool:
    """Returns whether this holder has sent a stop for a run."""
    return placement is not None and placement.phase is PlacementPhase.STOPPING
