"""Learns how long tasks really take, and how much work arrives."""

import math
from collections import deque

from burdockthread_model.clock import Clock

from burdockthread_scheduling.board import TaskRun
from burdockthread_scheduling.worker_state import Placement, PlacementPhase

LEARN_SHARE = 0.05
DEFAULT_S = 1.0
MIN_LEFT_S = 0.1
# Work that arrived within this time tells the present rate.
INFLOW_WINDOW_S = 1.0


class DurationEstimates:
    """Durations of tasks by queue.

    Attributes:
        means_s: Mean duration by queue.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.means_s: dict[str, float] = {}

    def total_s(self, task: TaskRun) -> float:
        """Returns the expected duration of a task in seconds."""
        told_s = task.step.estimated_ms / 1000
        mean_s = self.means_s.get(task.job.spec.queue)
        if told_s <= 0:
            return mean_s or DEFAULT_S
        if mean_s is None:
            return told_s
        # What is told is as wrong as the mean is: the middle errs least.
        return math.sqrt(told_s * mean_s)

    def left_s(self, task: TaskRun) -> float:
        """Returns the seconds that a task probably still takes."""
        total_s = self.total_s(task)
        for placement in task.placements:
            if placement.phase is PlacementPhase.CONFIRMED:
                total_s -= self.clock.now() - placement.ordered_s
        return max(total_s, MIN_LEFT_S)

    def learn(self, task: TaskRun, placement: Placement) -> None:
        """Takes in how long a run took that succeeded."""
        took_s = self.clock.now() - placement.ordered_s
        queue = task.job.spec.queue
        known_s = self.means_s.get(queue, took_s)
        self.means_s[queue] = known_s + LEARN_SHARE * (took_s - known_s)


class Inflow:
    """The work that arrived lately."""

    def __init__(self) -> None:
        self.arrivals: deque[tuple[float, float]] = deque()
        self.total = 0.0

    def add(self, work: float, now: float) -> None:
        """Notes work that has arrived."""
        self.arrivals.append((now, work))
        self.total += work

    def per_s(self, now: float) -> float:
        """Returns the work that arrives each second."""
        while self.arrivals and now - self.arrivals[0][0] > INFLOW_WINDOW_S:
            self.total -= self.arrivals.popleft()[1]
        return max(self.total, 0.0) / INFLOW_WINDOW_S
