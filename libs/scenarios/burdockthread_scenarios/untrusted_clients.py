"""Clients that do not keep to the limits, against a process on loopback.

They check what does not depend on the speed of the machine: that the process lives,
its memory and its open descriptors.
"""

import asyncio
import re
import socket
import zlib
from asyncio.subprocess import Process
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable, Iterator
from contextlib import asynccontextmanager, suppress
from pathlib import Path
from typing import NamedTuple

# Longest time for which one client sends, and for one group of clients.
CLIENT_S = 10.0
GROUP_S = 30.0
SAMPLE_INTERVAL_S = 0.1
SHORT_BY = 10
PIECE = b"x" * 32_768
SMALL_RECEIVE_BUFFER = 4_096

Parts = Iterable[bytes]


class ProcessBounds(NamedTuple):
    """What a process may use.

    Attributes:
        memory_mb: Peak of its resident memory, exclusive.
        descriptors: Open descriptors, exclusive.
    """

    memory_mb: int
    descriptors: int


def memory_mb(pid: int) -> float:
    """Returns the peak of the resident memory of a process."""
    status = Path(f"/proc/{pid}/status").read_text()
    found = re.search(r"VmHWM:\s+(\d+) kB", status)
    assert found is not None
    return int(found[1]) / 1024


def open_descriptors(pid: int) -> int:
    """Returns the number of open descriptors of a process."""
    return len(list(Path(f"/proc/{pid}/fd").iterdir()))


class Clients:
    """A group of untrusted clients, which keep their connections open.

    Attributes:
        writers: Open connections.
        tasks: Clients that send, or wait for the end of their connection.
    """

    def __init__(self) -> None:
        self.writers: list[asyncio.StreamWriter] = []
        self.tasks: list[asyncio.Task[None]] = []

    def add(
        self,
        count: int,
        address: tuple[str, int],
        parts: Callable[[int], Parts],
        *,
        reads: bool = True,
    ) -> None:
        """Adds clients; each sends what `parts` yields, for its number."""
        for number in range(count):
            work = self.send(address, parts(number), reads=reads)
            self.tasks.append(asyncio.create_task(work))

    async def send(
        self, address: tuple[str, int], parts: Parts, *, reads: bool
    ) -> None:
        """Sends parts on one connection until it is closed or the time is over."""
        with suppress(OSError, TimeoutError):
            async with asyncio.timeout(CLIENT_S):
                if reads:
                    reader, writer = await asyncio.open_connection(*address)
                else:
                    reader, writer = await open_unread(address)
                self.writers.append(writer)
                for part in parts:
                    writer.write(part)
                    await writer.drain()
                    if reads and reader.at_eof():
                        return
                if not reads:
                    # The process still handles what it has received.
                    await asyncio.sleep(CLIENT_S)

    async def finish(self) -> None:
        """Waits until all have sent what they send."""
        async with asyncio.timeout(GROUP_S):
            await asyncio.gather(*self.tasks)

    def close(self) -> None:
        """Ends all clients and their connections."""
        for task in self.tasks:
            task.cancel()
        for writer in self.writers:
            writer.transport.abort()


