import asyncio

import pytest
from burdockthread_model.errors import (
    ConflictError,
    StoreUnavailableError,
    StoreUnknownError,
)
from burdockthread_store.settled_store import (
    MARKER_KEY_COUNT,
    MARKER_PREFIX,
    MARKER_WAIT_S,
    SETTLE_TIMEOUT_S,
    SettledStore,
)
from burdockthread_store.store import Change, Guard


@pytest.fixture
def settled(faulty, clock, metrics) -> SettledStore:
    return SettledStore(faulty, "entry-1", clock, metrics)


@pytest.fixture
def faults(faulty):
    return faulty.faults


async def finish(clock, work, seconds=SETTLE_TIMEOUT_S + 1.0):
    """Runs a coroutine to completion while advancing the clock."""
    task = asyncio.ensure_future(work)
    while not task.done() and seconds > 0:
        await clock.advance(0.1)
        seconds -= 0.1
    return await task


async def test_marker_keys_do_not_show_in_values_and_listings(settled, store):
    await settled.write([Change("p/a", b"1", 0)])
    assert (await settled.get("p/a")).value == b"1"
    assert [item.key for item in (await settled.list("p/")).items] == ["p/a"]


async def test_lost_answer_of_an_effective_write_yields_its_revision(
    settled, faults, store
):
    faults.lose_next_answer()
    revision = await settled.write([Change("a", b"1", 0), Change("b", b"2", 0)])
    assert (await store.get("b")).revision == revision
    assert await settled.write([Change("a", b"3", revision)]) > revision


async def test_lost_request_raises_unavailable(settled, faults, store):
    faults.drop_next_request()
    with pytest.raises(StoreUnavailableError):
        await settled.write([Change("a", b"1", 0)])
    assert await store.get("a") is None


async def test_lost_answer_of_an_effective_deletion_is_resolved(settled, faults, store):
    revision = await settled.write([Change("a", b"1", 0)])
    faults.lose_next_answer()
    await settled.write([Change("a", None, revision)])
    assert await store.get("a") is None


async def test_lost_answer_is_resolved_after_another_writer_overwrote_the_value(
    settled, faults, faulty, store, clock
):
    other = SettledStore(store, "entry-2", clock, settled.metrics)
    get = faulty.get

    async def overwrite_then_get(key):
        faulty.get = get
        found = await store.get("a")
        await other.write([Change("a", b"theirs", found.revision)])
        return await get(key)

    faulty.get = overwrite_then_get
    faults.lose_next_answer()
    revision = await settled.write([Change("a", b"ours", 0)])
    assert (await store.get("a")).value == b"theirs"
    assert revision < (await store.get("a")).revision


async def test_late_write_has_no_effect_once_it_was_reported_as_not_written(
    settled, faults, store, clock
):
    faults.late_write_s = 1.0
    with pytest.raises(StoreUnavailableError):
        await settled.write([Change("a", b"1", 0)])
    await clock.advance(2.0)
    assert await store.get("a") is None


async def test_lost_request_is_fenced_although_the_answer_to_the_fence_is_lost(
    settled, faults, store, clock
):
    faults.drop_next_request()
    faults.lose_next_answer()
    with pytest.raises(StoreUnavailableError):
        await finish(clock, settled.write([Change("a", b"1", 0)]))
    assert await store.get("a") is None


async def test_outage_after_the_write_raises_unknown(settled, faults, store, clock):
    faults.lose_next_answer()
    settled.store.get = refuse
    with pytest.raises(StoreUnknownError):
        await finish(clock, settled.write([Change("a", b"1", 0)]))
    assert await store.get("a") is not None


async def refuse(key):
    raise StoreUnavailableError("the store is unavailable")


async def test_writes_in_an_outage_are_refused_before_they_are_sent(
    settled, faults, clock
):
    faults.drop_requests = 1_000
    settled.store.get = refuse
    with pytest.raises(StoreUnknownError):
        await finish(clock, settled.write([Change("a", b"1", 0)]))
    sent = faults.counters.calls["write"]
    for _ in range(5):
        with pytest.raises(StoreUnavailableError):
            await finish(clock, settled.write([Change("b", b"1", 0)]))
    assert faults.counters.calls["write"] == sent
    del settled.store.get
    faults.clear()
    assert await settled.write([Change("b", b"1", 0)])


async def test_conflict_means_that_nothing_was_written(settled, store):
    await settled.write([Change("a", b"1", 0)])
    with pytest.raises(ConflictError):
        await settled.write([Change("a", b"2", 0), Change("b", b"2", 0)])
    with pytest.raises(ConflictError):
        await settled.write([Change("b", b"2", 0)], [Guard("a", 99)])
    assert await store.get("b") is None


async def test_processes_of_the_same_name_share_the_marker_keys(
    settled, faulty, clock, metrics, store
):
    for number in range(3):
        await settled.write([Change(f"a{number}", b"1", 0)])
    successor = SettledStore(faulty, "entry-1", clock, metrics)
    await successor.write([Change("b", b"1", 0)])
    await settled.write([Change("c", b"1", 0)])
    markers = await store.list(MARKER_PREFIX)
    assert len(markers.items) == 1


async def test_lost_answer_is_resolved_after_later_writes_with_the_same_marker(
    settled, faulty, faults, clock, metrics, store
):
    await settled.write([Change("z", b"1", 0)])
    successor = SettledStore(store, "entry-1", clock, metrics)
    get = faulty.get

    async def take_over_then_get(key):
        faulty.get = get
        for number in range(3):
            await successor.write([Change(f"s{number}", b"1", 0)])
        return await get(key)

    faulty.get = take_over_then_get
    faults.lose_next_answer()
    revision = await settled.write([Change("a", b"1", 0)])
    assert (await store.get("a")).revision == revision


async def test_marker_overwritten_too_often_raises_unknown(
    settled, faulty, faults, clock, metrics, store
):
    successor = SettledStore(store, "entry-1", clock, metrics)
    get = faulty.get

    async def take_over_then_get(key):
        faulty.get = get
        for number in range(9):
            await successor.write([Change(f"s{number}", b"1", 0)])
        return await get(key)

    faulty.get = take_over_then_get
    faults.lose_next_answer()
    with pytest.raises(StoreUnknownError):
        await settled.write([Change("a", b"1", 0)])


async def test_concurrent_writes_use_separate_marker_keys(settled, store):
    writes = [settled.write([Change(f"a{n}", b"1", 0)]) for n in range(30)]
    revisions = await asyncio.gather(*writes)
    assert len(set(revisions)) == 30
    assert len((await store.list(MARKER_PREFIX)).items) <= MARKER_KEY_COUNT


async def test_write_without_a_free_marker_key_is_not_sent(settled, faults, clock):
    faults.slow_s = 60.0
    tasks = [
        asyncio.create_task(settled.write([Change(f"a{n}", b"1", 0)]))
        for n in range(MARKER_KEY_COUNT)
    ]
    with pytest.raises(StoreUnavailableError):
        await finish(clock, settled.write([Change("b", b"1", 0)]), MARKER_WAIT_S + 1)
    for task in tasks:
        task.cancel()
