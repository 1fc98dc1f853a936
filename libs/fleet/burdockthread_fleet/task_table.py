"""One entry's record of task reports and lease renewals."""

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
    """Newest report of each task, and the times that decide lease expiry.

    Attributes:
        reports: Newest report of each task.
        last_alive_s: Clock time at which each task was last known to be alive.
        renewed_s: Latest clock time at which a renewal may have reached each task.
        released: Tasks that their worker has confirmed as stopped.
    """

    def __init__(self) -> None:
        self.reports: dict[str, TaskReport] = {}
        self.last_alive_s: dict[str, float] = {}
        self.renewed_s: dict[str, float] = {}
        self.released: set[str] = set()

    def record_reports(
        self, reports: Iterable[TaskReport], now: float, wall_s: float
    ) -> None:
        """Stores reports, except those older than the known one.

        A final report is never replaced. A report older than ``REPORT_TRUST_S``
        does not show that a task is alive.
        """
        for report in reports:
            known = self.reports.get(report.task_id)
            if known is not None and known.observed_s > report.observed_s:
                continue
            if known is not None and known.state is not TaskState.RUNNING:
                continue
            self.reports[report.task_id] = report
            if wall_s - report.observed_s < REPORT_TRUST_S:
                self.last_alive_s[report.task_id] = now

    def report(self, job: Job) -> TaskReport | None:
        """Returns the newest report of a job's current attempt."""
        return self.reports.get(task_id_of(job))

    def track(self, task_id: str, now: float) -> None:
        """Starts to track a task whose lease may have been renewed until now."""
        self.last_alive_s.setdefault(task_id, now)
        self.renewed_s.setdefault(task_id, now)

    def record_renewal(
        self, task_ids: Iterable[str], now: float, *, answered: bool
    ) -> None:
        """Records a lease renewal that reached, or may have reached, its worker."""
        for task_id in task_ids:
            self.renewed_s[task_id] = now
            if answered and task_id in self.reports:
                self.last_alive_s[task_id] = now

    def is_silent(self, task_id: str, now: float) -> bool:
        """Returns whether a task was not known alive for ``SILENT_S``.

        The lease of a silent task is not renewed.
        """
        return now - self.last_alive_s[task_id] > SILENT_S

    def is_lease_expired(self, task_id: str, now: float) -> bool:
        """Returns whether the lease of a silent task has certainly expired."""
        lapse_s = self.renewed_s[task_id] + TASK_LEASE_S + LEASE_MARGIN_S
        return self.is_silent(task_id, now) and now >= lapse_s

    def extend_silence_limit(self, task_ids: Iterable[str], seconds: float) -> None:
        """Extends the silence allowed to tasks whose reports could not be read."""
        for task_id in task_ids:
            if task_id in self.last_alive_s:
                self.last_alive_s[task_id] += seconds

    def prune(self, kept: set[str]) -> list[str]:
        """Drops all tasks except those kept; returns the dropped ids."""
        known = self.last_alive_s.keys() | self.reports.keys() | self.released
        dropped = [task_id for task_id in known if task_id not in kept]
        for task_id in dropped:
            self.last_alive_s.pop(task_id, None)
            self.renewed_s.pop(task_id, None)
            self.reports.pop(task_id, None)
            self.released.discard(task_id)
        return dropped
