"""Divides the duties among the entries, each held under a lease of the store."""

import asyncio
from collections.abc import Callable, Mapping
from contextlib import suppress
from functools import partial

import xxhash
from burdockthread_model.clock import Clock
from burdockthread_model.errors import (
    ConflictError,
    PeerUnavailableError,
    StoreError,
)
from burdockthread_model.events import EventLog
from burdockthread_model.metrics import Metrics
from burdockthread_model.records import RecordError
from burdockthread_store.prefix_cache import PrefixCache
from burdockthread_store.store import Change, ConfigurationStore, Guard, KeyValue

from burdockthread_scheduling.duty import (
    Duty,
    DutyFactory,
    DutyOffer,
    HeldDuty,
    OfferSender,
    Tenure,
)
from burdockthread_scheduling.entry_lease import EntryLease
from burdockthread_scheduling.records import (
    DUTY_PREFIX,
    ENTRY_PREFIX,
    DutyRecord,
    EntryRecord,
    decode,
    duty_key,
    encode,
    entry_key,
)

RENEW_INTERVAL_S = 0.5
RETRY_INTERVAL_S = 0.15
CHECK_INTERVAL_S = 0.1
# How long a holder that cannot renew its lease goes on with what it has
# begun; covers the longest outage of the store that leaves leases in place.
LEASE_GRACE_S = 8.0
# Head start of an entry over the next in the order of preference.
CAMPAIGN_STEP_S = 0.12
MAX_CAMPAIGN_DELAY_S = 0.6
# Entries that start together know of one another by then.
FIRST_NOTICE_S = 0.4
# An entry without a word from the store for this long offers its duties to
# others; a renewal and a round of the watch each take up to a second when calm.
OFFER_AFTER_S = 0.8
OFFER_INTERVAL_S = 0.4
MAX_OFFERS = 3
# An entry that takes an offer has renewed its own lease this lately.
OFFER_MIN_LEASE_S = 1.2


