"""Workers and the orders that they take."""

from abc import ABC, abstractmethod
from enum import StrEnum
from typing import NamedTuple

from burdockthread_model.errors import PlatformError
from burdockthread_model.verdict import Verdict

from burdockthread_scheduling.specs import TaskId


class Capacity(NamedTuple):
    """What a worker has, or a task asks for."""

    cpu_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0


class WorkerKey(NamedTuple):
    """One life of a worker.

    Attributes:
        worker_id: Id under which it registers.
        born_ms: Unix time in milliseconds of its start; a worker that starts
            again under the same id is another one.
    """

    worker_id: str
    born_ms: int


class WorkerListing(NamedTuple):
    """A worker as it registers itself.

    Attributes:
        key: Which life of which worker.
        pool: Pool that it belongs to.
        host: IP address.
        port: TCP port.
        availability_zone: Availability zone.
        labels: Kind and rack among them.
        capacity: What it has.
        draining: Whether it is about to leave.
        remaining_ms: Least milliseconds until a draining worker leaves.
        rack: Rack that it stands in, or empty.
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
        payload: Text that the task gets.
        lease_until_ms: Worker's clock up to which its runs may go on.
        fence: Fencing token of the holder of the pool.
        checkpoint: Saved progress to go on from, or empty.
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
    """Why a worker did not start a run."""

    FENCED = "fenced"
    STALE_RUN = "stale_run"
    TOO_LATE = "too_late"
    NO_ROOM = "no_room"
    NO_TICKET = "no_ticket"
    UNHEALTHY = "unhealthy"
    INVALID = "invalid"


class OrderAnswer(NamedTuple):
    """What a worker answered to an order.

    Attributes:
        refusal: Why it did nothing, or None if the order is in effect.
        clock_ms: The worker's clock when it answered, or None.
    """

    refusal: Refusal | None = None
    clock_ms: int | None = None


class HoldOrder(NamedTuple):
    """Prolongs the lease of all runs on a worker and asks for its lists.

    Attributes:
        fence: Fencing token of the holder of the pool.
        settled_end: Number up to which the worker may forget ended runs.
        lease_until_ms: Worker's clock up to which its runs may go on, or 0.
        wait_ms: Milliseconds for which the answer may wait for an end.
    """

    fence: int
    settled_end: int
    lease_until_ms: int = 0
    wait_ms: int = 0


class RunReport(NamedTuple):
    """A run that a worker lists as running.

    Attributes:
        task: The task.
        run: Number of the run.
        checkpoint: Newest saved progress, or empty.
        percent: Share of the work that is done, or at which a lasting task works.
        measure: Tail latency in milliseconds of a task that serves, else
            processors in use in thousandths.
    """

    task: TaskId
    run: int
    checkpoint: str
    percent: int
    measure: float = 0.0


class EndKind(StrEnum):
    """How a run ended."""

    SUCCEEDED = "succeeded"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_LAPSED = "lease_lapsed"
    GANG_BROKEN = "gang_broken"
    GANG_INCOMPLETE = "gang_incomplete"


class EndReport(NamedTuple):
    """A run that a worker lists as ended.

    Attributes:
        number: Grows with each end on the worker, from 1.
        task: The task.
        run: Number of the run.
        kind: How it ended.
        checkpoint: Saved progress, or empty.
    """

    number: int
    task: TaskId
    run: int
    kind: EndKind
    checkpoint: str


class HoldReport(NamedTuple):
    """A worker's lists.

    Attributes:
        clock_ms: The worker's clock when it answered.
        born_ms: Unix time in milliseconds of the worker's start, or 0.
        running: Runs on the worker.
        ended: Oldest ends not yet settled, in the order of their numbers.
    """

    clock_ms: int
    born_ms: int
    running: tuple[RunReport, ...]
    ended: tuple[EndReport, ...]


class WorkerFencedError(PlatformError):
    """The worker has seen a higher fencing token; the order did nothing."""

    verdict = Verdict.NOT_RUN


class WorkerReplacedError(PlatformError):
    """Another worker, or another life of it, answers at the address."""

    verdict = Verdict.NOT_RUN


class WorkerRestartedError(WorkerReplacedError):
    """The worker has started again under its id; it takes orders meant for before.

    Attributes:
        born_ms: Unix time in milliseconds of its start.
    """

    def __init__(self, message: str, born_ms: int) -> None:
        super().__init__(message)
        self.born_ms = born_ms


class WorkerRefusedError(PlatformError):
    """The worker did not take the order, or it never left."""

    verdict = Verdict.NOT_RUN


class WorkerSilentError(PlatformError):
    """No answer; the order may be in effect, or come into effect later."""

    verdict = Verdict.UNKNOWN


class WorkerGateway(ABC):
    """Sends orders to workers.

    Each call raises `WorkerReplacedError`, `WorkerRefusedError` or
    `WorkerSilentError`, besides what it names.
    """

    @abstractmethod
    async def start(
        self, worker: WorkerListing, order: StartOrder, timeout_s: float
    ) -> OrderAnswer:
        """Starts a run; an order given twice starts it once."""

    @abstractmethod
    async def stop(
        self,
        worker: WorkerListing,
        task: TaskId,
        run: int,
        fence: int,
        timeout_s: float,
    ) -> OrderAnswer:
        """Stops a run, or keeps it from starting later."""

    @abstractmethod
    async def hold(
        self, worker: WorkerListing, order: HoldOrder, timeout_s: float
    ) -> HoldReport:
        """Prolongs the lease of the runs and returns the lists.

        Raises:
            WorkerFencedError: The worker takes orders from a later holder.
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
        """Sets the share, 0 to 100, at which a task may work."""

    @abstractmethod
    async def close(self) -> None:
        """Releases connections."""
