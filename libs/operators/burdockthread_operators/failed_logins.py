"""Counts requests without a valid token, by remote address."""

from collections import OrderedDict

from burdockthread_model.clock import Clock

WINDOW_S = 60.0
MAX_FAILURES = 20
MAX_REMOTES = 1_024


class FailedLogins:
    """Bounds how often a remote address is told why it was refused.

    Only requests without a valid token are counted and refused, so that
    nobody behind the same balancer can lock an operator out.

    Attributes:
        failures: Start of the window and failures in it, by remote address.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.failures: OrderedDict[str, tuple[float, int]] = OrderedDict()

    def record_failure(self, remote: str) -> bool:
        """Counts a failure.

        Args:
            remote: Address of the remote.

        Returns:
            Whether the remote has exceeded its failures.
        """
        now = self.clock.now()
        started_s, count = self.failures.pop(remote, (now, 0))
        if now - started_s >= WINDOW_S:
            started_s, count = now, 0
        self.failures[remote] = (started_s, count + 1)
        if len(self.failures) > MAX_REMOTES:
            self.failures.popitem(last=False)
        return count + 1 > MAX_FAILURES
