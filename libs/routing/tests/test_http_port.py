import asyncio

import pytest
import uvloop
from aiohttp import web
from burdockthread_model.clock import SystemClock
from burdockthread_model.metrics import MemoryMetrics
from burdockthread_routing.http_port import BusyConnections, PortLimits, http_port

LIMITS = PortLimits(connections=1, stop_timeout_s=1.0)


async def refused_answer():
    """Returns what a connection beyond the bound gets."""
    port = http_port(
        "callers",
        web.Application(),
        BusyConnections(),
        SystemClock(),
        MemoryMetrics(),
        "127.0.0.1",
        0,
        LIMITS,
    )
    async with port as number:
        _, held = await asyncio.open_connection("127.0.0.1", number)
        reader, _ = await asyncio.open_connection("127.0.0.1", number)
        answer = await asyncio.wait_for(reader.read(), 5.0)
        held.close()
    return answer


@pytest.mark.parametrize("new_loop", [asyncio.new_event_loop, uvloop.new_event_loop])
def test_refusal_of_a_connection_is_sent_by_every_event_loop(new_loop):
    with asyncio.Runner(loop_factory=new_loop) as runner:
        answer = runner.run(refused_answer())
    assert answer.startswith(b"HTTP/1.1 503 ")
    assert answer.endswith(b'"verdict": "not_run"}')
