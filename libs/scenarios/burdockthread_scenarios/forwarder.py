"""Forwards the streams of entries, each link by the name of who dials."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import msgpack
from burdockthread_model.errors import PeerProtocolError
from burdockthread_peers.frames import (
    MAX_HANDSHAKE_BYTES,
    parse_hello,
    read_payload,
    with_length,
)
from burdockthread_standins.forwarder import Forwarder


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
