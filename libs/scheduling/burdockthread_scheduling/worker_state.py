"""What the holder of a pool knows of one worker."""

import asyncio
import math
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from enum import Enum, auto

from burdockthread_scheduling.board import TaskRun
from burdockthread_scheduling.specs import TaskId
from burdockthread_scheduling.workers import Capacity, WorkerListing

# Lease of the runs on a worker. The tasks of an unreachable worker wait for its
# expiry, and a change of the holder must fit into it.
RUN_LEASE_MS = 3_000
# A worker's clock may run up to two per cent slow.
CLOCK_RATE_BOUND = 1.0205
LAPSE_MARGIN_S = 0.1
# A lease counts from the earliest time that the worker's clock may show, so that it is
# shorter the older the last reading is: 0.6 s at this age.
CLOCK_MAX_AGE_S = 30.0
# An order without an answer has arrived after this time, or never does.
DELIVERY_BOUND_S = 0.5
# A holder may take a worker for its last life for this long after a restart: until the
# registration shows it, or the holder has lost its lease.
UNNOTICED_RESTART_MS = 10_000
# Clocks are read in whole milliseconds.
CLOCK_MARGIN_MS = 2
# A process that has just answered needs longer to end and start again.
LEAST_RESTART_MS = 50
# Progress is reported in whole percents.
PERCENT = 1
# Shorter intervals are too inaccurate for the rate of progress.
RATE_WINDOW_S = 0.2


def lease_bound_s(max_lease_s: float) -> float:
    """Returns the seconds after which any lease that a worker granted has expired.

    A worker that has started again takes orders that were meant for its last life. The
    end of a lease by that life's clock is far off by the new one, so that only the
    longest lease that workers grant bounds it.
    """
    return max_lease_s * CLOCK_RATE_BOUND + LAPSE_MARGIN_S


class PlacementPhase(Enum):
    """State of the last order about a run.

    ORDERED: the start order was sent.
    UNANSWERED: the start order got no answer and may still take effect.
    CONFIRMED: the worker has the run.
    STOPPING: a stop was ordered.
    """

    ORDERED = auto()
    UNANSWERED = auto()
    CONFIRMED = auto()
    STOPPING = auto()


