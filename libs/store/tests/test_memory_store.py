import asyncio

import pytest
from burdockthread_model.errors import ConflictError
from burdockthread_store.store import Change, Guard


async def test_write_needs_the_expected_revision(store):
    revision = await store.write([Change("a", b"1", 0)])
    with pytest.raises(ConflictError):
        await store.write([Change("a", b"2", 0)])
    await store.write([Change("a", b"2", revision)])
    assert (await store.get("a")).value == b"2"


async def test_write_with_a_failed_guard_is_refused(store):
    with pytest.raises(ConflictError):
        await store.write([Change("a", b"1", 0)], [Guard("lease", 7)])
    assert await store.get("a") is None


async def test_keys_of_an_expired_lease_are_deleted(store, clock):
    lease = await store.grant_lease(5.0)
    await store.write([Change("a", b"1", 0, lease.lease_id)])
    await clock.advance(5.0)
    assert await store.get("a") is None


async def test_watch_delivers_changes_in_order(store):
    await store.write([Change("p/a", b"1", 0)])
    seen = []

    async def follow():
        async for events in store.watch("p/", 0):
            seen.extend(events)
            if len(seen) == 2:
                return

    task = asyncio.create_task(follow())
    await asyncio.sleep(0)
    await store.write([Change("q/a", b"1", 0), Change("p/b", b"2", 0)])
    await asyncio.wait_for(task, 5)
    assert [event.key for event in seen] == ["p/a", "p/b"]
