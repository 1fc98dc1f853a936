"""Slots that stay taken after their exchange was cut."""

import heapq
import itertools
from collections.abc import Iterator
from typing import NamedTuple

from burdockthread_model.intended import ServiceSpec

from burdockthread_routing.endpoint_client import Endpoint


class HeldSlot(NamedTuple):
    """A slot whose exchange was cut and that may still be occupied.

    Attributes:
        free_s: Clock time from which it is surely free.
        order: Unique number, so that slots can be compared.
        service: Service of the slot.
        endpoint: Endpoint whose slot it is.
    """

    free_s: float
    order: int
    service: ServiceSpec
    endpoint: Endpoint


class HeldSlots:
    """Slots by the time from which they are free.

    Attributes:
        slots: The slots as a heap.
    """

    def __init__(self) -> None:
        self.slots: list[HeldSlot] = []
        self.order = itertools.count()

    def __len__(self) -> int:
        """Returns how many slots are held."""
        return len(self.slots)

    def hold(self, free_s: float, service: ServiceSpec, endpoint: Endpoint) -> None:
        """Holds a slot until a clock time."""
        slot = HeldSlot(free_s, next(self.order), service, endpoint)
        heapq.heappush(self.slots, slot)

    def take_free(self, now_s: float) -> Iterator[HeldSlot]:
        """Yields the slots that are free by now and holds them no longer."""
        while self.slots and self.slots[0].free_s <= now_s:
            yield heapq.heappop(self.slots)
