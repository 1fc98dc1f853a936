"""How the callers' port listens and stops."""

import asyncio
import time

from aiohttp import web
from burdockthread_model.events import EventLog
from burdockthread_platform.jobs_http import JobsPort, serve
from burdockthread_platform.settings import Address
from ephemeral_port_reserve import reserve

HOST = "127.0.0.1"
REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
ANSWER_S = 0.2


async def answer(request):
    await asyncio.sleep(ANSWER_S)
    return web.Response(text="whole")


async def served(port, stop):
    """Serves until told to stop."""
    async with serve(web.Server(answer, access_log=None), Address(HOST, port)):
        await stop.wait()


async def asked(reader, writer):
    """Makes one request and reads its whole answer."""
    writer.write(REQUEST)
    return await reader.readuntil(b"whole")


async def test_stop_closes_idle_connections_before_another_request_is_read():
    port, stop = reserve(HOST), asyncio.Event()
    serving = asyncio.create_task(served(port, stop))
    await asyncio.sleep(0.05)
    reader, writer = await asyncio.open_connection(HOST, port)
    await asked(reader, writer)
    stop.set()
    started_s = time.monotonic()
    assert await reader.read() == b""
    assert time.monotonic() - started_s < 0.1
    writer.close()
    await serving


async def test_stop_lets_a_request_under_way_end():
    port, stop = reserve(HOST), asyncio.Event()
    serving = asyncio.create_task(served(port, stop))
    await asyncio.sleep(0.05)
    reader, writer = await asyncio.open_connection(HOST, port)
    asking = asyncio.create_task(asked(reader, writer))
    await asyncio.sleep(ANSWER_S / 4)
    stop.set()
    assert b"200 OK" in await asking
    assert await reader.read() == b""
    writer.close()
    await serving


class BrokenDesk:
    """A desk that fails in a way that nobody expects."""

    log = EventLog("test")

    def __init__(self, error):
        self.error = error

    async def queue(self, host, path):
        raise self.error


async def answered(desk, clock):
    """The bytes that a caller gets from a port with a desk."""
    port = reserve(HOST)
    handler = JobsPort(desk, clock).handler()
    async with serve(handler, Address(HOST, port)):
        reader, writer = await asyncio.open_connection(HOST, port)
        writer.write(REQUEST.replace(b"Host", b"Connection: close\r\nHost"))
        found = await reader.read()
        writer.close()
    return found


async def test_failure_of_the_program_is_answered_as_unknown(clock, caplog):
    found = await answered(BrokenDesk(ValueError("a fault")), clock)
    assert found.startswith(b"HTTP/1.1 504")
    assert b'"verdict": "unknown"' in found
    assert "event=request_failed" in caplog.text


async def test_caller_that_has_gone_is_no_failure(clock, caplog):
    caplog.set_level("INFO")
    await answered(BrokenDesk(ConnectionResetError("gone")), clock)
    assert "event=caller_gone" in caplog.text
    assert "request_failed" not in caplog.text
