"""Connections of a server: what is served, refused and closed."""

import asyncio
import time
import zlib
from contextlib import asynccontextmanager
from functools import partial

import pytest
import uvloop
from aiohttp import web
from burdockthread_http import connection_phases
from burdockthread_http.connection_guard import ConnectionGuard
from burdockthread_http.connection_limits import PortLimits, most_connections
from burdockthread_http.http_server import GracefulServer, ListeningPort, serve
from burdockthread_http.received_bytes import ReceivedBytes
from burdockthread_model.clock import SystemClock
from burdockthread_model.events import EventLog
from burdockthread_model.metrics import MemoryMetrics
from ephemeral_port_reserve import reserve

HOST = "127.0.0.1"
GET = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
LIMITS = PortLimits(header_bytes=400, body_bytes=50_000)
TIMEOUT_S = 15.0


class Port:
    """A port whose handler echoes the size of each body.

    Attributes:
        bodies: Bodies for which the handler was called.
        may_answer: The handler waits for it.
    """

    def __init__(self, limits, budget):
        self.address = HOST, reserve(HOST)
        self.bodies = []
        self.may_answer = asyncio.Event()
        self.may_answer.set()
        self.metrics = MemoryMetrics()
        log = EventLog("test")
        self.guard = ConnectionGuard(ReceivedBytes(budget), self.metrics, log)
        self.server = GracefulServer(
            "test", self.answer, SystemClock(), log, self.guard, lambda: limits
        )

    async def answer(self, request):
        self.bodies.append(await request.read())
        await self.may_answer.wait()
        return web.Response(text=f"size {len(self.bodies[-1])};")

    async def connect(self):
        return Client(*await asyncio.open_connection(*self.address))


def unanswered_bytes(found):
    """Returns what is charged for requests that have not been answered."""
    kept = sum(progress.kept for progress in found.guard.connections)
    return found.guard.budget.used - kept


class Client:
    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    def send(self, data):
        self.writer.write(data)
        return self

    async def answer(self):
        """Returns the status and the text of the next answer."""
        head = await self.reader.readuntil(b"\r\n\r\n")
        size = next(
            int(line.split(b":")[1])
            for line in head.lower().split(b"\r\n")
            if line.startswith(b"content-length")
        )
        text = await self.reader.readexactly(size)
        return int(head.split()[1]), head + text

    async def status(self):
        return (await self.answer())[0]

    async def is_closed(self, within_s=5.0):
        try:
            async with asyncio.timeout(within_s):
                return await self.reader.read(1) == b""
        except ConnectionError:
            return True
        except TimeoutError:
            return False


def is_in_body(connection):
    """Returns whether a connection waits for the rest of a body."""
    return connection.phase is connection_phases.Phase.BODY


async def until(condition, pause_s=0.01):
    """Waits until a condition holds."""
    done = condition()
    while not done:
        await asyncio.sleep(pause_s)
        done = condition()


@asynccontextmanager
async def port(limits=LIMITS, budget=1_000_000):
    found = Port(limits, budget)
    listening = ListeningPort(found.server, *found.address)
    async with asyncio.timeout(TIMEOUT_S), serve([listening], 0.2):
        yield found
        found.may_answer.set()


def post(body, *fields):
    head = (b"POST / HTTP/1.1", b"Host: a", *fields)
    return b"\r\n".join((*head, b"Content-Length: %d" % len(body), b"", body))


def chunked(*chunks):
    head = b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    framed = b"".join(b"%x\r\n%s\r\n" % (len(chunk), chunk) for chunk in chunks)
    return head + framed + b"0\r\n\r\n"


def head_of_size(size):
    start = b"GET / HTTP/1.1\r\nHost: a\r\nX: "
    return start + b"x" * (size - len(start) - 4) + b"\r\n\r\n"


REQUESTS = {
    "get": (GET, 0),
    "head of the limit": (head_of_size(LIMITS.header_bytes), 0),
    "small body": (post(b"x" * 100), 100),
    "body of the limit": (post(b"x" * LIMITS.body_bytes), LIMITS.body_bytes),
    "chunks": (chunked(b"x" * 30_000, b"x" * 20_000), 50_000),
    "chunks of one byte": (chunked(*[b"x"] * 5_000), 5_000),
    "empty lines before it": (b"\r\n\r\n" + GET, 0),
    "compressed": (
        post(zlib.compress(b"x" * 9_000), b"Content-Encoding: deflate"),
        9_000,
    ),
    "upgrade": (
        GET.replace(b"Host", b"Connection: Upgrade\r\nUpgrade: websocket\r\nHost"),
        0,
    ),
}