class Placement:
    """A run that may exist on a worker.

    Attributes:
        task: The task, or None if the run is to be stopped.
        task_id: Id of the task.
        run: Number of the run.
        worker: The worker.
        size: Capacity that the run uses.
        phase: State of the last order about the run.
        ordered_s: Clock time of the order.
        certain_s: Clock time since which the worker is known to have the order in
            `phase`, or infinity.
        percent: Share of the work done, or pace of a long-running task.
        rate: Recent progress in percent per second, or None before two reports.
        progress_s: Clock time at which `percent` was reported.
        progress_clock_ms: Worker's clock at which the run had `percent`, or None
            before the first answer about it.
        measure: Last `measure` of a `RunReport`.
        measured_s: Clock time of that report.
        pace: Last pace that was set, 0 to 100 percent, or None if an earlier holder
            may have set one.
        pending_stop_until_ms: Worker's clock until which a stop by an earlier
            holder may be in progress; 0 if none can be.
        life_known: Whether an answer has shown that this life of the worker got the
            start.
    """

    __slots__ = (
        "certain_s",
        "life_known",
        "measure",
        "measured_s",
        "ordered_s",
        "pace",
        "pending_stop_until_ms",
        "percent",
        "phase",
        "progress_clock_ms",
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
        self.progress_clock_ms: int | None = None
        self.measure = 0.0
        self.measured_s = float("-inf")
        self.pace: int | None = 100
        self.pending_stop_until_ms = 0
        self.life_known = False

    def confirm(self, now: float) -> None:
        """Records that the worker has the run."""
        if self.phase is not PlacementPhase.STOPPING:
            self.phase = PlacementPhase.CONFIRMED
        self.certain_s = min(self.certain_s, now)

    def settle(self, clock_ms: int) -> None:
        """Ends the wait for an earlier stop once the run is listed after it."""
        if clock_ms >= self.pending_stop_until_ms:
            self.pending_stop_until_ms = 0

    def advance(self, percent: int, now: float, clock_ms: int) -> None:
        """Records reported progress and updates the rate.

        The rate goes by the worker's clock, so that a start or a report that this
        process delays does not make the run look slow. What a run of an earlier
        holder did before counts as done since its first report.
        """
        since_ms = self.progress_clock_ms
        if since_ms is None or since_ms > clock_ms:
            self.progress_s = now
            self.progress_clock_ms = clock_ms
            return
        passed_s = (clock_ms - since_ms) / 1000
        if passed_s < RATE_WINDOW_S:
            return
        if percent <= self.percent:
            # Less than a whole percent in this time; a long task takes longer for one.
            self.rate = min(self.rate or PERCENT, PERCENT / passed_s)
            return
        self.rate = (percent - self.percent) / passed_s
        self.percent = percent
        self.progress_s = now
        self.progress_clock_ms = clock_ms

    def left_s(self, now: float) -> float | None:
        """Returns the remaining seconds; None if unknown, infinity without progress."""
        if self.rate is None:
            return None
        if self.rate <= 0:
            return float("inf")
        return max((100 - self.percent) / self.rate - (now - self.progress_s), 0.0)


class WorkerState:
    """One life of a worker: one process from its start to its end.

    Attributes:
        listing: Newest registration seen.
        max_lease_s: Longest lease in seconds that the worker grants.
        listed: Whether the worker is registered.
        placements: Runs that may exist on the worker, by task and run.
        contacted: Whether the worker has answered this holder; it refuses orders of
            earlier holders from then on.
        replaced: Whether another life, or another worker, answers at the address.
        clock_ms: The worker's clock at the last answer.
        clock_read_s: Clock time of that answer.
        lease_until_ms: Latest end of the lease that any order may have set.
        lease_sent_s: Clock time of the last order with a lease.
        inherited_lapse_s: Clock time by which leases have expired that orders to the
            last life may have given to this one.
        contact_s: Clock time of the last answer.
        polled_s: Clock time at which the last answered poll was sent.
        failed_calls: Consecutive calls without an answer.
        seen_end: Number of the last ended run that was processed.
        settled_end: Number up to which ended runs are stored.
        acknowledged_end: Number up to which the worker has confirmed that it forgets
            ended runs.
        acknowledgement_answered: Not set while an acknowledgement is in flight.
        full_until_s: Clock time until which the worker gets no tasks after a refusal.
        busy_s: Clock time at which the worker last had a run.
        draining_since_s: Clock time at which the worker was first seen draining, or
            None.
        wake: Set when the session may have a reason to poll.
    """

    def __init__(self, listing: WorkerListing, now: float, max_lease_s: float) -> None:
        self.listing = listing
        self.max_lease_s = max_lease_s
        self.listed = True
        self.placements: dict[tuple[TaskId, int], Placement] = {}
        self.contacted = False
        self.replaced = False
        self.clock_ms = 0
        self.clock_read_s = now
        self.lease_until_ms = 0
        self.lease_sent_s = float("-inf")
        self.inherited_lapse_s = float("-inf")
        self.contact_s = now
        self.polled_s = float("-inf")
        self.failed_calls = 0
        self.seen_end = 0
        self.settled_end = 0
        self.acknowledged_end = 0
        self.acknowledgement_answered = asyncio.Event()
        self.acknowledgement_answered.set()
        self.full_until_s = 0.0
        self.busy_s = now
        self.draining_since_s: float | None = None
        self.wake = asyncio.Event()
        self.used_cpu = 0
        self.used_memory = 0
        self.used_accelerators = 0

    @property
    def worker_id(self) -> str:
        """Returns the id under which the worker registers."""
        return self.listing.key.worker_id

    def add(self, placement: Placement) -> None:
        """Adds a run that may exist and reserves its capacity."""
        self.placements[placement.task_id, placement.run] = placement
        self.count(placement, 1)

    def remove(self, placement: Placement) -> None:
        """Removes a run that does not exist, and releases its capacity."""
        if self.placements.pop((placement.task_id, placement.run), None) is None:
            return
        self.count(placement, -1)
        task = placement.task
        if task is not None and placement in task.placements:
            task.placements.remove(placement)

    def claim(self, placement: Placement, task: TaskRun) -> None:
        """Assigns a run without a task to a task."""
        self.count(placement, -1)
        placement.task = task
        placement.size = task.size
        self.count(placement, 1)
        task.placements.append(placement)

    def move_to_successor(self, placement: Placement, successor: "WorkerState") -> None:
        """Moves a run to the next life of this worker, which may have started it."""
        del self.placements[placement.task_id, placement.run]
        self.count(placement, -1)
        placement.worker = successor
        placement.life_known = False
        successor.add(placement)
        successor.inherited_lapse_s = max(
            successor.inherited_lapse_s, self.successor_lapse_s()
        )
        successor.wake.set()

    def is_doubtful(self, placement: Placement) -> bool:
        """Returns whether another life of this worker may have got a start.

        A call names the worker but not the life, so that a restarted process accepts
        orders that were meant for its last life.
        """
        return not placement.life_known and placement.certain_s > self.polled_s

    def has_doubtful_runs(self) -> bool:
        """Returns whether another life of this worker may have got any start."""
        return any(self.is_doubtful(run) for run in self.placements.values())

    def due_acknowledgement(self) -> int:
        """Returns the number up to which ends are to be acknowledged now, or 0.

        Another life would forget as many ends of its own, which this holder has not
        seen, so there is none while that life may have got a start.
        """
        if self.settled_end <= self.acknowledged_end or self.has_doubtful_runs():
            return 0
        return self.settled_end

    @contextmanager
    def acknowledging(self, number: int) -> Iterator[None]:
        """Keeps back starts during a call that acknowledges ends up to a number."""
        if not number:
            yield
            return
        self.acknowledgement_answered.clear()
        try:
            yield
        finally:
            self.acknowledgement_answered.set()

    def is_own_clock(self, clock_ms: int | None, sent_s: float, now: float) -> bool:
        """Returns whether an answer's clock shows that this life has answered.

        The clock of a later life starts after the last answered poll was sent, and
        no clock runs fast.

        Args:
            clock_ms: The clock in the answer.
            sent_s: Clock time at which the call was sent.
            now: Clock time at which it was answered.
        """
        if clock_ms is None:
            return False
        next_life_ms = (now - self.polled_s) * 1000 - LEAST_RESTART_MS
        passed_ms = (sent_s - self.clock_read_s) * 1000 / CLOCK_RATE_BOUND
        least_ms = self.clock_ms + passed_ms - CLOCK_MARGIN_MS
        return clock_ms > next_life_ms and clock_ms >= least_ms

    def hold_room(self, task: TaskRun) -> Callable[[], None]:
        """Reserves room for a task; returns a function that releases it."""
        placement = Placement(task, task.task, 0, self, task.size, 0.0)
        self.add(placement)

        def release() -> None:
            self.remove(placement)

        return release

    @property
    def unknown_runs(self) -> int:
        """Returns the number of runs without a known task."""
        return sum(placement.task is None for placement in self.placements.values())

    def lasting(self) -> int:
        """Returns the number of runs of long-running tasks."""
        return sum(
            placement.task is not None and placement.task.step.lasting
            for placement in self.placements.values()
        )

    def count(self, placement: Placement, sign: int) -> None:
        """Adds or subtracts the capacity that a run uses."""
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
        """Records the worker's clock from an answer, and the contact."""
        self.clock_ms = clock_ms
        self.clock_read_s = now
        self.contact_s = now
        self.failed_calls = 0

    def now_ms(self, now: float) -> float:
        """Returns the estimate of the worker's clock in milliseconds."""
        return self.clock_ms + (now - self.clock_read_s) * 1000

    def is_clock_stale(self, now: float) -> bool:
        """Returns whether the worker's clock has to be read again."""
        return now - self.clock_read_s > CLOCK_MAX_AGE_S

    def pending_stop_ms(self, now: float) -> float:
        """Returns the milliseconds until no earlier stop can be in progress."""
        until_ms = max(
            (
                placement.pending_stop_until_ms
                for placement in self.placements.values()
                if placement.task is not None and placement.task.step.lasting
            ),
            default=0,
        )
        return max(until_ms - self.now_ms(now), 0.0)

    def next_lease_ms(self, now: float) -> int:
        """Returns the end of a new lease on the worker's clock, and records it.

        The next holder relies on no lease being longer than `RUN_LEASE_MS`, which has
        to hold for a slow clock that was read long ago too.
        """
        passed_ms = (now - self.clock_read_s) * 1000 / CLOCK_RATE_BOUND
        until_ms = int(self.clock_ms + passed_ms + RUN_LEASE_MS)
        self.lease_until_ms = max(self.lease_until_ms, until_ms)
        self.lease_sent_s = now
        return until_ms

    def adopt_lease(self) -> None:
        """Records that orders of an earlier holder may have set the lease.

        A worker that had just started again may have got orders for its last life.
        """
        max_lease_ms = math.ceil(self.max_lease_s * 1000)
        former_ms = min(self.clock_ms, UNNOTICED_RESTART_MS) + max_lease_ms
        self.lease_until_ms = max(self.lease_until_ms, former_ms)

    def lapse_s(self) -> float:
        """Returns the clock time by which the leases of this life have expired."""
        left_ms = max(self.lease_until_ms - self.clock_ms, 0)
        left_s = left_ms / 1000 * CLOCK_RATE_BOUND + LAPSE_MARGIN_S
        return max(self.clock_read_s + left_s, self.inherited_lapse_s)

    def successor_lapse_s(self) -> float:
        """Returns the clock time by which the leases of the next life have expired.

        That life, which orders for this one may have reached, shortens a lease only to
        `max_lease_s` from then on.
        """
        bound_s = lease_bound_s(self.max_lease_s)
        return self.lease_sent_s + DELIVERY_BOUND_S + bound_s

    def run_lapse_s(self, placement: Placement) -> float:
        """Returns the clock time by which a run that is not renewed has expired."""
        if self.replaced:
            return self.successor_lapse_s()
        if self.is_doubtful(placement):
            return max(self.lapse_s(), self.successor_lapse_s())
        return self.lapse_s()

    def of_step(self, task: TaskRun) -> Iterator[Placement]:
        """Yields the runs of the same step and occurrence."""
        wanted = task.task
        for placement in self.placements.values():
            found = placement.task_id
            if found[:3] == wanted[:3]:
                yield placement
