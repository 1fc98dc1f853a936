"""Measurements of the store client: calls, delays, processor time and memory."""

import asyncio
import json
import random
import threading
import time
import tracemalloc
from collections.abc import AsyncIterator, Callable, Coroutine, Iterator
from contextlib import asynccontextmanager, contextmanager
from statistics import median
from typing import Any, cast

import aiohttp
from aiohttp import web
from burdockthread_model.clock import Clock, MemoryClock, SystemClock
from burdockthread_model.events import EventLog
from burdockthread_model.intended import AcceptedTemplate, TemplateDocument
from burdockthread_model.metrics import MemoryMetrics
from burdockthread_model.records import encode_record
from burdockthread_model.rendering import content_hash, encode_accepted
from burdockthread_model.settings import Limits
from burdockthread_model.steps import Steps
from burdockthread_model.vm import VmRecord, VmState
from burdockthread_operators.changes import TemplateChanges
from burdockthread_standins.platform_store import FAULTS_PATH, PlatformStore
from burdockthread_standins.processes import listening
from burdockthread_store.applied import HEAD_PREFIX, AppliedConfiguration
from burdockthread_store.etcd_store import EtcdStore
from burdockthread_store.faults import StoreFaults
from burdockthread_store.faulty_store import FaultyStore
from burdockthread_store.memory_store import MemoryStore
from burdockthread_store.prefix_cache import PrefixCache
from burdockthread_store.settled_store import SettledStore
from burdockthread_store.store import Change, ConfigurationStore, KeyValue

from burdockthread.measures import Measure, at_most

LOOPBACK = "127.0.0.1"
PREFIXES = (HEAD_PREFIX, "vm/", "pool/", "job/")
VM_COUNTS = (61, 305, 610)
TEMPLATE_COUNTS = (11, 22, 44)
POOLS_PER_TEMPLATE = 8
CHANGES_PER_DAY = 2_300
CHANGES_COUNTED = 50
SECONDS_PER_DAY = 86_400.0
SIMULATED_S = 3_600.0
PHASES = 25
OUTAGE_S = 60.0
DELAY_STEP_S = 0.1
IN_FORCE_TARGET_S = 15.0
EVENTS = 300
WRITES = 200
LOST_ANSWERS = 40
LOST_ANSWER_TARGET_MS = 500.0
EVENT_INTERVAL_S = 0.002
EVENTS_TIMEOUT_S = 10.0
READS_TARGET_PER_S = 2_000.0
ENTRIES = 9
MILLISECONDS = 1_000.0
MICROSECONDS = 1_000_000.0
TARGET = "target"


async def measures(seed: int) -> list[Measure]:
    """Measures calls, delays, memory and processor time of the store client.

    Args:
        seed: Seed of the retry jitter.

    Returns:
        The measures, all of the target size.
    """
    random.seed(seed)
    found = await measure_calls()
    found += await measure_changes()
    found += await measure_delays()
    found += measure_memory()
    for count in VM_COUNTS:
        found.append(await measure_vm_events(count))
    for count in TEMPLATE_COUNTS:
        found.append(await measure_template_events(count))
    found += await measure_writes()
    return found


def new_client(store: ConfigurationStore, clock: Clock) -> SettledStore:
    """Returns the store client with the settings that an entry uses."""
    return SettledStore.with_budget(store, "entry-1", Limits(), clock, MemoryMetrics())


def vm_record(number: int, changed_s: float) -> tuple[str, bytes]:
    """Returns the store key and value of one VM record."""
    name = f"vm-{number:04}"
    pool = f"trinacria/pool-{number % 44:02}"
    record = VmRecord(name, pool, VmState.SERVING, 1, changed_s=changed_s)
    return f"vm/{name}", encode_record(record)


def template_document(number: int) -> TemplateDocument:
    """Returns a template with `POOLS_PER_TEMPLATE` pools and services."""
    numbers = range(POOLS_PER_TEMPLATE)
    raw = {
        "name": f"template-{number:02}",
        "organisations": {f"organisation-{number:02}": {}},
        "pools": {f"pool-{n}": {"vms": 14, "min_available": 10} for n in numbers},
        "services": {f"service-{n}": {"pool": f"pool-{n}"} for n in numbers},
    }
    return cast("TemplateDocument", raw)


