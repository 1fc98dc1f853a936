"""Audit of the tasks that orders take out of lasting steps."""

from typing import NamedTuple

from burdockthread_scheduling.memory_runs import RunRecord
from burdockthread_scheduling.specs import StepSpec, TaskId

# An absence of another cause than an order counts once it has lasted this long.
FAILURE_GRACE_S = 4.5


class StepKey(NamedTuple):
    """A step of a job, in all its occurrences."""

    job_id: str
    step: int


class DisruptionAudit:
    """Checks that orders take out no more tasks of a lasting step than allowed.

    Attributes:
        records: Every run that was started, oldest first.
        steps: Steps that are checked.
        ordered: Runs that an order ended, or is ending, while they were at work.
    """

    def __init__(self, records: list[RunRecord]) -> None:
        self.records = records
        self.steps: dict[StepKey, StepSpec] = {}
        self.ordered: set[tuple[TaskId, int]] = set()

    def watch(self, job_id: str, steps: tuple[StepSpec, ...]) -> None:
        """Checks the lasting steps of a job from now on."""
        for number, step in enumerate(steps):
            if step.lasting and step.max_unavailable:
                self.steps[StepKey(job_id, number)] = step

    def record_disruption(self, task: TaskId, run: int, now: float) -> str:
        """Takes in an order that ends a run at work.

        Returns:
            What it breaks, or an empty text.
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
        return f"{task} is ended at {now:.3f} s while {names} of its step are away"

    def is_unavailable(self, task: TaskId, now: float) -> bool:
        """Returns whether a task is away by an order, or for long."""
        for record in reversed(self.records):
            if record.task != task or record.available_from_s > min(
                record.ended_s, now
            ):
                continue
            ordered = (task, record.run) in self.ordered
            return ordered or now - record.ended_s > FAILURE_GRACE_S
        return True
