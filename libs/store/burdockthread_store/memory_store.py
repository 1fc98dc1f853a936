"""In-memory key-value service for tests and the platform stand-in."""

import asyncio
import itertools
from collections.abc import AsyncIterator, Iterator, Sequence
from contextlib import contextmanager
from typing import NamedTuple

from burdockthread_model.clock import Clock
from burdockthread_model.errors import (
    ConflictError,
    LeaseLostError,
    StoreUnavailableError,
    WatchCompactedError,
)

from burdockthread_store.store import (
    ANY_REVISION,
    Change,
    Changes,
    ConfigurationStore,
    Guard,
    KeyValue,
    Lease,
    Listing,
    WatchEvent,
)

MAX_VALUE_BYTES = 1_048_576
MAX_HISTORY_EVENTS = 100_000


class StoredValue(NamedTuple):
    """A value, the revision of its last write and its lease, or 0 for none."""

    value: bytes
    revision: int
    lease_id: int


class MemoryStore(ConfigurationStore):
    """Keeps keys, leases and the history that watches read.

    Attributes:
        clock: Clock by which leases expire.
        revision: Store-wide revision of the last write.
        down: Whether every call fails as during an outage.
        history: Changes after `compacted_revision`, oldest first.
        compacted_revision: Revision up to which the history was compacted.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.revision = 0
        self.down = False
        self.values: dict[str, StoredValue] = {}
        self.history: list[WatchEvent] = []
        self.compacted_revision = 0
        self.leases: dict[int, Lease] = {}
        self.lease_ids = itertools.count(1)
        self.changed = asyncio.Condition()

    async def get(self, key: str) -> KeyValue | None:
        """Reads one key."""
        self.check_reachable()
        await self.expire_leases()
        found = self.values.get(key)
        if found is None:
            return None
        return KeyValue(key, found.value, found.revision)

    async def list(self, prefix: str) -> Listing:
        """Reads all keys below a prefix."""
        self.check_reachable()
        await self.expire_leases()
        items = tuple(
            KeyValue(key, found.value, found.revision)
            for key, found in sorted(self.values.items())
            if key.startswith(prefix)
        )
        return Listing(items, self.revision)

    async def write(
        self, changes: Sequence[Change], guards: Sequence[Guard] = ()
    ) -> int:
        """Applies all changes in one transaction if every condition holds."""
        self.check_reachable()
        await self.expire_leases()
        for guard in guards:
            self.check_revision(guard.key, guard.expected_revision)
        for change in changes:
            self.check_change(change)
        self.revision += 1
        for change in changes:
            self.apply(change.key, change.value, change.lease_id)
        await self.notify()
        return self.revision

    def check_change(self, change: Change) -> None:
        """Raises `ConflictError` if a change cannot be applied.

        This is so if its condition does not hold, its value is too large or its
        lease has expired.
        """
        if change.expected_revision != ANY_REVISION:
            self.check_revision(change.key, change.expected_revision)
        if change.value is not None and len(change.value) > MAX_VALUE_BYTES:
            raise ConflictError(
                f"value of {change.key} exceeds {MAX_VALUE_BYTES} bytes"
            )
        if change.lease_id and change.lease_id not in self.leases:
            raise ConflictError(f"lease {change.lease_id} has expired")

    def check_revision(self, key: str, expected: int) -> None:
        """Raises `ConflictError` if a key is not at the expected revision."""
        found = self.values.get(key)
        revision = 0 if found is None else found.revision
        if revision != expected:
            raise ConflictError(f"{key} is at revision {revision}, not {expected}")

    def apply(self, key: str, value: bytes | None, lease_id: int) -> None:
        """Writes or deletes one key at the current revision.

        Compacts the older half of the history when it exceeds
        `MAX_HISTORY_EVENTS`.
        """
        if value is None:
            self.values.pop(key, None)
        else:
            self.values[key] = StoredValue(value, self.revision, lease_id)
        self.history.append(WatchEvent(key, value, self.revision))
        if len(self.history) > MAX_HISTORY_EVENTS:
            self.compact(self.history[len(self.history) // 2].revision)

    def compact(self, revision: int) -> None:
        """Drops the history up to a revision; older watches have to list again."""
        self.compacted_revision = revision
        self.history = [e for e in self.history if e.revision > revision]

    async def notify(self) -> None:
        """Wakes the watches that wait for changes."""
        async with self.changed:
            self.changed.notify_all()

    async def grant_lease(self, ttl_s: float) -> Lease:
        """Grants a lease."""
        self.check_reachable()
        lease = Lease(next(self.lease_ids), ttl_s, self.clock.now() + ttl_s)
        self.leases[lease.lease_id] = lease
        return lease

    async def renew_lease(self, lease: Lease) -> Lease:
        """Renews a lease and returns it with its new expiry time."""
        self.check_reachable()
        await self.expire_leases()
        if lease.lease_id not in self.leases:
            raise LeaseLostError(f"lease {lease.lease_id} has expired")
        renewed = lease._replace(expires_s=self.clock.now() + lease.ttl_s)
        self.leases[lease.lease_id] = renewed
        return renewed

    async def revoke_lease(self, lease: Lease) -> None:
        """Revokes a lease, which deletes the keys bound to it."""
        self.check_reachable()
        if self.leases.pop(lease.lease_id, None) is not None:
            await self.delete_keys_of(lease.lease_id)

    async def expire_leases(self) -> None:
        """Ends the leases that have expired and deletes the keys bound to them."""
        now = self.clock.now()
        expired = [i for i, lease in self.leases.items() if lease.expires_s <= now]
        for lease_id in expired:
            del self.leases[lease_id]
            await self.delete_keys_of(lease_id)

    async def delete_keys_of(self, lease_id: int) -> None:
        """Deletes the keys bound to a lease, in one revision."""
        keys = [k for k, v in self.values.items() if v.lease_id == lease_id]
        if not keys:
            return
        self.revision += 1
        for key in keys:
            self.apply(key, None, 0)
        await self.notify()

    async def watch(
        self, prefix: str, after_revision: int
    ) -> AsyncIterator[tuple[WatchEvent, ...]]:
        """Yields batches of changes below a prefix, in order of revision."""
        seen = after_revision
        while True:
            changes = self.changes_now(prefix, seen)
            seen = changes.revision
            if changes.events:
                yield changes.events
                continue
            async with self.changed:
                if self.revision == seen and not self.down:
                    await self.changed.wait()

    async def changes(self, prefix: str, after_revision: int) -> Changes:
        """Reads the changes below a prefix without waiting for any."""
        self.check_reachable()
        await self.expire_leases()
        return self.changes_now(prefix, after_revision)

    def changes_now(self, prefix: str, after_revision: int) -> Changes:
        """Returns the changes below a prefix; raises as `changes` does."""
        self.check_reachable()
        if after_revision < self.compacted_revision:
            raise WatchCompactedError(
                f"history after revision {after_revision} has been compacted"
            )
        events = tuple(
            event
            for event in self.events_after(after_revision)
            if event.key.startswith(prefix)
        )
        return Changes(events, self.revision)

    def events_after(self, revision: int) -> Iterator[WatchEvent]:
        """Yields the changes after a revision, oldest first."""
        start = len(self.history)
        while start > 0 and self.history[start - 1].revision > revision:
            start -= 1
        yield from self.history[start:]

    def check_reachable(self) -> None:
        """Raises `StoreUnavailableError` during an outage."""
        if self.down:
            raise StoreUnavailableError("the key-value service is out")

    @contextmanager
    def outage(self) -> Iterator[None]:
        """Makes every call fail within the block, for tests."""
        self.down = True
        try:
            yield
        finally:
            self.down = False

    async def close(self) -> None:
        """Does nothing; the keys are kept."""
