"""Slots that stay taken after an interrupted exchange."""

import heapq
import itertools
from collections.abc import Iterator
from typing import NamedTuple

from burdockthread_model.intended import ServiceSpec

from burdockthread_routing.endpoint_client import Endpoint


class HeldSlot(NamedTuple):
    """A slot whose exchange was interrupted and whose attempt may still run.

    Attributes:
        free_s: Clock time from which the slot is free.
        order: Unique number that orders slots with the same time.
        service: Service of the slot.
        endpoint: Endpoint whose slot it is.
    """

    free_s: float
    order: int
    service: ServiceSpec
    endpoint: Endpoint


class HeldSlots:
    """Held slots, ordered by the time from which they are free.

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

    def pop_free(self, now_s: float) -> Iterator[HeldSlot]:
        """Removes and yields the slots that are free by now."""
        while self.slots and self.slots[0].free_s <= now_s:
            yield heapq.heappop(self.slots)
