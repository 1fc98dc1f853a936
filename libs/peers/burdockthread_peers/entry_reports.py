"""What the other entries have reported lately of the member list."""

from typing import NamedTuple

from burdockthread_model.clock import Clock

from burdockthread_peers.view import CLOCK_SKEW_S, Identity, ViewMember

HEARD_S = 3.0


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


class Report(NamedTuple):
    """The last report of an entry and when it came, by both of our clocks.

    The wall clock also moves while a whole VM is paused.
    """

    report: ViewReport
    heard_s: float
    heard_wall_s: float


class EntryReports:
    """The last report of each other entry.

    Attributes:
        last: Last report and when it came, by name.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.last: dict[str, Report] = {}

    def note(self, sender: str, message: ViewReport) -> None:
        """Notes a report that has just come."""
        self.last[sender] = Report(message, self.clock.now(), self.clock.wall())

    def goes_by(self, member: ViewMember, version: int) -> bool:
        """Returns whether a member has lately sent a report of a version.

        A report that waited in a buffer while this process was paused is old
        although it has just come.
        """
        found = self.last.get(member.name)
        if found is None or not self.heard(member):
            return False
        age_s = self.clock.wall() - found.report.sent_wall_s
        return found.report.version == version and -CLOCK_SKEW_S <= age_s < HEARD_S

    def heard(self, member: ViewMember) -> bool:
        """Returns whether this very process has reported lately."""
        found = self.last.get(member.name)
        if found is None or found.report.incarnation != member.incarnation:
            return False
        return self.is_recent(found) and not found.report.leaving

    def is_recent(self, found: Report) -> bool:
        """Returns whether a report is recent by both clocks."""
        by_clock = self.clock.now() - found.heard_s < HEARD_S
        return by_clock and self.clock.wall() - found.heard_wall_s < HEARD_S

    def heard_names(self) -> tuple[str, ...]:
        """Returns the names of the entries that have reported lately."""
        recent = (name for name, found in self.last.items() if self.is_recent(found))
        return tuple(sorted(recent))

    def left(self) -> set[Identity]:
        """Returns the processes that have said that they end."""
        return {
            Identity(name, found.report.incarnation)
            for name, found in self.last.items()
            if found.report.leaving
        }
