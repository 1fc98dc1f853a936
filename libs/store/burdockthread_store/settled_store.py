"""Settles writes whose answers were lost, so that every write ends in the truth.

Each write also puts a marker key that only this client writes, on condition
that the marker is still at the revision last seen. The marker names the write
that put it. After a lost answer the marker tells whether the write took effect,
also when another writer has overwritten or deleted the keys since. If it did
not, putting the marker once more makes a late effect impossible, because the
condition of the lost write no longer holds.
"""

import asyncio
import itertools
import random
import secrets
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from enum import Enum, auto
from typing import NamedTuple

from burdockthread_model.clock import Clock
from burdockthread_model.errors import (
    ConflictError,
    StoreError,
    StoreUnavailableError,
    StoreUnknownError,
)
from burdockthread_model.metrics import Metrics
from burdockthread_model.records import RecordError, decode_record, encode_record
from burdockthread_model.settings import Limits

from burdockthread_store.budget import CallBudget
from burdockthread_store.budgeted_store import BudgetedStore
from burdockthread_store.store import (
    Change,
    ConfigurationStore,
    Guard,
    KeyValue,
    Lease,
    Listing,
    WatchEvent,
)

MARKER_PREFIX = "writer/"
LANES = 8
EARLIER_WRITES = 4
LANE_WAIT_S = 2.0
SETTLE_TIMEOUT_S = 10.0
RETRY_FIRST_S = 0.05
RETRY_MAX_S = 1.0
MARKER_ATTEMPTS = 4


class Marker(NamedTuple):
    """Value of a marker key.

    Attributes:
        writer: Unique id of the write that put it.
        earlier: Writes before it, newest first: id and revision of each.
    """

    writer: str
    earlier: tuple[tuple[str, int], ...] = ()


class Effect(Enum):
    """What is certain of a write whose answer was lost."""

    WRITTEN = auto()
    NOT_WRITTEN = auto()
    PENDING = auto()
    UNKNOWN = auto()


class Outcome(NamedTuple):
    """What became of a write; the revision is 0 unless it was written."""

    effect: Effect
    revision: int = 0


