"""Membership of entries: registered under a lease, agreed through the store."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from burdockthread_model.clock import Clock
from burdockthread_model.errors import (
    ConflictError,
    PeerError,
    PeerProtocolError,
    StoreError,
)
from burdockthread_model.events import EventLog
from burdockthread_model.settings import EntrySettings
from burdockthread_store.store import Change, ConfigurationStore, KeyValue

from burdockthread_peers.entry_reports import EntryReports, ReportNoted, ViewReport
from burdockthread_peers.member_selection import MemberSelection
from burdockthread_peers.mesh import PeerMesh
from burdockthread_peers.registration import Registration, decode_registration
from burdockthread_peers.view import (
    OUTAGE_TENURE_S,
    TENURE_S,
    Identity,
    MembersView,
    ViewMember,
)

VIEW_KEY = "members/view"
CONFIRM_S = 2.0
TENURE_MARGIN_S = 1.0
ROUND_S = 0.5
TURN_S = 1.0
FETCH_TIMEOUT_S = 1.0
SETTLE_S = 3.0
MAX_ENDED = 1_000


class FetchView(NamedTuple):
    """Asks for the member list."""


class ViewReply(NamedTuple):
    """The member list as its record."""

    data: bytes


class Membership:
    """This entry's registration and its copy of the agreed member list.

    An entry decides by its copy only while `acting` says so: while the store
    has confirmed the list lately, or, with the store out, while every other
    member reports the same list.

    Attributes:
        registration: This entry's registration and those of others.
        reports: Last report of each other entry.
        ended: Processes that another of their name has replaced, oldest first.
        selection: Decides which entries belong on the list.
        view: Newest member list known.
        adopted_wall_s: Wall-clock time at which `view` became known.
        confirmed_until_s: Clock time up to which the store's last word holds.
        listeners: Called after a newer member list has been taken over.
        handover_complete: Whether the records of the previous list were handed over;
            only then is the list replaced again, within `SETTLE_S`.
    """

    def __init__(
        self,
        me: ViewMember,
        mesh: PeerMesh,
        store: ConfigurationStore,
        clock: Clock,
        log: EventLog,
    ) -> None:
        self.mesh = mesh
        self.store = store
        self.clock = clock
        self.log = log
        self.registration = Registration(me, store, clock, log)
        self.registration.cache.listeners.append(self.on_registration)
        self.reports = EntryReports(clock)
        self.ended: dict[Identity, None] = {}
        self.selection = MemberSelection(self.registration, self.reports, self.ended)
        self.view = MembersView()
        self.view_revision = 0
        self.adopted_wall_s = clock.wall()
        self.confirmed_until_s = float("-inf")
        self.confirmed_until_wall_s = float("-inf")
        self.confirm_at_s = float("-inf")
        self.differs_since_s: float | None = None
        self.listeners: list[Callable[[], None]] = []
        self.handover_complete: Callable[[], bool] = lambda: True
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

    @property
    def me(self) -> ViewMember:
        """Returns this entry as registered."""
        return self.registration.me

    @property
    def superseded(self) -> bool:
        """Returns whether another process has taken this entry's name."""
        return self.registration.superseded

    @property
    def leaving(self) -> bool:
        """Returns whether this entry ends."""
        return self.selection.leaving

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
            self.reports.goes_by(member, self.view.version)
            for member in self.view.members
            if member.name != self.me.name
        )

    def last_stopped_s(self) -> float:
        """Returns when the members of the list before have surely stopped."""
        return self.adopted_wall_s + TENURE_S

    def on_registration(self, key: str, item: KeyValue | None) -> None:
        """Dials an entry that has registered itself."""
        member = None if item is None else decode_registration(item)
        if member is None or member.identity in self.ended:
            return
        if member.name != self.me.name:
            self.mesh.add_peer(member.peer_settings())

    async def run(self) -> None:
        """Keeps the registration and the member list current until cancelled."""
        follower = asyncio.create_task(self.registration.cache.run())
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
            if not self.superseded:
                await self.propose()
        except (StoreError, PeerProtocolError) as error:
            self.log.info("membership_waits", reason=type(error).__name__)

    def broadcast_report(self) -> None:
        """Tells every other entry which list this one goes by."""
        self.mesh.broadcast(
            ViewReport(
                incarnation=self.me.incarnation,
                version=self.view.version,
                heard=self.reports.heard_names(),
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
        await self.registration.keep()
        sent_s, sent_wall_s = self.clock.now(), self.clock.wall()
        found = await self.store.get(VIEW_KEY)
        if found is not None:
            self.adopt(MembersView.from_bytes(found.value))
        self.view_revision = 0 if found is None else found.revision
        self.confirmed_until_s = sent_s + TENURE_S - TENURE_MARGIN_S
        self.confirmed_until_wall_s = sent_wall_s + TENURE_S - TENURE_MARGIN_S

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
                self.mesh.add_peer(self.newest(member).peer_settings())
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
            self.mesh.block_process(identity.name, identity.incarnation)
        while len(self.ended) > MAX_ENDED:
            del self.ended[next(iter(self.ended))]
        if self.me.identity in self.ended:
            self.registration.supersede("member list")

    def newest(self, member: ViewMember) -> ViewMember:
        """Returns the successor of a member if one is registered."""
        successor = self.registration.registered().get(member.name, member)
        return member if successor.identity in self.ended else successor

    async def propose(self) -> None:
        """Replaces the member list if it is wrong and it is this entry's turn.

        Raises:
            StoreError: The list could not be written.
        """
        unsettled_s = self.clock.wall() - self.adopted_wall_s
        if not self.registration.cache.synced or (
            unsettled_s < SETTLE_S and not self.handover_complete()
        ):
            return
        members = self.selection.wanted_members(self.view)
        if members == self.view.members or not self.selection.may_replace(
            self.view, members
        ):
            self.differs_since_s = None
            return
        if self.differs_since_s is None:
            self.differs_since_s = self.clock.now()
        if (
            self.clock.now() - self.differs_since_s
            >= self.selection.turn(self.view) * TURN_S
        ):
            await self.replace(members)

    async def replace(self, members: tuple[ViewMember, ...]) -> None:
        """Writes a new member list by compare-and-swap and adopts it.

        Raises:
            StoreError: The list could not be written.
        """
        wall_s = self.clock.wall()
        view = self.view.successor(
            members,
            wall_s,
            wall_s + self.selection.tenure_s(self.view),
            self.selection.left(),
        )
        self.differs_since_s = None
        try:
            change = Change(VIEW_KEY, view.to_bytes(), self.view_revision)
            self.view_revision = await self.store.write([change])
        except ConflictError:
            self.confirm_at_s = float("-inf")
            return
        self.adopt(view)

    async def leave(self) -> None:
        """Ends the registration and takes this entry out of the member list."""
        await self.wait_settled()
        self.selection.leaving = True
        self.broadcast_report()
        try:
            await self.registration.withdraw()
            if self.is_member():
                others = [m for m in self.view.members if m != self.me]
                await self.replace(tuple(others))
        except StoreError as error:
            self.log.info("membership_waits", reason=type(error).__name__)

    async def wait_settled(self) -> None:
        """Waits a bounded time until records have been handed on."""
        give_up_s = self.clock.now() + SETTLE_S
        while not self.handover_complete() and self.clock.now() < give_up_s:
            await self.clock.sleep(ROUND_S)

    async def on_report(self, sender: str, message: ViewReport) -> ReportNoted:
        """Notes a report and catches up with a newer list."""
        if Identity(sender, message.incarnation) in self.ended:
            return ReportNoted()
        self.reports.note(sender, message)
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
