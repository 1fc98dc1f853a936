"""The outgoing stream to one entry: calls, answers and limits."""

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
    """Counters of the frames written to all streams.

    Attributes:
        frames: Number of frames written.
        frame_bytes: Size of these frames in bytes.
        dropped: Broadcasts dropped because there was no stream or its buffer
            was full.
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
    """Returns whether a stream is open and its write buffer is not full."""
    transport = writer.transport
    if transport.is_closing():
        return False
    return transport.get_write_buffer_size() < MAX_BUFFER_BYTES


class Link:
    """The outgoing stream to one entry, opened again after each failure.

    Attributes:
        peer: Settings of the entry.
        incarnation: Incarnation of the process that the last stream reached;
            empty before the first stream.
        writer: Writing side of the stream, or None while there is no stream.
        pending: Calls that wait for an answer, by call id.
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
            PeerUnavailableError: Not sent: there is no stream, its buffer is full
                or too many calls are pending.
            PeerTimeoutError: The message was sent but not answered in time.
        """
        name = self.peer["name"]
        writer = self.writer
        if writer is None or not has_room(writer):
            raise PeerUnavailableError(f"no writable stream to {name}")
        if len(self.pending) >= MAX_PENDING_CALLS:
            raise PeerUnavailableError(
                f"{len(self.pending)} calls to {name} already wait for an answer"
            )
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
            raise PeerTimeoutError(
                f"{name} did not answer {kind} within {timeout_s} s"
            ) from error
        finally:
            self.pending.pop(call_id, None)

    def send(self, data: bytes) -> None:
        """Sends a frame without waiting; drops it if the stream is not writable."""
        if self.writer is None or not has_room(self.writer):
            self.traffic.dropped += 1
            return
        self.traffic.write(self.writer, data)

    async def read_answers(self, reader: asyncio.StreamReader) -> None:
        """Passes each answer to its pending call, until the stream ends."""
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
        """Ends all pending calls with an error."""
        for future in self.pending.values():
            if not future.done():
                future.set_exception(error)
        self.pending.clear()

    def close(self) -> None:
        """Aborts the stream; the mesh connects again."""
        if self.writer is not None:
            self.writer.transport.abort()
