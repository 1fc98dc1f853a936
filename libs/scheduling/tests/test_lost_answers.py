"""A store that loses the answers to some calls.

The pattern: for some seconds half of the writes get no answer, renewals of leases among
them. Entries that the store answers otherwise must keep their duties.
"""

import asyncio
import itertools

import pytest
from burdockthread_model.errors import StoreUnavailableError
from burdockthread_scheduling.entry_lease import LEASE_TTL_S

CALL_TIMEOUT_S = 0.8
LOST_S = 8.0


def lose_answers(entries, answered_in, kinds=("renew_lease", "grant_lease")):
    """Answers only one in some lease calls of each entry; the others time out."""
    for store in entries.stores.values():
        for kind in kinds:
            setattr(
                store, kind, lossy(entries.clock, getattr(store, kind), answered_in)
            )


def lossy(clock, call, answered_in):
    """Wraps a call so that only one in some is answered."""
    numbers = itertools.count(1)

    async def send(argument):
        if next(numbers) % answered_in:
            await clock.sleep(CALL_TIMEOUT_S)
            raise StoreUnavailableError("no answer")
        return await call(argument)

    return send


@pytest.mark.parametrize("answered_in", [2, 3, 4])
async def test_duties_stay_where_they_are_while_renewals_are_lost(entries, answered_in):
    before = {
        name: held.tenure.fence
        for duties in entries.duties.values()
        for name, held in duties.held.items()
    }
    lose_answers(entries, answered_in)
    await entries.pass_time(LOST_S)
    after = {
        name: held.tenure.fence
        for duties in entries.duties.values()
        for name, held in duties.held.items()
    }
    assert after == before


async def test_lease_is_granted_while_answers_are_lost(entries):
    lose_answers(entries, 3)
    newcomer = entries.add("four")
    lose_answers(entries, 3, ("grant_lease",))
    await entries.pass_time(LEASE_TTL_S / 2)
    assert newcomer.lease.remaining_s() > 0


# Guards against calls that pile up while the store is silent.
async def test_silent_store_gets_a_bounded_number_of_renewals(entries):
    waiting = []

    async def silent(lease):
        waiting.append(lease)
        try:
            await entries.clock.sleep(CALL_TIMEOUT_S)
        finally:
            waiting.pop()
        raise StoreUnavailableError("no answer")

    store = entries.stores["one"]
    store.renew_lease = store.grant_lease = silent
    most = 0
    for _ in range(100):
        await entries.pass_time(0.05)
        most = max(most, len(waiting))
    assert most <= 4
    await entries.kill("one")
    await asyncio.sleep(0)
    assert waiting == []


async def test_job_whose_write_was_lost_is_stored_by_the_next_one(site):
    site.faulty.set_faults({"drop_requests": 2})
    assert site.phase(await site.submit()) is not None
