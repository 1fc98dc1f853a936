"""How recently the store has answered this entry."""

from collections.abc import Callable

from burdockthread_model.clock import Clock

# The lease is renewed twice a second and a watch returns every second, so a store
# that answers an entry leaves no longer gaps.
STORE_SILENT_S = 1.3


class StoreContact:
    """Tells whether this entry can reach the store.

    Attributes:
        contact_s: Returns the clock time of the store's last answer.
    """

    def __init__(self, clock: Clock, contact_s: Callable[[], float]) -> None:
        self.clock = clock
        self.contact_s = contact_s

    def age_s(self) -> float:
        """Returns the seconds since the store's last answer."""
        return self.clock.now() - self.contact_s()

    def is_recent(self) -> bool:
        """Returns whether the store has answered within `STORE_SILENT_S`."""
        return self.age_s() < STORE_SILENT_S
