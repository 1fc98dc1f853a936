"""An HTTP server that answers each request it has read before it closes."""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable, Container, Sequence
from contextlib import asynccontextmanager
from typing import NamedTuple

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from burdockthread_model.clock import Clock
from burdockthread_model.errors import BurdockthreadError
from burdockthread_model.events import EventLog

# Turns of the event loop until an accepted connection is read (accept, connection,
# reader), and until a request that was read is with its handler (reader, connection,
# handler).
SETTLING_TURNS = 5
# Time for the answers to requests that are given up; they wait for nothing.
LAST_ANSWERS_S = 0.1

RequestAnswer = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class RequestGivenUpError(BurdockthreadError):
    """The server closes before the work on a request has ended."""


class GracefulServer:
    """Serves connections, and ends none in the middle of a request.

    An answer that closes its connection tells a client that pipelines that its later
    requests on it are not processed.

    Attributes:
        name: Name of the port in the log.
        answer: Answers a request.
        clock: Clock of the ages in the log.
        log: Receives the events of the port.
        server: The HTTP library's side.
        closing: Whether each answer also closes its connection; may be set some time
            before the port closes.
        requests: Requests under way, by connection.
        limits: Time limits of the requests under way; none ends before the port
            closes.
        requests_end_at: Time of the event loop at which these limits end, or None.
        idle: Set while no request is under way.
    """

    def __init__(
        self, name: str, answer: RequestAnswer, clock: Clock, log: EventLog
    ) -> None:
        self.name = name
        self.answer = answer
        self.clock = clock
        self.log = log
        self.server = web.Server(self.handle, access_log=None)
        self.closing = False
        self.requests: Counter[RequestHandler] = Counter()
        self.limits: set[asyncio.Timeout] = set()
        self.requests_end_at: float | None = None
        self.idle = asyncio.Event()
        self.idle.set()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers one request; one that is given up is answered as such."""
        connection = request.protocol
        started_s = self.clock.now()
        self.requests[connection] += 1
        self.idle.clear()
        try:
            response = await self.answer_in_time(request)
        except RequestGivenUpError:
            self.log_end("request_given_up", request, started_s)
            response = self.aborted_response(request)
        except asyncio.CancelledError:
            self.log_end("request_cut_off", request, started_s)
            raise
        finally:
            self.forget(connection)
        if self.closing:
            response.force_close()
        return response

    async def answer_in_time(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers a request unless the server closes first.

        Raises:
            RequestGivenUpError: The server closes.
        """
        limit = asyncio.timeout_at(self.requests_end_at)
        try:
            async with limit:
                self.limits.add(limit)
                return await self.answer(request)
        except TimeoutError as error:
            if limit.expired():
                raise RequestGivenUpError(f"port {self.name} closes") from error
            raise
        finally:
            self.limits.discard(limit)

    def forget(self, connection: RequestHandler) -> None:
        """Notes the end of a request."""
        self.requests[connection] -= 1
        if not self.requests[connection]:
            del self.requests[connection]
        if not self.requests:
            self.idle.set()

    def aborted_response(self, request: web.BaseRequest) -> web.StreamResponse:
        """Returns the answer to a request that is given up."""
        return web.Response(status=503, headers={"Retry-After": "1"})

    def log_end(self, event: str, request: web.BaseRequest, started_s: float) -> None:
        """Logs a request that has not ended by itself."""
        age_ms = round((self.clock.now() - started_s) * 1000, 1)
        self.log.warning(
            event,
            port=self.name,
            method=request.method,
            path=request.path,
            age_ms=age_ms,
        )

    async def finish(self, timeout_s: float) -> None:
        """Answers what has been read, then closes all connections.

        Args:
            timeout_s: Seconds for requests under way; the rest is given up.
        """
        self.closing = True
        await close_idle(self.server, self.requests)
        self.log.info(
            "port_closing",
            port=self.name,
            connections=len(self.server.connections),
            open_requests=self.requests.total(),
        )
        await self.until_idle(timeout_s)
        self.end_requests()
        await self.until_idle(LAST_ANSWERS_S)
        await self.server.shutdown(LAST_ANSWERS_S)

    async def until_idle(self, timeout_s: float) -> None:
        """Waits until no request is under way, at most for some time."""
        try:
            async with asyncio.timeout(timeout_s):
                await self.idle.wait()
        except TimeoutError:
            open_requests = self.requests.total()
            self.log.info("port_waited", port=self.name, open_requests=open_requests)

    def end_requests(self) -> None:
        """Ends the work on all requests; they are answered at once."""
        self.requests_end_at = asyncio.get_running_loop().time()
        for limit in self.limits:
            limit.reschedule(self.requests_end_at)


async def settle() -> None:
    """Lets all steps that are ready in the event loop reach their ends."""
    for _ in range(SETTLING_TURNS):
        await asyncio.sleep(0)


async def close_idle(server: web.Server, busy: Container[RequestHandler]) -> None:
    """Closes the connections without a request.

    Reading pauses while they are told from the others, so that none of them reads a
    request and is closed with it.

    Args:
        server: Server of the connections; nothing listens for it any more.
        busy: Connections with a request under way.
    """
    await settle()
    for connection in server.connections:
        pause_reading(connection)
    await settle()
    for connection in server.connections:
        if connection in busy:
            resume_reading(connection)
        else:
            connection.force_close()


# The protocol's own methods of these names also pause its parser, which may hold the
# rest of a request.
def pause_reading(connection: RequestHandler) -> None:
    """Leaves what a connection receives unread, unless it is closed."""
    transport = connection.transport
    if transport is not None and not transport.is_closing():
        transport.pause_reading()


def resume_reading(connection: RequestHandler) -> None:
    """Reads a connection on, unless it is closed."""
    transport = connection.transport
    if transport is not None and not transport.is_closing():
        transport.resume_reading()


class ListeningPort(NamedTuple):
    """A server and where it listens.

    Attributes:
        server: What serves the connections.
        host: IP address.
        port: TCP port.
    """

    server: GracefulServer
    host: str
    port: int


@asynccontextmanager
async def serve(ports: Sequence[ListeningPort], finish_s: float) -> AsyncIterator[None]:
    """Listens on ports within the block, then closes all of them side by side.

    Args:
        ports: Servers and where they listen.
        finish_s: Seconds for requests that are open at the end of the block.
    """
    loop = asyncio.get_running_loop()
    listeners: list[asyncio.Server] = []
    try:
        for server, host, port in ports:
            listeners.append(await loop.create_server(server.server, host, port))
        yield
    finally:
        for listener in listeners:
            listener.close()
        closing = [server.finish(finish_s) for server, _, _ in ports]
        ends = await asyncio.gather(*closing, return_exceptions=True)
        for (server, _, _), end in zip(ports, ends, strict=True):
            if end is not None:
                reason = repr(end)
                server.log.error("port_not_closed", port=server.name, reason=reason)