def accepted_template(number: int, version: int) -> tuple[str, bytes]:
    """Returns the store key and value of one accepted template."""
    document = template_document(number)
    name = document["name"]
    hashed = content_hash(document)
    accepted = AcceptedTemplate(name, version, hashed, f"{name}:1", 0.0, document)
    return HEAD_PREFIX + name, encode_accepted(accepted)


async def measure_calls() -> list[Measure]:
    """Counts the calls of one entry, idle and at the target rate of changes."""
    found = []
    for name, per_day in (("idle", 0), ("changes", CHANGES_PER_DAY)):
        clock = MemoryClock()
        memory = MemoryStore(clock)
        faulty = FaultyStore(memory, clock)
        client = new_client(faulty, clock)
        caches = [PrefixCache(client, prefix, clock) for prefix in PREFIXES]
        tasks = [asyncio.create_task(cache.run()) for cache in caches]
        await pass_time(clock, memory, per_day)
        for task in tasks:
            task.cancel()
        per_s = faulty.faults.counters.total("reads") / SIMULATED_S
        share = READS_TARGET_PER_S / ENTRIES
        label = f"store_reads_{name}"
        found.append(at_most(label, TARGET, per_s, "calls/s", share, None))
        lists = sum(cache.listing_count for cache in caches)
        found.append(Measure(f"store_lists_{name}", TARGET, lists, "lists/h"))
    return found


async def pass_time(clock: MemoryClock, memory: MemoryStore, per_day: int) -> None:
    """Advances the clock by an hour while templates are accepted at a rate."""
    changes = int(per_day * SIMULATED_S / SECONDS_PER_DAY)
    if not changes:
        await clock.advance(SIMULATED_S)
        return
    for number in range(changes):
        await clock.advance(SIMULATED_S / changes)
        key, value = accepted_template(number % 44, number)
        known = memory.values.get(key)
        revision = 0 if known is None else known.revision
        await memory.write([Change(key, value, revision)])


def silence_watches(faults: StoreFaults) -> None:
    """Makes the open watches stop delivering events without an error."""
    faults.silence_watches()


def start_outage(faults: StoreFaults) -> None:
    """Makes the store unavailable."""
    faults.down = True


async def measure_delays() -> list[Measure]:
    """Measures the longest time until a cache has a change after a fault.

    The faults are a watch that stops silently and an outage of the store, each at
    several times after the start of the cache. The change is written during the
    fault.
    """
    found = []
    for name, begin in (("dead_watch", silence_watches), ("outage_end", start_outage)):
        delays = [await measure_delay_s(begin, float(phase)) for phase in range(PHASES)]
        label = f"store_{name}_worst"
        found.append(at_most(label, TARGET, max(delays), "s", IN_FORCE_TARGET_S, None))
    return found


async def measure_delay_s(
    begin: Callable[[StoreFaults], None], phase_s: float
) -> float:
    """Returns the seconds until the cache has a change.

    The time is counted from the end of an outage, or from the change if the watch
    stopped.

    Args:
        begin: Starts the fault; an outage ends after `OUTAGE_S`.
        phase_s: Seconds from the start of the cache to the fault.
    """
    clock = MemoryClock()
    memory = MemoryStore(clock)
    faulty = FaultyStore(memory, clock)
    cache = PrefixCache(new_client(faulty, clock), "vm/", clock)
    following = asyncio.create_task(cache.run())
    await clock.advance(phase_s)
    begin(faulty.faults)
    key, value = vm_record(0, 0.0)
    await memory.write([Change(key, value, 0)])
    if faulty.faults.down:
        await clock.advance(OUTAGE_S)
        faulty.faults.down = False
    started_s = clock.now()
    while key not in cache.values:
        await clock.advance(DELAY_STEP_S)
    following.cancel()
    return clock.now() - started_s


