"""Connections of an HTTP server that untrusted clients cannot make grow.

A connection passes received data on to the parser of the HTTP library in parts of
bounded size, one request at a time, and only while there is room for it in the budget
of the process. What it refuses has not run: the server calls the handler of a request
only once its body is complete, see `guarded_server.read_request`.
"""

import asyncio
from collections import deque
from math import inf

from aiohttp import web
from aiohttp.http import HttpProcessingError, RawRequestMessage
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader
from aiohttp.web_protocol import RequestHandler, _ErrInfo

from burdockthread_http.connection_limits import (
    ANSWERED_EARLY,
    BODY_STALLED,
    BODY_TOO_LARGE,
    CLOSED_FOR_SLOT,
    EMPTY_LINES,
    HEAD_TOO_LARGE,
    HEAD_TOO_SLOW,
    MALFORMED,
    NO_MEMORY,
    TRAILERS_TOO_LARGE,
    Refusal,
    RefusedError,
)
from burdockthread_http.connection_phases import Phase
from burdockthread_http.port_connections import PortConnection, PortConnections
from burdockthread_http.received_bytes import ConnectionProgress
from burdockthread_http.request_framing import RequestFraming

# The library also limits a line and a field. The limit of the whole head is lower and
# may change while a connection is open, so these only have to be above it.
LEAST_LINE_LIMIT = 65_536
# Memory of a request beside its bytes, as a number of bytes of the budget.
REQUEST_OVERHEAD = 2_048
# Time for which a client may go on sending after a refusal. A connection that is closed
# with unread data may lose the refusal.
LINGER_S = 1.0
MAX_DISCARDED_BYTES = 2_000_000
# Unread answers beyond this many bytes stop the handling of further requests.
WRITE_BUFFER_BYTES = 8_192


