"""Applications whose handlers read the bodies of their requests."""

import asyncio
from contextlib import asynccontextmanager

import pytest
from aiohttp import web
from burdockthread_http.application_server import ApplicationPort, application_server
from burdockthread_http.connection_guard import ConnectionGuard
from burdockthread_http.connection_limits import PortLimits
from burdockthread_http.guarded_server import read_body
from burdockthread_http.http_server import ListeningPort, serve
from burdockthread_http.open_requests import OpenRequests
from burdockthread_http.received_bytes import ReceivedBytes
from burdockthread_model.clock import SystemClock
from burdockthread_model.events import EventLog
from burdockthread_model.metrics import MemoryMetrics

HOST = "127.0.0.1"
LIMITS = PortLimits(body_bytes=100_000, idle_timeout_s=2.0)
HEADERS = {"Verdict": "not_run"}
POST = b"POST /%s HTTP/1.1\r\nHost: a\r\nContent-Length: 90000\r\n\r\n"


class Handlers:
    """Handlers that answer with or without the body.

    Attributes:
        bodies: Bodies that were read.
        may_answer: Awaited by the handler that answers later.
    """

    def __init__(self):
        self.bodies = []
        self.may_answer = asyncio.Event()

    async def read(self, request):
        self.bodies.append(await read_body(request))
        return web.Response(text="read")

    async def answer_at_once(self, request):
        return web.Response(text="at once", status=401)

    async def answer_later(self, request):
        await self.may_answer.wait()
        return web.Response(text="later")

    def application(self):
        app = web.Application(client_max_size=LIMITS.body_bytes)
        app.router.add_post("/read", self.read)
        app.router.add_post("/at-once", self.answer_at_once)
        app.router.add_post("/later", self.answer_later)
        return app


@pytest.fixture
def handlers():
    return Handlers()


@pytest.fixture
def guard():
    return ConnectionGuard(ReceivedBytes(200_000), MemoryMetrics(), EventLog("test"))


@asynccontextmanager
async def running(handlers, guard, requests):
    port = ApplicationPort(
        "test",
        handlers.application(),
        requests,
        lambda: web.Response(status=504),
        HEADERS,
    )
    clock, log = SystemClock(), EventLog("test")
    async with (
        application_server(port, clock, log, guard, lambda: LIMITS) as server,
        serve([ListeningPort(server, HOST, 0)], 0.2) as (number,),
    ):
        yield number


@pytest.fixture
async def ask(handlers, guard):
    """Sends the start of a request, then pieces of its body until the end."""

    async def send(path, start, pieces=0):
        async with running(handlers, guard, OpenRequests()) as port:
            reader, writer = await asyncio.open_connection(HOST, port)
            writer.write(POST % path + b"x" * start)
            for _ in range(pieces):
                await asyncio.sleep(0.1)
                writer.write(b"x" * 1_000)
            answer = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 10.0)
            answer += await asyncio.wait_for(reader.read(100), 10.0)
            writer.close()
            return answer

    return send


async def until(condition):
    async with asyncio.timeout(10.0):
        while True:
            if condition():
                return
            await asyncio.sleep(0.01)


async def test_handler_reads_the_body(ask, handlers):
    answer = await ask(b"read", 80_000, pieces=10)
    assert answer.startswith(b"HTTP/1.1 200 ")
    assert handlers.bodies == [b"x" * 90_000]


async def test_body_that_stalls_is_refused_with_the_headers_of_the_port(ask, handlers):
    answer = await ask(b"read", 100)
    assert answer.startswith(b"HTTP/1.1 408 ")
    assert b"\r\nVerdict: not_run\r\n" in answer
    assert handlers.bodies == []


async def test_answer_before_the_body_closes_the_connection(ask, guard):
    answer = await ask(b"at-once", 50_000, pieces=3)
    assert answer.startswith(b"HTTP/1.1 401 ")
    assert b"\r\nConnection: close\r\n" in answer
    assert answer.endswith(b"at once")
    assert guard.budget.used == 0


# Guards against an answer that is lost because the connection of a request whose body
# was given up meanwhile is closed with unread data.
async def test_answer_after_the_body_was_given_up_closes_the_connection(
    ask, handlers, guard
):
    asking = asyncio.create_task(ask(b"later", 100))
    await until(lambda: guard.metrics.counters["clients.refused.test.body_stalled"])
    handlers.may_answer.set()
    answer = await asking
    assert answer.startswith(b"HTTP/1.1 200 ")
    assert b"\r\nConnection: close\r\n" in answer
    assert answer.endswith(b"later")


async def test_request_that_is_aborted_as_the_port_closes_is_answered(handlers, guard):
    requests = OpenRequests()
    async with running(handlers, guard, requests) as port:
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(POST % b"later" + b"x" * 90_000)
        await until(requests.total)
    answer = await asyncio.wait_for(reader.read(), 5.0)
    writer.close()
    assert answer.startswith(b"HTTP/1.1 504 ")
