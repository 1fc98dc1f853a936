"""Measures traffic, processor time and memory of the streams between entries."""

import asyncio
import time
import tracemalloc
import uuid
from collections.abc import AsyncIterator, Sequence
from contextlib import AsyncExitStack, asynccontextmanager
from typing import NamedTuple

from burdockthread_model.clock import Clock, SystemClock
from burdockthread_model.events import EventLog
from burdockthread_model.request import CallerResponse
from burdockthread_model.settings import EntrySettings, PeerSettings
from burdockthread_model.verdict import Verdict
from burdockthread_peers.idempotency import KeyState
from burdockthread_peers.key_records import KeyRecord, KeyRecords
from burdockthread_peers.lent_permits import LentPermits
from burdockthread_peers.membership import Membership
from burdockthread_peers.owned_keys import OwnedKeys
from burdockthread_peers.relay import ConfigurationRelay
from burdockthread_peers.share_ownership import ShareOwnership
from burdockthread_peers.static_permits import StaticPermits
from burdockthread_peers.stream_mesh import StreamMesh
from burdockthread_peers.view import ViewMember
from burdockthread_store.applied import AppliedConfiguration
from burdockthread_store.memory_store import MemoryStore

from burdockthread.bench_permits import (
    ENDPOINTS,
    SERVICE,
    SkewedRun,
    outcome_measures,
    permit_measures,
    static_permits,
)
from burdockthread.measures import Measure, at_most

LOOPBACK = "127.0.0.1"
SITE = "target"
SIZES = (3, 6, 9)
JOIN_TIMEOUT_S = 15.0
SAMPLE_S = 2.0
POLL_S = 0.1
REAL_RUN_S = 5.0
HOT_SERVICES = 5
ENDPOINTS_PER_SERVICE = 14
SLOTS = 8
KEYED_REQUESTS = 300
REMEMBERED_KEYS = 20_000
CONTROL_BYTES_PER_S = 16_384.0
CONTROL_CORE_PERCENT = 2.9
KEY_TIMEOUT_S = 5.0
ANSWER = CallerResponse(200, b"x" * 64, "text/plain", Verdict.RAN)


class BenchEntry(NamedTuple):
    """The peer-to-peer components of one entry."""

    mesh: StreamMesh
    membership: Membership
    keys: OwnedKeys
    permits: LentPermits


class Sample(NamedTuple):
    """Mean traffic per second of one entry, and its use of a core in percent."""

    frames: float
    frame_bytes: float
    core_percent: float


async def measures(seed: int) -> list[Measure]:
    """Measures peer traffic and key memory, and compares slot permits.

    Args:
        seed: Seed of the load for slot permits.
    """
    found = [memory_per_key()]
    for entries in SIZES:
        found += await traffic_measures(entries)
    for entries in (SIZES[0], SIZES[-1]):
        found += await permit_measures(seed, entries)
    return found + await real_permit_measures(seed)


async def traffic_measures(count: int) -> list[Measure]:
    """Measures entries on loopback: idle, short of slots, and with keyed requests."""
    async with running_entries(count) as entries:
        idle = await sample(entries)
        for entry in entries:
            entry.permits.refused_s = dict.fromkeys(hot_services(), float("inf"))
        busy = await sample(entries)
        for entry in entries:
            entry.permits.refused_s = {}
        await asyncio.sleep(1.0)
        per_request = await keyed_requests(entries)
    return [
        *sample_measures(f"peers.{count}_entries.idle", idle),
        *sample_measures(f"peers.{count}_entries.busy", busy),
        *per_request,
    ]


async def real_permit_measures(seed: int) -> list[Measure]:
    """Compares slot permits of three entries over loopback in real time."""
    async with running_entries(SIZES[0]) as entries:
        clock = entries[0].keys.clock
        permits = [entry.permits for entry in entries]
        lent = await SkewedRun(seed, clock, permits, REAL_RUN_S).outcome()
        static = static_permits([entry.mesh.name for entry in entries])
        fixed = await SkewedRun(seed, clock, static, REAL_RUN_S).outcome()
    return outcome_measures("permits.loopback_3_entries", lent, fixed)


