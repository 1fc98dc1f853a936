"""HTTP client of the platform's key-value store."""

import base64
import binascii
import json
from collections.abc import AsyncIterator, Callable, Mapping, Sequence
from typing import NamedTuple, TypeVar
from urllib.parse import quote

import aiohttp
from burdockthread_model.clock import Clock
from burdockthread_model.errors import (
    ConflictError,
    LeaseLostError,
    StoreUnavailableError,
    StoreUnknownError,
    WatchCompactedError,
)
from burdockthread_store.store import (
    ANY_REVISION,
    Change,
    ConfigurationStore,
    Guard,
    KeyValue,
    Lease,
    Listing,
    WatchEvent,
)

from burdockthread_platform import wire

# The store answers within milliseconds, and takes up to 100 times longer when slow.
CALL_TIMEOUT_S = 0.8
CONNECT_TIMEOUT_S = 0.5
# A watch without events returns after this time, which shows that it works.
WATCH_WAIT_MS = 1_000
MAX_REASON_CHARS = 200
NOT_FOUND = 404
GONE = 410
CONDITION_FAILED = 412
# The store did not execute the call: over the rate limit, or unavailable.
NOT_EXECUTED = (429, 503)


Parsed = TypeVar("Parsed")


class Answer(NamedTuple):
    """HTTP status and decoded body of an answer."""

    status: int
    body: wire.JsonObject


class PlatformStore(ConfigurationStore):
    """Client of the key-value store at one address.

    Attributes:
        base_url: Address such as ``http://10.0.0.1:8621``.
        contact_s: Clock time of the last answer other than 429 and 503.
        pauses_s: Seconds by prefix that a watch waits after an answer with events;
            each call counts against the rate limit.
    """

    def __init__(
        self,
        address: str,
        session: aiohttp.ClientSession,
        clock: Clock,
        pauses_s: Mapping[str, float],
    ) -> None:
        self.pauses_s = pauses_s
        self.base_url = f"http://{address}"
        self.session = session
        self.clock = clock
        self.contact_s = float("-inf")

    async def call(
        self,
        method: str,
        path: str,
        body: wire.JsonObject | None = None,
        wait_s: float = 0.0,
    ) -> Answer:
        """Sends a request to the store.

        Raises:
            StoreUnavailableError: The store did not execute the call.
            StoreUnknownError: No complete answer; the call may have taken effect.
        """
        timeout = aiohttp.ClientTimeout(
            total=wait_s + CALL_TIMEOUT_S, sock_connect=CONNECT_TIMEOUT_S
        )
        try:
            async with self.session.request(
                method, self.base_url + path, json=body, timeout=timeout
            ) as answer:
                data = await answer.read()
        except aiohttp.ClientConnectorError as error:
            raise StoreUnavailableError(f"{path}: {error}") from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise StoreUnknownError(f"{path}: {type(error).__name__}") from error
        if answer.status in NOT_EXECUTED:
            raise StoreUnavailableError(f"{path} answered {answer.status}")
        self.contact_s = self.clock.now()
        return Answer(answer.status, parse_body(path, data))

    async def read(self, path: str, wait_s: float = 0.0) -> Answer:
        """Sends a read; a lost answer counts as unavailable, reads have no effect."""
        try:
            return await self.call("GET", path, wait_s=wait_s)
        except StoreUnknownError as error:
            raise StoreUnavailableError(str(error)) from error

    async def get(self, key: str) -> KeyValue | None:
        """Reads one key; returns None if the key does not exist."""
        path = f"/kv-key?key={quote(key, safe='')}"
        answer = await self.read(path)
        if answer.status == NOT_FOUND:
            return None
        expect_success(path, answer)
        return parse_or_unavailable(path, answer.body, parse_item)

    async def list(self, prefix: str) -> Listing:
        """Reads all keys below a prefix, page by page.

        The pages are not one snapshot. The returned revision is that of the first
        page, so a watch from it reports all changes made since.
        """
        items: list[KeyValue] = []
        revision = 0
        after = ""
        while True:
            path = f"/kv-range?prefix={quote(prefix, safe='')}"
            if after:
                path += f"&after={quote(after, safe='')}"
            answer = await self.read(path)
            expect_success(path, answer)
            page = parse_or_unavailable(path, answer.body, parse_page)
            items.extend(page.items)
            revision = revision or page.revision
            if not answer.body.get("truncated") or not page.items:
                return Listing(tuple(items), revision)
            after = page.items[-1].key

    async def write(
        self, changes: Sequence[Change], guards: Sequence[Guard] = ()
    ) -> int:
        """Applies conditional writes, all or none; returns the new revision."""
        path = "/kv-txn"
        answer = await self.call("POST", path, txn_body(changes, guards))
        if answer.status == CONDITION_FAILED:
            raise ConflictError("the revision of a key differs from the expected one")
        if answer.status == NOT_FOUND:
            raise LeaseLostError("the lease of a key has expired")
        expect_success(path, answer)
        return parse_or_unavailable(
            path, answer.body, lambda body: wire.integer(body, "revision")
        )

    async def grant_lease(self, ttl_s: float) -> Lease:
        """Requests a new lease; its term counts from before the request was sent."""
        sent_s = self.clock.now()
        path = "/kv-lease"
        try:
            answer = await self.call("POST", path, {"ttlMs": int(ttl_s * 1000)})
        except StoreUnknownError as error:
            raise StoreUnavailableError(str(error)) from error
        expect_success(path, answer)
        lease_id = wire.integer(answer.body, "lease", least=1)
        granted_s = wire.number(answer.body, "ttlMs") / 1000
        return Lease(lease_id, granted_s, sent_s + granted_s)

    async def renew_lease(self, lease: Lease) -> Lease:
        """Renews a lease for another term.

        Raises:
            LeaseLostError: The lease has expired.
        """
        sent_s = self.clock.now()
        path = f"/kv-keep/{lease.lease_id}"
        try:
            answer = await self.call("POST", path)
        except StoreUnknownError as error:
            raise StoreUnavailableError(str(error)) from error
        if answer.status == NOT_FOUND:
            raise LeaseLostError(f"lease {lease.lease_id} has expired")
        expect_success(path, answer)
        return lease._replace(expires_s=sent_s + lease.ttl_s)

    async def revoke_lease(self, lease: Lease) -> None:
        """Ends a lease and deletes its keys."""
        await self.call("DELETE", f"/kv-lease-end/{lease.lease_id}")

    async def watch(
        self, prefix: str, after_revision: int
    ) -> AsyncIterator[tuple[WatchEvent, ...]]:
        """Yields changes below a prefix; an empty batch shows that the watch works."""
        revision = after_revision
        while True:
            path = (
                f"/kv-watch?prefix={quote(prefix, safe='')}"
                f"&after={revision}&waitMs={WATCH_WAIT_MS}"
            )
            answer = await self.read(path, wait_s=WATCH_WAIT_MS / 1000)
            if answer.status == GONE:
                raise WatchCompactedError(
                    f"revision {revision} is no longer in the store's history"
                )
            expect_success(path, answer)
            events = parse_or_unavailable(path, answer.body, parse_events)
            revision = max(revision, wire.integer(answer.body, "currentRev"))
            yield events
            if events:
                await self.clock.sleep(self.pauses_s.get(prefix, 0.0))

    async def close(self) -> None:
        """Does nothing; the owner of the session closes the connections."""


