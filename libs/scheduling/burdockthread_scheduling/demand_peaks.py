"""Tracks when each pool had its last peak of demand."""

from collections.abc import Iterable

from burdockthread_model.events import EventLog

from burdockthread_scheduling.pool_status import PoolStatus

# Demand is high while it is at least this share of the pool's processors.
PEAK_SHARE = 0.4
# Two reports of high demand belong to the same peak if no more time is between
# them; a holder reports ten times a second.
LULL_S = 0.5


class DemandPeaks:
    """The time of each pool's last peak.

    A pool gives up its reserve of machines after its peak, so a peak counts only
    once high demand has lasted until the machines moved because of it can have
    arrived. A single wide job has the same demand, but only for a moment.

    Attributes:
        confirmed_s: Seconds of high demand after which it counts as a peak.
        high_s: Clock times at which the high demand of a pool began and was last
            reported.
        last_peak_s: Clock time at which a pool was last at its peak.
    """

    def __init__(self, confirmed_s: float, log: EventLog) -> None:
        self.confirmed_s = confirmed_s
        self.log = log
        self.high_s: dict[str, tuple[float, float]] = {}
        self.last_peak_s: dict[str, float] = {}

    def note(self, status: PoolStatus, now: float) -> None:
        """Applies a pool's status: its demand, and the peaks an earlier planner saw."""
        for pool, age_s in status.peak_ages_s.items():
            known_s = self.last_peak_s.get(pool, float("-inf"))
            self.last_peak_s[pool] = max(known_s, now - age_s)
        capacity = sum(worker.cpu_milli for worker in status.workers)
        asked = max(status.running_milli, status.inflow_milli)
        if not capacity or asked < capacity * PEAK_SHARE:
            return
        since_s, last_s = self.high_s.get(status.pool, (now, now))
        if now - last_s > LULL_S:
            since_s = now
        self.high_s[status.pool] = (since_s, now)
        if now - since_s < self.confirmed_s:
            return
        if self.last_peak_s.get(status.pool, float("-inf")) < since_s:
            self.log.info(
                "turn_begun",
                pool=status.pool,
                asked_milli=int(asked),
                capacity_milli=capacity,
                since_s=round(now - since_s, 3),
            )
        self.last_peak_s[status.pool] = now

    def ages_s(self, now: float) -> dict[str, float]:
        """Returns the seconds since the last peak of each pool."""
        return {pool: now - last_s for pool, last_s in self.last_peak_s.items()}

    def ranks(self, pools: Iterable[str]) -> dict[str, float]:
        """Ranks pools by the time of their last peak.

        Args:
            pools: Pools to rank.

        Returns:
            0 for the pool with the latest peak, up to 1 for the pools whose peak
            is the longest ago or that had none.
        """
        known = sorted(
            (pool for pool in pools if pool in self.last_peak_s),
            key=lambda pool: -self.last_peak_s[pool],
        )
        names = tuple(pools)
        last = max(len(names) - 1, 1)
        ranks = dict.fromkeys(names, 1.0)
        ranks.update({pool: rank / last for rank, pool in enumerate(known)})
        return ranks
