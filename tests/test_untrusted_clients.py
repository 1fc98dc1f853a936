"""Untrusted clients against the process of an entry.

Each test checks that the process lives, that its memory and its open descriptors stay
within the settings, and that it answers an ordinary request afterwards, while the
clients still hold their connections. No test checks times or a share of requests.
"""

import asyncio
import re
from contextlib import suppress

import aiohttp
import pytest
from burdockthread_scenarios.untrusted_clients import (
    ProcessBounds,
    RequestKinds,
    clients_against,
    empty_lines,
    line_without_end,
    no_data,
)
from burdockthread_standins import emulated_site
from burdockthread_standins.emulated_site import EmulatedSite, SitePlan
from burdockthread_standins.job_load import HOST_HEADER

MEMORY_MB = 128
DESCRIPTORS = 256
BOUNDS = ProcessBounds(MEMORY_MB, DESCRIPTORS)
ORDINARY_S = 30.0
PAUSE_S = 0.2
PEER_BODY_BYTES = 1_000_000
COMPRESSED_BODIES = 200
HEAD = b"Host: jobs.example\r\n"
KINDS = RequestKinds(b"POST /pool-a/%016x HTTP/1.1\r\n" + HEAD, HEAD, 262_144)


@pytest.fixture
async def entry(monkeypatch):
    """The process of the only entry of a site, with lower limits than usual."""
    limited = re.sub(r"memoryMb=\d+", f"memoryMb={MEMORY_MB}", emulated_site.SETTINGS)
    limited += f"limits.fileDescriptors={DESCRIPTORS}\n"
    monkeypatch.setattr(emulated_site, "SETTINGS", limited)
    async with EmulatedSite(SitePlan(entries=1)).running() as site:
        found = site.entries[0]
        await ask_until_answered(found, 1)
        yield found


async def ask_until_answered(entry, number):
    """Submits a job as an ordinary caller does, with retries, until it is accepted."""
    url = f"{entry.url}/pool-a/{number:016x}"
    body = {"specification": "", "steps": [{"count": 1}]}
    seen = []
    try:
        async with asyncio.timeout(ORDINARY_S):
            while True:
                with suppress(aiohttp.ClientError, OSError, TimeoutError):
                    seen.append(await ask(url, body))
                    if seen[-1] == 200:
                        return
                await asyncio.sleep(PAUSE_S)
    except TimeoutError:
        pytest.fail(f"no ordinary request was answered with 200, but: {seen[-5:]}")


async def ask(url, body):
    """Sends one request on a connection of its own; returns the status."""
    timeout = aiohttp.ClientTimeout(total=4.0)
    async with (
        aiohttp.ClientSession(timeout=timeout) as session,
        session.post(url, json=body, headers=HOST_HEADER) as answer,
    ):
        return answer.status


def untrusted_clients(entry):
    """Runs clients against the process of an entry, then checks it."""
    return clients_against(entry.process, lambda: ask_until_answered(entry, 2), BOUNDS)


def callers(entry):
    return entry.host, entry.callers


def metrics_requests(number):
    return KINDS.many_requests(number, b"/metrics")


# Guards against request heads that are kept or parsed without a limit of their size.
async def test_heads_over_the_limit_and_without_end(entry):
    async with untrusted_clients(entry) as group:
        group.add(50, callers(entry), KINDS.head_without_end)
        group.add(50, callers(entry), KINDS.head_over_limit)


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
        group.add(400, callers(entry), KINDS.body_whole)


async def test_bodies_that_stop_short_sent_in_pieces(entry):
    async with untrusted_clients(entry) as group:
        group.add(300, callers(entry), KINDS.body_in_pieces)


async def test_chunked_bodies_that_stop_short_in_large_chunks(entry):
    async with untrusted_clients(entry) as group:
        group.add(400, callers(entry), KINDS.large_chunks)


# Guards against the memory that each chunk takes beside its content.
async def test_chunked_bodies_that_stop_short_in_one_byte_chunks(entry):
    async with untrusted_clients(entry) as group:
        group.add(200, callers(entry), KINDS.one_byte_chunks)


# Guards against fields behind a body that are kept without a limit of their size.
async def test_trailers_without_end(entry):
    async with untrusted_clients(entry) as group:
        group.add(100, callers(entry), KINDS.endless_trailers)


# Guards against bodies that are charged as sent, and grow when they are decompressed.
async def test_compressed_bodies_that_stop_short(entry):
    async with untrusted_clients(entry) as group:
        group.add(COMPRESSED_BODIES, callers(entry), KINDS.compressed_body)


# Guards against answers that pile up, and requests behind them.
async def test_metrics_that_are_not_read(entry):
    async with untrusted_clients(entry) as group:
        group.add(4, (entry.host, entry.metrics), metrics_requests, reads=False)


async def test_callers_that_do_not_read_their_answers(entry):
    async with untrusted_clients(entry) as group:
        group.add(50, callers(entry), KINDS.many_requests, reads=False)


# Guards against an entry that cannot open connections to the store or to workers.
async def test_idle_connections_up_to_the_descriptor_limit(entry):
    async with untrusted_clients(entry) as group:
        group.add(DESCRIPTORS + 50, callers(entry), no_data)
        await asyncio.sleep(1.0)


def add_against_inner_ports(group, entry):
    """Adds clients of all kinds against the ports that are not for callers."""
    for port in (entry.internal, entry.ready, entry.metrics):
        address = entry.host, port
        group.add(30, address, lambda n: KINDS.body_whole(n, PEER_BODY_BYTES))
        group.add(10, address, KINDS.head_without_end)
        group.add(10, address, line_without_end)
        group.add(10, address, KINDS.one_byte_chunks)
        group.add(10, address, metrics_requests, reads=False)
        group.add(10, address, no_data)


# Guards against ports without the limits of the callers' port.
async def test_ports_for_entries_readiness_and_metrics(entry):
    async with untrusted_clients(entry) as group:
        add_against_inner_ports(group, entry)


async def test_all_kinds_at_once(entry):
    async with untrusted_clients(entry) as group:
        for kind in (
            KINDS.head_without_end,
            KINDS.head_over_limit,
            line_without_end,
            empty_lines,
            KINDS.body_whole,
            KINDS.body_in_pieces,
            KINDS.large_chunks,
            KINDS.one_byte_chunks,
            no_data,
        ):
            group.add(20, callers(entry), kind)
        group.add(20, callers(entry), KINDS.many_requests, reads=False)
        add_against_inner_ports(group, entry)
