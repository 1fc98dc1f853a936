"""Tests of the links that a scenario can cut."""

import asyncio
from contextlib import asynccontextmanager

import pytest
from burdockthread_peers.frames import handshake, new_hello
from burdockthread_scenarios.cluster import LOOPBACK
from burdockthread_scenarios.forwarder import PeerForwarder
from burdockthread_standins.forwarder import Direction, Forwarder

KEY = b"a-key"


@pytest.fixture
async def forwarder():
    async def accept(reader, writer):
        try:
            await handshake(reader, writer, new_hello("c", "1"), KEY, dialled=False)
            writer.write(await reader.read(100))
        except (OSError, EOFError):
            pass
        writer.close()

    server = await asyncio.start_server(accept, LOOPBACK, 0)
    port = server.sockets[0].getsockname()[1]
    links = {name: Forwarder(LOOPBACK, port) for name in ("a", "b")}
    async with PeerForwarder(LOOPBACK, links).running() as running:
        yield running
    server.close()


@asynccontextmanager
async def dialled(forwarder, name):
    reader, writer = await asyncio.open_connection(LOOPBACK, forwarder.port)
    try:
        async with asyncio.timeout(5.0):
            hello = new_hello(name, "1")
            await handshake(reader, writer, hello, KEY, dialled=True)
            yield reader, writer
    finally:
        writer.close()


async def echo(reader, writer):
    writer.write(b"ping")
    return await reader.read(100)


async def test_a_link_is_cut_for_the_entry_that_dials_over_it(forwarder):
    async with dialled(forwarder, "a") as a, dialled(forwarder, "b") as b:
        forwarder.links["a"].cut()
        with pytest.raises((OSError, EOFError)):
            await a[0].readexactly(1)
        assert await echo(*b) == b"ping"
    with pytest.raises((OSError, EOFError)):
        async with dialled(forwarder, "a"):
            pass
    forwarder.links["a"].heal()
    async with dialled(forwarder, "a") as again:
        assert await echo(*again) == b"ping"


async def test_a_stranger_is_refused(forwarder):
    with pytest.raises((OSError, EOFError)):
        async with dialled(forwarder, "x"):
            pass


async def answer_twice(reader, writer):
    writer.write(2 * await reader.readexactly(3))
    await writer.drain()


@pytest.fixture
async def target():
    async with await asyncio.start_server(answer_twice, LOOPBACK, 0) as server:
        yield server.sockets[0].getsockname()[1]


async def test_bytes_of_each_direction_are_counted(target):
    async with Forwarder(LOOPBACK, target).running() as link:
        reader, writer = await asyncio.open_connection(LOOPBACK, link.port)
        writer.write(b"abc")
        assert await reader.readexactly(6) == b"abcabc"
        assert (link.sent_bytes, link.received_bytes) == (3, 6)
        writer.close()


@pytest.mark.parametrize("direction", list(Direction))
async def test_held_direction_waits_and_its_connections_end_when_healed(direction):
    async def echo(reader, writer):
        while data := await reader.read(100):
            writer.write(data)

    server = await asyncio.start_server(echo, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    async with Forwarder("127.0.0.1", port).running() as link:
        reader, writer = await asyncio.open_connection("127.0.0.1", link.port)
        writer.write(b"one")
        assert await reader.read(100) == b"one"
        link.hold(direction)
        writer.write(b"two")
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.1):
                await reader.read(100)
        link.heal()
        with pytest.raises((ConnectionError, EOFError)):
            await reader.readexactly(3)
        writer.close()
    server.close()
