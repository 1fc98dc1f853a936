"""Graceful shutdown of the HTTP server."""

import asyncio
import random
import time
from contextlib import asynccontextmanager, suppress

import pytest
import uvloop
from aiohttp import web
from aiohttp.web_protocol import RequestHandler
from burdockthread_http.http_server import GracefulServer, ListeningPort, serve
from burdockthread_model.clock import SystemClock
from burdockthread_model.events import EventLog
from ephemeral_port_reserve import reserve

HOST = "127.0.0.1"
REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
FINISH_S = 0.2
CALLERS = 300
LONGEST_PAUSE_S = 0.02
ANSWERS_BEFORE_STOP = 3 * CALLERS
STOP_ROUNDS = 5
ROUND_TIMEOUT_S = 30.0


async def answer_at_once(request):
    return web.Response(text="whole")


async def never_answer(request):
    await asyncio.Event().wait()


async def ignore_first_cancellation(request):
    """Ignores the first cancellation and waits on."""
    with suppress(asyncio.CancelledError):
        await asyncio.Event().wait()
    await asyncio.Event().wait()


@asynccontextmanager
async def stoppable_ports(*answers):
    """Yields the addresses of ports, one per handler, and an event that stops them."""
    clock, log, stop = SystemClock(), EventLog("test"), asyncio.Event()
    servers = [GracefulServer("test", answer, clock, log) for answer in answers]
    ports = [ListeningPort(server, HOST, reserve(HOST)) for server in servers]

    async def serving():
        async with serve(ports, FINISH_S):
            await stop.wait()

    task = asyncio.create_task(serving())
    await asyncio.sleep(0.05)
    yield [(HOST, port.port) for port in ports], stop
    stop.set()
    await task


async def send_requests_with_pauses(address, answered, enough, numbers):
    """Sends requests on one connection, with pauses, until it is closed."""
    with suppress(OSError, asyncio.IncompleteReadError):
        reader, writer = await asyncio.open_connection(*address)
        while True:
            writer.write(REQUEST)
            answered.append(await reader.readuntil(b"whole"))
            if len(answered) == ANSWERS_BEFORE_STOP:
                enough.set()
            await asyncio.sleep(numbers.uniform(0, LONGEST_PAUSE_S))


async def stop_under_load():
    """Stops a port while callers use open connections; returns their answers."""
    answered, enough, numbers = [], asyncio.Event(), random.Random(1)
    async with stoppable_ports(answer_at_once) as ((address,), stop):
        asking = asyncio.gather(
            *(
                send_requests_with_pauses(address, answered, enough, numbers)
                for _ in range(CALLERS)
            )
        )
        async with asyncio.timeout(ROUND_TIMEOUT_S):
            await enough.wait()
        await asyncio.sleep(LONGEST_PAUSE_S)
        stop.set()
        await asking
    return answered


# Guards against requests that are read from a connection while it is closed as idle
# and are lost with it.
@pytest.mark.parametrize("run", [asyncio.run, uvloop.run], ids=["asyncio", "uvloop"])
def test_no_request_is_read_on_a_connection_that_is_closed_as_idle(monkeypatch, run):
    read = []

    def data_received(self, data, wrapped=RequestHandler.data_received):
        read.append(data)
        wrapped(self, data)

    monkeypatch.setattr(RequestHandler, "data_received", data_received)
    answered = [answer for _ in range(STOP_ROUNDS) for answer in run(stop_under_load())]
    assert len(answered) == len([data for data in read if data])


async def test_aborted_request_is_answered_and_logged(caplog):
    async with stoppable_ports(never_answer) as ((address,), stop):
        reader, writer = await asyncio.open_connection(*address)
        writer.write(REQUEST)
        await asyncio.sleep(0.05)
        stop.set()
        assert (await reader.read()).startswith(b"HTTP/1.1 503")
        writer.close()
    assert "event=request_given_up port=test method=GET path=/" in caplog.text


# Guards against a stop that exceeds its time limit because the ports close one after
# the other.
async def test_ports_whose_requests_ignore_cancellation_close_concurrently():
    async with stoppable_ports(*[ignore_first_cancellation] * 4) as (addresses, _):
        writers = []
        for address in addresses:
            _, writer = await asyncio.open_connection(*address)
            writer.write(REQUEST)
            writers.append(writer)
        await asyncio.sleep(0.05)
        started_s = time.monotonic()
    assert time.monotonic() - started_s < 2 * FINISH_S + 0.5
    for writer in writers:
        writer.close()


async def test_other_ports_close_although_one_port_fails_to_close(monkeypatch, caplog):
    finish = GracefulServer.finish
    failing = []

    async def finish_once(self, timeout_s):
        await finish(self, timeout_s)
        if not failing:
            failing.append(self)
            raise RuntimeError("injected fault")

    monkeypatch.setattr(GracefulServer, "finish", finish_once)
    async with stoppable_ports(answer_at_once, answer_at_once) as (addresses, stop):
        readers = [(await asyncio.open_connection(*a))[0] for a in addresses]
        stop.set()
        assert [await reader.read() for reader in readers] == [b"", b""]
    assert "event=port_not_closed" in caplog.text
