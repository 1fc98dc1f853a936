"""Event log on standard output that never blocks the process."""

import asyncio
import os
import select
from collections import deque

from burdockthread_model.events import EventLog

FLUSH_INTERVAL_S = 0.05
# About 4 MB of lines; further lines are dropped and counted.
MAX_WAITING_LINES = 16_384
# Largest write that is atomic on a pipe; readers may truncate longer writes.
MAX_WRITE_BYTES = select.PIPE_BUF


class StdoutLog(EventLog):
    """Queues lines and writes them every `FLUSH_INTERVAL_S` without blocking.

    If the reader does not keep up, lines that do not fit into the bounded queue are
    dropped and their number is logged; the process is not delayed.

    Attributes:
        waiting: Queue of lines that are not written yet.
        unwritten: Rest of a batch of lines that was written partially.
        dropped: Number of lines dropped since a line was last queued.
        scheduled: Whether a flush is scheduled in the event loop.
    """

    def __init__(self, node: str, descriptor: int = 1) -> None:
        super().__init__(node)
        self.descriptor = descriptor
        self.waiting: deque[str] = deque()
        self.unwritten = b""
        self.dropped = 0
        self.scheduled = False
        os.set_blocking(descriptor, False)

    def info(self, name: str, **fields: object) -> None:
        """Queues an event of normal operation."""
        self.queue("info", name, fields)

    def warning(self, name: str, **fields: object) -> None:
        """Queues an event that may need an operator's attention."""
        self.queue("warning", name, fields)

    def error(self, name: str, **fields: object) -> None:
        """Queues an event that needs an operator's attention."""
        self.queue("error", name, fields)

    def queue(self, level: str, name: str, fields: dict[str, object]) -> None:
        """Queues a line, or counts it as dropped if the queue is full."""
        if len(self.waiting) >= MAX_WAITING_LINES:
            self.dropped += 1
            return
        if self.dropped:
            lost, self.dropped = self.dropped, 0
            self.waiting.append(self.line("log_lines_dropped", {"lines": lost}))
        self.waiting.append(f"level={level} {self.line(name, fields)}")
        if not self.scheduled:
            self.schedule()

    def schedule(self) -> None:
        """Schedules the next flush; flushes at once if no event loop is running."""
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self.flush()
            return
        self.scheduled = True
        loop.call_later(FLUSH_INTERVAL_S, self.flush)

    def next_lines(self) -> bytes:
        """Removes and returns as many lines as fit into one write, at least one."""
        found = b""
        while self.waiting:
            line = f"{self.waiting[0]}\n".encode()
            if found and len(found) + len(line) > MAX_WRITE_BYTES:
                break
            found += line
            self.waiting.popleft()
        return found

    def flush(self) -> None:
        """Writes lines until the queue is empty or the write would block."""
        self.scheduled = False
        while self.unwritten or self.waiting:
            if not self.unwritten:
                self.unwritten = self.next_lines()
            try:
                written = os.write(self.descriptor, self.unwritten)
            except BlockingIOError:
                self.schedule()
                return
            except OSError:
                # The reader is gone, and there is no other place to report it.
                self.unwritten = b""
                self.waiting.clear()
                return
            self.unwritten = self.unwritten[written:]
