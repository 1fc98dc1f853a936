import asyncio
from typing import NamedTuple

import pytest
from burdockthread_model.clock import MemoryClock
from burdockthread_peers.lent_permits import ROWS_PER_S, LentPermits
from burdockthread_peers.loans import AskSlots, SlotRow
from burdockthread_peers.memory_mesh import MemoryNetwork
from burdockthread_peers.static_permits import StaticPermits
from hypothesis import given, settings
from hypothesis import strategies as st

SLOTS = 8
LONGEST_S = 5.0
NAMES = ("a", "b", "c")
ENDPOINTS = ("vm-1", "vm-2")
EXAMPLES = 60


class Exchange(NamedTuple):
    """A request in flight at an endpoint."""

    permits: LentPermits
    endpoint: str
    end_s: float


class Entries:
    """Entries that share endpoints, and their requests in flight."""

    def __init__(self, clock):
        self.clock = clock
        self.network = MemoryNetwork()
        self.permits = {}
        self.tasks = {}
        self.exchanges = []
        self.starts = 0

    def start(self, name):
        self.kill(name)
        self.starts += 1
        mesh = self.network.join(name)
        static = StaticPermits(name, NAMES, lambda service: SLOTS)
        permits = LentPermits(
            mesh, static, lambda s: ENDPOINTS, f"i{self.starts}", self.clock, LONGEST_S
        )
        self.permits[name] = permits
        self.tasks[name] = asyncio.ensure_future(permits.run())

    def kill(self, name):
        permits = self.permits.pop(name, None)
        if permits is None:
            return
        self.tasks.pop(name).cancel()
        self.network.meshes.pop(name)
        self.exchanges = [e for e in self.exchanges if e.permits is not permits]

    async def wait(self, seconds):
        target_s = self.clock.now() + seconds
        while self.clock.now() < target_s:
            await self.clock.advance(min(0.5, target_s - self.clock.now()))
            for exchange in [e for e in self.exchanges if e.end_s <= self.clock.now()]:
                self.finish(exchange)

    def finish(self, exchange):
        self.exchanges.remove(exchange)
        exchange.permits.release("s", exchange.endpoint)

    def acquire(self, name, endpoint, seconds=LONGEST_S):
        permits = self.permits.get(name)
        if permits is None or not permits.try_acquire("s", endpoint):
            return False
        end_s = self.clock.now() + seconds
        self.exchanges.append(Exchange(permits, endpoint, end_s))
        in_flight = sum(e.endpoint == endpoint for e in self.exchanges)
        assert in_flight <= SLOTS, "more in flight than slots"
        return True

    def fill(self, name, endpoint="vm-1"):
        return sum(self.acquire(name, endpoint) for _ in range(SLOTS))


@pytest.fixture
async def entries(clock):
    entries = Entries(clock)
    for name in NAMES:
        entries.start(name)
    await entries.wait(1.0)
    yield entries
    for name in NAMES:
        entries.kill(name)


async def test_idle_slots_are_borrowed_on_demand(entries):
    share = entries.fill("a")
    await entries.wait(1.0)
    assert share + entries.fill("a") > share
    assert entries.permits["b"].limit("s", "vm-1") >= 1


async def test_nothing_is_sent_without_demand(entries):
    numbers = [book.number for book in entries.permits["a"].borrowed.values()]
    entries.acquire("a", "vm-1")
    await entries.wait(3.0)
    assert numbers == [b.number for b in entries.permits["a"].borrowed.values()]


async def test_unused_loans_return(entries):
    entries.fill("a")
    await entries.wait(LONGEST_S + 2.0)
    share = entries.permits["b"].static.limit("s", "vm-1")
    assert entries.permits["b"].limit("s", "vm-1") == share


async def test_a_lender_in_demand_lends_nothing_more(entries):
    entries.fill("b")
    entries.fill("a")
    await entries.wait(0.5)
    assert not any(b.in_use for b in entries.permits["a"].borrowed.values())


async def test_a_paused_borrower_does_not_use_an_expired_loan(entries):
    entries.fill("a")
    await entries.wait(1.0)
    entries.network.partition({"a"}, {"b", "c"})
    entries.clock.time_s += 3.0
    assert not entries.acquire("a", "vm-1")