async def measure_changes() -> list[Measure]:
    """Counts the calls of one change from its proposal to its acceptance."""
    clock = MemoryClock()
    faulty = FaultyStore(MemoryStore(clock), clock)
    changes = TemplateChanges(new_client(faulty, clock), clock, Steps())
    for version in range(CHANGES_COUNTED):
        document = {**template_document(0), "weights": weights_of(version)}
        data = json.dumps(document).encode()
        change = await changes.propose("proposer", data, version)
        named = (change.change_id, change.content_hash)
        await changes.review("reviewer", *named, approve=True)
        await changes.accept("accepter", *named)
        await clock.advance(SECONDS_PER_DAY / CHANGES_PER_DAY)
    counters = faulty.faults.counters
    return [
        Measure(f"store_{group}_per_change", TARGET, total / CHANGES_COUNTED, "calls")
        for group in ("reads", "writes")
        if (total := counters.total(group))
    ]


def weights_of(version: int) -> dict[str, float]:
    """Returns weights that differ for each version, so that each is a change."""
    return {"buffer": 1.0 + version, "rollout": 1.0, "moves": 1.0, "flood": 1.0}


def measure_memory() -> list[Measure]:
    """Measures the memory of one cached key at several numbers of VMs."""
    found = []
    for count in VM_COUNTS:
        cache = PrefixCache(MemoryStore(MemoryClock()), "vm/", MemoryClock())
        tracemalloc.start()
        before, _ = tracemalloc.get_traced_memory()
        for number in range(count):
            key, value = vm_record(number, 0.0)
            cache.put(KeyValue(key, value, number + 1))
        after, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        size = (after - before) / count
        found.append(Measure(f"store_cached_key_{count}", TARGET, size, "bytes"))
    return found


class StoreThread:
    """Runs the stand-in store in its own thread.

    The processor time of the measured thread then excludes the stand-in.

    Attributes:
        platform: The stand-in store.
        url: URL of the stand-in.
    """

    def __init__(self) -> None:
        self.platform = PlatformStore(SystemClock())
        self.url = ""
        self.started = threading.Event()
        self.thread = threading.Thread(target=self.run, daemon=True)

    def run(self) -> None:
        """Runs the event loop of the thread until the server is stopped."""
        asyncio.run(self.serve())

    async def serve(self) -> None:
        """Serves the stand-in on loopback until stopped."""
        app = web.Application()
        self.platform.add_routes(app)
        self.loop = asyncio.get_running_loop()
        self.stopped = asyncio.Event()
        async with listening(app, LOOPBACK, 0) as port:
            self.url = f"http://{LOOPBACK}:{port}"
            self.started.set()
            await self.stopped.wait()

    @contextmanager
    def running(self) -> Iterator["StoreThread"]:
        """Runs the thread within the block."""
        self.thread.start()
        self.started.wait()
        try:
            yield self
        finally:
            self.loop.call_soon_threadsafe(self.stop)
            self.thread.join()

    def stop(self) -> None:
        """Closes the watches, which would delay the shutdown, and stops the server."""
        self.platform.faulty.faults.close_watches()
        self.stopped.set()

    async def call(self, work: Coroutine[Any, Any, None]) -> None:
        """Runs a coroutine in the thread and waits for its end."""
        future = asyncio.run_coroutine_threadsafe(work, self.loop)
        await asyncio.wrap_future(future)

    async def put(self, key: str, value: bytes) -> None:
        """Writes a key at any revision; must run in the thread."""
        known = self.platform.store.values.get(key)
        revision = 0 if known is None else known.revision
        await self.platform.store.write([Change(key, value, revision)])


class EventCounter:
    """Counts the events that a cache delivers."""

    def __init__(self, expected: int) -> None:
        self.expected = expected
        self.count = 0
        self.complete = asyncio.Event()

    def on_item(self, key: str, item: KeyValue | None) -> None:
        """Counts one event and signals when the expected number has arrived."""
        self.count += 1
        if self.count == self.expected:
            self.complete.set()


