"""A graceful server for an application of the HTTP library, with its routes."""

from collections.abc import AsyncIterator, Callable, Mapping
from contextlib import asynccontextmanager
from typing import NamedTuple

from aiohttp import web
from burdockthread_model.clock import Clock
from burdockthread_model.events import EventLog

from burdockthread_http.connection_guard import ConnectionGuard
from burdockthread_http.connection_limits import PortLimits
from burdockthread_http.http_server import GracefulServer
from burdockthread_http.open_requests import OpenRequests


class ApplicationPort(NamedTuple):
    """An application and how its port behaves.

    Attributes:
        name: Name of the port in the log and the metrics.
        app: Application to serve.
        requests: Requests in progress.
        aborted_response: Returns the answer to a request that is aborted as the port
            closes.
        refusal_headers: Headers of the answers to requests that were refused before
            they reached the application.
        cancels_on_disconnect: Whether a client that disconnects, or ends its side of
            the connection, cancels the handler of its request.
    """

    name: str
    app: web.Application
    requests: OpenRequests
    aborted_response: Callable[[], web.StreamResponse]
    refusal_headers: Mapping[str, str]
    cancels_on_disconnect: bool = False


class ApplicationServer(GracefulServer):
    """Serves an application.

    A handler gets a request once its headers are complete and reads the body itself,
    so that it can refuse a request, or bound the time of its body, before that. An
    answer before the end of the body closes the connection.

    Attributes:
        port: The application and how its port behaves.
    """

    def __init__(
        self,
        port: ApplicationPort,
        app_server: web.Server,
        clock: Clock,
        log: EventLog,
        guard: ConnectionGuard,
        limits: Callable[[], PortLimits],
    ) -> None:
        self.port = port
        super().__init__(
            port.name,
            app_server.request_handler,
            clock,
            log,
            guard,
            limits,
            requests=port.requests,
            request_factory=app_server.request_factory,
            refusal_headers=port.refusal_headers,
            cancels_on_disconnect=port.cancels_on_disconnect,
        )

    async def receive(self, request: web.BaseRequest) -> None:
        """Leaves the body to the handler."""

    def aborted_response(self, request: web.BaseRequest) -> web.StreamResponse:
        """Returns the response to a request that is aborted as the port closes."""
        return self.port.aborted_response()


@asynccontextmanager
async def application_server(
    port: ApplicationPort,
    clock: Clock,
    log: EventLog,
    guard: ConnectionGuard,
    limits: Callable[[], PortLimits],
) -> AsyncIterator[ApplicationServer]:
    """Starts an application, yields its server, and ends the application.

    Args:
        port: The application and how its port behaves.
        clock: Clock for the ages of requests in the log.
        log: Receives the events of the port.
        guard: Keeps the connections of the process within its limits.
        limits: Returns the limits in force.
    """
    runner = web.AppRunner(port.app)
    await runner.setup()
    try:
        assert runner.server is not None
        yield ApplicationServer(port, runner.server, clock, log, guard, limits)
    finally:
        await runner.cleanup()
