"""Answers of the callers' port while it serves and while it stops."""

import asyncio
import json
import time
from contextlib import asynccontextmanager, suppress

import pytest
import uvloop
from aiohttp import web
from aiohttp.web_protocol import RequestHandler
from burdockthread_http.http_server import GracefulServer, ListeningPort, serve
from burdockthread_model.addresses import Address
from burdockthread_model.clock import SystemClock
from burdockthread_model.events import EventLog
from burdockthread_platform.jobs_http import JobsPort
from burdockthread_scheduling.desk import Caller
from burdockthread_scheduling.request_relay import CallerAnswer
from burdockthread_scheduling.specs import QueueSpec
from ephemeral_port_reserve import reserve

HOST = "127.0.0.1"
REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
ANSWER_S = 0.2
FINISH_S = 0.3
QUEUE = QueueSpec("quotes", "jobs.example", "/quotes/", "pool-a")
JOB_PATH = f"/quotes/{'a' * 16}"
JOB = json.dumps({"specification": "", "steps": [{"count": 1}]}).encode()
CALLERS = 40
ANSWERS = 20 * CALLERS
LOAD_TIMEOUT_S = 30.0


async def answer(request):
    await asyncio.sleep(ANSWER_S)
    return web.Response(text="whole")


async def serve_until(port, stop):
    """Serves until the event is set."""
    server = GracefulServer("test", answer, SystemClock(), EventLog("test"))
    async with serve([ListeningPort(server, HOST, port)], FINISH_S):
        await stop.wait()


async def send_request(reader, writer):
    """Sends one request and reads its complete answer."""
    writer.write(REQUEST)
    return await reader.readuntil(b"whole")


async def test_stop_closes_idle_connections_before_another_request_is_read():
    port, stop = reserve(HOST), asyncio.Event()
    serving = asyncio.create_task(serve_until(port, stop))
    await asyncio.sleep(0.05)
    reader, writer = await asyncio.open_connection(HOST, port)
    await send_request(reader, writer)
    stop.set()
    started_s = time.monotonic()
    assert await reader.read() == b""
    assert time.monotonic() - started_s < 0.1
    writer.close()
    await serving


async def test_stop_lets_a_request_in_progress_finish():
    port, stop = reserve(HOST), asyncio.Event()
    serving = asyncio.create_task(serve_until(port, stop))
    await asyncio.sleep(0.05)
    reader, writer = await asyncio.open_connection(HOST, port)
    request = asyncio.create_task(send_request(reader, writer))
    await asyncio.sleep(ANSWER_S / 4)
    stop.set()
    assert b"200 OK" in await request
    assert await reader.read() == b""
    writer.close()
    await serving


class BrokenDesk:
    """A desk that fails with an unexpected error."""

    log = EventLog("test")

    def __init__(self, error):
        self.error = error

    async def identify(self, host, path, key=b""):
        raise self.error


async def response_bytes(desk, clock):
    """Returns the bytes that a caller receives from a port with a desk."""
    port = reserve(HOST)
    server = JobsPort(desk, clock).server
    async with serve([ListeningPort(server, HOST, port)], FINISH_S):
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(REQUEST.replace(b"Host", b"Connection: close\r\nHost"))
        found = await reader.read()
        writer.close()
    return found


async def test_internal_error_is_answered_with_verdict_unknown(clock, caplog):
    found = await response_bytes(BrokenDesk(ValueError("a fault")), clock)
    assert found.startswith(b"HTTP/1.1 504")
    assert b'"verdict": "unknown"' in found
    assert "event=request_failed" in caplog.text


async def test_disconnect_of_a_caller_is_not_logged_as_failure(clock, caplog):
    caplog.set_level("INFO")
    await response_bytes(BrokenDesk(ConnectionResetError("gone")), clock)
    assert "event=caller_gone" in caplog.text
    assert "request_failed" not in caplog.text


class SilentDesk:
    """A desk whose store never answers."""

    log = EventLog("test")

    async def identify(self, host, path, key=b""):
        return Caller(QUEUE, "")

    async def submit(self, queue, job, wait_s, *, is_open=False):
        await asyncio.Event().wait()

    async def state(self, job_id, wait_s):
        await asyncio.Event().wait()

    async def cancel(self, job_id, wait_s):
        await asyncio.Event().wait()


class PromptDesk(SilentDesk):
    """A desk that accepts every job immediately."""

    async def submit(self, queue, job, wait_s, *, is_open=False):
        return


def request_of(method, body=b""):
    head = f"{method} {JOB_PATH} HTTP/1.1\r\nHost: jobs.example\r\n"
    return f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body


