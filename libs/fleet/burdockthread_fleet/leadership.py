"""One planner at a time, by a lease of the platform."""

from typing import NamedTuple

from burdockthread_model.clock import Clock
from burdockthread_model.errors import (
    ConflictError,
    LeaseLostError,
    StoreError,
)
from burdockthread_model.records import encode_record
from burdockthread_store.store import Change, ConfigurationStore, Guard, Lease

LEASE_KEY = "lease/planner"
LEASE_TTL_S = 10.0
SAFETY_MARGIN_S = 2.0


class Holder(NamedTuple):
    """Value of the lease's key."""

    name: str


class Leadership:
    """Holds or seeks the planner's lease.

    Every write of the planner carries `guard`, so that the store refuses it
    once another holder has taken over.
    """

    def __init__(self, name: str, store: ConfigurationStore, clock: Clock) -> None:
        self.name = name
        self.store = store
        self.clock = clock
        self.lease: Lease | None = None
        self.revision = 0

    def held(self) -> bool:
        """Returns whether this process may act now, by its own clock."""
        if self.lease is None:
            return False
        return self.clock.now() < self.lease.expires_s - SAFETY_MARGIN_S

    def guard(self) -> Guard:
        """Returns the condition that fences a write.

        Raises:
            LeaseLostError: The lease is not held.
        """
        if not self.held():
            raise LeaseLostError("the planner's lease is not held")
        return Guard(LEASE_KEY, self.revision)

    async def keep(self) -> bool:
        """Renews the lease, or tries to take it.

        Returns:
            Whether it is held.
        """
        try:
            if self.lease is None:
                await self.campaign()
            else:
                self.lease = await self.store.renew_lease(self.lease)
        except (LeaseLostError, ConflictError):
            self.lease = None
        except StoreError:
            return self.held()
        return self.held()

    async def campaign(self) -> None:
        """Tries to become the holder.

        Raises:
            ConflictError: Another process holds the lease.
        """
        if await self.store.get(LEASE_KEY) is not None:
            raise ConflictError("another planner holds the lease")
        lease = await self.store.grant_lease(LEASE_TTL_S)
        value = encode_record(Holder(self.name))
        change = Change(LEASE_KEY, value, 0, lease.lease_id)
        self.revision = await self.store.write([change])
        self.lease = lease

    async def resign(self) -> None:
        """Gives the lease up."""
        lease, self.lease = self.lease, None
        if lease is None:
            return
        try:
            await self.store.revoke_lease(lease)
        except StoreError:
            return
