"""Shares of a pool by the weights of organisations.

Answers one organisation that asks for many times its usual while others go on as
before. Shares are weighted max-min fair by dominant resource: an organisation is
counted by the resource of which it uses the greatest part.
"""

from collections import defaultdict, deque
from collections.abc import Mapping, Sequence
from typing import NamedTuple

# Rounding must not keep an organisation from a share that it fills exactly.
TOLERANCE = 1e-9
# A weight is also a number of jobs in any time of this length.
RATE_WINDOW_S = 1.0


class OrganisationDemand(NamedTuple):
    """What an organisation uses and needs, as parts of a pool's room.

    Attributes:
        weight: Its share relative to others.
        used: Part that its runs use.
        waiting: Part that its waiting tasks need in addition.
    """

    weight: float
    used: float
    waiting: float

    def total(self) -> float:
        """Returns the part that would serve all its tasks."""
        return self.used + self.waiting


def dominant_part(size: Sequence[int], room: Sequence[int]) -> float:
    """Returns the greatest part of any resource of the room that a size takes."""
    return max(
        (amount / max(most, 1) for amount, most in zip(size, room, strict=True)),
        default=0.0,
    )


def fair_shares(demands: Mapping[str, OrganisationDemand]) -> dict[str, float] | None:
    """Returns the part of the room that each organisation is due.

    What some leave is divided among the others by weight. An organisation without a
    weight is due what the weighted ones leave.

    Args:
        demands: Demand by organisation.

    Returns:
        The shares, or None if the room suffices for all.
    """
    if sum(demand.total() for demand in demands.values()) <= 1.0:
        return None
    shares = dict.fromkeys(demands, 0.0)
    left = 1.0
    asking = {name for name, demand in demands.items() if demand.weight > 0}
    while asking and left > TOLERANCE:
        weights = sum(demands[name].weight for name in asking)
        satisfied = set()
        for name in asking:
            due = left * demands[name].weight / weights
            if demands[name].total() <= due:
                satisfied.add(name)
        if not satisfied:
            for name in asking:
                shares[name] = left * demands[name].weight / weights
            left = 0.0
        for name in satisfied:
            shares[name] = demands[name].total()
            left -= shares[name]
        asking -= satisfied
    unweighted = [name for name, demand in demands.items() if demand.weight <= 0]
    for name in unweighted:
        shares[name] = max(left, 0.0) / len(unweighted)
    return shares


class ShareRound:
    """The shares of one scheduling round, and what has been started within them.

    Attributes:
        room: Room of the pool by resource.
        shares: Part of the room that each organisation is due.
        used: Part that each organisation uses.
    """

    def __init__(
        self,
        room: Sequence[int],
        shares: dict[str, float],
        demands: Mapping[str, OrganisationDemand],
    ) -> None:
        self.room = room
        self.shares = shares
        self.used = {name: demand.used for name, demand in demands.items()}

    def allows(self, organisation: str, size: Sequence[int]) -> bool:
        """Returns whether a task of an organisation is within its share.

        The first task is, however small the share: else an organisation whose tasks are
        larger than its share would start none while others have waiting tasks.
        """
        used = self.used.get(organisation)
        if not used:
            return True
        due = self.shares[organisation] + TOLERANCE
        return used + dominant_part(size, self.room) <= due

    def note(self, organisation: str, size: Sequence[int]) -> None:
        """Adds a started task."""
        if organisation in self.used:
            self.used[organisation] += dominant_part(size, self.room)


class ArrivalCounter:
    """Tells which jobs are beyond the weight of their organisation a second.

    Attributes:
        arrived_s: Clock times of the last arrivals, by organisation.
    """

    def __init__(self) -> None:
        self.arrived_s: defaultdict[str, deque[float]] = defaultdict(deque)

    def is_surplus(self, organisation: str, weight: float, now: float) -> bool:
        """Records a job; returns whether more than `weight` arrived within a second."""
        arrived_s = self.arrived_s[organisation]
        arrived_s.append(now)
        while now - arrived_s[0] >= RATE_WINDOW_S:
            arrived_s.popleft()
        return len(arrived_s) > weight