class Lane:
    """One marker key; carries one write at a time.

    Attributes:
        key: Key of the marker.
        revision: Revision of the marker when last seen; 0 if it did not exist.
        marker: The marker when last seen, or None.
    """

    def __init__(self, key: str) -> None:
        self.key = key
        self.revision = 0
        self.marker: Marker | None = None

    def next_marker(self, writer: str) -> Marker:
        """Returns the marker of the next write."""
        if self.marker is None:
            return Marker(writer)
        earlier = ((self.marker.writer, self.revision), *self.marker.earlier)
        return Marker(writer, earlier[:EARLIER_WRITES])

    def advance(self, marker: Marker, revision: int) -> None:
        """Notes the marker that a write put."""
        self.marker = marker
        self.revision = revision

    def adopt(self, item: KeyValue | None) -> None:
        """Notes the marker as read from the store."""
        self.revision = 0 if item is None else item.revision
        self.marker = None if item is None else parse_marker(item.value)

    def outcome(self, writer: str, item: KeyValue | None) -> "Outcome":
        """Tells from the marker as read what became of a write of this lane.

        Args:
            writer: Id of the write.
            item: The marker, or None if it does not exist.

        Returns:
            What is certain.
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
    """Reads a marker; an unreadable one names no write."""
    try:
        return decode_record(data, Marker)
    except RecordError:
        return Marker("", (("", 0),) * EARLIER_WRITES)


class SettledStore(ConfigurationStore):
    """Writes through another client and settles lost answers.

    Attributes:
        store: Client whose writes may end in `StoreUnknownError`.
        name: Name of this client; another process of the same name takes the
            markers over.
        lanes: Markers that carry no write now, the last used on top.
        doubtful: Whether a write ended without a settled answer and the store
            has not answered since.
    """

    def __init__(
        self, store: ConfigurationStore, name: str, clock: Clock, metrics: Metrics
    ) -> None:
        self.store = store
        self.name = name
        self.clock = clock
        self.metrics = metrics
        self.process = secrets.token_hex(6)
        self.numbers = itertools.count(1)
        self.lanes = [Lane(f"{MARKER_PREFIX}{name}/{n}") for n in range(LANES)]
        self.free = asyncio.Semaphore(LANES)
        self.doubtful = False

    @classmethod
    def with_budget(
        cls,
        store: ConfigurationStore,
        name: str,
        limits: Limits,
        clock: Clock,
        metrics: Metrics,
    ) -> "SettledStore":
        """Returns a client that also keeps to the call budget of the settings."""
        budget = CallBudget.from_limits(limits, clock)
        return cls(BudgetedStore(store, budget), name, clock, metrics)

    async def get(self, key: str) -> KeyValue | None:
        """Reads one key."""
        return await self.store.get(key)

    async def list(self, prefix: str) -> Listing:
        """Reads all keys below a prefix."""
        return await self.store.list(prefix)

    async def write(
        self, changes: Sequence[Change], guards: Sequence[Guard] = ()
    ) -> int:
        """Applies conditional writes, all or none."""
        async with self.lane() as lane:
            if self.doubtful:
                await self.check_answers(lane)
            for _ in range(MARKER_ATTEMPTS):
                revision = await self.attempt(lane, changes, guards)
                if revision is not None:
                    return revision
        raise StoreUnavailableError(f"another process writes as {self.name}")

    @asynccontextmanager
    async def lane(self) -> AsyncIterator[Lane]:
        """Holds a marker within the block.

        Raises:
            StoreUnavailableError: All stayed in use; nothing was sent.
        """
        try:
            async with self.clock.timeout(LANE_WAIT_S):
                await self.free.acquire()
        except TimeoutError:
            raise StoreUnavailableError("too many writes wait for answers") from None
        lane = self.lanes.pop()
        try:
            yield lane
        finally:
            self.lanes.append(lane)
            self.free.release()

    async def check_answers(self, lane: Lane) -> None:
        """Reads before a write, so that an outage ends in a certain refusal."""
        lane.adopt(await self.store.get(lane.key))
        self.doubtful = False

    async def attempt(
        self, lane: Lane, changes: Sequence[Change], guards: Sequence[Guard]
    ) -> int | None:
        """Sends a write once.

        Returns:
            The revision, or None if only the marker was not as expected.
        """
        writer = self.new_writer()
        marker = lane.next_marker(writer)
        mark = Change(lane.key, encode_record(marker), lane.revision)
        try:
            revision = await self.store.write([*changes, mark], guards)
        except ConflictError as error:
            return await self.explain_conflict(lane, writer, error)
        except StoreUnknownError:
            return await self.settle(lane, writer)
        lane.advance(marker, revision)
        return revision

    def new_writer(self) -> str:
        """Returns the unique id of a write."""
        return f"{self.process}-{next(self.numbers)}"

    async def explain_conflict(
        self, lane: Lane, writer: str, error: ConflictError
    ) -> int | None:
        """Tells a conflict over the marker from one over the changes.

        Raises:
            ConflictError: One of the changes or guards did not hold.
            StoreUnavailableError: The marker could not be read.
        """
        found = await self.store.get(lane.key)
        outcome = lane.outcome(writer, found)
        if outcome.effect is Effect.PENDING:
            raise error
        lane.adopt(found)
        return outcome.revision or None

    async def settle(self, lane: Lane, writer: str) -> int:
        """Finds out what became of a write whose answer was lost.

        Returns:
            The revision of the write.

        Raises:
            StoreUnavailableError: It was not written and never will be.
            StoreUnknownError: It could not be told in time.
        """
        self.metrics.count("store.lost_answers")
        started_s = self.clock.now()
        try:
            async with self.clock.timeout(SETTLE_TIMEOUT_S):
                outcome = await self.settled_outcome(lane, writer)
        except TimeoutError:
            outcome = Outcome(Effect.UNKNOWN)
            self.doubtful = True
        self.metrics.timing("store.settle", self.clock.now() - started_s)
        self.metrics.count(f"store.settled.{outcome.effect.name.lower()}")
        if outcome.effect is Effect.WRITTEN:
            return outcome.revision
        if outcome.effect is Effect.NOT_WRITTEN:
            raise StoreUnavailableError("the write was lost on its way")
        raise StoreUnknownError("the answer to a write was lost")

    async def settled_outcome(self, lane: Lane, writer: str) -> Outcome:
        """Reads the marker, and fences a write that has not shown, until told."""
        retry_s = RETRY_FIRST_S
        while True:
            try:
                found = await self.store.get(lane.key)
                outcome = lane.outcome(writer, found)
                if outcome.effect is not Effect.PENDING:
                    lane.adopt(found)
                    return outcome
                await self.fence(lane)
                return Outcome(Effect.NOT_WRITTEN)
            except (ConflictError, StoreError):
                await self.clock.sleep(random.uniform(retry_s / 2, retry_s))
                retry_s = min(retry_s * 2, RETRY_MAX_S)

    async def fence(self, lane: Lane) -> None:
        """Puts the marker alone, so that a write on its way fails."""
        marker = lane.next_marker(self.new_writer())
        mark = Change(lane.key, encode_record(marker), lane.revision)
        lane.advance(marker, await self.store.write([mark]))

    async def grant_lease(self, ttl_s: float) -> Lease:
        """Takes a new lease."""
        return await self.store.grant_lease(ttl_s)

    async def renew_lease(self, lease: Lease) -> Lease:
        """Prolongs a lease."""
        return await self.store.renew_lease(lease)

    async def revoke_lease(self, lease: Lease) -> None:
        """Ends a lease and deletes its keys."""
        await self.store.revoke_lease(lease)

    def watch(
        self, prefix: str, after_revision: int
    ) -> AsyncIterator[tuple[WatchEvent, ...]]:
        """Follows the changes below a prefix."""
        return self.store.watch(prefix, after_revision)

    async def close(self) -> None:
        """Releases connections."""
        await self.store.close()
