"""Keeps every call to the store within the call budget."""

from collections.abc import AsyncIterator, Sequence

from burdockthread_store.budget import CallBudget
from burdockthread_store.store import (
    Change,
    ConfigurationStore,
    Guard,
    KeyValue,
    Lease,
    Listing,
    WatchEvent,
)
from burdockthread_store.watches import closing_watch


class BudgetedStore(ConfigurationStore):
    """Takes each call from the budget before it passes it on."""

    def __init__(self, store: ConfigurationStore, budget: CallBudget) -> None:
        self.store = store
        self.budget = budget

    async def get(self, key: str) -> KeyValue | None:
        """Reads one key."""
        await self.budget.reads.take(f"get of {key}")
        return await self.store.get(key)

    async def list(self, prefix: str) -> Listing:
        """Reads all keys below a prefix."""
        await self.budget.reads.take(f"list of {prefix}")
        return await self.store.list(prefix)

    async def write(
        self, changes: Sequence[Change], guards: Sequence[Guard] = ()
    ) -> int:
        """Applies conditional writes, all or none."""
        await self.budget.writes.take("write")
        return await self.store.write(changes, guards)

    async def grant_lease(self, ttl_s: float) -> Lease:
        """Takes a new lease."""
        await self.budget.writes.take("lease grant", urgent=True)
        return await self.store.grant_lease(ttl_s)

    async def renew_lease(self, lease: Lease) -> Lease:
        """Prolongs a lease."""
        await self.budget.writes.take("lease renewal", urgent=True)
        return await self.store.renew_lease(lease)

    async def revoke_lease(self, lease: Lease) -> None:
        """Ends a lease and deletes its keys."""
        await self.budget.writes.take("lease revocation", urgent=True)
        await self.store.revoke_lease(lease)

    async def watch(
        self, prefix: str, after_revision: int
    ) -> AsyncIterator[tuple[WatchEvent, ...]]:
        """Follows the changes below a prefix."""
        await self.budget.reads.take(f"watch of {prefix}")
        async with closing_watch(self.store.watch(prefix, after_revision)) as batches:
            async for events in batches:
                yield events

    async def close(self) -> None:
        """Releases connections."""
        await self.store.close()
