"""More watches of the store than connections that calls share.

The pattern: an entry that is left alone holds every pool and watches each of them.
"""

import asyncio
from contextlib import AsyncExitStack

import aiohttp
import pytest
from aiohttp.test_utils import TestServer
from burdockthread_http.http_calls import ClientSessions, HttpCalls
from burdockthread_model.clock import SystemClock
from burdockthread_model.events import EventLog
from burdockthread_model.load import LoadMonitor
from burdockthread_model.metrics import MemoryMetrics
from burdockthread_platform.kv_store import PlatformStore
from burdockthread_standins.emulated_store import EmulatedStore
from burdockthread_store.settled_store import RESOLVE_AFTER_S, SettledStore
from burdockthread_store.store import ANY_REVISION, Change

CONNECTIONS = 4
# Pools of the largest target, and the watches of an entry without any.
WATCHES = 44 + 4
WRITES = 20
PROMPT_S = 0.5


class SlowListings(EmulatedStore):
    """Store that answers listings after `listing_s` seconds."""

    listing_s = 0.0

    async def range(self, request):
        await asyncio.sleep(self.listing_s)
        return await super().range(request)


@pytest.fixture
async def emulated():
    found = SlowListings(SystemClock())
    async with TestServer(found.application()) as server:
        found.address = f"{server.host}:{server.port}"
        yield found


@pytest.fixture
def metrics():
    return MemoryMetrics()


@pytest.fixture
async def store(emulated, metrics):
    clock = SystemClock()
    load = LoadMonitor(clock, metrics, EventLog("test"))
    async with AsyncExitStack() as stack:
        sessions = []
        for limit in (CONNECTIONS, CONNECTIONS, 0):
            connector = aiohttp.TCPConnector(limit=0, limit_per_host=limit)
            session = aiohttp.ClientSession(connector=connector)
            sessions.append(await stack.enter_async_context(session))
        calls = HttpCalls.from_sessions(ClientSessions(*sessions), load)
        client = PlatformStore(emulated.address, calls, clock, {})
        yield SettledStore(client, "entry-1", clock, metrics, load)


# Guards against calls that wait for connections on which watches wait for changes.
async def test_watches_leave_the_connections_of_other_calls_free(store):
    revision = await store.write([Change("a", b"1", ANY_REVISION)])

    async def follow(number):
        async for _ in store.watch(f"work/{number}/", revision):
            pass

    watching = [asyncio.create_task(follow(number)) for number in range(WATCHES)]
    await asyncio.sleep(0.1)
    for number in range(WRITES):
        async with asyncio.timeout(PROMPT_S):
            await store.write([Change("a", b"%d" % number, ANY_REVISION)])
    for task in watching:
        task.cancel()
    await asyncio.gather(*watching, return_exceptions=True)


# Guards against a write that is taken for lost, and fenced off, before it was sent.
async def test_write_that_waits_for_a_connection_is_not_taken_for_lost(
    store, emulated, metrics
):
    await store.write([Change("a", b"1", ANY_REVISION)])
    emulated.listing_s = RESOLVE_AFTER_S * 1.5
    reading = [asyncio.create_task(store.list("b/")) for _ in range(CONNECTIONS)]
    await asyncio.sleep(0.05)
    await store.write([Change("a", b"2", ANY_REVISION)])
    assert metrics.counters["store.lost_answers"] == 0
    await asyncio.gather(*reading)
