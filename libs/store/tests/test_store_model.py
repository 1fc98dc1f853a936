"""Random writes, faults and restarts, checked against the writes that took effect."""

import asyncio
from typing import NamedTuple

from burdockthread_model.clock import MemoryClock, settle
from burdockthread_model.errors import ConflictError, StoreError, StoreUnknownError
from burdockthread_model.metrics import MemoryMetrics
from burdockthread_store.budget import CallBudget
from burdockthread_store.budgeted_store import BudgetedStore
from burdockthread_store.faulty_store import FaultyStore
from burdockthread_store.memory_store import MemoryStore
from burdockthread_store.prefix_cache import PrefixCache
from burdockthread_store.settled_store import SettledStore
from burdockthread_store.store import Change
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, precondition, rule

READS_PER_S = 40.0
WRITES_PER_S = 20.0
KEYS = ("p/a", "p/b", "p/c", "q/a")
CLIENTS = (0, 1)
CALM_S = 340.0
FAULTS = (
    {"down": True},
    {"flap_s": 2.0},
    {"slow_s": 0.7},
    {"slow_s": 3.0},
    {"lag_s": 5.0},
    {"reorder": True},
    {"duplicate": True},
    {"lose_answers": 1},
    {"lose_answers": 5},
    {"lose_answers": 1, "slow_s": 1.5},
    {"late_write_s": 1.0, "slow_s": 0.2},
    {"drop_requests": 1, "lose_answers": 1},
    {"drop_requests": 1},
    {"drop_requests": 4},
    {"late_write_s": 0.3},
    {"late_write_s": 30.0},
    {"close_watches": True},
    {"silence_watches": True},
    {"compact": True},
)


class Attempt(NamedTuple):
    """A started write; `value` is unique to it."""

    value: bytes
    task: asyncio.Task


class RecordingStore(MemoryStore):
    """Records every write that took effect, also those compacted later."""

    def __init__(self, clock):
        super().__init__(clock)
        self.written = []

    def apply(self, key, value, lease_id):
        super().apply(key, value, lease_id)
        self.written.append((key, value, self.revision))


class StoreMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.runner = asyncio.Runner()
        self.attempts = []
        self.runner.run(self.start())

    async def start(self):
        self.clock = MemoryClock()
        self.memory = RecordingStore(self.clock)
        self.faulty = FaultyStore(self.memory, self.clock)
        self.clients = [self.new_client(number) for number in CLIENTS]
        self.cache = PrefixCache(self.clients[0], "p/", self.clock)
        self.delivered = {}
        self.cache.listeners.append(self.on_item)
        self.following = asyncio.create_task(self.cache.run())

    def new_client(self, number):
        budget = CallBudget(READS_PER_S, WRITES_PER_S, self.clock)
        store = BudgetedStore(self.faulty, budget)
        return SettledStore(store, f"entry-{number}", self.clock, MemoryMetrics())

    def on_item(self, key, item):
        if item is not None:
            assert item.revision > self.delivered.get(key, 0)
            self.delivered[key] = item.revision

    def revision_of(self, key):
        found = self.memory.values.get(key)
        return 0 if found is None else found.revision

    def begin(self, number, changes, value):
        async def begin():
            write = self.clients[number].write(changes)
            self.attempts.append(Attempt(value, asyncio.create_task(write)))
            await settle()

        self.runner.run(begin())

    @rule(
        number=st.sampled_from(CLIENTS),
        keys=st.sets(st.sampled_from(KEYS), min_size=1, max_size=3),
        stale=st.integers(0, 4),
    )
    def put_keys(self, number, keys, stale):
        self.put(number, keys, stale)

    def put(self, number, keys, stale):
        value = b"value-%d" % len(self.attempts)
        changes = [
            Change(key, value, self.revision_of(key) + (stale == 0))
            for key in sorted(keys)
        ]
        self.begin(number, changes, value)

    @rule(number=st.sampled_from(CLIENTS), key=st.sampled_from(KEYS))
    def delete(self, number, key):
        if self.revision_of(key):
            marker = b"value-%d" % len(self.attempts)
            changes = [
                Change(key, None, self.revision_of(key)),
                Change(f"q/{marker.decode()}", marker, 0),
            ]
            self.begin(number, changes, marker)

    @rule(number=st.sampled_from(CLIENTS))
    def restart(self, number):
        self.clients[number] = self.new_client(number)

    @rule(fault=st.sampled_from(FAULTS))
    def fault(self, fault):
        self.faulty.set_faults(fault)

    @rule(fault=st.sampled_from(FAULTS), number=st.sampled_from(CLIENTS))
    def put_under_fault(self, fault, number):
        self.faulty.set_faults(fault)
        self.put(number, {KEYS[len(self.attempts) % len(KEYS)]}, 1)

    @rule()
    def outage_after_a_write(self):
        self.faulty.faults.lose_next_answer()
        self.faulty.faults.slow_s = 0.2
        self.put(0, {KEYS[0]}, 1)
        self.advance(0.3)
        self.faulty.faults.down = True
        self.advance(12.0)

    @precondition(lambda self: self.attempts)
    @rule(seconds=st.sampled_from((0.0, 0.05, 0.5, 4.0, 15.0)))
    def advance(self, seconds):
        self.runner.run(self.clock.advance(seconds))

    @rule()
    def calm(self):
        self.faulty.faults.clear()

    def teardown(self):
        try:
            self.runner.run(self.finish())
        finally:
            self.runner.close()

    async def finish(self):
        self.faulty.faults.clear()
        await self.clock.advance(CALM_S)
        for attempt in self.attempts:
            self.check(attempt)
        assert not self.following.done()
        self.following.cancel()
        stored = (await self.memory.list("p/")).items
        assert self.cache.values == {item.key: item for item in stored}

    def check(self, attempt):
        revisions = [
            revision
            for _, value, revision in self.memory.written
            if value == attempt.value
        ]
        assert len(set(revisions)) <= 1
        error = attempt.task.exception()
        if error is None:
            assert revisions[0] == attempt.task.result()
        elif not isinstance(error, StoreUnknownError):
            assert isinstance(error, ConflictError | StoreError)
            assert revisions == []


TestStore = StoreMachine.TestCase
TestStore.settings = settings(max_examples=60, stateful_step_count=30)
