"""Acquires, runs and releases duties; each is held under the entry's store lease."""

import asyncio
from collections.abc import Callable, Mapping
from contextlib import suppress
from functools import partial

from burdockthread_model.clock import Clock
from burdockthread_model.errors import (
    ConflictError,
    PeerUnavailableError,
    StoreError,
)
from burdockthread_model.events import EventLog
from burdockthread_model.metrics import Metrics
from burdockthread_store.prefix_cache import PrefixCache
from burdockthread_store.store import Change, ConfigurationStore, Guard

from burdockthread_scheduling.duty import (
    Duty,
    DutyFactory,
    DutyOffer,
    HeldDuty,
    OfferSender,
    Tenure,
)
from burdockthread_scheduling.duty_directory import DutyDirectory
from burdockthread_scheduling.entry_registration import (
    RENEW_INTERVAL_S,
    EntryRegistration,
)
from burdockthread_scheduling.records import (
    DutyRecord,
    duty_key,
    encode,
)
from burdockthread_scheduling.store_contact import StoreContact, unhindered

CHECK_INTERVAL_S = 0.1
# How long after lease expiry a holder that cannot renew goes on with work in
# progress; covers the longest store outage after which leases are still in place.
LEASE_GRACE_S = 8.0
# An entry that has had no answer from the store for this long offers its duties
# to others. Without faults, a renewal and a watch update each arrive within a second.
OFFER_AFTER_S = 0.8
OFFER_INTERVAL_S = 0.4
# Least time left on the lease of an entry that accepts an offer, so that only an
# entry that reaches the store accepts.
OFFER_MIN_LEASE_S = 1.2


