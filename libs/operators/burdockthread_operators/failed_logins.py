"""Limits requests without a valid token, by remote address."""

from collections import OrderedDict

from burdockthread_model.clock import Clock

WINDOW_S = 60.0
MAX_FAILURES = 20
MAX_REMOTES = 1_024


class FailedLogins:
    """Counts failed authentications in a time window per remote address.

    Only requests without a valid token are counted and refused, so that a
    client behind the same load balancer cannot lock an operator out.

    Attributes:
        failures: Start of the window and number of failures in it, by remote
            address; the least recently updated address is dropped first.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.failures: OrderedDict[str, tuple[float, int]] = OrderedDict()

    def record_failure(self, remote: str) -> bool:
        """Counts a request without a valid token.

        Args:
            remote: Address that the request came from.

        Returns:
            Whether the address has exceeded `MAX_FAILURES` in its window.
        """
        now = self.clock.now()
        started_s, count = self.failures.pop(remote, (now, 0))
        if now - started_s >= WINDOW_S:
            started_s, count = now, 0
        self.failures[remote] = (started_s, count + 1)
        if len(self.failures) > MAX_REMOTES:
            self.failures.popitem(last=False)
        return count + 1 > MAX_FAILURES