# Guards against limits that a request within the limits meets.
@pytest.mark.parametrize("name", REQUESTS)
async def test_request_within_the_limits_is_served(name):
    data, size = REQUESTS[name]
    async with port() as found:
        client = await found.connect()
        for _ in range(3):
            status, answer = await client.send(data).answer()
            assert status == 200
            assert answer.endswith(b"size %d;" % size)
        assert unanswered_bytes(found) == 0
        assert found.metrics.counters == {}


# Guards against data of a body that is taken for the fields behind it.
@pytest.mark.parametrize("size", [1, 7, 16_384, 60_000])
async def test_chunks_that_look_like_the_last_one_are_served(size):
    body = b"0\r\n\n0\n0;a\r\n" * 3_000
    data = chunked(body) + chunked(b"x", b"0\r\n0\r\n", b"y" * 20_000)
    async with port() as found:
        client = await found.connect()
        for start in range(0, len(data), size):
            client.send(data[start : start + size])
            if not start % 20:
                await asyncio.sleep(0)
        assert (await client.answer())[1].endswith(b"size %d;" % len(body))
        assert await client.status() == 200
        assert found.metrics.counters == {}


# Guards against fields that the parser keeps until the next request, and that are
# charged to nobody.
@pytest.mark.parametrize("where", ["headers", "trailers"])
async def test_fields_of_an_answered_request_stay_charged(where):
    fields = b"".join(b"X-%d: b\r\n" % number for number in range(300))
    request = GET[:-2] + fields + b"\r\n"
    if where == "trailers":
        request = chunked(b"x")[:-2] + fields + b"\r\n"
    async with port(PortLimits()) as found:
        client = await found.connect()
        assert await client.send(request).status() == 200
        assert found.guard.budget.used > 300 * 128
        assert unanswered_bytes(found) == 0
        assert await client.send(GET).status() == 200
        assert found.guard.budget.used < 2_000
        client.writer.close()
        await until(lambda: not found.guard.connections)
        assert found.guard.budget.used == 0


# Guards against an end of a head or body that is missed because it arrives in parts.
@pytest.mark.parametrize("size", [1, 3, 1_000])
async def test_requests_in_pieces_are_served(size):
    async with port() as found:
        client = await found.connect()
        data = GET + post(b"x" * 100) + chunked(b"x" * 200) + GET
        for start in range(0, len(data), size):
            client.send(data[start : start + size])
            await asyncio.sleep(0)
        for expected in (0, 100, 200, 0):
            assert (await client.answer())[1].endswith(b"size %d;" % expected)
        assert unanswered_bytes(found) == 0


# Guards against pipelined requests that are lost, or handled out of order.
@pytest.mark.parametrize("run", [asyncio.run, uvloop.run], ids=["asyncio", "uvloop"])
def test_pipelined_requests_are_served_in_order(run):
    async def check():
        async with port() as found:
            client = await found.connect()
            sizes = [0, 7, 20_000, 0, 300, 49_000, 0] * 5
            for number, size in enumerate(sizes):
                body = b"x" * size
                make = chunked if size and number % 2 else post
                client.send(make(body) if size else GET)
            for size in sizes:
                assert (await client.answer())[1].endswith(b"size %d;" % size)
            assert unanswered_bytes(found) == 0

    run(check())


async def refused(found, data):
    """Sends data on a connection of its own; returns the answer, and its status."""
    client = await found.connect()
    status, answer = await client.send(data).answer()
    assert await client.is_closed()
    client.writer.close()
    return status, answer


BOMB = post(zlib.compress(b"x" * 9_000_000), b"Content-Encoding: deflate")
TRAILERS = b"X: %s\r\n" % (b"x" * 4_000) * 20
REFUSED = {
    "head_too_large": (head_of_size(LIMITS.header_bytes + 1), 431),
    "head_too_large without end": (b"GET /" + b"x" * 100_000, 431),
    "empty_lines": (b"\r\n" * 40, 400),
    "body_too_large": (
        b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 50001\r\n\r\n",
        413,
    ),
    "body_too_large in chunks": (chunked(b"x" * 50_000, b"x"), 413),
    "body_too_large as sent": (chunked(b"x")[:-5] + b"1;" + b"x" * 900_000, 413),
    "body_too_large compressed": (BOMB, 413),
    "trailers_too_large": (chunked(b"x")[:-2] + TRAILERS, 431),
    "malformed": (b"?\r\n\r\n", 400),
    "malformed compression": (post(b"xxxx", b"Content-Encoding: gzip"), 400),
    "malformed body": (chunked(b"x")[:-5] + b"?\r\n", 400),
}


