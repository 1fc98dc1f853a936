"""Election of the planner by a lease in the store."""

import secrets
from collections.abc import Sequence
from typing import NamedTuple

from burdockthread_model.clock import Clock
from burdockthread_model.errors import (
    ConflictError,
    LeaseLostError,
    StoreError,
)
from burdockthread_model.records import RecordError, decode_record, encode_record
from burdockthread_store.store import (
    Change,
    ConfigurationStore,
    Guard,
    KeyValue,
    Lease,
)

LEASE_KEY = "lease/planner"
LEASE_TTL_S = 10.0
SAFETY_MARGIN_S = 2.0
RENEW_INTERVAL_S = 3.0
CAMPAIGN_INTERVAL_S = 2.0
TERM_BYTES = 8


class Holder(NamedTuple):
    """Value of the lease's key.

    Attributes:
        name: Process that holds the lease.
        term: Random text, unique for each lease granted to a process.
    """

    name: str
    term: str = ""


class Leadership:
    """Acquires and renews the planner's lease.

    Every write of the planner carries `guard` as its fencing token, so that the
    store refuses the write once another process holds the lease.

    Attributes:
        lease: Lease held, or None.
        revision: Revision of the lease's record that fences every write.
        pending: Lease of a campaign whose outcome is still unknown, or None.
        term: Term of `pending` or `lease`.
    """

    def __init__(self, name: str, store: ConfigurationStore, clock: Clock) -> None:
        self.name = name
        self.store = store
        self.clock = clock
        self.lease: Lease | None = None
        self.revision = 0
        self.pending: Lease | None = None
        self.term = ""
        self.next_campaign_s = float("-inf")

    def held(self) -> bool:
        """Returns whether this process holds the lease, judged by its own clock.

        The lease counts as expired `SAFETY_MARGIN_S` early.
        """
        if self.lease is None:
            return False
        return self.clock.now() < self.lease.expires_s - SAFETY_MARGIN_S

    def check(self) -> None:
        """Raises an error unless the lease is held.

        Raises:
            LeaseLostError: The lease is not held.
        """
        if not self.held():
            raise LeaseLostError("the planner's lease is not held")

    def guard(self) -> Guard:
        """Returns the condition that fences a write.

        Raises:
            LeaseLostError: The lease is not held.
        """
        self.check()
        return Guard(LEASE_KEY, self.revision)

    async def write(self, changes: Sequence[Change]) -> int:
        """Writes as the holder; see `ConfigurationStore.write`.

        Raises:
            LeaseLostError: The lease is not held; nothing was written.
            ConflictError: Another holder or writer came first.
            StoreError: The store did not answer.
        """
        return await self.store.write(changes, [self.guard()])

    async def keep(self) -> bool:
        """Renews the lease, or tries to take it, when that is due.

        Returns:
            Whether it is held.
        """
        try:
            if self.lease is None:
                await self.campaign_when_due()
            elif self.renewal_due(self.lease):
                self.lease = await self.store.renew_lease(self.lease)
        except (LeaseLostError, ConflictError):
            self.drop()
        except StoreError:
            return self.held()
        return self.held()

    def renewal_due(self, lease: Lease) -> bool:
        """Returns whether the lease is due to be renewed (`RENEW_INTERVAL_S`)."""
        renewed_s = lease.expires_s - lease.ttl_s
        return self.clock.now() - renewed_s >= RENEW_INTERVAL_S

    def drop(self) -> None:
        """Stops using the lease, without revoking it in the store."""
        self.lease = None

    async def campaign_when_due(self) -> None:
        """Campaigns, at most once per `CAMPAIGN_INTERVAL_S`."""
        now = self.clock.now()
        if now < self.next_campaign_s:
            return
        self.next_campaign_s = now + CAMPAIGN_INTERVAL_S
        await self.campaign()

    async def campaign(self) -> None:
        """Tries to become the holder.

        If the answer of a write was lost, its lease stays pending, so that the
        next campaign recognises the record that the write may have created.

        Raises:
            ConflictError: Another process holds the lease.
            StoreError: The store did not answer.
        """
        found = await self.store.get(LEASE_KEY)
        if found is not None:
            self.adopt(found)
            return
        lease = await self.pending_lease()
        value = encode_record(Holder(self.name, self.term))
        change = Change(LEASE_KEY, value, 0, lease.lease_id)
        self.revision = await self.store.write([change])
        self.lease, self.pending = lease, None

    def adopt(self, found: KeyValue) -> None:
        """Uses the record that an earlier campaign of this process created.

        Raises:
            ConflictError: Another process holds the lease.
        """
        if self.pending is None or holder_term(found) != self.term:
            raise ConflictError("another planner holds the lease")
        self.revision = found.revision
        self.lease, self.pending = self.pending, None

    async def pending_lease(self) -> Lease:
        """Returns the pending lease, or a new one if there is none or it expired."""
        if self.pending is None or self.clock.now() >= self.pending.expires_s:
            self.pending = await self.store.grant_lease(LEASE_TTL_S)
            self.term = secrets.token_hex(TERM_BYTES)
        return self.pending

    async def verify(self) -> None:
        """Drops the lease if its record was deleted or replaced.

        Raises:
            StoreError: The store did not answer.
        """
        found = await self.store.get(LEASE_KEY)
        if found is None or found.revision != self.revision:
            self.drop()

    async def resign(self) -> None:
        """Revokes the lease, if there is one; errors of the store are ignored."""
        lease = self.lease or self.pending
        self.lease = self.pending = None
        if lease is None:
            return
        try:
            await self.store.revoke_lease(lease)
        except StoreError:
            return


def holder_term(found: KeyValue) -> str:
    """Returns the term in a lease's record, or an empty text if malformed."""
    try:
        return decode_record(found.value, Holder).term
    except RecordError:
        return ""
