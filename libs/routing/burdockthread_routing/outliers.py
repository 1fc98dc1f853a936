"""Ejection of endpoints that fail, with probation."""

from collections.abc import Sequence

from burdockthread_model.clock import Clock

from burdockthread_routing.endpoint_client import Endpoint

FAILURES_TO_EJECT = 5
EJECTION_FIRST_S = 5.0
EJECTION_MAX_S = 60.0
MAX_EJECTED_FRACTION = 0.34


class EndpointHealth:
    """What this entry saw of one endpoint.

    Attributes:
        failures: Failed attempts since the last success.
        ejections: Ejections since the last success.
        ejected_until_s: Clock time of the end of the ejection; after it the
            endpoint is on probation until an attempt succeeds.
    """

    def __init__(self) -> None:
        self.failures = 0
        self.ejections = 0
        self.ejected_until_s = 0.0


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
        return True

    def on_probation(self, vm: str) -> bool:
        """Returns whether an endpoint may get one attempt at a time only."""
        health = self.health.get(vm)
        return health is not None and health.ejections > 0

    def allowed(self, endpoints: Sequence[Endpoint]) -> Sequence[Endpoint]:
        """Leaves ejected endpoints out, up to a fraction of all.

        Args:
            endpoints: Endpoints of one service.

        Returns:
            The endpoints that may be chosen. When more are ejected than the
            fraction allows, the fault is not one of single endpoints, and
            those whose ejection ends first are kept.
        """
        if not self.health:
            return endpoints
        ejected = [e for e in endpoints if self.is_ejected(e.vm)]
        if not ejected:
            return endpoints
        most = int(len(endpoints) * MAX_EJECTED_FRACTION)
        if len(ejected) > most:
            ejected.sort(key=lambda e: self.health[e.vm].ejected_until_s, reverse=True)
        left_out = {e.vm for e in ejected[:most]}
        return [e for e in endpoints if e.vm not in left_out]

    def is_ejected(self, vm: str) -> bool:
        """Returns whether an endpoint is ejected now."""
        health = self.health.get(vm)
        return health is not None and health.ejected_until_s > self.clock.now()

    def forget(self, known: Sequence[str]) -> None:
        """Drops all VMs but the known ones."""
        for vm in set(self.health) - set(known):
            del self.health[vm]
