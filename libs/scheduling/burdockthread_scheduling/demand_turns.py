"""Remembers whose turn of high demand was when."""

from collections.abc import Iterable

from burdockthread_scheduling.pool_status import PoolStatus

# A pool is in its turn while it asks for this part of what it has.
TURN_SHARE = 0.4


class DemandTurns:
    """The last turn of each pool.

    Attributes:
        last_turn_s: Clock time at which a pool was last in its turn.
    """

    def __init__(self) -> None:
        self.last_turn_s: dict[str, float] = {}

    def note(self, status: PoolStatus, now: float) -> None:
        """Takes in the demand of a pool, and what its holder was told of turns."""
        for pool, age_s in status.turn_ages_s.items():
            known_s = self.last_turn_s.get(pool, float("-inf"))
            self.last_turn_s[pool] = max(known_s, now - age_s)
        capacity = sum(worker.cpu_milli for worker in status.workers)
        asked = max(status.running_milli, status.inflow_milli)
        if capacity and asked >= capacity * TURN_SHARE:
            self.last_turn_s[status.pool] = now

    def ages_s(self, now: float) -> dict[str, float]:
        """Returns the seconds since each pool was last in its turn."""
        return {pool: now - last_s for pool, last_s in self.last_turn_s.items()}

    def ranks(self, pools: Iterable[str]) -> dict[str, float]:
        """Returns how far back the turn of each pool is, compared with others.

        Args:
            pools: Pools to rank.

        Returns:
            0 for the pool that had the latest turn, up to 1 for those whose
            turn is the longest ago or that had none.
        """
        known = sorted(
            (pool for pool in pools if pool in self.last_turn_s),
            key=lambda pool: -self.last_turn_s[pool],
        )
        names = tuple(pools)
        last = max(len(names) - 1, 1)
        ranks = dict.fromkeys(names, 1.0)
        ranks.update({pool: rank / last for rank, pool in enumerate(known)})
        return ranks
