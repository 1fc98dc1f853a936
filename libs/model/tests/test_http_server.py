"""How a server that answers what it has read closes."""

import asyncio
import random
import time
from contextlib import asynccontextmanager, suppress

import pytest
import uvloop
from aiohttp import web
from aiohttp.web_protocol import RequestHandler
from burdockthread_model.clock import SystemClock
from burdockthread_model.events import EventLog
from burdockthread_model.http_server import GracefulServer, ListeningPort, serve
from ephemeral_port_reserve import reserve

HOST = "127.0.0.1"
REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
FINISH_S = 0.2
CALLERS = 300
LONGEST_PAUSE_S = 0.02
ANSWERS = 3 * CALLERS
STORMS = 5
STORM_TIMEOUT_S = 30.0


async def whole(request):
    return web.Response(text="whole")


async def never(request):
    await asyncio.Event().wait()


async def stubborn(request):
    """Does not end when it is told to for the first time."""
    with suppress(asyncio.CancelledError):
        await asyncio.Event().wait()
    await asyncio.Event().wait()


@asynccontextmanager
async def stoppable_ports(*answers):
    """Yields the addresses of ports, and an event that stops them."""
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


async def ask_now_and_then(address, answered, enough, numbers):
    """Asks on one connection, with pauses, until it or the port is closed."""
    with suppress(OSError, asyncio.IncompleteReadError):
        reader, writer = await asyncio.open_connection(*address)
        while True:
            writer.write(REQUEST)
            answered.append(await reader.readuntil(b"whole"))
            if len(answered) == ANSWERS:
                enough.set()
            await asyncio.sleep(numbers.uniform(0, LONGEST_PAUSE_S))


async def storm():
    """Stops a port amid callers with open connections; returns their answers."""
    answered, enough, numbers = [], asyncio.Event(), random.Random(1)
    async with stoppable_ports(whole) as ((address,), stop):
        asking = asyncio.gather(
            *(
                ask_now_and_then(address, answered, enough, numbers)
                for _ in range(CALLERS)
            )
        )
        async with asyncio.timeout(STORM_TIMEOUT_S):
            await enough.wait()
        await asyncio.sleep(LONGEST_PAUSE_S)
        stop.set()
        await asking
    return answered


# Guards against requests that are read on a connection while it is closed as idle.
@pytest.mark.parametrize("run", [asyncio.run, uvloop.run], ids=["asyncio", "uvloop"])
def test_no_request_is_read_on_a_connection_that_is_closed_as_idle(monkeypatch, run):
    read = []

    def data_received(self, data, wrapped=RequestHandler.data_received):
        read.append(data)
        wrapped(self, data)

    monkeypatch.setattr(RequestHandler, "data_received", data_received)
    answered = [answer for _ in range(STORMS) for answer in run(storm())]
    assert len(answered) == len([data for data in read if data])


async def test_request_that_is_given_up_is_answered_and_logged(caplog):
    async with stoppable_ports(never) as ((address,), stop):
        reader, writer = await asyncio.open_connection(*address)
        writer.write(REQUEST)
        await asyncio.sleep(0.05)
        stop.set()
        assert (await reader.read()).startswith(b"HTTP/1.1 503")
        writer.close()
    assert "event=request_given_up port=test method=GET path=/" in caplog.text


# Guards against a stop that outlives its time, one port after the other.
async def test_ports_with_stubborn_requests_close_side_by_side():
    async with stoppable_ports(*[stubborn] * 4) as (addresses, _):
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


async def test_failure_of_one_port_closes_the_others(monkeypatch, caplog):
    finish = GracefulServer.finish
    failing = []

    async def finish_once(self, timeout_s):
        await finish(self, timeout_s)
        if not failing:
            failing.append(self)
            raise RuntimeError("a fault")

    monkeypatch.setattr(GracefulServer, "finish", finish_once)
    async with stoppable_ports(whole, whole) as (addresses, stop):
        readers = [(await asyncio.open_connection(*a))[0] for a in addresses]
        stop.set()
        assert [await reader.read() for reader in readers] == [b"", b""]
    assert "event=port_not_closed" in caplog.text
