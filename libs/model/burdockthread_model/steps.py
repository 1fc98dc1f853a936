"""Named steps of the four workflows, at which tests observe or inject faults."""

from collections.abc import Awaitable, Callable
from enum import StrEnum


class Step(StrEnum):
    """A point in one of the four workflows at which a test may inject a fault.

    The part before the dot names the workflow: a caller's request, a deferred
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
    """Hook that is called at each step; this implementation does nothing."""

    async def reach(self, step: Step) -> None:
        """Called right after a step is complete.

        Args:
            step: The completed step.
        """


class MemorySteps(Steps):
    """Records the steps and runs the actions that a test has set for them.

    Attributes:
        reached: Steps in the order reached.
        actions: Coroutine function to run when a step is reached, by step.
    """

    def __init__(self) -> None:
        self.reached: list[Step] = []
        self.actions: dict[Step, Callable[[], Awaitable[None]]] = {}

    async def reach(self, step: Step) -> None:
        """Records the step and runs its action, if any."""
        self.reached.append(step)
        action = self.actions.get(step)
        if action is not None:
            await action()
