"""What one entry knows of the tasks on the workers."""

from collections.abc import Iterable

from burdockthread_model.job import Job

from burdockthread_fleet.job_outcomes import task_id_of
from burdockthread_fleet.worker_client import TaskReport, TaskState

TASK_LEASE_S = 30.0
RENEW_INTERVAL_S = 10.0
LEASE_MARGIN_S = 5.0
SILENT_S = 20.0
REPORT_TRUST_S = 60.0


class TaskTable:
    """Newest reports, and the times by which leases are judged.

    Attributes:
        reports: Newest report of each task.
        seen_s: Clock time of the last sign of life of each task.
        renewed_s: Clock time up to which a renewal may have reached each task.
        released: Tasks that a worker has confirmed to have stopped.
    """

    def __init__(self) -> None:
        self.reports: dict[str, TaskReport] = {}
        self.seen_s: dict[str, float] = {}
        self.renewed_s: dict[str, float] = {}
        self.released: set[str] = set()

    def take(self, reports: Iterable[TaskReport], now: float, wall_s: float) -> None:
        """Takes reports in; an older one never replaces a newer one."""
        for report in reports:
            known = self.reports.get(report.task_id)
            if known is not None and known.observed_s > report.observed_s:
                continue
            if known is not None and known.state is not TaskState.RUNNING:
                continue
            self.reports[report.task_id] = report
            if wall_s - report.observed_s < REPORT_TRUST_S:
                self.seen_s[report.task_id] = now

    def report(self, job: Job) -> TaskReport | None:
        """Returns the newest report of a job's current attempt."""
        return self.reports.get(task_id_of(job))

    def adopt(self, task_id: str, now: float) -> None:
        """Starts to follow a task that may have been renewed until now."""
        self.seen_s.setdefault(task_id, now)
        self.renewed_s.setdefault(task_id, now)

    def renewed(self, task_ids: Iterable[str], now: float, *, answered: bool) -> None:
        """Notes a renewal that has, or may have, reached its worker."""
        for task_id in task_ids:
            self.renewed_s[task_id] = now
            if answered and task_id in self.reports:
                self.seen_s[task_id] = now

    def is_silent(self, task_id: str, now: float) -> bool:
        """Returns whether a task shows no sign of life; its lease may lapse."""
        return now - self.seen_s[task_id] > SILENT_S

    def is_lapsed(self, task_id: str, now: float) -> bool:
        """Returns whether the lease of a silent task has surely lapsed."""
        lapse_s = self.renewed_s[task_id] + TASK_LEASE_S + LEASE_MARGIN_S
        return self.is_silent(task_id, now) and now >= lapse_s

    def hold(self, task_ids: Iterable[str], seconds: float) -> None:
        """Leaves out a time in which no reports could be read."""
        for task_id in task_ids:
            if task_id in self.seen_s:
                self.seen_s[task_id] += seconds

    def prune(self, kept: set[str]) -> list[str]:
        """Forgets all tasks but those kept; returns the forgotten."""
        known = self.seen_s.keys() | self.reports.keys() | self.released
        dropped = [task_id for task_id in known if task_id not in kept]
        for task_id in dropped:
            self.seen_s.pop(task_id, None)
            self.renewed_s.pop(task_id, None)
            self.reports.pop(task_id, None)
            self.released.discard(task_id)
        return dropped
