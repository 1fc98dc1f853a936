"""Outlier detection: ejects failing endpoints and probes them afterwards."""

from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from burdockthread_model.clock import Clock
from burdockthread_model.vm import VmListing

from burdockthread_routing.endpoint_client import Endpoint

FAILURES_TO_EJECT = 5
EJECTION_FIRST_S = 5.0
EJECTION_MAX_S = 60.0
PROBE_INTERVAL_S = 1.0
MAX_EJECTED_FRACTION = 0.34


class EndpointHealth:
    """Failures and ejections of one endpoint, as seen by this entry.

    Attributes:
        failures: Failed attempts since the last success.
        ejections: Ejections since the last success.
        failing_since_s: Clock time of the first of these ejections.
        ejected_until_s: Clock time of the end of the ejection; afterwards the
            endpoint is on probation until an attempt succeeds.
        next_probe_s: Clock time from which the endpoint may get one attempt.
    """

    def __init__(self) -> None:
        self.failures = 0
        self.ejections = 0
        self.failing_since_s = 0.0
        self.ejected_until_s = 0.0
        self.next_probe_s = 0.0


class EndpointReport(NamedTuple):
    """One entry's observation of the endpoint of a VM.

    Attributes:
        vm: Name of the VM.
        boot_id: Boot id of the VM at that time.
        failing_s: Seconds since the first ejection; zero if the last attempt
            succeeded.
        age_s: Seconds since the last attempt ended.
    """

    vm: str
    boot_id: str
    failing_s: float
    age_s: float


class OutlierDetector:
    """Ejects endpoints that fail repeatedly.

    Attributes:
        health: Endpoints with failures since their last success, by VM.
        last_attempt_s: Clock time at which the last attempt ended, by VM.
        listings: VMs as the platform last listed them, by VM.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.health: dict[str, EndpointHealth] = {}
        self.last_attempt_s: dict[str, float] = {}
        self.listings: Mapping[str, VmListing] = {}

    def succeeded(self, vm: str) -> None:
        """Records a successful attempt, which ends ejection and probation."""
        self.last_attempt_s[vm] = self.clock.now()
        self.health.pop(vm, None)

    def failed(self, vm: str) -> bool:
        """Records a failed attempt.

        Returns:
            Whether this failure ejects the endpoint.
        """
        self.last_attempt_s[vm] = self.clock.now()
        health = self.health.setdefault(vm, EndpointHealth())
        health.failures += 1
        if health.ejected_until_s > self.clock.now():
            return False
        if health.failures < FAILURES_TO_EJECT and not health.ejections:
            return False
        if not health.ejections:
            health.failing_since_s = self.clock.now()
        length_s = min(EJECTION_FIRST_S * 2.0**health.ejections, EJECTION_MAX_S)
        health.ejections += 1
        health.ejected_until_s = self.clock.now() + length_s
        health.next_probe_s = health.ejected_until_s
        return True

    def allowed(self, endpoints: Sequence[Endpoint]) -> Sequence[Endpoint]:
        """Leaves out endpoints that are ejected or whose next probe is not due.

        Args:
            endpoints: Endpoints of one service.

        Returns:
            The endpoints that may be chosen. If more than
            `MAX_EJECTED_FRACTION` of them fail, the fault does not lie in
            single endpoints: at most that fraction is left out, and the others
            get attempts without limit.
        """
        if not self.health:
            return endpoints
        failing = [e for e in endpoints if self.is_failing(e.vm)]
        most = int(len(endpoints) * MAX_EJECTED_FRACTION)
        if len(failing) > most:
            failing = [e for e in failing if self.is_ejected(e.vm)]
            failing.sort(key=lambda e: self.health[e.vm].ejected_until_s, reverse=True)
            failing = failing[:most]
        else:
            failing = [e for e in failing if not self.may_probe(e.vm)]
        left_out = {e.vm for e in failing}
        return [e for e in endpoints if e.vm not in left_out]

    def is_failing(self, vm: str) -> bool:
        """Returns whether an endpoint is ejected or on probation."""
        health = self.health.get(vm)
        return health is not None and health.ejections > 0

    def may_probe(self, vm: str) -> bool:
        """Returns whether an endpoint on probation may get an attempt now."""
        return self.health[vm].next_probe_s <= self.clock.now()

    def attempt_started(self, vm: str) -> None:
        """Records that an endpoint gets an attempt; on probation, this is a probe."""
        if self.is_failing(vm):
            self.health[vm].next_probe_s = self.clock.now() + PROBE_INTERVAL_S

    def is_ejected(self, vm: str) -> bool:
        """Returns whether an endpoint is ejected now."""
        health = self.health.get(vm)
        return health is not None and health.ejected_until_s > self.clock.now()

    def update_listings(self, listings: Mapping[str, VmListing]) -> None:
        """Replaces the list; drops the state of VMs that are gone or have rebooted.

        Args:
            listings: VMs as listed now; each reading must be a new mapping.
        """
        if listings is self.listings:
            return
        before, self.listings = self.listings, listings
        for vm in list(self.last_attempt_s):
            known = before.get(vm)
            if vm not in listings or (known and known.boot_id != self.boot_of(vm)):
                self.health.pop(vm, None)
                del self.last_attempt_s[vm]

    def boot_of(self, vm: str) -> str:
        """Returns the listed boot id of a VM, or an empty string."""
        listing = self.listings.get(vm)
        return "" if listing is None else listing.boot_id

    def failing(self) -> list[str]:
        """Returns the VMs that are ejected or on probation."""
        return [vm for vm in self.health if self.is_failing(vm)]

    def reports(self, vms: Iterable[str]) -> list[EndpointReport]:
        """Returns the observations of the given VMs.

        VMs without any attempt, and those with too few failures for an
        ejection, are left out.
        """
        seen = [vm for vm in vms if vm in self.last_attempt_s]
        return [self.report(vm) for vm in seen if self.is_conclusive(vm)]

    def is_conclusive(self, vm: str) -> bool:
        """Returns whether an endpoint has no failures or was ejected."""
        return vm not in self.health or self.is_failing(vm)

    def report(self, vm: str) -> EndpointReport:
        """Returns the observation of one VM."""
        now = self.clock.now()
        failing_s = 0.0
        if self.is_failing(vm):
            failing_s = now - self.health[vm].failing_since_s
        age_s = now - self.last_attempt_s[vm]
        return EndpointReport(vm, self.boot_of(vm), failing_s, age_s)
