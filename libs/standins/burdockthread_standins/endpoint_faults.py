"""Faults that a stand-in endpoint plays on purpose."""

import random
from collections.abc import Callable
from enum import StrEnum
from typing import Any, NamedTuple

from aiohttp import web
from aiohttp.abc import AbstractStreamWriter
from burdockthread_routing.endpoint_client import ATTEMPT_HEADER


class FaultKind(StrEnum):
    """What goes wrong at an endpoint.

    Attributes:
        NONE: Nothing.
        REFUSE: Connections are refused; open ones are closed.
        DROP: The request runs, then the connection closes without an answer.
        DROP_UNREAD: The connection closes before the request runs.
        CUT: The request runs, then the connection closes in mid-answer.
        LATE: The request runs at once and its answer comes `delay_s` later.
        SLOW: The request takes `delay_s` longer to run.
        HOLD: The request stays under way until it is released.
        CROSSED: The answer carries the id and body of the request before.
        NO_ID: The answer carries no id.
        DUPLICATE: The answer is sent twice.
        LATE_DUPLICATE: The answer is sent again `delay_s` later.
        OVERSIZED: The answer's body is `size_bytes` long.
        LONG: The body is longer than the length declared.
        NO_LENGTH: The body ends with the connection, half of it sent.
        REDIRECT: The answer points elsewhere.
        ERROR: An error is answered at once and nothing runs.
    """

    NONE = "none"
    REFUSE = "refuse"
    DROP = "drop"
    DROP_UNREAD = "drop_unread"
    CUT = "cut"
    LATE = "late"
    SLOW = "slow"
    HOLD = "hold"
    CROSSED = "crossed"
    NO_ID = "no_id"
    DUPLICATE = "duplicate"
    LATE_DUPLICATE = "late_duplicate"
    OVERSIZED = "oversized"
    LONG = "long"
    NO_LENGTH = "no_length"
    REDIRECT = "redirect"
    ERROR = "error"


class Fault(NamedTuple):
    """A fault switch.

    Attributes:
        kind: What goes wrong.
        delay_s: Delay in seconds of the kinds that wait.
        size_bytes: Body of an oversized answer in bytes.
        share: Share of the requests that it hits, 0 to 1.
        limit: Requests that it hits at the most; 0 for no limit.
    """

    kind: FaultKind = FaultKind.NONE
    delay_s: float = 1.0
    size_bytes: int = 8 * 1_048_576
    share: float = 1.0
    limit: int = 0


class FaultSwitch:
    """Decides for each request which fault hits it.

    Attributes:
        faults: Faults that are set; the first that hits counts.
        hits: Requests hit since the faults were set, by kind.
        total_hits: Requests hit since the start.
    """

    def __init__(self, seed: int = 0) -> None:
        self.faults: list[Fault] = []
        self.random = random.Random(seed)
        self.hits: dict[FaultKind, int] = {}
        self.total_hits = 0

    def set(self, *faults: Fault) -> None:
        """Replaces all faults; none clears them."""
        self.faults = [f for f in faults if f.kind is not FaultKind.NONE]
        self.hits = {}

    def is_set(self, kind: FaultKind) -> bool:
        """Returns whether a kind of fault is set."""
        return any(fault.kind is kind for fault in self.faults)

    def draw(self) -> Fault:
        """Returns the fault of the next request; its kind may be NONE."""
        for fault in self.faults:
            hits = self.hits.get(fault.kind, 0)
            if fault.limit and hits >= fault.limit:
                continue
            if self.random.random() < fault.share:
                self.hits[fault.kind] = hits + 1
                self.total_hits += 1
                return fault
        return Fault()


class RawAnswer(web.StreamResponse):
    """An answer whose bytes are written as they are.

    Attributes:
        data: Bytes to write.
        close: Whether the connection closes after them.
    """

    def __init__(self, data: bytes, *, close: bool) -> None:
        super().__init__()
        self.data = data
        self.close = close

    async def prepare(self, request: web.BaseRequest) -> AbstractStreamWriter | None:
        """Writes the bytes."""
        self._keep_alive = not self.close
        if request.transport is not None:
            if self.data:
                request.transport.write(self.data)
            if self.close:
                request.transport.close()
        return None

    async def write_eof(self, data: Any = b"") -> None:
        """Writes nothing more."""


