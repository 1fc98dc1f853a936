"""Distinguishes unhealthy workers from tasks that fail on any worker."""

from burdockthread_model.clock import Clock
from burdockthread_model.events import EventLog
from burdockthread_model.metrics import Metrics

from burdockthread_scheduling.board import TaskRun
from burdockthread_scheduling.worker_state import WorkerState

# Failures in a row, of different jobs, after which a worker is quarantined.
QUARANTINE_FAILURES = 2
QUARANTINE_S = 4.0
MAX_QUARANTINED_SHARE = 0.34


class WorkerHealth:
    """Judges the health of the workers of a pool by the outcomes of their runs.

    Attributes:
        failures: Jobs whose runs failed on a worker, and tasks that stalled
            there, since its last success.
        quarantined_until_s: Clock time until which a worker gets no tasks.
    """

    def __init__(self, clock: Clock, metrics: Metrics, log: EventLog) -> None:
        self.clock = clock
        self.metrics = metrics
        self.log = log
        self.failures: dict[str, set[str]] = {}
        self.quarantined_until_s: dict[str, float] = {}

    def succeed(self, worker: WorkerState) -> None:
        """Records that a run succeeded on a worker, or is available there."""
        if self.failures.pop(worker.worker_id, None) is not None:
            self.quarantined_until_s.pop(worker.worker_id, None)

    def fail(self, worker: WorkerState, task: TaskRun, workers: int) -> None:
        """Records that a run failed on a worker.

        Args:
            worker: The worker.
            task: Its task; one that also failed on another worker is ignored.
            workers: Number of workers of the pool.
        """
        if task.failed_on - {worker.worker_id}:
            return
        jobs = self.failures.setdefault(worker.worker_id, set())
        jobs.add(task.task.job_id)
        if len(jobs) >= QUARANTINE_FAILURES:
            self.quarantine(worker, workers, f"runs of {len(jobs)} jobs failed")

    def stall(self, worker: WorkerState, task: TaskRun, workers: int) -> None:
        """Records that a run makes too little progress on a worker."""
        jobs = self.failures.setdefault(worker.worker_id, set())
        jobs.add(str(task.task))
        if len(jobs) >= QUARANTINE_FAILURES:
            self.quarantine(worker, workers, f"{len(jobs)} runs stalled")

    def quarantine(self, worker: WorkerState, workers: int, reason: str) -> None:
        """Gives a worker no tasks for a while, unless too many are quarantined."""
        now = self.clock.now()
        quarantined = {
            w for w, until_s in self.quarantined_until_s.items() if until_s > now
        }
        if worker.worker_id in quarantined:
            return
        if len(quarantined) + 1 > max(workers * MAX_QUARANTINED_SHARE, 1):
            return
        self.quarantined_until_s[worker.worker_id] = now + QUARANTINE_S
        self.metrics.count("workers.rested")
        self.log.warning(
            "worker_rested",
            worker=worker.worker_id,
            reason=reason,
            seconds=QUARANTINE_S,
        )

    def is_quarantined(self, worker: WorkerState) -> bool:
        """Returns whether a worker gets no tasks now."""
        return self.quarantined_until_s.get(worker.worker_id, 0.0) > self.clock.now()

    def is_suspect(self, worker: WorkerState) -> bool:
        """Returns whether a run failed or stalled there since the last success."""
        return worker.worker_id in self.failures
