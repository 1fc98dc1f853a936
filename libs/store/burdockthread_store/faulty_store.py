"""A memory store with injected faults, for tests and the platform stand-in."""

import asyncio
from collections.abc import AsyncGenerator, Iterator, Sequence
from contextlib import aclosing, contextmanager, suppress

from burdockthread_model.clock import Clock
from burdockthread_model.errors import (
    ConflictError,
    StoreError,
    StoreUnavailableError,
    StoreUnknownError,
)

from burdockthread_store.faults import FaultSettings, StoreFaults
from burdockthread_store.memory_store import MemoryStore
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

Events = tuple[WatchEvent, ...]


class FaultyStore(ConfigurationStore):
    """Passes calls on to a memory store and injects the faults that are set.

    A lost request or answer of a write raises `StoreUnknownError`, as a client
    without `SettledStore` would see it.

    Attributes:
        store: Memory store that holds the keys.
        faults: Faults in effect and call counters.
        late_writes: Tasks of the writes that take effect after a delay.
    """

    def __init__(self, store: MemoryStore, clock: Clock) -> None:
        self.store = store
        self.clock = clock
        self.faults = StoreFaults(clock)
        self.late_writes: set[asyncio.Task[None]] = set()

    def set_faults(self, settings: FaultSettings) -> None:
        """Applies fault settings; compacts the watch history if asked."""
        self.faults.set(settings)
        if settings.get("compact", False):
            self.store.compact(self.store.revision)

    async def admit_call(self, kind: str) -> None:
        """Counts a call and delays it; raises an error during an outage."""
        self.faults.counters.count(kind, self.clock.now())
        if self.faults.slow_s > 0:
            await self.clock.sleep(self.faults.slow_s)
        self.faults.check_reachable()

    async def get(self, key: str) -> KeyValue | None:
        """Reads one key."""
        await self.admit_call("get")
        return await self.store.get(key)

    async def list(self, prefix: str) -> Listing:
        """Reads all keys below a prefix."""
        await self.admit_call("list")
        return await self.store.list(prefix)

    async def write(
        self, changes: Sequence[Change], guards: Sequence[Guard] = ()
    ) -> int:
        """Applies all changes in one transaction if every condition holds."""
        await self.admit_call("write")
        self.faults.raise_if_request_dropped()
        late_s = self.faults.pop_late_write_delay()
        if late_s > 0:
            self.start_late_write(late_s, changes, guards)
            raise StoreUnknownError(
                "injected fault: the answer to a late write was lost"
            )
        revision = await self.store.write(changes, guards)
        self.faults.raise_if_answer_lost()
        return revision

    def start_late_write(
        self, delay_s: float, changes: Sequence[Change], guards: Sequence[Guard]
    ) -> None:
        """Starts a task that applies a write after a delay."""
        task = asyncio.create_task(self.write_late(delay_s, changes, guards))
        self.late_writes.add(task)
        task.add_done_callback(self.late_writes.discard)

    async def write_late(
        self, delay_s: float, changes: Sequence[Change], guards: Sequence[Guard]
    ) -> None:
        """Applies a write after a delay; does nothing if a condition fails then."""
        await self.clock.sleep(delay_s)
        with suppress(ConflictError, StoreError):
            await self.store.write(changes, guards)

    async def grant_lease(self, ttl_s: float) -> Lease:
        """Grants a lease."""
        sent_s = self.clock.now()
        await self.admit_call("grant")
        lease = await self.store.grant_lease(ttl_s)
        return lease._replace(expires_s=sent_s + ttl_s)

    async def renew_lease(self, lease: Lease) -> Lease:
        """Renews a lease and returns it with its new expiry time."""
        sent_s = self.clock.now()
        await self.admit_call("renew")
        renewed = await self.store.renew_lease(lease)
        return renewed._replace(expires_s=sent_s + renewed.ttl_s)

    async def revoke_lease(self, lease: Lease) -> None:
        """Revokes a lease, which deletes the keys bound to it."""
        await self.admit_call("revoke")
        await self.store.revoke_lease(lease)

    async def changes(self, prefix: str, after_revision: int) -> Changes:
        """Reads the changes below a prefix without waiting for any."""
        await self.admit_call("changes")
        return await self.store.changes(prefix, after_revision)

    async def watch(
        self, prefix: str, after_revision: int
    ) -> AsyncGenerator[Events, None]:
        """Yields batches of changes below a prefix, in order of revision."""
        await self.admit_call("watch")
        self.faults.last_watch_number += 1
        number = self.faults.last_watch_number
        with self.counted_watch():
            async with aclosing(
                self.watch_until_closed(prefix, after_revision)
            ) as batches:
                async for events in batches:
                    if number <= self.faults.silenced_up_to:
                        continue
                    await self.clock.sleep(self.faults.lag_s)
                    for batch in self.apply_delivery_faults(events):
                        yield batch

    @contextmanager
    def counted_watch(self) -> Iterator[None]:
        """Counts a watch as open within the block."""
        self.faults.counters.open_watches += 1
        try:
            yield
        finally:
            self.faults.counters.open_watches -= 1

    async def watch_until_closed(
        self, prefix: str, after_revision: int
    ) -> AsyncGenerator[Events, None]:
        """Yields the batches of a watch until a fault closes all watches.

        Raises:
            StoreUnavailableError: The watch was closed.
        """
        closed = asyncio.create_task(self.faults.watch_closed.wait())
        batches = aiter(self.store.watch(prefix, after_revision))
        next_batch: asyncio.Future[Events] | None = None
        try:
            while True:
                next_batch = asyncio.ensure_future(anext(batches))
                await asyncio.wait(
                    (next_batch, closed), return_when=asyncio.FIRST_COMPLETED
                )
                if closed.done():
                    raise StoreUnavailableError(f"watch of {prefix} was closed")
                yield next_batch.result()
        finally:
            closed.cancel()
            if next_batch is not None:
                next_batch.cancel()

    def apply_delivery_faults(self, events: Events) -> tuple[Events, ...]:
        """Returns a batch as reordered and duplicated by the faults that are set."""
        batches: tuple[Events, ...] = (events,)
        if self.faults.reorder:
            batches = tuple((event,) for event in reversed(events))
        if self.faults.duplicate:
            batches = batches * 2
        return batches

    async def close(self) -> None:
        """Cancels the late writes that have not taken effect yet."""
        for task in list(self.late_writes):
            task.cancel()