def parse_body(path: str, data: bytes) -> wire.JsonObject:
    """Decodes the body of an answer; an empty body gives an object without fields.

    Raises:
        StoreUnknownError: The body is not a JSON object.
    """
    if not data:
        return {}
    try:
        return wire.parse_object(data)
    except wire.WireError as error:
        raise StoreUnknownError(f"{path}: {error}") from error


def parse_or_unavailable(
    path: str, body: wire.JsonObject, parse: Callable[[wire.JsonObject], Parsed]
) -> Parsed:
    """Decodes an answer with a parser.

    Raises:
        StoreUnavailableError: The answer does not follow the protocol.
    """
    try:
        return parse(body)
    except wire.WireError as error:
        raise StoreUnavailableError(f"{path}: {error}") from error


def expect_success(path: str, answer: Answer) -> None:
    """Checks that an answer reports success.

    Raises:
        StoreUnavailableError: The status is not 200.
    """
    if answer.status != 200:
        reason = json.dumps(answer.body)[:MAX_REASON_CHARS]
        raise StoreUnavailableError(f"{path} answered {answer.status}: {reason}")


def parse_item(item: wire.JsonObject) -> KeyValue:
    """Decodes a key with its value and revision."""
    return KeyValue(
        key=wire.required_text(item, "key"),
        value=decode_value(wire.text(item, "value")),
        revision=wire.integer(item, "revision"),
    )


def decode_value(encoded: str) -> bytes:
    """Decodes a value from base64."""
    try:
        return base64.b64decode(encoded, validate=True)
    except (binascii.Error, ValueError) as error:
        raise wire.WireError("value", "not base64") from error


def parse_page(body: wire.JsonObject) -> Listing:
    """Decodes one page of a listing."""
    items = tuple(parse_item(item) for item in wire.objects(body, "items"))
    return Listing(items, wire.integer(body, "currentRev"))


def parse_events(body: wire.JsonObject) -> tuple[WatchEvent, ...]:
    """Decodes the events in the answer to a watch."""
    return tuple(parse_event(event) for event in wire.objects(body, "events"))


def parse_event(event: wire.JsonObject) -> WatchEvent:
    """Decodes one event; a deletion has no value."""
    if wire.flag(event, "deleted"):
        key = wire.required_text(event, "key")
        return WatchEvent(key, None, wire.integer(event, "revision"))
    return WatchEvent(*parse_item(event))


def txn_body(changes: Sequence[Change], guards: Sequence[Guard]) -> wire.JsonObject:
    """Encodes the body of a conditional write."""
    conditions: list[Change | Guard] = [*guards, *changes]
    return {
        "expected": [
            {"key": c.key, "revision": c.expected_revision}
            for c in conditions
            if c.expected_revision != ANY_REVISION
        ],
        "writes": [put_body(c) for c in changes if c.value is not None],
        "remove": [c.key for c in changes if c.value is None],
    }


def put_body(change: Change) -> wire.JsonObject:
    """Encodes the write of one key."""
    value = change.value or b""
    body: wire.JsonObject = {
        "key": change.key,
        "value": base64.b64encode(value).decode("ascii"),
    }
    if change.lease_id:
        body["lease"] = change.lease_id
    return body
