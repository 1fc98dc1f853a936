"""A local copy of all keys below a prefix, kept up to date by a watch."""

import asyncio
import itertools
import random
from collections import OrderedDict
from collections.abc import Callable

from absl import logging
from burdockthread_model.clock import Clock
from burdockthread_model.errors import StoreError, WatchCompactedError
from burdockthread_model.events import format_event

from burdockthread_store.store import (
    ConfigurationStore,
    KeyValue,
    Listing,
    WatchEvent,
)
from burdockthread_store.watches import closing_watch

RETRY_FIRST_S = 0.1
RETRY_MAX_S = 3.0
WATCH_IDLE_TIMEOUTS_S = (4.0, 8.0, 12.0)
OVERLAP_REVISIONS = 100
RELIST_MIN_S = 10.0
RELIST_MAX_S = 300.0
ROLLBACK_CONFIRM_S = 10.0
MAX_TOMBSTONES = 1_024
EMPTY_RANGE_SUFFIX = "\0"

Listener = Callable[[str, KeyValue | None], None]


class PrefixCache:
    """Lists a prefix once, then watches it; keeps its values during outages.

    A broken watch is resumed from the last known revision. A watch without
    events is reopened after an idle timeout, because a dead stream cannot be
    distinguished from a quiet one. The timeouts vary, so that a watch that only lags
    still delivers its events.

    A new watch starts up to `OVERLAP_REVISIONS` before the last known revision,
    so that events that were delivered out of order are not lost. It does not
    start before the revision of the last listing, nor before `covered_revision`, up
    to which an earlier watch has already delivered all events a second time.

    While the revision of the store grows and the watch delivers nothing, the
    prefix is listed again from time to time. The interval drops to
    `RELIST_MIN_S` after a listing that found changes and doubles up to
    `RELIST_MAX_S` otherwise.

    Attributes:
        values: Newest known value of each key.
        tombstones: Revisions of recent deletions by key, oldest first.
        revision: Store-wide revision up to which `values` is complete.
        listed_revision: Revision of the last listing.
        covered_revision: Revision up to which a watch has delivered the events a
            second time.
        listed: Whether the next watch can start without a listing.
        synced: Whether the prefix has been listed at least once.
        contact_s: Clock time of the last answer or event from the store.
        retry_max_s: Longest backoff in seconds between two attempts.
        listing_count: Number of listings of the prefix.
        reading: Held while the copy is compared with the store, so that a large
            listing is not read twice at a time.
        rollbacks: Number of times that the store was found to be restored to an
            earlier revision.
        listener_failures: Number of errors that listeners raised.
        listeners: Called with the key and the new item, or None for a deletion.
        relist_due_s: Clock time from which a listing may verify the watch.
        behind_since_s: Clock time since which the store has answered with lower
            revisions than `revision`, or None.
    """

    def __init__(
        self,
        store: ConfigurationStore,
        prefix: str,
        clock: Clock,
        retry_max_s: float = RETRY_MAX_S,
    ) -> None:
        self.retry_max_s = retry_max_s
        self.store = store
        self.prefix = prefix
        self.clock = clock
        self.values: dict[str, KeyValue] = {}
        self.tombstones: OrderedDict[str, int] = OrderedDict()
        self.revision = 0
        self.listed_revision = 0
        self.covered_revision = 0
        self.listed = False
        self.synced = False
        self.contact_s = float("-inf")
        self.listing_count = 0
        self.reading = asyncio.Lock()
        self.rollbacks = 0
        self.listener_failures = 0
        self.listeners: list[Listener] = []
        self.idle_timeouts = itertools.cycle(WATCH_IDLE_TIMEOUTS_S)
        self.retry_s = RETRY_FIRST_S
        self.relist_s = RELIST_MAX_S
        self.relist_due_s = float("inf")
        self.behind_since_s: float | None = None

    async def run(self) -> None:
        """Keeps the copy up to date until cancelled; retries with backoff."""
        while True:
            try:
                await self.catch_up()
                await self.follow()
            except WatchCompactedError:
                self.listed = False
                await self.back_off()
            except StoreError:
                await self.back_off()
            except Exception as error:
                # Nobody awaits this coroutine; the copy would age without notice.
                fields: dict[str, object] = {
                    "prefix": self.prefix,
                    "reason": repr(error),
                }
                logging.error("%s", format_event("cache_update_failed", fields))
                await self.back_off()

    async def back_off(self) -> None:
        """Waits with exponential backoff and jitter before the next attempt."""
        await self.clock.sleep(random.uniform(self.retry_s / 2, self.retry_s))
        self.retry_s = min(self.retry_s * 2, self.retry_max_s)

    async def catch_up(self) -> None:
        """Lists the prefix if a watch alone cannot bring the copy up to date.

        The revision of the store is read by listing a range without keys.
        """
        async with self.reading:
            if not self.listed:
                await self.list_all()
                return
            probe = await self.store.list(self.prefix + EMPTY_RANGE_SUFFIX)
            self.contact_s = self.clock.now()
            if self.was_rolled_back(probe.revision):
                self.listed = False
                await self.list_all()
            elif probe.revision > self.revision and self.contact_s >= self.relist_due_s:
                await self.relist()

    async def refresh(self) -> None:
        """Lists the whole prefix and applies the listing."""
        async with self.reading:
            await self.list_all()

    async def confirm(self) -> None:
        """Brings the copy up to date, by the changes since if the store has them.

        Raises:
            StoreError: The store did not answer.
        """
        async with self.reading:
            sent_s = self.clock.now()
            if not self.listed:
                await self.list_all()
                return
            try:
                changes = await self.store.changes(self.prefix, self.revision)
            except WatchCompactedError:
                await self.list_all()
                return
            self.apply_batch(changes.events)
            self.revision = max(self.revision, changes.revision)
            self.contact_s = max(self.contact_s, sent_s)

    async def list_all(self) -> None:
        """Lists the whole prefix and applies the listing.

        A listing older than the copy is ignored unless a rollback is confirmed.
        """
        listing = await self.store.list(self.prefix)
        self.listing_count += 1
        self.contact_s = self.clock.now()
        if self.was_rolled_back(listing.revision):
            self.reset_revisions()
        if listing.revision < self.revision:
            return
        self.apply_listing(listing)
        self.relist_due_s = self.contact_s + self.relist_s

    async def relist(self) -> None:
        """Lists the prefix to verify the watch, and adapts the listing interval."""
        before = self.values.copy()
        await self.list_all()
        if self.values == before:
            self.relist_s = min(self.relist_s * 2, RELIST_MAX_S)
        else:
            self.relist_s = RELIST_MIN_S
        self.relist_due_s = self.contact_s + self.relist_s

    def was_rolled_back(self, revision: int) -> bool:
        """Returns whether the store has been behind this copy for `ROLLBACK_CONFIRM_S`.

        A replica that lags catches up. A store that was restored from a backup
        does not: its revisions continue from a lower number.

        Args:
            revision: Store-wide revision of the latest answer.
        """
        if revision >= self.revision:
            self.behind_since_s = None
            return False
        if self.behind_since_s is None:
            self.behind_since_s = self.clock.now()
        return self.clock.now() - self.behind_since_s >= ROLLBACK_CONFIRM_S

    def reset_revisions(self) -> None:
        """Resets all known revisions, so that the next listing replaces the copy."""
        self.rollbacks += 1
        self.behind_since_s = None
        self.revision = 0
        self.covered_revision = 0
        self.tombstones.clear()
        for key, item in self.values.items():
            self.values[key] = item._replace(revision=0)

    def apply_listing(self, listing: Listing) -> None:
        """Applies a listing: removes the keys it lacks and puts those it has."""
        present = {item.key for item in listing.items}
        for key in self.values.keys() - present:
            self.remove(key, listing.revision)
        for item in listing.items:
            self.put(item)
        self.revision = listing.revision
        self.listed_revision = listing.revision
        self.listed = True
        self.synced = True

    async def follow(self) -> None:
        """Applies the events of one watch until it breaks or is idle for too long."""
        known_revision = self.revision
        delivered_revision = 0
        start = self.watch_start()
        async with closing_watch(self.store.watch(self.prefix, start)) as batches:
            while True:
                try:
                    async with self.clock.timeout(next(self.idle_timeouts)):
                        events = await anext(batches)
                except TimeoutError:
                    break
                self.apply_batch(events)
                newest = max((event.revision for event in events), default=0)
                delivered_revision = max(delivered_revision, newest)
        self.retry_s = RETRY_FIRST_S
        if delivered_revision >= known_revision:
            self.covered_revision = known_revision

    def watch_start(self) -> int:
        """Returns the revision after which the next watch starts."""
        overlapping = self.revision - OVERLAP_REVISIONS
        return max(self.listed_revision, self.covered_revision, overlapping)

    def apply_batch(self, events: tuple[WatchEvent, ...]) -> None:
        """Applies one batch of events of a watch."""
        self.contact_s = self.clock.now()
        self.retry_s = RETRY_FIRST_S
        for event in events:
            self.apply(event)

    def apply(self, event: WatchEvent) -> None:
        """Applies one event to the copy."""
        if event.value is None:
            self.remove(event.key, event.revision)
        else:
            self.put(KeyValue(event.key, event.value, event.revision))
        self.revision = max(self.revision, event.revision)

    def put(self, item: KeyValue) -> None:
        """Stores a value unless a newer value or a later deletion is known."""
        known = self.values.get(item.key)
        if known is not None and known.revision >= item.revision:
            return
        if self.tombstones.get(item.key, -1) >= item.revision:
            return
        self.tombstones.pop(item.key, None)
        self.values[item.key] = item
        self.notify_listeners(item.key, item)

    def remove(self, key: str, revision: int) -> None:
        """Removes a key unless a newer value is known."""
        known = self.values.get(key)
        if known is not None and known.revision > revision:
            return
        self.add_tombstone(key, revision)
        if known is None:
            return
        del self.values[key]
        self.notify_listeners(key, None)

    def notify_listeners(self, key: str, item: KeyValue | None) -> None:
        """Calls the listeners with a change; logs and counts the errors they raise."""
        for listener in self.listeners:
            try:
                listener(key, item)
            except Exception as error:
                self.listener_failures += 1
                fields: dict[str, object] = {"store_key": key, "reason": repr(error)}
                logging.error("%s", format_event("cache_listener_failed", fields))

    def add_tombstone(self, key: str, revision: int) -> None:
        """Records a deletion, so that a delayed older value is not put back.

        Only the newest `MAX_TOMBSTONES` deletions are kept.
        """
        self.tombstones[key] = max(revision, self.tombstones.get(key, 0))
        self.tombstones.move_to_end(key)
        if len(self.tombstones) > MAX_TOMBSTONES:
            self.tombstones.popitem(last=False)
