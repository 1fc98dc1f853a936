"""Workers that fail everything, and jobs that fail everywhere."""

from collections import defaultdict
from collections.abc import Collection

FAILURE_SCORE = 3.0
FIRST_QUARANTINE_S = 60.0
LONGEST_QUARANTINE_S = 960.0
MAX_QUARANTINED_SHARE = 0.5
FAILING_WORKERS = 3
MAX_ATTEMPTS = 20


class WorkerQuarantine:
    """Judges workers and jobs by each other's failures.

    A failure counts against its worker, divided by the number of workers that
    the job has failed on: a job that fails everywhere says little about any of
    them. A success clears the worker.

    Attributes:
        until_s: Clock time at which the probation of a worker begins.
        failures: Jobs that failed since the last success, by worker.
        failed_on: Workers that a job has failed on, by job.
        proven: Workers whose last job ended well.
    """

    def __init__(self) -> None:
        self.until_s: dict[str, float] = {}
        self.period_s: dict[str, float] = {}
        self.failures: defaultdict[str, set[str]] = defaultdict(set)
        self.failed_on: defaultdict[str, set[str]] = defaultdict(set)
        self.proven: set[str] = set()

    def succeed(self, vm: str, job_id: str) -> bool:
        """Notes a job that ended well.

        Returns:
            Whether the worker has come back from its quarantine.
        """
        self.proven.add(vm)
        self.failures.pop(vm, None)
        self.failed_on.pop(job_id, None)
        self.period_s.pop(vm, None)
        return self.until_s.pop(vm, None) is not None

    def fail(self, vm: str, job_id: str, now: float) -> bool:
        """Notes a job that failed on its worker.

        Returns:
            Whether the worker is quarantined because of it.
        """
        self.proven.discard(vm)
        self.failures[vm].add(job_id)
        self.failed_on[job_id].add(vm)
        on_probation = vm in self.until_s and now >= self.until_s[vm]
        if vm in self.until_s and not on_probation:
            return False
        if not on_probation and self.score(vm) < FAILURE_SCORE:
            return False
        period_s = self.period_s.get(vm, FIRST_QUARANTINE_S / 2) * 2
        self.period_s[vm] = min(period_s, LONGEST_QUARANTINE_S)
        self.until_s[vm] = now + self.period_s[vm]
        self.acquit_jobs(vm)
        return True

    def score(self, vm: str) -> float:
        """Returns how much speaks against a worker.

        A job that has ended since counts in full: it ran well elsewhere, or was
        not tried anywhere else.
        """
        return sum(
            1.0 / max(len(self.failed_on.get(job_id, ())), 1)
            for job_id in self.failures[vm]
        )

    def acquit_jobs(self, vm: str) -> None:
        """Takes back what a quarantined worker's failures said of the jobs."""
        for job_id in self.failures.pop(vm, set()):
            self.failed_on[job_id].discard(vm)

    def is_closed(self, vm: str, now: float) -> bool:
        """Returns whether a worker gets no work."""
        return vm in self.until_s and now < self.until_s[vm]

    def is_on_probation(self, vm: str, now: float) -> bool:
        """Returns whether a worker gets one job at a time."""
        return vm in self.until_s and now >= self.until_s[vm]

    def closed(self, vms: Collection[str], now: float) -> set[str]:
        """Returns the workers of a pool that get no work, a part of it at most."""
        closed = [vm for vm in vms if self.is_closed(vm, now)]
        closed.sort(key=lambda vm: self.until_s[vm], reverse=True)
        return set(closed[: int(len(vms) * MAX_QUARANTINED_SHARE)])

    def fails_everywhere(self, job_id: str, vm: str, attempt: int, vms: int) -> bool:
        """Returns whether one more failure shows that a job cannot run.

        Args:
            job_id: The job.
            vm: Worker that it failed on now.
            attempt: Its attempt.
            vms: Workers that could run it.
        """
        if attempt >= MAX_ATTEMPTS:
            return True
        if vm in self.until_s:
            return False
        failed_on = self.failed_on.get(job_id, set()) | {vm}
        return len(failed_on) >= min(FAILING_WORKERS, max(vms, 1))

    def forget_job(self, job_id: str) -> None:
        """Drops what is kept for a job."""
        self.failed_on.pop(job_id, None)

    def blame_job(self, job_id: str) -> None:
        """Takes back what a job that fails everywhere said of its workers."""
        for vm in self.failed_on.pop(job_id, set()):
            self.failures[vm].discard(job_id)

    def reasons(self, now: float) -> dict[str, str]:
        """Returns for each quarantined worker why and how long."""
        reasons = {}
        for vm, until_s in self.until_s.items():
            left_s = until_s - now
            state = f"closed for {left_s:.0f} s" if left_s > 0 else "on probation"
            reasons[vm] = f"failed what it started; {state}"
        return reasons
