"""How many tasks of a long-running step may be unavailable at once."""

from typing import NamedTuple

from burdockthread_scheduling.board import TaskRun
from burdockthread_scheduling.worker_state import PlacementPhase

AVAILABLE_PERCENT = 100


class DisruptionBudget(NamedTuple):
    """The disruption budget of a long-running step, seen from one of its tasks.

    Attributes:
        away: Other tasks of the step that are not known to be available.
        allowed: Tasks that planned work may make unavailable at once.
    """

    away: int
    allowed: int

    @classmethod
    def excluding(cls, task: TaskRun) -> "DisruptionBudget":
        """Returns the budget of the step of a task, counting its other tasks."""
        step = task.job.step_run(task.task.occurrence, task.task.step)
        members = () if step is None else step.open_tasks.values()
        others = [member for member in members if member is not task]
        away = sum(not is_available(other) for other in others)
        return cls(away, max(task.step.max_unavailable, 1))

    def allows_another(self) -> bool:
        """Returns whether the task may be stopped."""
        return self.away < self.allowed


def is_available(task: TaskRun) -> bool:
    """Returns whether a long-running task is available and no holder has stopped it."""
    return any(
        placement.phase is PlacementPhase.CONFIRMED
        and not placement.pending_stop_until_ms
        and placement.percent >= AVAILABLE_PERCENT
        and not placement.worker.failed_calls
        for placement in task.placements
    )
