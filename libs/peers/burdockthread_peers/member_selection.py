"""Decides which entries belong on the member list and which may replace it."""

from collections.abc import Container

from burdockthread_peers.entry_reports import EntryReports
from burdockthread_peers.registration import Registration
from burdockthread_peers.view import (
    OUTAGE_VALIDITY_S,
    VIEW_VALIDITY_S,
    Identity,
    MembersView,
    ViewMember,
)


class MemberSelection:
    """Selects the next member list from registrations and reports.

    Attributes:
        registration: Registrations of all entries.
        reports: Last reports of the other entries.
        replaced: Processes that a newer process of their name has replaced.
        leaving: Whether this entry is shutting down.
    """

    def __init__(
        self,
        registration: Registration,
        reports: EntryReports,
        ended: Container[Identity],
    ) -> None:
        self.registration = registration
        self.reports = reports
        self.replaced = ended
        self.leaving = False

    def reported_recently(self, member: ViewMember) -> bool:
        """Returns whether this very process has reported recently.

        For this entry itself: whether it is the process and is not leaving.
        """
        me = self.registration.me
        if member.name == me.name:
            return member.incarnation == me.incarnation and not self.leaving
        return self.reports.reported_recently(member)

    def leaving_processes(self) -> set[Identity]:
        """Returns the processes that have announced their end."""
        own = {self.registration.me.identity} if self.leaving else set()
        return self.reports.leaving_processes() | own

    def wanted_members(self, view: MembersView) -> tuple[ViewMember, ...]:
        """Returns the members that the registrations and reports call for."""
        registered = self.registration.registered()
        wanted = {}
        for member in view.members:
            successor = registered.get(member.name, member)
            if successor != member and self.may_join(successor):
                wanted[member.name] = successor
            elif self.may_stay(view, member, registered):
                wanted[member.name] = member
        for name, member in registered.items():
            if name not in view.names() and self.may_join(member):
                wanted[name] = member
        return tuple(sorted(wanted.values()))

    def may_join(self, member: ViewMember) -> bool:
        """Returns whether a registered process is not replaced and has reported."""
        return member.identity not in self.replaced and self.reported_recently(member)

    def may_stay(
        self,
        view: MembersView,
        member: ViewMember,
        registered: dict[str, ViewMember],
    ) -> bool:
        """Returns whether a member stays on the list.

        A member without a recent report here stays only while it is registered
        and has not announced its end, and only if another member has its
        reports, fewer than half of the other members have reported or there
        are no others.
        """
        if self.reported_recently(member):
            return True
        found = self.reports.last.get(member.name)
        if found is not None and found.report.leaving:
            return False
        if registered.get(member.name) != member:
            return False
        others = [
            other
            for other in view.members
            if other.name not in (self.registration.me.name, member.name)
        ]
        reports = [
            self.reports.last[other.name].report
            for other in others
            if self.reported_recently(other)
        ]
        if not others or 2 * len(reports) < len(others):
            return True
        return any(member.name in report.heard for report in reports)

    def may_replace(self, view: MembersView, members: tuple[ViewMember, ...]) -> bool:
        """Returns whether this entry may write a new list of members.

        A member may. Other entries may only if no member is registered or has
        reported.
        """
        me = self.registration.me
        if me not in members:
            return False
        if me.identity in view.identities() or not view.members:
            return True
        registered = self.registration.registered().values()
        return not any(
            member in registered or self.reported_recently(member)
            for member in view.members
        )

    def proposer_rank(self, view: MembersView) -> int:
        """Returns how many entries are to try first when the list is replaced."""
        candidates = view.members or self.registration.registered().values()
        names = sorted(
            member.name for member in candidates if self.reported_recently(member)
        )
        name = self.registration.me.name
        return names.index(name) if name in names else len(names)

    def validity_s(self, view: MembersView) -> float:
        """Returns for how many seconds members may decide by a list once replaced."""
        if self.registration.me.identity in view.identities():
            return VIEW_VALIDITY_S
        replaced = {m.named_address for m in self.registration.registered().values()}
        in_place = all(m.named_address in replaced for m in view.members)
        return VIEW_VALIDITY_S if in_place else OUTAGE_VALIDITY_S