# Guards against a refusal of a request that the handler has got.
@pytest.mark.parametrize("name", REFUSED)
async def test_request_over_a_limit_is_refused_and_not_run(name):
    data, expected = REFUSED[name]
    async with port() as found:
        status, answer = await refused(found, data)
        assert status == expected
        assert b'"verdict": "not_run"' in answer
        assert found.bodies == []
        assert found.guard.budget.used == 0
        assert found.metrics.counters[f"clients.refused.test.{name.split()[0]}"] == 1
        assert await (await found.connect()).send(GET).status() == 200


# Guards against a connection that is kept without an end, as the library fails on this
# target before the handler is called.
async def test_connection_is_closed_if_the_library_fails():
    async with port() as found:
        client = await found.connect()
        client.send(b"CONNECT \r\na:80 HTTP/1.1\r\nHost: a\r\n\r\n")
        assert await client.is_closed()
        assert found.guard.connections == {}
        assert found.guard.budget.used == 0


# Guards against bodies that are read although there is no room for them.
async def test_body_without_room_is_refused_before_it_is_sent():
    async with port(budget=60_000) as found:
        found.may_answer.clear()
        running = (await found.connect()).send(post(b"x" * 40_000))
        await until(lambda: found.bodies)
        head = b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 30000\r\n\r\n"
        status, answer = await refused(found, head)
        assert status == 503
        assert b"retry-after: 1\r\n" in answer.lower()
        found.may_answer.set()
        # A request that may have run is neither refused nor closed.
        assert await running.status() == 200
        assert [len(body) for body in found.bodies] == [40_000]


# Guards against bodies that stop short and hold the memory of others.
async def test_body_with_least_progress_is_closed_for_a_new_one():
    async with port(budget=120_000) as found:
        stalled = [(await found.connect()).send(post(b"x" * 40_000)[:-1])]
        await asyncio.sleep(0.1)
        stalled.append((await found.connect()).send(post(b"x" * 40_000)[:-1]))
        await asyncio.sleep(0.4)
        later = (await found.connect()).send(post(b"x" * 50_000))
        assert await later.status() == 200
        status, answer = await stalled[0].answer()
        assert (status, b"retry-after" in answer.lower()) == (503, True)
        assert await stalled[1].send(b"x").status() == 200
        assert found.metrics.counters["clients.refused.test.closed_for_memory"] == 1


# Guards against fields that are short, but take memory beside their bytes.
async def test_heads_of_many_short_fields_are_charged_for_each_field():
    async with port(PortLimits(), budget=200_000) as found:
        clients = [await found.connect() for _ in range(8)]
        for client in clients:
            client.send(GET[:-2] + b"a:b\r\n" * 400)
            await asyncio.sleep(0.1)
        assert found.guard.budget.used <= 200_000
        assert found.metrics.counters["clients.refused.test.closed_for_memory"] >= 3
        assert await (await found.connect()).send(GET).status() == 200


# Guards against data behind a request in progress that is kept without a limit.
async def test_data_behind_a_request_that_may_have_run_is_dropped():
    async with port(budget=60_000) as found:
        found.may_answer.clear()
        client = (await found.connect()).send(GET)
        await until(lambda: found.bodies)
        for _ in range(200):
            client.send(b"x" * 10_000)
        await asyncio.sleep(0.2)
        assert found.guard.budget.used <= 60_000
        found.may_answer.set()
        status, answer = await client.answer()
        assert status == 200
        assert b"connection: close" in answer.lower()


SHORT = PortLimits(header_timeout_s=0.2, idle_timeout_s=0.4)


async def test_head_that_is_not_complete_in_time_is_refused():
    async with port(SHORT) as found:
        assert (await refused(found, GET[:-2]))[0] == 408


async def test_body_that_brings_nothing_is_refused():
    async with port(SHORT) as found:
        assert (await refused(found, post(b"x" * 10)[:-1]))[0] == 408


# Guards against time limits that a slow but steady client meets.
async def test_slow_body_that_keeps_coming_is_served():
    async with port(PortLimits(header_timeout_s=0.2, idle_timeout_s=1.5)) as found:
        client = (await found.connect()).send(post(b"x" * 8)[:-8])
        for _ in range(8):
            await asyncio.sleep(0.4)
            client.send(b"x")
        assert await client.status() == 200


