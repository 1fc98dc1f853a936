"""How the callers' port listens and stops."""

import asyncio
import time

from aiohttp import web
from burdockthread_platform.jobs_http import serve
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
