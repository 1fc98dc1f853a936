"""An HTTP server with graceful shutdown: it answers every request it has read."""

import asyncio
from collections.abc import AsyncIterator, Callable, Container, Mapping, Sequence
from contextlib import asynccontextmanager
from typing import NamedTuple

from aiohttp import web
from aiohttp.web_protocol import RequestHandler
from burdockthread_model.clock import Clock
from burdockthread_model.events import EventLog

from burdockthread_http.connection_guard import ConnectionGuard
from burdockthread_http.connection_limits import PortLimits, RefusedError
from burdockthread_http.guarded_server import (
    GuardedServer,
    RequestAnswer,
    RequestFactory,
    read_request,
)
from burdockthread_http.open_requests import OpenRequests, ServerClosingError
from burdockthread_http.port_connections import PortConnection

# Event loop iterations that suffice for an accepted connection to be read (accept,
# connection, reader), and for a request that was read to reach its handler (reader,
# connection, handler).
LOOP_ITERATIONS = 5
# Time to send the responses to aborted requests, which involve no further work.
ABORTED_RESPONSES_S = 0.1
# Several iterations of a busy event loop, enough to accept a pending connection and to
# read its request.
ACCEPT_GRACE_S = 0.02


class GracefulServer:
    """Serves connections and closes none while a request on it is in progress.

    The handler gets a request once its body is complete; what is refused before that
    has not run. A response that closes its connection also tells a pipelining client
    that its later requests on this connection were not processed.

    Attributes:
        name: Name of the port in the log.
        answer: Handler that returns the response to a request.
        clock: Clock for the ages of requests in the log.
        log: Receives the events of the port.
        server: Server of the HTTP library, which parses the requests.
        closing: Whether each response also closes its connection; may be set some
            time before the port closes.
        requests: Requests in progress.
    """

    def __init__(
        self,
        name: str,
        answer: RequestAnswer,
        clock: Clock,
        log: EventLog,
        guard: ConnectionGuard | None = None,
        limits: Callable[[], PortLimits] = PortLimits,
        *,
        requests: OpenRequests | None = None,
        request_factory: RequestFactory | None = None,
        refusal_headers: Mapping[str, str] | None = None,
        cancels_on_disconnect: bool = False,
    ) -> None:
        self.name = name
        self.answer = answer
        self.clock = clock
        self.log = log
        self.server = GuardedServer(
            self.handle,
            name,
            guard or ConnectionGuard.with_defaults(log),
            limits,
            request_factory=request_factory,
            refusal_headers=refusal_headers,
            cancels_on_disconnect=cancels_on_disconnect,
        )
        self.closing = False
        self.requests = OpenRequests() if requests is None else requests

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers one request; returns `aborted_response` if the server closes."""
        started_s = self.clock.now()
        with self.requests.tracked(request):
            try:
                response = await self.answer_unless_closing(request)
            except ServerClosingError:
                self.log_end("request_given_up", request, started_s)
                response = self.aborted_response(request)
            except RefusedError as error:
                response = self.server.port.refusal_response(error.refusal)
            except asyncio.CancelledError:
                if self.closing:
                    self.log_end("request_cut_off", request, started_s)
                raise
        if self.closing:
            response.force_close()
        return response

    async def answer_unless_closing(
        self, request: web.BaseRequest
    ) -> web.StreamResponse:
        """Receives and answers a request unless the server closes first.

        Raises:
            RefusedError: The request was refused before it was received whole.
            ServerClosingError: The server closed before the request was answered.
        """
        async with self.requests.aborted_on_close():
            await self.receive(request)
            return await self.answer(request)

    async def receive(self, request: web.BaseRequest) -> None:
        """Receives what the handler needs of a request: the whole of it.

        Raises:
            RefusedError: The request was refused before it was received whole.
        """
        await read_request(request)

    def aborted_response(self, request: web.BaseRequest) -> web.StreamResponse:
        """Returns the response to a request that is aborted as the port closes."""
        return web.Response(status=503, headers={"Retry-After": "1"})

    def log_end(self, event: str, request: web.BaseRequest, started_s: float) -> None:
        """Logs a request that was aborted or cancelled, with its age."""
        age_ms = round((self.clock.now() - started_s) * 1000, 1)
        self.log.warning(
            event,
            port=self.name,
            method=request.method,
            path=request.path,
            age_ms=age_ms,
        )

    async def finish(self, timeout_s: float) -> None:
        """Answers the requests that have been read, then closes all connections.

        Args:
            timeout_s: Seconds for requests in progress; those left are aborted.
        """
        self.closing = True
        await close_idle(self.server, self.requests)
        self.log.info(
            "port_closing",
            port=self.name,
            connections=len(self.server.connections),
            open_requests=self.requests.total(),
        )
        await self.wait_until_idle(timeout_s)
        self.requests.abort()
        await self.wait_until_idle(ABORTED_RESPONSES_S)
        await self.server.shutdown(ABORTED_RESPONSES_S)

    async def wait_until_idle(self, timeout_s: float) -> None:
        """Waits until no request is in progress; logs a timeout, does not raise it."""
        if not await self.requests.wait_until_idle(timeout_s, self.server.has_waiting):
            open_requests = self.requests.total()
            self.log.info("port_waited", port=self.name, open_requests=open_requests)


async def run_ready_callbacks() -> None:
    """Runs the event loop until data already received has reached its handler."""
    for _ in range(LOOP_ITERATIONS):
        await asyncio.sleep(0)


async def close_idle(server: web.Server, busy: Container[RequestHandler]) -> None:
    """Closes the connections on which no request is in progress.

    Reading is paused on all connections first, so that no connection reads a request
    after it was found idle and loses that request when it is closed. A connection whose
    data waits for its turn is not idle.

    Args:
        server: Server of the connections; its listening sockets are closed already.
        busy: Connections with a request in progress.
    """
    await run_ready_callbacks()
    for connection in server.connections:
        pause_reading(connection)
    await run_ready_callbacks()
    for connection in server.connections:
        if connection in busy or is_waiting(connection):
            resume_reading(connection)
        else:
            connection.force_close()


def is_waiting(connection: RequestHandler) -> bool:
    """Returns whether data of a connection waits for its turn to be parsed."""
    return isinstance(connection, PortConnection) and connection.is_waiting


# RequestHandler's own pause_reading and resume_reading also pause its parser, which
# may hold the rest of a request. The transport's methods pause only the socket.
def pause_reading(connection: RequestHandler) -> None:
    """Stops reading from the socket of a connection, unless it is closed."""
    transport = connection.transport
    if transport is not None and not transport.is_closing():
        transport.pause_reading()


def resume_reading(connection: RequestHandler) -> None:
    """Resumes reading from the socket of a connection, unless it is closed."""
    transport = connection.transport
    if transport is not None and not transport.is_closing():
        transport.resume_reading()


class ListeningPort(NamedTuple):
    """A server and the address on which it listens.

    Attributes:
        server: Server that handles the connections.
        host: IP address.
        port: TCP port.
    """

    server: GracefulServer
    host: str
    port: int


@asynccontextmanager
async def serve(
    ports: Sequence[ListeningPort], finish_s: float
) -> AsyncIterator[tuple[int, ...]]:
    """Listens on ports within the block, then closes all of them concurrently.

    An error while one port closes is logged and does not affect the others.

    Args:
        ports: Servers and the addresses on which they listen.
        finish_s: Seconds for requests in progress at the end of the block.

    Yields:
        The TCP ports, in the same order; the kernel chooses those given as 0.
    """
    loop = asyncio.get_running_loop()
    listeners: list[asyncio.Server] = []
    try:
        for server, host, port in ports:
            backlog = server.server.backlog()
            listener = await loop.create_server(
                server.server, host, port, backlog=backlog
            )
            listeners.append(listener)
        yield tuple(found.sockets[0].getsockname()[1] for found in listeners)
    finally:
        for server, _, _ in ports:
            server.closing = True
        await close_listeners(listeners)
        closing = [server.finish(finish_s) for server, _, _ in ports]
        ends = await asyncio.gather(*closing, return_exceptions=True)
        for (server, _, _), end in zip(ports, ends, strict=True):
            if end is not None:
                reason = repr(end)
                server.log.error("port_not_closed", port=server.name, reason=reason)


async def close_listeners(listeners: Sequence[asyncio.Server]) -> None:
    """Stops listening, once the connections that wait have been accepted.

    Closing a listener resets the connections that are not accepted yet. A connection
    accepted just before is not known to the HTTP library yet, which drops what it reads
    once it closes. Hence a pause before and after.
    """
    try:
        await asyncio.sleep(ACCEPT_GRACE_S)
    finally:
        for listener in listeners:
            listener.close()
    await asyncio.sleep(ACCEPT_GRACE_S)
