"""Finds stragglers: runs that a new run of the task would finish before."""

from collections.abc import Iterable, Iterator
from typing import NamedTuple

from burdockthread_model.clock import Clock

from burdockthread_scheduling.board import JobRun, StepRun, TaskRun
from burdockthread_scheduling.estimates import DurationEstimates
from burdockthread_scheduling.worker_state import Placement, PlacementPhase

# A duplicate is worth its processors if its end is sooner by this factor and margin.
COPY_FACTOR = 1.3
COPY_MARGIN_S = 0.15
# Work is lost when a run is restarted, so a new run must be sooner by far, and by this
# factor more after each restart of the task.
RESTART_FACTOR = 2.0
RESTART_MARGIN_S = 0.4
MIN_AGE_S = 0.4


class Straggler(NamedTuple):
    """A run that a new run of its task would finish before.

    Attributes:
        task: Its task.
        placement: The run.
        left_s: Seconds that the run would still take.
        fresh_s: Seconds that a new run would take.
    """

    task: TaskRun
    placement: Placement
    left_s: float
    fresh_s: float


class StragglerFinder:
    """Compares the progress of runs with the expected durations."""

    def __init__(self, estimates: DurationEstimates, clock: Clock) -> None:
        self.estimates = estimates
        self.clock = clock

    def find(self, jobs: Iterable[JobRun]) -> Iterator[Straggler]:
        """Yields the stragglers among the runs of some jobs."""
        for job in jobs:
            if job.end is not None:
                continue
            for steps in job.occurrences.values():
                for step in steps:
                    if step.open_tasks and not step.spec.lasting:
                        yield from self.of_step(step)

    def of_step(self, step: StepRun) -> Iterator[Straggler]:
        """Yields the stragglers of a step; a gang has none."""
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
                yield Straggler(task, placement, left_s, fresh_s)

    def left_s(self, placement: Placement, now: float) -> float:
        """Returns the remaining seconds; infinity if the worker does not answer."""
        if placement.worker.failed_calls:
            return float("inf")
        return placement.left_s(now) or 0.0

    def is_overtaken(self, task: TaskRun, left_s: float, fresh_s: float) -> bool:
        """Returns whether a new run would end enough sooner to be started."""
        if task.step.duplicates_allowed:
            return left_s > fresh_s * COPY_FACTOR + COPY_MARGIN_S
        factor = RESTART_FACTOR ** (1 + len(task.foreseen_s))
        return left_s > fresh_s * factor + RESTART_MARGIN_S
