"""A store that answers every call, but slowly.

The pattern: for some seconds each answer of the store takes 0.1 to 0.35 s, in a turn of
demand. Holders must not take that for silence, and have to go on with their orders.
"""

import pytest
from burdockthread_scheduling.entry_lease import LEASE_TTL_S
from burdockthread_scheduling.machine_planner import MIN_LEASE_S

SLOW_S = (0.1, 0.3, 0.35)


def slow_down(entries, slow_s):
    """Delays each answer of the store for all entries."""
    for store in entries.stores.values():
        store.set_faults({"slow_s": slow_s})


# Guards against a renewal that is due only some time after the last answer, so that
# the lease runs low and the planner holds its orders back.
@pytest.mark.parametrize("slow_s", SLOW_S)
async def test_lease_lasts_for_orders_while_the_store_is_slow(entries, slow_s):
    slow_down(entries, slow_s)
    for _ in range(100):
        await entries.pass_time(0.05)
        left_s = [duties.lease.remaining_s() for duties in entries.duties.values()]
        assert min(left_s) >= MIN_LEASE_S
    assert max(left_s) <= LEASE_TTL_S


@pytest.mark.parametrize("slow_s", SLOW_S)
async def test_no_duty_is_offered_while_the_store_is_slow(entries, slow_s, caplog):
    caplog.set_level("INFO")
    before = entries.held()
    slow_down(entries, slow_s)
    await entries.pass_time(5.0)
    assert "event=duty_offered" not in caplog.text
    assert entries.held() == before


# Guards against a store that is asked without a pause.
async def test_renewals_are_no_more_frequent_on_a_slow_store(entries):
    counts = [store.faults.counters for store in entries.stores.values()]
    before = [count.calls["renew"] for count in counts]
    slow_down(entries, SLOW_S[-1])
    await entries.pass_time(5.0)
    for count, earlier in zip(counts, before, strict=True):
        assert count.calls["renew"] - earlier <= 11


async def test_takeover_needs_two_answers_of_a_slow_store(site):
    await site.submit()
    site.faulty.set_faults({"slow_s": 0.3})
    holder = await site.holder()
    await site.pass_time(0.7)
    assert holder.loaded
    assert holder.core.board.jobs
