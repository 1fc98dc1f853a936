"""Remembers whose turn of high demand was when."""

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
        """Takes in the demand of a pool."""
        capacity = sum(worker.cpu_milli for worker in status.workers)
        asked = max(status.running_milli, status.inflow_milli)
        if capacity and asked >= capacity * TURN_SHARE:
            self.last_turn_s[status.pool] = now

    def by_last_turn(self, pools: list[str]) -> list[str]:
        """Returns pools in order of their last turns, the latest first."""
        return sorted(pools, key=lambda pool: (-self.last_turn_s.get(pool, 0.0), pool))
