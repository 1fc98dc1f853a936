"""A server of the HTTP library whose connections are guarded, and whole requests."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping

from aiohttp import web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http import HttpProcessingError, HttpVersion11, RawRequestMessage
from aiohttp.streams import StreamReader
from aiohttp.web_protocol import RequestHandler, RequestPayloadError

from burdockthread_http.connection_guard import ConnectionGuard
from burdockthread_http.connection_limits import (
    BODY_TOO_LARGE,
    CLIENT_GONE,
    MALFORMED,
    PortLimits,
    Refusal,
    RefusedError,
)
from burdockthread_http.guarded_connections import GuardedConnection
from burdockthread_http.port_connections import PortConnections

# Fields of one request. The library keeps about 400 bytes for each, however short;
# `FIELD_OVERHEAD` of the framing is this number of bytes of the budget.
MAX_HEADERS = 512
# The deadlines of the connections take the place of the library's timer, which closes
# connections without regard to their headers, and cannot be switched off.
NEVER_S = 1e7
# Several hundred callers may connect at once. Clients whose connections do not fit into
# the queue of the listener wait for a second or are reset.
MAX_BACKLOG = 512
BACKLOG_SHARE = 1 / 4
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"

RequestAnswer = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]
RequestFactory = Callable[
    [
        RawRequestMessage,
        StreamReader,
        RequestHandler,
        AbstractStreamWriter,
        "asyncio.Task[None]",
    ],
    web.BaseRequest,
]


def has_client_left(request: web.BaseRequest) -> bool:
    """Returns whether a client has closed its connection, or its side of it.

    Which of these is known only once the answer is sent.
    """
    connection = request.protocol
    if connection.transport is None or connection.transport.is_closing():
        return True
    return isinstance(connection, GuardedConnection) and connection.is_ended


class GuardedServer(web.Server):
    """Server of the HTTP library with guarded connections.

    Attributes:
        port: Connections of the server.
    """

    def __init__(
        self,
        handler: RequestAnswer,
        name: str,
        guard: ConnectionGuard,
        limits: Callable[[], PortLimits],
        *,
        request_factory: RequestFactory | None = None,
        refusal_headers: Mapping[str, str] | None = None,
        cancels_on_disconnect: bool = False,
    ) -> None:
        super().__init__(
            handler,
            request_factory=request_factory or self.make_request,
            handler_cancellation=cancels_on_disconnect,
            access_log=None,
            keepalive_timeout=NEVER_S,
            lingering_time=0,
            max_headers=MAX_HEADERS,
        )
        self.port = PortConnections(name, guard, limits, refusal_headers)

    def __call__(self) -> GuardedConnection:
        """Returns the protocol of a new connection."""
        return GuardedConnection(self, self.port, self._loop)

    def make_request(
        self,
        message: RawRequestMessage,
        payload: StreamReader,
        protocol: RequestHandler,
        writer: AbstractStreamWriter,
        task: asyncio.Task[None],
    ) -> web.BaseRequest:
        """Returns a request whose decoded body is limited."""
        assert isinstance(protocol, GuardedConnection)
        return web.BaseRequest(
            message,
            payload,
            protocol,
            writer,
            task,
            self._loop,
            client_max_size=protocol.limits.body_bytes,
        )

    def has_waiting(self) -> bool:
        """Returns whether data of a connection waits for its turn to be parsed."""
        return any(found.is_waiting for found in self.port.open.values())

    def backlog(self) -> int:
        """Returns how many connections may wait to be accepted.

        All of them are accepted in one turn of the event loop, before any is closed.
        """
        share = int(self.port.limits().connections * BACKLOG_SHARE)
        return max(min(share, MAX_BACKLOG), 1)


async def send_continue(request: web.BaseRequest) -> None:
    """Sends the interim answer to a client that waits for it before it sends the body.

    The library does so only for requests that it routes itself.
    """
    body = request.content
    if (
        request.version == HttpVersion11
        and request.headers.get("Expect", "").lower() == "100-continue"
        and not body.is_eof()
        and body.exception() is None
    ):
        await request.writer.write(CONTINUE)
        # The library takes a larger size for that of an answer that has been begun.
        request.writer.output_size = 0


async def read_request(request: web.BaseRequest) -> None:
    """Invites and reads the whole body, which the request then keeps.

    Raises:
        RefusedError: The request was refused, is malformed, or its client is gone.
    """
    try:
        await send_continue(request)
    except ConnectionError as error:
        raise refused(request, CLIENT_GONE) from error
    await read_body(request)


async def read_body(request: web.BaseRequest) -> bytes:
    """Reads the whole body, which the request then keeps.

    Raises:
        RefusedError: The request was refused, is malformed, or its client is gone.
    """
    try:
        if request.transport is None and not request.content.is_eof():
            # The library did not tell the request, which had not begun, of the end.
            raise ConnectionResetError
        return await request.read()
    except RefusedError as error:
        # The body keeps the error, and its traceback would keep what was read.
        raise error.with_traceback(None) from None
    except ConnectionError as error:
        raise refused(request, CLIENT_GONE) from error
    except (RequestPayloadError, HttpProcessingError) as error:
        raise refused(request, MALFORMED) from error
    except web.HTTPRequestEntityTooLarge as error:
        raise refused(request, BODY_TOO_LARGE) from error


def refused(request: web.BaseRequest, refusal: Refusal) -> RefusedError:
    """Returns the error for a request whose body cannot be read, and counts it."""
    connection = request.protocol
    if isinstance(connection, GuardedConnection) and connection.refusal is None:
        port = connection.port
        port.guard.note("refused", refusal.reason, port.name)
    return RefusedError(refusal)
