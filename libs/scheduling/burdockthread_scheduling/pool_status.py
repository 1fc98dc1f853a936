"""Messages between the holder of a pool, the machine planner and other holders."""

from typing import NamedTuple

# The planner ignores a status that is older than this.
STATUS_MAX_AGE_S = 0.8
# Time-out of a call between entries.
LINK_TIMEOUT_S = 0.5
# Time-out of an order to a machine.
MACHINE_ORDER_TIMEOUT_S = 1.0


class WorkerStatus(NamedTuple):
    """The state of a worker as reported by the holder of its pool.

    Attributes:
        worker_id: Id under which the worker registers.
        cpu_milli: Processors in thousandths of a core.
        used_milli: Processors that its runs use, in thousandths of a core.
        runs: Number of runs that may exist on the worker.
        lasting: Number of those runs that are of lasting tasks.
        vacating: Whether the planner wants the worker vacated and it gets no tasks
            for as long as the planner may act on this status.
        usable: Whether the worker accepts orders.
        idle_s: Seconds for which the worker has been idle.
        known: Whether the holder knows of all runs on the worker; if not, more may
            be there than `runs` tells.
    """

    worker_id: str
    cpu_milli: int
    used_milli: int
    runs: int
    lasting: int
    vacating: bool
    usable: bool
    idle_s: float
    known: bool = True


class PoolStatus(NamedTuple):
    """The demand of a pool and its workers.

    Attributes:
        pool: The pool.
        fence: Fencing token of its holder; a status of an earlier holder is
            ignored.
        lasting_milli: Processors that lasting tasks request, in thousandths of a
            core.
        running_milli: Processors that other runs use, in thousandths of a core.
        waiting: Work of waiting tasks, in thousandths of a core times seconds.
        inflow_milli: Work that arrives each second, in the same unit.
        workers: Workers of the pool.
        peak_ages_s: Seconds since the last peak of each pool, as the planner last
            reported; sent back so that the planner's successor knows them.
        unreached: Ids of workers of earlier holders that have not answered.
        held_s: Seconds since the holder learnt of these workers.
        lacks_room: Whether a long-running task on a worker that is to be vacated has
            no room on the others.
    """

    pool: str
    fence: int
    lasting_milli: int
    running_milli: int
    waiting: float
    inflow_milli: float
    workers: tuple[WorkerStatus, ...]
    peak_ages_s: dict[str, float]
    unreached: tuple[str, ...] = ()
    held_s: float = 0.0
    lacks_room: bool = False


class PlannerAnswer(NamedTuple):
    """The planner's answer to a status.

    Attributes:
        vacate: Ids of workers to vacate.
        peak_ages_s: Seconds since the last peak of each pool.
        ended: Ids of workers that an order to their machine has ended.
        gone: Ids of unreached workers that no machine runs any more.
    """

    vacate: tuple[str, ...]
    peak_ages_s: dict[str, float]
    ended: tuple[str, ...] = ()
    gone: tuple[str, ...] = ()


class ReleaseOrder(NamedTuple):
    """Asks an earlier holder of a pool to send no more orders.

    Attributes:
        pool: The pool.
        fence: Fencing token of the new holder.
    """

    pool: str
    fence: int


class ReleaseAnswer(NamedTuple):
    """Confirms that no orders under an earlier fencing token will follow.

    Attributes:
        process: Id of the answering process.
    """

    process: str
