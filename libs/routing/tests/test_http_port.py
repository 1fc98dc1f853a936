import asyncio
import random
import socket
from contextlib import asynccontextmanager, suppress

import pytest
import uvloop
from aiohttp import web
from aiohttp.web_protocol import RequestHandler
from burdockthread_http.connection_guard import ConnectionGuard
from burdockthread_http.connection_limits import PortLimits
from burdockthread_http.open_requests import OpenRequests
from burdockthread_model.clock import SystemClock
from burdockthread_model.events import EventLog
from burdockthread_routing.http_port import http_port

LIMITS = PortLimits(connections=1)
REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
CALLERS = 300
LONGEST_PAUSE_S = 0.02
ANSWERS = 10 * CALLERS
STORM_TIMEOUT_S = 30.0


def serving(app, requests, limits):
    """Returns a port that serves an application."""
    log = EventLog("test")
    guard = ConnectionGuard.with_defaults(log)
    return http_port(
        "callers",
        app,
        requests,
        lambda error: web.Response(status=error.status),
        SystemClock(),
        log,
        guard,
        "127.0.0.1",
        0,
        limits,
        stop_timeout_s=1.0,
    )


@asynccontextmanager
async def held_port(limits):
    """Yields a port whose requests wait, and the requests in progress."""
    released, requests = asyncio.Event(), OpenRequests()

    async def hold(request):
        await released.wait()
        return web.Response()

    app = web.Application()
    app.router.add_get("/", hold)
    async with serving(app, requests, limits) as number:
        yield number, requests
        released.set()


async def refused_answer():
    """Returns the answer to a connection above the limit, as all others are busy."""
    async with held_port(LIMITS) as (number, requests):
        _, held = await asyncio.open_connection("127.0.0.1", number)
        held.write(REQUEST)
        for _ in range(500):
            if requests:
                break
            await asyncio.sleep(0.01)
        reader, _ = await asyncio.open_connection("127.0.0.1", number)
        answer = await asyncio.wait_for(reader.read(), 5.0)
        held.close()
    return answer


@pytest.mark.parametrize("new_loop", [asyncio.new_event_loop, uvloop.new_event_loop])
def test_refusal_of_a_connection_is_sent_by_every_event_loop(new_loop):
    with asyncio.Runner(loop_factory=new_loop) as runner:
        answer = runner.run(refused_answer())
    assert b" 503 " in answer.split(b"\r\n")[0]
    assert b"\r\nBurdockthread-Verdict: not_run\r\n" in answer
    assert b"\r\nRetry-After: 1\r\n" in answer
    assert answer.endswith(b'"verdict": "not_run"}')


def greeting_port(limits):
    """Returns a port whose application answers at once."""

    async def greet(request):
        return web.Response(text="hello")

    app = web.Application()
    app.router.add_get("/", greet)
    return serving(app, OpenRequests(), limits)


async def answers_at_the_end(turns):
    """Returns the answer to a request on a connection made as the port closes.

    Args:
        turns: Iterations of the event loop between the request and the close.
    """
    async with greeting_port(LIMITS) as number:
        caller = socket.create_connection(("127.0.0.1", number))
        caller.sendall(REQUEST)
        for _ in range(turns):
            await asyncio.sleep(0)
    caller.settimeout(5.0)
    with caller:
        try:
            return caller.recv(100)
        except ConnectionError:
            return b""


# Guards against losing requests as the port closes: a connection accepted during the
# close was not among those it waited for, and one not accepted yet was reset.
@pytest.mark.parametrize("turns", range(6))
@pytest.mark.parametrize("new_loop", [asyncio.new_event_loop, uvloop.new_event_loop])
def test_request_on_a_connection_made_as_the_port_closes_is_answered(new_loop, turns):
    with asyncio.Runner(loop_factory=new_loop) as runner:
        answer = runner.run(answers_at_the_end(turns))
    assert answer.startswith(b"HTTP/1.1 200 ")


async def ask_now_and_then(number, answered, enough, numbers):
    """Sends requests on one connection, with pauses, until the server closes it."""
    with suppress(OSError, asyncio.IncompleteReadError):
        reader, writer = await asyncio.open_connection("127.0.0.1", number)
        while True:
            writer.write(REQUEST)
            answered.append(await reader.readuntil(b"hello"))
            if len(answered) == ANSWERS:
                enough.set()
            await asyncio.sleep(numbers.uniform(0, LONGEST_PAUSE_S))


async def storm():
    """Closes a port under load from many connections; returns the answers."""
    answered, enough, numbers = [], asyncio.Event(), random.Random(1)
    async with greeting_port(PortLimits(connections=2 * CALLERS)) as number:
        asking = asyncio.gather(
            *(
                ask_now_and_then(number, answered, enough, numbers)
                for _ in range(CALLERS)
            )
        )
        async with asyncio.timeout(STORM_TIMEOUT_S):
            await enough.wait()
        await asyncio.sleep(LONGEST_PAUSE_S)
    await asking
    return answered


# Guards against a request on an idle connection that is read and dropped in the
# iteration of the event loop that closes the connection.
@pytest.mark.parametrize("new_loop", [asyncio.new_event_loop, uvloop.new_event_loop])
def test_no_request_is_read_on_a_connection_closed_as_idle(monkeypatch, new_loop):
    read = []

    def data_received(self, data, wrapped=RequestHandler.data_received):
        read.append(data)
        wrapped(self, data)

    monkeypatch.setattr(RequestHandler, "data_received", data_received)
    with asyncio.Runner(loop_factory=new_loop) as runner:
        answered = runner.run(storm())
    assert len(answered) == len([data for data in read if data])
