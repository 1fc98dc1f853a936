"""What the holder of a pool knows of one worker."""

import asyncio
from collections.abc import Callable, Iterator
from enum import Enum, auto

from burdockthread_scheduling.board import TaskRun
from burdockthread_scheduling.specs import TaskId
from burdockthread_scheduling.workers import Capacity, WorkerListing

# Lease of the runs on a worker; a worker that cannot be reached holds up its
# tasks for as long, and a change of the holder must fit into it.
RUN_LEASE_MS = 3_000
# The longest lease that a worker grants; holdMaxMs of the sites.
MAX_LEASE_MS = 6_000
# A worker's clock may be slow by two per cent.
CLOCK_RATE_BOUND = 1.0205
LAPSE_MARGIN_S = 0.1
# Shorter intervals tell too little, since progress comes in whole percents.
RATE_WINDOW_S = 0.2


class PlacementPhase(Enum):
    """How far the order of a run has come."""

    ORDERED = auto()
    DOUBTFUL = auto()
    CONFIRMED = auto()
    STOPPING = auto()


class Placement:
    """A run that may exist on a worker.

    Attributes:
        task: Its task, or None if the run is not wanted.
        task_id: Id of the task.
        run: Number of the run.
        worker: The worker.
        size: What it takes up.
        phase: How far its order has come.
        ordered_s: Clock time of the order.
        certain_s: Clock time since which the worker surely knows of the order
            in `phase`, or infinity.
        percent: Share of the work done, or at which it works.
        rate: Percent a second lately, or None before two reports.
        progress_s: Clock time at which `percent` was reported.
        measure: Last measure reported.
        measured_s: Clock time of that report.
        pace: Share, 0 to 100, at which it was last told to work, or None if an
            earlier holder may have told it one.
        doubtful_until_ms: Worker's clock until which a stop of an earlier holder
            may be under way; 0 if none can be.
    """

    __slots__ = (
        "certain_s",
        "doubtful_until_ms",
        "measure",
        "measured_s",
        "ordered_s",
        "pace",
        "percent",
        "phase",
        "progress_s",
        "rate",
        "run",
        "size",
        "task",
        "task_id",
        "worker",
    )

    def __init__(
        self,
        task: TaskRun | None,
        task_id: TaskId,
        run: int,
        worker: "WorkerState",
        size: Capacity,
        ordered_s: float,
    ) -> None:
        self.task = task
        self.task_id = task_id
        self.run = run
        self.worker = worker
        self.size = size
        self.phase = PlacementPhase.ORDERED
        self.ordered_s = ordered_s
        self.certain_s = float("inf")
        self.percent = 0
        self.rate: float | None = None
        self.progress_s = ordered_s
        self.measure = 0.0
        self.measured_s = float("-inf")
        self.pace: int | None = 100
        self.doubtful_until_ms = 0

    def confirm(self, now: float) -> None:
        """Notes that the worker has the run."""
        if self.phase is not PlacementPhase.STOPPING:
            self.phase = PlacementPhase.CONFIRMED
        self.certain_s = min(self.certain_s, now)

    def settle(self, clock_ms: int) -> None:
        """Notes that the worker lists the run at a time on its clock."""
        if clock_ms >= self.doubtful_until_ms:
            self.doubtful_until_ms = 0

    def advance(self, percent: int, now: float) -> None:
        """Takes in how far the run has come."""
        passed_s = now - self.progress_s
        if passed_s < RATE_WINDOW_S:
            return
        self.rate = max(percent - self.percent, 0) / passed_s
        self.percent = percent
        self.progress_s = now

    def left_s(self, now: float) -> float | None:
        """Returns the seconds that it will still take, or None if unknown."""
        if self.rate is None:
            return None
        if self.rate <= 0:
            return float("inf")
        return max((100 - self.percent) / self.rate - (now - self.progress_s), 0.0)


