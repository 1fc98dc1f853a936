import asyncio
from contextlib import AsyncExitStack
from typing import NamedTuple

import pytest
from burdockthread_model.clock import MemoryClock
from burdockthread_model.errors import PeerProtocolError, PeerUnavailableError
from burdockthread_model.events import EventLog
from burdockthread_model.settings import PeerSettings
from burdockthread_peers import link as link_module
from burdockthread_peers.frames import (
    MAX_HANDSHAKE_BYTES,
    handshake,
    new_hello,
    read_payload,
)
from burdockthread_peers.stream_mesh import MAX_UNAUTHENTICATED, StreamMesh

LOOPBACK = "127.0.0.1"
KEY = "a-key-for-the-tests"
TIMEOUT_S = 20.0


class Echo(NamedTuple):
    """A message that is answered by itself."""

    text: str


class Meshes:
    """Meshes on the loopback interface, connected by `joined`."""

    def __init__(self):
        self.clock = MemoryClock()
        self.stack = AsyncExitStack()

    async def start(self, name, key=KEY):
        address = {"host": LOOPBACK, "port": 0}
        settings = {"name": name, "peer_key": key, "peers": address}
        settings["entries"] = [peer_settings(name, 0)]
        mesh = StreamMesh(settings, self.clock, EventLog(name))
        mesh.register(Echo, Echo, answer_echo)
        await self.stack.enter_async_context(mesh.running())
        return mesh

    async def until(self, condition):
        """Waits for a condition while sockets work and the clock advances."""
        async with asyncio.timeout(TIMEOUT_S):
            while not condition():
                await asyncio.sleep(0.001)
                await self.clock.advance(0.02)

    async def joined(self, first, second):
        first.add_peer(peer_settings(second.name, second.port))
        await self.until(lambda: is_up(first, second.name))


def peer_settings(name, port):
    return PeerSettings(
        name=name, host=LOOPBACK, port=port, availability_zone="z", region="r"
    )


def is_up(mesh, name):
    return mesh.links[name].writer is not None


async def answer_echo(sender, message):
    return message


async def dial(mesh):
    return await asyncio.open_connection(LOOPBACK, mesh.port)


async def is_closed(reader):
    async with asyncio.timeout(TIMEOUT_S):
        try:
            while await reader.read(65_536):
                pass
        except ConnectionError:
            pass
    return True


@pytest.fixture
async def meshes():
    meshes = Meshes()
    async with meshes.stack:
        yield meshes


async def test_entries_call_each_other(meshes):
    a, b = await meshes.start("a"), await meshes.start("b")
    await meshes.joined(a, b)
    assert await a.call("b", Echo("x"), Echo, 5.0) == Echo("x")


async def test_a_wrong_key_ends_that_stream_alone(meshes):
    a, b = await meshes.start("a"), await meshes.start("b")
    await meshes.joined(a, b)
    reader, writer = await dial(b)
    hello = new_hello("x", "1")
    with pytest.raises(PeerProtocolError):
        await handshake(reader, writer, hello, b"another key", dialled=True)
    assert await is_closed(reader)
    writer.close()
    assert set(b.incoming) == {"a"}
    assert await a.call("b", Echo("y"), Echo, 5.0) == Echo("y")


async def test_a_malformed_frame_ends_that_stream_alone(meshes):
    a, b = await meshes.start("a"), await meshes.start("b")
    await meshes.joined(a, b)
    reader, writer = await dial(b)
    await handshake(reader, writer, new_hello("x", "1"), KEY.encode(), dialled=True)
    writer.write(b"\x00\x00\x00\x01\xc1")
    assert await is_closed(reader)
    writer.close()
    assert await a.call("b", Echo("y"), Echo, 5.0) == Echo("y")


async def test_a_recorded_handshake_is_refused(meshes):
    b = await meshes.start("b")
    reader, writer = await dial(b)
    sent = []
    write = writer.write
    writer.write = lambda data: (sent.append(data), write(data))
    await handshake(reader, writer, new_hello("x", "1"), KEY.encode(), dialled=True)
    await meshes.until(lambda: "x" in b.incoming)
    writer.close()
    await meshes.until(lambda: "x" not in b.incoming)
    reader, writer = await dial(b)
    writer.write(b"".join(sent))
    assert await is_closed(reader)
    writer.close()
    assert "x" not in b.incoming


