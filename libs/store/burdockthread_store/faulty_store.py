"""A memory store behind fault switches, for tests and the stand-in."""

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
    ConfigurationStore,
    Guard,
    KeyValue,
    Lease,
    Listing,
    WatchEvent,
)

Events = tuple[WatchEvent, ...]


class FaultyStore(ConfigurationStore):
    """Passes calls on to a memory store unless a switch says otherwise.

    A lost answer or request of a write shows as `StoreUnknownError`, as it
    does to a client that does not settle it.

    Attributes:
        store: The keys.
        faults: Switches and counters.
    """

    def __init__(self, store: MemoryStore, clock: Clock) -> None:
        self.store = store
        self.clock = clock
        self.faults = StoreFaults(clock)
        self.late_writes: set[asyncio.Task[None]] = set()

    def set_faults(self, settings: FaultSettings) -> None:
        """Sets the switches that are given."""
        self.faults.set(settings)
        if settings.get("compact", False):
            self.store.compact(self.store.revision)

    async def arrive(self, kind: str) -> None:
        """Counts a call, then delays or refuses it."""
        self.faults.counters.count(kind, self.clock.now())
        if self.faults.slow_s > 0:
            await self.clock.sleep(self.faults.slow_s)
        self.faults.check_reachable()

    async def get(self, key: str) -> KeyValue | None:
        """Reads one key."""
        await self.arrive("get")
        return await self.store.get(key)

    async def list(self, prefix: str) -> Listing:
        """Reads all keys below a prefix."""
        await self.arrive("list")
        return await self.store.list(prefix)

    async def write(
        self, changes: Sequence[Change], guards: Sequence[Guard] = ()
    ) -> int:
        """Applies conditional writes, all or none."""
        await self.arrive("write")
        self.faults.take_drop()
        late_s = self.faults.take_late()
        if late_s > 0:
            self.start_late_write(late_s, changes, guards)
            raise StoreUnknownError("the answer was lost")
        revision = await self.store.write(changes, guards)
        self.faults.take_loss()
        return revision

    def start_late_write(
        self, delay_s: float, changes: Sequence[Change], guards: Sequence[Guard]
    ) -> None:
        """Lets a write take effect later."""
        task = asyncio.create_task(self.write_late(delay_s, changes, guards))
        self.late_writes.add(task)
        task.add_done_callback(self.late_writes.discard)

    async def write_late(
        self, delay_s: float, changes: Sequence[Change], guards: Sequence[Guard]
    ) -> None:
        """Applies a write after a delay, if its conditions still hold."""
        await self.clock.sleep(delay_s)
        with suppress(ConflictError, StoreError):
            await self.store.write(changes, guards)

    async def grant_lease(self, ttl_s: float) -> Lease:
        """Takes a new lease."""
        sent_s = self.clock.now()
        await self.arrive("grant")
        lease = await self.store.grant_lease(ttl_s)
        return lease._replace(expires_s=sent_s + ttl_s)

    async def renew_lease(self, lease: Lease) -> Lease:
        """Prolongs a lease."""
        sent_s = self.clock.now()
        await self.arrive("renew")
        renewed = await self.store.renew_lease(lease)
        return renewed._replace(expires_s=sent_s + renewed.ttl_s)

    async def revoke_lease(self, lease: Lease) -> None:
        """Ends a lease and deletes its keys."""
        await self.arrive("revoke")
        await self.store.revoke_lease(lease)

    async def watch(
        self, prefix: str, after_revision: int
    ) -> AsyncGenerator[Events, None]:
        """Follows the changes below a prefix."""
        await self.arrive("watch")
        self.faults.opened += 1
        number = self.faults.opened
        with self.counted_watch():
            async with aclosing(self.until_closed(prefix, after_revision)) as batches:
                async for events in batches:
                    if number <= self.faults.silenced:
                        continue
                    await self.clock.sleep(self.faults.lag_s)
                    for batch in self.disturb(events):
                        yield batch

    @contextmanager
    def counted_watch(self) -> Iterator[None]:
        """Counts a watch as open within the block."""
        self.faults.counters.open_watches += 1
        try:
            yield
        finally:
            self.faults.counters.open_watches -= 1

    async def until_closed(
        self, prefix: str, after_revision: int
    ) -> AsyncGenerator[Events, None]:
        """Yields the batches of a watch until the switch closes it."""
        closed = asyncio.create_task(self.faults.watch_closed.wait())
        batches = aiter(self.store.watch(prefix, after_revision))
        following: asyncio.Future[Events] | None = None
        try:
            while True:
                following = asyncio.ensure_future(anext(batches))
                await asyncio.wait(
                    (following, closed), return_when=asyncio.FIRST_COMPLETED
                )
                if closed.done():
                    raise StoreUnavailableError(f"watch of {prefix} was closed")
                yield following.result()
        finally:
            closed.cancel()
            if following is not None:
                following.cancel()

    def disturb(self, events: Events) -> tuple[Events, ...]:
        """Returns the batches as the switches deliver a batch."""
        batches: tuple[Events, ...] = (events,)
        if self.faults.reorder:
            batches = tuple((event,) for event in reversed(events))
        if self.faults.duplicate:
            batches = batches * 2
        return batches

    async def close(self) -> None:
        """Ends the writes that are still late."""
        for task in list(self.late_writes):
            task.cancel()
