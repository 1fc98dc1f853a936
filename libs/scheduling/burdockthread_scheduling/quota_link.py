"""Reports the use of quotas to the allocator and applies its answers."""

from contextlib import suppress

from burdockthread_scheduling.pool_core import PoolCore
from burdockthread_scheduling.quota_share import QuotaShare

# An idle limit is asked back within this time.
REPORT_INTERVAL_S = 0.2
# Least time between two reports while tasks wait for a higher limit.
BLOCKED_INTERVAL_S = 0.05


class QuotaLink:
    """Exchanges reports and limits with the allocator, one at a time."""

    def __init__(self, core: PoolCore, share: QuotaShare) -> None:
        self.core = core
        self.clock = core.clock
        self.share = share

    async def run(self) -> None:
        """Reports until cancelled; pauses while no organisation has a quota."""
        while True:
            self.share.blocked.clear()
            if self.share.is_needed():
                answer = await self.core.parts.report_quota(self.share.report())
                if answer is not None:
                    self.share.apply(answer)
            await self.clock.sleep(BLOCKED_INTERVAL_S)
            with suppress(TimeoutError):
                async with self.clock.timeout(REPORT_INTERVAL_S - BLOCKED_INTERVAL_S):
                    await self.share.blocked.wait()
