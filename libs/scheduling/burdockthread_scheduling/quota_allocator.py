"""The duty that divides the quotas of organisations among pools."""

import asyncio
from collections.abc import Callable, Collection

from burdockthread_model.clock import Clock
from burdockthread_model.events import EventLog
from burdockthread_model.metrics import Metrics

from burdockthread_scheduling.duty import Duty, Tenure
from burdockthread_scheduling.pool_status import LINK_TIMEOUT_S
from burdockthread_scheduling.quota_ledger import FORGET_S, QuotaLedger
from burdockthread_scheduling.quota_messages import QuotaAnswer, QuotaReport
from burdockthread_scheduling.specs import FleetConfiguration

# A holder takes no answer after the time-out of its call. With so much of the lease
# left, no answer is taken after another entry may have become the allocator.
MIN_LEASE_S = LINK_TIMEOUT_S + 0.1


class ReportingPools:
    """Tells which pools have a holder that has to report.

    The record of a holder stays as long as its entry lives, also when the pool is no
    longer wanted and the entry has given it up. Such a pool counts only for as long as
    its runs may go on.

    Attributes:
        started_s: Clock time of the start of this process.
        wanted_s: Clock time at which a pool was last wanted.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.started_s = clock.now()
        self.wanted_s: dict[str, float] = {}

    def note(self, wanted: Collection[str]) -> None:
        """Records the pools that are wanted now."""
        now = self.clock.now()
        for pool, wanted_s in tuple(self.wanted_s.items()):
            if now - wanted_s > FORGET_S:
                del self.wanted_s[pool]
        self.wanted_s.update(dict.fromkeys(wanted, now))

    def found(self, wanted: Collection[str], owned: Collection[str]) -> set[str]:
        """Returns the pools that are wanted, or may still have a holder with runs.

        Args:
            wanted: Pools that need a holder.
            owned: Pools with the record of a holder.
        """
        now = self.clock.now()
        return {
            pool
            for pool in {*wanted, *owned}
            if pool in wanted
            or now - self.wanted_s.get(pool, self.started_s) <= FORGET_S
        }


class QuotaAllocator(Duty):
    """Answers the reports of holders with the limits of their pools.

    It keeps nothing in the store. A new allocator learns the limits of its predecessor
    from the holders, and raises none before it knows all of them. By then its
    predecessor has stopped answering.

    Attributes:
        ledger: Limits that pools may be using.
        configuration: Returns the configuration in force.
        wanted: Returns the pools whose holders have to report.
        missing: Pools that have not reported yet, as last logged.
        idle: Whether the duty is paused or handed over; reports are not answered.
    """

    def __init__(
        self,
        tenure: Tenure,
        configuration: Callable[[], FleetConfiguration],
        wanted: Callable[[], Collection[str]],
        clock: Clock,
        metrics: Metrics,
        log: EventLog,
    ) -> None:
        self.tenure = tenure
        self.configuration = configuration
        self.wanted = wanted
        self.clock = clock
        self.metrics = metrics
        self.log = log
        self.ledger = QuotaLedger()
        self.missing: frozenset[str] | None = None
        self.idle = False

    async def run(self) -> None:
        """Waits until cancelled; the work is done in `on_report`."""
        self.log.info("quotas_taken_over", fence=self.tenure.fence)
        await asyncio.Event().wait()

    def on_report(self, report: QuotaReport) -> QuotaAnswer | None:
        """Returns the limits of a pool; None if there is no answer to the report."""
        if self.idle or self.tenure.lease_left_s() < MIN_LEASE_S:
            return None
        now = self.clock.now()
        if report.allocator != self.tenure.fence or not self.ledger.note(report, now):
            self.metrics.count("quotas.reports_old")
            return None
        wanted = self.wanted()
        self.ledger.forget(wanted, now)
        complete = self.is_complete(wanted)
        organisations = self.configuration().organisations
        limits = self.ledger.limits(report.pool, organisations, complete=complete)
        self.metrics.count("quotas.reports")
        return QuotaAnswer(self.tenure.fence, limits)

    def is_complete(self, wanted: Collection[str]) -> bool:
        """Returns whether all pools have reported; logs changes."""
        missing = frozenset(wanted) - self.ledger.pools.keys()
        if missing != self.missing:
            self.missing = missing
            self.log.info("quotas_known", missing=" ".join(sorted(missing)))
        return not missing

    async def hand_over(self) -> None:
        """Answers no more reports."""
        self.idle = True

    async def pause(self) -> bytes:
        """Answers no more reports; the successor asks the holders for their limits."""
        self.idle = True
        return b""

    def resume(self) -> None:
        """Answers reports again."""
        self.idle = False
