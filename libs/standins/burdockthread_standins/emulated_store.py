"""The users' store, spoken over HTTP from a memory store behind fault switches."""

import asyncio
import base64
import binascii
from contextlib import aclosing
from typing import Any

from aiohttp import web
from burdockthread_model.clock import Clock
from burdockthread_model.errors import (
    ConflictError,
    LeaseLostError,
    StoreUnavailableError,
    StoreUnknownError,
    WatchCompactedError,
)
from burdockthread_store.faulty_store import FaultyStore
from burdockthread_store.memory_store import MemoryStore
from burdockthread_store.store import (
    ANY_REVISION,
    Change,
    Guard,
    KeyValue,
    Lease,
    WatchEvent,
)

from burdockthread_standins.entry_paths import EntryPaths

PAGE_ITEMS = 500
MAX_BODY_BYTES = 8 * 1_048_576
PROTECTED = ("op/", "servers/")
MAX_ENTRIES = 32
MIN_TTL_MS = 1_000
# An answer that is lost leaves the caller waiting for longer than any time-out.
LOST_S = 30.0
PATHS = web.AppKey("paths", EntryPaths)

JsonObject = dict[str, Any]


class EmulatedStore:
    """Serves keys, leases and watches.

    Attributes:
        store: The keys.
        faulty: The keys behind the fault switches.
        calls: Calls served.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.store = MemoryStore(clock)
        self.faulty = FaultyStore(self.store, clock)
        self.calls = 0

    def application(self, paths: EntryPaths | None = None) -> web.Application:
        """Returns what answers.

        Args:
            paths: Paths of the only entry that calls, or None for any caller.
        """
        app = web.Application(
            client_max_size=MAX_BODY_BYTES, middlewares=[self.with_faults]
        )
        if paths is not None:
            app[PATHS] = paths
        app.router.add_get("/kv-key", self.key)
        app.router.add_get("/kv-range", self.range)
        app.router.add_get("/kv-watch", self.watch)
        app.router.add_post("/kv-txn", self.txn)
        app.router.add_post("/kv-lease", self.lease)
        app.router.add_post("/kv-keep/{lease}", self.keep)
        app.router.add_delete("/kv-lease-end/{lease}", self.end_lease)
        return app

    @web.middleware
    async def with_faults(self, request: web.Request, handler: Any) -> Any:
        """Answers an error of the store as the protocol says."""
        self.calls += 1
        try:
            return await handler(request)
        except StoreUnavailableError as error:
            return web.json_response({"error": str(error)}, status=503)
        except StoreUnknownError:
            await asyncio.sleep(LOST_S)
            raise
        except WatchCompactedError as error:
            return web.json_response({"error": str(error)}, status=410)
        except LeaseLostError as error:
            return web.json_response({"error": str(error)}, status=404)

    def answer(self, body: JsonObject) -> web.Response:
        """Returns an answer with the store's revision."""
        return web.json_response({**body, "currentRev": self.store.revision})

    async def key(self, request: web.Request) -> web.Response:
        """Reads one key."""
        found = await self.faulty.get(request.query["key"])
        if found is None:
            return web.json_response({}, status=404)
        return self.answer(await self.shown(request, self.item(found)))

    async def range(self, request: web.Request) -> web.Response:
        """Reads a page of the keys below a prefix."""
        listing = await self.faulty.list(request.query["prefix"])
        after = request.query.get("after", "")
        items = [item for item in listing.items if item.key > after]
        page = [
            await self.shown(request, self.item(item)) for item in items[:PAGE_ITEMS]
        ]
        return self.answer({"items": page, "truncated": len(items) > PAGE_ITEMS})

    async def watch(self, request: web.Request) -> web.Response:
        """Waits for changes below a prefix."""
        after = int(request.query["after"])
        wait_s = int(request.query.get("waitMs", "0")) / 1000
        # Changes after this moment may still come while the answer is on its way.
        revision = max(self.store.revision, after)
        events = await self.events(request.query["prefix"], after, wait_s)
        newest = max((event.revision for event in events), default=revision)
        rows = [await self.shown(request, self.event(event)) for event in events]
        return web.json_response({"events": rows, "currentRev": newest})

    async def events(
        self, prefix: str, after: int, wait_s: float
    ) -> tuple[WatchEvent, ...]:
        """Returns the changes below a prefix; waits for the first if there is none."""
        if not wait_s:
            return (await self.faulty.changes(prefix, after)).events
        async with aclosing(self.faulty.watch(prefix, after)) as watch:
            try:
                async with asyncio.timeout(wait_s):
                    return await anext(watch)
            except TimeoutError:
                return ()

    async def txn(self, request: web.Request) -> web.Response:
        """Applies a conditional write."""
        body = await request.json()
        expected = body.get("expected", [])
        writes, removed = body.get("writes", []), body.get("remove", [])
        if len(expected) + len(writes) + len(removed) > MAX_ENTRIES:
            return web.json_response({"error": "too many entries"}, status=400)
        keys = [write["key"] for write in writes] + removed
        if any(key.startswith(PROTECTED) for key in keys):
            return web.json_response({"error": "not yours"}, status=403)
        if any(
            write.get("lease") and write["lease"] not in self.store.leases
            for write in writes
        ):
            return web.json_response({"error": "no such lease"}, status=404)
        try:
            changes = [written(write) for write in writes]
        except (binascii.Error, ValueError) as error:
            return web.json_response({"error": str(error)}, status=400)
        paths = request.app.get(PATHS)
        if paths is not None:
            changes = [
                change._replace(value=paths.stored(change.value or b""))
                for change in changes
            ]
        changes += [Change(key, None, ANY_REVISION) for key in removed]
        guards = [Guard(row["key"], row["revision"]) for row in expected]
        try:
            revision = await self.faulty.write(changes, guards)
        except ConflictError:
            found = [await self.store.get(row["key"]) for row in expected]
            items = [
                await self.shown(request, self.item(item))
                for item in found
                if item is not None
            ]
            return web.json_response({"items": items}, status=412)
        return self.answer({"revision": revision})

    async def lease(self, request: web.Request) -> web.Response:
        """Grants a lease."""
        ttl_ms = max(int((await request.json())["ttlMs"]), MIN_TTL_MS)
        lease = await self.faulty.grant_lease(ttl_ms / 1000)
        return self.answer({"lease": lease.lease_id, "ttlMs": ttl_ms})

    async def keep(self, request: web.Request) -> web.Response:
        """Renews a lease."""
        lease_id = int(request.match_info["lease"])
        known = self.store.leases.get(lease_id, Lease(lease_id, 0.0, 0.0))
        renewed = await self.faulty.renew_lease(known)
        return self.answer({"ttlMs": int(renewed.ttl_s * 1000)})

    async def end_lease(self, request: web.Request) -> web.Response:
        """Ends a lease."""
        lease_id = int(request.match_info["lease"])
        await self.faulty.revoke_lease(Lease(lease_id, 0.0, 0.0))
        return self.answer({})

    async def shown(self, request: web.Request, row: JsonObject) -> JsonObject:
        """Returns a row as the caller of a request reads it."""
        paths = request.app.get(PATHS)
        if paths is None or "value" not in row:
            return row
        value = await paths.shown(row["key"], base64.b64decode(row["value"]))
        return {**row, "value": base64.b64encode(value).decode()}

    def item(self, item: KeyValue) -> JsonObject:
        """Returns a key as the protocol shows it."""
        stored = self.store.values.get(item.key)
        return {
            "key": item.key,
            "value": base64.b64encode(item.value).decode(),
            "revision": item.revision,
            "created": item.revision,
            "lease": 0 if stored is None else stored.lease_id,
        }

    def event(self, event: WatchEvent) -> JsonObject:
        """Returns a change as the protocol shows it."""
        if event.value is None:
            return {"key": event.key, "revision": event.revision, "deleted": True}
        return self.item(KeyValue(event.key, event.value, event.revision))


def written(write: JsonObject) -> Change:
    """Returns the write of one key."""
    value = base64.b64decode(write["value"], validate=True)
    return Change(write["key"], value, ANY_REVISION, write.get("lease", 0))
