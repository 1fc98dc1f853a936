"""Forecasts how much more a pool will ask for by the time that machines can arrive.

Answers a pool whose turn of demand begins: what runs there rises within two seconds
from little to more than the pool holds, and machines take as long to move.
"""

from collections import defaultdict, deque
from typing import NamedTuple

# A rise is the difference between the means of these two parts of the last second; a
# single wide job raises both within the time that its tasks take to start.
RECENT_S = 0.4
WINDOW_S = 1.0
# A status comes ten times a second; with fewer the means are not worth comparing.
MIN_STATUSES = 3
# Below this share of its processors a pool has room for a rise.
MIN_LOAD = 0.5


class Asked(NamedTuple):
    """What a pool asked for at one time, in thousandths of a core."""

    at_s: float
    milli: float


class DemandTrend:
    """The rise of each pool's demand over the last second.

    Attributes:
        lead_s: Seconds until a machine that is ordered now serves its new pool.
        asked: What each pool has asked for lately.
    """

    def __init__(self, lead_s: float) -> None:
        self.lead_s = lead_s
        self.asked: defaultdict[str, deque[Asked]] = defaultdict(deque)

    def note(self, pool: str, milli: float, now: float) -> None:
        """Records what a pool asks for now."""
        asked = self.asked[pool]
        asked.append(Asked(now, milli))
        while now - asked[0].at_s > WINDOW_S:
            asked.popleft()

    def expected_rise(self, pool: str, supply_milli: float, now: float) -> float:
        """Returns how much more a pool will ask for within `lead_s`; 0 if it falls.

        The demand is not expected to more than double in that time.

        Args:
            pool: The pool.
            supply_milli: Processors that it has or is about to get.
            now: Clock time.
        """
        asked = [found for found in self.asked[pool] if now - found.at_s <= WINDOW_S]
        recent = [found for found in asked if now - found.at_s < RECENT_S]
        before = asked[: len(asked) - len(recent)]
        if min(len(recent), len(before)) < MIN_STATUSES:
            return 0.0
        level = mean([found.milli for found in recent])
        if level < supply_milli * MIN_LOAD:
            return 0.0
        rise = level - mean([found.milli for found in before])
        passed_s = mean([f.at_s for f in recent]) - mean([f.at_s for f in before])
        return min(max(rise, 0.0) / passed_s * self.lead_s, level)


def mean(values: list[float]) -> float:
    """Returns the mean of some values."""
    return sum(values) / len(values)
