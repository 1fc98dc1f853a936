"""Keeps an entry's lease, and the record that other entries find it by."""

import asyncio
from contextlib import suppress

from burdockthread_model.clock import Clock
from burdockthread_model.events import EventLog
from burdockthread_model.metrics import Metrics
from burdockthread_store.prefix_cache import PrefixCache
from burdockthread_store.store import Change, ConfigurationStore

from burdockthread_scheduling.duty_directory import DutyDirectory
from burdockthread_scheduling.entry_lease import EntryLease
from burdockthread_scheduling.records import EntryRecord, encode, entry_key

RENEW_INTERVAL_S = 0.5
RETRY_INTERVAL_S = 0.15


class EntryRegistration:
    """Renews an entry's lease, and writes its record whenever the store lacks it.

    Attributes:
        lease: Lease of the entry.
        renewed_s: Clock time at which the store last confirmed the lease.
        store_lost: Whether renewals have failed since `renewed_s`.
        written: Record of the last confirmed write, or None before the first.
        written_revision: Store revision of that write.
        granted: Set when a new lease has been granted.
    """

    def __init__(
        self,
        entry: str,
        address: str,
        availability_zone: str,
        weight: float,
        store: ConfigurationStore,
        cache: PrefixCache,
        directory: DutyDirectory,
        clock: Clock,
        metrics: Metrics,
        log: EventLog,
    ) -> None:
        self.entry = entry
        self.address = address
        self.availability_zone = availability_zone
        self.weight = weight
        self.store = store
        self.cache = cache
        self.directory = directory
        self.clock = clock
        self.metrics = metrics
        self.log = log
        self.lease = EntryLease(store, clock, log)
        self.renewed_s = clock.now()
        self.store_lost = False
        self.written: EntryRecord | None = None
        self.written_revision = 0
        self.granted = asyncio.Event()

    async def run(self) -> None:
        """Keeps the lease and the record until cancelled.

        A write of the record whose answer is lost does not delay the renewals.
        """
        async with asyncio.TaskGroup() as tasks:
            tasks.create_task(self.keep_lease())
            tasks.create_task(self.keep_record())

    async def keep_lease(self) -> None:
        """Renews the lease every `RENEW_INTERVAL_S` until cancelled.

        The interval counts from when a renewal is sent, as the term of the lease does;
        a slow store would leave little of it otherwise.
        """
        while True:
            sent_s = self.clock.now()
            try:
                if not await self.lease.keep():
                    self.granted.set()
                self.on_renewed()
                await self.clock.sleep(sent_s + RENEW_INTERVAL_S - self.clock.now())
            except Exception as error:
                # Nobody awaits this coroutine; the lease would end without notice.
                self.metrics.count("duties.renewals_failed")
                self.on_not_renewed(error)
                await self.clock.sleep(RETRY_INTERVAL_S)

    def on_renewed(self) -> None:
        """Records that the store has confirmed the lease."""
        now = self.clock.now()
        if self.store_lost:
            self.store_lost = False
            silent_s = round(now - self.renewed_s, 3)
            self.log.info("store_regained", silent_s=silent_s)
        self.renewed_s = now

    def on_not_renewed(self, error: Exception) -> None:
        """Records a failed renewal; logs only the first of an outage."""
        if self.store_lost:
            return
        self.store_lost = True
        remaining_s = round(self.lease.remaining_s(), 3)
        self.log.warning("store_lost", lease_left_s=remaining_s, reason=error)

    async def keep_record(self) -> None:
        """Writes the record whenever the store lacks it, until cancelled."""
        while True:
            self.granted.clear()
            try:
                if self.lease.remaining_s() > 0 and not self.is_registered():
                    await self.register()
            except Exception as error:
                self.metrics.count("duties.registrations_failed")
                self.log.info("entry_not_registered", reason=repr(error))
                await self.clock.sleep(RETRY_INTERVAL_S)
                continue
            with suppress(TimeoutError):
                async with self.clock.timeout(RENEW_INTERVAL_S):
                    await self.granted.wait()

    def record(self) -> EntryRecord:
        """Returns the record that the store should have under the present lease."""
        return EntryRecord(
            self.availability_zone, self.weight, self.lease.term, self.address
        )

    def is_registered(self) -> bool:
        """Returns whether the store has this entry's record, as far as is known.

        The followed copy of the store decides, unless it is older than the last write.
        """
        record = self.record()
        if self.cache.revision < self.written_revision:
            return self.written == record
        return self.directory.entries.get(self.entry) == record

    async def register(self) -> None:
        """Writes this entry's record; replaces the record of an earlier process.

        Raises:
            ConflictError: The record changed in between.
            StoreError: The store did not answer.
        """
        lease = self.lease.lease
        if lease is None:
            return
        record = self.record()
        key = entry_key(self.entry)
        found = await self.store.get(key)
        revision = 0 if found is None else found.revision
        change = Change(key, encode(record), revision, lease.lease_id)
        self.written_revision = await self.store.write([change])
        self.written = record
        self.log.info(
            "entry_registered", term=record.term, revision=self.written_revision
        )
