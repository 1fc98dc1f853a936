"""Finds out whether a write whose answer was lost has taken effect.

In the same transaction each write also puts a marker key, which only this client
writes, on condition that the marker is still at the revision last seen. The marker
holds the id of the write that put it. After a lost answer the client reads the
marker to find out whether the write took effect, even if another writer has
overwritten or deleted the written keys since. If the write has not taken effect,
the client puts the marker once more (fencing). The lost write can then no longer
take effect late, because its condition on the marker does not hold any more.
"""

import asyncio
import itertools
import math
import random
import secrets
from collections.abc import AsyncIterator, Sequence
from contextlib import (
    AbstractAsyncContextManager,
    asynccontextmanager,
    nullcontext,
)
from enum import Enum, auto
from typing import NamedTuple

from burdockthread_http.http_calls import running_timeout
from burdockthread_model.clock import Clock
from burdockthread_model.errors import (
    ConflictError,
    StoreError,
    StoreUnavailableError,
    StoreUnknownError,
    WriteLostError,
)
from burdockthread_model.load import LoadMonitor
from burdockthread_model.metrics import Metrics
from burdockthread_model.records import RecordError, decode_record, encode_record
from burdockthread_model.settings import Limits

from burdockthread_store.budget import CallBudget
from burdockthread_store.budgeted_store import BudgetedStore
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

MARKER_PREFIX = "writer/"
MARKER_KEY_COUNT = 8
EARLIER_WRITES = 4
MARKER_WAIT_S = 2.0
SETTLE_TIMEOUT_S = 10.0
RETRY_FIRST_S = 0.05
RETRY_MAX_S = 1.0
MARKER_ATTEMPTS = 4
# A write without an answer is looked for after this time, half of the time-out of a
# call, or after this many times the last answer took: a read finds it before that.
RESOLVE_AFTER_S = 0.4
RESOLVE_FACTOR = 2.0


class Marker(NamedTuple):
    """Value of a marker key.

    Attributes:
        writer: Unique id of the write that put the marker.
        earlier: Id and revision of the writes before it, newest first; at most
            `EARLIER_WRITES`.
    """

    writer: str
    earlier: tuple[tuple[str, int], ...] = ()


class Effect(Enum):
    """What is known about a write whose answer was lost.

    Attributes:
        WRITTEN: It took effect.
        NOT_WRITTEN: It had no effect and can have none later.
        PENDING: It has had no effect yet and may still take effect.
        UNKNOWN: The marker does not show whether it took effect.
    """

    WRITTEN = auto()
    NOT_WRITTEN = auto()
    PENDING = auto()
    UNKNOWN = auto()


class Outcome(NamedTuple):
    """Effect of a write and its revision, which is 0 unless it was written."""

    effect: Effect
    revision: int = 0


class MarkerKey:
    """A marker key and its last known value; used by one write at a time.

    Attributes:
        key: Key of the marker.
        revision: Last known revision of the marker; 0 if it did not exist.
        marker: Last known value of the marker, or None.
    """

    def __init__(self, key: str) -> None:
        self.key = key
        self.revision = 0
        self.marker: Marker | None = None

    def next_marker(self, writer: str) -> Marker:
        """Returns the marker that the write with this id has to put."""
        if self.marker is None:
            return Marker(writer)
        earlier = ((self.marker.writer, self.revision), *self.marker.earlier)
        return Marker(writer, earlier[:EARLIER_WRITES])

    def advance(self, marker: Marker, revision: int) -> None:
        """Records the marker that a successful write put."""
        self.marker = marker
        self.revision = revision

    def update_from(self, item: KeyValue | None) -> None:
        """Records the marker as read from the store, or None if it is missing."""
        self.revision = 0 if item is None else item.revision
        self.marker = None if item is None else parse_marker(item.value)

    def outcome(self, writer: str, item: KeyValue | None) -> "Outcome":
        """Determines from the stored marker whether a write has taken effect.

        Args:
            writer: Id of a write that used this marker key.
            item: The marker as read after the write, or None if it is missing.

        Returns:
            The effect, as far as it is known.
        """
        if (0 if item is None else item.revision) == self.revision:
            return Outcome(Effect.PENDING)
        if item is None:
            return Outcome(Effect.UNKNOWN)
        marker = parse_marker(item.value)
        puts = ((marker.writer, item.revision), *marker.earlier)
        for known, revision in puts:
            if known == writer:
                return Outcome(Effect.WRITTEN, revision)
        complete = len(marker.earlier) < EARLIER_WRITES
        follows = any(revision == self.revision for _, revision in puts)
        if follows or (self.revision == 0 and complete):
            return Outcome(Effect.NOT_WRITTEN)
        return Outcome(Effect.UNKNOWN)


def parse_marker(data: bytes) -> Marker:
    """Decodes a marker; a malformed one yields a marker that matches no write."""
    try:
        return decode_record(data, Marker)
    except RecordError:
        return Marker("", (("", 0),) * EARLIER_WRITES)


