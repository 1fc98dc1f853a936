import pytest
from burdockthread_fleet.leadership import (
    CAMPAIGN_INTERVAL_S,
    LEASE_KEY,
    LEASE_TTL_S,
    SAFETY_MARGIN_S,
    Leadership,
)
from burdockthread_model.clock import MemoryClock
from burdockthread_model.errors import (
    ConflictError,
    LeaseLostError,
    StoreUnknownError,
)
from burdockthread_store.memory_store import MemoryStore
from burdockthread_store.store import Change


class LossyStore(MemoryStore):
    """Loses the answers to the next `lost_answers` writes, which take effect."""

    lost_answers = 0

    async def write(self, changes, guards=()):
        revision = await super().write(changes, guards)
        if self.lost_answers:
            self.lost_answers -= 1
            raise StoreUnknownError("the answer was lost")
        return revision


async def test_one_holder_at_a_time(store, clock):
    first, second = (Leadership(name, store, clock) for name in ("a", "b"))
    assert await first.keep()
    assert not await second.keep()
    await first.resign()
    await clock.advance(CAMPAIGN_INTERVAL_S)
    assert await second.keep()


async def test_campaign_with_a_lost_answer_succeeds_at_the_next_attempt(clock):
    store = LossyStore(clock)
    store.lost_answers = 1
    leadership = Leadership("a", store, clock)
    assert not await leadership.keep()
    await clock.advance(CAMPAIGN_INTERVAL_S)
    assert await leadership.keep()
    await leadership.write([Change("x", b"1", 0)])


async def test_campaign_with_a_lost_answer_blocks_others_no_longer_than_the_lease(
    clock,
):
    store = LossyStore(clock)
    store.lost_answers = 1
    dead, other = (Leadership(name, store, clock) for name in ("a", "b"))
    await dead.keep()
    waited_s = 0.0
    while not await other.keep():
        await clock.advance(0.5)
        waited_s += 0.5
    assert waited_s <= LEASE_TTL_S + CAMPAIGN_INTERVAL_S


async def test_holder_stops_writing_a_margin_before_its_lease_expires(store, clock):
    leadership = Leadership("a", store, clock)
    await leadership.keep()
    await clock.advance(LEASE_TTL_S - SAFETY_MARGIN_S)
    assert not leadership.held()
    with pytest.raises(LeaseLostError):
        await leadership.write([Change("x", b"1", 0)])
    assert (await store.get(LEASE_KEY)) is not None


async def test_store_refuses_writes_of_a_former_holder_with_a_stopped_clock(
    store, clock
):
    paused = Leadership("a", store, MemoryClock())
    assert await paused.keep()
    await clock.advance(LEASE_TTL_S)
    assert await Leadership("b", store, clock).keep()
    assert paused.held()
    with pytest.raises(ConflictError):
        await paused.write([Change("x", b"1", 0)])
    await paused.verify()
    assert not paused.held()


async def test_lease_is_renewed_only_once_per_renewal_interval(store, clock):
    leadership = Leadership("a", store, clock)
    renewals = 0
    renew = store.renew_lease

    async def counted(lease):
        nonlocal renewals
        renewals += 1
        return await renew(lease)

    store.renew_lease = counted
    for _ in range(60):
        assert await leadership.keep()
        await clock.advance(0.5)
    assert renewals <= 10