async def test_a_reflected_handshake_is_refused(meshes):
    b = await meshes.start("b")
    reader, writer = await dial(b)
    for _ in range(2):
        length = await reader.readexactly(4)
        data = await reader.readexactly(int.from_bytes(length, "big"))
        writer.write(length + data)
    assert await is_closed(reader)
    writer.close()
    assert not b.incoming


async def test_the_number_of_unauthenticated_streams_is_limited(meshes):
    b = await meshes.start("b")
    streams = [await dial(b) for _ in range(MAX_UNAUTHENTICATED)]
    await meshes.until(lambda: len(b.unauthenticated) == MAX_UNAUTHENTICATED)
    streams.append(await dial(b))
    (oldest, _), *others = streams
    assert await is_closed(oldest)
    assert len(b.unauthenticated) == MAX_UNAUTHENTICATED
    for number, (reader, writer) in enumerate(others):
        hello = new_hello(f"x-{number}", "1")
        await handshake(reader, writer, hello, KEY.encode(), dialled=True)
        writer.close()


async def test_a_silent_unauthenticated_stream_is_closed(meshes):
    b = await meshes.start("b")
    reader, writer = await dial(b)
    await read_payload(reader, MAX_HANDSHAKE_BYTES)
    await meshes.clock.advance(6.0)
    assert await is_closed(reader)
    writer.close()


async def test_a_newer_stream_replaces_the_older(meshes):
    b = await meshes.start("b")
    first, writer = await dial(b)
    await handshake(first, writer, new_hello("x", "1"), KEY.encode(), dialled=True)
    second, other = await dial(b)
    await handshake(second, other, new_hello("x", "2"), KEY.encode(), dialled=True)
    assert await is_closed(first)
    assert len(b.incoming) == 1
    writer.close()
    other.close()


async def silent_server(streams):
    """Accepts streams, completes the handshake and then sends nothing."""

    async def serve(reader, writer):
        hello = new_hello("mute", "1")
        await handshake(reader, writer, hello, KEY.encode(), dialled=False)
        streams.append((reader, writer))

    return await asyncio.start_server(serve, LOOPBACK, 0, limit=1_024)


async def test_a_silent_stream_is_opened_again(meshes):
    streams = []
    server = await silent_server(streams)
    a = await meshes.start("a")
    a.add_peer(peer_settings("mute", server.sockets[0].getsockname()[1]))
    await meshes.until(lambda: len(streams) >= 2)
    server.close()
    for _, writer in streams:
        writer.close()


async def test_a_slow_entry_does_not_fill_memory(meshes, monkeypatch):
    streams = []
    server = await silent_server(streams)
    a = await meshes.start("a")
    a.add_peer(peer_settings("mute", server.sockets[0].getsockname()[1]))
    await meshes.until(lambda: is_up(a, "mute"))
    for _ in range(100):
        a.broadcast(Echo("x" * 500_000))
    writer = a.links["mute"].writer
    buffered = writer.transport.get_write_buffer_size()
    assert buffered <= link_module.MAX_BUFFER_BYTES + 500_100
    assert a.traffic.dropped
    with pytest.raises(PeerUnavailableError):
        await a.call("mute", Echo("y"), Echo, 5.0)
    server.close()
    for _, other in streams:
        other.close()


async def test_calls_that_wait_are_bounded(meshes, monkeypatch):
    monkeypatch.setattr(link_module, "MAX_PENDING_CALLS", 2)
    streams = []
    server = await silent_server(streams)
    a = await meshes.start("a")
    a.add_peer(peer_settings("mute", server.sockets[0].getsockname()[1]))
    await meshes.until(lambda: is_up(a, "mute"))
    a.links["mute"].pending = {n: asyncio.Future() for n in (-1, -2)}
    with pytest.raises(PeerUnavailableError):
        await a.call("mute", Echo("y"), Echo, 5.0)
    a.links["mute"].pending.clear()
    server.close()
    for _, other in streams:
        other.close()
