"""Runs on workers held in memory, and the records of what really happened."""

from typing import NamedTuple

from burdockthread_scheduling.specs import TaskId
from burdockthread_scheduling.workers import Capacity, EndKind, StartOrder, WorkerKey

FAIL_AFTER_S = 0.1
DEFAULT_TASK_S = 1.0
AVAILABLE_PERCENT = 100


class TaskNature(NamedTuple):
    """How a task behaves on a sound worker.

    Attributes:
        duration_s: Seconds of work; infinity for a task that lasts.
        size: What it takes up.
        fails: Whether each run of it fails.
        checkpointing: Whether it saves its progress each second.
        gang: Number of tasks that only work together, or 0.
        startup_s: Seconds after its start before a lasting task is at work.
    """

    duration_s: float = DEFAULT_TASK_S
    size: Capacity = Capacity(1_000, 256)
    fails: bool = False
    checkpointing: bool = False
    gang: int = 0
    startup_s: float = 0.0


class RunRecord(NamedTuple):
    """One run as it really was.

    Attributes:
        task: The task.
        run: Number of the run.
        worker: Where it ran.
        started_s: Clock time of its start.
        ended_s: Clock time of its end, or infinity.
        kind: How it ended, or None.
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
    """An order as a worker took it.

    Attributes:
        wall_s: Unix time.
        worker: The life of the worker that took it.
        order: What was ordered: start, stop, or obey for a holder's first look.
        task: The task, or None.
        run: Number of the run, or 0.
        fence: Fencing token of the order.
        outcome: Why it did nothing, or "done".
    """

    wall_s: float
    worker: WorkerKey
    order: str
    task: TaskId | None
    run: int
    fence: int
    outcome: str

    def line(self) -> str:
        """Returns it as a line of key=value pairs."""
        return (
            f"time={self.wall_s:.3f} worker={self.worker.worker_id} "
            f"born={self.worker.born_ms} order={self.order} task={self.task} "
            f"run={self.run} fence={self.fence} outcome={self.outcome}"
        )


class MemoryRun:
    """A run on a memory worker."""

    def __init__(self, order: StartOrder, nature: TaskNature, now: float) -> None:
        self.order = order
        self.nature = nature
        self.started_s = now
        self.done_s = saved_s(order.checkpoint) if nature.checkpointing else 0.0
        self.touched_s = now
        self.stop_s = float("inf")
        self.fails_s = now + FAIL_AFTER_S
        self.percent_allowed = 100

    def work(self, now: float, speed: float) -> None:
        """Takes in the time that has passed, at a speed."""
        passed_s = max(now - self.touched_s, 0.0)
        self.done_s += passed_s * speed * self.percent_allowed / 100
        self.touched_s = now

    def percent(self) -> int:
        """Returns the share of the work that is done; a lasting task is at work."""
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
    """Returns the seconds of work that a checkpoint holds."""
    return float(checkpoint) if checkpoint else 0.0
