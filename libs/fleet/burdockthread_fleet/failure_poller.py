"""Polls all entries for the VMs that fail for them, while this entry is the planner."""

import asyncio
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from burdockthread_model.clock import Clock
from burdockthread_model.errors import PeerError
from burdockthread_model.vm import VmListing
from burdockthread_peers.mesh import MemberState, PeerMesh
from burdockthread_routing.failure_reports import MAX_FAILING, Failures, ListFailures
from burdockthread_routing.outliers import EJECTION_MAX_S, EndpointReport

from burdockthread_fleet.leadership import Leadership

CHECK_S = 0.5
ROUND_S = 5.0
CALL_TIMEOUT_S = 2.0
MAX_ANSWER_AGE_S = 15.0
RECENT_ATTEMPT_S = 2 * EJECTION_MAX_S


class Answer(NamedTuple):
    """Failure reports of one entry.

    Attributes:
        reports: State of VMs as seen by the entry.
        heard_s: Clock time at which the answer arrived.
    """

    reports: tuple[EndpointReport, ...]
    heard_s: float


class FailurePoller:
    """Polls the entries and combines their reports on failing VMs.

    Attributes:
        answers: Last answer of each entry.
        asked_s: Clock time at which all entries were last polled.
    """

    def __init__(self, mesh: PeerMesh, leadership: Leadership, clock: Clock) -> None:
        self.mesh = mesh
        self.leadership = leadership
        self.clock = clock
        self.answers: dict[str, Answer] = {}
        self.asked_s = float("-inf")

    async def run(self) -> None:
        """Checks every `CHECK_S` whether a poll is due, until cancelled."""
        while True:
            await self.tick()
            await self.clock.sleep(CHECK_S)

    async def tick(self) -> None:
        """Polls all entries if this one is the planner and a round is due."""
        if not self.leadership.held():
            self.answers.clear()
            self.asked_s = float("-inf")
        elif self.clock.now() >= self.asked_s + ROUND_S:
            await self.round()

    async def round(self) -> None:
        """Polls all entries, and once more about VMs newly found to fail.

        The second poll gets the reports of the entries for which these VMs work.
        """
        known = self.failing_vms()
        await self.ask_all(known)
        failing = self.failing_vms()
        if not failing <= known:
            await self.ask_all(failing)
        self.asked_s = self.clock.now()

    def failing_vms(self) -> frozenset[str]:
        """Returns the VMs that fail for at least one entry."""
        reports = (r for answer in self.answers.values() for r in answer.reports)
        return frozenset(report.vm for report in reports if report.failing_s)

    async def ask_all(self, vms: Iterable[str]) -> None:
        """Polls every entry that is not down about failing VMs and the given ones."""
        message = ListFailures(tuple(sorted(vms)[:MAX_FAILING]))
        peers = [m.name for m in self.mesh.members() if m.state is not MemberState.DOWN]
        await asyncio.gather(*(self.ask(peer, message) for peer in peers))

    async def ask(self, peer: str, message: ListFailures) -> None:
        """Polls one entry; without an answer, its last one is used until too old."""
        try:
            found = await self.mesh.call(peer, message, Failures, CALL_TIMEOUT_S)
        except PeerError:
            return
        self.answers[peer] = Answer(found.reports, self.clock.now())

    def fresh(self) -> bool:
        """Returns whether the last poll is at most `MAX_ANSWER_AGE_S` old."""
        return self.clock.now() - self.asked_s <= MAX_ANSWER_AGE_S

    def failing(self, listings: Mapping[str, VmListing]) -> dict[str, float]:
        """Returns for how many seconds VMs have failed for most entries.

        Args:
            listings: VMs as listed; reports on another boot are ignored.
        """
        limit_s = self.clock.now() - MAX_ANSWER_AGE_S
        reports: dict[str, list[EndpointReport]] = {}
        for answer in self.answers.values():
            if answer.heard_s < limit_s:
                continue
            for report in answer.reports:
                listing = listings.get(report.vm)
                if listing is not None and listing.boot_id == report.boot_id:
                    reports.setdefault(report.vm, []).append(report)
        seconds = {vm: failing_s(found) for vm, found in reports.items()}
        return {vm: value for vm, value in seconds.items() if value}


def failing_s(reports: Sequence[EndpointReport]) -> float:
    """Returns for how long a VM has failed for most entries that use it.

    An entry counts if its last attempt is at most `RECENT_ATTEMPT_S` older than
    the newest of all. A success counts against failures that began before it.

    Args:
        reports: The report of each entry on the VM.

    Returns:
        Seconds; zero if the VM works for at least as many entries as it fails for.
    """
    newest_s = min(report.age_s for report in reports)
    recent = [r for r in reports if r.age_s <= newest_s + RECENT_ATTEMPT_S]
    lengths = sorted({r.failing_s for r in recent if r.failing_s}, reverse=True)
    for length_s in lengths:
        failing = sum(r.failing_s >= length_s for r in recent)
        working = sum(not r.failing_s and r.age_s < length_s for r in recent)
        if failing > working:
            return length_s
    return 0.0
