"""HTTP port that limits its connections and closes idle ones."""

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
# Several iterations of a busy event loop, enough to accept a pending connection
# and to read its request.
ACCEPT_GRACE_S = 0.02
# Time for the answers to requests that are aborted when the port closes.
ABORT_ANSWER_TIMEOUT_S = 1.0
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
    """Limits of a port.

    Attributes:
        connections: Maximum number of connections.
        stop_timeout_s: Time that requests in progress may take when the port
            closes, before they are aborted.
        idle_timeout_s: Time within which a connection has to send a complete
            request head.
    """

    connections: int
    stop_timeout_s: float
    idle_timeout_s: float = IDLE_TIMEOUT_S


class RequestAbortedError(RequestError):
    """A request still in progress when its port closed; the request may have run."""

    status = 504

    def __init__(self) -> None:
        super().__init__("this entry has stopped", verdict=Verdict.UNKNOWN)


class BusyConnections:
    """Connections with a request in progress.

    Attributes:
        requests: Number of requests in progress by connection.
        drained: Set while no request is in progress.
        closing: Whether each connection is closed after its next answer.
        timeouts: Timeouts by which requests in progress are aborted.
    """

    def __init__(self) -> None:
        self.requests: Counter[RequestHandler] = Counter()
        self.drained = asyncio.Event()
        self.drained.set()
        self.closing = False
        self.timeouts: set[asyncio.Timeout] = set()

    @contextmanager
    def tracked(self, request: web.Request) -> Iterator[None]:
        """Counts a request on its connection within the block."""
        connection = request.protocol
        self.requests[connection] += 1
        self.drained.clear()
        try:
            yield
        finally:
            self.requests[connection] -= 1
            if not self.requests[connection]:
                del self.requests[connection]
            if not self.requests:
                self.drained.set()

    @asynccontextmanager
    async def aborted_on_close(self) -> AsyncIterator[None]:
        """Aborts the block if the port closes and its stop timeout has passed.

        Raises:
            RequestAbortedError: The block was aborted.
        """
        limit = asyncio.timeout(None)
        try:
            async with limit:
                self.timeouts.add(limit)
                yield
        except TimeoutError:
            if limit.expired():
                raise RequestAbortedError from None
            raise
        finally:
            self.timeouts.discard(limit)

    async def drain_or_abort(self, timeout_s: float) -> None:
        """Waits for the requests in progress; aborts those that exceed the timeout."""
        with suppress(TimeoutError):
            async with asyncio.timeout(timeout_s):
                await self.drained.wait()
        for limit in self.timeouts:
            limit.reschedule(asyncio.get_running_loop().time())

    def __contains__(self, connection: object) -> bool:
        """Returns whether a connection has a request in progress."""
        return connection in self.requests

    def __len__(self) -> int:
        """Returns the number of connections with a request in progress."""
        return len(self.requests)


class RefusedConnection(asyncio.Protocol):
    """Answers a connection above the limit with 503 and closes it."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Writes the refusal."""
        # The transports of uvloop are not subclasses of asyncio.Transport.
        writable = cast(asyncio.Transport, transport)
        writable.write(REFUSAL)
        writable.close()


class Connection(RequestHandler):
    """A connection that adds a verdict to the refusal of a malformed request."""

    __slots__ = ()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answers a request that aiohttp could not parse."""
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
        app: Application to serve.
        busy: Connections with a request in progress; the application tracks them.
        clock: Clock of the timeouts.
        metrics: Counts the connections that are refused or closed.
        host: IP address to listen on.
        port: TCP port; 0 lets the kernel choose.
        limits: Limits of the port.
        handler_cancellation: Whether a client that disconnects cancels the
            handler of its request.

    Yields:
        The TCP port.
    """
    runner = web.AppRunner(
        app,
        handler_cancellation=handler_cancellation,
        shutdown_timeout=ABORT_ANSWER_TIMEOUT_S,
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
        """Closes connections that send no request in time, until cancelled."""
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
        # Closing the listener resets the connections that are not accepted yet.
        # A connection accepted just before is not known to aiohttp yet, which
        # drops what it reads once it closes. Hence a pause before and after.
        await asyncio.sleep(ACCEPT_GRACE_S)
        listener.close()
        await asyncio.sleep(ACCEPT_GRACE_S)
        await close_idle(server, busy)
        await busy.drain_or_abort(limits.stop_timeout_s)
        await runner.cleanup()
