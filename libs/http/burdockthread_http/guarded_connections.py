"""Connections of an HTTP server that untrusted clients cannot make grow.

A connection passes received data on to the parser of the HTTP library in parts of
bounded size, one request at a time, and only while there is room for it in the budget
of the process. What it refuses has not run: the server calls the handler of a request
only once its body is complete, see `guarded_server.read_request`.
"""

from aiohttp.http import RawRequestMessage
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader
from aiohttp.web_protocol import _ErrInfo

from burdockthread_http.connection_limits import (
    BODY_TOO_LARGE,
    EMPTY_LINES,
    HEAD_TOO_LARGE,
    MALFORMED,
    NO_MEMORY,
    TRAILERS_TOO_LARGE,
    RefusedError,
)
from burdockthread_http.connection_phases import Phase
from burdockthread_http.limited_connections import LimitedConnection

MAX_DISCARDED_BYTES = 2_000_000


class GuardedConnection(LimitedConnection):
    """A connection that passes received data on to the parser in bounded parts."""

    __slots__ = ()

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
                self.port.guard.turns.begin(self)
                if self.is_waiting:
                    self.set_reading()

    def discard(self, size: int) -> None:
        """Drops data of a client that goes on sending after a refusal."""
        self.discarded += size
        if self.discarded <= MAX_DISCARDED_BYTES:
            return
        if not self.progress.may_have_run:
            self.abort()
        elif self.transport is not None:
            self.transport.pause_reading()

    def parse_next(self) -> int:
        """Gives the parser one part of the pending data, if it may have it.

        Returns its cost.
        """
        if self.refusal is not None or self._force_close or self._close:
            self.framing.pending = b""
            return 0
        cost = 0
        if self.framing.pending and not self.progress.may_have_run:
            part = self.next_part()
            # Fields are charged before the parser makes objects of them.
            if self.phase is Phase.HEAD and self.refusal is None:
                self.hold_received()
            if self.refusal is not None:
                return 0
            cost = self.framing.cost(part, is_body=self.phase is Phase.BODY)
            self.framing.pending = self.framing.pending[len(part) :]
            if part:
                self.parse(part)
        if self.is_ended and not (self.payloads or self.framing.pending):
            # All is answered. An incomplete body is refused at its time limit.
            self.close_gracefully()
        else:
            self.set_reading()
        return cost

    def set_reading(self) -> None:
        """Pauses reading while data is pending, and lets it wait for its turn."""
        transport = self.transport
        if transport is None or transport.is_closing():
            return
        if self.framing.pending:
            self.is_read_paused = True
            transport.pause_reading()
            if not self.progress.may_have_run:
                self.port.guard.turns.wait(self)
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

    def end_malformed(self) -> None:
        """Stops after an error of the parser, which the library answers in turn."""
        waiting = self.payloads[-1] if self.payloads else None
        self.payloads.append(EMPTY_PAYLOAD)
        self.stop_receiving(MALFORMED)
        if waiting is not None and not waiting.is_eof():
            # The parser does not end the body in which it found the error.
            waiting.set_exception(RefusedError(MALFORMED))
