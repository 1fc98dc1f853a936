"""The key-value service over etcd's v3 JSON gateway."""

import math
from collections.abc import AsyncIterator, Callable, Sequence
from typing import NoReturn, TypeVar

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
MAX_REASON_CHARS = 200
REFUSED_STATUSES = (400, 404)
BUSY_STATUS = 429

T = TypeVar("T")
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
            ConflictError: The store refused the request as it stands.
            StoreUnavailableError: The connection was refused, nothing was sent,
                or the store was too busy to take the request.
            StoreUnknownError: The answer was lost or was an error.
        """
        try:
            async with self.session.post(self.base_url + path, json=request) as answer:
                if answer.status != 200:
                    await raise_refusal(path, answer)
                return wire.parse_object(await answer.read())
        except aiohttp.ClientConnectorError as error:
            raise StoreUnavailableError(f"{path}: {error}") from error
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            raise StoreUnknownError(f"{path}: {type(error).__name__}") from error

    async def read(
        self, path: str, request: wire.JsonObject, parse: Callable[[wire.JsonObject], T]
    ) -> T:
        """Posts a request for which a lost or malformed answer is no doubt.

        Args:
            path: Path of the call.
            request: The request.
            parse: Reads the answer.

        Returns:
            What the answer holds.

        Raises:
            StoreUnavailableError: No answer that can be read.
        """
        try:
            return parse(await self.call(path, request))
        except (StoreUnknownError, ConflictError) as error:
            raise StoreUnavailableError(str(error)) from error
        except wire.WireError as error:
            raise StoreUnavailableError(f"{path}: {error}") from error

    async def get(self, key: str) -> KeyValue | None:
        """Reads one key."""
        request = wire.range_request(key, prefix=False)
        found = await self.read(wire.RANGE_PATH, request, wire.parse_key_values)
        return found[0] if found else None

    async def list(self, prefix: str) -> Listing:
        """Reads all keys below a prefix."""
        request = wire.range_request(prefix, prefix=True)
        return await self.read(wire.RANGE_PATH, request, wire.parse_listing)

    async def write(
        self, changes: Sequence[Change], guards: Sequence[Guard] = ()
    ) -> int:
        """Applies conditional writes, all or none; a lost answer is unknown."""
        answer = await self.call(wire.TXN_PATH, wire.txn_request(changes, guards))
        if not answer.get("succeeded", False):
            keys = ", ".join(change.key for change in changes)
            raise ConflictError(f"another writer changed one of {keys}")
        try:
            return wire.parse_revision(answer)
        except wire.WireError as error:
            raise StoreUnknownError(f"{wire.TXN_PATH}: {error}") from error

    async def grant_lease(self, ttl_s: float) -> Lease:
        """Takes a new lease."""
        sent_s = self.clock.now()
        request = {"TTL": str(math.ceil(ttl_s))}
        path = wire.LEASE_GRANT_PATH
        lease_id, granted_s = await self.read(path, request, wire.parse_lease)
        if granted_s <= 0:
            raise StoreUnavailableError("no lease was granted")
        ttl_s = min(ttl_s, granted_s)
        return Lease(lease_id, ttl_s, sent_s + ttl_s)

    async def renew_lease(self, lease: Lease) -> Lease:
        """Prolongs a lease."""
        sent_s = self.clock.now()
        request = {"ID": str(lease.lease_id)}
        path = wire.LEASE_KEEPALIVE_PATH
        _, granted_s = await self.read(path, request, wire.parse_kept_lease)
        if granted_s <= 0:
            raise LeaseLostError(f"lease {lease.lease_id} has lapsed")
        return lease._replace(expires_s=sent_s + min(lease.ttl_s, granted_s))

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
                if answer.status != 200:
                    raise StoreUnavailableError(f"watch answered {answer.status}")
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
        StoreUnavailableError: The store ended the watch.
        WireError: The line is malformed.
    """
    if not line.strip():
        return ()
    result = wire.result_of(wire.parse_object(line))
    compacted = wire.parse_number(result, "compact_revision")
    if compacted > 0:
        raise WatchCompactedError(f"compacted at {compacted}")
    if result.get("canceled", False):
        raise StoreUnavailableError("the store cancelled the watch")
    return wire.parse_watch_events(result)


async def raise_refusal(path: str, answer: aiohttp.ClientResponse) -> NoReturn:
    """Raises the error for an answer that is not 200."""
    text = (await answer.text(errors="replace"))[:MAX_REASON_CHARS]
    reason = f"{path} answered {answer.status}: {text}"
    if answer.status in REFUSED_STATUSES:
        raise ConflictError(reason)
    if answer.status == BUSY_STATUS:
        raise StoreUnavailableError(reason)
    raise StoreUnknownError(reason)
