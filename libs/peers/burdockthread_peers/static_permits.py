"""Slot permits as fixed shares for the entries listed in the settings."""

from collections import Counter
from collections.abc import Callable, Sequence

from burdockthread_peers.permits import SlotPermits
from burdockthread_peers.rendezvous import rank

SlotCount = Callable[[str], int]

MAX_RANKED = 10_000


class StaticPermits(SlotPermits):
    """Divides the slots of an endpoint evenly over a fixed list of entries.

    The remainder of the division goes to the entries that rank first for the
    endpoint, so that no entry gets more slots at every endpoint.

    Attributes:
        name: Name of this entry.
        entries: Names of all entries.
        slots: Returns the number of slots of each endpoint of a service.
        in_use: Number of slots in use by service and endpoint.
        positions: Cache of this entry's position in the ranking of each endpoint.
    """

    def __init__(self, name: str, entries: Sequence[str], slots: SlotCount) -> None:
        self.name = name
        self.entries = tuple(entries)
        self.slots = slots
        self.in_use: Counter[tuple[str, str]] = Counter()
        self.positions: dict[str, int] = {}

    def limit(self, service: str, endpoint: str) -> int:
        """Returns this entry's share of an endpoint; 0 if the entry is not listed."""
        if self.name not in self.entries:
            return 0
        share, left_over = divmod(self.slots(service), len(self.entries))
        return share + (1 if self.position(endpoint) < left_over else 0)

    def position(self, endpoint: str) -> int:
        """Returns this entry's position in the ranking of an endpoint, from 0."""
        found = self.positions.get(endpoint)
        if found is not None:
            return found
        if len(self.positions) >= MAX_RANKED:
            self.positions.clear()
        place = rank(endpoint, self.entries).index(self.name)
        self.positions[endpoint] = place
        return place

    def try_acquire(self, service: str, endpoint: str) -> bool:
        """Acquires one slot if fewer than the share are in use."""
        if self.in_use[service, endpoint] >= self.limit(service, endpoint):
            return False
        self.in_use[service, endpoint] += 1
        return True

    def release(self, service: str, endpoint: str) -> None:
        """Releases a slot that `try_acquire` returned."""
        self.in_use[service, endpoint] -= 1
