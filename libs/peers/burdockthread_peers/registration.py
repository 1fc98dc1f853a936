"""Registration of entries under a lease; the last process of a name keeps it."""

import msgspec
from burdockthread_model.clock import Clock
from burdockthread_model.errors import (
    ConflictError,
    LeaseLostError,
    PeerProtocolError,
)
from burdockthread_model.events import EventLog
from burdockthread_model.records import RecordError, decode_record, encode_record
from burdockthread_store.prefix_cache import PrefixCache
from burdockthread_store.store import Change, ConfigurationStore, KeyValue, Lease

from burdockthread_peers.view import ViewMember

ENTRY_PREFIX = "entry/"
REGISTRATION_TTL_S = 6.0


class Registration:
    """This entry's registration and a copy of all others.

    Attributes:
        me: This entry as registered.
        cache: Copy of all registrations.
        lease: Lease of the registration, or None while there is none.
        revision: Revision of this process's registration, or 0.
        read: Each registration with what it says.
        superseded: Whether another process has taken this entry's name.
    """

    def __init__(
        self, me: ViewMember, store: ConfigurationStore, clock: Clock, log: EventLog
    ) -> None:
        self.me = me
        self.store = store
        self.log = log
        self.cache = PrefixCache(store, ENTRY_PREFIX, clock)
        self.cache.listeners.append(self.on_item)
        self.lease: Lease | None = None
        self.revision = 0
        self.read: dict[str, tuple[KeyValue, ViewMember | None]] = {}
        self.superseded = False

    def registered(self) -> dict[str, ViewMember]:
        """Returns the registrations by name."""
        self.read = {k: v for k, v in self.read.items() if k in self.cache.values}
        found = {}
        for item in self.cache.values.values():
            member = self.decoded(item)
            if member is not None:
                found[member.name] = member
        return found

    def decoded(self, item: KeyValue) -> ViewMember | None:
        """Returns a registration, read once for each value."""
        known = self.read.get(item.key)
        if known is None or known[0] != item:
            known = (item, decode_registration(item))
            self.read[item.key] = known
        return known[1]

    def on_item(self, key: str, item: KeyValue | None) -> None:
        """Stops if a newer process has registered under this name."""
        member = None if item is None else decode_registration(item)
        if item is None or member is None or member.name != self.me.name:
            return
        if member != self.me and 0 < self.revision < item.revision:
            self.supersede(member.incarnation)

    def supersede(self, incarnation: str) -> None:
        """Stops for good: another process has taken this entry's name."""
        if not self.superseded:
            self.superseded = True
            self.log.error("entry_superseded", by=incarnation)

    async def keep(self) -> None:
        """Registers this entry, or renews the lease of its registration."""
        try:
            await self.renew()
            if self.lease is None:
                await self.register()
        except (LeaseLostError, ConflictError):
            self.lease = None

    async def renew(self) -> None:
        """Renews the lease; one that has ended is given up."""
        if self.lease is None:
            return
        try:
            self.lease = await self.store.renew_lease(self.lease)
        except LeaseLostError:
            self.lease = None

    async def register(self) -> None:
        """Writes this entry's registration over that of its predecessor.

        Raises:
            ConflictError: Another process registered at the same moment.
        """
        key = ENTRY_PREFIX + self.me.name
        found = await self.store.get(key)
        if found is not None and self.revision:
            other = decode_registration(found)
            if other is not None and other.identity != self.me.identity:
                self.supersede(other.incarnation)
                return
        lease = await self.store.grant_lease(REGISTRATION_TTL_S)
        revision = 0 if found is None else found.revision
        change = Change(key, encode_record(self.me), revision, lease.lease_id)
        self.revision = await self.store.write([change])
        self.lease = lease

    async def withdraw(self) -> None:
        """Ends the registration.

        Raises:
            StoreError: It ends with its lease.
        """
        lease, self.lease = self.lease, None
        if lease is not None:
            await self.store.revoke_lease(lease)


def decode_registration(item: KeyValue) -> ViewMember | None:
    """Reads a registration; a malformed one counts as none."""
    try:
        return decode_record(item.value, ViewMember)
    except (RecordError, PeerProtocolError, msgspec.MsgspecError):
        return None
