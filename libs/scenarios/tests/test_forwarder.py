"""Tests of the link that a scenario can cut."""

import asyncio

import pytest
from burdockthread_scenarios.cluster import LOOPBACK
from burdockthread_scenarios.forwarder import Forwarder


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
