"""Which entries belong on the member list, and who may replace it."""

from collections.abc import Container

from burdockthread_peers.entry_reports import EntryReports
from burdockthread_peers.registration import Registration
from burdockthread_peers.view import (
    OUTAGE_TENURE_S,
    TENURE_S,
    Identity,
    MembersView,
    ViewMember,
)


class MemberSelection:
    """Decides on the next member list by registrations and reports.

    Attributes:
        registration: Registrations of all entries.
        reports: Last reports of the other entries.
        ended: Processes that another of their name has replaced.
        leaving: Whether this entry ends.
    """

    def __init__(
        self,
        registration: Registration,
        reports: EntryReports,
        ended: Container[Identity],
    ) -> None:
        self.registration = registration
        self.reports = reports
        self.ended = ended
        self.leaving = False

    def heard(self, member: ViewMember) -> bool:
        """Returns whether this very process runs, or has reported lately."""
        me = self.registration.me
        if member.name == me.name:
            return member.incarnation == me.incarnation and not self.leaving
        return self.reports.heard(member)

    def left(self) -> set[Identity]:
        """Returns the processes that have said that they end."""
        own = {self.registration.me.identity} if self.leaving else set()
        return self.reports.left() | own

    def wanted_members(self, view: MembersView) -> tuple[ViewMember, ...]:
        """Returns the members as the registrations and reports say."""
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
        """Returns whether a registered entry can be reached from here."""
        return member.identity not in self.ended and self.heard(member)

    def may_stay(
        self,
        view: MembersView,
        member: ViewMember,
        registered: dict[str, ViewMember],
    ) -> bool:
        """Returns whether a member is registered, or heard by anybody."""
        if self.heard(member):
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
            if self.heard(other)
        ]
        if not others or 2 * len(reports) < len(others):
            return True
        return any(member.name in report.heard for report in reports)

    def may_replace(self, view: MembersView, members: tuple[ViewMember, ...]) -> bool:
        """Returns whether this entry may write a list of members.

        A member may. Others may only where no member is left to do it.
        """
        me = self.registration.me
        if me not in members:
            return False
        if me.identity in view.identities() or not view.members:
            return True
        registered = self.registration.registered().values()
        return not any(
            member in registered or self.heard(member) for member in view.members
        )

    def turn(self, view: MembersView) -> int:
        """Returns how many entries come first when the list has to be replaced."""
        candidates = view.members or self.registration.registered().values()
        names = sorted(member.name for member in candidates if self.heard(member))
        name = self.registration.me.name
        return names.index(name) if name in names else len(names)

    def tenure_s(self, view: MembersView) -> float:
        """Returns how long the members of the list may go on after its end."""
        if self.registration.me.identity in view.identities():
            return TENURE_S
        replaced = {m.seat for m in self.registration.registered().values()}
        in_place = all(m.seat in replaced for m in view.members)
        return TENURE_S if in_place else OUTAGE_TENURE_S
