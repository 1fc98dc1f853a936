"""HTTP ports whose answers to refused and aborted requests have a verdict."""

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from aiohttp import web
from burdockthread_http.application_server import ApplicationPort, application_server
from burdockthread_http.connection_guard import ConnectionGuard
from burdockthread_http.connection_limits import PortLimits
from burdockthread_http.http_server import ListeningPort, serve
from burdockthread_http.open_requests import OpenRequests
from burdockthread_model.clock import Clock
from burdockthread_model.errors import RequestError
from burdockthread_model.events import EventLog
from burdockthread_model.verdict import Verdict

VERDICT_HEADER = "Burdockthread-Verdict"
REFUSAL_HEADERS = {VERDICT_HEADER: Verdict.NOT_RUN.value}


class RequestAbortedError(RequestError):
    """A request still in progress when its port closed; the request may have run."""

    status = 504

    def __init__(self) -> None:
        super().__init__("this entry has stopped", verdict=Verdict.UNKNOWN)


@asynccontextmanager
async def http_port(
    name: str,
    app: web.Application,
    requests: OpenRequests,
    refuse: Callable[[RequestError], web.StreamResponse],
    clock: Clock,
    log: EventLog,
    guard: ConnectionGuard,
    host: str,
    port: int,
    limits: PortLimits,
    *,
    stop_timeout_s: float,
    cancels_on_disconnect: bool = False,
) -> AsyncIterator[int]:
    """Serves an application within the block.

    Args:
        name: Name of the port in the log and the metrics.
        app: Application to serve.
        requests: Requests in progress.
        refuse: Returns the answer for an error.
        clock: Clock for the ages of requests in the log.
        log: Receives the events of the port.
        guard: Keeps the connections of the process within its limits.
        host: IP address to listen on.
        port: TCP port; 0 lets the kernel choose.
        limits: Limits of the port.
        stop_timeout_s: Time that requests in progress may take when the port closes,
            before they are aborted.
        cancels_on_disconnect: Whether a client that disconnects cancels the handler of
            its request.

    Yields:
        The TCP port.
    """
    application = ApplicationPort(
        name,
        app,
        requests,
        lambda: refuse(RequestAbortedError()),
        REFUSAL_HEADERS,
        cancels_on_disconnect,
    )
    async with application_server(
        application, clock, log, guard, lambda: limits
    ) as server:
        listening = serve([ListeningPort(server, host, port)], stop_timeout_s)
        async with listening as (number,):
            yield number
