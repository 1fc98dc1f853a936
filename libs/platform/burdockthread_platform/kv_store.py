"""The platform's key-value store over HTTP."""

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

# The store answers in milliseconds; up to a hundred times that when it is slow.
CALL_TIMEOUT_S = 0.8
CONNECT_TIMEOUT_S = 0.5
# A watch without events ends this often, which shows that it is alive.
WATCH_WAIT_MS = 1_000
MAX_REASON_CHARS = 200
NOT_FOUND = 404
GONE = 410
CONDITION_FAILED = 412
# Nothing was done: over the rate, or not available.
NOTHING_DONE = (429, 503)


Parsed = TypeVar("Parsed")


class Answer(NamedTuple):
    """Status and body of an answer."""

    status: int
    body: wire.JsonObject


class PlatformStore(ConfigurationStore):
    """Client of the store at one address.

    Attributes:
        base_url: Address such as ``http://10.0.0.1:8621``.
        contact_s: Clock time of the last answer that did what was asked.
        pauses_s: Seconds between two answers of a watch that brings events, by
            prefix; each answer is a call that counts.
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
        """Makes a call.

        Raises:
            StoreUnavailableError: Nothing was done.
            StoreUnknownError: No whole answer; the call may be in effect.
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
        if answer.status in NOTHING_DONE:
            raise StoreUnavailableError(f"{path} answered {answer.status}")
        self.contact_s = self.clock.now()
        return Answer(answer.status, parse_body(path, data))

    async def read(self, path: str, wait_s: float = 0.0) -> Answer:
        """Makes a call for which a lost answer is no doubt."""
        try:
            return await self.call("GET", path, wait_s=wait_s)
        except StoreUnknownError as error:
            raise StoreUnavailableError(str(error)) from error

    async def get(self, key: str) -> KeyValue | None:
        """Reads one key."""
        path = f"/kv-key?key={quote(key, safe='')}"
        answer = await self.read(path)
        if answer.status == NOT_FOUND:
            return None
        expect_success(path, answer)
        return readable(path, answer.body, parse_item)

    async def list(self, prefix: str) -> Listing:
        """Reads all keys below a prefix, page by page.

        The pages are no snapshot; the revision is that of the first, so that a
        watch from there brings what has changed meanwhile.
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
            page = readable(path, answer.body, parse_page)
            items.extend(page.items)
            revision = revision or page.revision
            if not answer.body.get("truncated") or not page.items:
                return Listing(tuple(items), revision)
            after = page.items[-1].key

    async def write(
        self, changes: Sequence[Change], guards: Sequence[Guard] = ()
    ) -> int:
        """Applies conditional writes, all or none; a lost answer is unknown."""
        path = "/kv-txn"
        answer = await self.call("POST", path, txn_body(changes, guards))
        if answer.status == CONDITION_FAILED:
            raise ConflictError("a key has another revision than expected")
        if answer.status == NOT_FOUND:
            raise LeaseLostError("the lease of a key has ended")
        expect_success(path, answer)
        return readable(path, answer.body, lambda body: wire.integer(body, "revision"))

    async def grant_lease(self, ttl_s: float) -> Lease:
        """Takes a new lease."""
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
        """Prolongs a lease."""
        sent_s = self.clock.now()
        path = f"/kv-keep/{lease.lease_id}"
        try:
            answer = await self.call("POST", path)
        except StoreUnknownError as error:
            raise StoreUnavailableError(str(error)) from error
        if answer.status == NOT_FOUND:
            raise LeaseLostError(f"lease {lease.lease_id} has ended")
        expect_success(path, answer)
        return lease._replace(expires_s=sent_s + lease.ttl_s)

    async def revoke_lease(self, lease: Lease) -> None:
        """Ends a lease and deletes its keys."""
        await self.call("DELETE", f"/kv-lease-end/{lease.lease_id}")

    async def watch(
        self, prefix: str, after_revision: int
    ) -> AsyncIterator[tuple[WatchEvent, ...]]:
        """Follows the changes below a prefix; an empty batch shows that it lives."""
        revision = after_revision
        while True:
            path = (
                f"/kv-watch?prefix={quote(prefix, safe='')}"
                f"&after={revision}&waitMs={WATCH_WAIT_MS}"
            )
            answer = await self.read(path, wait_s=WATCH_WAIT_MS / 1000)
            if answer.status == GONE:
                raise WatchCompactedError(f"revision {revision} is gone")
            expect_success(path, answer)
            events = readable(path, answer.body, parse_events)
            revision = max(revision, wire.integer(answer.body, "currentRev"))
            yield events
            if events:
                await self.clock.sleep(self.pauses_s.get(prefix, 0.0))

    async def close(self) -> None:
        """Does nothing; the owner of the session closes it."""


def parse_body(path: str, data: bytes) -> wire.JsonObject:
    """Returns the object of an answer; an empty one has no fields.

    Raises:
        StoreUnknownError: The answer cannot be read.
    """
    if not data:
        return {}
    try:
        return wire.parse_object(data)
    except wire.WireError as error:
        raise StoreUnknownError(f"{path}: {error}") from error


def readable(
    path: str, body: wire.JsonObject, parse: Callable[[wire.JsonObject], Parsed]
) -> Parsed:
    """Reads an answer.

    Raises:
        StoreUnavailableError: The answer does not follow the protocol.
    """
    try:
        return parse(body)
    except wire.WireError as error:
        raise StoreUnavailableError(f"{path}: {error}") from error


def expect_success(path: str, answer: Answer) -> None:
    """Refuses an answer with an error status.

    Raises:
        StoreUnavailableError: The status is not 200.
    """
    if answer.status != 200:
        reason = json.dumps(answer.body)[:MAX_REASON_CHARS]
        raise StoreUnavailableError(f"{path} answered {answer.status}: {reason}")


def parse_item(item: wire.JsonObject) -> KeyValue:
    """Returns a key with its value."""
    return KeyValue(
        key=wire.needed_text(item, "key"),
        value=decode_value(wire.text(item, "value")),
        revision=wire.integer(item, "revision"),
    )


def decode_value(encoded: str) -> bytes:
    """Returns the bytes of a value."""
    try:
        return base64.b64decode(encoded, validate=True)
    except (binascii.Error, ValueError) as error:
        raise wire.WireError("value", "not base64") from error


def parse_page(body: wire.JsonObject) -> Listing:
    """Returns a page of a listing."""
    items = tuple(parse_item(item) for item in wire.objects(body, "items"))
    return Listing(items, wire.integer(body, "currentRev"))


def parse_events(body: wire.JsonObject) -> tuple[WatchEvent, ...]:
    """Returns the events of an answer to a watch."""
    return tuple(parse_event(event) for event in wire.objects(body, "events"))


def parse_event(event: wire.JsonObject) -> WatchEvent:
    """Returns one event."""
    if wire.flag(event, "deleted"):
        key = wire.needed_text(event, "key")
        return WatchEvent(key, None, wire.integer(event, "revision"))
    return WatchEvent(*parse_item(event))


def txn_body(changes: Sequence[Change], guards: Sequence[Guard]) -> wire.JsonObject:
    """Returns the body of a conditional write."""
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
    """Returns the write of one key."""
    value = change.value or b""
    body: wire.JsonObject = {
        "key": change.key,
        "value": base64.b64encode(value).decode("ascii"),
    }
    if change.lease_id:
        body["lease"] = change.lease_id
    return body
