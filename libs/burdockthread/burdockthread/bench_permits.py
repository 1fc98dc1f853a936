"""Compares slot permits under a skewed load."""

import asyncio
import random
from collections import deque
from collections.abc import Coroutine, Sequence
from typing import NamedTuple

from burdockthread_model.clock import Clock, MemoryClock
from burdockthread_peers.lent_permits import LentPermits
from burdockthread_peers.memory_mesh import MemoryNetwork
from burdockthread_peers.permits import SlotPermits
from burdockthread_peers.static_permits import StaticPermits

from burdockthread.measures import Measure, at_most

SERVICE = "bookings"
ENDPOINTS = tuple(f"vm-{number}" for number in range(6))
SLOTS = 8
LOAD = 0.75
HOT_SHARE = 0.5
EXCHANGE_S = 0.2
RUN_S = 20.0
POLL_INTERVAL_S = 0.25
PERCENTILE = 0.99


class Outcome(NamedTuple):
    """Results of a run.

    Attributes:
        waits_s: Seconds that each request waited for a slot.
        used: Mean share of all slots in use.
        highest: Most requests in flight at one endpoint.
    """

    waits_s: list[float]
    used: float
    highest: int


class EntryQueue:
    """First-come, first-served queue of one entry's requests for slots."""

    def __init__(self, permits: SlotPermits, run: "SkewedRun") -> None:
        self.permits = permits
        self.run = run
        self.waiting: deque[float] = deque()

    def arrive(self) -> None:
        """Enqueues a request and starts it if a slot is free."""
        self.waiting.append(self.run.clock.now())
        self.start_waiting()

    def start_waiting(self) -> None:
        """Starts waiting requests while slots are free."""
        while self.waiting:
            endpoint = self.acquire()
            if endpoint is None:
                return
            self.run.start(self, endpoint, self.waiting.popleft())

    def acquire(self) -> str | None:
        """Acquires a slot at a random endpoint; returns None if none is free."""
        for endpoint in self.run.random.sample(ENDPOINTS, len(ENDPOINTS)):
            if self.permits.try_acquire(SERVICE, endpoint):
                return endpoint
        return None


class SkewedRun:
    """Load of which the first entry gets `HOT_SHARE`."""

    def __init__(
        self, seed: int, clock: Clock, permits: Sequence[SlotPermits], run_s: float
    ) -> None:
        self.random = random.Random(seed)
        self.clock = clock
        self.run_s = run_s
        self.in_flight = dict.fromkeys(ENDPOINTS, 0)
        self.highest = 0
        self.busy_s = 0.0
        self.waits_s: list[float] = []
        self.tasks: set[asyncio.Task[None]] = set()
        self.queues = [EntryQueue(item, self) for item in permits]

    def spawn(self, work: Coroutine[None, None, None]) -> None:
        """Starts a task that is cancelled at the end of the run."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def start(self, queue: EntryQueue, endpoint: str, arrived_s: float) -> None:
        """Starts a request at an endpoint and records its waiting time."""
        self.waits_s.append(self.clock.now() - arrived_s)
        self.in_flight[endpoint] += 1
        self.highest = max(self.highest, self.in_flight[endpoint])
        self.spawn(self.exchange(queue, endpoint))

    async def exchange(self, queue: EntryQueue, endpoint: str) -> None:
        """Holds a slot for the random duration of one exchange, then releases it."""
        duration_s = self.random.expovariate(1.0 / EXCHANGE_S)
        await self.clock.sleep(duration_s)
        self.busy_s += duration_s
        self.in_flight[endpoint] -= 1
        queue.permits.release(SERVICE, endpoint)
        queue.start_waiting()

    async def arrivals(self) -> None:
        """Generates random arrivals, `HOT_SHARE` of them at the first entry."""
        rate = LOAD * SLOTS * len(ENDPOINTS) / EXCHANGE_S
        next_s = self.clock.now()
        while True:
            next_s += self.random.expovariate(rate)
            await self.clock.sleep(next_s - self.clock.now())
            hot = self.random.random() < HOT_SHARE
            queue = self.queues[0] if hot else self.random.choice(self.queues[1:])
            queue.arrive()

    async def poll_queues(self) -> None:
        """Polls for slots that became free without a release, such as lent permits."""
        while True:
            await self.clock.sleep(POLL_INTERVAL_S)
            for queue in self.queues:
                queue.start_waiting()

    async def outcome(self) -> Outcome:
        """Runs the load; waiting requests count with their waiting time so far."""
        self.spawn(self.arrivals())
        self.spawn(self.poll_queues())
        if isinstance(self.clock, MemoryClock):
            await self.clock.advance(self.run_s)
        else:
            await self.clock.sleep(self.run_s)
        now_s = self.clock.now()
        waiting = [now_s - t for queue in self.queues for t in queue.waiting]
        for task in list(self.tasks):
            task.cancel()
        used = self.busy_s / (self.run_s * SLOTS * len(ENDPOINTS))
        return Outcome(self.waits_s + waiting, used, self.highest)


def slots_of(service: str) -> int:
    """Returns the number of slots of an endpoint."""
    return SLOTS


def endpoints_of(service: str) -> Sequence[str]:
    """Returns the names of the endpoints of a service."""
    return ENDPOINTS


def percentile(values: list[float], part: float) -> float:
    """Returns a percentile of values; part is between 0 and 1."""
    ordered = sorted(values)
    return ordered[min(int(part * len(ordered)), len(ordered) - 1)]


def static_permits(names: Sequence[str]) -> list[StaticPermits]:
    """Returns permits with fixed shares, one for each entry."""
    return [StaticPermits(name, names, slots_of) for name in names]


async def memory_outcome(seed: int, names: Sequence[str], lent: bool) -> Outcome:
    """Runs the load on a simulated clock, with lent permits or fixed shares."""
    clock = MemoryClock()
    static = static_permits(names)
    if not lent:
        return await SkewedRun(seed, clock, static, RUN_S).outcome()
    network = MemoryNetwork()
    permits = [
        LentPermits(network.join(item.name), item, endpoints_of, "1", clock)
        for item in static
    ]
    run = SkewedRun(seed, clock, permits, RUN_S)
    for item in permits:
        run.spawn(item.run())
    return await run.outcome()


async def permit_measures(seed: int, entries: int) -> list[Measure]:
    """Compares lent permits with fixed shares as their baseline.

    Args:
        seed: Seed of arrivals and exchanges, the same for both.
        entries: Number of entries that share the endpoints.
    """
    names = [f"entry-{number}" for number in range(entries)]
    lent = await memory_outcome(seed, names, lent=True)
    static = await memory_outcome(seed, names, lent=False)
    return outcome_measures(f"permits.{entries}_entries", lent, static)


def outcome_measures(name: str, lent: Outcome, static: Outcome) -> list[Measure]:
    """Returns the measures of lent permits, with fixed shares as the baseline."""
    mean_s = sum(lent.waits_s) / len(lent.waits_s)
    static_mean_s = sum(static.waits_s) / len(static.waits_s)
    tail_s = percentile(lent.waits_s, PERCENTILE)
    static_tail_s = percentile(static.waits_s, PERCENTILE)
    site = "target"
    return [
        Measure(f"{name}.used", site, lent.used, "of_slots", static.used),
        Measure(f"{name}.wait_mean", site, mean_s, "s", static_mean_s),
        Measure(f"{name}.wait_p99", site, tail_s, "s", static_tail_s),
        at_most(f"{name}.highest", site, lent.highest, "slots", SLOTS, static.highest),
    ]
