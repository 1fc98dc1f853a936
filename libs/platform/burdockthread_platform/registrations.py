"""Workers as they register themselves in the platform's store."""

import asyncio
from collections.abc import Mapping
from types import MappingProxyType

from burdockthread_model.events import EventLog
from burdockthread_scheduling.roster import WorkerRoster
from burdockthread_scheduling.workers import Capacity, WorkerKey, WorkerListing
from burdockthread_store.prefix_cache import PrefixCache
from burdockthread_store.store import KeyValue

from burdockthread_platform import wire

REGISTRATION_PREFIX = "servers/"
STATES = ("ready", "draining")
NOBODY: Mapping[WorkerKey, WorkerListing] = MappingProxyType({})


class RegisteredWorkers(WorkerRoster):
    """The readable registrations by pool.

    Attributes:
        by_pool: Workers by pool and life.
        by_id: Registered worker by id.
    """

    def __init__(self, cache: PrefixCache, log: EventLog) -> None:
        self.log = log
        self.by_pool: dict[str, dict[WorkerKey, WorkerListing]] = {}
        self.by_id: dict[str, WorkerListing] = {}
        self.unreadable: set[str] = set()
        self.event = asyncio.Event()
        cache.listeners.append(self.on_change)

    def workers(self, pool: str) -> Mapping[WorkerKey, WorkerListing]:
        """Returns the registered workers of a pool."""
        return self.by_pool.get(pool, NOBODY)

    def changed(self) -> asyncio.Event:
        """Returns an event that is set when the workers have changed."""
        return self.event

    def on_change(self, key: str, item: KeyValue | None) -> None:
        """Takes in one registration that changed."""
        worker_id = key.removeprefix(REGISTRATION_PREFIX)
        listing = None if item is None else self.read(worker_id, item.value)
        before = self.by_id.get(worker_id)
        if listing == before:
            return
        if before is not None:
            del self.by_id[worker_id]
            self.by_pool[before.pool].pop(before.key, None)
        if listing is not None:
            self.by_id[worker_id] = listing
            self.by_pool.setdefault(listing.pool, {})[listing.key] = listing
        self.event.set()

    def read(self, worker_id: str, value: bytes) -> WorkerListing | None:
        """Returns a registration, or None if it cannot be read."""
        try:
            listing = parse_registration(worker_id, value)
        except wire.WireError as error:
            if worker_id not in self.unreadable:
                self.unreadable.add(worker_id)
                self.log.warning(
                    "registration_unreadable", worker=worker_id, reason=error
                )
            return None
        self.unreadable.discard(worker_id)
        return listing


def parse_registration(worker_id: str, value: bytes) -> WorkerListing:
    """Reads a registration.

    Raises:
        WireError: It is malformed or names no state known.
    """
    body = wire.parse_object(value)
    state = wire.needed_text(body, "state")
    if state not in STATES:
        raise wire.WireError("state", f"unknown state {state[:32]}")
    host, separator, port = wire.needed_text(body, "address").rpartition(":")
    if not separator or not host or not port.isdecimal() or len(port) > 5:
        raise wire.WireError("address", "expected IP and port")
    # `slots` counts requests at once and says nothing of tasks.
    labels = wire.texts(body, "labels")
    return WorkerListing(
        key=WorkerKey(worker_id, wire.integer(body, "born")),
        pool=wire.needed_text(body, "service"),
        host=host,
        port=int(port),
        availability_zone=wire.text(body, "zone"),
        labels=labels,
        # The kind comes first, then the rack.
        rack=labels[1] if len(labels) > 1 else "",
        capacity=parse_capacity(body.get("capacity", {})),
        draining=state == "draining",
        remaining_ms=wire.integer(body, "remainingMs"),
    )


def parse_capacity(value: object) -> Capacity:
    """Reads what a worker or machine has."""
    body = wire.as_object(value, "capacity")
    return Capacity(
        cpu_milli=wire.integer(body, "cpu", "capacity"),
        memory_mb=wire.integer(body, "memMb", "capacity"),
        accelerators=wire.integer(body, "gpu", "capacity"),
    )
