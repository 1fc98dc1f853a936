"""Decides which VMs that are listed as live count as failing."""

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from burdockthread_model.events import EventLog
from burdockthread_model.intended import PoolSpec
from burdockthread_model.metrics import Metrics
from burdockthread_model.vm import VmListing
from burdockthread_routing.fleet_view import FleetView

from burdockthread_fleet.budget import worst_loss
from burdockthread_fleet.failure_poller import FailurePoller
from burdockthread_fleet.fleet_state import is_available
from burdockthread_fleet.missing_vms import LOST_AFTER_S

FAILED_AFTER_S = 20.0


class PoolFailures(NamedTuple):
    """Failing VMs of one pool.

    Attributes:
        seconds: Seconds for which each VM that counts as unavailable has failed.
        failing: Number of failing VMs, including those above `max_failing`.
    """

    seconds: Mapping[str, float]
    failing: int

    @property
    def credible(self) -> bool:
        """Whether few enough VMs fail that replacing them may help.

        With more, the fault is likely one of the service and not of single VMs.
        """
        return len(self.seconds) == self.failing


class FailedVms:
    """Decides which failing VMs count as unavailable and which are replaced.

    Attributes:
        poller: Source of the reports of all entries.
        pools: Failing VMs by pool.
    """

    def __init__(self, poller: FailurePoller, metrics: Metrics, log: EventLog) -> None:
        self.poller = poller
        self.metrics = metrics
        self.log = log
        self.pools: Mapping[str, PoolFailures] = {}

    def update(self, view: FleetView) -> None:
        """Updates the failing VMs from the last reports; none while those are old."""
        before, self.pools = self.pools, {}
        if self.poller.fresh():
            self.pools = self.find(view)
            self.log_changes(before)

    def find(self, view: FleetView) -> dict[str, PoolFailures]:
        """Returns the failing VMs of the pools that have some."""
        seconds = self.poller.failing(view.listings)
        failed = {vm: s for vm, s in seconds.items() if s >= FAILED_AFTER_S}
        names = {view.records[vm].pool for vm in failed if vm in view.records}
        serving: dict[str, list[VmListing]] = {name: [] for name in names}
        for record in view.records.values() if names else ():
            listing = view.listings.get(record.name)
            if record.pool in names and is_available(view, record, listing):
                serving[record.pool] += [listing] if listing else []
        return {
            name: pool_failures(view.pools[name], found, failed)
            for name, found in serving.items()
            if name in view.pools and any(v.name in failed for v in found)
        }

    def unavailable(self) -> frozenset[str]:
        """Returns the VMs that count as unavailable."""
        return frozenset(vm for pool in self.pools.values() for vm in pool.seconds)

    def failing_for(self, seconds: float) -> frozenset[str]:
        """Returns the VMs to replace that have failed for at least `seconds`."""
        return frozenset(
            vm
            for pool in self.pools.values()
            for vm, failing_s in pool.seconds.items()
            if pool.credible and failing_s >= seconds
        )

    def log_changes(self, before: Mapping[str, PoolFailures]) -> None:
        """Logs and counts the changes since the last update."""
        old = {vm: s for pool in before.values() for vm, s in pool.seconds.items()}
        for name, pool in self.pools.items():
            for vm, failing_s in pool.seconds.items():
                self.log_vm(name, vm, failing_s, old.pop(vm, 0.0), pool.credible)
            reported = name in before and not before[name].credible
            if not pool.credible and not reported:
                self.metrics.count("planner.failures_not_believed")
                self.log.warning(
                    "vm_failures_not_believed", pool=name, failing=pool.failing
                )
        for vm in old:
            self.log.info("vm_failure_over", vm=vm)
        self.metrics.gauge("planner.vms_failing", len(self.unavailable()))

    def log_vm(
        self, pool: str, vm: str, failing_s: float, before_s: float, credible: bool
    ) -> None:
        """Logs and counts a VM that starts to fail or has become due to be replaced."""
        if not before_s:
            self.metrics.count("planner.failing")
            self.log.warning("vm_failing", vm=vm, pool=pool, seconds=round(failing_s))
        if credible and before_s < LOST_AFTER_S <= failing_s:
            self.metrics.count("planner.given_up")
            self.log.warning("vm_given_up", vm=vm, pool=pool)


def pool_failures(
    spec: PoolSpec, serving: Sequence[VmListing], failed: Mapping[str, float]
) -> PoolFailures:
    """Returns the failing VMs of a pool, the longest failing up to `max_failing`.

    Args:
        spec: Pool as intended.
        serving: VMs that serve the pool, including the failing ones.
        failed: Seconds for which VMs have failed.
    """
    found = [v.name for v in serving if v.name in failed]
    longest_first = sorted(found, key=lambda vm: (-failed[vm], vm))
    counted = longest_first[: max_failing(spec, serving)]
    return PoolFailures({vm: failed[vm] for vm in counted}, len(found))


def max_failing(spec: PoolSpec, serving: Sequence[VmListing]) -> int:
    """Returns how many VMs of a pool may count as failing at once.

    The limit is a third of the pool or, if larger, the failure domain that the
    pool survives, up to a half of the pool. If more VMs fail, the fault is not one
    of single VMs, and replacements would fail as well.
    """
    domain = min(worst_loss(serving, spec.survives), spec.vms // 2)
    return max(1, spec.vms // 3, domain)
