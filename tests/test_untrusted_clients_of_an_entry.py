"""Untrusted clients against the ports of an entry's own interface.

Each test checks that the process lives, that its memory and its open descriptors stay
within bounds, and that it answers an ordinary request afterwards, while the clients
still hold their connections. No test checks times or a share of requests.
"""

import asyncio
from contextlib import suppress
from pathlib import Path

import aiohttp
import pytest
from burdockthread_peers.frames import handshake, new_hello, with_length
from burdockthread_scenarios.cluster import (
    LOOPBACK,
    PEER_KEY,
    Site,
    running_cluster,
    token,
)
from burdockthread_scenarios.untrusted_clients import (
    ProcessBounds,
    RequestKinds,
    clients_against,
    empty_lines,
    line_without_end,
    no_data,
    repeated,
)

BOUNDS = ProcessBounds(memory_mb=128, descriptors=320)
LIMITS = {
    "memory_mb": BOUNDS.memory_mb,
    "body_bytes": 1_000_000,
    "caller_connections": 200,
    "operator_connections": 32,
}
EXAMPLES = Path(__file__).resolve().parent.parent / "examples"
SITE = Site(
    "kloofsig",
    ("johannesburg", "pretoria", "centurion"),
    30,
    EXAMPLES / "kloofsig" / "template.json",
)
ORDINARY_S = 30.0
PAUSE_S = 0.2
CALLER = {"Burdockthread-Organisation": "kloofsig", "Burdockthread-Class": "urgent"}
OPERATOR = {"Authorization": f"Bearer {token('proposer')}"}
HOST = b"Host: an-entry\r\n"
FIELDS = HOST + b"".join(
    b"%s: %s\r\n" % (k.encode(), v.encode()) for k, v in CALLER.items()
)
CALLS = RequestKinds(
    b"POST /services/inventory/%016x HTTP/1.1\r\n" + FIELDS,
    FIELDS,
    LIMITS["body_bytes"],
    piece_bytes=4_000,
)
CHANGES = RequestKinds(
    b"POST /v1/changes?base_version=%d HTTP/1.1\r\n" + HOST, HOST, 300_000
)
AUTHENTICATED = RequestKinds(
    CHANGES.post + f"Authorization: {OPERATOR['Authorization']}\r\n".encode(),
    HOST,
    300_000,
)


@pytest.fixture
async def entry():
    """The process of the only entry of a cluster, with lower limits than usual."""
    async with running_cluster([SITE], [("johannesburg", "gauteng")]) as cluster:
        found = cluster.entries["entry-1"]
        found.settings["limits"] |= LIMITS
        await found.start()
        await cluster.accept_template(SITE.template, 0)
        await ask_until_answered(lambda: ask_as_caller(found))
        yield found


async def ask_until_answered(ask):
    """Sends an ordinary request, with retries, until it is answered with 200."""
    seen = []
    try:
        async with asyncio.timeout(ORDINARY_S):
            while True:
                with suppress(aiohttp.ClientError, OSError, EOFError, TimeoutError):
                    seen.append(await ask())
                    if seen[-1] == 200:
                        return
                await asyncio.sleep(PAUSE_S)
    except TimeoutError:
        pytest.fail(f"no ordinary request was answered with 200, but: {seen[-5:]}")


async def get_status(url, headers):
    """Sends one request on a connection of its own; returns the status."""
    timeout = aiohttp.ClientTimeout(total=4.0)
    async with (
        aiohttp.ClientSession(timeout=timeout, headers=headers) as session,
        session.get(url) as answer,
    ):
        await answer.read()
        return answer.status


def ask_as_caller(entry):
    return get_status(f"{entry.callers_url}/services/inventory/order", CALLER)


def ask_as_operator(entry):
    return get_status(f"{entry.operators_url}/v1/status", OPERATOR)


async def ask_as_entry(entry):
    """Opens a stream as another entry does; returns 200 if it is authenticated."""
    async with asyncio.timeout(4.0):
        reader, writer = await asyncio.open_connection(*peers(entry))
        try:
            hello = new_hello("entry-9", "first-start")
            key = PEER_KEY.encode()
            await handshake(reader, writer, hello, key, dialled=True)
        finally:
            writer.close()
    return 200


async def ask_everywhere(entry):
    for ask in (ask_as_caller, ask_as_operator, ask_as_entry):
        await ask_until_answered(lambda ask=ask: ask(entry))


def untrusted_clients(entry):
    """Runs clients against the process of an entry, then checks it."""
    return clients_against(entry.process, lambda: ask_everywhere(entry), BOUNDS)


def callers(entry):
    return LOOPBACK, entry.settings["callers"]["port"]


def operators(entry):
    return LOOPBACK, entry.settings["operators"]["port"]


def peers(entry):
    return LOOPBACK, entry.settings["peers"]["port"]


