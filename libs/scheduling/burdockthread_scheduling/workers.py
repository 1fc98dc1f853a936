"""Workers: registrations, orders, reports and the gateway that sends orders."""

from abc import ABC, abstractmethod
from enum import StrEnum
from typing import NamedTuple

from burdockthread_model.errors import PlatformError
from burdockthread_model.verdict import Verdict

from burdockthread_scheduling.specs import TaskId


class Capacity(NamedTuple):
    """Capacity of a worker, or the capacity that a task needs."""

    cpu_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0


class WorkerKey(NamedTuple):
    """One life of a worker.

    Attributes:
        worker_id: Id under which the worker registers.
        born_ms: Unix time in milliseconds of the worker's start; a worker that
            starts again under the same id is a different one.
    """

    worker_id: str
    born_ms: int


class WorkerListing(NamedTuple):
    """Registration of a worker.

    Attributes:
        key: Id and start time of the worker.
        pool: Pool that the worker belongs to.
        host: IP address.
        port: TCP port.
        availability_zone: Availability zone.
        labels: Labels, with the machine kind and the rack among them.
        capacity: Total capacity.
        draining: Whether the worker is about to leave.
        remaining_ms: Minimum milliseconds until a draining worker leaves.
        rack: Rack of the worker, or empty.
    """

    key: WorkerKey
    pool: str
    host: str
    port: int
    availability_zone: str
    labels: tuple[str, ...]
    capacity: Capacity
    draining: bool = False
    remaining_ms: int = 0
    rack: str = ""


class StartOrder(NamedTuple):
    """An order to start one run of a task.

    Attributes:
        task: The task.
        run: Number of the run; members of a gang share it.
        payload: Text that is passed to the task.
        lease_until_ms: End of the lease of the worker's runs, on the worker's clock.
        fence: Fencing token of the holder of the pool.
        checkpoint: Saved progress to resume from, or empty.
        ticket: Ticket of the placement policy, or empty.
    """

    task: TaskId
    run: int
    payload: str
    lease_until_ms: int
    fence: int
    checkpoint: str = ""
    ticket: str = ""


class Refusal(StrEnum):
    """Reason for which a worker rejected an order."""

    FENCED = "fenced"
    STALE_RUN = "stale_run"
    TOO_LATE = "too_late"
    NO_ROOM = "no_room"
    NO_TICKET = "no_ticket"
    UNHEALTHY = "unhealthy"
    INVALID = "invalid"


class OrderAnswer(NamedTuple):
    """Answer of a worker to an order.

    Attributes:
        refusal: Reason of a rejection, or None if the order is in effect.
        clock_ms: The worker's clock when it answered, or None.
    """

    refusal: Refusal | None = None
    clock_ms: int | None = None


class HoldOrder(NamedTuple):
    """Poll of a worker: renews the lease of all its runs and asks for a report.

    Attributes:
        fence: Fencing token of the holder of the pool.
        settled_end: Number up to which the worker deletes its ended runs; 0 for
            none. Another life would delete as many of its own.
        lease_until_ms: End of the lease on the worker's clock, or 0 for no renewal.
        wait_ms: Milliseconds for which the worker may delay the answer until a run
            ends.
    """

    fence: int
    settled_end: int
    lease_until_ms: int = 0
    wait_ms: int = 0


class RunReport(NamedTuple):
    """A run that a worker reports as running.

    Attributes:
        task: The task.
        run: Number of the run.
        checkpoint: Newest saved progress, or empty.
        percent: Share of the work done, or the pace of a long-running task.
        measure: Tail latency in milliseconds of a task that serves requests, else
            CPU use in millicores.
    """

    task: TaskId
    run: int
    checkpoint: str
    percent: int
    measure: float = 0.0


