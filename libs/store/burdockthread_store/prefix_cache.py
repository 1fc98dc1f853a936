"""A local copy of all keys below a prefix, kept by one watch."""

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
ROLLBACK_S = 10.0
MAX_TOMBSTONES = 1_024
NO_KEYS_SUFFIX = "\0"

Listener = Callable[[str, KeyValue | None], None]


class PrefixCache:
    """Lists a prefix once, then follows it; keeps its values through outages.

    A watch that broke is resumed where it stood. One that is silent is opened
    again after some seconds, because a dead stream looks like a quiet one; the
    seconds vary, so that a watch that lags still delivers. A watch goes back
    by some revisions, so that an event that overtook another loses nothing, but
    not behind what a watch has already delivered again before it fell silent.
    While the store moves and the watch brings nothing, the prefix is listed
    now and then, more often once that brought something new.

    Attributes:
        values: Newest known value of each key.
        tombstones: Revisions of keys deleted lately, oldest first.
        revision: Store-wide revision up to which `values` is complete.
        listed_revision: Revision of the last listing.
        covered_revision: Revision up to which a watch delivered everything again.
        listed: Whether the next watch may start without a listing.
        synced: Whether the prefix has been listed at least once.
        contact_s: Clock time of the last word from the store.
        retry_max_s: Longest pause between two tries to reach the store.
        lists: Listings taken.
        rollbacks: Times that the store went back for good.
        listener_failures: Times that a listener raised an error.
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
        self.rollbacks = 0
        self.listener_failures = 0
        self.listeners: list[Listener] = []
        self.silences = itertools.cycle(WATCH_IDLE_TIMEOUTS_S)
        self.retry_s = RETRY_FIRST_S
        self.relist_s = RELIST_MAX_S
        self.relist_due_s = float("inf")
        self.behind_since_s: float | None = None

    async def run(self) -> None:
        """Follows the prefix until cancelled."""
        while True:
            try:
                await self.catch_up()
                await self.follow()
            except WatchCompactedError:
                self.listed = False
                await self.back_off()
            except StoreError:
                await self.back_off()

    async def back_off(self) -> None:
        """Waits before the next try, longer each time."""
        await self.clock.sleep(random.uniform(self.retry_s / 2, self.retry_s))
        self.retry_s = min(self.retry_s * 2, self.retry_max_s)

    async def catch_up(self) -> None:
        """Lists the prefix if a watch alone cannot bring the copy up to date."""
        if not self.listed:
            await self.refresh()
            return
        probe = await self.store.list(self.prefix + NO_KEYS_SUFFIX)
        self.contact_s = self.clock.now()
        if self.went_back(probe.revision):
            self.listed = False
            await self.refresh()
        elif probe.revision > self.revision and self.contact_s >= self.relist_due_s:
            await self.relist()

    async def refresh(self) -> None:
        """Lists the whole prefix."""
        listing = await self.store.list(self.prefix)
        self.listing_count += 1
        self.contact_s = self.clock.now()
        if self.went_back(listing.revision):
            self.forget()
        if listing.revision < self.revision:
            return
        self.take_listing(listing)
        self.relist_due_s = self.contact_s + self.relist_s

    async def relist(self) -> None:
        """Lists the prefix in doubt of the watch, and notes whether it helped."""
        before = self.values.copy()
        await self.refresh()
        if self.values == before:
            self.relist_s = min(self.relist_s * 2, RELIST_MAX_S)
        else:
            self.relist_s = RELIST_MIN_S
        self.relist_due_s = self.contact_s + self.relist_s

    def went_back(self, revision: int) -> bool:
        """Returns whether the store has been behind this copy for long.

        A store that lags catches up; one that was restored from a copy does
        not, and its revisions then start from a lower number.
        """
        if revision >= self.revision:
            self.behind_since_s = None
            return False
        if self.behind_since_s is None:
            self.behind_since_s = self.clock.now()
        return self.clock.now() - self.behind_since_s >= ROLLBACK_S

    def forget(self) -> None:
        """Makes the next listing count, whatever its revisions."""
        self.rollbacks += 1
        self.behind_since_s = None
        self.revision = 0
        self.covered_revision = 0
        self.tombstones.clear()
        for key, item in self.values.items():
            self.values[key] = item._replace(revision=0)

    def take_listing(self, listing: Listing) -> None:
        """Applies a listing."""
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
        """Applies the events of one watch until it breaks or stays silent."""
        known_revision = self.revision
        delivered_revision = 0
        start = self.watch_start()
        async with closing_watch(self.store.watch(self.prefix, start)) as batches:
            while True:
                try:
                    async with self.clock.timeout(next(self.silences)):
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
        """Applies what a watch delivered at once."""
        self.contact_s = self.clock.now()
        self.retry_s = RETRY_FIRST_S
        for event in events:
            self.apply(event)

    def apply(self, event: WatchEvent) -> None:
        """Applies one event."""
        if event.value is None:
            self.remove(event.key, event.revision)
        else:
            self.put(KeyValue(event.key, event.value, event.revision))
        self.revision = max(self.revision, event.revision)

    def put(self, item: KeyValue) -> None:
        """Takes a value in unless a newer one or a later deletion is known."""
        known = self.values.get(item.key)
        if known is not None and known.revision >= item.revision:
            return
        if self.tombstones.get(item.key, -1) >= item.revision:
            return
        self.tombstones.pop(item.key, None)
        self.values[item.key] = item
        self.tell(item.key, item)

    def remove(self, key: str, revision: int) -> None:
        """Drops a key unless a newer value is known."""
        known = self.values.get(key)
        if known is not None and known.revision > revision:
            return
        self.bury(key, revision)
        if known is None:
            return
        del self.values[key]
        self.tell(key, None)

    def tell(self, key: str, item: KeyValue | None) -> None:
        """Tells the listeners of a change; one that fails is logged."""
        for listener in self.listeners:
            try:
                listener(key, item)
            except Exception as error:
                self.listener_failures += 1
                fields: dict[str, object] = {"store_key": key, "reason": repr(error)}
                logging.error("%s", format_event("cache_listener_failed", fields))

    def bury(self, key: str, revision: int) -> None:
        """Notes a deletion, so that an older value cannot come back."""
        self.tombstones[key] = max(revision, self.tombstones.get(key, 0))
        self.tombstones.move_to_end(key)
        if len(self.tombstones) > MAX_TOMBSTONES:
            self.tombstones.popitem(last=False)