class SettledStore(ConfigurationStore):
    """Writes through another client and resolves lost answers.

    Attributes:
        store: Client whose writes may end in `StoreUnknownError`.
        name: Name of this client; another process of the same name uses the same
            marker keys.
        free_marker_keys: Marker keys that no write uses now, the last used at the end.
        has_unresolved_write: Whether a lost answer could not be resolved and the
            store has not answered since.
        answer_s: Seconds that the last answered read or write took; infinity before
            the first.
    """

    def __init__(
        self,
        store: ConfigurationStore,
        name: str,
        clock: Clock,
        metrics: Metrics,
        load: LoadMonitor | None = None,
    ) -> None:
        """Creates a client.

        Args:
            store: Client whose writes may end in `StoreUnknownError`.
            name: Name of this client.
            clock: Clock for the time-outs.
            metrics: Counts lost answers.
            load: Knows the lateness of this process, or None if it is never late.
        """
        self.store = store
        self.name = name
        self.clock = clock
        self.metrics = metrics
        self.process_id = secrets.token_hex(6)
        self.numbers = itertools.count(1)
        self.free_marker_keys = [
            MarkerKey(f"{MARKER_PREFIX}{name}/{n}") for n in range(MARKER_KEY_COUNT)
        ]
        self.marker_key_permits = asyncio.Semaphore(MARKER_KEY_COUNT)
        self.has_unresolved_write = False
        self.load = load
        self.answer_s = float("inf")

    @classmethod
    def with_budget(
        cls,
        store: ConfigurationStore,
        name: str,
        limits: Limits,
        clock: Clock,
        metrics: Metrics,
    ) -> "SettledStore":
        """Returns a client that also respects the call budget of the settings."""
        budget = CallBudget.from_limits(limits, clock)
        return cls(BudgetedStore(store, budget), name, clock, metrics)

    async def get(self, key: str) -> KeyValue | None:
        """Reads one key."""
        sent_s = self.clock.now()
        found = await self.store.get(key)
        self.answer_s = self.clock.now() - sent_s
        return found

    async def list(self, prefix: str) -> Listing:
        """Reads all keys below a prefix."""
        return await self.store.list(prefix)

    async def write(
        self, changes: Sequence[Change], guards: Sequence[Guard] = ()
    ) -> int:
        """Applies all changes in one transaction if every condition holds."""
        async with self.reserved_marker_key() as marker_key:
            if self.has_unresolved_write:
                await self.confirm_reachable(marker_key)
            for _ in range(MARKER_ATTEMPTS):
                revision = await self.attempt(marker_key, changes, guards)
                if revision is not None:
                    return revision
        raise StoreUnavailableError(
            f"another process writes as {self.name}: "
            f"marker changed {MARKER_ATTEMPTS} times"
        )

    @asynccontextmanager
    async def reserved_marker_key(self) -> AsyncIterator[MarkerKey]:
        """Reserves a marker key for a write within the block.

        Raises:
            StoreUnavailableError: All were in use for `MARKER_WAIT_S`; nothing was
                sent.
        """
        try:
            async with self.clock.timeout(MARKER_WAIT_S):
                await self.marker_key_permits.acquire()
        except TimeoutError:
            raise StoreUnavailableError(
                f"all {MARKER_KEY_COUNT} marker keys in use for {MARKER_WAIT_S:g} s"
            ) from None
        marker_key = self.free_marker_keys.pop()
        try:
            yield marker_key
        finally:
            self.free_marker_keys.append(marker_key)
            self.marker_key_permits.release()

    async def confirm_reachable(self, marker_key: MarkerKey) -> None:
        """Reads the marker before a write while the store may be unavailable.

        In an outage the read fails and nothing is sent, so that the caller gets a
        certain `StoreUnavailableError` instead of an unknown outcome.
        """
        marker_key.update_from(await self.store.get(marker_key.key))
        self.has_unresolved_write = False

    async def attempt(
        self, marker_key: MarkerKey, changes: Sequence[Change], guards: Sequence[Guard]
    ) -> int | None:
        """Sends a write once.

        Returns:
            The revision, or None if only the condition on the marker failed.
        """
        writer = self.new_writer()
        marker = marker_key.next_marker(writer)
        marker_change = Change(
            marker_key.key, encode_record(marker), marker_key.revision
        )
        try:
            revision = await self.send([*changes, marker_change], guards)
        except ConflictError as error:
            return await self.explain_conflict(marker_key, writer, error)
        except StoreUnknownError:
            return await self.settle(marker_key, writer)
        marker_key.advance(marker, revision)
        return revision

    async def send(
        self, changes: Sequence[Change], guards: Sequence[Guard] = ()
    ) -> int:
        """Sends a write and waits for its answer for some times the usual time.

        Raises:
            StoreUnknownError: No answer until then, or none in the call's own time-out.
            StoreError: See `ConfigurationStore.write`.
        """
        sent_s = self.clock.now()
        try:
            async with self.answer_timeout():
                revision = await self.store.write(changes, guards)
        except TimeoutError as error:
            elapsed_s = self.clock.now() - sent_s
            raise StoreUnknownError(f"no answer for {elapsed_s:.2f} s") from error
        self.answer_s = self.clock.now() - sent_s
        return revision

    def answer_timeout(self) -> AbstractAsyncContextManager[object]:
        """Returns the time-out of a write, without delays of this process.

        A store that is slow to read is slow to write, too; the first write of a process
        has the time-out of its call alone.
        """
        seconds = max(RESOLVE_AFTER_S, self.answer_s * RESOLVE_FACTOR)
        if math.isinf(seconds):
            return nullcontext()
        if self.load is None:
            return self.clock.timeout(seconds)
        return running_timeout(self.load, seconds)

    def new_writer(self) -> str:
        """Returns a unique id for a write."""
        return f"{self.process_id}-{next(self.numbers)}"

    async def explain_conflict(
        self, marker_key: MarkerKey, writer: str, error: ConflictError
    ) -> int | None:
        """Distinguishes a conflict on the marker from one on the changes or guards.

        Returns:
            The revision if the write took effect after all, or None if the marker
            was changed by another process and the write may be repeated.

        Raises:
            ConflictError: The condition of a change or guard did not hold.
            StoreUnavailableError: The marker could not be read.
        """
        found = await self.store.get(marker_key.key)
        outcome = marker_key.outcome(writer, found)
        if outcome.effect is Effect.PENDING:
            raise error
        marker_key.update_from(found)
        return outcome.revision or None

    async def settle(self, marker_key: MarkerKey, writer: str) -> int:
        """Finds out whether a write whose answer was lost took effect.

        Returns:
            The revision of the write.

        Raises:
            WriteLostError: The write had no effect and will have none.
            StoreUnknownError: Neither is known after at most `SETTLE_TIMEOUT_S`.
        """
        self.metrics.count("store.lost_answers")
        started_s = self.clock.now()
        try:
            async with self.clock.timeout(SETTLE_TIMEOUT_S):
                outcome = await self.settled_outcome(marker_key, writer)
        except TimeoutError:
            outcome = Outcome(Effect.UNKNOWN)
            self.has_unresolved_write = True
        self.metrics.timing("store.settle", self.clock.now() - started_s)
        self.metrics.count(f"store.settled.{outcome.effect.name.lower()}")
        if outcome.effect is Effect.WRITTEN:
            return outcome.revision
        if outcome.effect is Effect.NOT_WRITTEN:
            raise WriteLostError(
                "the request of the write was lost; nothing was written"
            )
        raise StoreUnknownError(
            "the answer to a write was lost; the write may have taken effect"
        )

    async def settled_outcome(self, marker_key: MarkerKey, writer: str) -> Outcome:
        """Reads the marker, and fences a pending write, until the outcome is known.

        Store errors are retried with backoff; the caller sets a timeout.
        """
        retry_s = RETRY_FIRST_S
        while True:
            try:
                found = await self.get(marker_key.key)
                outcome = marker_key.outcome(writer, found)
                if outcome.effect is not Effect.PENDING:
                    marker_key.update_from(found)
                    return outcome
                await self.fence(marker_key)
                return Outcome(Effect.NOT_WRITTEN)
            except (ConflictError, StoreError):
                await self.clock.sleep(random.uniform(retry_s / 2, retry_s))
                retry_s = min(retry_s * 2, RETRY_MAX_S)

    async def fence(self, marker_key: MarkerKey) -> None:
        """Puts only the marker, so that the pending write can no longer succeed."""
        marker = marker_key.next_marker(self.new_writer())
        marker_change = Change(
            marker_key.key, encode_record(marker), marker_key.revision
        )
        marker_key.advance(marker, await self.send([marker_change]))

    async def grant_lease(self, ttl_s: float) -> Lease:
        """Grants a lease."""
        return await self.store.grant_lease(ttl_s)

    async def renew_lease(self, lease: Lease) -> Lease:
        """Renews a lease and returns it with its new expiry time."""
        return await self.store.renew_lease(lease)

    async def revoke_lease(self, lease: Lease) -> None:
        """Revokes a lease, which deletes the keys bound to it."""
        await self.store.revoke_lease(lease)

    def watch(
        self, prefix: str, after_revision: int
    ) -> AsyncIterator[tuple[WatchEvent, ...]]:
        """Opens a watch for the changes below a prefix."""
        return self.store.watch(prefix, after_revision)

    async def changes(self, prefix: str, after_revision: int) -> Changes:
        """Reads the changes below a prefix without waiting for any."""
        return await self.store.changes(prefix, after_revision)

    async def close(self) -> None:
        """Closes the wrapped client."""
        await self.store.close()