# Guards against a time limit of a body that ends a request that may have run.
async def test_request_in_progress_has_no_time_limit():
    async with port(SHORT) as found:
        found.may_answer.clear()
        client = (await found.connect()).send(post(b"x"))
        await asyncio.sleep(1.5)
        found.may_answer.set()
        assert await client.status() == 200


async def test_idle_connection_stays_open_for_the_idle_timeout(monkeypatch):
    monkeypatch.setattr(connection_phases, "IDLE_MARGIN_S", 0.3)
    async with port(PortLimits(idle_timeout_s=1.0)) as found:
        client = await found.connect()
        assert await client.send(GET).status() == 200
        assert not await client.is_closed(within_s=1.0)
        assert await client.is_closed()


# Guards against answers that pile up for a client that does not read them.
async def test_client_that_does_not_read_its_answers_is_closed():
    async with port(SHORT) as found:
        found.answer_text = "x" * 20_000_000

        async def large(request):
            return web.Response(text=found.answer_text)

        found.server.answer = large
        _, writer = await asyncio.open_connection(*found.address, limit=1)
        writer.write(GET * 3)
        await until(
            lambda: found.metrics.counters["clients.closed.test.answer_not_read"]
        )
        await asyncio.sleep(0.1)
        assert not found.guard.connections
        writer.close()


# Guards against requests behind an unread answer that stay charged to the budget after
# their connection has ended.
async def test_requests_behind_an_answer_that_is_not_read_are_released():
    async with port(SHORT) as found:

        async def large(request):
            return web.Response(text="x" * 20_000_000)

        found.server.answer = large
        _, writer = await asyncio.open_connection(*found.address, limit=1)
        writer.write(chunked(b"x") + GET * 3)
        await until(
            lambda: found.metrics.counters["clients.closed.test.answer_not_read"]
        )
        await until(lambda: not found.server.server.connections)
        await asyncio.sleep(0.1)
        assert found.guard.budget.used == 0
        assert not found.guard.budget.holders
        writer.close()


# Guards against a time limit that passes while the process itself is stopped.
async def test_time_in_which_the_process_was_stopped_does_not_count(monkeypatch):
    monkeypatch.setattr(connection_phases, "IDLE_MARGIN_S", 0.1)
    async with port(PortLimits(header_timeout_s=1.0, idle_timeout_s=1.0)) as found:
        head, body, idle = [await found.connect() for _ in range(3)]
        assert await idle.send(GET).status() == 200
        head.send(GET[:-2])
        body.send(post(b"x" * 10)[:-1])
        await asyncio.sleep(0.1)
        time.sleep(2.5)  # noqa: ASYNC251
        await asyncio.sleep(0.1)
        assert await head.send(GET[-2:]).status() == 200
        assert await body.send(b"x").status() == 200
        assert await idle.send(GET).status() == 200
        assert found.metrics.counters == {}


# Guards against clients that are never closed because of an event loop that is late.
async def test_deadlines_pass_while_the_event_loop_is_late():
    async with port(SHORT) as found:
        client = (await found.connect()).send(GET[:-2])
        for _ in range(4):
            time.sleep(1.2)  # noqa: ASYNC251
            await asyncio.sleep(0.01)
        assert await client.status() == 408


# Guards against a connection that stays open, and drops further requests unanswered,
# if data behind a request was dropped while its answer was being sent.
async def test_connection_is_closed_if_data_is_dropped_while_the_answer_is_sent():
    async with port(budget=60_000) as found:

        async def large(request):
            return web.Response(text="x" * 20_000_000)

        found.server.answer = large
        reader, writer = await asyncio.open_connection(*found.address, limit=1)
        writer.write(GET)
        await asyncio.sleep(0.3)
        writer.write(post(b"x" * 50_000) * 20)
        await until(lambda: found.metrics.counters["clients.refused.test.pipelined"])
        size = 0
        async with asyncio.timeout(5.0):
            while part := await reader.read(1_000_000):
                size += len(part)
        assert size > 20_000_000
        writer.close()


# Guards against a client that waits for the interim answer before it sends its body,
# and is refused because it sends nothing.
async def test_client_that_waits_to_be_told_to_send_its_body_is_served():
    request = post(b"x" * 10, b"Expect: 100-Continue")
    async with port(SHORT) as found:
        client = (await found.connect()).send(request[:-10])
        head = await client.reader.readuntil(b"\r\n\r\n")
        assert head == b"HTTP/1.1 100 Continue\r\n\r\n"
        assert await client.send(request[-10:]).status() == 200
        # There is no interim answer if the body is there, or for a client of HTTP/1.0.
        assert await client.send(request).status() == 200
        old = request.replace(b"HTTP/1.1", b"HTTP/1.0")
        client = (await found.connect()).send(old[:-10])
        await asyncio.sleep(0.1)
        assert await client.send(old[-10:]).status() == 200


