"""What callers note of requests that are not answered."""

import asyncio

import aiohttp
import pytest
from aiohttp import web
from burdockthread_model.clock import SystemClock
from burdockthread_standins.job_load import (
    CallerRecord,
    JobLoad,
    LoadPlan,
    trace_of_connections,
)


@pytest.fixture
async def entry():
    """An entry that answers submissions and breaks off on questions."""

    async def answer(request):
        if request.method == "POST":
            return web.json_response({})
        await asyncio.sleep(0.3)
        request.transport.abort()
        return web.Response()

    runner = web.ServerRunner(web.Server(answer), shutdown_timeout=0.1)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    yield f"http://127.0.0.1:{runner.addresses[0][1]}"
    await runner.cleanup()


async def test_request_cut_on_a_held_connection_is_noted(entry):
    load = JobLoad(LoadPlan(), lambda: [entry], SystemClock(), 1)
    record = CallerRecord("j", "pool-a")
    traces = [trace_of_connections()]
    async with aiohttp.ClientSession(trace_configs=traces) as session:
        assert await load.request(session, "GET", record) == (0, {})
        assert await load.request(session, "POST", record) == (200, {})
        assert await load.request(session, "DELETE", record) == (0, {})
    fresh, held = load.cut
    assert not fresh.held
    assert held.held
    assert held.method == "DELETE"
    assert held.cut_s - held.sent_s >= 0.3
