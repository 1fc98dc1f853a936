"""Registration of entries under a lease; the newest process of a name holds it."""

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
    """This entry's registration and a local copy of all others.

    Attributes:
        me: This entry as registered.
        cache: Local copy of all registrations.
        lease: Lease of the registration, or None while not registered.
        revision: Revision of this process's registration, or 0.
        decode_cache: Each stored registration with its decoded value.
        superseded: Whether a newer process has registered under this name.
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
        self.decode_cache: dict[str, tuple[KeyValue, ViewMember | None]] = {}
        self.superseded = False

    def registered(self) -> dict[str, ViewMember]:
        """Returns the well-formed registrations by name."""
        self.decode_cache = {
            k: v for k, v in self.decode_cache.items() if k in self.cache.values
        }
        found = {}
        for item in self.cache.values.values():
            member = self.decoded(item)
            if member is not None:
                found[member.name] = member
        return found

    def decoded(self, item: KeyValue) -> ViewMember | None:
        """Returns the decoded registration, or None; cached for each stored value."""
        known = self.decode_cache.get(item.key)
        if known is None or known[0] != item:
            known = (item, decode_registration(item))
            self.decode_cache[item.key] = known
        return known[1]

    def on_item(self, key: str, item: KeyValue | None) -> None:
        """Ends this process's registration if a newer process has its name."""
        member = None if item is None else decode_registration(item)
        if item is None or member is None or member.name != self.me.name:
            return
        if member != self.me and 0 < self.revision < item.revision:
            self.supersede(member.incarnation)

    def supersede(self, incarnation: str) -> None:
        """Marks this process as superseded, for good.

        Args:
            incarnation: Incarnation of the newer process, or the source of the
                information.
        """
        if not self.superseded:
            self.superseded = True
            self.log.error("entry_superseded", by=incarnation)

    async def register_or_renew(self) -> None:
        """Renews the lease of the registration, or registers this entry anew."""
        try:
            await self.renew()
            if self.lease is None:
                await self.register()
        except (LeaseLostError, ConflictError):
            self.lease = None

    async def renew(self) -> None:
        """Renews the lease; discards it if it has expired."""
        if self.lease is None:
            return
        try:
            self.lease = await self.store.renew_lease(self.lease)
        except LeaseLostError:
            self.lease = None

    async def register(self) -> None:
        """Writes this entry's registration, over that of its predecessor.

        A process that was registered before and finds another process's
        registration is superseded instead.

        Raises:
            ConflictError: Another process registered at the same time.
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
            StoreError: Not revoked; the registration ends when its lease expires.
        """
        lease, self.lease = self.lease, None
        if lease is not None:
            await self.store.revoke_lease(lease)


def decode_registration(item: KeyValue) -> ViewMember | None:
    """Decodes a registration; returns None if it is malformed."""
    try:
        return decode_record(item.value, ViewMember)
    except (RecordError, PeerProtocolError, msgspec.MsgspecError):
        return None
