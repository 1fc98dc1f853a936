"""Membership of entries: registered under a lease, agreed on through the store."""

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
    OUTAGE_VALIDITY_S,
    VIEW_VALIDITY_S,
    Identity,
    MembersView,
    ViewMember,
)

VIEW_KEY = "members/view"
CONFIRM_INTERVAL_S = 2.0
VALIDITY_MARGIN_S = 1.0
ROUND_INTERVAL_S = 0.5
PROPOSAL_STAGGER_S = 1.0
FETCH_TIMEOUT_S = 1.0
HANDOVER_WAIT_S = 3.0
MAX_REPLACED = 1_000


class FetchView(NamedTuple):
    """Asks another entry for its member list."""


class ViewReply(NamedTuple):
    """Answer to `FetchView`: the member list, encoded as in the store."""

    data: bytes


class Membership:
    """This entry's registration and its copy of the agreed member list.

    An entry decides by its copy only while `may_decide` returns True: while the
    store has confirmed the list recently or, when the store is unavailable,
    while every other member reports the same list.

    Attributes:
        registration: This entry's registration and those of others.
        reports: Last report of each other entry.
        replaced: Processes that a newer process of their name has replaced,
            oldest first.
        selection: Decides which entries belong on the list.
        view: Newest member list known.
        view_revision: Revision of the list in the store, or 0.
        adopted_wall_s: Wall-clock time at which `view` became known.
        confirmed_until_s: Clock time up to which the store's confirmation holds.
        confirmed_until_wall_s: The same by the wall clock.
        confirm_at_s: Clock time of the next confirmation.
        differs_since_s: Clock time since which the list should be replaced, or
            None.
        listeners: Called after a newer member list has been adopted.
        handover_complete: Returns whether the records of the previous list were
            handed over; the list is replaced again only then, or after
            `HANDOVER_WAIT_S`.
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
        self.replaced: dict[Identity, None] = {}
        self.selection = MemberSelection(self.registration, self.reports, self.replaced)
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
        """Creates the membership of the entry that the settings name."""
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
        """Returns this entry as registered in the store."""
        return self.registration.me

    @property
    def superseded(self) -> bool:
        """Returns whether a newer process has registered under this entry's name."""
        return self.registration.superseded

    @property
    def leaving(self) -> bool:
        """Returns whether this entry is shutting down."""
        return self.selection.leaving

    def is_member(self) -> bool:
        """Returns whether this very process is on the member list."""
        return self.me.identity in self.view.identities()

    def may_decide(self) -> bool:
        """Returns whether this entry may decide by its member list at present.

        After a pause of the process its clocks are past the confirmed time, so
        it does not decide before the list is confirmed again.
        """
        if not self.is_member() or self.superseded:
            return False
        return self.is_confirmed() or self.may_decide_in_outage()

    def is_confirmed(self) -> bool:
        """Returns whether the store's last confirmation holds by both clocks."""
        by_clock = self.clock.now() < self.confirmed_until_s
        return by_clock and self.clock.wall() < self.confirmed_until_wall_s

    def may_decide_in_outage(self) -> bool:
        """Returns whether every other member has confirmed the same list.

        Only a member replaces the list, or another entry after
        `OUTAGE_VALIDITY_S`. So the list cannot have been replaced yet.
        """
        end_s = OUTAGE_VALIDITY_S - VIEW_VALIDITY_S
        if self.clock.now() >= self.confirmed_until_s + end_s:
            return False
        if self.clock.wall() >= self.confirmed_until_wall_s + end_s:
            return False
        return all(
            self.reports.confirms_version(member, self.view.version)
            for member in self.view.members
            if member.name != self.me.name
        )

    def previous_stopped_s(self) -> float:
        """Returns when the members of the previous list have stopped deciding."""
        return self.adopted_wall_s + VIEW_VALIDITY_S

    def on_registration(self, key: str, item: KeyValue | None) -> None:
        """Opens a stream to an entry that has registered."""
        member = None if item is None else decode_registration(item)
        if member is None or member.identity in self.replaced:
            return
        if member.name != self.me.name:
            self.mesh.add_peer(member.peer_settings())

    async def run(self) -> None:
        """Updates the registration and the member list until cancelled."""
        follower = asyncio.create_task(self.registration.cache.run())
        try:
            while True:
                await self.round()
                await self.clock.sleep(ROUND_INTERVAL_S)
        finally:
            follower.cancel()

    async def round(self) -> None:
        """Reports and confirms the member list and replaces it if necessary."""
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
        """Reports the version of this entry's member list to every other entry."""
        self.mesh.broadcast(
            ViewReport(
                incarnation=self.me.incarnation,
                version=self.view.version,
                heard=self.reports.recent_names(),
                leaving=self.leaving,
                sent_wall_s=self.clock.wall(),
            )
        )

    async def confirm(self) -> None:
        """Renews the registration and reads the list from the store.

        Raises:
            StoreError: The store is unavailable; the list is not confirmed.
            PeerProtocolError: The list is malformed and not confirmed.
        """
        self.confirm_at_s = self.clock.now() + CONFIRM_INTERVAL_S
        await self.registration.register_or_renew()
        sent_s, sent_wall_s = self.clock.now(), self.clock.wall()
        found = await self.store.get(VIEW_KEY)
        if found is not None:
            self.adopt(MembersView.from_bytes(found.value))
        self.view_revision = 0 if found is None else found.revision
        self.confirmed_until_s = sent_s + VIEW_VALIDITY_S - VALIDITY_MARGIN_S
        self.confirmed_until_wall_s = sent_wall_s + VIEW_VALIDITY_S - VALIDITY_MARGIN_S

    def adopt(self, view: MembersView) -> None:
        """Adopts a newer member list and informs listeners; ignores an older one."""
        if view.version <= self.view.version:
            return
        self.block_replaced_processes(view)
        self.view = view
        self.adopted_wall_s = self.clock.wall()
        self.differs_since_s = None
        for member in view.members:
            if member.name != self.me.name:
                self.mesh.add_peer(self.latest_process(member).peer_settings())
        self.log.info(
            "members_adopted", version=view.version, members=",".join(view.names())
        )
        for listener in self.listeners:
            listener()
        if not self.superseded:
            self.broadcast_report()

    def block_replaced_processes(self, view: MembersView) -> None:
        """Refuses streams of the processes that a newer member list has replaced."""
        known = dict.fromkeys(self.view.identities())
        for item in view.history:
            known.update(dict.fromkeys(item.members))
        for identity in known.keys() - set(view.identities()) - self.replaced.keys():
            if identity.name not in view.names():
                continue
            self.replaced[identity] = None
            self.mesh.block_process(identity.name, identity.incarnation)
        while len(self.replaced) > MAX_REPLACED:
            del self.replaced[next(iter(self.replaced))]
        if self.me.identity in self.replaced:
            self.registration.supersede("member list")

    def latest_process(self, member: ViewMember) -> ViewMember:
        """Returns the registered successor of a member, otherwise the member."""
        successor = self.registration.registered().get(member.name, member)
        return member if successor.identity in self.replaced else successor

    async def propose(self) -> None:
        """Replaces the member list if it is outdated.

        Each entry waits in proportion to its rank, so that normally only one
        of them writes.

        Raises:
            StoreError: The list could not be written.
        """
        since_adopted_s = self.clock.wall() - self.adopted_wall_s
        if not self.registration.cache.synced or (
            since_adopted_s < HANDOVER_WAIT_S and not self.handover_complete()
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
            >= self.selection.proposer_rank(self.view) * PROPOSAL_STAGGER_S
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
            wall_s + self.selection.validity_s(self.view),
            self.selection.leaving_processes(),
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
        """Ends the registration and removes this entry from the member list."""
        await self.wait_handover()
        self.selection.leaving = True
        self.broadcast_report()
        try:
            await self.registration.withdraw()
            if self.is_member():
                others = [m for m in self.view.members if m != self.me]
                await self.replace(tuple(others))
        except StoreError as error:
            self.log.info("membership_waits", reason=type(error).__name__)

    async def wait_handover(self) -> None:
        """Waits up to `HANDOVER_WAIT_S` for the end of the handover of records."""
        give_up_s = self.clock.now() + HANDOVER_WAIT_S
        while not self.handover_complete() and self.clock.now() < give_up_s:
            await self.clock.sleep(ROUND_INTERVAL_S)

    async def on_report(self, sender: str, message: ViewReport) -> ReportNoted:
        """Records a report and fetches the sender's member list if it is newer."""
        if Identity(sender, message.incarnation) in self.replaced:
            return ReportNoted()
        self.reports.record(sender, message)
        if message.version > self.view.version:
            await self.fetch(sender)
        return ReportNoted()

    async def fetch(self, peer: str) -> None:
        """Adopts the member list of another entry; the store confirms it next."""
        try:
            reply = await self.mesh.call(peer, FetchView(), ViewReply, FETCH_TIMEOUT_S)
            self.adopt(MembersView.from_bytes(reply.data))
            self.confirm_at_s = float("-inf")
        except PeerError as error:
            self.log.info("view_fetch_failed", peer=peer, reason=type(error).__name__)

    async def on_fetch(self, sender: str, message: FetchView) -> ViewReply:
        """Answers with this entry's member list."""
        return ViewReply(self.view.to_bytes())
