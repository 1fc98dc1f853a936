"""Divides received data into the headers and the bodies of requests."""

import re

from burdockthread_http.connection_limits import PortLimits
from burdockthread_http.parsing_turns import LINE_COST, PART_COST, REQUEST_COST

# Largest part of received data that the parser gets in one turn of the event loop. It
# bounds what chunks of one byte take before their handler has joined them.
PART_BYTES = 16_384
# A client may send an empty line after a request; more than a few are no mistake.
MAX_EMPTY_LINE_BYTES = 64
# The library keeps about 400 bytes for each field, however short; that is this number
# of bytes of the budget.
FIELD_OVERHEAD = 128
# Lines of a chunked body that the parser gets at a time.
CHUNK_LINES = re.compile(rb"(?:[^\n]*\n){%d}" % (PART_COST // LINE_COST))
# Bytes of a chunked body as sent, for each byte of its limit. A chunk of one byte takes
# six; extensions of chunks without end exceed this.
CHUNKED_FACTOR = 16
HEAD_END = b"\r\n\r\n"
BODY_FIELDS = re.compile(
    rb"\r\n(?:content-length[ \t]*:[ \t]*(\d{1,9})[ \t]*\r\n|transfer-encoding)", re.I
)
# The line in front of the fields behind a chunked body. Data of a chunk may look like
# it, which only makes the accounting less exact until more data arrives.
LAST_CHUNK = re.compile(rb"(?:\A|(?<=\n))0+[ \t]*(?:;[^\n]*)?\r?\n")
# Start of an unfinished line that is kept, to recognize the line above in parts.
MAX_LINE_START = 64
# A compressed body is not given to the parser before there is room for what it may
# grow to.
COMPRESSED = re.compile(rb"\r\ncontent-encoding", re.I)


class RequestFraming:
    """The request that a connection is receiving, and the data behind it.

    Attributes:
        pending: Received data that the parser has not got yet.
        head_bytes: Size of the headers, as far as received.
        head_fields: Number of lines of them.
        head_tail: Last bytes of them, as their end may arrive in two parts.
        empty_bytes: Bytes of empty lines before the request.
        body_bytes: Size of the body, as far as received and decoded.
        body_left: Bytes of the body that are missing, or None if it is chunked.
        sent_bytes: Size of a chunked body as sent.
        reserved: Bytes that a compressed body may grow to.
        leftover: Bytes behind a chunked body that the parser already has.
        line_start: Start of the last line of a chunked body, if it is not complete.
        raw_bytes: Size of the body before it is decoded, as far as received.
        trailer_bytes: Size of the fields behind a chunked body, as far as received.
        trailer_lines: Number of their lines.
        is_in_trailers: Whether the last chunk seems to have been received.
        kept: What the parser keeps of the headers and trailers of the last request
            until the next one begins, as a number of bytes of the budget.
    """

    __slots__ = (
        "body_bytes",
        "body_left",
        "empty_bytes",
        "head_bytes",
        "head_fields",
        "head_tail",
        "is_in_trailers",
        "kept",
        "leftover",
        "line_start",
        "pending",
        "raw_bytes",
        "reserved",
        "sent_bytes",
        "trailer_bytes",
        "trailer_lines",
    )

    def __init__(self) -> None:
        self.pending = b""
        self.empty_bytes = self.leftover = self.sent_bytes = self.kept = 0
        self.head_bytes = self.head_fields = 0
        self.trailer_bytes = self.trailer_lines = 0
        self.begin_head()

    def begin_head(self) -> None:
        """Resets what is known of the request, before the next one."""
        self.kept = self.field_bytes()
        self.begin_trailers()
        self.head_bytes = self.head_fields = self.body_bytes = self.reserved = 0
        self.head_tail = b""
        self.body_left: int | None = None

    def receive(self, data: bytes) -> None:
        """Adds received data to that which is pending."""
        self.pending = self.pending + data if self.pending else data
        self.sent_bytes += len(data)

    def strip_empty_lines(self) -> bool:
        """Removes empty lines before a request; returns whether they were few."""
        size = len(self.pending)
        self.pending = self.pending.lstrip(b"\r\n")
        self.empty_bytes += size - len(self.pending)
        return self.empty_bytes <= MAX_EMPTY_LINE_BYTES

    def head_part(self, limits: PortLimits) -> bytes | None:
        """Returns the next part of headers, or None if they are too large.

        A small request that has arrived whole is returned with its body.
        """
        room = limits.header_bytes - self.head_bytes
        seen = self.head_tail + self.pending[:room]
        end = seen.find(HEAD_END) + len(HEAD_END) - len(self.head_tail)
        if end < len(HEAD_END) - len(self.head_tail):
            if len(self.pending) > room:
                return None
            self.head_fields += self.pending.count(b"\n")
            return self.pending
        self.head_fields += self.pending.count(b"\n", 0, end)
        if not self.head_bytes:
            found = BODY_FIELDS.search(self.pending, 0, end)
            length = int(found[1] or 0) if found else 0
            if length and COMPRESSED.search(self.pending, 0, end):
                length = 0
            if length <= min(PART_BYTES, limits.body_bytes):
                end = min(end + length, len(self.pending))
        return self.pending[:end]

    def note_head(self, part: bytes) -> None:
        """Takes note of a part of the headers that the parser has got."""
        self.kept = 0
        self.head_bytes += len(part)
        self.head_tail = (self.head_tail + part[-3:])[-3:]

    def end_head(self) -> None:
        """Begins with the body after complete headers."""
        self.empty_bytes = self.leftover = self.body_bytes = 0
        self.sent_bytes = len(self.pending)
        self.body_left = None
        self.begin_trailers()

    def body_part(self) -> bytes:
        """Returns the next part of the body; of a chunked one, few chunks at a time."""
        if self.body_left is not None:
            return self.pending[: min(self.body_left, PART_BYTES)]
        part = self.pending[:PART_BYTES]
        lines = CHUNK_LINES.match(part)
        return lines[0] if lines else part

    def cost(self, part: bytes, *, is_body: bool) -> int:
        """Returns what it costs to parse a part of the headers or the body."""
        if is_body and self.body_left is not None:
            return len(part)
        cost = len(part) + part.count(b"\n") * LINE_COST
        return cost if is_body else cost + REQUEST_COST

    def is_body_too_large(self, limits: PortLimits) -> bool:
        """Returns whether the body exceeds its limit, decoded or as sent."""
        sent_limit = limits.body_bytes * CHUNKED_FACTOR + PART_BYTES
        return self.body_bytes > limits.body_bytes or self.sent_bytes > sent_limit

    def begin_trailers(self) -> None:
        """Forgets the fields behind a chunked body."""
        self.line_start = b""
        self.raw_bytes = self.trailer_bytes = self.trailer_lines = 0
        self.is_in_trailers = False

    def note_chunks(self, part: bytes, raw_bytes: int) -> bool:
        """Takes note of a part of a chunked body that the parser has got.

        The parser keeps the fields behind the body. All data behind the last chunk
        counts as such, until there is more of the body.

        Args:
            part: The part.
            raw_bytes: Size of the body, as far as received, without its framing.

        Returns:
            Whether the part consists of such fields.
        """
        text = self.line_start + part
        self.line_start = text[text.rfind(b"\n") + 1 :][:MAX_LINE_START]
        has_data, self.raw_bytes = raw_bytes > self.raw_bytes, raw_bytes
        ends = [found.end() for found in LAST_CHUNK.finditer(text)]
        if ends:
            part = text[ends[-1] :]
            self.trailer_bytes = self.trailer_lines = 0
        elif has_data or not self.is_in_trailers:
            self.is_in_trailers = False
            self.trailer_bytes = self.trailer_lines = 0
            return False
        self.is_in_trailers = True
        self.trailer_bytes += len(part)
        self.trailer_lines += part.count(b"\n")
        return not has_data

    def end_body(self, part: bytes) -> None:
        """Takes note of the last part of a body."""
        if self.body_left is None:
            self.leftover = 0 if part.endswith(HEAD_END) else len(part)

    def field_bytes(self) -> int:
        """Returns the bytes of the budget that headers and trailers take."""
        lines = self.head_fields + self.trailer_lines
        return self.head_bytes + self.trailer_bytes + lines * FIELD_OVERHEAD

    def held_bytes(self) -> int:
        """Returns the bytes of the budget that the request and its data take."""
        return (
            self.kept
            + self.field_bytes()
            + self.leftover
            + max(self.body_bytes, self.reserved)
            + len(self.pending)
        )
