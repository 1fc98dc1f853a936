import asyncio
import math

import pytest
from burdockthread_model.errors import StoreBudgetError, StoreError
from burdockthread_store.budget import CallBudget
from burdockthread_store.budgeted_store import BudgetedStore
from burdockthread_store.prefix_cache import PrefixCache
from burdockthread_store.settled_store import SettledStore
from burdockthread_store.store import Change

READS_PER_S = 20.0
WRITES_PER_S = 10.0
CACHES = 4
LEASE_TTL_S = 10.0


@pytest.fixture
def budgeted(faulty, clock) -> BudgetedStore:
    return BudgetedStore(faulty, CallBudget(READS_PER_S, WRITES_PER_S, clock))


async def keep_writing(store, seed):
    number = 0
    while True:
        number += 1
        try:
            await store.write([Change(f"p/{seed}/{number}", b"1", 0)])
        except StoreError:
            await asyncio.sleep(0)


async def keep_reading(store):
    while True:
        try:
            await store.get("p/a")
        except StoreError:
            await asyncio.sleep(0)


async def keep_renewing(store, clock, renewals):
    lease = await store.grant_lease(LEASE_TTL_S)
    while True:
        await clock.sleep(1.0)
        try:
            lease = await store.renew_lease(lease)
            renewals.append(clock.now())
        except StoreBudgetError:
            renewals.append(float("nan"))
        except StoreError:
            continue


@pytest.mark.parametrize(
    "fault",
    [
        {},
        {"down": True},
        {"slow_s": 0.5},
        {"flap_s": 3.0},
        {"lose_answers": 10_000},
        {"drop_requests": 10_000},
        {"reorder": True, "duplicate": True},
        {"close_watches": True},
        {"compact": True, "close_watches": True},
    ],
    ids=str,
)
async def test_budget_is_kept_and_leases_renewed_under_every_fault(
    budgeted, faulty, clock, metrics, fault
):
    settled = SettledStore(budgeted, "entry-1", clock, metrics)
    renewals: list[float] = []
    caches = [PrefixCache(settled, f"p/{n}/", clock) for n in range(CACHES)]
    work = [cache.run() for cache in caches]
    work += [keep_writing(settled, n) for n in range(12)]
    work += [keep_reading(settled), keep_renewing(settled, clock, renewals)]
    tasks = [asyncio.create_task(item) for item in work]
    await clock.advance(5.0)
    for _ in range(20):
        faulty.set_faults(fault)
        await clock.advance(0.5)
    for task in tasks:
        task.cancel()
    report = faulty.faults.counters.report()
    assert report["peaks_per_s"]["reads"] <= READS_PER_S
    assert report["peaks_per_s"]["writes"] <= WRITES_PER_S
    assert report["calls"]["renew"] >= 8
    assert not any(math.isnan(renewal) for renewal in renewals)
    if "down" not in fault:
        assert len(renewals) >= 3


async def test_call_refused_by_the_budget_was_not_sent(budgeted, faulty, clock):
    calls = [asyncio.create_task(budgeted.get("a")) for _ in range(60)]
    await clock.advance(2.1)
    refused = [c for c in calls if c.done() and c.exception() is not None]
    assert refused
    assert all(isinstance(c.exception(), StoreBudgetError) for c in refused)
    assert faulty.faults.counters.calls["get"] + len(refused) == len(calls)


async def test_lease_call_skips_the_queue_of_writes(budgeted, clock):
    writes = [
        asyncio.create_task(budgeted.write([Change(f"a{n}", b"1", 0)]))
        for n in range(30)
    ]
    await clock.advance(0.01)
    lease = await asyncio.wait_for(budgeted.grant_lease(5.0), 1)
    assert lease.expires_s == clock.now() + 5.0
    for write in writes:
        write.cancel()
