"""Quarantine of workers that fail many jobs, and detection of failing jobs."""

from collections import defaultdict
from collections.abc import Collection

FAILURE_SCORE = 3.0
FIRST_QUARANTINE_S = 60.0
LONGEST_QUARANTINE_S = 960.0
MAX_QUARANTINED_SHARE = 0.5
FAILING_WORKERS = 3
MAX_ATTEMPTS = 20


class WorkerQuarantine:
    """Decides from failures whether the worker or the job is at fault.

    Each failed job adds to its worker's failure score 1 divided by the number of
    workers that the job has failed on, because a job that fails on every worker
    is little evidence against any of them. A success clears the worker.

    Attributes:
        until_s: Clock time at which a worker's quarantine ends and its probation
            begins, by worker.
        period_s: Length in seconds of a worker's last quarantine, by worker.
        failures: Jobs that failed since the last success, by worker.
        failed_on: Workers that a job has failed on, by job.
        proven: Workers whose last job succeeded.
    """

    def __init__(self) -> None:
        self.until_s: dict[str, float] = {}
        self.period_s: dict[str, float] = {}
        self.failures: defaultdict[str, set[str]] = defaultdict(set)
        self.failed_on: defaultdict[str, set[str]] = defaultdict(set)
        self.proven: set[str] = set()

    def succeed(self, vm: str, job_id: str) -> bool:
        """Records a job that succeeded on its worker.

        Returns:
            Whether the success ended the worker's quarantine or probation.
        """
        self.proven.add(vm)
        self.failures.pop(vm, None)
        self.failed_on.pop(job_id, None)
        self.period_s.pop(vm, None)
        return self.until_s.pop(vm, None) is not None

    def fail(self, vm: str, job_id: str, now: float) -> bool:
        """Records a job that failed on its worker.

        The first quarantine lasts ``FIRST_QUARANTINE_S``; each failure on probation
        doubles it, up to ``LONGEST_QUARANTINE_S``.

        Returns:
            Whether this failure started a quarantine of the worker.
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
        self.discard_failures_of_worker(vm)
        return True

    def score(self, vm: str) -> float:
        """Returns the failure score of a worker.

        A job that has ended since counts in full, because it succeeded on another
        worker or was not tried on one.
        """
        return sum(
            1.0 / max(len(self.failed_on.get(job_id, ())), 1)
            for job_id in self.failures[vm]
        )

    def discard_failures_of_worker(self, vm: str) -> None:
        """Removes a quarantined worker's failures from the records of its jobs."""
        for job_id in self.failures.pop(vm, set()):
            self.failed_on[job_id].discard(vm)

    def is_quarantined(self, vm: str, now: float) -> bool:
        """Returns whether a worker is in quarantine and gets no jobs."""
        return vm in self.until_s and now < self.until_s[vm]

    def is_on_probation(self, vm: str, now: float) -> bool:
        """Returns whether a worker's quarantine has ended without a success since.

        A worker on probation gets one job at a time.
        """
        return vm in self.until_s and now >= self.until_s[vm]

    def quarantined(self, vms: Collection[str], now: float) -> set[str]:
        """Returns the workers of a pool that get no jobs.

        At most ``MAX_QUARANTINED_SHARE`` of the pool is returned, the workers with
        the latest end of quarantine first, so that the pool keeps working.
        """
        quarantined = [vm for vm in vms if self.is_quarantined(vm, now)]
        quarantined.sort(key=lambda vm: self.until_s[vm], reverse=True)
        return set(quarantined[: int(len(vms) * MAX_QUARANTINED_SHARE)])

    def fails_everywhere(self, job_id: str, vm: str, attempt: int, vms: int) -> bool:
        """Returns whether a failed attempt shows that a job cannot run anywhere.

        Args:
            job_id: The job.
            vm: Worker on which this attempt failed.
            attempt: Number of this attempt.
            vms: Number of workers that could run the job.
        """
        if attempt >= MAX_ATTEMPTS:
            return True
        if vm in self.until_s:
            return False
        failed_on = self.failed_on.get(job_id, set()) | {vm}
        return len(failed_on) >= min(FAILING_WORKERS, max(vms, 1))

    def forget_job(self, job_id: str) -> None:
        """Drops the record of the workers that a job has failed on."""
        self.failed_on.pop(job_id, None)

    def discard_failures_of_job(self, job_id: str) -> None:
        """Removes the failures of a job at fault from the records of its workers."""
        for vm in self.failed_on.pop(job_id, set()):
            self.failures[vm].discard(job_id)

    def reasons(self, now: float) -> dict[str, str]:
        """Returns the reason and the remaining time of each quarantine."""
        reasons = {}
        for vm, until_s in self.until_s.items():
            left_s = until_s - now
            state = f"quarantined for {left_s:.0f} s" if left_s > 0 else "on probation"
            reasons[vm] = f"jobs failed on this worker; {state}"
        return reasons
