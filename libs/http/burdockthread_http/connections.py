"""Client connections of which the idle ones to a silent address can be dropped."""

import asyncio
from collections import defaultdict
from contextvars import ContextVar
from functools import partial
from typing import NamedTuple

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.connector import Connection
from aiohttp.tracing import Trace

# Closed connections are forgotten once an address has more than this many.
MAX_FORGOTTEN = 32


class HostPort(NamedTuple):
    """Host and port of a callee."""

    host: str | None
    port: int | None


class ConnectionUse:
    """The use of a connection by one call.

    Attributes:
        heard_s: Time of the event loop at which the call got the connection, or the
            last part of its answer; None before that.
        has_worked: Whether any part of an answer has arrived on the connection.
        is_answered: Whether that was an answer to this call.
    """

    def __init__(self) -> None:
        self.heard_s: float | None = None
        self.has_worked = False
        self.is_answered = False

    def begin(self, *, has_worked: bool) -> None:
        """Records that the call has a connection."""
        self.heard_s = asyncio.get_running_loop().time()
        self.has_worked = has_worked

    def hear(self) -> None:
        """Records that a part of the answer has arrived."""
        self.begin(has_worked=True)
        self.is_answered = True

    def silent_s(self) -> float:
        """Returns the seconds without a part of the answer; 0 without a connection."""
        if self.heard_s is None:
            return 0.0
        return asyncio.get_running_loop().time() - self.heard_s


# Use of a connection by the call that the current task sends.
current_use: ContextVar[ConnectionUse | None] = ContextVar("current_use", default=None)


class TrackedConnector(aiohttp.TCPConnector):
    """Connector that knows when its idle connections were last answered.

    Attributes:
        idle: Idle connections and the time of the event loop of their last answer,
            by address.
    """

    def __init__(self, *, limit_per_host: int, keepalive_timeout: float) -> None:
        super().__init__(
            limit=0, limit_per_host=limit_per_host, keepalive_timeout=keepalive_timeout
        )
        self.idle: defaultdict[HostPort, dict[ResponseHandler, float]] = defaultdict(
            dict
        )

    async def connect(
        self,
        req: aiohttp.ClientRequest,
        traces: list[Trace],
        timeout: aiohttp.ClientTimeout,
    ) -> Connection:
        """Returns a connection for a request, and records its use."""
        connection = await super().connect(req, traces, timeout)
        address = HostPort(req.url.host, req.url.port)
        protocol = connection.protocol
        if protocol is None:
            return connection
        answered_s = self.idle[address].pop(protocol, None)
        use = current_use.get()
        if use is not None:
            use.begin(has_worked=answered_s is not None)
        connection.add_callback(partial(self.on_release, address, protocol))
        return connection

    def on_release(self, address: HostPort, protocol: ResponseHandler) -> None:
        """Records that a call has ended; a broken connection is forgotten later."""
        idle = self.idle[address]
        idle[protocol] = asyncio.get_running_loop().time()
        if len(idle) > MAX_FORGOTTEN:
            self.forget_closed(address)

    def forget_closed(self, address: HostPort) -> None:
        """Forgets the connections to an address that have been closed."""
        idle = self.idle[address]
        for protocol in tuple(idle):
            if not protocol.is_connected():
                del idle[protocol]

    def drop_idle(self, address: HostPort, before_s: float) -> int:
        """Closes the idle connections to an address without an answer since a time.

        Args:
            address: Host and port of the callee.
            before_s: Time of the event loop.

        Returns:
            The number of connections that were closed.
        """
        self.forget_closed(address)
        idle = self.idle[address]
        silent = [p for p, answered_s in idle.items() if answered_s < before_s]
        for protocol in silent:
            del idle[protocol]
            protocol.close()
        return len(silent)
