"""The dialled stream to one entry: calls, answers and their bounds."""

import asyncio
import itertools

from burdockthread_model.clock import Clock
from burdockthread_model.errors import (
    PeerError,
    PeerProtocolError,
    PeerTimeoutError,
    PeerUnavailableError,
)
from burdockthread_model.settings import PeerSettings

from burdockthread_peers.frames import REPLY, Frame, encode_frame, read_frame

MAX_PENDING_CALLS = 1_000
MAX_BUFFER_BYTES = 4 * 1_048_576


class Traffic:
    """Counts what was written to all streams.

    Attributes:
        frames: Frames written.
        frame_bytes: Their bytes.
        dropped: Broadcasts that found no stream or a full buffer.
    """

    def __init__(self) -> None:
        self.frames = 0
        self.frame_bytes = 0
        self.dropped = 0

    def write(self, writer: asyncio.StreamWriter, data: bytes) -> None:
        """Writes a frame and counts it."""
        writer.write(data)
        self.frames += 1
        self.frame_bytes += len(data)


def has_room(writer: asyncio.StreamWriter) -> bool:
    """Returns whether a stream is open and its other side keeps up."""
    transport = writer.transport
    if transport.is_closing():
        return False
    return transport.get_write_buffer_size() < MAX_BUFFER_BYTES


class Link:
    """The dialled stream to one entry.

    Attributes:
        peer: Settings of the entry.
        incarnation: Process that the last stream reached; empty before.
        writer: Outgoing side, or None while there is no stream.
        pending: Calls that wait for an answer.
    """

    def __init__(self, peer: PeerSettings, clock: Clock, traffic: Traffic) -> None:
        self.peer = peer
        self.incarnation = ""
        self.clock = clock
        self.traffic = traffic
        self.writer: asyncio.StreamWriter | None = None
        self.pending: dict[int, asyncio.Future[list[object]]] = {}
        self.call_ids = itertools.count(1)

    async def call(
        self, kind: str, fields: list[object], timeout_s: float
    ) -> list[object]:
        """Sends a message and waits for the fields of its answer.

        Raises:
            PeerUnavailableError: Not sent: no stream, or its bounds are reached.
            PeerTimeoutError: Sent, but no answer in time.
        """
        name = self.peer["name"]
        writer = self.writer
        if writer is None or not has_room(writer):
            raise PeerUnavailableError(f"no stream to {name}")
        if len(self.pending) >= MAX_PENDING_CALLS:
            raise PeerUnavailableError(f"too many calls wait for {name}")
        call_id = next(self.call_ids)
        data = encode_frame(Frame(call_id, kind, fields))
        future: asyncio.Future[list[object]]
        future = asyncio.get_running_loop().create_future()
        self.pending[call_id] = future
        try:
            self.traffic.write(writer, data)
            async with self.clock.timeout(timeout_s):
                return await future
        except TimeoutError as error:
            raise PeerTimeoutError(f"no answer from {name} to {kind}") from error
        finally:
            self.pending.pop(call_id, None)

    def send(self, data: bytes) -> None:
        """Sends a frame without an answer, or drops it if there is no room."""
        if self.writer is None or not has_room(self.writer):
            self.traffic.dropped += 1
            return
        self.traffic.write(self.writer, data)

    async def read_answers(self, reader: asyncio.StreamReader) -> None:
        """Hands each answer to the call that waits for it."""
        while True:
            frame = await read_frame(reader)
            future = self.pending.pop(frame.call_id, None)
            if future is None or future.done():
                continue
            if frame.kind == REPLY:
                future.set_result(frame.fields)
            else:
                future.set_exception(PeerProtocolError(str(frame.fields)))

    def fail_pending(self, error: PeerError) -> None:
        """Ends all waiting calls."""
        for future in self.pending.values():
            if not future.done():
                future.set_exception(error)
        self.pending.clear()

    def close(self) -> None:
        """Ends the stream; it is dialled again."""
        if self.writer is not None:
            self.writer.transport.abort()
