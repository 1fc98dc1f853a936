"""Reads the frames of a stream within the budget of received bytes of the process."""

import asyncio
from typing import NamedTuple

from burdockthread_http.connection_guard import ConnectionGuard
from burdockthread_http.received_bytes import ConnectionProgress

from burdockthread_peers.frames import Frame, read_frame

RETRY_INTERVAL_S = 0.02
MAX_HANDLERS = 256


class ReceivedFrame(NamedTuple):
    """A frame and its size in bytes."""

    frame: Frame
    size: int


class FrameReader:
    """Reads the frames of an authenticated entry.

    A frame is charged to the budget from before it is read until it is handled.
    Stalled connections of other ports are closed to make room for it, and no frame is
    dropped: the stream is not read while there is no room.

    Attributes:
        reader: Incoming side of the stream.
        guard: Shared by the ports of the process.
        progress: What the frames of the stream hold.
        handlers: Limits the frames that are handled at a time.
        reading: Size of the frame that is being read.
    """

    def __init__(self, reader: asyncio.StreamReader, guard: ConnectionGuard) -> None:
        self.reader = reader
        self.guard = guard
        self.progress = ConnectionProgress(asyncio.get_running_loop().time())
        # The messages of an authenticated entry are never refused.
        self.progress.may_have_run = True
        self.handlers = asyncio.Semaphore(MAX_HANDLERS)
        self.reading = 0

    async def read(self) -> ReceivedFrame:
        """Reads one frame; see `frames.read_payload` for the errors."""
        self.reading = 0
        try:
            frame = await read_frame(self.reader, self.reserve)
        except BaseException:
            self.release(self.reading)
            raise
        return ReceivedFrame(frame, self.reading)

    async def reserve(self, size: int) -> None:
        """Waits until there is room for a frame of some bytes, and charges it."""
        while True:
            if self.charge(size):
                self.reading = size
                return
            await asyncio.sleep(RETRY_INTERVAL_S)

    def charge(self, size: int) -> bool:
        """Charges a frame; returns whether there was room."""
        now_s = asyncio.get_running_loop().time()
        return self.guard.hold(self.progress, self.progress.held + size, now_s, 1.0)

    def release(self, size: int) -> None:
        """Releases a frame that has been handled."""
        self.guard.budget.hold(self.progress, self.progress.held - size)

    def finish(self, size: int) -> None:
        """Releases a frame and the right to handle it."""
        self.release(size)
        self.handlers.release()
