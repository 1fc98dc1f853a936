"""The listening side of the callers' port: bounded connections, slow callers."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import NamedTuple

from aiohttp import web
from aiohttp.web_protocol import RequestHandler
from burdockthread_model.clock import Clock

from burdockthread_routing.callers_api import MAX_HEADER_BYTES, CallersApi

BACKLOG = 1_024
IDLE_TIMEOUT_S = 15.0
SWEEP_INTERVAL_S = 1.0
LINGERING_TIME_S = 0.5
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
    """Bounds of the port.

    Attributes:
        body_bytes: Largest body of a request.
        connections: Connections at the most.
        stop_timeout_s: Longest time that requests in flight may take at the end.
        idle_timeout_s: Longest time that a connection may take to bring a
            whole head of a request.
    """

    body_bytes: int
    connections: int
    stop_timeout_s: float
    idle_timeout_s: float = IDLE_TIMEOUT_S


class RefusedConnection(asyncio.Protocol):
    """Answers a connection beyond the bound and closes it."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Writes the refusal."""
        assert isinstance(transport, asyncio.Transport)
        transport.write(REFUSAL)
        transport.close()


@asynccontextmanager
async def callers_port(
    api: CallersApi, clock: Clock, host: str, port: int, limits: PortLimits
) -> AsyncIterator[int]:
    """Listens for callers within the block.

    A caller that hangs up cancels the handler of its request.

    Args:
        api: What answers.
        clock: Clock of the timeouts.
        host: IP address to listen on.
        port: TCP port; 0 lets the kernel choose.
        limits: Bounds.

    Yields:
        The TCP port.
    """
    runner = web.AppRunner(
        api.application(limits.body_bytes),
        access_log=None,
        handler_cancellation=True,
        keepalive_timeout=limits.idle_timeout_s,
        lingering_time=LINGERING_TIME_S,
        shutdown_timeout=limits.stop_timeout_s,
        max_field_size=MAX_HEADER_BYTES,
        max_line_size=MAX_HEADER_BYTES,
    )
    await runner.setup()
    server = runner.server
    assert server is not None

    def accept() -> asyncio.Protocol:
        if len(server.connections) >= limits.connections:
            api.metrics.count("callers.connections_refused")
            return RefusedConnection()
        return server()

    loop = asyncio.get_running_loop()
    listener = await loop.create_server(accept, host, port, backlog=BACKLOG)
    sweeper = asyncio.create_task(sweep(server, api, clock, limits.idle_timeout_s))
    try:
        yield listener.sockets[0].getsockname()[1]
    finally:
        sweeper.cancel()
        listener.close()
        await runner.cleanup()


async def sweep(
    server: web.Server, api: CallersApi, clock: Clock, idle_timeout_s: float
) -> None:
    """Closes connections that bring no request, until cancelled."""
    idle_since: dict[RequestHandler, float] = {}
    while True:
        await clock.sleep(SWEEP_INTERVAL_S)
        now = clock.now()
        idle = [c for c in server.connections if c not in api.busy]
        idle_since = {c: idle_since.get(c, now) for c in idle}
        for connection, since_s in idle_since.items():
            if now - since_s >= idle_timeout_s:
                api.metrics.count("callers.idle_closed")
                connection.force_close()
