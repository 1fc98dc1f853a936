"""More calls to one address than connections.

The pattern: a burst of calls to the store or to one worker finds all of them in use.
Calls that wait are sent in order, and the callee is not suspected for their wait.
"""

import asyncio
import itertools

import aiohttp
import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer
from burdockthread_http.http_calls import NOT_SENT, HttpCalls
from burdockthread_model.clock import SystemClock
from burdockthread_model.events import EventLog
from burdockthread_model.load import LoadMonitor
from burdockthread_model.metrics import MemoryMetrics

CONNECTIONS = 4
CALLERS = 8
TIMEOUT_S = 0.5
ANSWER_S = 0.3
# One caller more than connections, each calling again at once.
BUSY_CALLERS = CONNECTIONS + 1
CALLS_EACH = 1_000


@pytest.fixture
async def calls():
    connector = aiohttp.TCPConnector(limit=0, limit_per_host=CONNECTIONS)
    load = LoadMonitor(SystemClock(), MemoryMetrics(), EventLog("test"))
    async with aiohttp.ClientSession(connector=connector) as session:
        yield HttpCalls(session, load)


@pytest.fixture
async def server():
    app = web.Application()

    async def prompt(request):
        return web.Response()

    async def slow(request):
        await asyncio.sleep(ANSWER_S)
        return web.Response()

    async def counted(request):
        return web.Response(text=str(next(counter)))

    counter = itertools.count(1)
    app.router.add_post("/counted", counted)
    app.router.add_post("/prompt", prompt)
    app.router.add_post("/slow", slow)
    async with TestServer(app) as server:
        yield f"http://{server.host}:{server.port}"


async def send(calls, url, timeout_s=TIMEOUT_S):
    return await calls.send("test", "POST", url, timeout_s)


# Guards against calls that overtake waiting ones until these time out.
async def test_no_call_starves_while_others_keep_the_connections_busy(calls, server):
    async def caller():
        for _ in range(CALLS_EACH):
            await send(calls, f"{server}/prompt")

    await asyncio.gather(*(caller() for _ in range(BUSY_CALLERS)))


async def test_waiting_calls_are_sent_in_order(calls, server):
    ended = []

    async def caller(number):
        await send(calls, f"{server}/slow", 2 * ANSWER_S)
        ended.append(number)

    await asyncio.gather(*(caller(number) for number in range(CALLERS)))
    assert set(ended[:CONNECTIONS]) == set(range(CONNECTIONS))


async def test_time_out_counts_from_when_a_call_is_sent(calls, server):
    sending = [send(calls, f"{server}/slow") for _ in range(CALLERS)]
    answers = await asyncio.gather(*sending)
    assert {answer.status for answer in answers} == {200}


async def test_call_that_got_no_connection_counts_as_not_sent(calls, server):
    sending = [
        asyncio.create_task(send(calls, f"{server}/slow", 2 * ANSWER_S))
        for _ in range(CONNECTIONS)
    ]
    await asyncio.sleep(ANSWER_S / 3)
    with pytest.raises(NOT_SENT):
        await send(calls, f"{server}/prompt", ANSWER_S / 3)
    await asyncio.gather(*sending)


async def test_addresses_without_calls_are_forgotten(calls, server):
    await send(calls, f"{server}/prompt")
    assert not calls.queues


# Guards against an order that is sent after its sender has given it up.
async def test_cancelled_call_that_waits_is_never_sent(calls, server):
    sending = [
        asyncio.create_task(send(calls, f"{server}/slow", 2 * ANSWER_S))
        for _ in range(CONNECTIONS)
    ]
    await asyncio.sleep(ANSWER_S / 3)
    waiting = asyncio.create_task(send(calls, f"{server}/counted", 2 * ANSWER_S))
    await asyncio.sleep(ANSWER_S / 3)
    waiting.cancel()
    await asyncio.gather(*sending, waiting, return_exceptions=True)
    answer = await send(calls, f"{server}/counted")
    assert answer.data == b"1"