def answer_bytes(
    body: bytes,
    attempt_id: str,
    *,
    length: int | None = None,
    status: str = "200 OK",
    extra: str = "",
) -> bytes:
    """Returns an answer as bytes.

    Args:
        body: Bytes of the body that are sent.
        attempt_id: Id to echo; empty to leave it out.
        length: Length to declare, or None to declare none.
        status: Status line without the version.
        extra: Further header lines, each with its line end.
    """
    lines = [f"HTTP/1.1 {status}\r\nContent-Type: application/json\r\n"]
    if attempt_id:
        lines.append(f"{ATTEMPT_HEADER}: {attempt_id}\r\n")
    if length is not None:
        lines.append(f"Content-Length: {length}\r\n")
    else:
        lines.append("Connection: close\r\n")
    lines.append(f"{extra}\r\n")
    return "".join(lines).encode() + body


class Answer(NamedTuple):
    """Id of an attempt and the whole body that answers it."""

    attempt_id: str
    body: bytes


Spoil = Callable[[Answer, Answer, Fault], RawAnswer]


def dropped(answer: Answer, previous: Answer, fault: Fault) -> RawAnswer:
    """Closes the connection without an answer."""
    return RawAnswer(b"", close=True)


def cut(answer: Answer, previous: Answer, fault: Fault) -> RawAnswer:
    """Sends half of the body and closes the connection."""
    length = len(answer.body)
    half = answer.body[: length // 2]
    return RawAnswer(answer_bytes(half, answer.attempt_id, length=length), close=True)


def too_long(answer: Answer, previous: Answer, fault: Fault) -> RawAnswer:
    """Declares half of the length that is sent."""
    half = len(answer.body) // 2
    data = answer_bytes(answer.body, answer.attempt_id, length=half)
    return RawAnswer(data, close=False)


def without_length(answer: Answer, previous: Answer, fault: Fault) -> RawAnswer:
    """Sends half of the body without a length and closes the connection."""
    half = answer.body[: len(answer.body) // 2]
    return RawAnswer(answer_bytes(half, answer.attempt_id), close=True)


def crossed(answer: Answer, previous: Answer, fault: Fault) -> RawAnswer:
    """Sends the answer to the request before."""
    other = previous if previous.attempt_id else Answer("other.1", b"{}")
    data = answer_bytes(other.body, other.attempt_id, length=len(other.body))
    return RawAnswer(data, close=False)


def without_id(answer: Answer, previous: Answer, fault: Fault) -> RawAnswer:
    """Leaves the id out."""
    data = answer_bytes(answer.body, "", length=len(answer.body))
    return RawAnswer(data, close=False)


def duplicated(answer: Answer, previous: Answer, fault: Fault) -> RawAnswer:
    """Sends the whole answer twice at once."""
    data = answer_bytes(answer.body, answer.attempt_id, length=len(answer.body))
    return RawAnswer(data + data, close=False)


def oversized(answer: Answer, previous: Answer, fault: Fault) -> RawAnswer:
    """Sends a body of the fault's size."""
    filler = b" " * fault.size_bytes
    data = answer_bytes(filler, answer.attempt_id, length=len(filler))
    return RawAnswer(data, close=False)


def redirected(answer: Answer, previous: Answer, fault: Fault) -> RawAnswer:
    """Points elsewhere."""
    extra = "Location: http://127.0.0.1:9/elsewhere\r\n"
    status = "307 Temporary Redirect"
    data = answer_bytes(b"", answer.attempt_id, length=0, status=status, extra=extra)
    return RawAnswer(data, close=False)


SPOILED: dict[FaultKind, Spoil] = {
    FaultKind.DROP: dropped,
    FaultKind.CUT: cut,
    FaultKind.LONG: too_long,
    FaultKind.NO_LENGTH: without_length,
    FaultKind.CROSSED: crossed,
    FaultKind.NO_ID: without_id,
    FaultKind.DUPLICATE: duplicated,
    FaultKind.OVERSIZED: oversized,
    FaultKind.REDIRECT: redirected,
}
