"""Runs on in-memory workers, and the records of runs and orders for audits."""

from typing import NamedTuple

from burdockthread_scheduling.specs import TaskId
from burdockthread_scheduling.workers import Capacity, EndKind, StartOrder, WorkerKey

FAIL_AFTER_S = 0.1
DEFAULT_TASK_S = 1.0
AVAILABLE_PERCENT = 100


class TaskNature(NamedTuple):
    """Behaviour of a task on a healthy worker.

    Attributes:
        duration_s: Seconds of work; infinity for a long-running task.
        size: Capacity that a run uses.
        fails: Whether each run fails.
        checkpointing: Whether a run saves its progress each second.
        gang: Number of tasks of the gang, none of which works alone, or 0.
        startup_s: Seconds from the start of a long-running task until it is
            available.
    """

    duration_s: float = DEFAULT_TASK_S
    size: Capacity = Capacity(1_000, 256)
    fails: bool = False
    checkpointing: bool = False
    gang: int = 0
    startup_s: float = 0.0


class RunRecord(NamedTuple):
    """A run as the worker carried it out, whatever the holder knows.

    Attributes:
        task: The task.
        run: Number of the run.
        worker: The worker of the run.
        started_s: Clock time of the start.
        ended_s: Clock time of the end, or infinity.
        kind: Outcome; None while running, or if the run ended with its worker.
        available_from_s: Clock time from which the task was available, if the run
            had not ended by then.
    """

    task: TaskId
    run: int
    worker: WorkerKey
    started_s: float
    ended_s: float
    kind: EndKind | None
    available_from_s: float


class OrderRecord(NamedTuple):
    """An order that a worker received.

    Attributes:
        wall_s: Unix time of the receipt.
        worker: The life of the worker that received the order.
        order: Kind of order: start, stop, or obey for a poll that is fenced or
            brings a higher fencing token.
        task: The task, or None.
        run: Number of the run, or 0.
        fence: Fencing token of the order.
        outcome: Reason of a rejection, or "done".
    """

    wall_s: float
    worker: WorkerKey
    order: str
    task: TaskId | None
    run: int
    fence: int
    outcome: str

    def line(self) -> str:
        """Returns the record as a line of key=value pairs."""
        return (
            f"time={self.wall_s:.3f} worker={self.worker.worker_id} "
            f"born={self.worker.born_ms} order={self.order} task={self.task} "
            f"run={self.run} fence={self.fence} outcome={self.outcome}"
        )


class MemoryRun:
    """A run on an in-memory worker.

    Attributes:
        order: Order that started the run.
        nature: Behaviour of the task.
        started_s: Clock time of the start.
        done_s: Seconds of work done.
        updated_s: Clock time up to which `done_s` counts.
        stop_s: Clock time at which a stop takes effect, or infinity.
        fails_s: Clock time after which a failing run ends.
        percent_allowed: Pace, 0 to 100 percent.
    """

    def __init__(self, order: StartOrder, nature: TaskNature, now: float) -> None:
        self.order = order
        self.nature = nature
        self.started_s = now
        self.done_s = saved_s(order.checkpoint) if nature.checkpointing else 0.0
        self.updated_s = now
        self.stop_s = float("inf")
        self.fails_s = now + FAIL_AFTER_S
        self.percent_allowed = 100

    def advance(self, now: float, speed: float) -> None:
        """Adds the work done since the last call.

        Args:
            now: Clock time.
            speed: Seconds of work done per second at full pace.
        """
        passed_s = max(now - self.updated_s, 0.0)
        self.done_s += passed_s * speed * self.percent_allowed / 100
        self.updated_s = now

    def percent(self) -> int:
        """Returns the share of the work done, or the pace of a long-running task.

        A long-running task that still starts up has 0 percent.
        """
        if self.nature.duration_s == float("inf"):
            starting = self.done_s < self.nature.startup_s
            return 0 if starting else self.percent_allowed
        return min(int(self.done_s / self.nature.duration_s * 100), 100)

    def checkpoint(self) -> str:
        """Returns the saved progress, or an empty text."""
        if not self.nature.checkpointing or self.done_s < 1:
            return ""
        return f"{int(self.done_s)}"


def saved_s(checkpoint: str) -> float:
    """Returns the seconds of work that a checkpoint has saved."""
    return float(checkpoint) if checkpoint else 0.0
