"""Writes that the store leaves without an answer.

The pattern: for some seconds half of the writes get no answer, and take effect at once,
late or never, while reads are answered. A write must not wait for its time-out then.
"""

import asyncio

import pytest
from burdockthread_model.errors import StoreUnknownError, WriteLostError
from burdockthread_store.memory_store import MemoryStore
from burdockthread_store.settled_store import RESOLVE_AFTER_S, SettledStore
from burdockthread_store.store import Change

CALL_TIMEOUT_S = 0.8
LATE_S = 2.0
SLOW_S = 0.5
STEP_S = 0.05


class UnansweredStore(MemoryStore):
    """A store that leaves the next writes without an answer.

    Attributes:
        effects: For each of the next writes the seconds until it takes effect, or
            None if it never does.
        slow_s: Seconds that each answer takes.
        sent: Number of writes that were sent.
    """

    def __init__(self, clock):
        super().__init__(clock)
        self.effects = []
        self.slow_s = 0.0
        self.sent = 0
        self.late = set()

    async def write(self, changes, guards=()):
        self.sent += 1
        if not self.effects:
            await self.clock.sleep(self.slow_s)
            return await super().write(changes, guards)
        effect_s = self.effects.pop(0)
        if effect_s is not None:
            late = asyncio.create_task(self.write_late(effect_s, changes, guards))
            self.late.add(late)
            late.add_done_callback(self.late.discard)
        await self.clock.sleep(CALL_TIMEOUT_S)
        raise StoreUnknownError("no answer")

    async def write_late(self, effect_s, changes, guards):
        await self.clock.sleep(effect_s)
        await asyncio.gather(super().write(changes, guards), return_exceptions=True)

    async def get(self, key):
        await self.clock.sleep(self.slow_s)
        return await super().get(key)


@pytest.fixture
def store(clock):
    return UnansweredStore(clock)


@pytest.fixture
def new_client(store, clock, metrics):
    return SettledStore(store, "entry-1", clock, metrics)


@pytest.fixture
async def settled(new_client):
    await new_client.write([Change("first", b"1", 0)])
    return new_client


async def finish(clock, work):
    """Runs a coroutine; returns its outcome and the seconds that it took."""
    started_s = clock.now()
    task = asyncio.ensure_future(work)
    while not task.done():
        await clock.advance(STEP_S)
    (outcome,) = await asyncio.gather(task, return_exceptions=True)
    return outcome, clock.now() - started_s


async def test_effect_of_an_unanswered_write_is_found_early(settled, store, clock):
    store.effects = [0.0]
    outcome, took_s = await finish(clock, settled.write([Change("a", b"1", 0)]))
    assert outcome == (await store.get("a")).revision
    assert took_s <= RESOLVE_AFTER_S + 2 * STEP_S


@pytest.mark.parametrize("effect_s", [None, LATE_S])
async def test_write_without_an_effect_is_given_up_early(
    settled, store, clock, effect_s
):
    store.effects = [effect_s]
    outcome, took_s = await finish(clock, settled.write([Change("a", b"1", 0)]))
    assert isinstance(outcome, WriteLostError)
    assert took_s <= RESOLVE_AFTER_S + 2 * STEP_S
    await clock.advance(2 * LATE_S)
    assert await store.get("a") is None


async def test_unanswered_fence_is_repeated_early(settled, store, clock):
    store.effects = [None, None]
    outcome, took_s = await finish(clock, settled.write([Change("a", b"1", 0)]))
    assert isinstance(outcome, WriteLostError)
    assert took_s <= 2 * RESOLVE_AFTER_S + 3 * STEP_S


# Guards against writes that are sent twice since each answer is late.
async def test_writes_to_a_slow_store_are_sent_once(settled, store, clock):
    store.slow_s = SLOW_S
    await finish(clock, settled.get("first"))
    before = store.sent
    for number in range(1, 6):
        key = f"a{number}"
        outcome, took_s = await finish(clock, settled.write([Change(key, b"1", 0)]))
        assert outcome == (await MemoryStore.get(store, key)).revision
        assert took_s <= SLOW_S + 2 * STEP_S
    assert store.sent == before + 5


# Guards against an entry that starts while the store is slow, and can't find its first
# write by the marker of its predecessor, which it has not read.
async def test_first_write_of_a_process_has_the_time_out_of_a_call(
    settled, new_client, store, clock, metrics
):
    store.slow_s = SLOW_S
    successor = SettledStore(store, new_client.name, clock, metrics)
    before = store.sent
    outcome, _ = await finish(clock, successor.write([Change("a", b"1", 0)]))
    assert outcome == (await MemoryStore.get(store, "a")).revision
    # The marker of the predecessor is in the way of the first one.
    assert store.sent == before + 2
