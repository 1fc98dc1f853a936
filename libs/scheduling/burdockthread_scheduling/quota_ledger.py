"""What the allocator of quotas knows: the limits that pools may be using."""

from collections.abc import Collection, Mapping
from operator import lt
from typing import NamedTuple

from burdockthread_scheduling.organisations import (
    UNLIMITED,
    Organisations,
    Quota,
)
from burdockthread_scheduling.quota_division import divide, effective_quota
from burdockthread_scheduling.quota_messages import OrganisationUse, QuotaReport
from burdockthread_scheduling.workers import Capacity

NO_USE = OrganisationUse(Capacity())
# Runs of a pool that is no longer wanted have ended long before: the longest lease of a
# run and the time for which a holder goes on without its lease are 18 s together.
FORGET_S = 30.0
# A pool whose limit has been too low for a task for this time is served before others.
# Where limits are only on their way, the next reports change them before.
SHORT_S = 0.5


class PoolUse(NamedTuple):
    """The last report of a pool, and the limits that its holder may have got since.

    Attributes:
        report: The report.
        received_s: Clock time at which it was received.
        granted: Limits by organisation.
        short_s: Clock time since which its limit has been too low for its largest
            waiting task, by organisation.
    """

    report: QuotaReport
    received_s: float
    granted: dict[str, Capacity]
    short_s: dict[str, float]


class QuotaLedger:
    """Grants limits to pools so that their sum stays within each quota.

    A limit counts as granted from before it is sent until the holder reports a lower
    one, so that lost and late answers leave the sum too high, never too low.

    Attributes:
        pools: Pools that have reported to this allocator.
    """

    def __init__(self) -> None:
        self.pools: dict[str, PoolUse] = {}

    def note(self, report: QuotaReport, now: float) -> bool:
        """Records a report; returns False if a newer one is known."""
        known = self.pools.get(report.pool)
        order = (report.fence, report.number)
        if known is not None and order <= (known.report.fence, known.report.number):
            return False
        granted = {
            name: Capacity(*map(max, use.limit, use.used))
            for name, use in report.uses.items()
        }
        before = {} if known is None else known.short_s
        short_s = {
            name: before.get(name, now)
            for name, use in report.uses.items()
            if any(map(lt, use.limit, use.largest))
        }
        self.pools[report.pool] = PoolUse(report, now, granted, short_s)
        return True

    def forget(self, wanted: Collection[str], now: float) -> None:
        """Removes pools that are not wanted and have been silent for `FORGET_S`."""
        for pool, use in tuple(self.pools.items()):
            if pool not in wanted and now - use.received_s > FORGET_S:
                del self.pools[pool]

    def limits(
        self, pool: str, organisations: Organisations, *, complete: bool
    ) -> dict[str, Capacity]:
        """Returns the limits of a pool that has reported, and records them as granted.

        Args:
            pool: The pool.
            organisations: Organisations with their quotas.
            complete: Whether all pools with runs have reported; else no limit is
                raised.
        """
        return {
            name: self.grant(pool, name, organisation.quota, complete=complete)
            for name, organisation in organisations.by_name.items()
            if organisation.quota.is_limited()
        }

    def grant(self, pool: str, name: str, quota: Quota, *, complete: bool) -> Capacity:
        """Returns the limit of an organisation in a pool, and records it as granted."""
        uses = self.uses(name)
        own = self.pools[pool].granted
        current = own.get(name, Capacity())
        others = [
            other.granted.get(name, Capacity())
            for key, other in self.pools.items()
            if key != pool
        ]
        taken = [sum(amounts) for amounts in zip(Capacity(), *others, strict=True)]
        if any(map(lt, quota, uses[pool].largest)):
            elsewhere = [use.waiting for key, use in uses.items() if key != pool]
            asked = (sum(amounts) for amounts in zip(taken, *elsewhere, strict=True))
            quota = effective_quota(quota, uses[pool], asked)
        target = divide(quota, uses, self.short(name, quota))[pool]
        # What a resource without a bound counts as granted elsewhere takes nothing.
        free = [
            total if total >= UNLIMITED else max(total - used, 0)
            for total, used in zip(quota, taken, strict=True)
        ]
        limit = Capacity(*map(min, target, free if complete else current))
        own[name] = Capacity(*map(max, current, limit))
        return limit

    def short(self, name: str, quota: Quota) -> list[str]:
        """Returns the pools whose limit is too low for a task, the longest so first.

        A task larger than the quota is left out: it would keep all others waiting.
        """
        now = max(use.received_s for use in self.pools.values())
        found = [
            (use.short_s[name], pool)
            for pool, use in self.pools.items()
            if now - use.short_s.get(name, now) >= SHORT_S
            and not any(map(lt, quota, use.report.uses[name].largest))
        ]
        return [pool for _, pool in sorted(found)]

    def uses(self, name: str) -> Mapping[str, OrganisationUse]:
        """Returns the use of an organisation by pool."""
        return {
            pool: use.report.uses.get(name, NO_USE) for pool, use in self.pools.items()
        }