@asynccontextmanager
async def stoppable_port(desk):
    """Yields the address of a port and the event that stops the port."""
    address, stop = Address(HOST, reserve(HOST)), asyncio.Event()

    async def serving():
        server = JobsPort(desk, SystemClock()).server
        async with serve([ListeningPort(server, *address)], FINISH_S):
            await stop.wait()

    task = asyncio.create_task(serving())
    await asyncio.sleep(0.05)
    yield address, stop
    stop.set()
    await task


# A stopping port must not drop the body of a request whose head it has read.
async def test_stop_reads_the_rest_of_a_request_and_answers():
    request = request_of("POST", JOB)
    async with stoppable_port(PromptDesk()) as (address, stop):
        reader, writer = await asyncio.open_connection(*address)
        writer.write(request[:-10])
        await asyncio.sleep(0.05)
        stop.set()
        await asyncio.sleep(0.05)
        writer.write(request[-10:])
        assert (await reader.read()).startswith(b"HTTP/1.1 200")
        writer.close()


# A stopping port must not close a request in progress without an answer.
@pytest.mark.parametrize(
    ("method", "body", "status", "verdict"),
    [
        ("POST", JOB, b"504", b"unknown"),
        ("DELETE", b"", b"504", b"unknown"),
        ("GET", b"", b"503", b"not_run"),
    ],
    ids=["submit", "cancel", "state"],
)
async def test_stop_answers_a_request_that_does_not_finish(
    method, body, status, verdict
):
    async with stoppable_port(SilentDesk()) as (address, stop):
        reader, writer = await asyncio.open_connection(*address)
        writer.write(request_of(method, body))
        await asyncio.sleep(0.05)
        stop.set()
        async with asyncio.timeout(2.0):
            answer = await reader.read()
        assert answer.startswith(b"HTTP/1.1 " + status)
        assert verdict in answer
        assert b"Retry-After" in answer
        writer.close()


async def ask_until_closed(address, answered, enough):
    """Sends requests without a pause, reconnecting until the port refuses."""
    while True:
        try:
            reader, writer = await asyncio.open_connection(*address)
        except OSError:
            return
        with suppress(OSError, asyncio.IncompleteReadError):
            while True:
                writer.write(request_of("POST", JOB))
                head = await reader.readuntil(b"\r\n\r\n")
                await reader.readexactly(2)
                answered.append(head)
                if len(answered) == ANSWERS:
                    enough.set()
        writer.close()


async def stop_under_load():
    """Stops a port under many callers; returns the answers that they received."""
    answered, enough = [], asyncio.Event()
    async with stoppable_port(PromptDesk()) as (address, stop):
        callers = [ask_until_closed(address, answered, enough) for _ in range(CALLERS)]
        asking = asyncio.gather(*callers)
        async with asyncio.timeout(LOAD_TIMEOUT_S):
            await enough.wait()
        stop.set()
        await asking
    return answered


# A stopping port must answer every request that it has read.
@pytest.mark.parametrize("run", [asyncio.run, uvloop.run], ids=["asyncio", "uvloop"])
def test_stop_answers_every_request_read(monkeypatch, run):
    read = []

    def data_received(self, data, wrapped=RequestHandler.data_received):
        read.append(data)
        wrapped(self, data)

    monkeypatch.setattr(RequestHandler, "data_received", data_received)
    answered = run(stop_under_load())
    assert len(answered) == len([data for data in read if data])


class LeavingRelay:
    """A relay that tells whether callers have left while it handles a request."""

    def __init__(self):
        self.asked = asyncio.Event()
        self.go_on = asyncio.Event()
        self.abandoned = None

    async def answer(self, request, handle, is_abandoned):
        self.asked.set()
        await self.go_on.wait()
        self.abandoned = is_abandoned()
        return CallerAnswer(200, b"{}")


@pytest.mark.parametrize("leaves", [True, False])
async def test_relay_learns_whether_the_caller_has_left(clock, log, leaves):
    """It passed on the jobs of callers that had left, and had cancelled them."""
    desk = BrokenDesk(ValueError("not used"))
    relay = LeavingRelay()
    port = reserve(HOST)
    server = JobsPort(desk, clock, relay).server
    async with serve([ListeningPort(server, HOST, port)], FINISH_S):
        _, writer = await asyncio.open_connection(HOST, port)
        writer.write(REQUEST)
        await relay.asked.wait()
        if leaves:
            writer.close()
            await writer.wait_closed()
            await asyncio.sleep(0.05)
        relay.go_on.set()
        await asyncio.sleep(0.05)
        writer.close()
    assert relay.abandoned is leaves
