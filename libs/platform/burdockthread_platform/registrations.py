"""Decodes the workers' registrations in the platform's store."""

import asyncio
from collections.abc import Mapping

from burdockthread_model.addresses import Address
from burdockthread_model.events import EventLog
from burdockthread_scheduling.roster import WorkerRoster
from burdockthread_scheduling.workers import Capacity, WorkerKey, WorkerListing
from burdockthread_store.prefix_cache import PrefixCache
from burdockthread_store.store import KeyValue

from burdockthread_platform import wire

REGISTRATION_PREFIX = "servers/"
STATES = ("ready", "draining")
TEXT_FIELDS = ("service", "address", "zone", "version", "state")
INTEGER_FIELDS = ("slots", "coldRemainingMs", "sequence")


class RegisteredWorkers(WorkerRoster):
    """The workers whose registrations could be decoded, by pool.

    Attributes:
        by_pool: Workers by pool, then by id and time of birth.
        by_id: Registered worker by id.
        unreadable: Ids whose last registration could not be decoded, logged once.
        event: Set when the workers have changed.
    """

    def __init__(self, cache: PrefixCache, log: EventLog) -> None:
        self.cache = cache
        self.log = log
        self.by_pool: dict[str, dict[WorkerKey, WorkerListing]] = {}
        self.by_id: dict[str, WorkerListing] = {}
        self.unreadable: set[str] = set()
        self.event = asyncio.Event()
        cache.listeners.append(self.on_change)

    def workers(self, pool: str) -> Mapping[WorkerKey, WorkerListing]:
        """Returns the registered workers of a pool."""
        return self.by_pool.get(pool, {})

    def changed(self) -> asyncio.Event:
        """Returns the event that is set whenever the workers have changed."""
        return self.event

    async def confirm(self) -> None:
        """Reads the changes since the last contact with the store."""
        await self.cache.confirm()

    def on_change(self, key: str, item: KeyValue | None) -> None:
        """Applies a changed or deleted registration."""
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
        """Decodes a registration; logs one that is malformed and returns None."""
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
    """Decodes a registration.

    Raises:
        WireError: The registration is malformed, or names no worker to call.
    """
    body = wire.parse_object(value)
    for name in TEXT_FIELDS:
        wire.required_text(body, name)
    for name in INTEGER_FIELDS:
        wire.integer(body, name, default=None)
    state = wire.text(body, "state")
    if state not in STATES:
        raise wire.WireError("state", f"unknown state {state[:32]}")
    if not worker_id.isascii() or not worker_id.isprintable():
        raise wire.WireError("id", "expected printable ASCII characters")
    try:
        address = Address.from_text(wire.text(body, "address"))
    except ValueError as error:
        raise wire.WireError("address", str(error)) from error
    # The field `slots` counts concurrent requests and does not limit tasks.
    labels = wire.texts(body, "labels", default=None)
    return WorkerListing(
        key=WorkerKey(worker_id, wire.integer(body, "born")),
        pool=wire.text(body, "service"),
        host=address.host,
        port=address.port,
        availability_zone=wire.text(body, "zone"),
        labels=labels,
        # The first label is the kind of the worker, the second its rack.
        rack=labels[1] if len(labels) > 1 else "",
        capacity=parse_capacity(body.get("capacity"), default=None),
        draining=state == "draining",
        remaining_ms=wire.integer(body, "remainingMs"),
    )


def parse_capacity(value: object, default: int | None = 0) -> Capacity:
    """Decodes the resources of a worker or machine; see `wire.integer`."""
    body = wire.as_object(value, "capacity")
    return Capacity(
        cpu_milli=wire.integer(body, "cpu", "capacity", default=default),
        memory_mb=wire.integer(body, "memMb", "capacity", default=default),
        accelerators=wire.integer(body, "gpu", "capacity", default=default),
    )