class Duties:
    """Acquires, runs and releases this entry's duties.

    Attributes:
        held: Duties that this entry runs, by name.
        directory: Live entries and the holders of duties.
        registration: Keeps the lease and the record of this entry.
        contact: Tells for how long the store has been silent.
        campaigning: Duties whose record this entry is writing; the watch may
            deliver the write before the store answers it.
        highest_fences: Highest fencing token under which this process has run
            each duty.
        relinquished: Fencing token under which a duty was passed to another entry;
            this entry's local copy of the store may still name it as the holder.
        holding: Set while this entry holds a duty.
        idle: Set while this entry holds no duty.
        lease_task: Renews the lease while `run` or a hand-over is in progress.
    """

    def __init__(
        self,
        entry: str,
        address: str,
        availability_zone: str,
        weight: float,
        store: ConfigurationStore,
        cache: PrefixCache,
        clock: Clock,
        metrics: Metrics,
        log: EventLog,
        wanted: Callable[[], Mapping[str, DutyFactory]],
        send_offer: OfferSender,
        hindered_s: Callable[[], float] = unhindered,
    ) -> None:
        self.entry = entry
        self.store = store
        self.cache = cache
        self.clock = clock
        self.metrics = metrics
        self.log = log
        self.wanted = wanted
        self.send_offer = send_offer
        self.directory = DutyDirectory(entry, cache, log)
        self.registration = EntryRegistration(
            entry,
            address,
            availability_zone,
            weight,
            store,
            cache,
            self.directory,
            clock,
            metrics,
            log,
        )
        self.lease = self.registration.lease
        self.held: dict[str, HeldDuty] = {}
        self.campaigning: set[str] = set()
        self.highest_fences: dict[str, int] = {}
        self.relinquished: dict[str, int] = {}
        self.contact = StoreContact(clock, self.last_contact_s, hindered_s)
        self.offered_s = float("-inf")
        self.offers: set[asyncio.Task[None]] = set()
        self.vacant_since_s: dict[str, float] = {}
        self.holding = asyncio.Event()
        self.idle = asyncio.Event()
        self.stopping = False
        self.lease_task: asyncio.Task[None] | None = None

    async def run(self) -> None:
        """Renews the lease and maintains the duties until cancelled."""
        self.lease_task = asyncio.create_task(self.registration.run())
        try:
            while True:
                self.directory.changed.clear()
                await self.check()
                with suppress(TimeoutError):
                    async with self.clock.timeout(CHECK_INTERVAL_S):
                        await self.directory.changed.wait()
        finally:
            self.lease_task.cancel()
            for task in self.offers:
                task.cancel()
            for name in tuple(self.held):
                self.drop(name, "stopped")

    async def check(self) -> None:
        """Drops duties that are lost and campaigns for vacant ones."""
        wanted = self.wanted()
        self.update_events()
        for name in tuple(self.held):
            reason = self.reason_to_drop(name, wanted)
            if reason:
                self.drop(name, reason)
        if self.stopping or not self.cache.synced:
            return
        now = self.clock.now()
        await self.confirm_paused()
        self.offer_if_cut_off(now)
        for name, factory in wanted.items():
            if name in self.held or name in self.campaigning:
                continue
            owner = self.directory.owners.get(name)
            if owner is not None:
                self.vacant_since_s.pop(name, None)
                await self.reclaim(name, factory, *owner)
                continue
            since_s = self.vacant_since_s.setdefault(name, now)
            if now - since_s >= self.directory.campaign_delay_s(name):
                await self.campaign(name, factory, 0)

    def update_events(self) -> None:
        """Sets `holding` or `idle`, depending on whether a duty is held."""
        (self.holding if self.held else self.idle).set()
        (self.idle if self.held else self.holding).clear()

    async def reclaim(
        self, name: str, factory: DutyFactory, owner: DutyRecord, revision: int
    ) -> None:
        """Starts a duty whose record names this entry, but that is not running here.

        A record of another term belongs to an earlier process of this entry or to
        an earlier lease; neither is active any more. If this process has already
        run the duty under the recorded token, the record is written again: requests
        from that run may still arrive, and a higher fencing token rejects them.
        """
        if owner.entry != self.entry or self.lease.remaining_s() <= 0 or self.stopping:
            return
        if revision <= self.relinquished.get(name, -1):
            return
        if owner.term == self.lease.term and revision > self.highest_fences.get(
            name, -1
        ):
            self.start_duty(name, factory, revision, owner.term, replaces_record=True)
        else:
            await self.campaign(name, factory, revision)

    def reason_to_drop(self, name: str, wanted: Mapping[str, DutyFactory]) -> str:
        """Returns why a held duty has to be dropped, or an empty string."""
        held = self.held[name]
        if name not in wanted:
            return "not wanted"
        if held.work.done():
            return "ended"
        owner = self.directory.owners.get(name)
        if self.cache.revision >= held.tenure.fence and (
            owner is None or owner[1] != held.tenure.fence
        ):
            return "taken over"
        if self.lease.remaining_s() < -LEASE_GRACE_S:
            return "lease in doubt"
        return ""

    def drop(self, name: str, reason: str) -> None:
        """Cancels the work of a held duty and logs why."""
        held = self.held.pop(name)
        if held.work.done() and not held.work.cancelled():
            error = held.work.exception()
            if error is not None:
                self.log.error("duty_failed", duty=name, reason=repr(error))
        held.work.cancel()
        self.metrics.count("duties.dropped")
        self.log.info("duty_dropped", duty=name, fence=held.tenure.fence, reason=reason)

    # Offers of a holder that cannot reach the store

    def last_contact_s(self) -> float:
        """Returns the clock time of the store's last answer about duties."""
        return max(self.registration.renewed_s, self.cache.contact_s)

    def offer_if_cut_off(self, now: float) -> None:
        """Offers the held duties if this entry has lost contact with the store.

        Other entries may still reach the store and keep the duties running.
        """
        silent_s = self.contact.age_s()
        if silent_s < OFFER_AFTER_S or now - self.offered_s < OFFER_INTERVAL_S:
            return
        self.offered_s = now
        for name, held in self.held.items():
            if not held.offering:
                held.offering = True
                task = asyncio.create_task(self.offer(name, held))
                self.offers.add(task)
                task.add_done_callback(self.offers.discard)

    async def offer(self, name: str, held: HeldDuty) -> None:
        """Offers a duty to one entry after another, until one accepts it.

        If no entry accepted, the duty resumes, unless an offer was not answered:
        then an entry may have accepted, and the duty stays paused.
        """
        held.paused = True
        state = await held.duty.pause()
        offer = DutyOffer(name, held.tenure.fence, state)
        for entry, address in self.directory.successors(name):
            try:
                taken = await self.send_offer(address, offer)
            except PeerUnavailableError as error:
                self.log.info("offer_unanswered", duty=name, entry=entry, reason=error)
                held.unanswered = True
                continue
            self.log.info("duty_offered", duty=name, entry=entry, taken=taken)
            if taken:
                self.relinquish(name, held, f"taken by {entry}")
                return
        held.offering = False
        if not held.unanswered:
            held.paused = False
            held.duty.resume()

    async def accept_offer(self, offer: DutyOffer) -> bool:
        """Acquires a duty that its holder offers.

        Returns:
            Whether an entry other than the offering one now holds the duty.
        """
        factory = self.wanted().get(offer.duty)
        if factory is None or self.stopping:
            return False
        if self.lease.remaining_s() < OFFER_MIN_LEASE_S:
            return False
        if offer.duty not in self.held and offer.duty not in self.campaigning:
            owner = self.directory.owners.get(offer.duty)
            revision = 0 if owner is None else offer.fence
            await self.campaign(offer.duty, factory, revision, offer.state)
        owner = self.directory.owners.get(offer.duty)
        return owner is not None and owner[1] > offer.fence

    async def confirm_paused(self) -> None:
        """Resumes paused duties once the store confirms that they are still held."""
        if self.clock.now() - self.registration.renewed_s > RENEW_INTERVAL_S:
            return
        for name, held in tuple(self.held.items()):
            if not held.paused or held.offering:
                continue
            try:
                found = await self.store.get(duty_key(name))
            except StoreError as error:
                self.log.info("duty_not_confirmed", duty=name, reason=error)
                return
            if found is None or found.revision != held.tenure.fence:
                self.relinquish(name, held, "taken over while it was offered")
                continue
            held.paused = held.unanswered = False
            held.duty.resume()

    def relinquish(self, name: str, held: HeldDuty, reason: str) -> None:
        """Drops a duty that another entry has acquired."""
        self.relinquished[name] = held.tenure.fence
        if self.held.get(name) is held:
            self.drop(name, reason)

    # Acquisition

    async def campaign(
        self, name: str, factory: DutyFactory, revision: int, inherited: bytes = b""
    ) -> None:
        """Tries to acquire a duty.

        Args:
            name: Name of the duty.
            factory: Creates the duty's work.
            revision: Expected revision of the duty's record; 0 if there is none.
            inherited: State that the last holder passed on.
        """
        lease = self.lease.lease
        if lease is None or self.lease.remaining_s() <= 0 or self.stopping:
            return
        self.campaigning.add(name)
        try:
            await self.write_owner(name, factory, revision, inherited, lease.lease_id)
        finally:
            self.campaigning.discard(name)

    async def write_owner(
        self,
        name: str,
        factory: DutyFactory,
        revision: int,
        inherited: bytes,
        lease_id: int,
    ) -> None:
        """Records this entry as the holder of a duty and starts the duty.

        The revision of the write is the fencing token.
        """
        key = duty_key(name)
        record = DutyRecord(self.entry, self.lease.term)
        change = Change(key, encode(record), revision, lease_id)
        try:
            fence = await self.store.write([change])
        except (ConflictError, StoreError) as error:
            self.log.info("duty_not_taken", duty=name, reason=error)
            self.vacant_since_s.pop(name, None)
            return
        self.directory.owners[name] = (record, fence)
        if self.stopping:
            # The hand-over has begun without this duty; its record is removed
            # when the lease ends.
            self.log.info("duty_not_taken", duty=name, reason="the entry is stopping")
            return
        self.start_duty(
            name, factory, fence, record.term, inherited, replaces_record=revision > 0
        )

    def start_duty(
        self,
        name: str,
        factory: DutyFactory,
        fence: int,
        term: str,
        inherited: bytes = b"",
        *,
        replaces_record: bool,
    ) -> None:
        """Starts the work of a duty that the store records for this entry."""
        guard = Guard(duty_key(name), fence)
        lease_left_s = partial(self.lease.remaining_in_term_s, term)
        tenure = Tenure(
            name, fence, guard, term, inherited, lease_left_s, replaces_record
        )
        self.highest_fences[name] = fence
        self.held[name] = HeldDuty(tenure, factory(tenure))
        self.update_events()
        self.metrics.count("duties.taken")
        self.log.info("duty_taken", duty=name, fence=fence)

    def release(self, name: str, fence: int) -> None:
        """Drops a duty that another entry holds under a later fencing token."""
        held = self.held.get(name)
        if held is not None and held.tenure.fence < fence:
            self.relinquish(name, held, "released")

    def held_duty(self, name: str) -> Duty | None:
        """Returns the duty if this entry holds it, else None."""
        held = self.held.get(name)
        return None if held is None else held.duty

    async def hand_over(self) -> None:
        """Hands over all duties for a planned stop, then ends the lease.

        The lease is renewed until the hand-over is complete.
        """
        self.stopping = True
        try:
            await self.hand_over_held()
        finally:
            if self.lease_task is not None:
                self.lease_task.cancel()
        await self.lease.end()

    async def hand_over_held(self) -> None:
        """Lets all duties finish their orders in progress, then stops the duties."""
        held = tuple(self.held.items())
        results = await asyncio.gather(
            *(entry.duty.hand_over() for _, entry in held), return_exceptions=True
        )
        for (name, entry), error in zip(held, results, strict=True):
            entry.work.cancel()
            self.held.pop(name, None)
            if error is not None:
                self.log.error("hand_over_failed", duty=name, reason=repr(error))
            self.log.info("duty_handed_over", duty=name, fence=entry.tenure.fence)
