"""The open connections of a port, of which those with the least progress are closed."""

from abc import abstractmethod
from collections.abc import Callable, Mapping

from aiohttp import web

from burdockthread_http.connection_guard import ConnectionGuard, SweptConnection
from burdockthread_http.connection_limits import CLOSED_FOR_SLOT, PortLimits, Refusal
from burdockthread_http.received_bytes import ConnectionProgress, closing_order

# Part of the connections that is closed beyond what is needed.
CLOSED_SHARE = 1 / 64


class PortConnection(SweptConnection):
    """A connection as its port sees it.

    Attributes:
        limits: Limits for the request that is being received.
        progress: What the connection holds and when it last made progress.
    """

    __slots__ = ()
    limits: PortLimits
    progress: ConnectionProgress

    @property
    @abstractmethod
    def is_waiting(self) -> bool:
        """Whether received data waits for its turn to be parsed."""

    @abstractmethod
    def close_for_slot(self) -> None:
        """Closes the connection because there are too many."""

    @abstractmethod
    def abort(self) -> None:
        """Closes the connection at once."""


class PortConnections:
    """Keeps the number of a port's connections within its limit.

    Attributes:
        name: Name of the port.
        guard: Shared by the ports of the process.
        limits: Returns the limits in force.
        refusal_headers: Headers of the answers to refused requests.
        open: Connections that are open and not told to close, by their progress.
    """

    def __init__(
        self,
        name: str,
        guard: ConnectionGuard,
        limits: Callable[[], PortLimits],
        refusal_headers: Mapping[str, str] | None = None,
    ) -> None:
        self.name = name
        self.guard = guard
        self.limits = limits
        self.refusal_headers = refusal_headers or {}
        self.open: dict[ConnectionProgress, PortConnection] = {}

    def add(self, connection: PortConnection) -> None:
        """Adds a connection; closes those with the least progress beyond the limit."""
        self.guard.add(connection.progress, connection)
        limit = connection.limits.connections
        if len(self.open) >= limit:
            excess = len(self.open) - limit + 1 + int(limit * CLOSED_SHARE)
            for progress in closing_order(self.open)[:excess]:
                self.open.pop(progress).close_for_slot()
        self.open[connection.progress] = connection
        if len(self.open) > limit:
            # All others have requests that may have run.
            del self.open[connection.progress]
            connection.refuse(CLOSED_FOR_SLOT)

    def remove(self, connection: PortConnection) -> None:
        """Removes a connection that has ended."""
        self.open.pop(connection.progress, None)
        self.guard.remove(connection.progress)

    def refusal_response(self, refusal: Refusal) -> web.Response:
        """Returns the answer to a refused request."""
        return refusal.response(self.refusal_headers)
