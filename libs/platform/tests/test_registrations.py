"""Entries of other writers among the executors' registrations.

The pattern: fields that are missing or of another type, or values that no call can be
made with. Such an entry names no worker, and the workers of the others stay in use.
"""

import json

import pytest
from burdockthread_model.events import EventLog
from burdockthread_platform import wire
from burdockthread_platform.registrations import RegisteredWorkers, parse_registration
from burdockthread_scheduling.workers import WorkerKey
from burdockthread_store.memory_store import MemoryStore
from burdockthread_store.prefix_cache import PrefixCache
from burdockthread_store.store import ANY_REVISION, Change, KeyValue

REGISTRATION = {
    "service": "pool-a",
    "address": "10.0.0.1:80",
    "zone": "z",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "coldRemainingMs": 0,
    "capacity": {"cpu": 16000, "memMb": 32768, "gpu": 0},
    "labels": ["a", "r1"],
    "clockMs": 1,
    "sequence": 4,
    "born": 7,
}
REQUIRED = (
    "service",
    "address",
    "zone",
    "version",
    "slots",
    "state",
    "coldRemainingMs",
    "capacity",
    "labels",
    "sequence",
)
ADDRESSES = (
    "",
    ":80",
    "10.0.0.1",
    "10.0.0.1:",
    "10.0.0.1:0",
    "10.0.0.1:65536",
    "10.0.0.1:99999",
    "10.0.0.1:080000",
    "10.0.0.1:-1",
    "10.0.0.1:٨٠",
    "10.0.0:80",
    "localhost:80",
    f"{'a' * 64}.localhost:80",
    ".localhost:80",
    "user@10.0.0.1:80",
    "10.0.0.1/x:80",
    "::1:80",
    "[10.0.0.1]:80",
    "[fe80::1%eth0]:80",
)
DEPTH = 100_000
UNREADABLE = {
    "nested lists": b"[" * DEPTH + b"]" * DEPTH,
    "nested objects": b'{"a":' * DEPTH + b"1" + b"}" * DEPTH,
    "nested field": json.dumps(REGISTRATION)[:-1].encode()
    + b',"more":'
    + b"[" * DEPTH
    + b"]" * DEPTH
    + b"}",
    "large number": json.dumps(REGISTRATION).replace("8", "1e999").encode(),
    "long number": json.dumps(REGISTRATION).replace("8", "8" * 5_000).encode(),
    "large integer": json.dumps({**REGISTRATION, "born": 10**30}).encode(),
    "no text": b"\xff\xfe",
    "lone surrogate": json.dumps({**REGISTRATION, "zone": "\ud800"}).encode(),
}


def encoded(**changes):
    """A registration with other fields; those with None are left out."""
    body = {**REGISTRATION, **changes}
    return json.dumps({k: v for k, v in body.items() if v is not None}).encode()


def refused(raw, worker_id="i-1"):
    """Whether a registration is refused as malformed."""
    try:
        parse_registration(worker_id, raw)
    except wire.WireError:
        return True
    return False


def test_registration_names_its_worker():
    listing = parse_registration("i-1", encoded())
    assert (listing.key, listing.host, listing.port) == (
        WorkerKey("i-1", 7),
        "10.0.0.1",
        80,
    )


def test_address_may_be_of_either_family():
    assert parse_registration("i-1", encoded(address="[::1]:80")).host == "[::1]"


# Guards against use of an entry of another writer which lacks fields: its calls failed
# in ways that ended the whole pool.
@pytest.mark.parametrize("name", REQUIRED)
@pytest.mark.parametrize("value", [None, [], {}, True, 1.5, -1], ids=repr)
def test_registration_without_a_valid_field_names_no_worker(name, value):
    if (name, value) == ("labels", []):
        value = "r1"
    assert refused(encoded(**{name: value}))


@pytest.mark.parametrize("name", ["cpu", "memMb", "gpu"])
def test_registration_without_its_whole_capacity_names_no_worker(name):
    capacity = {**REGISTRATION["capacity"]}
    del capacity[name]
    assert refused(encoded(capacity=capacity))


# Guards against names as hosts, which the HTTP client may be unable to encode, and
# against ports that do not exist.
@pytest.mark.parametrize("address", ADDRESSES)
def test_registration_without_an_ip_address_and_a_port_names_no_worker(address):
    assert refused(encoded(address=address))


# Guards against ids that cannot be sent in a header.
@pytest.mark.parametrize("worker_id", ["i-1\n", "i-1\r\nX: 1", "i-\0", "i-é"])
def test_id_that_no_header_can_hold_names_no_worker(worker_id):
    assert refused(encoded(), worker_id)


# Guards against entries whose decoding ends the process or the watch of the list.
@pytest.mark.parametrize("name", UNREADABLE)
async def test_list_is_followed_past_an_unreadable_entry(clock, name):
    cache = PrefixCache(MemoryStore(clock), "servers/", clock)
    roster = RegisteredWorkers(cache, EventLog("test"))
    keys = ("servers/i-1", "servers/x", "servers/i-2")
    values = (encoded(), UNREADABLE[name], encoded(address="10.0.0.2:80"))
    for revision, (key, value) in enumerate(zip(keys, values, strict=True), 1):
        cache.put(KeyValue(key, value, revision))
    assert [key.worker_id for key in roster.workers("pool-a")] == ["i-1", "i-2"]
    assert cache.listener_failures == 0


# Guards against an entry that has held no duty for longer than the store keeps history:
# its copy of the registrations is confirmed by a new listing.
@pytest.mark.parametrize("is_compacted", [True, False])
async def test_confirmed_copy_is_current(clock, is_compacted):
    store = MemoryStore(clock)
    cache = PrefixCache(store, "servers/", clock)
    roster = RegisteredWorkers(cache, EventLog("test"))
    await store.write([Change("servers/i-1", encoded(), ANY_REVISION)])
    await roster.confirm()
    value = encoded(state="draining")
    await store.write([Change("servers/i-1", value, ANY_REVISION)])
    if is_compacted:
        await store.write([Change("servers/i-2", value, ANY_REVISION)])
        store.compact(store.revision)
    await roster.confirm()
    assert roster.by_id["i-1"].draining