async def test_slots_of_a_killed_borrower_return_after_the_longest_request(entries):
    entries.fill("a")
    await entries.wait(1.0)
    entries.fill("a")
    lent = entries.permits["b"].book.lent_out(("s", "vm-1"))
    assert lent
    entries.kill("a")
    await entries.wait(LONGEST_S)
    assert entries.permits["b"].book.lent_out(("s", "vm-1")) == lent
    await entries.wait(3.0)
    assert entries.permits["b"].book.lent_out(("s", "vm-1")) == 0


async def test_a_restarted_lender_uses_only_slots_that_it_never_lends(entries):
    entries.fill("a")
    await entries.wait(1.0)
    assert entries.fill("a")
    entries.network.partition({"a"}, {"b"})
    entries.start("b")
    await entries.wait(0.4)
    permits = entries.permits["b"]
    kept = permits.static.limit("s", "vm-1") - permits.lendable(("s", "vm-1"))
    assert entries.fill("b") == kept


async def test_returned_slots_are_not_used_when_the_answer_is_lost(entries):
    entries.fill("a")
    await entries.wait(0.5)
    entries.network.lost_replies |= {("a", "b"), ("a", "c")}
    book = entries.permits["a"].borrowed["b"]
    assert book.usable(("s", "vm-1"))
    await entries.wait(1.0)
    assert book.loans[("s", "vm-1")].until_s > entries.clock.now()
    assert not book.usable(("s", "vm-1"))


async def test_a_restarted_borrower_frees_its_loans(entries):
    entries.fill("a")
    await entries.wait(1.0)
    assert entries.permits["b"].book.lent_out(("s", "vm-1"))
    entries.start("a")
    await entries.wait(0.5)
    assert not entries.permits["b"].book.lent_out(("s", "vm-1"))


async def test_rows_are_bounded_when_every_entry_is_in_demand(entries, monkeypatch):
    many = tuple(f"vm-{number}" for number in range(500))
    permits = entries.permits["a"]
    monkeypatch.setattr(permits, "endpoints", lambda service: many)
    monkeypatch.setattr(permits, "in_demand", lambda service: True)
    permits.refused_s["s"] = entries.clock.now()
    sent = []
    call = permits.mesh.call

    async def counted(peer, message, reply, timeout_s):
        sent.extend(message.rows)
        return await call(peer, message, reply, timeout_s)

    monkeypatch.setattr(permits.mesh, "call", counted)
    await entries.wait(10.0)
    assert ROWS_PER_S < len(sent) <= 11 * ROWS_PER_S


async def test_an_entry_that_is_not_listed_has_no_share(entries):
    permits = StaticPermits("z", NAMES, lambda service: SLOTS)
    assert not permits.try_acquire("s", "vm-1")


async def test_an_old_message_lends_nothing(entries):
    row = (SlotRow("s", "vm-1", 0, 1),)
    permits = entries.permits["b"]
    assert (await permits.on_ask("a", AskSlots("i1", 5, row))).grants
    assert not (await permits.on_ask("a", AskSlots("i1", 4, row))).grants
    assert (await permits.on_ask("a", AskSlots("i9", 1, row))).grants
    assert not (await permits.on_ask("a", AskSlots("i1", 6, row))).grants


KINDS = ("fill",) * 8 + ("wait",) * 5 + ("finish", "finish", "kill", "start", "start")
FAULTS = ("cut", "lose", "heal", "heal")
ACTIONS = st.tuples(
    st.sampled_from(KINDS + FAULTS),
    st.sampled_from(NAMES),
    st.sampled_from(NAMES),
    st.sampled_from([0.1, 0.3, 1.0, 3.0]),
)


async def play(actions):
    entries = Entries(MemoryClock())
    for name in NAMES:
        entries.start(name)
    await entries.wait(1.0)
    for action, name, other, seconds in actions:
        if action == "fill":
            entries.fill(name, ENDPOINTS[seconds == 0.1])
        elif action == "wait":
            await entries.wait(seconds)
        elif action == "finish" and entries.exchanges:
            entries.finish(
                entries.exchanges[int(seconds * 10) % len(entries.exchanges)]
            )
        elif action == "kill":
            entries.kill(name)
        elif action == "start":
            entries.start(name)
        elif action == "cut":
            entries.network.partition({name}, {other} - {name})
        elif action == "lose":
            entries.network.lost_replies.add((name, other))
        elif action == "heal":
            entries.network.heal()
    for name in NAMES:
        entries.kill(name)


@settings(max_examples=EXAMPLES)
@given(st.lists(ACTIONS, min_size=40, max_size=40))
def test_slots_are_never_exceeded_under_faults(actions):
    asyncio.run(play(actions))
