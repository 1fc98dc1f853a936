"""The duties that an entry wants, and their messages to and from other entries."""

import asyncio
from collections.abc import Awaitable, Callable, Mapping
from functools import partial

from burdockthread_model.errors import PeerUnavailableError
from burdockthread_scheduling.duties import Duties
from burdockthread_scheduling.duty import DutyFactory, DutyOffer, Tenure
from burdockthread_scheduling.entry_link import HttpEntryLink
from burdockthread_scheduling.entry_weight import entry_weight
from burdockthread_scheduling.machine_planner import (
    MachinePlanner,
    MachineTimes,
    PlannerParts,
)
from burdockthread_scheduling.machines import MachineControl
from burdockthread_scheduling.pool_core import PoolParts
from burdockthread_scheduling.pool_scheduler import PoolScheduler
from burdockthread_scheduling.pool_status import (
    PlannerAnswer,
    PoolStatus,
    ReleaseAnswer,
    ReleaseOrder,
)
from burdockthread_scheduling.quota_allocator import QuotaAllocator, ReportingPools
from burdockthread_scheduling.quota_messages import QuotaAnswer, QuotaReport
from burdockthread_scheduling.request_relay import (
    CallerAnswer,
    CallerRequest,
)

from burdockthread.platform_parts import EntryParts

POOL_DUTY = "pool:"
MACHINES_DUTY = "machines"
QUOTAS_DUTY = "quotas"


