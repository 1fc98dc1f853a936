"""Client of the key-value store against the emulated store over sockets."""

import asyncio
from unittest.mock import AsyncMock

import aiohttp
import pytest
from aiohttp.test_utils import TestServer
from burdockthread_http.http_calls import HttpCalls
from burdockthread_model.clock import SystemClock
from burdockthread_model.errors import (
    ConflictError,
    LeaseLostError,
    StoreUnavailableError,
    StoreUnknownError,
    WatchCompactedError,
)
from burdockthread_model.events import EventLog
from burdockthread_model.load import LoadMonitor
from burdockthread_model.metrics import MemoryMetrics
from burdockthread_platform.kv_messages import Answer
from burdockthread_platform.kv_store import PlatformStore
from burdockthread_standins.emulated_store import PAGE_ITEMS, EmulatedStore
from burdockthread_store.listing_sizes import SMALL_CHANGES_BYTES
from burdockthread_store.settled_store import SettledStore
from burdockthread_store.store import ANY_REVISION, Change, Changes, Guard


@pytest.fixture
async def emulated():
    found = EmulatedStore(SystemClock())
    async with TestServer(found.application()) as server:
        found.address = f"{server.host}:{server.port}"
        yield found


def platform_store(address, session):
    clock = SystemClock()
    load = LoadMonitor(clock, MemoryMetrics(), EventLog("test"))
    return PlatformStore(address, HttpCalls(session, load), clock, {})


@pytest.fixture
async def client(emulated):
    async with aiohttp.ClientSession() as session:
        yield platform_store(emulated.address, session)


async def test_written_key_is_read(client):
    revision = await client.write([Change("a/b c", b"\x00\xff", 0)])
    found = await client.get("a/b c")
    assert (found.value, found.revision) == (b"\x00\xff", revision)
    assert await client.get("a/none") is None


async def test_failed_condition_writes_nothing(client):
    await client.write([Change("a", b"1", 0)])
    with pytest.raises(ConflictError):
        await client.write([Change("b", b"2", 0), Change("a", b"2", 0)])
    with pytest.raises(ConflictError):
        await client.write([Change("b", b"2", ANY_REVISION)], [Guard("a", 99)])
    assert await client.get("b") is None


async def test_listing_reads_all_pages(client):
    count = PAGE_ITEMS * 2 + 5
    for first in range(0, count, 16):
        names = range(first, min(first + 16, count))
        changes = [Change(f"l/{n:05d}", b"x", ANY_REVISION) for n in names]
        await client.write(changes)
    listing = await client.list("l/")
    assert len(listing.items) == count
    assert listing.items[-1].key == f"l/{count - 1:05d}"


async def test_watch_yields_changes_and_empty_batches(client):
    revision = await client.write([Change("w/a", b"1", 0)])
    watch = client.watch("w/", revision)
    writing = asyncio.create_task(client.write([Change("w/a", None, revision)]))
    events = await anext(watch)
    while not events:
        events = await anext(watch)
    assert [(e.key, e.value) for e in events] == [("w/a", None)]
    await writing
    assert await anext(watch) == ()
    await watch.aclose()


async def test_watch_of_compacted_history_is_refused(client, emulated):
    await client.write([Change("w/a", b"1", 0)])
    await client.write([Change("w/b", b"1", 0)])
    emulated.faulty.set_faults({"compact": True})
    with pytest.raises(WatchCompactedError):
        await anext(client.watch("w/", 1))


async def test_changes_are_read_without_waiting(client):
    revision = await client.write([Change("w/a", b"1", 0)])
    assert await client.changes("w/", revision) == Changes((), revision)
    latest = await client.write([Change("w/a", b"2", revision)])
    found = await client.changes("w/", revision)
    assert [(e.key, e.value) for e in found.events] == [("w/a", b"2")]
    assert found.revision == latest