class WorkerState:
    """One life of a worker.

    Attributes:
        listing: Its registration, the newest seen.
        listed: Whether it is registered.
        placements: Runs that may exist on it, by task and run.
        contacted: Whether it has answered this holder, so that it refuses
            orders of earlier ones.
        replaced: Whether another life or worker answers at its address.
        successor_expiry_s: Clock time by which the leases of runs that its next life
            may have started have expired.
        clock_ms: Its clock at the last answer.
        clock_read_s: Clock time of that answer.
        lease_until_ms: Latest end of the lease that any order may have set.
        contact_s: Clock time of the last answer.
        polled_s: Clock time at which the last look that was answered was sent.
        failed_calls: Calls in a row without an answer.
        seen_end: Number of the last end taken in.
        settled_end: Number up to which ends are stored.
        full_until_s: Clock time until which it gets no tasks.
        busy_s: Clock time at which it last had a run.
        draining_since_s: Clock time at which it was first seen leaving, or None.
        wake: Set when there is something to do for the session.
    """

    def __init__(self, listing: WorkerListing, now: float) -> None:
        self.listing = listing
        self.listed = True
        self.placements: dict[tuple[TaskId, int], Placement] = {}
        self.contacted = False
        self.replaced = False
        self.successor_expiry_s = float("-inf")
        self.clock_ms = 0
        self.clock_read_s = now
        self.lease_until_ms = 0
        self.contact_s = now
        self.polled_s = float("-inf")
        self.failed_calls = 0
        self.seen_end = 0
        self.settled_end = 0
        self.full_until_s = 0.0
        self.busy_s = now
        self.draining_since_s: float | None = None
        self.wake = asyncio.Event()
        self.used_cpu = 0
        self.used_memory = 0
        self.used_accelerators = 0

    @property
    def worker_id(self) -> str:
        """Returns the id under which it registers."""
        return self.listing.key.worker_id

    def add(self, placement: Placement) -> None:
        """Counts a run that may exist."""
        self.placements[placement.task_id, placement.run] = placement
        self.count(placement, 1)

    def remove(self, placement: Placement) -> None:
        """Drops a run that surely does not exist."""
        if self.placements.pop((placement.task_id, placement.run), None) is None:
            return
        self.count(placement, -1)
        task = placement.task
        if task is not None and placement in task.placements:
            task.placements.remove(placement)

    def claim(self, placement: Placement, task: TaskRun) -> None:
        """Counts a run as one of a task."""
        self.count(placement, -1)
        placement.task = task
        placement.size = task.size
        self.count(placement, 1)
        task.placements.append(placement)

    def move_to_successor(self, placement: Placement, successor: "WorkerState") -> None:
        """Counts a run on the next life of this worker, which may have taken it."""
        del self.placements[placement.task_id, placement.run]
        self.count(placement, -1)
        placement.worker = successor
        successor.add(placement)
        successor.lease_until_ms = max(
            successor.lease_until_ms, successor.clock_ms + MAX_LEASE_MS
        )
        successor.wake.set()

    def hold_room(self, task: TaskRun) -> Callable[[], None]:
        """Counts a task as if it were here; returns what takes it back."""
        placement = Placement(task, task.task, 0, self, task.size, 0.0)
        self.add(placement)

        def release() -> None:
            self.remove(placement)

        return release

    @property
    def unknown_runs(self) -> int:
        """Returns how many of its runs belong to no job that is known."""
        return sum(placement.task is None for placement in self.placements.values())

    def lasting(self) -> int:
        """Returns how many of its runs are of lasting tasks."""
        return sum(
            placement.task is not None and placement.task.step.lasting
            for placement in self.placements.values()
        )

    def count(self, placement: Placement, sign: int) -> None:
        """Adds or subtracts what a run takes up."""
        task = placement.task
        if task is None or not task.step.fills:
            self.used_cpu += sign * placement.size.cpu_milli
        self.used_memory += sign * placement.size.memory_mb
        self.used_accelerators += sign * placement.size.accelerators

    def fits(self, size: Capacity, *, fills: bool) -> bool:
        """Returns whether there is room for a task."""
        capacity = self.listing.capacity
        cpu = 0 if fills else size.cpu_milli
        return (
            self.used_cpu + cpu <= capacity.cpu_milli
            and self.used_memory + size.memory_mb <= capacity.memory_mb
            and self.used_accelerators + size.accelerators <= capacity.accelerators
        )

    def read_clock(self, clock_ms: int, now: float) -> None:
        """Notes the worker's clock as told by an answer."""
        self.clock_ms = clock_ms
        self.clock_read_s = now
        self.contact_s = now
        self.failed_calls = 0

    def now_ms(self, now: float) -> float:
        """Returns the worker's clock as far as it is known."""
        return self.clock_ms + (now - self.clock_read_s) * 1000

    def doubtful_ms(self, now: float) -> float:
        """Returns the milliseconds until all its lasting tasks are certain."""
        until_ms = max(
            (
                placement.doubtful_until_ms
                for placement in self.placements.values()
                if placement.task is not None and placement.task.step.lasting
            ),
            default=0,
        )
        return max(until_ms - self.now_ms(now), 0.0)

    def next_lease_ms(self, now: float) -> int:
        """Returns the end of a new lease on the worker's clock, and notes it."""
        until_ms = int(self.now_ms(now) + RUN_LEASE_MS)
        self.lease_until_ms = max(self.lease_until_ms, until_ms)
        return until_ms

    def lapse_s(self) -> float:
        """Returns the clock time by which all leases have surely lapsed."""
        left_ms = max(self.lease_until_ms - self.clock_ms, 0)
        return self.clock_read_s + left_ms / 1000 * CLOCK_RATE_BOUND + LAPSE_MARGIN_S

    def of_step(self, task: TaskRun) -> Iterator[Placement]:
        """Yields the runs of the same step and occurrence."""
        wanted = task.task
        for placement in self.placements.values():
            found = placement.task_id
            if found[:3] == wanted[:3]:
                yield placement
