"""Decides which jobs are accepted and which are served first.

Plain values in, decisions out: no network, no clock, no tasks. Times are in seconds,
work is in core-seconds. docs/design/load-shedding.md explains the model.
"""

import math
from enum import IntEnum, StrEnum
from typing import NamedTuple

import xxhash

# A job that would end this close to its objective counts as late: starts and reports
# take time that the estimates lack.
MARGIN_SHARE = 0.06
# A result earns a little up to this many times its objective, and nothing after it.
LATE_LIMIT = 3.0
LATE_SHARE = 0.07
# A begun job goes before others whose cost is not below this share of its own: work
# done on it is lost if it ends too late.
BEGUN_SHARE = 0.5
BASE_VALUE = 0.3
MAX_VALUE = 4.0
# A declared duration may be wrong by this factor in either direction.
ESTIMATE_ERROR = 7.0
# Errors of single tasks average out in the sums of a pool's work.
SUM_ERROR = 1.5
# The holder corrects a declared duration by the mean of the queue, which leaves this.
CORRECTED_ERROR = math.sqrt(ESTIMATE_ERROR)
# Part of all machines that may be switched off in the spare pool; they count as room.
SPARE_SHARE = 0.25
# Demand comes in peaks of about this length, with little demand in between.
PEAK_S = 4.0
# Demand between peaks, relative to that at a peak.
LULL_SHARE = 0.01
# Demand that has lasted for this long is not a peak.
SUSTAINED_S = 3 * PEAK_S
MIN_RETRY_S = 1.0
MAX_RETRY_S = 30.0
# Costs outside of this range share a class: callers declare any work, and each class
# adds about 25 bytes to the report that all entries follow.
MIN_COST = 1e-3
MAX_COST = 1e9
HASH_RANGE = 2**64


class Lateness(IntEnum):
    """Whether a job can still end in time."""

    IN_TIME = 0
    LATE = 1
    TOO_LATE = 2


def lateness_of(
    passed: float, objective: float, margin_share: float = MARGIN_SHARE
) -> Lateness:
    """Returns the lateness of a job that would end `passed` after its acceptance.

    Args:
        passed: Time from its acceptance to its expected end.
        objective: Time allowed for that, in the same unit.
        margin_share: Share of the objective for what the expectation lacks.
    """
    allowed = objective * (1 - margin_share)
    if passed <= allowed:
        return Lateness.IN_TIME
    if passed <= allowed * LATE_LIMIT:
        return Lateness.LATE
    return Lateness.TOO_LATE


def full_value(work: float, mean_work: float) -> float:
    """Returns what a job earns if it ends in time; the mean of its queue earns 1."""
    ratio = work / mean_work if mean_work > 0 else 1.0
    value = BASE_VALUE + (1 - BASE_VALUE) * ratio
    return value if value < MAX_VALUE else MAX_VALUE


def cost_of(left: float, work: float, mean_work: float) -> float:
    """Returns the work that a job still needs for each unit of its value."""
    return left / full_value(work, mean_work)


class Standing(NamedTuple):
    """The place of a job among those of its pool; the lowest is served first.

    Attributes:
        useless: Whether it earns nothing any more.
        lateness: Whether it can still end in time.
        cost: Work that it still needs for each unit of its value.
    """

    useless: bool
    lateness: Lateness
    cost: float


def standing(
    lateness: Lateness, left: float, work: float, mean_work: float, *, begun: bool
) -> Standing:
    """Returns the place of a job.

    Args:
        lateness: Whether it can still end in time.
        left: Work that it still needs, in the unit of `work` and `mean_work`.
        work: Work of the whole job.
        mean_work: Mean work of the jobs of its queue.
        begun: Whether a task of it has started.
    """
    cost = service_cost(left, work, mean_work, begun)
    return Standing(lateness is Lateness.TOO_LATE, lateness, cost)


def service_cost(left: float, work: float, mean_work: float, begun: bool) -> float:
    """Returns the cost by which a job is served; see `standing`.

    The order calls it for each job in each round, where a `Standing` takes longer.
    """
    cost = left / full_value(work, mean_work)
    return cost * BEGUN_SHARE if begun else cost


def cost_class(cost: float) -> int:
    """Returns the class of a cost; a class costs twice as much as the one below."""
    return math.floor(math.log2(min(max(cost, MIN_COST), MAX_COST)))


class CostClass(NamedTuple):
    """The jobs of one priority and cost class that can still end in time.

    Attributes:
        priority: Urgency of their queues; 0 comes first.
        cost: Class of their cost, see `cost_class`.
        queued: Work that they still need.
        sustained: Work that has arrived each second for `SUSTAINED_S`, at least.
    """

    priority: int
    cost: int
    queued: float
    sustained: float