# Guards against reading each of several versions of a large key on a slow link.
async def test_several_large_versions_are_listed_instead(client):
    revision = 0
    for number in range(4):
        value = bytes([number]) * (SMALL_CHANGES_BYTES // 4)
        revision = await client.write([Change("w/a", value, revision)])
    with pytest.raises(WatchCompactedError):
        await client.changes("w/", 0)
    with pytest.raises(WatchCompactedError):
        await anext(client.watch("w/", 0))
    assert [item.value for item in (await client.list("w/")).items] == [value]


async def test_value_that_has_grown_is_read_once(client):
    revision = await client.write([Change("w/a", b"x", 0)])
    await client.list("w/")
    value = b"x" * (SMALL_CHANGES_BYTES // 2)
    await client.write([Change("w/a", value, revision)])
    found = await client.changes("w/", revision)
    assert [e.value for e in found.events] == [value]


async def test_changes_that_are_smaller_than_a_listing_are_read(client):
    value = b"x" * (SMALL_CHANGES_BYTES // 4)
    for number in range(6):
        revision = await client.write([Change(f"w/{number}", value, 0)])
    await client.list("w/")
    changed = await client.write([Change("w/1", value, ANY_REVISION)])
    found = await client.changes("w/", revision)
    assert [e.revision for e in found.events] == [changed]


async def test_revoked_lease_deletes_its_keys(client):
    lease = await client.grant_lease(1.0)
    await client.write([Change("e/me", b"1", 0, lease.lease_id)])
    renewed = await client.renew_lease(lease)
    assert renewed.expires_s >= lease.expires_s
    await client.revoke_lease(lease)
    assert await client.get("e/me") is None
    with pytest.raises(LeaseLostError):
        await client.renew_lease(lease)


async def test_unavailable_store_has_executed_nothing(client, emulated):
    before_s = client.contact_s
    emulated.faulty.set_faults({"down": True})
    with pytest.raises(StoreUnavailableError):
        await client.write([Change("a", b"1", 0)])
    assert client.contact_s == before_s
    emulated.faulty.set_faults({"down": False})
    assert await client.get("a") is None


async def test_lost_answer_is_unknown_and_resolved_by_the_marker(client, emulated):
    emulated.faulty.set_faults({"lose_answers": 1})
    with pytest.raises(StoreUnknownError):
        await client.write([Change("a", b"1", 0)])
    settled = SettledStore(client, "entry", SystemClock(), MemoryMetrics())
    emulated.faulty.set_faults({"lose_answers": 1})
    revision = await settled.write([Change("b", b"1", 0)])
    assert (await client.get("b")).revision == revision


async def test_refused_connection_counts_as_unavailable():
    async with aiohttp.ClientSession() as session:
        store = platform_store("127.0.0.1:1", session)
        with pytest.raises(StoreUnavailableError):
            await store.write([Change("a", b"1", 0)])


async def test_malformed_grant_counts_as_unavailable(client, monkeypatch):
    """It ended the renewal of leases for good."""
    answer = Answer(200, {"ttlMs": "2 s"})
    monkeypatch.setattr(client, "call", AsyncMock(return_value=answer))
    with pytest.raises(StoreUnavailableError):
        await client.grant_lease(1.0)


async def test_truncated_page_without_items_is_not_taken_for_the_end(
    client, monkeypatch
):
    """A listing that ended there would have removed all further keys."""
    answer = Answer(200, {"items": [], "truncated": True, "currentRev": 7})
    monkeypatch.setattr(client, "call", AsyncMock(return_value=answer))
    with pytest.raises(StoreUnavailableError):
        await client.list("l/")


@pytest.mark.parametrize("body", [{}, {"items": []}, {"events": []}])
async def test_answer_without_a_revision_is_not_taken_for_an_empty_store(
    client, monkeypatch, body
):
    """An entry would have taken all keys for deleted."""
    monkeypatch.setattr(client, "call", AsyncMock(return_value=Answer(200, body)))
    with pytest.raises(StoreUnavailableError):
        await client.list("l/")
    with pytest.raises(StoreUnavailableError):
        await client.changes("l/", 5)


@pytest.mark.parametrize(
    "answer", [Answer(200, {}), Answer(200, {"revision": "7"}), Answer(502, {})]
)
async def test_write_with_an_unexpected_answer_may_have_been_executed(
    client, monkeypatch, answer
):
    """It counted as one that was not, and its caller was told so."""
    monkeypatch.setattr(client, "call", AsyncMock(return_value=answer))
    with pytest.raises(StoreUnknownError):
        await client.write([Change("a", b"1", 0)])
