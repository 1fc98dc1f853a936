"""Named steps of the four paths, where tests observe or inject faults."""

from collections.abc import Awaitable, Callable
from enum import StrEnum


class Step(StrEnum):
    """A point on one of the four paths that a fault may hit.

    The part before the dot names the path: the caller's request, a deferred
    job, a change of a template, or the move and maintenance of a VM.
    """

    REQUEST_READ = "request.read"
    REQUEST_KEY_RECORDED = "request.key_recorded"
    REQUEST_ADMITTED = "request.admitted"
    REQUEST_ANSWERED = "request.answered"
    REQUEST_KEY_FINISHED = "request.key_finished"

    JOB_READ = "job.read"
    JOB_RECORDED = "job.recorded"
    JOB_CLAIMED = "job.claimed"
    JOB_STARTED = "job.started"
    JOB_ENDED = "job.ended"

    TEMPLATE_READ = "template.read"
    TEMPLATE_PROPOSED = "template.proposed"
    TEMPLATE_REVIEWED = "template.reviewed"
    TEMPLATE_CHECKED = "template.checked"
    TEMPLATE_ACCEPTED = "template.accepted"

    VM_CHOSEN = "vm.chosen"
    VM_DRAINING = "vm.draining"
    VM_DRAINED = "vm.drained"
    VM_REBOOTING = "vm.rebooting"
    VM_RETURNED = "vm.returned"
    VM_MOVED = "vm.moved"


class Steps:
    """Told of each step as it is reached; does nothing."""

    async def reach(self, step: Step) -> None:
        """Called right after a step has been done.

        Args:
            step: The step.
        """


class MemorySteps(Steps):
    """Counts the steps and runs the action that a test set for one.

    Attributes:
        reached: Steps in the order reached.
        actions: What to run when a step is reached, by step.
    """

    def __init__(self) -> None:
        self.reached: list[Step] = []
        self.actions: dict[Step, Callable[[], Awaitable[None]]] = {}

    async def reach(self, step: Step) -> None:
        """Notes the step and runs its action."""
        self.reached.append(step)
        action = self.actions.get(step)
        if action is not None:
            await action()