class PoolRoom(NamedTuple):
    """The capacity and the backlog of a pool, as its holder publishes them.

    Attributes:
        cores: Cores of its workers that lasting tasks do not use.
        idle: Cores without a run.
        inflow: Work that arrives each second now.
        classes: Jobs that can still end in time.
        mean_works: Mean work of a job by queue.
    """

    cores: float
    idle: float
    inflow: float
    classes: tuple[CostClass, ...]
    mean_works: dict[str, float]

    def queued(self) -> float:
        """Returns the work of the jobs that can still end in time."""
        return sum(found.queued for found in self.classes)


class Candidate(NamedTuple):
    """A submitted job that has not been accepted.

    Attributes:
        job_id: Id of the job.
        queue: Name of its queue.
        priority: Urgency of its queue.
        chain_s: Declared length of its critical path; 0 if it declares none.
        work: Declared work; 0 if it declares none.
        stretch: Allowed ratio of its time to its critical path.
        target_s: Seconds allowed in addition.
    """

    job_id: str
    queue: str
    priority: int
    chain_s: float
    work: float
    stretch: float
    target_s: float


class RefusalReason(StrEnum):
    """Why a job is not accepted."""

    NO_TIME = "no_time"


class Refusal(NamedTuple):
    """A job is not accepted.

    Attributes:
        reason: The reason.
        retry_after_s: Seconds after which the caller may retry.
        wait_s: Least time that the job would wait; infinite if it would never start.
    """

    reason: RefusalReason
    retry_after_s: float
    wait_s: float


def decide(job: Candidate, room: PoolRoom, elsewhere: float = 0.0) -> Refusal | None:
    """Returns why a job is not accepted, or None if it is.

    A job is refused only if it earns nothing even when its estimate is wrong in the
    way that favours it most, all idle machines come to the pool, and demand drops to
    the lowest of the last `SUSTAINED_S`.

    Args:
        job: The job.
        room: Capacity and backlog of its pool.
        elsewhere: Cores of machines that may come to the pool.
    """
    if job.chain_s <= 0 or job.work <= 0 or job.queue not in room.mean_works:
        return None
    wait_s = least_wait_s(job, room, room.cores + elsewhere)
    if wait_s <= longest_useful_wait_s(job):
        return None
    retry_s = retry_after_s(job.job_id, room)
    return Refusal(RefusalReason.NO_TIME, retry_s, wait_s)


def least_wait_s(job: Candidate, room: PoolRoom, cores: float) -> float:
    """Returns the least time for which jobs that go first use all processors."""
    least_work = job.work / CORRECTED_ERROR
    cost = cost_class(cost_of(least_work, least_work, room.mean_works[job.queue]))
    ahead = [
        found
        for found in room.classes
        if found.priority < job.priority
        or (found.priority == job.priority and found.cost < cost)
    ]
    queued = sum(found.queued for found in ahead) / SUM_ERROR
    left = cores - sum(found.sustained for found in ahead) / SUM_ERROR
    if not ahead:
        return 0.0
    return queued / left if left > 0 else math.inf


def longest_useful_wait_s(job: Candidate) -> float:
    """Returns the longest wait after which a job may still earn anything.

    A longer critical path allows a longer wait, since the objective is a multiple of
    it, so the longest that the estimate allows is the most favourable.
    """
    spare = max(LATE_LIMIT * job.stretch - 1, 0.0)
    return spare * job.chain_s * ESTIMATE_ERROR + LATE_LIMIT * job.target_s


def retry_after_s(job_id: str, room: PoolRoom) -> float:
    """Returns after which time a refused caller finds room.

    The backlog grows until the peak ends and is then worked off. The refused callers
    share the time that their work takes, each at a place that its job's id gives.
    """
    cores = max(room.cores, 1.0)
    sustained = sum(found.sustained for found in room.classes)
    # What has lasted for long is expected to last as long again.
    peak_s = SUSTAINED_S if sustained > cores else PEAK_S / 2
    if room.inflow < cores:
        room_s = min(room.queued() / (cores - room.inflow), MAX_RETRY_S)
    else:
        backlog = room.queued() + (room.inflow - cores) * peak_s
        room_s = peak_s + backlog / max(cores - room.inflow * LULL_SHARE, cores / 10)
    window_s = max(room.inflow * peak_s / cores, MIN_RETRY_S)
    place = xxhash.xxh64_intdigest(job_id.encode()) / HASH_RANGE
    # The window is kept when the time is at its limit, so that retries stay spread.
    start_s = min(max(room_s, MIN_RETRY_S), MAX_RETRY_S / 2)
    return start_s + place * min(window_s, MAX_RETRY_S / 2)
