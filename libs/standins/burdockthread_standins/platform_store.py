"""Stand-in of the key-value service: etcd's v3 JSON gateway over a memory store."""

import json
from collections.abc import Iterator, Sequence
from contextlib import aclosing, contextmanager
from typing import Any

from aiohttp import web
from burdockthread_model.clock import Clock
from burdockthread_model.errors import (
    ConflictError,
    LeaseLostError,
    SettingsError,
    StoreUnavailableError,
    StoreUnknownError,
    WatchCompactedError,
)
from burdockthread_model.settings import convert_typed
from burdockthread_store import etcd_wire as wire
from burdockthread_store.faults import FaultSettings
from burdockthread_store.faulty_store import FaultyStore
from burdockthread_store.memory_store import MemoryStore
from burdockthread_store.store import Change, Guard, KeyValue, Lease, WatchEvent

MAX_REQUEST_BYTES = 4 * 1_048_576
FAULTS_PATH = "/faults"
COUNTERS_PATH = "/counters"


class PlatformStore:
    """Serves a `FaultyStore` in the published protocol.

    Attributes:
        store: The keys.
        faulty: The keys behind the fault switches, which count the calls.
    """

    def __init__(self, clock: Clock) -> None:
        self.store = MemoryStore(clock)
        self.faulty = FaultyStore(self.store, clock)

    def add_routes(self, app: web.Application) -> None:
        """Adds the paths of the gateway and of the switches to an application."""
        app.router.add_post(wire.RANGE_PATH, self.range)
        app.router.add_post(wire.TXN_PATH, self.txn)
        app.router.add_post(wire.WATCH_PATH, self.watch)
        app.router.add_post(wire.LEASE_GRANT_PATH, self.grant)
        app.router.add_post(wire.LEASE_KEEPALIVE_PATH, self.keep_alive)
        app.router.add_post(wire.LEASE_REVOKE_PATH, self.revoke)
        app.router.add_post(FAULTS_PATH, self.set_faults)
        app.router.add_delete(FAULTS_PATH, self.clear_faults)
        app.router.add_get(COUNTERS_PATH, self.get_counters)

    async def set_faults(self, request: web.Request) -> web.Response:
        """Sets the switches that the body names."""
        try:
            settings = convert_typed(await request.json(), FaultSettings)
        except (SettingsError, ValueError) as error:
            raise web.HTTPBadRequest(text=f"{error}") from error
        self.faulty.set_faults(settings)
        return web.json_response({})

    async def clear_faults(self, request: web.Request) -> web.Response:
        """Takes every switch back."""
        self.faulty.faults.clear()
        return web.json_response({})

    async def get_counters(self, request: web.Request) -> web.Response:
        """Answers with the calls so far and their peaks."""
        return web.json_response(self.faulty.faults.counters.report())

    @contextmanager
    def failing(self, request: web.Request) -> Iterator[None]:
        """Shows the faults of the store as a client on the network sees them."""
        try:
            yield
        except StoreUnavailableError as error:
            raise web.HTTPServiceUnavailable(text=str(error)) from error
        except StoreUnknownError:
            if request.transport is not None:
                request.transport.abort()
            raise web.HTTPServiceUnavailable from None

    def answer(self, fields: wire.JsonObject) -> web.Response:
        """Returns an answer with the store-wide revision."""
        header = {"revision": str(self.store.revision)}
        return web.json_response({"header": header, **fields})

    async def range(self, request: web.Request) -> web.Response:
        """Answers a read."""
        body = await request.json()
        key = wire.decode_key(body["key"])
        with self.failing(request):
            items = await self.find(key, prefix="range_end" in body)
        kvs = [encode_item(item) for item in items]
        return self.answer({"kvs": kvs, "count": str(len(kvs))})

    async def find(self, key: str, *, prefix: bool) -> tuple[KeyValue, ...]:
        """Returns one key or all below a prefix."""
        if prefix:
            return (await self.faulty.list(key)).items
        found = await self.faulty.get(key)
        return () if found is None else (found,)

    async def txn(self, request: web.Request) -> web.Response:
        """Answers a transaction."""
        body = await request.json()
        expected = {
            wire.decode_key(item["key"]): int(item["mod_revision"])
            for item in body.get("compare", [])
        }
        changes = [decode_change(item, expected) for item in body.get("success", [])]
        written = {change.key for change in changes}
        guards = [Guard(k, r) for k, r in expected.items() if k not in written]
        self.check_leases(changes)
        try:
            with self.failing(request):
                await self.faulty.write(changes, guards)
        except ConflictError:
            return self.answer({})
        return self.answer({"succeeded": True})

    def check_leases(self, changes: Sequence[Change]) -> None:
        """Refuses a write that names a lease that has lapsed."""
        for change in changes:
            if change.lease_id and change.lease_id not in self.store.leases:
                raise web.HTTPNotFound(text="requested lease not found")

    async def grant(self, request: web.Request) -> web.Response:
        """Grants a lease."""
        body = await request.json()
        with self.failing(request):
            lease = await self.faulty.grant_lease(float(body["TTL"]))
        return self.answer({"ID": str(lease.lease_id), "TTL": body["TTL"]})

    async def keep_alive(self, request: web.Request) -> web.Response:
        """Prolongs a lease."""
        body = await request.json()
        lease_id = int(body["ID"])
        known = self.store.leases.get(lease_id, Lease(lease_id, 0.0, 0.0))
        try:
            with self.failing(request):
                renewed = await self.faulty.renew_lease(known)
        except LeaseLostError:
            return self.answer({"result": {"ID": str(lease_id)}})
        ttl = str(int(renewed.ttl_s))
        return self.answer({"result": {"ID": str(lease_id), "TTL": ttl}})

    async def revoke(self, request: web.Request) -> web.Response:
        """Ends a lease."""
        body = await request.json()
        with self.failing(request):
            await self.faulty.revoke_lease(Lease(int(body["ID"]), 0.0, 0.0))
        return self.answer({})

    async def watch(self, request: web.Request) -> web.StreamResponse:
        """Streams the events of a watch, one JSON object a line."""
        body = (await request.json())["create_request"]
        with self.failing(request):
            self.faulty.faults.check_reachable()
        prefix = wire.decode_key(body["key"])
        after = int(body.get("start_revision", self.store.revision + 1)) - 1
        response = web.StreamResponse()
        await response.prepare(request)
        await self.send_line(response, {"created": True})
        try:
            async with aclosing(self.faulty.watch(prefix, after)) as batches:
                async for events in batches:
                    encoded = [encode_event(event) for event in events]
                    await self.send_line(response, {"events": encoded})
        except WatchCompactedError:
            revision = str(self.store.compacted_revision)
            line = {"canceled": True, "compact_revision": revision}
            await self.send_line(response, line)
        except (StoreUnavailableError, ConnectionError):
            pass
        return response

    async def send_line(
        self, response: web.StreamResponse, result: dict[str, Any]
    ) -> None:
        """Writes one message of a watch."""
        header = {"revision": str(self.store.revision)}
        line = json.dumps({"result": {"header": header, **result}})
        await response.write(line.encode() + b"\n")


def encode_item(item: KeyValue) -> wire.JsonObject:
    """Returns a key as the gateway writes it."""
    return {
        "key": wire.encode_key(item.key),
        "value": wire.encode_bytes(item.value),
        "mod_revision": str(item.revision),
    }


def encode_event(event: WatchEvent) -> wire.JsonObject:
    """Returns an event as the gateway writes it."""
    item = KeyValue(event.key, event.value or b"", event.revision)
    if event.value is None:
        return {"type": "DELETE", "kv": encode_item(item)}
    return {"kv": encode_item(item)}


def decode_change(item: wire.JsonObject, expected: dict[str, int]) -> Change:
    """Returns one write of a transaction."""
    if "requestDeleteRange" in item:
        key = wire.decode_key(item["requestDeleteRange"]["key"])
        return Change(key, None, expected[key])
    put = item["requestPut"]
    key = wire.decode_key(put["key"])
    value = wire.decode_bytes(put["value"])
    return Change(key, value, expected[key], int(put.get("lease", 0)))
