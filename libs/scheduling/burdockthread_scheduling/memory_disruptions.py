"""Audit of the disruption budget: long-running tasks that orders end at once."""

from typing import NamedTuple

from burdockthread_scheduling.memory_runs import RunRecord
from burdockthread_scheduling.specs import StepSpec, TaskId

# A task that is unavailable for another cause than an order counts only after this
# time.
FAILURE_GRACE_S = 4.5


class StepKey(NamedTuple):
    """A step of a job, in all its occurrences."""

    job_id: str
    step: int


class DisruptionAudit:
    """Checks that orders keep within `max_unavailable` of long-running steps.

    Attributes:
        records: Every run that was started, oldest first.
        steps: Steps that are checked.
        ordered: Runs that an order ended, or is ending, while they were available.
    """

    def __init__(self, records: list[RunRecord]) -> None:
        self.records = records
        self.steps: dict[StepKey, StepSpec] = {}
        self.ordered: set[tuple[TaskId, int]] = set()

    def watch(self, job_id: str, steps: tuple[StepSpec, ...]) -> None:
        """Starts checking the long-running steps of a job that have a budget."""
        for number, step in enumerate(steps):
            if step.lasting and step.max_unavailable:
                self.steps[StepKey(job_id, number)] = step

    def record_disruption(self, task: TaskId, run: int, now: float) -> str:
        """Records an order that ends an available run.

        Returns:
            Description of the violation, or an empty text.
        """
        step = self.steps.get(StepKey(task.job_id, task.step))
        if step is None or (task, run) in self.ordered:
            return ""
        self.ordered.add((task, run))
        others = [task._replace(number=n) for n in range(step.tasks)]
        unavailable = [o for o in others if o != task and self.is_unavailable(o, now)]
        if len(unavailable) < step.max_unavailable:
            return ""
        names = ", ".join(str(other.number) for other in unavailable)
        return (
            f"{task} is ended at {now:.3f} s while {names} of its step are unavailable"
        )

    def is_unavailable(self, task: TaskId, now: float) -> bool:
        """Returns whether a task counts as unavailable.

        True if an order ended its last available run, if that run ended more than
        `FAILURE_GRACE_S` ago, or if the task was never available.
        """
        for record in reversed(self.records):
            if record.task != task or record.available_from_s > min(
                record.ended_s, now
            ):
                continue
            ordered = (task, record.run) in self.ordered
            return ordered or now - record.ended_s > FAILURE_GRACE_S
        return True