@asynccontextmanager
async def connected(url: str) -> AsyncIterator[SettledStore]:
    """Yields a client connected to a URL and closes it after the block."""
    clock = SystemClock()
    client = new_client(EtcdStore(url, clock), clock)
    try:
        yield client
    finally:
        await client.close()


Item = Callable[[int, int], tuple[str, bytes]]


async def time_events(count: int, item: Item, cache: PrefixCache) -> float:
    """Measures the processor time of one event.

    Args:
        count: Number of keys below the prefix.
        item: Returns the key and value for a number and a version.
        cache: Cache to measure; its store is replaced by a connected client.

    Returns:
        Processor time per event in seconds of the thread that runs the cache.
    """
    with StoreThread().running() as thread:

        async def put_all() -> None:
            for number in range(count):
                await thread.put(*item(number, 1))

        async def put_events() -> None:
            for number in range(EVENTS):
                await thread.put(*item(number % count, 2 + number))
                await asyncio.sleep(EVENT_INTERVAL_S)

        await thread.call(put_all())
        async with connected(thread.url) as client:
            cache.store = client
            await cache.refresh()
            counter = EventCounter(EVENTS)
            cache.listeners.append(counter.on_item)
            following = asyncio.create_task(cache.run())
            started_s = time.thread_time()
            await thread.call(put_events())
            async with asyncio.timeout(EVENTS_TIMEOUT_S):
                await counter.complete.wait()
            spent_s = time.thread_time() - started_s
            following.cancel()
            await asyncio.gather(following, return_exceptions=True)
    return spent_s / EVENTS


async def measure_vm_events(count: int) -> Measure:
    """Measures the processor time to receive one change of a VM record."""
    clock = SystemClock()
    cache = PrefixCache(MemoryStore(clock), "vm/", clock)
    spent_s = await time_events(count, vm_record, cache)
    value = spent_s * MICROSECONDS
    return Measure(f"store_vm_event_{count}", TARGET, value, "us")


async def measure_template_events(count: int) -> Measure:
    """Measures the processor time to apply one accepted template version."""
    clock = SystemClock()
    cache = PrefixCache(MemoryStore(clock), HEAD_PREFIX, clock)
    applied = AppliedConfiguration(EventLog("bench"))
    cache.listeners.append(applied.on_item)
    spent_s = await time_events(count, accepted_template, cache)
    value = spent_s * MICROSECONDS
    return Measure(f"store_template_event_{count}", TARGET, value, "us")


async def measure_writes() -> list[Measure]:
    """Measures the processor time of writes and the delay after a lost answer."""
    with StoreThread().running() as thread:
        async with connected(thread.url) as client:
            client.store = cast("Any", client.store).store
            plain = await time_writes(client.store, "plain")
            settled = await time_writes(client, "settled")
            times = await time_lost_answers(client, thread.url)
    worst = max(times) * MILLISECONDS
    return [
        Measure(
            "store_write", TARGET, settled * MICROSECONDS, "us", plain * MICROSECONDS
        ),
        Measure("store_lost_answer_p50", TARGET, median(times) * MILLISECONDS, "ms"),
        at_most(
            "store_lost_answer_worst", TARGET, worst, "ms", LOST_ANSWER_TARGET_MS, None
        ),
    ]


async def time_writes(store: ConfigurationStore, name: str) -> float:
    """Returns the mean processor time in seconds of one write."""
    started_s = time.thread_time()
    for number in range(WRITES):
        key, value = vm_record(number, 0.0)
        await store.write([Change(f"{name}/{key}", value, 0)])
    return (time.thread_time() - started_s) / WRITES


async def time_lost_answers(client: SettledStore, url: str) -> list[float]:
    """Returns the duration in seconds of each write whose answer was lost."""
    times = []
    async with aiohttp.ClientSession() as session:
        for number in range(LOST_ANSWERS):
            async with session.post(url + FAULTS_PATH, json={"lose_answers": 1}):
                started_s = time.monotonic()
            await client.write([Change(f"lost/{number}", b"1", 0)])
            times.append(time.monotonic() - started_s)
    return times
