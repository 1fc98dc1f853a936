"""A local copy of all keys below a prefix, kept by one watch."""

import random
from collections.abc import Callable

from burdockthread_model.clock import Clock
from burdockthread_model.errors import StoreError, WatchCompactedError

from burdockthread_store.store import ConfigurationStore, KeyValue, WatchEvent

RETRY_FIRST_S = 0.1
RETRY_MAX_S = 3.0

Listener = Callable[[str, KeyValue | None], None]


class PrefixCache:
    """Lists a prefix once, then follows it; keeps its values through outages.

    Attributes:
        values: Newest known value of each key.
        revision: Store-wide revision up to which `values` is complete.
        synced: Whether the prefix has been listed at least once.
        contact_s: Clock time of the last word from the store.
    """

    def __init__(self, store: ConfigurationStore, prefix: str, clock: Clock) -> None:
        self.store = store
        self.prefix = prefix
        self.clock = clock
        self.values: dict[str, KeyValue] = {}
        self.revision = 0
        self.synced = False
        self.contact_s = float("-inf")
        self.listeners: list[Listener] = []

    async def run(self) -> None:
        """Follows the prefix until cancelled."""
        retry_s = RETRY_FIRST_S
        while True:
            try:
                await self.refresh()
                retry_s = RETRY_FIRST_S
                await self.follow()
            except WatchCompactedError:
                continue
            except StoreError:
                await self.clock.sleep(random.uniform(retry_s / 2, retry_s))
                retry_s = min(retry_s * 2, RETRY_MAX_S)

    async def refresh(self) -> None:
        """Lists the whole prefix."""
        listing = await self.store.list(self.prefix)
        self.contact_s = self.clock.now()
        if listing.revision < self.revision:
            return
        present = {item.key for item in listing.items}
        for key in set(self.values) - present:
            self.remove(key, listing.revision)
        for item in listing.items:
            self.put(item)
        self.revision = listing.revision
        self.synced = True

    async def follow(self) -> None:
        """Applies the events of one watch until it breaks."""
        async for events in self.store.watch(self.prefix, self.revision):
            self.contact_s = self.clock.now()
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
        """Takes a value in unless a newer one is known."""
        known = self.values.get(item.key)
        if known is not None and known.revision >= item.revision:
            return
        self.values[item.key] = item
        for listener in self.listeners:
            listener(item.key, item)

    def remove(self, key: str, revision: int) -> None:
        """Drops a key unless a newer value is known."""
        known = self.values.get(key)
        if known is None or known.revision > revision:
            return
        del self.values[key]
        for listener in self.listeners:
            listener(key, None)
