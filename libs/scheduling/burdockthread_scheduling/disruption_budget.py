"""How many tasks of a lasting step are away, and whether one more may be."""

from typing import NamedTuple

from burdockthread_scheduling.board import TaskRun
from burdockthread_scheduling.worker_state import PlacementPhase

AVAILABLE_PERCENT = 100


class DisruptionBudget(NamedTuple):
    """The tasks of a lasting step that are away, besides one of them.

    Attributes:
        away: Other tasks that are not surely at work.
        allowed: Tasks that planned work may take out at once.
    """

    away: int
    allowed: int

    @classmethod
    def excluding(cls, task: TaskRun) -> "DisruptionBudget":
        """Counts the other tasks of the step of a task."""
        step = task.job.step_run(task.task.occurrence, task.task.step)
        members = () if step is None else step.open_tasks.values()
        others = [member for member in members if member is not task]
        away = sum(not is_available(other) for other in others)
        return cls(away, max(task.step.max_unavailable, 1))

    def allows_another(self) -> bool:
        """Returns whether the task may be taken out."""
        return self.away < self.allowed


def is_available(task: TaskRun) -> bool:
    """Returns whether a lasting task works and no holder has told it to stop."""
    return any(
        placement.phase is PlacementPhase.CONFIRMED
        and not placement.doubtful_until_ms
        and placement.percent >= AVAILABLE_PERCENT
        and not placement.worker.failed_calls
        for placement in task.placements
    )
