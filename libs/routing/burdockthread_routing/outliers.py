"""Ejection of endpoints that fail, with probation."""

from collections.abc import Container, Sequence

from burdockthread_model.clock import Clock

from burdockthread_routing.endpoint_client import Endpoint

FAILURES_TO_EJECT = 5
EJECTION_FIRST_S = 5.0
EJECTION_MAX_S = 60.0
PROBE_INTERVAL_S = 1.0
MAX_EJECTED_FRACTION = 0.34


class EndpointHealth:
    """What this entry saw of one endpoint.

    Attributes:
        failures: Failed attempts since the last success.
        ejections: Ejections since the last success.
        ejected_until_s: Clock time of the end of the ejection; after it the
            endpoint is on probation until an attempt succeeds.
        next_probe_s: Clock time from which it may get one attempt again.
    """

    def __init__(self) -> None:
        self.failures = 0
        self.ejections = 0
        self.ejected_until_s = 0.0
        self.next_probe_s = 0.0


class OutlierDetector:
    """Leaves endpoints out that fail again and again.

    Attributes:
        health: Endpoints with failures since their last success, by VM.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.health: dict[str, EndpointHealth] = {}

    def succeeded(self, vm: str) -> None:
        """Notes a successful attempt, which ends ejection and probation."""
        self.health.pop(vm, None)

    def failed(self, vm: str) -> bool:
        """Notes a failed attempt.

        Returns:
            Whether the endpoint is ejected because of it.
        """
        health = self.health.setdefault(vm, EndpointHealth())
        health.failures += 1
        if health.ejected_until_s > self.clock.now():
            return False
        if health.failures < FAILURES_TO_EJECT and not health.ejections:
            return False
        length_s = min(EJECTION_FIRST_S * 2.0**health.ejections, EJECTION_MAX_S)
        health.ejections += 1
        health.ejected_until_s = self.clock.now() + length_s
        health.next_probe_s = health.ejected_until_s
        return True

    def allowed(self, endpoints: Sequence[Endpoint]) -> Sequence[Endpoint]:
        """Leaves endpoints out that are ejected or were probed just now.

        Args:
            endpoints: Endpoints of one service.

        Returns:
            The endpoints that may be chosen. When more fail than the fraction
            allows, the fault is not one of single endpoints: only as many as
            it allows stay out, and the others are not limited.
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

    def taken(self, vm: str) -> None:
        """Notes that an endpoint gets an attempt, a probe if on probation."""
        if self.is_failing(vm):
            self.health[vm].next_probe_s = self.clock.now() + PROBE_INTERVAL_S

    def is_ejected(self, vm: str) -> bool:
        """Returns whether an endpoint is ejected now."""
        health = self.health.get(vm)
        return health is not None and health.ejected_until_s > self.clock.now()

    def forget(self, known: Container[str]) -> None:
        """Drops all VMs but the known ones."""
        for vm in [vm for vm in self.health if vm not in known]:
            del self.health[vm]
