"""Recent reports of other entries about their member list."""

from typing import NamedTuple

from burdockthread_model.clock import Clock

from burdockthread_peers.view import CLOCK_SKEW_S, Identity, ViewMember

REPORT_VALID_S = 3.0


class ViewReport(NamedTuple):
    """Sent by every entry to every other entry in each round of the membership.

    Attributes:
        incarnation: The sender's incarnation.
        version: Version of the member list that the sender uses.
        heard: Names of the entries whose reports the sender received recently.
        leaving: Whether the sender is shutting down.
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
    """The last report of an entry and when it was received, by both local clocks.

    Unlike the other clock, the wall clock also advances while the VM is paused.
    """

    report: ViewReport
    received_s: float
    received_wall_s: float


class EntryReports:
    """The last report of each other entry.

    Attributes:
        last: Last report and the time of its receipt, by name of the entry.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.last: dict[str, Report] = {}

    def record(self, sender: str, message: ViewReport) -> None:
        """Records a report as received at the present time."""
        self.last[sender] = Report(message, self.clock.now(), self.clock.wall())

    def confirms_version(self, member: ViewMember, version: int) -> bool:
        """Returns whether a member recently sent a report of a list version.

        The time of sending counts too, as a report may have waited in a buffer
        while this process was paused.
        """
        found = self.last.get(member.name)
        if found is None or not self.reported_recently(member):
            return False
        age_s = self.clock.wall() - found.report.sent_wall_s
        return (
            found.report.version == version and -CLOCK_SKEW_S <= age_s < REPORT_VALID_S
        )

    def reported_recently(self, member: ViewMember) -> bool:
        """Returns whether this very process reported recently and is not leaving."""
        found = self.last.get(member.name)
        if found is None or found.report.incarnation != member.incarnation:
            return False
        return self.is_recent(found) and not found.report.leaving

    def is_recent(self, found: Report) -> bool:
        """Returns whether a report was received recently by both clocks."""
        by_clock = self.clock.now() - found.received_s < REPORT_VALID_S
        return by_clock and self.clock.wall() - found.received_wall_s < REPORT_VALID_S

    def recent_names(self) -> tuple[str, ...]:
        """Returns the names of the entries that have reported recently, sorted."""
        recent = (name for name, found in self.last.items() if self.is_recent(found))
        return tuple(sorted(recent))

    def leaving_processes(self) -> set[Identity]:
        """Returns the processes that have announced their end."""
        return {
            Identity(name, found.report.incarnation)
            for name, found in self.last.items()
            if found.report.leaving
        }
