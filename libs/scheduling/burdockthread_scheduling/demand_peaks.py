"""Remembers whose turn of high demand was when."""

from collections.abc import Iterable

from burdockthread_model.events import EventLog

from burdockthread_scheduling.pool_status import PoolStatus

# A pool asks for much while it asks for this part of what it has.
PEAK_SHARE = 0.4
# Two reports that ask for much belong together if no more time is between them;
# a holder reports ten times a second.
LULL_S = 0.5


class DemandPeaks:
    """The last turn of each pool.

    A pool gives its reserve of machines up once it has had its turn, so a turn
    counts only when it has lasted until the machines that it draws are there. A
    wide job asks for as much for a moment.

    Attributes:
        confirmed_s: Seconds for which a pool asks for much before that is a turn.
        high_s: Clock times since which and at which a pool last asked for much.
        last_turn_s: Clock time at which a pool was last in its turn.
    """

    def __init__(self, confirmed_s: float, log: EventLog) -> None:
        self.confirmed_s = confirmed_s
        self.log = log
        self.high_s: dict[str, tuple[float, float]] = {}
        self.last_peak_s: dict[str, float] = {}

    def note(self, status: PoolStatus, now: float) -> None:
        """Takes in the demand of a pool, and what its holder was told of turns."""
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
        """Returns the seconds since each pool was last in its turn."""
        return {pool: now - last_s for pool, last_s in self.last_peak_s.items()}

    def ranks(self, pools: Iterable[str]) -> dict[str, float]:
        """Returns how far back the turn of each pool is, compared with others.

        Args:
            pools: Pools to rank.

        Returns:
            0 for the pool that had the latest turn, up to 1 for those whose
            turn is the longest ago or that had none.
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
