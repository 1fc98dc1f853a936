"""Sums up the arrivals and the backlog of a pool for the decisions of admission."""

import math
from collections import defaultdict, deque
from collections.abc import Callable, Mapping

from burdockthread_scheduling.admission import (
    PEAK_S,
    SUSTAINED_S,
    CostClass,
    cost_class,
    cost_of,
)
from burdockthread_scheduling.estimates import ArrivalRate

# Share by which a job that arrives changes the mean work of its queue.
LEARN_SHARE = 0.05
# A job counts with at most this many times the mean work of its queue. Callers may
# declare any work, and a single job would take the value from all others.
MAX_LEARNT_RATIO = 20.0
WINDOWS = round(SUSTAINED_S / PEAK_S)

ClassKey = tuple[int, int]
# A priority and cost class, and the organisation whose work it is or empty.
OwnedKey = tuple[int, int, str]


def usable_share(chain_s: float, horizon_s: float) -> float:
    """Returns the part of a job's work that can be done within a time.

    A job cannot end before its critical path does, on however many processors. Without
    this, a long job on few cores would count as work for all cores of its pool.
    """
    return horizon_s / max(chain_s, horizon_s)


def within_quotas(
    amounts: Mapping[OwnedKey, float], most: Callable[[str], float]
) -> dict[ClassKey, float]:
    """Sums up amounts by class, of each organisation no more than its quota allows.

    Args:
        amounts: Amounts by class and organisation.
        most: Returns the most that the quota of an organisation allows.
    """
    found: defaultdict[ClassKey, float] = defaultdict(float)
    counted: defaultdict[str, float] = defaultdict(float)
    for (priority, cost, name), amount in sorted(amounts.items()):
        allowed = max(min(amount, most(name) - counted[name]), 0.0)
        counted[name] += allowed
        found[priority, cost] += allowed
    return dict(found)


def without_quotas(organisation: str) -> float:
    """Returns that an organisation may use everything."""
    return math.inf


class ArrivedWork:
    """Work that has arrived, by class and organisation, in windows of `PEAK_S`.

    Attributes:
        mean_works: Mean work of a job by queue.
        windows: Start of each window and its work; the last one is not over.
        recent: Work that has arrived lately.
    """

    def __init__(self) -> None:
        self.mean_works: dict[str, float] = {}
        self.windows: deque[tuple[float, defaultdict[OwnedKey, float]]] = deque()
        self.recent = ArrivalRate()

    def add(
        self,
        queue: str,
        priority: int,
        work: float,
        now: float,
        *,
        organisation: str = "",
        usable: float = 1.0,
    ) -> None:
        """Records a job that has arrived.

        Args:
            queue: Name of its queue.
            priority: Urgency of its queue.
            work: Its work in core-seconds.
            now: Clock time.
            organisation: Its organisation, or empty.
            usable: Part of the work that may keep processors from other jobs.
        """
        mean = self.learn(queue, work)
        self.recent.add(work, now)
        self.advance(now)
        key = (priority, cost_class(cost_of(work, work, mean)), organisation)
        self.windows[-1][1][key] += work * usable

    def learn(self, queue: str, work: float) -> float:
        """Updates the mean work of a queue with a job, and returns it."""
        mean = self.mean_works.get(queue, work)
        if mean > 0:
            work = min(work, mean * MAX_LEARNT_RATIO)
        mean += LEARN_SHARE * (work - mean)
        self.mean_works[queue] = mean
        return mean

    def inflow(self, now: float) -> float:
        """Returns the work that arrives each second now."""
        return self.recent.per_s(now)

    def advance(self, now: float) -> None:
        """Begins the windows that are due and drops those that are too old."""
        if not self.windows or now - self.windows[-1][0] > PEAK_S * (WINDOWS + 1):
            self.windows.clear()
            self.windows.append((now, defaultdict(float)))
        while now - self.windows[-1][0] >= PEAK_S:
            self.windows.append((self.windows[-1][0] + PEAK_S, defaultdict(float)))
        while len(self.windows) > WINDOWS + 1:
            self.windows.popleft()

    def sustained(
        self, now: float, quota_cores: Callable[[str], float] = without_quotas
    ) -> dict[ClassKey, float]:
        """Returns the work for each second of the window with the least work.

        Empty until the windows cover `SUSTAINED_S`, and when any of them was a lull.
        """
        self.advance(now)
        ended = [work for _, work in self.windows][:-1]
        if len(ended) < WINDOWS:
            return {}
        least = min(ended, key=lambda work: sum(work.values()))
        per_s = {key: work / PEAK_S for key, work in least.items()}
        return within_quotas(per_s, quota_cores)

    def classes(
        self,
        queued: Mapping[ClassKey, float],
        now: float,
        quota_cores: Callable[[str], float] = without_quotas,
    ) -> tuple[CostClass, ...]:
        """Returns the classes of a backlog, given in core-seconds, with arrivals."""
        sustained = self.sustained(now, quota_cores)
        return tuple(
            CostClass(
                *key, round(queued.get(key, 0.0), 1), round(sustained.get(key, 0.0), 1)
            )
            for key in sorted(queued.keys() | sustained.keys())
        )