def sample_measures(name: str, found: Sample) -> list[Measure]:
    """Returns the measures of a sample, with the targets for control traffic."""
    return [
        Measure(f"{name}.frames", SITE, found.frames, "1/s"),
        at_most(
            f"{name}.bytes", SITE, found.frame_bytes, "B/s", CONTROL_BYTES_PER_S, None
        ),
        at_most(
            f"{name}.processor",
            SITE,
            found.core_percent,
            "%_of_a_core",
            CONTROL_CORE_PERCENT,
            None,
        ),
    ]


async def sample(entries: Sequence[BenchEntry]) -> Sample:
    """Measures the mean load of all entries over `SAMPLE_S`."""
    frames, size = totals(entries)
    used_s, started_s = time.process_time(), time.monotonic()
    await asyncio.sleep(SAMPLE_S)
    elapsed_s = (time.monotonic() - started_s) * len(entries)
    frames_after, size_after = totals(entries)
    return Sample(
        (frames_after - frames) / elapsed_s,
        (size_after - size) / elapsed_s,
        100.0 * (time.process_time() - used_s) / elapsed_s,
    )


def totals(entries: Sequence[BenchEntry]) -> tuple[int, int]:
    """Returns the frames and bytes that all entries have sent so far."""
    traffic = [entry.mesh.traffic for entry in entries]
    return sum(t.frames for t in traffic), sum(t.frame_bytes for t in traffic)


async def keyed_requests(entries: Sequence[BenchEntry]) -> list[Measure]:
    """Measures the cost of one request with an idempotency key to all entries."""
    idle = await sample(entries)
    frames, size = totals(entries)
    started_s = time.monotonic()
    permitted = 0
    for number in range(KEYED_REQUESTS):
        keys = entries[number % len(entries)].keys
        permitted += await keyed_request(keys, f"key-{number}")
    elapsed_s = time.monotonic() - started_s
    frames_after, size_after = totals(entries)
    background = elapsed_s * len(entries)
    name = f"peers.{len(entries)}_entries.keyed_request"
    per_frame = frames_after - frames - idle.frames * background
    per_byte = size_after - size - idle.frame_bytes * background
    return [
        Measure(f"{name}.permitted", SITE, permitted / KEYED_REQUESTS, "of_requests"),
        Measure(f"{name}.frames", SITE, per_frame / KEYED_REQUESTS, "1"),
        Measure(f"{name}.bytes", SITE, per_byte / KEYED_REQUESTS, "B"),
        Measure(f"{name}.time", SITE, 1e3 * elapsed_s / KEYED_REQUESTS, "ms"),
    ]


async def keyed_request(keys: OwnedKeys, key: str) -> bool:
    """Begins and finishes one key; returns whether a dispatch was permitted."""
    deadline_s = keys.clock.now() + KEY_TIMEOUT_S
    decision = await keys.begin("organisation", key, "fingerprint", deadline_s)
    if decision.state is not KeyState.RUN:
        return False
    await keys.finish("organisation", key, Verdict.RAN, ANSWER)
    return True


def memory_per_key() -> Measure:
    """Measures the memory of one key record with a small answer."""
    records = KeyRecords(REMEMBERED_KEYS)
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    for number in range(REMEMBERED_KEYS):
        records.put(key_record(number))
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return Measure("peers.key_memory", SITE, (after - before) / REMEMBERED_KEYS, "B")


def key_record(number: int) -> KeyRecord:
    """Returns a record whose strings are not shared, as if decoded from a stream."""
    return KeyRecord(
        organisation="".join(["organ", "isation"]),
        key=str(uuid.UUID(int=number)),
        fingerprint=f"{number:064x}",
        grant=f"entry-1/{number:016x}/{number}",
        token=f"entry-2/{number:016x}/{number}",
        begun_s=float(number),
        granted=True,
        verdict=Verdict.RAN,
        response=ANSWER._replace(body=f"{number:064}".encode()),
    )