async def open_unread(
    address: tuple[str, int],
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Opens a connection from which nothing is read."""
    held = socket.socket()
    held.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_RECEIVE_BUFFER)
    held.setblocking(False)
    await asyncio.get_running_loop().sock_connect(held, address)
    # A reader with this limit stops reading at once.
    return await asyncio.open_connection(sock=held, limit=1)


@asynccontextmanager
async def clients_against(
    process: Process,
    ask_until_answered: Callable[[], Awaitable[None]],
    bounds: ProcessBounds,
) -> AsyncIterator[Clients]:
    """Runs the clients added in the block, then checks the process.

    A sample is taken of the open descriptors while the clients send.

    Args:
        process: The process.
        ask_until_answered: Sends an ordinary request, with retries; fails the test
            if none is answered.
        bounds: What the process may use.
    """
    pid, descriptors, group = process.pid, [0], Clients()

    async def sample() -> None:
        while True:
            with suppress(OSError):
                descriptors.append(open_descriptors(pid))
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    sampling = asyncio.create_task(sample())
    try:
        yield group
        await group.finish()
        descriptors.append(open_descriptors(pid))
        await ask_until_answered()
        assert process.returncode is None
        found = memory_mb(pid), max(descriptors)
        print(f"memory {found[0]:.0f} MB, descriptors {found[1]}")
        assert found[0] < bounds.memory_mb, found
        assert found[1] < bounds.descriptors, found
    finally:
        sampling.cancel()
        group.close()


def repeated(start: bytes, part: bytes, times: int) -> Iterator[bytes]:
    """Yields a start, then a part several times."""
    yield start
    for _ in range(times):
        yield part


def line_without_end(number: int) -> Parts:
    """Yields a request line without end."""
    return repeated(b"GET /", PIECE, 128)


def empty_lines(number: int) -> Parts:
    """Yields empty lines without end."""
    return repeated(b"", b"\r\n" * 16_384, 200)


def no_data(number: int) -> Parts:
    """Yields nothing."""
    return iter(())


class RequestKinds(NamedTuple):
    """Kinds of requests to one path that do not keep to the limits.

    Attributes:
        post: Request line and headers of a legal request with a body, with a place
            for the number of the client.
        host: Headers that every request needs.
        body_bytes: Size of a body within the limit.
        piece_bytes: Size of the pieces in which a body is sent.
    """

    post: bytes
    host: bytes
    body_bytes: int
    piece_bytes: int = 400

    def head_without_end(self, number: int) -> Parts:
        """Yields headers without end."""
        field = b"X-Field: " + b"x" * 4_000 + b"\r\n"
        return repeated(self.post % number, field * 8, 64)

    def head_over_limit(self, number: int) -> Parts:
        """Yields complete headers that are too large."""
        fields = b"".join(b"X-%d: %s\r\n" % (n, b"x" * 7_000) for n in range(100))
        return iter([self.post % number + fields + b"\r\n"])

    def body_whole(self, number: int, size: int = 0) -> Parts:
        """Yields a body at once that stops short of its end."""
        size = size or self.body_bytes
        head = self.post % number + b"Content-Length: %d\r\n\r\n" % size
        return iter([head + b"x" * (size - SHORT_BY)])

    def body_in_pieces(self, number: int) -> Parts:
        """Yields a body in pieces that stops short of its end."""
        head = self.post % number + b"Content-Length: %d\r\n\r\n" % self.body_bytes
        times = (self.body_bytes - SHORT_BY) // self.piece_bytes
        return repeated(head, b"x" * self.piece_bytes, times)

    def large_chunks(self, number: int) -> Parts:
        """Yields large chunks, without the last one."""
        chunk = b"%x\r\n%s\r\n" % (len(PIECE), PIECE)
        return self.chunked(number, chunk, (self.body_bytes - SHORT_BY) // len(PIECE))

    def one_byte_chunks(self, number: int) -> Parts:
        """Yields chunks of one byte, without the last one."""
        times = (self.body_bytes - SHORT_BY) // 4_000
        return self.chunked(number, b"1\r\nx\r\n" * 4_000, times)

    def endless_trailers(self, number: int) -> Parts:
        """Yields a whole chunked body and then trailer fields without end."""
        field = b"X-Field: " + b"x" * 4_000 + b"\r\n"
        head = self.post % number + b"Transfer-Encoding: chunked\r\n\r\n"
        return repeated(head + b"1\r\nx\r\n0\r\n", field * 8, 128)

    def chunked(self, number: int, chunks: bytes, times: int) -> Parts:
        """Yields chunks several times."""
        head = self.post % number + b"Transfer-Encoding: chunked\r\n\r\n"
        return repeated(head, chunks, times)

    def compressed_body(self, number: int) -> Parts:
        """Yields a compressed body that stops short of its end."""
        body = zlib.compress(b"x" * 1_000_000)
        head = self.post % number + b"Content-Encoding: deflate\r\n"
        size = b"Content-Length: %d\r\n\r\n" % (len(body) + SHORT_BY)
        return iter([head + size + body])

    def many_requests(self, number: int, path: bytes = b"/nowhere/") -> Parts:
        """Yields many small requests without waiting for their answers."""
        request = b"GET " + path + b" HTTP/1.1\r\n" + self.host + b"\r\n"
        return repeated(b"", request * 200, 100)
