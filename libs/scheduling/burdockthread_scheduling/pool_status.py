"""What the holder of a pool tells the planner of machines, and its answer."""

from typing import NamedTuple

# The planner acts on a status for so long.
STATUS_MAX_AGE_S = 0.8
# A call between entries is answered or given up within this time.
LINK_TIMEOUT_S = 0.5
# By then an order to a machine has been answered or given up.
MACHINE_ORDER_TIMEOUT_S = 1.0


class WorkerStatus(NamedTuple):
    """A worker as the holder of its pool sees it.

    Attributes:
        worker_id: Id under which it registers.
        cpu_milli: Processors in thousandths of a core.
        used_milli: Processors that its runs take up.
        runs: Runs that may exist on it.
        lasting: Those of them that are of lasting tasks.
        vacating: Whether it gets no tasks, at the planner's wish, for as long as
            the planner may act on this status.
        usable: Whether it takes orders.
        idle_s: Seconds since it has had nothing to do.
    """

    worker_id: str
    cpu_milli: int
    used_milli: int
    runs: int
    lasting: int
    vacating: bool
    usable: bool
    idle_s: float


class PoolStatus(NamedTuple):
    """The demand of a pool and its workers.

    Attributes:
        pool: The pool.
        fence: Fencing token of its holder; a status of an earlier one is void.
        lasting_milli: Processors that lasting tasks ask for.
        running_milli: Processors that other runs take up.
        waiting: Work of the tasks that wait, in thousandths of a core times
            seconds.
        inflow_milli: Work that arrives each second.
        workers: Workers of the pool.
        turn_ages_s: What the planner last told of the pools' turns, so that its
            successor knows: seconds since each pool was last in its turn.
    """

    pool: str
    fence: int
    lasting_milli: int
    running_milli: int
    waiting: float
    inflow_milli: float
    workers: tuple[WorkerStatus, ...]
    peak_ages_s: dict[str, float]


class PlannerAnswer(NamedTuple):
    """The planner's wishes.

    Attributes:
        vacate: Workers that are to be emptied, by id.
        turn_ages_s: Seconds since each pool was last in its turn.
        ended: Workers that an order to their machine has ended.
    """

    vacate: tuple[str, ...]
    peak_ages_s: dict[str, float]
    ended: tuple[str, ...] = ()


class ReleaseOrder(NamedTuple):
    """Asks an earlier holder of a pool to give no more orders.

    Attributes:
        pool: The pool.
        fence: Fencing token of the new holder.
    """

    pool: str
    fence: int


class ReleaseAnswer(NamedTuple):
    """Says that no orders under an earlier fencing token will follow.

    Attributes:
        process: Id of the process that answers.
    """

    process: str
