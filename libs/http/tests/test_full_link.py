"""Calls over a link that other answers fill.

The pattern: a large answer takes seconds on a slow link; the answers to short calls
wait behind it, and no callee may be suspected for that.
"""

import asyncio
import time

import aiohttp
import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer
from burdockthread_http.http_calls import (
    MAX_TIMEOUT_FACTOR,
    HttpCalls,
    running_timeout,
)
from burdockthread_model.clock import SystemClock
from burdockthread_model.errors import AnswerTooLargeError
from burdockthread_model.events import EventLog
from burdockthread_model.load import TICK_S, LoadMonitor
from burdockthread_model.metrics import MemoryMetrics

TIMEOUT_S = 0.2
LINK_BYTES_PER_S = 1_000_000
LARGE = b"x" * 600_000


@pytest.fixture
async def load():
    found = LoadMonitor(
        SystemClock(), MemoryMetrics(), EventLog("test"), LINK_BYTES_PER_S
    )
    measuring = asyncio.create_task(found.run())
    yield found
    measuring.cancel()


@pytest.fixture
async def url():
    app = web.Application()

    async def large(request):
        return web.Response(body=LARGE)

    app.router.add_get("/large", large)
    async with TestServer(app) as server:
        yield f"http://{server.host}:{server.port}/large"


async def test_call_outlasts_its_time_out_while_the_link_is_full(load):
    answer = asyncio.get_running_loop().create_future()

    async def call():
        async with running_timeout(load, TIMEOUT_S):
            return await answer

    calling = asyncio.create_task(call())
    for _ in range(6):
        load.note_received(int(LINK_BYTES_PER_S * TICK_S))
        await asyncio.sleep(TICK_S)
    answer.set_result("late")
    assert await calling == "late"


async def test_call_ends_even_if_the_link_stays_full(load):
    started_s = time.monotonic()

    async def fill():
        while True:
            load.note_received(LINK_BYTES_PER_S)
            await asyncio.sleep(TICK_S / 2)

    filling = asyncio.create_task(fill())
    with pytest.raises(TimeoutError):
        async with running_timeout(load, TIMEOUT_S):
            await asyncio.Event().wait()
    filling.cancel()
    assert time.monotonic() - started_s < TIMEOUT_S * MAX_TIMEOUT_FACTOR + 0.5


async def test_answer_that_is_not_wanted_is_not_read(load, url):
    async with aiohttp.ClientSession() as session:
        calls = HttpCalls(session, load)
        with pytest.raises(AnswerTooLargeError):
            await calls.send("large", "GET", url, TIMEOUT_S, most_bytes=len(LARGE) - 1)
    assert load.traffic["large"] == 0
