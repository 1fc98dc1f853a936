"""Finds runs that a fresh one would overtake."""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from burdockthread_model.clock import Clock

from burdockthread_scheduling.board import JobRun, StepRun, TaskRun
from burdockthread_scheduling.estimates import DurationEstimates
from burdockthread_scheduling.worker_state import Placement, PlacementPhase

# A copy is worth its processors if it ends this much sooner.
COPY_FACTOR = 1.3
COPY_MARGIN_S = 0.15
# A run is given up only if a fresh one surely ends sooner.
RESTART_FACTOR = 2.0
RESTART_MARGIN_S = 0.4
MIN_AGE_S = 0.4


class Laggard(NamedTuple):
    """A run that a fresh one would overtake.

    Attributes:
        task: Its task.
        placement: The run.
        left_s: Seconds that it would still take.
        fresh_s: Seconds that a fresh run would take.
    """

    task: TaskRun
    placement: Placement
    left_s: float
    fresh_s: float


class LaggardFinder:
    """Compares the progress of runs with the expected durations."""

    def __init__(self, estimates: DurationEstimates, clock: Clock) -> None:
        self.estimates = estimates
        self.clock = clock

    def find(self, jobs: Iterable[JobRun]) -> Iterator[Laggard]:
        """Yields the laggards among the runs of some jobs."""
        for job in jobs:
            if job.end is not None:
                continue
            for steps in job.occurrences.values():
                for step in steps:
                    if step.open_tasks and not step.spec.lasting:
                        yield from self.of_step(step)

    def of_step(self, step: StepRun) -> Iterator[Laggard]:
        """Yields the laggards of a step."""
        if step.spec.gang:
            return
        now = self.clock.now()
        for task in tuple(step.open_tasks.values()):
            if len(task.placements) != 1:
                continue
            placement = task.placements[0]
            if placement.phase is not PlacementPhase.CONFIRMED:
                continue
            if now - placement.ordered_s < MIN_AGE_S:
                continue
            if placement.worker.failed_calls and not step.spec.duplicates_allowed:
                continue
            left_s = self.left_s(placement, now)
            fresh_s = self.estimates.total_s(task, placement.worker)
            if self.is_overtaken(task, left_s, fresh_s):
                yield Laggard(task, placement, left_s, fresh_s)

    def left_s(self, placement: Placement, now: float) -> float:
        """Returns the seconds that a run will still take."""
        if placement.worker.failed_calls:
            return float("inf")
        return placement.left_s(now) or 0.0

    def is_overtaken(self, task: TaskRun, left_s: float, fresh_s: float) -> bool:
        """Returns whether a fresh run would end sooner by enough."""
        if task.step.duplicates_allowed:
            return left_s > fresh_s * COPY_FACTOR + COPY_MARGIN_S
        return left_s > fresh_s * RESTART_FACTOR + RESTART_MARGIN_S
