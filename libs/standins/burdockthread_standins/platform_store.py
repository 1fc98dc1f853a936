"""Stand-in of the key-value service: etcd's v3 JSON gateway over a memory store."""

import json
from typing import Any

from aiohttp import web
from burdockthread_model.clock import Clock
from burdockthread_model.errors import (
    ConflictError,
    LeaseLostError,
    StoreUnavailableError,
    WatchCompactedError,
)
from burdockthread_store import etcd_wire as wire
from burdockthread_store.memory_store import MemoryStore
from burdockthread_store.store import Change, Guard, KeyValue, Lease, WatchEvent

MAX_REQUEST_BYTES = 4 * 1_048_576


class PlatformStore:
    """Serves a `MemoryStore` in the published protocol.

    Attributes:
        store: The keys.
        calls: Calls answered, a waiting watch counted as one.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.store = MemoryStore(clock)
        self.calls = 0

    def add_routes(self, app: web.Application) -> None:
        """Adds the gateway's paths to an application."""
        app.router.add_post(wire.RANGE_PATH, self.range)
        app.router.add_post(wire.TXN_PATH, self.txn)
        app.router.add_post(wire.WATCH_PATH, self.watch)
        app.router.add_post(wire.LEASE_GRANT_PATH, self.grant)
        app.router.add_post(wire.LEASE_KEEPALIVE_PATH, self.keep_alive)
        app.router.add_post(wire.LEASE_REVOKE_PATH, self.revoke)

    async def read(self, request: web.Request) -> wire.JsonObject:
        """Counts a call and reads its body."""
        self.calls += 1
        if self.store.down:
            raise web.HTTPServiceUnavailable(text="the store is out")
        body: wire.JsonObject = await request.json()
        return body

    def answer(self, fields: wire.JsonObject) -> web.Response:
        """Returns an answer with the store-wide revision."""
        header = {"revision": str(self.store.revision)}
        return web.json_response({"header": header, **fields})

    async def range(self, request: web.Request) -> web.Response:
        """Answers a read."""
        body = await self.read(request)
        key = wire.decode_key(body["key"])
        if "range_end" in body:
            items = list((await self.store.list(key)).items)
        else:
            found = await self.store.get(key)
            items = [] if found is None else [found]
        kvs = [encode_item(item) for item in items]
        return self.answer({"kvs": kvs, "count": str(len(kvs))})

    async def txn(self, request: web.Request) -> web.Response:
        """Answers a transaction."""
        body = await self.read(request)
        expected = {
            wire.decode_key(item["key"]): int(item["mod_revision"])
            for item in body.get("compare", [])
        }
        changes = [decode_change(item, expected) for item in body.get("success", [])]
        written = {change.key for change in changes}
        guards = [Guard(k, r) for k, r in expected.items() if k not in written]
        try:
            await self.store.write(changes, guards)
        except ConflictError:
            return self.answer({})
        return self.answer({"succeeded": True})

    async def grant(self, request: web.Request) -> web.Response:
        """Grants a lease."""
        body = await self.read(request)
        lease = await self.store.grant_lease(float(body["TTL"]))
        return self.answer({"ID": str(lease.lease_id), "TTL": body["TTL"]})

    async def keep_alive(self, request: web.Request) -> web.Response:
        """Prolongs a lease."""
        body = await self.read(request)
        lease_id = int(body["ID"])
        known = self.store.leases.get(lease_id, Lease(lease_id, 0.0, 0.0))
        try:
            renewed = await self.store.renew_lease(known)
        except LeaseLostError:
            return self.answer({"result": {"ID": str(lease_id)}})
        ttl = str(int(renewed.ttl_s))
        return self.answer({"result": {"ID": str(lease_id), "TTL": ttl}})

    async def revoke(self, request: web.Request) -> web.Response:
        """Ends a lease."""
        body = await self.read(request)
        await self.store.revoke_lease(Lease(int(body["ID"]), 0.0, 0.0))
        return self.answer({})

    async def watch(self, request: web.Request) -> web.StreamResponse:
        """Streams the events of a watch, one JSON object a line."""
        body = (await self.read(request))["create_request"]
        prefix = wire.decode_key(body["key"])
        after = int(body.get("start_revision", self.store.revision + 1)) - 1
        response = web.StreamResponse()
        await response.prepare(request)
        await self.send_line(response, {"created": True})
        try:
            async for events in self.store.watch(prefix, after):
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