class DutyWiring:
    """Builds the duties of this entry and connects them with those of others.

    Attributes:
        parts: Parts of the entry.
        link: Calls to and from other entries.
        duties: Duties that this entry holds.
        allocator_fence: Highest fencing token of an allocator of quotas that pools
            held here have reported to.
        reporting_pools: Pools whose holders have to report to the allocator.
    """

    def __init__(
        self,
        parts: EntryParts,
        on_request: Callable[[CallerRequest], Awaitable[CallerAnswer]],
    ) -> None:
        self.parts = parts
        settings = parts.settings
        self.link = HttpEntryLink(
            parts.calls,
            self.on_status,
            self.on_release,
            self.on_offer,
            on_request,
            self.on_quota,
        )
        self.duties = Duties(
            settings.name,
            str(parts.address),
            settings.availability_zone,
            entry_weight(settings.cores, settings.link_bytes_per_s),
            parts.store,
            parts.cluster_cache,
            parts.clock,
            parts.metrics,
            parts.log,
            self.wanted_duties,
            self.link.offer,
            parts.load.hindered_s,
        )
        self.allocator_fence = -1
        self.reporting_pools = ReportingPools(parts.clock)

    def on_status(self, status: PoolStatus) -> PlannerAnswer | None:
        """Passes the status of a pool to the machine planner.

        Returns None if this entry does not run the planner.
        """
        planner = self.duties.held_duty(MACHINES_DUTY)
        if isinstance(planner, MachinePlanner):
            return planner.on_status(status)
        return None

    def on_release(self, order: ReleaseOrder) -> ReleaseAnswer:
        """Releases a pool that another entry has taken over."""
        self.duties.release(POOL_DUTY + order.pool, order.fence)
        return ReleaseAnswer(self.parts.process)

    async def on_offer(self, offer: DutyOffer) -> bool:
        """Takes over a duty that another entry offers; returns whether it did."""
        return await self.duties.accept_offer(offer)

    async def ask_release(self, address: str, pool: str, fence: int) -> str:
        """Asks an earlier holder to release a pool; returns the id of its process."""
        answer = await self.link.release(address, ReleaseOrder(pool, fence))
        return answer.process

    async def report_status(self, status: PoolStatus) -> PlannerAnswer | None:
        """Reports the status of a pool held here to the machine planner.

        Returns None if no other entry holds the planner or if it is unavailable.
        """
        answer = self.on_status(status)
        if answer is not None:
            return answer
        address = self.duties.directory.holder_address(MACHINES_DUTY)
        if not address or address == str(self.parts.address):
            return None
        try:
            return await self.link.report(address, status)
        except PeerUnavailableError as error:
            self.parts.metrics.count("link.reports_failed")
            self.parts.log.info("planner_not_reached", address=address, reason=error)
            return None

    def on_quota(self, report: QuotaReport) -> QuotaAnswer | None:
        """Passes a report on quotas to the allocator.

        Returns None if this entry does not run the allocator.
        """
        allocator = self.duties.held_duty(QUOTAS_DUTY)
        if isinstance(allocator, QuotaAllocator):
            return allocator.on_report(report)
        return None

    async def report_quota(self, report: QuotaReport) -> QuotaAnswer | None:
        """Reports the use of quotas in a pool held here to the allocator.

        Nothing is reported to an earlier allocator than before: the later one may
        divide what the earlier one would grant.

        Returns None if no entry holds the allocator or if it is unavailable.
        """
        directory = self.duties.directory
        fence = directory.holder_fence(QUOTAS_DUTY)
        address = directory.holder_address(QUOTAS_DUTY)
        is_own = directory.is_holder(QUOTAS_DUTY)
        if not (address or is_own) or fence < self.allocator_fence:
            return None
        self.allocator_fence = fence
        report = report._replace(allocator=fence)
        if is_own:
            return self.on_quota(report)
        try:
            return await self.link.report_quota(address, report)
        except PeerUnavailableError as error:
            self.parts.metrics.count("link.quota_reports_failed")
            self.parts.log.info("allocator_not_reached", address=address, reason=error)
            return None

    def wanted_pools(self) -> set[str]:
        """Returns the pools that need a holder: with a queue, or with open jobs.

        Accepted jobs are run even if their queue has been deleted.
        """
        configuration = self.parts.current_configuration()
        open_pools = self.parts.job_index.open_pools() & configuration.pools.keys()
        return open_pools.union(configuration.worker_pools())

    def held_pools(self) -> set[str]:
        """Returns the pools that need a holder, or may have one with runs."""
        owned = {
            duty.removeprefix(POOL_DUTY)
            for duty in self.duties.directory.owners
            if duty.startswith(POOL_DUTY)
        }
        return self.reporting_pools.found(self.wanted_pools(), owned)

    def wanted_duties(self) -> Mapping[str, DutyFactory]:
        """Returns the duties that the configuration and the open jobs require."""
        pools = sorted(self.wanted_pools())
        self.reporting_pools.note(pools)
        duties: dict[str, DutyFactory] = {
            POOL_DUTY + pool: partial(self.pool_duty, pool) for pool in pools
        }
        if pools and self.parts.machines is not None:
            duties[MACHINES_DUTY] = partial(self.machines_duty, self.parts.machines)
        if pools and self.parts.current_configuration().organisations.has_quotas():
            duties[QUOTAS_DUTY] = self.quotas_duty
        return duties

    def quotas_duty(self, tenure: Tenure) -> QuotaAllocator:
        """Builds the allocator of quotas for a tenure of that duty."""
        return QuotaAllocator(
            tenure,
            self.parts.current_configuration,
            self.held_pools,
            self.parts.clock,
            self.parts.metrics,
            self.parts.log,
        )

    def machines_duty(self, control: MachineControl, tenure: Tenure) -> MachinePlanner:
        """Builds the machine planner for a tenure of that duty."""
        settings = self.parts.settings
        parts = PlannerParts(
            entry=settings.name,
            store=self.parts.store,
            control=control,
            waves=self.parts.waves,
            lease=self.duties.lease,
            configuration=self.parts.current_configuration,
            times=MachineTimes(
                settings.move_s, settings.upkeep_s, settings.order_spacing_s
            ),
            clock=self.parts.clock,
            metrics=self.parts.metrics,
            log=self.parts.log,
        )
        return MachinePlanner(tenure, parts)

    def pool_duty(self, pool: str, tenure: Tenure) -> PoolScheduler:
        """Builds the scheduler of a pool for a tenure of that duty."""
        parts = PoolParts(
            entry=self.parts.settings.name,
            address=str(self.parts.address),
            process=self.parts.process,
            store=self.parts.store,
            jobs=self.parts.job_index,
            roster=self.parts.roster,
            gateway=self.parts.gateway,
            policy=self.parts.policy,
            configuration=self.parts.current_configuration,
            clock=self.parts.clock,
            metrics=self.parts.metrics,
            log=self.parts.log,
            report=self.report_status,
            release=self.ask_release,
            stop_s=self.parts.settings.run_stop_s,
            report_quota=self.report_quota,
            max_lease_s=self.parts.settings.max_lease_s,
        )
        return PoolScheduler(pool, tenure, parts)

    async def follow_registrations(self) -> None:
        """Watches the workers' registrations while this entry holds a duty."""
        while True:
            await self.duties.holding.wait()
            following = asyncio.create_task(self.parts.registration_cache.run())
            try:
                await self.duties.idle.wait()
            finally:
                following.cancel()
