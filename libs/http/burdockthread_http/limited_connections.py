"""Limits of a connection: what it holds, how long it waits, how it is refused."""

import asyncio
from abc import abstractmethod
from collections import deque
from math import inf

from aiohttp import web
from aiohttp.http import HttpProcessingError
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader
from aiohttp.web_protocol import RequestHandler, _ErrInfo

from burdockthread_http.connection_limits import (
    ANSWERED_EARLY,
    BODY_STALLED,
    CLOSED_FOR_SLOT,
    HEAD_TOO_SLOW,
    MALFORMED,
    NO_MEMORY,
    Refusal,
    RefusedError,
)
from burdockthread_http.connection_phases import Phase
from burdockthread_http.parsing_turns import ParsedConnection, RecentCost
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
# Unread answers beyond this many bytes stop the handling of further requests.
WRITE_BUFFER_BYTES = 8_192


class LimitedConnection(RequestHandler, PortConnection, ParsedConnection):
    """A connection within the limits of its port and the budget of its process.

    This class refuses, answers and closes, and reports what the connection holds. Its
    subclass passes what is received on to the parser.

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
        recent_cost: Cost of its data of late.
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
        "is_read_paused",
        "limits",
        "payloads",
        "phase",
        "port",
        "progress",
        "recent_cost",
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
        self.recent_cost = RecentCost()

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

    @abstractmethod
    def set_reading(self) -> None:
        """Pauses reading while data is pending, and lets it wait for its turn."""

    @abstractmethod
    def take_new_requests(self, count: int) -> None:
        """Takes note of requests whose headers the parser has completed."""

    @property
    def is_waiting(self) -> bool:
        """Whether received data waits for its turn to be parsed."""
        return self in self.port.guard.turns.members

    # Holding.

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

    def close_for_slot(self) -> None:
        """Closes the connection because there are too many."""
        if self.phase in {Phase.IDLE, Phase.CLOSING} and not self.is_waiting:
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
        if self.payloads and not self.payloads[0].is_eof():
            resp.force_close()
            if self.refusal is None:
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
        self.parse_next_or_wait()

    def parse_next_or_wait(self) -> None:
        """Goes on with the data that is pending behind an answered request."""
        if self.framing.pending:
            self.port.guard.turns.wait(self)
        else:
            self.parse_next()

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
        if self.is_waiting:
            # The client has sent data that has not had its turn.
            self.wait_for(self.phase)
        elif self.phase is Phase.IDLE:
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
