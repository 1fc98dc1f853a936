"""Forwards TCP connections on loopback; a link that a scenario can cut."""

import asyncio
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager, suppress

import msgpack
from burdockthread_model.errors import PeerProtocolError
from burdockthread_peers.frames import (
    MAX_HANDSHAKE_BYTES,
    parse_hello,
    read_payload,
    with_length,
)

CHUNK_BYTES = 65_536
CONNECT_TIMEOUT_S = 5.0


class Forwarder:
    """One directed link.

    Attributes:
        host: IP address of both ends.
        target_port: Port that connections are forwarded to.
        port: Port that it listens on.
        is_cut: Whether new connections are refused.
        sent_bytes: Bytes forwarded to the target.
        received_bytes: Bytes forwarded from the target.
    """

    def __init__(self, host: str, target_port: int) -> None:
        self.host = host
        self.target_port = target_port
        self.port = 0
        self.is_cut = False
        self.sent_bytes = 0
        self.received_bytes = 0
        self.writers: set[asyncio.StreamWriter] = set()

    @asynccontextmanager
    async def running(self) -> AsyncIterator["Forwarder"]:
        """Listens within the block."""
        server = await asyncio.start_server(self.serve, self.host, 0)
        self.port = server.sockets[0].getsockname()[1]
        try:
            yield self
        finally:
            server.close()
            self.cut()

    def cut(self) -> None:
        """Closes all connections and refuses new ones."""
        self.is_cut = True
        for writer in list(self.writers):
            writer.transport.abort()

    def heal(self) -> None:
        """Forwards new connections again."""
        self.is_cut = False

    async def serve(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        first: bytes = b"",
    ) -> None:
        """Forwards one connection until either side ends.

        Args:
            reader: Where the dialling side's bytes come from.
            writer: Where bytes for the dialling side go.
            first: Bytes that were read already.
        """
        if self.is_cut:
            writer.transport.abort()
            return
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                onward = await asyncio.open_connection(self.host, self.target_port)
        except OSError:
            writer.transport.abort()
            return
        self.count_sent(len(first))
        onward[1].write(first)
        await self.forward(reader, writer, *onward)

    async def forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        target_reader: asyncio.StreamReader,
        target_writer: asyncio.StreamWriter,
    ) -> None:
        """Copies both directions."""
        pair = {writer, target_writer}
        self.writers |= pair
        copies = (
            asyncio.create_task(copy(reader, target_writer, self.count_sent)),
            asyncio.create_task(copy(target_reader, writer, self.count_received)),
        )
        try:
            await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in copies:
                task.cancel()
            self.writers -= pair
            for item in pair:
                item.close()

    def count_sent(self, size: int) -> None:
        """Counts bytes on their way to the target."""
        self.sent_bytes += size

    def count_received(self, size: int) -> None:
        """Counts bytes on their way from the target."""
        self.received_bytes += size


class PeerForwarder:
    """The links of all other entries to one entry, behind one port.

    An entry registers one address, by which all others dial it, so a link is
    told by the name in the greeting of whoever dials.

    Attributes:
        host: IP address that it listens on.
        links: Links by the name of the dialling entry.
        port: Port that it listens on.
    """

    def __init__(self, host: str, links: dict[str, Forwarder]) -> None:
        self.host = host
        self.links = links
        self.port = 0

    @asynccontextmanager
    async def running(self) -> AsyncIterator["PeerForwarder"]:
        """Listens within the block."""
        server = await asyncio.start_server(self.serve, self.host, 0)
        self.port = server.sockets[0].getsockname()[1]
        try:
            yield self
        finally:
            server.close()
            for link in self.links.values():
                link.cut()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Forwards a stream over the link of the entry that dials."""
        try:
            payload = await read_payload(reader, MAX_HANDSHAKE_BYTES)
            link = self.links[parse_hello(payload).name]
        except (PeerProtocolError, OSError, EOFError, KeyError):
            writer.transport.abort()
            return
        await link.serve(reader, writer, with_length(msgpack.packb(payload)))


async def copy(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    count: Callable[[int], None],
) -> None:
    """Copies bytes until the reader ends.

    Args:
        reader: Where they come from.
        writer: Where they go.
        count: Called with the bytes of each chunk.
    """
    with suppress(OSError):
        while data := await reader.read(CHUNK_BYTES):
            count(len(data))
            writer.write(data)
            await writer.drain()