class Duties:
    """Seeks, does and gives up duties.

    Attributes:
        held: Duties that this entry does, by name.
        owners: Known holders by duty, with the revision of the record.
        seen: Duties that had a holder since this entry started.
        renewed_s: Clock time at which the store last confirmed the lease.
        store_lost: Whether it has not confirmed it since.
        campaigning: Duties whose record this entry is about to write; the watch
            may tell of the write before its answer comes.
        worked: Highest token under which this process has done a duty.
        given_up: Token under which a duty was given to another entry; the record
            of this entry may still be in its copy of the store.
        entries: Live entries by name.
        holding: Set while this entry does a duty.
        idle: Set while it does none.
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
    ) -> None:
        self.entry = entry
        self.address = address
        self.availability_zone = availability_zone
        self.weight = weight
        self.store = store
        self.cache = cache
        self.clock = clock
        self.metrics = metrics
        self.log = log
        self.wanted = wanted
        self.send_offer = send_offer
        self.lease = EntryLease(store, clock, log)
        self.held: dict[str, HeldDuty] = {}
        self.owners: dict[str, tuple[DutyRecord, int]] = {}
        self.seen: set[str] = set()
        self.campaigning: set[str] = set()
        self.worked: dict[str, int] = {}
        self.given_up: dict[str, int] = {}
        self.renewed_s = clock.now()
        self.store_lost = False
        self.offered_s = float("-inf")
        self.offers: set[asyncio.Task[None]] = set()
        self.entries: dict[str, EntryRecord] = {}
        self.vacant_since_s: dict[str, float] = {}
        self.changed = asyncio.Event()
        self.holding = asyncio.Event()
        self.idle = asyncio.Event()
        self.stopping = False
        self.keeper: asyncio.Task[None] | None = None
        cache.listeners.append(self.on_change)

    def on_change(self, key: str, item: KeyValue | None) -> None:
        """Takes in one key that changed."""
        try:
            if key.startswith(DUTY_PREFIX):
                self.on_owner(key.removeprefix(DUTY_PREFIX), item)
            elif key.startswith(ENTRY_PREFIX):
                self.on_entry(key.removeprefix(ENTRY_PREFIX), item)
        except RecordError as error:
            self.log.error("record_unreadable", store_key=key, reason=error)

    def on_owner(self, duty: str, item: KeyValue | None) -> None:
        """Takes in the holder of a duty."""
        if item is None:
            self.owners.pop(duty, None)
        else:
            self.owners[duty] = (decode(item.value, DutyRecord), item.revision)
            self.seen.add(duty)
        self.changed.set()

    def on_entry(self, entry: str, item: KeyValue | None) -> None:
        """Takes in a live entry."""
        if item is None:
            self.entries.pop(entry, None)
        else:
            self.entries[entry] = decode(item.value, EntryRecord)

    async def run(self) -> None:
        """Keeps the lease and the duties until cancelled."""
        self.keeper = asyncio.create_task(self.keep_lease())
        try:
            while True:
                self.changed.clear()
                await self.check()
                with suppress(TimeoutError):
                    async with self.clock.timeout(CHECK_INTERVAL_S):
                        await self.changed.wait()
        finally:
            self.keeper.cancel()
            for task in self.offers:
                task.cancel()
            for name in tuple(self.held):
                self.drop(name, "stopped")

    async def keep_lease(self) -> None:
        """Renews the lease in time until cancelled."""
        while True:
            try:
                if not await self.lease.keep():
                    await self.register()
                self.note_renewed()
                await self.clock.sleep(RENEW_INTERVAL_S)
            except (StoreError, ConflictError) as error:
                self.metrics.count("duties.renewals_failed")
                self.note_not_renewed(error)
                await self.clock.sleep(RETRY_INTERVAL_S)

    def note_renewed(self) -> None:
        """Notes that the store has confirmed the lease."""
        now = self.clock.now()
        if self.store_lost:
            self.store_lost = False
            silent_s = round(now - self.renewed_s, 3)
            self.log.info("store_regained", silent_s=silent_s)
        self.renewed_s = now

    def note_not_renewed(self, error: Exception) -> None:
        """Notes that the store has not confirmed the lease; logs it once."""
        if self.store_lost:
            return
        self.store_lost = True
        remaining_s = round(self.lease.remaining_s(), 3)
        self.log.warning("store_lost", lease_left_s=remaining_s, reason=error)

    async def register(self) -> None:
        """Writes this entry's record, replacing one of an earlier process."""
        lease = self.lease.lease
        if lease is None:
            return
        record = EntryRecord(
            self.availability_zone, self.weight, self.lease.term, self.address
        )
        key = entry_key(self.entry)
        found = await self.store.get(key)
        revision = 0 if found is None else found.revision
        change = Change(key, encode(record), revision, lease.lease_id)
        await self.store.write([change])

    async def check(self) -> None:
        """Drops what is lost and seeks what is vacant."""
        wanted = self.wanted()
        self.note_holding()
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
            owner = self.owners.get(name)
            if owner is not None:
                self.vacant_since_s.pop(name, None)
                await self.regain(name, factory, *owner)
                continue
            since_s = self.vacant_since_s.setdefault(name, now)
            if now - since_s >= self.campaign_delay_s(name):
                await self.campaign(name, factory, 0)

    def note_holding(self) -> None:
        """Sets the events that tell whether this entry does a duty."""
        (self.holding if self.held else self.idle).set()
        (self.idle if self.held else self.holding).clear()

    async def regain(
        self, name: str, factory: DutyFactory, owner: DutyRecord, revision: int
    ) -> None:
        """Takes a duty that is recorded for this entry, but not done by it.

        A record of another term is of an earlier process of this entry, or of
        an earlier lease; neither acts any more. One under whose token this
        process has worked is written anew: what that work has sent may still
        take effect, and a higher token keeps it out.
        """
        if owner.entry != self.entry or self.lease.remaining_s() <= 0 or self.stopping:
            return
        if revision <= self.given_up.get(name, -1):
            return
        if owner.term == self.lease.term and revision > self.worked.get(name, -1):
            self.take(name, factory, revision, owner.term)
        else:
            await self.campaign(name, factory, revision)

    def reason_to_drop(self, name: str, wanted: Mapping[str, DutyFactory]) -> str:
        """Returns why a held duty is to be dropped, or an empty string."""
        held = self.held[name]
        if name not in wanted:
            return "not wanted"
        if held.work.done():
            return "ended"
        owner = self.owners.get(name)
        if self.cache.revision >= held.tenure.fence and (
            owner is None or owner[1] != held.tenure.fence
        ):
            return "taken over"
        if self.lease.remaining_s() < -LEASE_GRACE_S:
            return "lease in doubt"
        return ""

    def drop(self, name: str, reason: str) -> None:
        """Stops doing a duty."""
        held = self.held.pop(name)
        if held.work.done() and not held.work.cancelled():
            error = held.work.exception()
            if error is not None:
                self.log.error("duty_failed", duty=name, reason=repr(error))
        held.work.cancel()
        self.metrics.count("duties.dropped")
        self.log.info("duty_dropped", duty=name, fence=held.tenure.fence, reason=reason)

    # A holder without the store

    def offer_if_cut_off(self, now: float) -> None:
        """Offers the duties held here if only this entry may lack the store."""
        silent_s = now - max(self.renewed_s, self.cache.contact_s)
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
        """Offers a duty to some entries in turn, until one has taken it."""
        held.paused = True
        state = await held.duty.pause()
        offer = DutyOffer(name, held.tenure.fence, state)
        for entry, address in self.successors(name):
            try:
                taken = await self.send_offer(address, offer)
            except PeerUnavailableError as error:
                self.log.info("offer_unanswered", duty=name, entry=entry, reason=error)
                held.unanswered = True
                continue
            self.log.info("duty_offered", duty=name, entry=entry, taken=taken)
            if taken:
                self.give_up(name, held, f"taken by {entry}")
                return
        held.offering = False
        if not held.unanswered:
            held.paused = False
            held.duty.resume()

    def successors(self, name: str) -> list[tuple[str, str]]:
        """Returns the entries to which a duty is offered, with their addresses.

        The best comes first.
        """
        others = [entry for entry in self.entries if entry != self.entry]
        others.sort(key=lambda entry: self.preference(name, entry), reverse=True)
        return [(entry, self.entries[entry].address) for entry in others[:MAX_OFFERS]]

    async def accept_offer(self, offer: DutyOffer) -> bool:
        """Takes a duty over that its holder offers.

        Returns:
            Whether another entry than the one that offers it has the duty.
        """
        factory = self.wanted().get(offer.duty)
        if factory is None or self.stopping:
            return False
        if self.lease.remaining_s() < OFFER_MIN_LEASE_S:
            return False
        if offer.duty not in self.held and offer.duty not in self.campaigning:
            owner = self.owners.get(offer.duty)
            revision = 0 if owner is None else offer.fence
            await self.campaign(offer.duty, factory, revision, offer.state)
        owner = self.owners.get(offer.duty)
        return owner is not None and owner[1] > offer.fence

    async def confirm_paused(self) -> None:
        """Goes on with duties whose offers were not answered, if still held."""
        if self.clock.now() - self.renewed_s > RENEW_INTERVAL_S:
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
                self.give_up(name, held, "taken over while it was offered")
                continue
            held.paused = held.unanswered = False
            held.duty.resume()

    def give_up(self, name: str, held: HeldDuty, reason: str) -> None:
        """Stops doing a duty that another entry has."""
        self.given_up[name] = held.tenure.fence
        if self.held.get(name) is held:
            self.drop(name, reason)

    # Vacant duties

    def campaign_delay_s(self, name: str) -> float:
        """Returns how long this entry leaves a vacant duty to others."""
        ranked = sorted(
            self.entries, key=lambda entry: self.preference(name, entry), reverse=True
        )
        if self.entry not in ranked:
            return MAX_CAMPAIGN_DELAY_S
        delay_s = min(ranked.index(self.entry) * CAMPAIGN_STEP_S, MAX_CAMPAIGN_DELAY_S)
        return delay_s if name in self.seen else delay_s + FIRST_NOTICE_S

    def preference(self, name: str, entry: str) -> float:
        """Returns the rank of an entry for a duty; the highest goes first.

        Strong entries carry duties before weak ones, and each duty that an entry
        has leaves less for the next.
        """
        digest = xxhash.xxh64_intdigest(f"{name}\0{entry}".encode())
        share = (digest + 1) / 2**64
        load = sum(1 for record, _ in self.owners.values() if record.entry == entry)
        return self.entries[entry].weight * (1.0 + share) / (1.0 + load)

    async def campaign(
        self, name: str, factory: DutyFactory, revision: int, inherited: bytes = b""
    ) -> None:
        """Tries to take a duty whose record has a revision, 0 if there is none."""
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
        """Writes this entry as the holder of a duty, and takes it."""
        key = duty_key(name)
        record = DutyRecord(self.entry, self.lease.term)
        change = Change(key, encode(record), revision, lease_id)
        try:
            fence = await self.store.write([change])
        except (ConflictError, StoreError) as error:
            self.log.info("duty_not_taken", duty=name, reason=error)
            self.vacant_since_s.pop(name, None)
            return
        self.owners[name] = (record, fence)
        if self.stopping:
            # The hand-over has begun without it; the record goes with the lease.
            self.log.info("duty_not_taken", duty=name, reason="the entry stops")
            return
        self.take(name, factory, fence, record.term, inherited)

    def take(
        self,
        name: str,
        factory: DutyFactory,
        fence: int,
        term: str,
        inherited: bytes = b"",
    ) -> None:
        """Starts the work of a duty that this entry holds."""
        guard = Guard(duty_key(name), fence)
        lease_left_s = partial(self.lease.remaining_in_term_s, term)
        tenure = Tenure(name, fence, guard, term, inherited, lease_left_s)
        self.worked[name] = fence
        self.held[name] = HeldDuty(tenure, factory(tenure))
        self.note_holding()
        self.metrics.count("duties.taken")
        self.log.info("duty_taken", duty=name, fence=fence)

    def release(self, name: str, fence: int) -> None:
        """Gives a duty up that another entry has taken under a later token."""
        held = self.held.get(name)
        if held is not None and held.tenure.fence < fence:
            self.give_up(name, held, "released")

    def held_duty(self, name: str) -> Duty | None:
        """Returns the work of a duty that this entry does."""
        held = self.held.get(name)
        return None if held is None else held.duty

    def holder_address(self, name: str) -> str:
        """Returns the address of the entry that does a duty, or an empty text."""
        owner = self.owners.get(name)
        entry = None if owner is None else self.entries.get(owner[0].entry)
        return "" if entry is None else entry.address

    async def hand_over(self) -> None:
        """Gives all duties up, for a planned stop; keeps the lease until then."""
        self.stopping = True
        try:
            await self.hand_over_held()
        finally:
            if self.keeper is not None:
                self.keeper.cancel()
        await self.lease.end()

    async def hand_over_held(self) -> None:
        """Ends the orders under way of all duties, then the duties."""
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
