import asyncio

import pytest
from burdockthread_model.clock import settle
from burdockthread_model.errors import StoreUnavailableError, StoreUnknownError
from burdockthread_store.store import Change


async def collect(faulty, into):
    async for events in faulty.watch("p/", 0):
        into.extend(event.value for event in events)


async def test_lost_answer_has_taken_effect_and_dropped_request_has_not(faulty):
    faulty.faults.lose_next_answer()
    with pytest.raises(StoreUnknownError):
        await faulty.write([Change("a", b"1", 0)])
    faulty.faults.drop_next_request()
    with pytest.raises(StoreUnknownError):
        await faulty.write([Change("b", b"1", 0)])
    assert await faulty.get("a") is not None
    assert await faulty.get("b") is None


async def test_late_write_takes_effect_after_its_delay(faulty, clock):
    faulty.faults.late_write_s = 2.0
    with pytest.raises(StoreUnknownError):
        await faulty.write([Change("a", b"1", 0)])
    await clock.advance(1.9)
    assert await faulty.get("a") is None
    await clock.advance(0.2)
    assert await faulty.get("a") is not None


async def test_outage_fails_calls_and_closes_watches(faulty):
    task = asyncio.create_task(collect(faulty, []))
    await settle()
    assert faulty.faults.counters.open_watches == 1
    faulty.faults.down = True
    with pytest.raises(StoreUnavailableError):
        await task
    with pytest.raises(StoreUnavailableError):
        await faulty.get("a")
    assert faulty.faults.counters.open_watches == 0


async def test_flapping_store_is_down_every_other_period(faulty, clock):
    faulty.faults.flap_s = 10.0
    states = []
    for _ in range(4):
        states.append(faulty.faults.down)
        await clock.advance(10.0)
    assert states == [False, True, False, True]


async def test_watch_reorders_duplicates_and_lags(faulty, clock):
    faulty.faults.reorder = True
    faulty.faults.duplicate = True
    faulty.faults.lag_s = 3.0
    await faulty.write([Change("p/a", b"1", 0), Change("p/b", b"2", 0)])
    seen = []
    task = asyncio.create_task(collect(faulty, seen))
    await clock.advance(2.9)
    assert seen == []
    await clock.advance(0.2)
    assert seen == [b"2", b"1", b"2", b"1"]
    task.cancel()


async def test_silenced_watch_stays_open_and_delivers_nothing(faulty):
    seen, later = [], []
    task = asyncio.create_task(collect(faulty, seen))
    await settle()
    faulty.faults.silence_watches()
    other = asyncio.create_task(collect(faulty, later))
    await faulty.write([Change("p/a", b"1", 0)])
    await settle()
    assert (seen, later) == ([], [b"1"])
    assert not task.done()
    task.cancel()
    other.cancel()


async def test_counters_report_the_peak_rate_within_any_second(faulty, clock):
    for _ in range(3):
        await faulty.get("a")
        await clock.advance(0.4)
    await clock.advance(5.0)
    await faulty.list("a")
    report = faulty.faults.counters.report()
    assert report["calls"] == {"get": 3, "list": 1}
    assert report["peaks_per_s"] == {"get": 3, "reads": 3, "list": 1}