class GuardedConnection(RequestHandler, PortConnection):
    """A connection within the limits of its port and the budget of its process.

    Attributes:
        port: Connections of its server.
        limits: Limits for the request that is being received.
        progress: What the connection holds and when it last made progress.
        phase: What it waits for.
        deadline_s: Event loop time until which it waits.
        framing: The request that is being received, and the data behind it.
        payloads: Bodies of the requests that are not answered, oldest first.
        answer_bytes: Size of the answer that is being sent.
        unsent: Unread bytes of answers when they were last looked at.
        refusal: Why nothing more is received, or None.
        discarded: Bytes received since.
        is_cut_off: Whether pipelined data was dropped, so that the answer to the
            request in progress has to close the connection.
        is_ended: Whether the client has ended its side before all it sent was answered.
        is_read_paused: Whether reading is paused until pending data is handled.
        closing: Transport of a connection that is closed once all answers are read.
        is_feed_scheduled: Whether the next part of the pending data is scheduled.
        closed: Set at the end of the connection, while a refusal is sent.
    """

    __slots__ = (
        "answer_bytes",
        "closed",
        "closing",
        "deadline_s",
        "discarded",
        "framing",
        "is_cut_off",
        "is_ended",
        "is_feed_scheduled",
        "is_read_paused",
        "limits",
        "payloads",
        "phase",
        "port",
        "progress",
        "refusal",
        "unsent",
    )

    def __init__(
        self,
        server: web.Server,
        port: PortConnections,
        loop: asyncio.AbstractEventLoop,
    ) -> None:
        self.port = port
        self.limits = port.limits()
        line_limit = self.limits.line_bytes
        if line_limit is None:
            line_limit = max(self.limits.header_bytes, LEAST_LINE_LIMIT)
        super().__init__(
            server,
            loop=loop,
            max_line_size=line_limit,
            max_field_size=line_limit,
            **server._kwargs,
        )
        self.progress = ConnectionProgress(loop.time())
        self.phase = Phase.IDLE
        self.deadline_s = inf
        self.framing = RequestFraming()
        self.payloads: deque[StreamReader] = deque()
        self.answer_bytes = self.unsent = self.discarded = 0
        self.refusal: Refusal | None = None
        self.is_cut_off = self.is_ended = self.is_read_paused = False
        self.closed: asyncio.Future[None] | None = None
        self.closing: asyncio.Transport | None = None
        self.is_feed_scheduled = False

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts the connection; others are closed if there are too many."""
        super().connection_made(transport)
        if isinstance(transport, asyncio.WriteTransport):
            transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        self.wait_for(Phase.IDLE)
        if self._task_handler is not None:
            self._task_handler.add_done_callback(self.note_end)
        self.port.add(self)

    def note_end(self, task: asyncio.Task[None]) -> None:
        """Closes the connection if the library fails on a request.

        It does so on some malformed targets, before the request reaches its handler.
        """
        if not task.cancelled() and task.exception() is not None:
            self.port.guard.note("closed", "malformed", self.port.name)
            self.abort()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Releases what the connection holds."""
        super().connection_lost(exc)
        self.framing.pending = b""
        self.port.remove(self)
        if self.closed is not None and not self.closed.done():
            self.closed.set_result(None)

    # Receiving.

    def eof_received(self) -> bool:  # type: ignore[override]
        """Keeps the connection for the answers to what the client has sent.

        The library declares no result; asyncio closes the connection unless it is true.
        """
        if self._manager is not None and self._manager.handler_cancellation:
            return False
        self.is_ended = self.progress.may_have_run or bool(self.framing.pending)
        return self.is_ended

    def data_received(self, data: bytes) -> None:
        """Takes received data; the library passes b"" to parse what it has kept."""
        if not data:
            self.parse(data)
        elif self.refusal is not None or self.is_cut_off:
            self.discard(len(data))
        elif not (self._force_close or self._close):
            self.framing.receive(data)
            if self.hold_received():
                self.feed()

    def discard(self, size: int) -> None:
        """Drops data of a client that goes on sending after a refusal."""
        self.discarded += size
        if self.discarded <= MAX_DISCARDED_BYTES:
            return
        if not self.progress.may_have_run:
            self.abort()
        elif self.transport is not None:
            self.transport.pause_reading()

    def feed(self) -> None:
        """Gives the parser one part of the pending data, if it may have it."""
        if self.refusal is not None or self._force_close or self._close:
            self.framing.pending = b""
            return
        if self.framing.pending and not self.progress.may_have_run:
            part = self.next_part()
            # Fields are charged before the parser makes objects of them.
            if self.phase is Phase.HEAD and self.refusal is None:
                self.hold_received()
            if self.refusal is not None:
                return
            self.framing.pending = self.framing.pending[len(part) :]
            if part:
                self.parse(part)
        if self.is_ended and not (self.payloads or self.framing.pending):
            # All is answered. An incomplete body is refused at its time limit.
            self.close_gracefully()
            return
        self.set_reading()

    def feed_next(self) -> None:
        """Continues with pending data in the next turn of the event loop."""
        self.is_feed_scheduled = False
        self.feed()

    def set_reading(self) -> None:
        """Pauses reading while data is pending, and schedules its next part."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        if self.framing.pending:
            self.is_read_paused = True
            transport.pause_reading()
            if not self.progress.may_have_run and not self.is_feed_scheduled:
                self.is_feed_scheduled = True
                self._loop.call_soon(self.feed_next)
        elif self.is_read_paused:
            self.is_read_paused = False
            transport.resume_reading()

    def next_part(self) -> bytes:
        """Returns the next part for the parser; it ends with a request if it can."""
        framing = self.framing
        if self.phase is Phase.BODY:
            return framing.body_part()
        if not framing.head_bytes and not framing.leftover:
            if not framing.strip_empty_lines():
                self.refuse(EMPTY_LINES)
            if self.refusal is not None or not framing.pending:
                return b""
        if self.phase is not Phase.HEAD:
            self.limits = self.port.limits()
            self.wait_for(Phase.HEAD)
        part = framing.head_part(self.limits)
        if part is None:
            self.refuse(HEAD_TOO_LARGE)
            return b""
        return part

    def parse(self, part: bytes) -> None:
        """Gives the parser a part and takes note of what it has found."""
        if self._force_close or self._close:
            # A body that is read after the end of its connection asks for more.
            return
        is_head = self.phase is Phase.HEAD
        count = self._request_count
        super().data_received(part)
        new = self._request_count - count
        if is_head:
            self.framing.note_head(part)
        self.take_new_requests(new)
        if self.payloads and self.refusal is None and self.phase is not Phase.RUNNING:
            self.note_body(part, is_new=bool(new))

    def take_new_requests(self, count: int) -> None:
        """Takes note of requests whose headers the parser has completed."""
        for message, payload in list(self._messages)[-count:] if count else ():
            if isinstance(message, _ErrInfo):
                self.end_malformed()
                return
            self.begin_body(message, payload)

    def begin_body(self, message: RawRequestMessage, payload: StreamReader) -> None:
        """Takes note of complete headers; refuses a body that is too large."""
        self.payloads.append(payload)
        framing = self.framing
        framing.end_head()
        self.progress.advance(self._loop.time())
        if payload.is_eof():
            return
        self.wait_for(Phase.BODY)
        length = 0
        if not message.chunked:
            length = int(message.headers.get("Content-Length", "0"))
            framing.body_left = length - payload.total_raw_bytes
        if length > self.limits.body_bytes:
            self.refuse(BODY_TOO_LARGE)
            return
        framing.reserved = self.limits.body_bytes if message.compression else 0
        size = max(length, framing.reserved)
        more = size - payload.total_bytes - len(framing.pending)
        if not self.has_room(more):
            self.refuse(NO_MEMORY)

    def note_body(self, part: bytes, *, is_new: bool) -> None:
        """Takes note of received parts of a body, and of its end."""
        payload, framing = self.payloads[-1], self.framing
        now_s = self._loop.time()
        more = payload.total_bytes - framing.body_bytes
        if more > 0:
            framing.body_bytes += more
            self.progress.receive(more, now_s)
            self.deadline_s = now_s + self.limits.idle_timeout_s
        is_trailer = False
        if framing.body_left is not None and not is_new:
            framing.body_left -= len(part)
        elif not is_new:
            is_trailer = framing.note_chunks(part, payload.total_raw_bytes)
        if framing.is_body_too_large(self.limits):
            self.refuse(BODY_TOO_LARGE)
            return
        if is_trailer and framing.trailer_bytes > self.limits.header_bytes:
            self.refuse(TRAILERS_TOO_LARGE)
            return
        if payload.is_eof():
            if self.phase is Phase.BODY:
                framing.end_body(part)
            self.progress.advance(now_s)
        if any(body.is_eof() for body in self.payloads):
            self.progress.may_have_run = True
            self.wait_for(Phase.RUNNING)
        self.hold_received()

    def held_bytes(self) -> int:
        """Returns the bytes of the budget that this connection holds now."""
        requests = len(self.payloads) * REQUEST_OVERHEAD
        return requests + self.framing.held_bytes() + self.answer_bytes

    def hold_received(self) -> bool:
        """Charges what is held to the budget; returns whether there was room.

        Without room, the request that is being received is refused, or data behind
        one that may have run is dropped.
        """
        guard, share = self.port.guard, self.limits.budget_share
        size = self.held_bytes()
        self.progress.kept = self.framing.kept
        if guard.hold(self.progress, size, self._loop.time(), share):
            return True
        if self.progress.may_have_run:
            self.framing.pending = b""
            self.is_cut_off = True
            guard.budget.hold(self.progress, self.held_bytes())
            guard.note("refused", "pipelined", self.port.name)
        else:
            self.refuse(NO_MEMORY)
        return False

    def has_room(self, more: int) -> bool:
        """Returns whether the budget has room for more, after closing others."""
        now_s, share = self._loop.time(), self.limits.budget_share
        return self.port.guard.has_room(self.progress, more, now_s, share)

    # Refusing and closing.

    def refuse(self, refusal: Refusal) -> None:
        """Refuses the request that is being received, and closes the connection.

        The answer is sent by the handler that waits for the body, or by that for errors
        of the parser. A request before it that may have run is answered first,
        unless its client does not read the answer.
        """
        if self.progress.is_unread:
            self.close_unread()
            return
        if self.refusal is not None:
            if not self.progress.may_have_run:
                self.abort()
            return
        self.stop_receiving(refusal)
        if self.payloads:
            self.payloads[-1].set_exception(RefusedError(refusal))
            return
        error = _ErrInfo(refusal.status, RefusedError(refusal), refusal.text)
        self.payloads.append(EMPTY_PAYLOAD)
        self._request_count += 1
        self._messages.append((error, EMPTY_PAYLOAD))
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def stop_receiving(self, refusal: Refusal) -> None:
        """Drops all that is received, from now on."""
        self.refusal = refusal
        self.framing.pending = b""
        self.port.guard.note("refused", refusal.reason, self.port.name)
        self.port.guard.budget.hold(self.progress, 0)
        may_have_run = self.progress.may_have_run
        self.wait_for(Phase.RUNNING if may_have_run else Phase.CLOSING)
        self.set_reading()

    def end_malformed(self) -> None:
        """Stops after an error of the parser, which the library answers in turn."""
        waiting = self.payloads[-1] if self.payloads else None
        self.payloads.append(EMPTY_PAYLOAD)
        self.stop_receiving(MALFORMED)
        if waiting is not None and not waiting.is_eof():
            # The parser does not end the body in which it found the error.
            waiting.set_exception(RefusedError(MALFORMED))

    def close_for_slot(self) -> None:
        """Closes the connection because there are too many."""
        if self.phase in {Phase.IDLE, Phase.CLOSING}:
            self.close_idle("connections")
        else:
            self.refuse(CLOSED_FOR_SLOT)

    def close_idle(self, reason: str) -> None:
        """Closes the connection, on which no request is in progress."""
        self.port.guard.note("closed", reason, self.port.name)
        if self.phase is Phase.CLOSING:
            self.abort()
        else:
            self.close_gracefully()

    def close_gracefully(self) -> None:
        """Closes the connection once the client has read all answers, or in time."""
        self.wait_for(Phase.CLOSING)
        # The library forgets the transport, which may wait for the client.
        self.closing = self.transport
        self.force_close()

    def abort(self) -> None:
        """Closes the connection at once."""
        transport = self.transport or self.closing
        if transport is not None:
            transport.abort()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answers a refusal or an error of the parser, without a log line for each."""
        if isinstance(exc, RefusedError):
            return self.port.refusal_response(exc.refusal)
        if isinstance(exc, HttpProcessingError):
            return self.port.refusal_response(MALFORMED)
        return super().handle_error(request, status, exc, message)

    # Answering.

    async def finish_response(
        self,
        request: web.BaseRequest,
        resp: web.StreamResponse,
        start_time: float | None,
    ) -> tuple[web.StreamResponse, bool]:
        """Sends the response, then goes on with the data that is pending."""
        if self.is_cut_off:
            resp.force_close()
        if self.payloads and not self.payloads[0].is_eof() and self.refusal is None:
            resp.force_close()
            self.end_early()
        self.hold_answer(resp)
        self.unsent = 0
        self.wait_for(Phase.SENDING)
        count = self._request_count
        found, is_lost = await super().finish_response(request, resp, start_time)
        if self.payloads:
            self.payloads.popleft()
        # The library parses here what it has kept behind a request for an upgrade.
        self.take_new_requests(self._request_count - count)
        if self.is_cut_off:
            # Data may have been dropped after the headers of the answer were sent.
            self.close()
        # The library reports no loss if the connection ended while it waited for the
        # client to read; what is charged after the end is never released.
        is_open = not (self._force_close or self._close)
        if found.keep_alive and not is_lost and is_open:
            self.go_on()
        elif self.refusal is not None and not is_lost:
            await self.linger()
        else:
            self.wait_for(Phase.CLOSING)
        return found, is_lost

    def end_early(self) -> None:
        """Stops receiving the body of a request that is answered without it.

        What has been received of it stays charged until the connection ends.
        """
        self.refusal = ANSWERED_EARLY
        self.framing.pending = b""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.resume_reading()

    def hold_answer(self, resp: web.StreamResponse) -> None:
        """Charges an answer to the budget until the client has read it.

        It has to be delivered, so there is no check for room.
        """
        # What is charged after the end of a connection is never released.
        if self.refusal is None and self.progress in self.port.guard.connections:
            self.answer_bytes = resp.content_length or 0
            self.port.guard.budget.hold(self.progress, self.held_bytes())

    def go_on(self) -> None:
        """Goes on with the next request after an answer."""
        progress = self.progress
        progress.is_served = True
        progress.is_unread = False
        self.answer_bytes = 0
        progress.advance(self._loop.time())
        progress.may_have_run = any(body.is_eof() for body in self.payloads)
        if not self.payloads:
            self.framing.begin_head()
            self.wait_for(Phase.IDLE)
        elif progress.may_have_run:
            self.wait_for(Phase.RUNNING)
        else:
            self.wait_for(Phase.BODY)
        progress.kept = self.framing.kept
        self.port.guard.budget.hold(progress, self.held_bytes())
        self.feed()

    async def linger(self) -> None:
        """Drops what the client still sends after a refusal, for a short time."""
        self.wait_for(Phase.CLOSING)
        if self.refusal is CLOSED_FOR_SLOT or self.framing.reserved:
            # The request keeps its decompressed data, which is no longer charged.
            return
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        if transport.can_write_eof():
            transport.write_eof()
        self.closed = self._loop.create_future()
        try:
            async with asyncio.timeout(LINGER_S):
                await self.closed
        except TimeoutError:
            self.close_gracefully()

    # Deadlines.

    def wait_for(self, phase: Phase) -> None:
        """Begins to wait, with the deadline of the phase."""
        self.phase = phase
        self.deadline_s = self._loop.time() + phase.longest_s(self.limits)

    def postpone(self, seconds: float) -> None:
        """Moves the deadline."""
        self.deadline_s += seconds

    def expire(self, now_s: float) -> None:
        """Refuses or closes what has waited too long."""
        if self.phase is Phase.IDLE:
            self.close_idle("idle")
        elif self.phase is Phase.HEAD:
            self.refuse(HEAD_TOO_SLOW)
        elif self.phase is Phase.BODY:
            self.refuse(BODY_STALLED)
        elif self.phase is Phase.SENDING and self.transport is not None:
            self.check_unread(self.transport.get_write_buffer_size(), now_s)
        else:
            self.abort()

    def check_unread(self, unsent: int, now_s: float) -> None:
        """Takes note of whether the client reads its answer; closes it if not."""
        progress = self.progress
        progress.is_unread = 0 < self.unsent <= unsent
        if not progress.is_unread:
            progress.advance(now_s)
        elif now_s - progress.progress_s >= self.limits.idle_timeout_s:
            self.close_unread()
            return
        self.unsent = unsent
        self.deadline_s = now_s + Phase.SENDING.longest_s(self.limits)

    def close_unread(self) -> None:
        """Closes the connection of a client that does not read its answer."""
        self.port.guard.note("closed", "answer_not_read", self.port.name)
        self.answer_bytes = 0
        self.port.guard.budget.hold(self.progress, 0)
        self.abort()
