"""Slot permits as fixed shares of the entries in the settings."""

from collections import Counter
from collections.abc import Callable, Sequence

from burdockthread_peers.permits import SlotPermits
from burdockthread_peers.rendezvous import rank

SlotCount = Callable[[str], int]

MAX_RANKED = 10_000


class StaticPermits(SlotPermits):
    """Divides the slots of an endpoint evenly over a fixed list of entries.

    What an even division leaves over goes to the entries ranked first for the
    endpoint, so that no entry is favoured at all endpoints.

    Attributes:
        name: Name of this entry.
        entries: Names of all entries.
        slots: Returns the slots of one endpoint of a service.
        in_use: Slots in use by service and endpoint.
        places: This entry's place in the ranking of each endpoint.
    """

    def __init__(self, name: str, entries: Sequence[str], slots: SlotCount) -> None:
        self.name = name
        self.entries = tuple(entries)
        self.slots = slots
        self.in_use: Counter[tuple[str, str]] = Counter()
        self.places: dict[str, int] = {}

    def limit(self, service: str, endpoint: str) -> int:
        """Returns this entry's share of one endpoint; none if it is not listed."""
        if self.name not in self.entries:
            return 0
        share, left_over = divmod(self.slots(service), len(self.entries))
        return share + (1 if self.place(endpoint) < left_over else 0)

    def place(self, endpoint: str) -> int:
        """Returns this entry's place in the ranking of an endpoint, from 0."""
        found = self.places.get(endpoint)
        if found is not None:
            return found
        if len(self.places) >= MAX_RANKED:
            self.places.clear()
        place = rank(endpoint, self.entries).index(self.name)
        self.places[endpoint] = place
        return place

    def try_acquire(self, service: str, endpoint: str) -> bool:
        """Takes one slot if the share allows."""
        if self.in_use[service, endpoint] >= self.limit(service, endpoint):
            return False
        self.in_use[service, endpoint] += 1
        return True

    def release(self, service: str, endpoint: str) -> None:
        """Gives a slot back."""
        self.in_use[service, endpoint] -= 1
