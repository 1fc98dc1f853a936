"""Membership of entries: registered under a lease, agreed through the store."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

import msgspec
from burdockthread_model.clock import Clock
from burdockthread_model.errors import (
    ConflictError,
    LeaseLostError,
    PeerError,
    PeerProtocolError,
    StoreError,
)
from burdockthread_model.events import EventLog
from burdockthread_model.records import RecordError, decode_record, encode_record
from burdockthread_model.settings import EntrySettings
from burdockthread_store.prefix_cache import PrefixCache
from burdockthread_store.store import (
    Change,
    ConfigurationStore,
    KeyValue,
    Lease,
)

from burdockthread_peers.mesh import PeerMesh
from burdockthread_peers.view import CLOCK_SKEW_S, Identity, MembersView, ViewMember

ENTRY_PREFIX = "entry/"
VIEW_KEY = "members/view"
REGISTRATION_TTL_S = 6.0
CONFIRM_S = 2.0
TENURE_S = 6.0
TENURE_MARGIN_S = 1.0
OUTAGE_TENURE_S = 3_600.0
HEARD_S = 3.0
ROUND_S = 0.5
TURN_S = 1.0
FETCH_TIMEOUT_S = 1.0
SETTLE_S = 3.0
MAX_ENDED = 1_000


class ViewReport(NamedTuple):
    """Sent by every entry to every other on each round.

    Attributes:
        incarnation: The sender's incarnation.
        version: Version of the member list that the sender goes by.
        heard: Names of the entries that the sender has heard lately.
        leaving: Whether the sender is about to end.
        sent_wall_s: The sender's wall-clock time.
    """

    incarnation: str
    version: int
    heard: tuple[str, ...]
    leaving: bool
    sent_wall_s: float


class ReportNoted(NamedTuple):
    """Answer to `ViewReport`."""


class FetchView(NamedTuple):
    """Asks for the member list."""


class ViewReply(NamedTuple):
    """The member list as its record."""

    data: bytes


class Report(NamedTuple):
    """The last report of an entry and when it came, by both of our clocks.

    The wall clock also moves while a whole VM is paused.
    """

    report: ViewReport
    heard_s: float
    heard_wall_s: float


class Membership:
    """This entry's registration and its copy of the agreed member list.

    An entry decides by its copy only while `acting` says so: while the store
    has confirmed the list lately, or, with the store out, while every other
    member reports the same list.

    Attributes:
        me: This entry as registered.
        view: Newest member list known.
        adopted_wall_s: Wall-clock time at which `view` became known.
        confirmed_until_s: Clock time up to which the store's last word holds.
        superseded: Whether another process has taken this entry's name.
        ended: Processes that another of their name has replaced, oldest first.
        registered_revision: Revision of this process's registration, or 0.
        listeners: Called after a newer member list has been taken over.
        settled: Whether the records of the list before have been handed on;
            only then is the list replaced again, within `SETTLE_S`.
        reports: Last report of each other entry.
    """

    def __init__(
        self,
        me: ViewMember,
        mesh: PeerMesh,
        store: ConfigurationStore,
        clock: Clock,
        log: EventLog,
    ) -> None:
        self.me = me
        self.mesh = mesh
        self.store = store
        self.clock = clock
        self.log = log
        self.registrations = PrefixCache(store, ENTRY_PREFIX, clock)
        self.registrations.listeners.append(self.on_registration)
        self.view = MembersView()
        self.view_revision = 0
        self.adopted_wall_s = clock.wall()
        self.confirmed_until_s = float("-inf")
        self.confirmed_until_wall_s = float("-inf")
        self.confirm_at_s = float("-inf")
        self.differs_since_s: float | None = None
        self.lease: Lease | None = None
        self.superseded = False
        self.ended: dict[Identity, None] = {}
        self.registered_revision = 0
        self.leaving = False
        self.listeners: list[Callable[[], None]] = []
        self.settled: Callable[[], bool] = lambda: True
        self.reports: dict[str, Report] = {}
        mesh.register(ViewReport, ReportNoted, self.on_report)
        mesh.register(FetchView, ViewReply, self.on_fetch)

    @classmethod
    def from_settings(
        cls,
        settings: EntrySettings,
        mesh: PeerMesh,
        store: ConfigurationStore,
        clock: Clock,
        log: EventLog,
    ) -> "Membership":
        """Returns the membership of the entry of the settings."""
        address = next(e for e in settings["entries"] if e["name"] == settings["name"])
        (own,) = (item for item in mesh.members() if item.name == mesh.name)
        me = ViewMember(
            name=settings["name"],
            incarnation=own.incarnation,
            host=address["host"],
            port=address["port"],
            availability_zone=settings["availability_zone"],
            region=settings["region"],
        )
        return cls(me, mesh, store, clock, log)

    def is_member(self) -> bool:
        """Returns whether this process is in the member list."""
        return self.me.identity in self.view.identities()

    def acting(self) -> bool:
        """Returns whether this entry may decide by its member list now.

        A process that was paused sees its own clocks beyond what was
        confirmed, before it does anything else.
        """
        if not self.is_member() or self.superseded:
            return False
        return self.confirmed() or self.acting_in_outage()

    def confirmed(self) -> bool:
        """Returns whether the store has confirmed the list lately."""
        by_clock = self.clock.now() < self.confirmed_until_s
        return by_clock and self.clock.wall() < self.confirmed_until_wall_s

    def acting_in_outage(self) -> bool:
        """Returns whether every other member goes by the same list.

        Whoever replaces the list is a member of it, or waits for
        `OUTAGE_TENURE_S`; so nobody has replaced it yet.
        """
        end_s = OUTAGE_TENURE_S - TENURE_S
        if self.clock.now() >= self.confirmed_until_s + end_s:
            return False
        if self.clock.wall() >= self.confirmed_until_wall_s + end_s:
            return False
        return all(
            self.reports_version(member, self.view.version)
            for member in self.view.members
            if member.name != self.me.name
        )

    def reports_version(self, member: ViewMember, version: int) -> bool:
        """Returns whether a member has lately sent a report of a version.

        A report that waited in a buffer while this process was paused is old
        although it has just come.
        """
        found = self.reports.get(member.name)
        if found is None or not self.heard(member):
            return False
        age_s = self.clock.wall() - found.report.sent_wall_s
        return found.report.version == version and -CLOCK_SKEW_S <= age_s < HEARD_S

    def heard(self, member: ViewMember) -> bool:
        """Returns whether this very process has reported lately."""
        if member.name == self.me.name:
            return member.incarnation == self.me.incarnation and not self.leaving
        found = self.reports.get(member.name)
        if found is None or found.report.incarnation != member.incarnation:
            return False
        return self.is_recent(found) and not found.report.leaving

    def is_recent(self, found: Report) -> bool:
        """Returns whether a report is recent by both clocks."""
        by_clock = self.clock.now() - found.heard_s < HEARD_S
        return by_clock and self.clock.wall() - found.heard_wall_s < HEARD_S

    def last_stopped_s(self) -> float:
        """Returns when the members of the list before have surely stopped."""
        return self.adopted_wall_s + TENURE_S

    def registered(self) -> dict[str, ViewMember]:
        """Returns the registrations by name."""
        found = {}
        for item in self.registrations.values.values():
            member = decode_registration(item)
            if member is not None:
                found[member.name] = member
        return found

    def on_registration(self, key: str, item: KeyValue | None) -> None:
        """Dials an entry that has registered itself."""
        member = None if item is None else decode_registration(item)
        if item is None or member is None or member.identity in self.ended:
            return
        if member.name != self.me.name:
            self.mesh.learn(member.peer_settings())
        elif member != self.me and 0 < self.registered_revision < item.revision:
            self.supersede(member.incarnation)

    def supersede(self, incarnation: str) -> None:
        """Stops for good: another process has taken this entry's name."""
        if not self.superseded:
            self.superseded = True
            self.log.error("entry_superseded", by=incarnation)

    async def run(self) -> None:
        """Keeps the registration and the member list current until cancelled."""
        follower = asyncio.create_task(self.registrations.run())
        try:
            while True:
                await self.round()
                await self.clock.sleep(ROUND_S)
        finally:
            follower.cancel()

    async def round(self) -> None:
        """Reports, confirms and, in its turn, replaces the member list."""
        if self.superseded:
            return
        self.broadcast_report()
        if self.leaving:
            return
        try:
            if self.clock.now() >= self.confirm_at_s:
                await self.confirm()
            await self.propose()
        except (StoreError, PeerProtocolError) as error:
            self.log.info("membership_waits", reason=type(error).__name__)

    def broadcast_report(self) -> None:
        """Tells every other entry which list this one goes by."""
        heard = tuple(
            name
            for name, found in sorted(self.reports.items())
            if self.is_recent(found)
        )
        self.mesh.broadcast(
            ViewReport(
                incarnation=self.me.incarnation,
                version=self.view.version,
                heard=heard,
                leaving=self.leaving,
                sent_wall_s=self.clock.wall(),
            )
        )

    async def confirm(self) -> None:
        """Renews the registration and reads the list from the store.

        Raises:
            StoreError: No answer; nothing is confirmed.
            PeerProtocolError: The list is malformed; nothing is confirmed.
        """
        self.confirm_at_s = self.clock.now() + CONFIRM_S
        await self.keep_registration()
        sent_s, sent_wall_s = self.clock.now(), self.clock.wall()
        found = await self.store.get(VIEW_KEY)
        if found is not None:
            self.adopt(MembersView.from_bytes(found.value))
        self.view_revision = 0 if found is None else found.revision
        self.confirmed_until_s = sent_s + TENURE_S - TENURE_MARGIN_S
        self.confirmed_until_wall_s = sent_wall_s + TENURE_S - TENURE_MARGIN_S

    async def keep_registration(self) -> None:
        """Registers this entry, or renews the lease of its registration."""
        try:
            if self.lease is None:
                await self.register()
            else:
                self.lease = await self.store.renew_lease(self.lease)
        except (LeaseLostError, ConflictError):
            self.lease = None

    async def register(self) -> None:
        """Writes this entry's registration over that of its predecessor.

        Raises:
            ConflictError: Another process registered at the same moment.
        """
        key = ENTRY_PREFIX + self.me.name
        found = await self.store.get(key)
        if found is not None and self.registered_revision:
            other = decode_registration(found)
            if other is not None and other.identity != self.me.identity:
                self.supersede(other.incarnation)
                return
        lease = await self.store.grant_lease(REGISTRATION_TTL_S)
        revision = 0 if found is None else found.revision
        change = Change(key, encode_record(self.me), revision, lease.lease_id)
        self.registered_revision = await self.store.write([change])
        self.lease = lease

    def adopt(self, view: MembersView) -> None:
        """Takes a newer member list over; an older one is left aside."""
        if view.version <= self.view.version:
            return
        self.note_ended(view)
        self.view = view
        self.adopted_wall_s = self.clock.wall()
        self.differs_since_s = None
        for member in view.members:
            if member.name != self.me.name:
                self.mesh.learn(self.newest(member).peer_settings())
        self.log.info(
            "members_adopted", version=view.version, members=",".join(view.names())
        )
        for listener in self.listeners:
            listener()
        if not self.superseded:
            self.broadcast_report()

    def note_ended(self, view: MembersView) -> None:
        """Shuts out the processes that a newer member list has replaced."""
        known = dict.fromkeys(self.view.identities())
        for item in view.history:
            known.update(dict.fromkeys(item.members))
        for identity in known.keys() - set(view.identities()) - self.ended.keys():
            if identity.name not in view.names():
                continue
            self.ended[identity] = None
            self.mesh.shut_out(identity.name, identity.incarnation)
        while len(self.ended) > MAX_ENDED:
            del self.ended[next(iter(self.ended))]
        if self.me.identity in self.ended:
            self.supersede("member list")

    def newest(self, member: ViewMember) -> ViewMember:
        """Returns the successor of a member if one is registered."""
        successor = self.registered().get(member.name, member)
        return member if successor.identity in self.ended else successor

    async def propose(self) -> None:
        """Replaces the member list if it is wrong and it is this entry's turn.

        Raises:
            StoreError: The list could not be written.
        """
        unsettled_s = self.clock.wall() - self.adopted_wall_s
        if not self.registrations.synced or (
            unsettled_s < SETTLE_S and not self.settled()
        ):
            return
        members = self.wanted_members()
        if members == self.view.members or not self.may_replace(members):
            self.differs_since_s = None
            return
        if self.differs_since_s is None:
            self.differs_since_s = self.clock.now()
        if self.clock.now() - self.differs_since_s >= self.turn() * TURN_S:
            await self.replace(members)

    def wanted_members(self) -> tuple[ViewMember, ...]:
        """Returns the members as the registrations and reports say."""
        registered = self.registered()
        wanted = {}
        for member in self.view.members:
            successor = registered.get(member.name, member)
            if successor != member and self.may_join(successor):
                wanted[member.name] = successor
            elif self.may_stay(member, registered):
                wanted[member.name] = member
        for name, member in registered.items():
            if name not in self.view.names() and self.may_join(member):
                wanted[name] = member
        return tuple(sorted(wanted.values()))

    def may_join(self, member: ViewMember) -> bool:
        """Returns whether a registered entry can be reached from here."""
        return member.identity not in self.ended and self.heard(member)

    def may_stay(self, member: ViewMember, registered: dict[str, ViewMember]) -> bool:
        """Returns whether a member is registered, or heard by anybody."""
        if self.heard(member):
            return True
        found = self.reports.get(member.name)
        if found is not None and found.report.leaving:
            return False
        if registered.get(member.name) != member:
            return False
        others = [
            other
            for other in self.view.members
            if other.name not in (self.me.name, member.name)
        ]
        reports = [
            self.reports[other.name].report for other in others if self.heard(other)
        ]
        if not others or 2 * len(reports) < len(others):
            return True
        return any(member.name in report.heard for report in reports)

    def may_replace(self, members: tuple[ViewMember, ...]) -> bool:
        """Returns whether this entry may write a list of members.

        A member may. Others may only where no member is left to do it.
        """
        if self.me not in members:
            return False
        if self.is_member() or not self.view.members:
            return True
        registered = self.registered().values()
        return not any(
            member in registered or self.heard(member) for member in self.view.members
        )

    def turn(self) -> int:
        """Returns how many entries come first when the list has to be replaced."""
        candidates = self.view.members or self.registered().values()
        names = sorted(member.name for member in candidates if self.heard(member))
        return names.index(self.me.name) if self.me.name in names else len(names)

    def tenure_s(self) -> float:
        """Returns how long the members of the list may go on after its end."""
        if self.is_member():
            return TENURE_S
        replaced = {(m.name, m.host, m.port) for m in self.registered().values()}
        in_place = all((m.name, m.host, m.port) in replaced for m in self.view.members)
        return TENURE_S if in_place else OUTAGE_TENURE_S

    async def replace(self, members: tuple[ViewMember, ...]) -> None:
        """Writes a new member list by compare-and-swap and adopts it.

        Raises:
            StoreError: The list could not be written.
        """
        wall_s = self.clock.wall()
        view = self.view.successor(
            members, wall_s, wall_s + self.tenure_s(), self.left()
        )
        self.differs_since_s = None
        try:
            change = Change(VIEW_KEY, view.to_bytes(), self.view_revision)
            self.view_revision = await self.store.write([change])
        except ConflictError:
            self.confirm_at_s = float("-inf")
            return
        self.adopt(view)

    def left(self) -> set[Identity]:
        """Returns the members that have said that they end."""
        reports = self.reports.items()
        left = {
            Identity(name, found.report.incarnation)
            for name, found in reports
            if found.report.leaving
        }
        return left | {self.me.identity} if self.leaving else left

    async def leave(self) -> None:
        """Ends the registration and takes this entry out of the member list."""
        await self.wait_settled()
        self.leaving = True
        self.broadcast_report()
        lease, self.lease = self.lease, None
        try:
            if lease is not None:
                await self.store.revoke_lease(lease)
            if self.is_member():
                others = [m for m in self.view.members if m != self.me]
                await self.replace(tuple(others))
        except StoreError as error:
            self.log.info("membership_waits", reason=type(error).__name__)

    async def wait_settled(self) -> None:
        """Waits a bounded time until records have been handed on."""
        give_up_s = self.clock.now() + SETTLE_S
        while not self.settled() and self.clock.now() < give_up_s:
            await self.clock.sleep(ROUND_S)

    async def on_report(self, sender: str, message: ViewReport) -> ReportNoted:
        """Notes a report and catches up with a newer list."""
        if Identity(sender, message.incarnation) in self.ended:
            return ReportNoted()
        now_s, wall_s = self.clock.now(), self.clock.wall()
        self.reports[sender] = Report(message, now_s, wall_s)
        if message.version > self.view.version:
            await self.fetch(sender)
        return ReportNoted()

    async def fetch(self, peer: str) -> None:
        """Takes the member list over from another entry."""
        try:
            reply = await self.mesh.call(peer, FetchView(), ViewReply, FETCH_TIMEOUT_S)
            self.adopt(MembersView.from_bytes(reply.data))
            self.confirm_at_s = float("-inf")
        except PeerError as error:
            self.log.info("view_fetch_failed", peer=peer, reason=type(error).__name__)

    async def on_fetch(self, sender: str, message: FetchView) -> ViewReply:
        """Answers with the member list."""
        return ViewReply(self.view.to_bytes())


def decode_registration(item: KeyValue) -> ViewMember | None:
    """Reads a registration; a malformed one counts as none."""
    try:
        return decode_record(item.value, ViewMember)
    except (RecordError, PeerProtocolError, msgspec.MsgspecError):
        return None
