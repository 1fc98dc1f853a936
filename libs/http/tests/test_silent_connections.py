"""Open connections that go silent together, without a sign, while new ones work.

The pattern: a device between the processes forgets all connections at one moment.
"""

import asyncio

import aiohttp
import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer
from burdockthread_http.connections import TrackedConnector
from burdockthread_http.http_calls import ClientSessions, HttpCalls
from burdockthread_model.clock import SystemClock
from burdockthread_model.events import EventLog
from burdockthread_model.load import LoadMonitor
from burdockthread_model.metrics import MemoryMetrics

CONNECTIONS = 16
TIMEOUT_S = 0.4
HELD_S = 0.1


class Callee:
    """Server whose open connections can go silent.

    Attributes:
        connections: Connections on which a call has arrived.
        silent: Connections that give no answer any more.
        unanswered_paths: Paths whose calls get no answer on any connection.
        ended: Set at the end of the test.
    """

    def __init__(self):
        self.connections = set()
        self.silent = set()
        self.unanswered_paths = set()
        self.ended = asyncio.Event()

    def fall_silent(self):
        self.silent |= self.connections

    async def answer(self, request):
        self.connections.add(request.transport)
        if request.path == "/held":
            await asyncio.sleep(HELD_S)
        is_silent = request.transport in self.silent
        if is_silent or request.path in self.unanswered_paths:
            await self.ended.wait()
        return web.Response()


@pytest.fixture
def callee():
    return Callee()


@pytest.fixture
async def url(callee):
    app = web.Application()
    app.router.add_post("/{name}", callee.answer)
    async with TestServer(app) as server:
        yield f"http://{server.host}:{server.port}"
        callee.ended.set()


@pytest.fixture
async def calls():
    sessions = []
    for limit in (CONNECTIONS, CONNECTIONS, 0):
        connector = TrackedConnector(limit_per_host=limit, keepalive_timeout=60.0)
        sessions.append(aiohttp.ClientSession(connector=connector))
    load = LoadMonitor(SystemClock(), MemoryMetrics(), EventLog("test"))
    yield HttpCalls.from_sessions(ClientSessions(*sessions), load)
    for session in sessions:
        await session.close()


async def send(calls, url, **options):
    answer = await calls.send("test", "POST", url, TIMEOUT_S, **options)
    return answer.status


async def open_connections(calls, url):
    """Leaves all connections that calls may share idle."""
    await asyncio.gather(*(send(calls, f"{url}/held") for _ in range(CONNECTIONS)))


# Guards against a callee that answers on new connections and is out of reach until a
# call has timed out on each of the old ones.
@pytest.mark.parametrize("options", [{}, {"urgent": True}, {"waits": True}])
async def test_one_call_without_an_answer_drops_the_idle_connections(
    calls, url, callee, options
):
    await open_connections(calls, url)
    await send(calls, f"{url}/prompt", **options)
    callee.fall_silent()
    with pytest.raises(TimeoutError):
        await send(calls, f"{url}/prompt", **options)
    assert await send(calls, f"{url}/prompt") == 200
    assert await send(calls, f"{url}/prompt", urgent=True) == 200
    assert await send(calls, f"{url}/prompt", waits=True) == 200


# A write is given up by its caller before the call's own time-out.
async def test_call_given_up_without_an_answer_drops_the_idle_connections(
    calls, url, callee
):
    await open_connections(calls, url)
    callee.fall_silent()
    with pytest.raises(TimeoutError):
        async with asyncio.timeout(TIMEOUT_S * 0.9):
            await send(calls, f"{url}/prompt")
    assert await send(calls, f"{url}/prompt") == 200


# An order without an answer must not cost the connections that work.
async def test_connections_answered_meanwhile_are_kept(calls, url, callee):
    await open_connections(calls, url)
    callee.unanswered_paths.add("/order")
    ordering = asyncio.create_task(send(calls, f"{url}/order"))
    await asyncio.sleep(TIMEOUT_S / 2)
    await asyncio.gather(
        *(send(calls, f"{url}/held") for _ in range(CONNECTIONS - 1)),
    )
    with pytest.raises(TimeoutError):
        await ordering
    before = set(callee.connections)
    await asyncio.gather(
        *(send(calls, f"{url}/held") for _ in range(CONNECTIONS - 1)),
    )
    assert callee.connections == before