async def test_client_is_not_told_to_send_a_body_that_is_too_large():
    head = b"POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\n"
    async with port() as found:
        status, _ = await refused(found, head + b"Content-Length: 50001\r\n\r\n")
        assert status == 413


# Guards against a request that stays charged, or a log line of an unhandled error for
# each, if the connection ends just before the handler starts to read the body.
@pytest.mark.parametrize("run", [asyncio.run, uvloop.run], ids=["asyncio", "uvloop"])
def test_connection_that_ends_before_its_body_is_read_is_released(run, caplog):
    async def check():
        async with port() as found:
            for turns in range(6):
                client = (await found.connect()).send(post(b"x" * 10)[:-1])
                await until(lambda: found.guard.connections)
                [connection] = found.guard.connections.values()
                await until(partial(is_in_body, connection), pause_s=0)
                for _ in range(turns):
                    await asyncio.sleep(0)
                connection.abort()
                assert await client.is_closed()
                await until(lambda: not found.server.server.connections)
                await asyncio.sleep(0.05)
                assert found.guard.budget.used == 0
                assert not found.server.requests
            assert "Error handling request" not in caplog.text

    run(check())


# Guards against requests that run and are not answered, or are dropped, if their client
# ends its side of the connection.
@pytest.mark.parametrize("run", [asyncio.run, uvloop.run], ids=["asyncio", "uvloop"])
def test_client_that_ends_its_side_gets_all_answers(run):
    async def check():
        async with port(SHORT) as found:
            found.may_answer.clear()
            running = (await found.connect()).send(post(b"x" * 10))
            await until(lambda: found.bodies)
            running.writer.write_eof()
            piped = (await found.connect()).send(GET + post(b"x" * 262_144) + GET)
            piped.writer.write_eof()
            await asyncio.sleep(0.2)
            found.may_answer.set()
            assert await running.status() == 200
            assert await running.is_closed()
            for size in (0, 262_144, 0):
                assert (await piped.answer())[1].endswith(b"size %d;" % size)
            assert await piped.is_closed()
            for data in (GET[:-2], post(b"x" * 10)[:-1], post(b"x" * 50_000)[:-1]):
                for before in (b"", GET):
                    part = (await found.connect()).send(before + data)
                    part.writer.write_eof()
                    answers = await part.reader.read()
                    assert answers.count(b"200 OK") == bool(before)
            await until(lambda: not found.guard.connections)
            assert found.guard.budget.used == 0

    run(check())


# Guards against ordinary requests that are reset, or sent again by the network a second
# later, as their connections come at once and the queue of the listener is full.
def test_several_hundred_connections_at_once_are_served():
    async def status(found):
        client = await found.connect()
        try:
            return await client.send(post(b"x" * 40_000)).status()
        finally:
            client.writer.close()

    async def check():
        limits = PortLimits(connections=1_640)
        async with port(limits, budget=16_000_000) as found:
            for _ in range(4):
                statuses = await asyncio.gather(*[status(found) for _ in range(300)])
                assert statuses == [200] * 300

    uvloop.run(check())


# Guards against idle connections that keep out ordinary ones, and against closing a
# request in progress for them.
async def test_connections_with_the_least_progress_are_closed_first():
    async with port(LIMITS._replace(connections=4)) as found:
        served = await found.connect()
        assert await served.send(GET).status() == 200
        found.may_answer.clear()
        running = (await found.connect()).send(post(b"x"))
        silent = [await found.connect() for _ in range(5)]
        await asyncio.sleep(0.1)
        assert [await client.is_closed(0.1) for client in silent] == [
            *[True] * 3,
            *[False] * 2,
        ]
        assert not await served.is_closed(0.1)
        found.may_answer.set()
        assert await running.status() == 200


async def test_log_lines_of_refusals_are_bounded(caplog):
    async with port() as found:
        for _ in range(20):
            await refused(found, b"?\r\n\r\n")
        assert caplog.text.count("event=client_refused") == 1
        assert found.metrics.counters["clients.refused.test.malformed"] == 20


def test_connections_are_a_share_of_the_descriptors():
    assert most_connections(4_100, 552, 0.4) == 1_640
    assert most_connections(256, 128, 0.4) == 102
    assert most_connections(8_192, 200, 0.4) == 2_560
    assert most_connections(20, 200, 1 / 32) == 16