def echo_whole(number):
    """Yields whole requests, each with a large answer, without waiting for it."""
    head = CALLS.post % number + b"Content-Length: %d\r\n\r\n" % CALLS.body_bytes
    return repeated(b"", head + b"x" * CALLS.body_bytes, 4)


def garbage_frames(number):
    return repeated(b"", b"\xff" * 32_768, 64)


def half_frame(number):
    return iter([with_length(b"x" * 4_000)[:2_000]])


# Guards against request heads that are kept or parsed without a limit of their size.
async def test_heads_over_the_limit_and_without_end(entry):
    async with untrusted_clients(entry) as group:
        group.add(50, callers(entry), CALLS.head_without_end)
        group.add(50, callers(entry), CALLS.head_over_limit)


# Guards against errors of the parser that keep what it was given, once for each read.
async def test_request_lines_without_end(entry):
    async with untrusted_clients(entry) as group:
        group.add(50, callers(entry), line_without_end)


# Guards against a process that only reads empty lines.
async def test_empty_lines_without_end(entry):
    async with untrusted_clients(entry) as group:
        group.add(50, callers(entry), empty_lines)


# Guards against bodies that each are permitted, but together exceed the memory.
async def test_bodies_that_stop_short_sent_whole(entry):
    async with untrusted_clients(entry) as group:
        group.add(400, callers(entry), CALLS.body_whole)


async def test_bodies_that_stop_short_sent_in_pieces(entry):
    async with untrusted_clients(entry) as group:
        group.add(150, callers(entry), CALLS.body_in_pieces)


async def test_chunked_bodies_that_stop_short_in_large_chunks(entry):
    async with untrusted_clients(entry) as group:
        group.add(400, callers(entry), CALLS.large_chunks)


# Guards against the memory and the time that each chunk takes beside its content.
async def test_chunked_bodies_that_stop_short_in_one_byte_chunks(entry):
    async with untrusted_clients(entry) as group:
        group.add(100, callers(entry), CALLS.one_byte_chunks)


# Guards against fields behind a body that are kept without a limit of their size.
async def test_trailers_without_end(entry):
    async with untrusted_clients(entry) as group:
        group.add(100, callers(entry), CALLS.endless_trailers)


# Guards against bodies that are charged as sent, and grow when they are decompressed.
async def test_compressed_bodies_that_stop_short(entry):
    async with untrusted_clients(entry) as group:
        group.add(200, callers(entry), CALLS.compressed_body)


# Guards against answers that pile up, and requests behind them.
async def test_callers_that_do_not_read_their_answers(entry):
    async with untrusted_clients(entry) as group:
        group.add(50, callers(entry), CALLS.many_requests, reads=False)


async def test_callers_that_do_not_read_large_answers(entry):
    async with untrusted_clients(entry) as group:
        group.add(150, callers(entry), echo_whole, reads=False)


# Guards against an entry whose connections are all held by idle clients.
async def test_idle_connections_up_to_the_limit(entry):
    async with untrusted_clients(entry) as group:
        group.add(LIMITS["caller_connections"] + 50, callers(entry), no_data)
        group.add(LIMITS["operator_connections"] + 50, operators(entry), no_data)
        await asyncio.sleep(1.0)


def add_against_operators(group, entry):
    """Adds clients of all kinds against the operators' port."""
    address = operators(entry)
    for kinds in (CHANGES, AUTHENTICATED):
        group.add(100, address, kinds.body_whole)
        group.add(50, address, kinds.large_chunks)
        group.add(20, address, kinds.one_byte_chunks)
        group.add(20, address, kinds.endless_trailers)
    group.add(20, address, CHANGES.head_without_end)
    group.add(50, address, line_without_end)
    group.add(20, address, empty_lines)
    group.add(20, address, CHANGES.many_requests, reads=False)


# Guards against an operators' port without the limits of the callers' port.
async def test_all_kinds_against_the_operators_port(entry):
    async with untrusted_clients(entry) as group:
        add_against_operators(group, entry)


def add_against_entries(group, entry):
    """Adds clients against the port for streams of other entries."""
    group.add(100, peers(entry), garbage_frames)
    group.add(100, peers(entry), half_frame)
    group.add(100, peers(entry), no_data)


# Guards against streams of other entries that untrusted clients keep out.
async def test_streams_that_are_not_authenticated(entry):
    async with untrusted_clients(entry) as group:
        add_against_entries(group, entry)


async def test_all_kinds_at_once(entry):
    async with untrusted_clients(entry) as group:
        for kind in (
            CALLS.head_without_end,
            CALLS.head_over_limit,
            line_without_end,
            empty_lines,
            CALLS.body_whole,
            CALLS.body_in_pieces,
            CALLS.large_chunks,
            CALLS.one_byte_chunks,
            CALLS.endless_trailers,
            no_data,
        ):
            group.add(20, callers(entry), kind)
        group.add(20, callers(entry), CALLS.many_requests, reads=False)
        add_against_operators(group, entry)
        add_against_entries(group, entry)