class EndKind(StrEnum):
    """Outcome of a run."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_LAPSED = "lease_lapsed"
    GANG_BROKEN = "gang_broken"
    GANG_INCOMPLETE = "gang_incomplete"


class EndReport(NamedTuple):
    """A run that a worker reports as ended.

    Attributes:
        number: Sequence number of the end on this worker, from 1.
        task: The task.
        run: Number of the run.
        kind: Outcome of the run.
        checkpoint: Saved progress, or empty.
    """

    number: int
    task: TaskId
    run: int
    kind: EndKind
    checkpoint: str


class EndPage(NamedTuple):
    """Ends that are not acknowledged yet: the oldest ones, or all of them.

    Attributes:
        ends: The ends, in the order of their numbers.
        is_last: Whether the worker has no further ends.
    """

    ends: tuple[EndReport, ...]
    is_last: bool

    @classmethod
    def from_oldest(cls, ends: tuple[EndReport, ...], most: int) -> "EndPage":
        """Returns the page for an answer that has at most `most` ends.

        A full one may have been cut off.
        """
        return cls(ends, len(ends) < most)


class HoldReport(NamedTuple):
    """Answer to a poll: the running and the ended runs of a worker.

    Attributes:
        clock_ms: The worker's clock when it answered.
        born_ms: Unix time in milliseconds of the worker's start, or 0.
        running: All runs on the worker.
        ended: Ended runs.
    """

    clock_ms: int
    born_ms: int
    running: tuple[RunReport, ...]
    ended: EndPage

    def is_whole(self) -> bool:
        """Returns whether a run that the report lacks is not on the worker.

        It may else be among the ends that the worker has not listed yet.
        """
        return self.ended.is_last


class WorkerFencedError(PlatformError):
    """The worker has seen a higher fencing token; the order had no effect."""

    verdict = Verdict.NOT_RUN


class WorkerReplacedError(PlatformError):
    """Another worker, or another life of this worker, answers at the address."""

    verdict = Verdict.NOT_RUN


class WorkerRestartedError(WorkerReplacedError):
    """The worker has restarted under its id, and accepts orders for its last life.

    Attributes:
        born_ms: Unix time in milliseconds of the restart.
    """

    def __init__(self, message: str, born_ms: int) -> None:
        super().__init__(message)
        self.born_ms = born_ms


class WorkerRefusedError(PlatformError):
    """The worker rejected the order, or the order was never sent."""

    verdict = Verdict.NOT_RUN


class WorkerSilentError(PlatformError):
    """No answer: the order may have taken effect, or may take effect later."""

    verdict = Verdict.UNKNOWN


class WorkerCallFailedError(WorkerSilentError):
    """A call to the worker failed unexpectedly; its outcome is unknown."""


class WorkerGateway(ABC):
    """Sends orders to workers.

    Each call may raise `WorkerReplacedError`, `WorkerRefusedError` or
    `WorkerSilentError`, besides the errors in its own documentation.
    """

    @abstractmethod
    async def start(
        self, worker: WorkerListing, order: StartOrder, timeout_s: float
    ) -> OrderAnswer:
        """Starts a run; idempotent, a repeated order starts no second run."""

    @abstractmethod
    async def stop(
        self,
        worker: WorkerListing,
        task: TaskId,
        run: int,
        fence: int,
        timeout_s: float,
    ) -> OrderAnswer:
        """Stops a run, or prevents a delayed start of the run."""

    @abstractmethod
    async def hold(
        self, worker: WorkerListing, order: HoldOrder, timeout_s: float
    ) -> HoldReport:
        """Renews the lease of the runs and returns the worker's report.

        Raises:
            WorkerFencedError: The worker has accepted orders of a later holder.
        """

    @abstractmethod
    async def pace(
        self,
        worker: WorkerListing,
        task: TaskId,
        run: int,
        percent: int,
        fence: int,
        timeout_s: float,
    ) -> OrderAnswer:
        """Sets the pace of a task, 0 to 100 percent."""

    @abstractmethod
    async def close(self) -> None:
        """Closes all connections."""
