"""Estimates how long tasks take and how much work arrives per second."""

import math
from collections import deque
from statistics import median

from burdockthread_model.clock import Clock

from burdockthread_scheduling.board import StepRun, TaskRun
from burdockthread_scheduling.specs import StepSpec
from burdockthread_scheduling.worker_state import (
    Placement,
    PlacementPhase,
    WorkerState,
)

LEARN_SHARE = 0.05
DEFAULT_S = 1.0
MIN_LEFT_S = 0.05
# Below this share of the work done, the rate of progress is too inaccurate.
MIN_PERCENT = 10
# Window over which the arrival rate is averaged.
ARRIVAL_WINDOW_S = 1.0
# Shorter window, in which the start of a burst is seen sooner.
ONSET_S = 0.4


class DurationEstimates:
    """Expected durations, from the step's other tasks or else from the queue.

    Attributes:
        means_s: Mean duration by queue.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.means_s: dict[str, float] = {}

    def total_s(self, task: TaskRun, besides: WorkerState | None = None) -> float:
        """Returns the expected duration of a task in seconds.

        Args:
            task: The task.
            besides: Worker whose runs are ignored, since it may be slow.
        """
        step = task.job.step_run(task.task.occurrence, task.task.step)
        if step is None:
            return self.corrected_estimate_s(task.step, task.job.spec.queue)
        total_s = self.step_total_s(step, besides)
        is_known = bool(task.foreseen_s) and bool(self.observed_s(step, besides))
        # One slow run tells less than other tasks of the step; two tell more.
        if len(task.foreseen_s) > int(is_known):
            return max(total_s, min(task.foreseen_s))
        return total_s

    def step_total_s(self, step: StepRun, besides: WorkerState | None = None) -> float:
        """Returns the expected duration of the tasks of a step in seconds.

        Args:
            step: The step.
            besides: Worker whose runs are ignored, since it may be slow.
        """
        known_s = self.observed_s(step, besides)
        if known_s:
            return median(known_s)
        return self.corrected_estimate_s(step.spec, step.queue)

    def corrected_estimate_s(self, step: StepSpec, queue: str) -> float:
        """Returns the declared duration in seconds, corrected by the queue's mean."""
        declared_s = step.estimated_ms / 1000
        mean_s = self.means_s.get(queue)
        if declared_s <= 0:
            return mean_s or DEFAULT_S
        if mean_s is None:
            return declared_s
        # Both are rough: their geometric mean has the smallest error.
        return math.sqrt(declared_s * mean_s)

    def observed_s(
        self, step: StepRun, besides: WorkerState | None = None
    ) -> list[float]:
        """Returns the known durations of a step's tasks and those its rates predict."""
        found = list(step.durations_s)
        for task in step.open_tasks.values():
            for placement in task.placements:
                if placement.percent < MIN_PERCENT or not placement.rate:
                    continue
                if placement.worker is besides:
                    continue
                done_s = placement.progress_s - placement.ordered_s
                found.append(done_s + (100 - placement.percent) / placement.rate)
        return found

    def left_s(self, task: TaskRun, total_s: float | None = None) -> float:
        """Returns the expected remaining seconds of a task.

        Args:
            task: The task.
            total_s: Expected duration of the tasks of its step, if known.
        """
        if total_s is None:
            total_s = self.total_s(task)
        if not task.placements:
            return max(total_s, MIN_LEFT_S)
        now = self.clock.now()
        known = [
            left_s
            for placement in task.placements
            if (left_s := placement.left_s(now)) is not None
        ]
        if known:
            return max(min(*known, total_s), MIN_LEFT_S)
        for placement in task.placements:
            if placement.phase is PlacementPhase.CONFIRMED:
                total_s -= now - placement.ordered_s
        return max(total_s, MIN_LEFT_S)

    def learn(self, task: TaskRun, placement: Placement) -> None:
        """Records the duration of a run that succeeded."""
        took_s = self.clock.now() - placement.ordered_s
        step = task.job.step_run(task.task.occurrence, task.task.step)
        if step is not None:
            step.durations_s.append(took_s)
        queue = task.job.spec.queue
        known_s = self.means_s.get(queue, took_s)
        self.means_s[queue] = known_s + LEARN_SHARE * (took_s - known_s)


class ArrivalRate:
    """Rate at which work arrives, over a sliding window."""

    def __init__(self) -> None:
        self.arrivals: deque[tuple[float, float]] = deque()

    def add(self, work: float, now: float) -> None:
        """Records work that has arrived."""
        self.arrivals.append((now, work))

    def per_s(self, now: float) -> float:
        """Returns the work that arrives per second, the higher of both windows."""
        while self.arrivals and now - self.arrivals[0][0] > ARRIVAL_WINDOW_S:
            self.arrivals.popleft()
        # A running total would lose what is added next to a very large job.
        total = sum(work for _, work in self.arrivals)
        lately = sum(work for at_s, work in self.arrivals if now - at_s < ONSET_S)
        return max(total / ARRIVAL_WINDOW_S, lately / ONSET_S)
