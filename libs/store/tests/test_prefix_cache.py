import asyncio

import pytest
from burdockthread_store.memory_store import MemoryStore
from burdockthread_store.prefix_cache import PrefixCache
from burdockthread_store.store import Change, WatchEvent


@pytest.fixture
async def cache(faulty, clock):
    cache = PrefixCache(faulty, "p/", clock)
    task = asyncio.create_task(cache.run())
    await clock.advance(0.0)
    yield cache
    task.cancel()


@pytest.fixture
def counters(faulty):
    return faulty.faults.counters


async def put(store, key, value):
    found = await store.get(key)
    await store.write([Change(key, value, 0 if found is None else found.revision)])


async def delete(store, key):
    await store.write([Change(key, None, (await store.get(key)).revision)])


def contents(cache):
    return {key: item.value for key, item in cache.values.items()}


async def test_values_are_kept_in_an_outage_and_catch_up_without_a_listing(
    cache, faulty, store, clock, counters
):
    await put(store, "p/a", b"1")
    await clock.advance(1.0)
    faulty.faults.down = True
    await clock.advance(120.0)
    assert contents(cache) == {"p/a": b"1"}
    await put(store, "p/a", b"2")
    await put(store, "p/b", b"1")
    await delete(store, "p/b")
    faulty.faults.down = False
    await clock.advance(4.0)
    assert contents(cache) == {"p/a": b"2"}
    assert cache.listing_count == 1
    assert counters.peaks["reads"] <= 12


async def test_broken_watch_loses_nothing(cache, faulty, store, clock):
    seen = []
    cache.listeners.append(lambda key, item: seen.append((key, item is None)))
    for number in range(20):
        await put(store, f"p/{number}", b"1")
        faulty.faults.close_watches()
        await delete(store, f"p/{number}")
        await clock.advance(0.2)
    await clock.advance(5.0)
    assert cache.values == {}
    assert cache.listing_count == 1
    assert seen.count(("p/7", True)) == seen.count(("p/7", False))


async def test_compaction_costs_one_listing(cache, faulty, store, clock):
    await put(store, "p/a", b"1")
    await clock.advance(1.0)
    faulty.faults.down = True
    await delete(store, "p/a")
    await put(store, "p/b", b"1")
    faulty.set_faults({"compact": True, "down": False})
    await clock.advance(5.0)
    assert contents(cache) == {"p/b": b"1"}
    assert cache.listing_count == 2


async def test_watch_without_events_is_reopened(cache, faulty, store, clock):
    await put(store, "p/a", b"1")
    await clock.advance(1.0)
    faulty.faults.silence_watches()
    await put(store, "p/a", b"2")
    await clock.advance(12.5)
    assert contents(cache) == {"p/a": b"2"}
    assert cache.listing_count == 1


@pytest.mark.parametrize("lag_s", [1.0, 6.0, 11.0])
async def test_lagging_watch_still_delivers_its_events(
    cache, faulty, store, clock, lag_s
):
    faulty.faults.lag_s = lag_s
    await put(store, "p/a", b"1")
    await clock.advance(40.0)
    assert contents(cache) == {"p/a": b"1"}
    assert cache.listing_count == 1


async def test_changes_that_the_watch_never_delivers_are_found_by_listings(
    cache, faulty, store, clock
):
    faulty.faults.lag_s = 1_000.0
    await put(store, "p/a", b"1")
    await clock.advance(320.0)
    assert contents(cache) == {"p/a": b"1"}
    await put(store, "p/a", b"2")
    await clock.advance(25.0)
    assert contents(cache) == {"p/a": b"2"}


async def test_quiet_prefix_of_a_busy_store_is_listed_rarely(cache, store, clock):
    for number in range(360):
        await put(store, "q/a", b"%d" % number)
        await clock.advance(10.0)
    assert cache.listing_count <= 1 + 3_600 / 300


async def test_reordered_and_repeated_events_restore_no_old_value(
    cache, faulty, store, clock
):
    faulty.faults.reorder = True
    faulty.faults.duplicate = True
    await store.write([Change("p/a", b"1", 0), Change("p/b", b"1", 0)])
    await put(store, "p/a", b"2")
    await delete(store, "p/a")
    await put(store, "p/b", b"2")
    await clock.advance(1.0)
    assert contents(cache) == {"p/b": b"2"}


async def test_event_delivered_out_of_order_before_a_break_is_not_lost(store, clock):
    cache = PrefixCache(store, "p/", clock)
    await cache.refresh()
    await put(store, "p/a", b"1")
    await put(store, "p/b", b"1")
    cache.apply(WatchEvent("p/b", b"1", 2))
    task = asyncio.create_task(cache.follow())
    await clock.advance(0.1)
    task.cancel()
    assert contents(cache) == {"p/a": b"1", "p/b": b"1"}


async def test_events_of_a_quiet_prefix_are_delivered_again_only_once(
    cache, faulty, store, clock
):
    delivered = []
    deliver = faulty.apply_delivery_faults
    faulty.apply_delivery_faults = lambda events: (
        delivered.extend(events) or deliver(events)
    )
    for number in range(50):
        await put(store, f"p/{number}", b"1")
    await clock.advance(600.0)
    assert len(contents(cache)) == 50
    assert len(delivered) == 100


async def test_lagging_watch_does_not_raise_the_covered_revision(
    cache, faulty, store, clock
):
    await put(store, "p/a", b"1")
    await clock.advance(0.1)
    faulty.faults.lag_s = 15.0
    await clock.advance(60.0)
    assert cache.covered_revision == 0
    faulty.faults.lag_s = 0.0
    await clock.advance(60.0)
    assert cache.covered_revision == cache.revision


async def test_restored_store_is_followed_from_its_own_revisions(
    cache, faulty, store, clock
):
    for number in range(10):
        await put(store, "p/a", b"%d" % number)
    await clock.advance(60.0)
    faulty.store = MemoryStore(clock)
    faulty.faults.close_watches()
    await clock.advance(60.0)
    await put(faulty.store, "p/a", b"new")
    await clock.advance(15.0)
    assert contents(cache) == {"p/a": b"new"}


async def test_briefly_lagging_store_is_no_rollback(cache, faulty, store, clock):
    await put(store, "p/a", b"1")
    await clock.advance(1.0)
    faulty.store = MemoryStore(clock)
    faulty.faults.close_watches()
    await clock.advance(5.0)
    faulty.store = store
    faulty.faults.close_watches()
    await put(store, "p/a", b"2")
    await clock.advance(13.0)
    assert contents(cache) == {"p/a": b"2"}
    assert cache.rollbacks == 0


async def test_store_restored_from_a_backup_is_followed(cache, faulty, store, clock):
    for number in range(10):
        await put(store, "p/a", b"%d" % number)
    await clock.advance(1.0)
    faulty.store = MemoryStore(clock)
    await put(faulty.store, "p/a", b"old")
    faulty.faults.close_watches()
    await clock.advance(30.0)
    assert contents(cache) == {"p/a": b"old"}
    assert cache.rollbacks == 1
    await put(faulty.store, "p/b", b"new")
    await clock.advance(1.0)
    assert contents(cache) == {"p/a": b"old", "p/b": b"new"}


async def test_listener_error_does_not_stop_the_cache(cache, store, clock):
    def fail(key, item):
        raise KeyError(key)

    seen = []
    cache.listeners.extend([fail, lambda key, item: seen.append(key)])
    await put(store, "p/a", b"1")
    await clock.advance(1.0)
    await put(store, "p/b", b"1")
    await clock.advance(1.0)
    assert seen == ["p/a", "p/b"]
    assert cache.listener_failures == 2
