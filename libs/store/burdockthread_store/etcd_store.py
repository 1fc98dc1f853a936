"""The key-value service over etcd's v3 JSON gateway."""

import json
from collections.abc import AsyncIterator, Sequence

import aiohttp
from burdockthread_model.clock import Clock
from burdockthread_model.errors import (
    ConflictError,
    LeaseLostError,
    StoreUnavailableError,
    StoreUnknownError,
    WatchCompactedError,
)

from burdockthread_store import etcd_wire as wire
from burdockthread_store.store import (
    Change,
    ConfigurationStore,
    Guard,
    KeyValue,
    Lease,
    Listing,
    WatchEvent,
)

CALL_TIMEOUT_S = 2.0
WATCH_LINE_BYTES = 4 * 1_048_576


class EtcdStore(ConfigurationStore):
    """Client of one gateway address.

    Attributes:
        base_url: Address such as ``http://127.0.0.1:2379``.
        clock: Clock for the expiry of leases.
    """

    def __init__(self, base_url: str, clock: Clock) -> None:
        self.base_url = base_url.rstrip("/")
        self.clock = clock
        self.session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S),
            read_bufsize=WATCH_LINE_BYTES,
        )

    async def call(self, path: str, request: wire.JsonObject) -> wire.JsonObject:
        """Posts one request.

        Raises:
            StoreUnavailableError: The connection was refused; nothing was sent.
            StoreUnknownError: The answer was lost or was an error.
        """
        try:
            async with self.session.post(self.base_url + path, json=request) as answer:
                if answer.status != 200:
                    raise StoreUnknownError(f"{path} answered {answer.status}")
                body: wire.JsonObject = await answer.json(content_type=None)
                return body
        except aiohttp.ClientConnectorError as error:
            raise StoreUnavailableError(f"{path}: {error}") from error
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            raise StoreUnknownError(f"{path}: {type(error).__name__}") from error

    async def read(self, path: str, request: wire.JsonObject) -> wire.JsonObject:
        """Posts a request without effect, for which a lost answer is no doubt."""
        try:
            return await self.call(path, request)
        except StoreUnknownError as error:
            raise StoreUnavailableError(str(error)) from error

    async def get(self, key: str) -> KeyValue | None:
        """Reads one key."""
        request = wire.range_request(key, prefix=False)
        found = wire.parse_key_values(await self.read(wire.RANGE_PATH, request))
        return found[0] if found else None

    async def list(self, prefix: str) -> Listing:
        """Reads all keys below a prefix."""
        request = wire.range_request(prefix, prefix=True)
        answer = await self.read(wire.RANGE_PATH, request)
        return Listing(wire.parse_key_values(answer), wire.parse_revision(answer))

    async def write(
        self, changes: Sequence[Change], guards: Sequence[Guard] = ()
    ) -> int:
        """Applies conditional writes, all or none."""
        answer = await self.call(wire.TXN_PATH, wire.txn_request(changes, guards))
        if not answer.get("succeeded", False):
            keys = ", ".join(change.key for change in changes)
            raise ConflictError(f"another writer changed one of {keys}")
        return wire.parse_revision(answer)

    async def grant_lease(self, ttl_s: float) -> Lease:
        """Takes a new lease."""
        sent_s = self.clock.now()
        answer = await self.read(wire.LEASE_GRANT_PATH, {"TTL": str(int(ttl_s))})
        return Lease(int(answer["ID"]), ttl_s, sent_s + ttl_s)

    async def renew_lease(self, lease: Lease) -> Lease:
        """Prolongs a lease."""
        sent_s = self.clock.now()
        request = {"ID": str(lease.lease_id)}
        answer = await self.read(wire.LEASE_KEEPALIVE_PATH, request)
        if int(answer.get("result", {}).get("TTL", 0)) <= 0:
            raise LeaseLostError(f"lease {lease.lease_id} has lapsed")
        return lease._replace(expires_s=sent_s + lease.ttl_s)

    async def revoke_lease(self, lease: Lease) -> None:
        """Ends a lease and deletes its keys."""
        await self.call(wire.LEASE_REVOKE_PATH, {"ID": str(lease.lease_id)})

    async def watch(
        self, prefix: str, after_revision: int
    ) -> AsyncIterator[tuple[WatchEvent, ...]]:
        """Follows the changes below a prefix."""
        request = wire.watch_request(prefix, after_revision)
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=CALL_TIMEOUT_S)
        url = self.base_url + wire.WATCH_PATH
        try:
            async with self.session.post(url, json=request, timeout=timeout) as answer:
                async for line in answer.content:
                    events = parse_watch_line(line)
                    if events:
                        yield events
        except (TimeoutError, aiohttp.ClientError, ValueError) as error:
            raise StoreUnavailableError(f"watch of {prefix}: {error}") from error
        raise StoreUnavailableError(f"watch of {prefix} ended")

    async def close(self) -> None:
        """Closes the connections."""
        await self.session.close()


def parse_watch_line(line: bytes) -> tuple[WatchEvent, ...]:
    """Reads one line of a watch stream.

    Raises:
        WatchCompactedError: The revision asked for is gone.
    """
    if not line.strip():
        return ()
    result = json.loads(line).get("result", {})
    if int(result.get("compact_revision", 0)) > 0:
        raise WatchCompactedError(f"compacted at {result['compact_revision']}")
    return wire.parse_watch_events(result)
