"""An HTTP server that answers each request it has read before it closes."""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from burdockthread_model.clock import Clock
from burdockthread_model.errors import BurdockthreadError
from burdockthread_model.events import EventLog

# Turns of the event loop from an accepted connection to its reading, and from the
# reading of a request to its handler; each takes up to three.
SETTLING_TURNS = 5
# Time for the answers to requests that are given up; they wait for nothing.
LAST_ANSWERS_S = 0.1

RequestAnswer = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]


class RequestGivenUpError(BurdockthreadError):
    """The server closes before the work on a request has ended."""


class GracefulServer:
    """Serves connections, and ends none in the middle of a request.

    Attributes:
        name: Name of the port in the log.
        server: The HTTP library's side.
        closing: Whether each answer also closes its connection.
        requests: Requests under way, by connection.
        limits: Ends of the time of the requests under way.
        give_up_at: Time of the event loop at which requests are given up.
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
        self.give_up_at: float | None = None
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
            response = self.given_up(request)
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
        limit = asyncio.timeout_at(self.give_up_at)
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

    def given_up(self, request: web.BaseRequest) -> web.StreamResponse:
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

        Reading pauses while the idle connections are told from the others, so that
        none of them reads a request and is closed with it.

        Args:
            timeout_s: Seconds for requests under way; the rest is given up.
        """
        self.closing = True
        await settle()
        for connection in self.server.connections:
            pause_reading(connection)
        await settle()
        self.log.info(
            "port_closing",
            port=self.name,
            connections=len(self.server.connections),
            open_requests=self.requests.total(),
        )
        for connection in self.server.connections:
            if connection in self.requests:
                resume_reading(connection)
            else:
                connection.force_close()
        await self.until_idle(timeout_s)
        self.give_up()
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

    def give_up(self) -> None:
        """Ends the work on all requests; they are answered at once."""
        self.give_up_at = asyncio.get_running_loop().time()
        for limit in self.limits:
            limit.reschedule(self.give_up_at)


async def settle() -> None:
    """Lets all steps that are ready in the event loop reach their ends."""
    for _ in range(SETTLING_TURNS):
        await asyncio.sleep(0)


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


@asynccontextmanager
async def serve(
    server: GracefulServer, host: str, port: int, finish_s: float
) -> AsyncIterator[None]:
    """Listens at an address within the block, then lets open requests end.

    Args:
        server: What serves the connections.
        host: IP address.
        port: TCP port.
        finish_s: Seconds for requests that are open at the end of the block.
    """
    loop = asyncio.get_running_loop()
    listener = await loop.create_server(server.server, host, port)
    try:
        yield
    finally:
        listener.close()
        await server.finish(finish_s)
