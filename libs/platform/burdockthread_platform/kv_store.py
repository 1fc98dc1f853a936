"""HTTP client of the platform's key-value store."""

from collections.abc import AsyncIterator, Mapping, Sequence
from urllib.parse import quote

import aiohttp
from burdockthread_http.http_calls import NOT_SENT, HttpCalls
from burdockthread_model.clock import Clock
from burdockthread_model.errors import (
    AnswerTooLargeError,
    ConflictError,
    LeaseLostError,
    StoreUnavailableError,
    StoreUnknownError,
    WatchCompactedError,
)
from burdockthread_store.listing_sizes import ListingSizes
from burdockthread_store.store import (
    Change,
    Changes,
    ConfigurationStore,
    Guard,
    KeyValue,
    Lease,
    Listing,
    WatchEvent,
)

from burdockthread_platform import wire
from burdockthread_platform.kv_messages import (
    Answer,
    expect_success,
    parse_body,
    parse_events,
    parse_grant,
    parse_item,
    parse_or_unavailable,
    parse_page,
    parse_revision,
    txn_body,
)

# The store answers within milliseconds, and takes up to 100 times longer when slow.
CALL_TIMEOUT_S = 0.8
CONNECT_TIMEOUT_S = 0.5
# A watch without events returns after this time, which shows that it works.
WATCH_WAIT_MS = 1_000
NOT_FOUND = 404
# From this status on the call may have been executed, unless it is in `NOT_EXECUTED`.
SERVER_ERROR = 500
GONE = 410
CONDITION_FAILED = 412
# The store did not execute the call: over the rate limit, or unavailable.
NOT_EXECUTED = (429, 503)


class PlatformStore(ConfigurationStore):
    """Client of the key-value store at one address.

    Attributes:
        base_url: Address such as ``http://10.0.0.1:8621``.
        contact_s: Clock time of the last answer other than 429 and 503.
        pauses_s: Seconds by prefix that a watch waits after an answer with events;
            each call counts against the rate limit.
        sizes: Tells which changes are too large to be read.
    """

    def __init__(
        self,
        address: str,
        calls: HttpCalls,
        clock: Clock,
        pauses_s: Mapping[str, float],
    ) -> None:
        self.pauses_s = pauses_s
        self.base_url = f"http://{address}"
        self.calls = calls
        self.clock = clock
        self.contact_s = float("-inf")
        self.sizes = ListingSizes()

    def note_contact(self, status: int) -> None:
        """Records that the store answers, unless it turns this entry away."""
        if status not in NOT_EXECUTED:
            self.contact_s = self.clock.now()

    async def call(
        self,
        method: str,
        path: str,
        body: wire.JsonObject | None = None,
        wait_s: float = 0.0,
        most_bytes: float = float("inf"),
    ) -> Answer:
        """Sends a request to the store.

        Raises:
            AnswerTooLargeError: The answer has more than `most_bytes`.
            StoreUnavailableError: The store did not execute the call.
            StoreUnknownError: No complete answer; the call may have taken effect.
        """
        try:
            answer = await self.calls.send(
                f"store.{call_kind(path)}",
                method,
                self.base_url + path,
                wait_s + CALL_TIMEOUT_S,
                CONNECT_TIMEOUT_S,
                None if body is None else wire.encode(body),
                None if body is None else wire.BODY_HEADERS,
                urgent=path.startswith("/kv-keep"),
                waits=wait_s > 0,
                most_bytes=most_bytes,
                on_part=self.note_contact,
            )
        except NOT_SENT as error:
            raise StoreUnavailableError(f"{path}: {error}") from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise StoreUnknownError(f"{path}: {type(error).__name__}") from error
        if answer.status in NOT_EXECUTED:
            raise StoreUnavailableError(f"{path} answered {answer.status}")
        return Answer(answer.status, parse_body(path, answer.data))

    async def read(
        self, path: str, wait_s: float = 0.0, most_bytes: float = float("inf")
    ) -> Answer:
        """Sends a read; a lost answer counts as unavailable, reads have no effect."""
        try:
            return await self.call("GET", path, wait_s=wait_s, most_bytes=most_bytes)
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
            if page.is_last:
                self.sizes.note(prefix, items)
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
        if answer.status >= SERVER_ERROR:
            raise StoreUnknownError(f"{path} answered {answer.status}")
        expect_success(path, answer)
        try:
            return parse_revision(answer.body, "revision")
        except wire.WireError as error:
            raise StoreUnknownError(f"{path}: {error}") from error

    async def grant_lease(self, ttl_s: float) -> Lease:
        """Requests a new lease; its term counts from before the request was sent."""
        sent_s = self.clock.now()
        path = "/kv-lease"
        try:
            answer = await self.call("POST", path, {"ttlMs": int(ttl_s * 1000)})
        except StoreUnknownError as error:
            raise StoreUnavailableError(str(error)) from error
        expect_success(path, answer)
        lease_id, granted_s = parse_or_unavailable(path, answer.body, parse_grant)
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
            changes = await self.poll(prefix, revision, WATCH_WAIT_MS)
            revision = changes.revision
            yield changes.events
            if changes.events:
                await self.clock.sleep(self.pauses_s.get(prefix, 0.0))

    async def changes(self, prefix: str, after_revision: int) -> Changes:
        """Reads the changes below a prefix without waiting for any."""
        return await self.poll(prefix, after_revision, 0)

    async def poll(self, prefix: str, after_revision: int, wait_ms: int) -> Changes:
        """Reads the changes below a prefix, or waits for the first.

        Raises:
            WatchCompactedError: The store lacks the changes, or they are too large.
        """
        path = (
            f"/kv-watch?prefix={quote(prefix, safe='')}"
            f"&after={after_revision}&waitMs={wait_ms}"
        )
        most_bytes = self.sizes.most_bytes(prefix)
        try:
            answer = await self.read(path, wait_ms / 1000, most_bytes)
        except AnswerTooLargeError as error:
            raise WatchCompactedError(f"changes below {prefix}: {error}") from error
        if answer.status == GONE:
            raise WatchCompactedError(f"the history after {after_revision} is gone")
        expect_success(path, answer)
        events = parse_or_unavailable(path, answer.body, parse_events)
        revision = parse_or_unavailable(path, answer.body, parse_revision)
        newest = max(after_revision, revision)
        return Changes(events, newest)

    async def close(self) -> None:
        """Does nothing; the owner of the session closes the connections."""


def call_kind(path: str) -> str:
    """Returns the kind of a call for metrics: its name, and the prefix it reads."""
    name, prefix = path[1:].partition("?")[0], path.partition("prefix=")[2]
    name = name.partition("/")[0]
    return f"{name}.{prefix.partition('%')[0]}" if prefix else name
