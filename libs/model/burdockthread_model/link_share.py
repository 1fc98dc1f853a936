"""The share of a link that large answers may take."""

from burdockthread_model.clock import Clock

# The rest of the link is left for leases, orders and callers.
BULK_SHARE = 0.5
# Answers that take the share for less than this time are not delayed.
BURST_S = 0.1


class LinkShare:
    """Delays the reading of large answers, which makes their sender wait.

    Attributes:
        bytes_per_s: Rate at which large answers may arrive.
        free_s: Clock time at which all bytes so far have crossed at that rate.
    """

    def __init__(self, clock: Clock, link_bytes_per_s: float) -> None:
        self.clock = clock
        self.bytes_per_s = link_bytes_per_s * BULK_SHARE
        self.free_s = float("-inf")

    def delay_s(self, size: int) -> float:
        """Counts bytes that have arrived.

        Returns:
            Seconds until more may be read.
        """
        now = self.clock.now()
        self.free_s = max(self.free_s, now) + size / self.bytes_per_s
        return max(self.free_s - now - BURST_S, 0.0)