@asynccontextmanager
async def running_entries(count: int) -> AsyncIterator[list[BenchEntry]]:
    """Runs the peer-to-peer components of entries on loopback within the block."""
    clock = SystemClock()
    store = MemoryStore(clock)
    names = [f"entry-{number}" for number in range(count)]
    entries = [new_entry(name, names, store, clock) for name in names]
    async with AsyncExitStack() as stack:
        for entry in entries:
            await stack.enter_async_context(entry.mesh.running())
        introduce(entries)
        for entry in entries:
            for work in (entry.membership, entry.keys, entry.permits):
                stack.push_async_callback(stop, asyncio.create_task(work.run()))
        await wait_joined(entries)
        yield entries


def new_entry(
    name: str, names: Sequence[str], store: MemoryStore, clock: Clock
) -> BenchEntry:
    """Builds the peer-to-peer components of one entry."""
    log = EventLog(name)
    settings = entry_settings(name)
    mesh = StreamMesh(settings, clock, log)
    membership = Membership.from_settings(settings, mesh, store, clock, log)
    relay = ConfigurationRelay(mesh, AppliedConfiguration(log), clock, log)
    mesh.start(relay.run())
    permits = LentPermits(
        mesh,
        StaticPermits(name, names, lambda service: SLOTS),
        endpoints_of,
        mesh.incarnation,
        clock,
        may_use=ShareOwnership(membership).holds,
    )
    keys = OwnedKeys(mesh, membership, clock, REMEMBERED_KEYS)
    return BenchEntry(mesh, membership, keys, permits)


def entry_settings(name: str) -> EntrySettings:
    """Returns settings of an entry that listens on ports chosen by the kernel."""
    peer: PeerSettings = peer_settings(name, 0)
    return {
        "name": name,
        "availability_zone": peer["availability_zone"],
        "region": peer["region"],
        "callers": {"host": LOOPBACK, "port": 0},
        "operators": {"host": LOOPBACK, "port": 0},
        "peers": {"host": LOOPBACK, "port": 0},
        "peer_key": "a-key-for-the-bench",
        "entries": [peer],
        "platform": {"store_url": "", "vm_directory_url": ""},
        "operator_tokens": [],
    }


def peer_settings(name: str, port: int) -> PeerSettings:
    """Returns the address settings of an entry."""
    return PeerSettings(
        name=name, host=LOOPBACK, port=port, availability_zone="zone", region="region"
    )


def introduce(entries: Sequence[BenchEntry]) -> None:
    """Adds all entries as peers of each other, with the ports the kernel chose."""
    for entry in entries:
        port = entry.mesh.port
        me: ViewMember = entry.membership.me
        entry.membership.registration.me = me._replace(port=port)
        for other in entries:
            other.mesh.add_peer(peer_settings(me.name, port))


async def wait_joined(entries: Sequence[BenchEntry]) -> None:
    """Waits until every entry has all others as members.

    Raises:
        TimeoutError: The entries did not join within `JOIN_TIMEOUT_S`.
    """
    give_up_s = time.monotonic() + JOIN_TIMEOUT_S
    for entry in entries:
        while not is_joined(entry, len(entries)):
            if time.monotonic() > give_up_s:
                raise TimeoutError(
                    f"{entry.mesh.name} did not join within {JOIN_TIMEOUT_S:g} s"
                )
            await asyncio.sleep(POLL_S)


def is_joined(entry: BenchEntry, count: int) -> bool:
    """Returns whether an entry has all members and the key handover is complete."""
    view = entry.membership.view
    return len(view.members) == count and entry.membership.handover_complete()


def hot_services() -> list[str]:
    """Returns the services for which every entry requests more slots."""
    return [f"service-{number}" for number in range(HOT_SERVICES)]


def endpoints_of(service: str) -> Sequence[str]:
    """Returns the names of the endpoints of a service."""
    if service == SERVICE:
        return ENDPOINTS
    return [f"{service}-vm-{number}" for number in range(ENDPOINTS_PER_SERVICE)]


async def stop(task: asyncio.Task[None]) -> None:
    """Cancels a task and waits until it has ended."""
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
