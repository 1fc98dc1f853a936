"""How recently the store has answered this entry."""

from collections.abc import Callable

from burdockthread_model.clock import Clock

# The lease is renewed twice a second and a watch returns every second, so a store
# that answers an entry leaves no longer gaps.
STORE_SILENT_S = 1.3


def unhindered() -> float:
    """Returns zero, for a process that is never late and whose link is never full."""
    return 0.0


class StoreContact:
    """Tells whether this entry can reach the store.

    Time in which this process did not run or its link was full is no silence of the
    store.

    Attributes:
        contact_s: Returns the clock time of the store's last answer.
        hindered_s: Returns the total time in which answers waited for this process
            or its link.
        seen_s: Clock time of the last answer that was seen here.
        hindered_before_s: The total at that time.
    """

    def __init__(
        self,
        clock: Clock,
        contact_s: Callable[[], float],
        hindered_s: Callable[[], float] = unhindered,
    ) -> None:
        self.clock = clock
        self.contact_s = contact_s
        self.hindered_s = hindered_s
        self.seen_s = float("-inf")
        self.hindered_before_s = 0.0

    def age_s(self) -> float:
        """Returns the seconds for which the store may have been silent."""
        contact_s, hindered_s = self.contact_s(), self.hindered_s()
        if contact_s != self.seen_s:
            self.seen_s = contact_s
            self.hindered_before_s = hindered_s
        return self.clock.now() - contact_s - (hindered_s - self.hindered_before_s)

    def is_recent(self) -> bool:
        """Returns whether the store has answered within `STORE_SILENT_S`."""
        return self.age_s() < STORE_SILENT_S
