"""Estimates of actual job usage, learned from delayed task reports."""

import math
from collections import defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from burdockthread_model.job import Job

from burdockthread_fleet.worker_client import TaskReport

REPORT_MAX_AGE_S = 10.0
STALE_MARGIN = 1.25
MEMORY_MARGIN = 1.05
LEARNING_RATE = 0.2
MIN_SAMPLES = 3
CORES_DEVIATIONS = 0.5
MEMORY_DEVIATIONS = 2.0
MIN_RATIO = 0.01
MAX_RATIO = 100.0
ROUNDING_TOLERANCE = 1e-9


class Size(NamedTuple):
    """An amount of processors, memory in gigabytes and accelerators."""

    cores: float = 0.0
    memory_gb: float = 0.0
    accelerators: float = 0.0

    def plus(self, other: "Size") -> "Size":
        """Returns the sum of two sizes."""
        return Size(
            self.cores + other.cores,
            self.memory_gb + other.memory_gb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: "Size") -> "Size":
        """Returns the difference of two sizes; amounts may become negative."""
        return Size(
            self.cores - other.cores,
            self.memory_gb - other.memory_gb,
            self.accelerators - other.accelerators,
        )

    def fits(self, capacity: "Size") -> bool:
        """Returns whether no resource exceeds the available capacity."""
        return (
            self.cores <= capacity.cores + ROUNDING_TOLERANCE
            and self.memory_gb <= capacity.memory_gb + ROUNDING_TOLERANCE
            and self.accelerators <= capacity.accelerators + ROUNDING_TOLERANCE
        )

    def share_of(self, whole: "Size") -> float:
        """Returns the dominant share of a whole: the largest over its resources."""
        share = self.cores / whole.cores if whole.cores > 0 else 0.0
        if whole.memory_gb > 0:
            share = max(share, self.memory_gb / whole.memory_gb)
        if whole.accelerators > 0:
            share = max(share, self.accelerators / whole.accelerators)
        return share


def sum_sizes(sizes: Iterable[Size]) -> Size:
    """Returns the sum of sizes, which is zero for none."""
    columns = tuple(zip(*sizes, strict=True))
    return Size(*map(sum, columns)) if columns else Size()


def declared_size(job: Job) -> Size:
    """Returns the resources that a job declares."""
    return Size(job.cores, job.memory_gb, job.accelerators)


class RatioEstimate:
    """Running mean and variance of the logarithm of used over declared amounts."""

    def __init__(self) -> None:
        self.samples = 0
        self.mean = 0.0
        self.variance = 0.0

    def learn(self, ratio: float) -> None:
        """Adds one ratio of used to declared, as an exponential moving average."""
        value = math.log(min(max(ratio, MIN_RATIO), MAX_RATIO))
        self.samples += 1
        rate = max(LEARNING_RATE, 1.0 / self.samples)
        step = value - self.mean
        self.mean += rate * step
        self.variance = (1 - rate) * (self.variance + rate * step * step)

    def factor(self, deviations: float) -> float:
        """Returns the ratio at some standard deviations above the mean.

        With fewer than ``MIN_SAMPLES`` samples the factor is at least 1, so that
        a few samples cannot shrink a job.

        Args:
            deviations: Number of standard deviations above the mean.
        """
        if self.samples < MIN_SAMPLES:
            return max(1.0, math.exp(self.mean)) if self.samples else 1.0
        return math.exp(self.mean + deviations * math.sqrt(self.variance))


class Correction:
    """Estimates of used over declared resources for one service and team."""

    def __init__(self) -> None:
        self.cores = RatioEstimate()
        self.memory = RatioEstimate()

    def learn(self, declared: Size, report: TaskReport) -> None:
        """Learns from one report of a running task."""
        if declared.cores > 0:
            self.cores.learn(report.cores_used / declared.cores)
        if declared.memory_gb > 0:
            self.memory.learn(report.memory_gb_used / declared.memory_gb)

    def is_known(self) -> bool:
        """Returns whether at least ``MIN_SAMPLES`` tasks were learned from."""
        return min(self.cores.samples, self.memory.samples) >= MIN_SAMPLES


class Factors(NamedTuple):
    """Ratios of expected usage to declared resources."""

    cores: float = 1.0
    memory: float = 1.0


class UsageEstimates:
    """Expected sizes of jobs.

    Attributes:
        corrections: Estimates by service and team; those under an empty service
            name cover all services of the team.
        factors: Cached factors from the corrections, by team and service.
        learned: Ids of tasks that were learned from.
        shares: Share of its processors that a throttled task may use, by task id.
    """

    def __init__(self) -> None:
        self.corrections: dict[tuple[str, str], Correction] = {}
        self.factors: defaultdict[str, dict[str, Factors]] = defaultdict(dict)
        self.learned: set[str] = set()
        self.shares: dict[str, float] = {}

    def learn(self, job: Job, report: TaskReport) -> None:
        """Learns from a task, once and only while the task is not throttled.

        Args:
            job: Job of the task.
            report: Report of the running task; a report without any usage is
                ignored.
        """
        if report.task_id in self.learned or report.task_id in self.shares:
            return
        if report.cores_used <= 0 and report.memory_gb_used <= 0:
            return
        self.learned.add(report.task_id)
        self.factors.pop(job.team, None)
        for key in ((job.service, job.team), ("", job.team)):
            correction = self.corrections.setdefault(key, Correction())
            correction.learn(declared_size(job), report)

    def expected(self, job: Job) -> Size:
        """Returns the expected usage of a job that does not run yet."""
        by_service = self.factors[job.team]
        factors = by_service.get(job.service)
        if factors is None:
            factors = self.factors_of(job.service, job.team)
            by_service[job.service] = factors
        return Size(
            job.cores * factors.cores,
            job.memory_gb * factors.memory,
            job.accelerators,
        )

    def factors_of(self, service: str, team: str) -> Factors:
        """Returns the factors for a team's jobs in a service.

        Until enough tasks of the service are known, the team's estimates over all
        services are used.
        """
        found = self.corrections.get((service, team))
        if found is None or not found.is_known():
            found = self.corrections.get(("", team))
        if found is None:
            return Factors()
        return Factors(
            found.cores.factor(CORES_DEVIATIONS),
            found.memory.factor(MEMORY_DEVIATIONS),
        )

    def running(self, job: Job, report: TaskReport | None, wall_s: float) -> Size:
        """Returns the estimated current usage of a claimed job.

        A report older than ``REPORT_MAX_AGE_S`` counts with a margin, and for no
        less than the usage expected before the start. A throttled task is counted
        with the processors that it would use at full speed.

        Args:
            job: A claimed or running job.
            report: Its newest report, or None.
            wall_s: Unix time in seconds.
        """
        if report is None:
            return self.expected(job)
        if wall_s - report.observed_s > REPORT_MAX_AGE_S:
            expected = self.expected(job)
            return Size(
                max(expected.cores, report.cores_used) * STALE_MARGIN,
                max(expected.memory_gb, report.memory_gb_used) * STALE_MARGIN,
                job.accelerators,
            )
        full_speed_cores = report.cores_used / self.shares.get(report.task_id, 1.0)
        memory_gb = report.memory_gb_used * MEMORY_MARGIN
        return Size(full_speed_cores, memory_gb, job.accelerators)

    def forget(self, task_id: str) -> None:
        """Drops all state of one task."""
        self.learned.discard(task_id)
        self.shares.pop(task_id, None)
