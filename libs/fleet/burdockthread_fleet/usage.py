"""Estimates of what jobs really use, learned from reports that lag."""

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
    """Processors, memory in gigabytes and accelerators."""

    cores: float = 0.0
    memory_gb: float = 0.0
    accelerators: float = 0.0

    def plus(self, other: "Size") -> "Size":
        """Returns the sum."""
        return Size(
            self.cores + other.cores,
            self.memory_gb + other.memory_gb,
            self.accelerators + other.accelerators,
        )

    def minus(self, other: "Size") -> "Size":
        """Returns the difference."""
        return Size(
            self.cores - other.cores,
            self.memory_gb - other.memory_gb,
            self.accelerators - other.accelerators,
        )

    def fits(self, room: "Size") -> bool:
        """Returns whether it is nowhere larger than some room."""
        return (
            self.cores <= room.cores + ROUNDING_TOLERANCE
            and self.memory_gb <= room.memory_gb + ROUNDING_TOLERANCE
            and self.accelerators <= room.accelerators + ROUNDING_TOLERANCE
        )

    def share_of(self, whole: "Size") -> float:
        """Returns the largest share of a whole, over what the whole has."""
        share = self.cores / whole.cores if whole.cores > 0 else 0.0
        if whole.memory_gb > 0:
            share = max(share, self.memory_gb / whole.memory_gb)
        if whole.accelerators > 0:
            share = max(share, self.accelerators / whole.accelerators)
        return share


def sum_sizes(sizes: Iterable[Size]) -> Size:
    """Returns the sum of sizes."""
    columns = tuple(zip(*sizes, strict=True))
    return Size(*map(sum, columns)) if columns else Size()


def declared_size(job: Job) -> Size:
    """Returns what a job declares."""
    return Size(job.cores, job.memory_gb, job.accelerators)


class RatioEstimate:
    """Running estimate of used against declared, on a logarithmic scale."""

    def __init__(self) -> None:
        self.samples = 0
        self.mean = 0.0
        self.variance = 0.0

    def learn(self, ratio: float) -> None:
        """Takes one ratio in."""
        value = math.log(min(max(ratio, MIN_RATIO), MAX_RATIO))
        self.samples += 1
        rate = max(LEARNING_RATE, 1.0 / self.samples)
        step = value - self.mean
        self.mean += rate * step
        self.variance = (1 - rate) * (self.variance + rate * step * step)

    def factor(self, deviations: float) -> float:
        """Returns a factor that is rarely exceeded.

        Args:
            deviations: Standard deviations above the mean.
        """
        if self.samples < MIN_SAMPLES:
            return max(1.0, math.exp(self.mean)) if self.samples else 1.0
        return math.exp(self.mean + deviations * math.sqrt(self.variance))


class Correction:
    """What is learned for one service and team."""

    def __init__(self) -> None:
        self.cores = RatioEstimate()
        self.memory = RatioEstimate()

    def learn(self, declared: Size, report: TaskReport) -> None:
        """Takes one report of a running task in."""
        if declared.cores > 0:
            self.cores.learn(report.cores_used / declared.cores)
        if declared.memory_gb > 0:
            self.memory.learn(report.memory_gb_used / declared.memory_gb)

    def is_known(self) -> bool:
        """Returns whether enough tasks have been seen."""
        return min(self.cores.samples, self.memory.samples) >= MIN_SAMPLES


class Factors(NamedTuple):
    """Expected usage over what a job declares."""

    cores: float = 1.0
    memory: float = 1.0


class UsageEstimates:
    """Expected sizes of jobs.

    Attributes:
        corrections: What was learned, by service and team; under an empty service
            what was learned of a team in all services.
        factors: What follows from the corrections, by team and service.
        learned: Tasks that have been learned from.
        shares: Share of its processors that a throttled task has, by task id.
    """

    def __init__(self) -> None:
        self.corrections: dict[tuple[str, str], Correction] = {}
        self.factors: defaultdict[str, dict[str, Factors]] = defaultdict(dict)
        self.learned: set[str] = set()
        self.shares: dict[str, float] = {}

    def learn(self, job: Job, report: TaskReport) -> None:
        """Learns once from a task that has started to work.

        Args:
            job: Job of the task.
            report: Report that shows the task running at full speed.
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
        """Returns what a job that does not run yet is expected to use."""
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
        """Returns what the corrections say of a service's jobs of a team."""
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
        """Returns what a claimed job is taken to use now.

        A report that is too old counts only with a margin, and never for less
        than what was expected before the start.

        Args:
            job: A claimed or running job.
            report: Its newest report, or None.
            wall_s: Unix time.
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
        """Drops what is kept for one task."""
        self.learned.discard(task_id)
        self.shares.pop(task_id, None)
