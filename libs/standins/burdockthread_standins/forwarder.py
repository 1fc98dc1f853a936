"""Forwards TCP connections on loopback; a link that can be cut, held or slow."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from enum import Enum, auto

CHUNK_BYTES = 65_536
CONNECT_TIMEOUT_S = 5.0


class Direction(Enum):
    """Which way bytes go on a link."""

    OUT = auto()
    BACK = auto()


class Forwarder:
    """One directed link.

    Attributes:
        gates: Set for each direction unless its bytes wait, as on a path that has
            fallen silent.
        delay_s: Seconds that each chunk takes longer.
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
        self.gates = {direction: asyncio.Event() for direction in Direction}
        for gate in self.gates.values():
            gate.set()
        self.delay_s = 0.0

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
        """Forwards everything again; connections that were silent end."""
        self.is_cut = False
        self.delay_s = 0.0
        if not all(gate.is_set() for gate in self.gates.values()):
            for writer in list(self.writers):
                writer.transport.abort()
        for gate in self.gates.values():
            gate.set()

    def hold(self, direction: Direction) -> None:
        """Lets the bytes of a direction wait until the link is healed."""
        self.gates[direction].clear()

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
            asyncio.create_task(self.copy(reader, target_writer, Direction.OUT)),
            asyncio.create_task(self.copy(target_reader, writer, Direction.BACK)),
        )
        try:
            await asyncio.wait(copies, return_when=asyncio.FIRST_COMPLETED)
        finally:
            for task in copies:
                task.cancel()
            self.writers -= pair
            for item in pair:
                item.close()

    async def copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        direction: "Direction",
    ) -> None:
        """Copies the bytes of one direction until their reader ends."""
        count = self.count_sent if direction is Direction.OUT else self.count_received
        with suppress(OSError):
            while data := await reader.read(CHUNK_BYTES):
                if self.delay_s:
                    await asyncio.sleep(self.delay_s)
                await self.gates[direction].wait()
                count(len(data))
                writer.write(data)
                await writer.drain()

    def count_sent(self, size: int) -> None:
        """Counts bytes on their way to the target."""
        self.sent_bytes += size

    def count_received(self, size: int) -> None:
        """Counts bytes on their way from the target."""
        self.received_bytes += size
