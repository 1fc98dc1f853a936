"""Events on standard output that never hold the process up."""

import asyncio
import os
import select
from collections import deque

from burdockthread_model.events import EventLog

FLUSH_INTERVAL_S = 0.05
# About four megabytes of lines; more is dropped and counted.
MAX_WAITING_LINES = 16_384
# A pipe takes so much in one piece; readers may cut longer writes off.
MAX_WRITE_BYTES = select.PIPE_BUF


class StdoutLog(EventLog):
    """Collects lines and writes them in short intervals.

    A reader that does not keep up costs lines, not time: what does not fit into
    the bounded queue is dropped, and the number dropped is logged.

    Attributes:
        waiting: Lines that are not yet written.
        dropped: Lines dropped since the last that could be queued.
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
        """Writes an event of ordinary operation."""
        self.queue("info", name, fields)

    def warning(self, name: str, **fields: object) -> None:
        """Writes an event that an operator may want to see."""
        self.queue("warning", name, fields)

    def error(self, name: str, **fields: object) -> None:
        """Writes an event that an operator has to see."""
        self.queue("error", name, fields)

    def queue(self, level: str, name: str, fields: dict[str, object]) -> None:
        """Queues a line, or counts it if the queue is full."""
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
        """Arranges for the next write."""
        try:
            loop = asyncio.get_running_loop()
        except RuntimeError:
            self.flush()
            return
        self.scheduled = True
        loop.call_later(FLUSH_INTERVAL_S, self.flush)

    def next_lines(self) -> bytes:
        """Returns as many waiting lines as one write holds, at least one."""
        found = b""
        while self.waiting:
            line = f"{self.waiting[0]}\n".encode()
            if found and len(found) + len(line) > MAX_WRITE_BYTES:
                break
            found += line
            self.waiting.popleft()
        return found

    def flush(self) -> None:
        """Writes as much as the reader takes now."""
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
                # Nobody reads any more, and there is nowhere else to say so.
                self.unwritten = b""
                self.waiting.clear()
                return
            self.unwritten = self.unwritten[written:]
