"""A listening HTTP port with bounded connections that closes slow ones."""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager, contextmanager, suppress
from typing import Any, NamedTuple, cast

from aiohttp import web
from aiohttp.web_protocol import RequestHandler
from burdockthread_model.clock import Clock
from burdockthread_model.errors import RequestError
from burdockthread_model.http_server import close_idle
from burdockthread_model.metrics import Metrics
from burdockthread_model.verdict import Verdict

VERDICT_HEADER = "Burdockthread-Verdict"
MAX_HEADER_BYTES = 8_190
BACKLOG = 1_024
IDLE_TIMEOUT_S = 15.0
SWEEP_INTERVAL_S = 1.0
LINGERING_TIME_S = 0.5
# Some turns of a busy event loop, within which a connection is taken and read.
LAST_TAKEN_S = 0.02
# A request that is given up at the end is answered within this time.
GIVE_UP_S = 1.0
BAD_REQUEST = 400
CONNECTION_OPTIONS: dict[str, Any] = {
    "access_log": None,
    "lingering_time": LINGERING_TIME_S,
    "max_field_size": MAX_HEADER_BYTES,
    "max_line_size": MAX_HEADER_BYTES,
}
REFUSAL = (
    b"HTTP/1.1 503 Service Unavailable\r\n"
    b"Burdockthread-Verdict: not_run\r\n"
    b"Retry-After: 1\r\n"
    b"Connection: close\r\n"
    b"Content-Type: application/json\r\n"
    b"Content-Length: 55\r\n\r\n"
    b'{"error": "too many connections", "verdict": "not_run"}'
)


class PortLimits(NamedTuple):
    """Bounds of a port.

    Attributes:
        connections: Connections at the most.
        stop_timeout_s: Longest time that requests in flight may take at the end.
        idle_timeout_s: Longest time that a connection may take to bring a
            whole head of a request.
    """

    connections: int
    stop_timeout_s: float
    idle_timeout_s: float = IDLE_TIMEOUT_S


class RequestAbortedError(RequestError):
    """A request that was still under way when its port closed; it may have run."""

    status = 504

    def __init__(self) -> None:
        super().__init__("this entry has stopped", verdict=Verdict.UNKNOWN)


class BusyConnections:
    """Connections with a request under way.

    Attributes:
        requests: Requests under way by connection.
        none_left: Set while there are none.
        closing: Whether each answer is the last of its connection.
        limits: Limits of the requests that may be given up.
    """

    def __init__(self) -> None:
        self.requests: Counter[RequestHandler] = Counter()
        self.none_left = asyncio.Event()
        self.none_left.set()
        self.closing = False
        self.limits: set[asyncio.Timeout] = set()

    @contextmanager
    def tracked(self, request: web.Request) -> Iterator[None]:
        """Marks the connection of a request while that is under way."""
        connection = request.protocol
        self.requests[connection] += 1
        self.none_left.clear()
        try:
            yield
        finally:
            self.requests[connection] -= 1
            if not self.requests[connection]:
                del self.requests[connection]
            if not self.requests:
                self.none_left.set()

    @asynccontextmanager
    async def aborted_on_close(self) -> AsyncIterator[None]:
        """Ends the work on a request within the block once it is given up.

        Raises:
            GivenUpError: The port closes.
        """
        limit = asyncio.timeout(None)
        try:
            async with limit:
                self.limits.add(limit)
                yield
        except TimeoutError:
            if limit.expired():
                raise RequestAbortedError from None
            raise
        finally:
            self.limits.discard(limit)

    async def end(self, timeout_s: float) -> None:
        """Lets the requests under way end, and gives up those that do not."""
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self.none_left.wait()
        for limit in self.limits:
            limit.reschedule(asyncio.get_running_loop().time())

    def __contains__(self, connection: object) -> bool:
        """Returns whether a connection has a request under way."""
        return connection in self.requests

    def __len__(self) -> int:
        """Returns the number of these connections."""
        return len(self.requests)


class RefusedConnection(asyncio.Protocol):
    """Answers a connection beyond the bound and closes it."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Writes the refusal."""
        # The transports of uvloop are no subclasses of asyncio.Transport.
        writable = cast(asyncio.Transport, transport)
        writable.write(REFUSAL)
        writable.close()


class Connection(RequestHandler):
    """A connection whose malformed requests are refused with a verdict."""

    __slots__ = ()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answers a request that the HTTP library could not read."""
        response = super().handle_error(request, status, exc, message)
        if status == BAD_REQUEST:
            response.headers[VERDICT_HEADER] = Verdict.NOT_RUN.value
        return response


@asynccontextmanager
async def http_port(
    name: str,
    app: web.Application,
    busy: BusyConnections,
    clock: Clock,
    metrics: Metrics,
    host: str,
    port: int,
    limits: PortLimits,
    *,
    handler_cancellation: bool = False,
) -> AsyncIterator[int]:
    """Serves an application within the block.

    Args:
        name: Prefix of the metrics.
        app: What answers.
        busy: Connections with a request under way.
        clock: Clock of the timeouts.
        metrics: Counts the connections that are refused or closed.
        host: IP address to listen on.
        port: TCP port; 0 lets the kernel choose.
        limits: Bounds.
        handler_cancellation: Whether a client that hangs up cancels the handler
            of its request.

    Yields:
        The TCP port.
    """
    runner = web.AppRunner(
        app,
        handler_cancellation=handler_cancellation,
        shutdown_timeout=GIVE_UP_S,
    )
    await runner.setup()
    server = runner.server
    assert server is not None
    loop = asyncio.get_running_loop()

    def accept() -> asyncio.Protocol:
        if len(server.connections) >= limits.connections:
            metrics.count(f"{name}.connections_refused")
            return RefusedConnection()
        return Connection(
            server,
            loop=loop,
            keepalive_timeout=limits.idle_timeout_s,
            **CONNECTION_OPTIONS,
        )

    async def sweep() -> None:
        """Closes connections that bring no request, until cancelled."""
        idle_since: dict[RequestHandler, float] = {}
        while True:
            await clock.sleep(SWEEP_INTERVAL_S)
            now = clock.now()
            idle = [c for c in server.connections if c not in busy]
            idle_since = {c: idle_since.get(c, now) for c in idle}
            for connection, since_s in idle_since.items():
                if now - since_s >= limits.idle_timeout_s:
                    metrics.count(f"{name}.idle_closed")
                    connection.force_close()

    listener = await loop.create_server(accept, host, port, backlog=BACKLOG)
    sweeper = asyncio.create_task(sweep())
    try:
        yield listener.sockets[0].getsockname()[1]
    finally:
        sweeper.cancel()
        busy.closing = True
        # Who waits to be taken is reset by the close, and who was just taken is
        # not known yet to the library; it drops what it reads once it closes.
        await asyncio.sleep(LAST_TAKEN_S)
        listener.close()
        await asyncio.sleep(LAST_TAKEN_S)
        await close_idle(server, busy)
        await busy.end(limits.stop_timeout_s)
        await runner.cleanup()
