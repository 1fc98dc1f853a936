"""A store client that limits the rate of its calls."""

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
    """Waits for a token of the call budget before each call to `store`.

    Every call raises `StoreBudgetError` if the budget is exhausted; the call was
    not sent then.

    Attributes:
        store: Client that sends the calls.
        budget: Rate limits for reads and writes.
    """

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
        """Applies all changes in one transaction if every condition holds."""
        await self.budget.writes.take("write")
        return await self.store.write(changes, guards)

    async def grant_lease(self, ttl_s: float) -> Lease:
        """Grants a lease."""
        await self.budget.writes.take("lease grant", urgent=True)
        return await self.store.grant_lease(ttl_s)

    async def renew_lease(self, lease: Lease) -> Lease:
        """Renews a lease and returns it with its new expiry time."""
        await self.budget.writes.take("lease renewal", urgent=True)
        return await self.store.renew_lease(lease)

    async def revoke_lease(self, lease: Lease) -> None:
        """Revokes a lease, which deletes the keys bound to it."""
        await self.budget.writes.take("lease revocation", urgent=True)
        await self.store.revoke_lease(lease)

    async def watch(
        self, prefix: str, after_revision: int
    ) -> AsyncIterator[tuple[WatchEvent, ...]]:
        """Yields batches of changes below a prefix, in order of revision."""
        await self.budget.reads.take(f"watch of {prefix}")
        async with closing_watch(self.store.watch(prefix, after_revision)) as batches:
            async for events in batches:
                yield events

    async def close(self) -> None:
        """Closes the wrapped client."""
        await self.store.close()
