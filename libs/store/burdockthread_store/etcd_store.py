"""Client of the key-value service over etcd's v3 JSON gateway."""

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
    """Client of the gateway at one address.

    Attributes:
        base_url: Address such as ``http://127.0.0.1:2379``.
        clock: Clock for the expiry of leases.
        session: HTTP session with a timeout of `CALL_TIMEOUT_S` for each call.
    """

    def __init__(self, base_url: str, clock: Clock) -> None:
        self.base_url = base_url.rstrip("/")
        self.clock = clock
        self.session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=CALL_TIMEOUT_S),
            read_bufsize=WATCH_LINE_BYTES,
        )

    async def call(self, path: str, request: wire.JsonObject) -> wire.JsonObject:
        """Posts one request and returns the JSON object of the answer.

        Raises:
            ConflictError: The store rejected the request as invalid (400 or 404).
            StoreUnavailableError: The connection failed, so that nothing was
                sent, or the store was overloaded (429).
            StoreUnknownError: The answer was lost, malformed or another error; the
                request may have taken effect.
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
        """Posts a request that is safe to repeat, such as a read.

        Every failure is raised as `StoreUnavailableError`, because the caller need
        not know whether the request took effect.

        Args:
            path: Path of the call.
            request: JSON object to post.
            parse: Decodes the answer.

        Returns:
            The decoded answer.

        Raises:
            StoreUnavailableError: No answer, an error, or a malformed answer.
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
        """Applies all changes in one transaction if every condition holds.

        Raises `StoreUnknownError` after a lost answer; `SettledStore` resolves it.
        """
        answer = await self.call(wire.TXN_PATH, wire.txn_request(changes, guards))
        if not answer.get("succeeded", False):
            keys = ", ".join(change.key for change in changes)
            raise ConflictError(
                f"revision conflict: another writer changed one of {keys}"
            )
        try:
            return wire.parse_revision(answer)
        except wire.WireError as error:
            raise StoreUnknownError(f"{wire.TXN_PATH}: {error}") from error

    async def grant_lease(self, ttl_s: float) -> Lease:
        """Grants a lease."""
        sent_s = self.clock.now()
        request = {"TTL": str(math.ceil(ttl_s))}
        path = wire.LEASE_GRANT_PATH
        lease_id, granted_s = await self.read(path, request, wire.parse_lease)
        if granted_s <= 0:
            raise StoreUnavailableError(
                f"{path}: no lease was granted: TTL {granted_s:g} s"
            )
        ttl_s = min(ttl_s, granted_s)
        return Lease(lease_id, ttl_s, sent_s + ttl_s)

    async def renew_lease(self, lease: Lease) -> Lease:
        """Renews a lease and returns it with its new expiry time."""
        sent_s = self.clock.now()
        request = {"ID": str(lease.lease_id)}
        path = wire.LEASE_KEEPALIVE_PATH
        _, granted_s = await self.read(path, request, wire.parse_renewed_lease)
        if granted_s <= 0:
            raise LeaseLostError(f"lease {lease.lease_id} has expired")
        return lease._replace(expires_s=sent_s + min(lease.ttl_s, granted_s))

    async def revoke_lease(self, lease: Lease) -> None:
        """Revokes a lease, which deletes the keys bound to it."""
        await self.call(wire.LEASE_REVOKE_PATH, {"ID": str(lease.lease_id)})

    async def watch(
        self, prefix: str, after_revision: int
    ) -> AsyncIterator[tuple[WatchEvent, ...]]:
        """Yields batches of changes below a prefix, in order of revision."""
        request = wire.watch_request(prefix, after_revision)
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=CALL_TIMEOUT_S)
        url = self.base_url + wire.WATCH_PATH
        try:
            async with self.session.post(url, json=request, timeout=timeout) as answer:
                if answer.status != 200:
                    raise StoreUnavailableError(
                        f"watch of {prefix} answered {answer.status}"
                    )
                async for line in answer.content:
                    events = parse_watch_line(line)
                    if events:
                        yield events
        except (TimeoutError, aiohttp.ClientError, ValueError) as error:
            raise StoreUnavailableError(f"watch of {prefix}: {error}") from error
        raise StoreUnavailableError(f"watch of {prefix} ended")

    async def close(self) -> None:
        """Closes the HTTP session."""
        await self.session.close()


def parse_watch_line(line: bytes) -> tuple[WatchEvent, ...]:
    """Decodes one line of a watch stream; a blank line has no events.

    Raises:
        WatchCompactedError: The start revision was compacted.
        StoreUnavailableError: The store cancelled the watch.
        WireError: The line is malformed.
    """
    if not line.strip():
        return ()
    result = wire.stream_result(wire.parse_object(line))
    compacted = wire.parse_number(result, "compact_revision")
    if compacted > 0:
        raise WatchCompactedError(
            f"watch history before revision {compacted} has been compacted"
        )
    if result.get("canceled", False):
        raise StoreUnavailableError("the store cancelled the watch")
    return wire.parse_watch_events(result)


async def raise_refusal(path: str, answer: aiohttp.ClientResponse) -> NoReturn:
    """Raises the error for an answer with a status other than 200.

    Raises:
        ConflictError: The request was invalid (400 or 404); nothing was written.
        StoreUnavailableError: The store was overloaded (429); nothing was written.
        StoreUnknownError: Any other status.
    """
    text = (await answer.text(errors="replace"))[:MAX_REASON_CHARS]
    reason = f"{path} answered {answer.status}: {text}"
    if answer.status in REFUSED_STATUSES:
        raise ConflictError(reason)
    if answer.status == BUSY_STATUS:
        raise StoreUnavailableError(reason)
    raise StoreUnknownError(reason)
