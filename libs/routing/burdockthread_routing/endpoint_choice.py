"""Choice of the endpoint for an attempt."""

import random
from collections import Counter
from collections.abc import Collection, Iterator, Sequence

from burdockthread_model.clock import Clock
from burdockthread_peers.permits import SlotPermits

from burdockthread_routing.endpoint_client import Endpoint
from burdockthread_routing.outliers import OutlierDetector

LOADED_FRACTION = 0.75
CONNECTIONS_PER_ENDPOINT = 64


class EndpointChooser:
    """Chooses by distance, and at equal distance the less loaded of two.

    The order of distance is the own availability zone, the own region, and the
    rest.

    Attributes:
        availability_zone: Availability zone of this entry.
        region: Region of this entry, or empty if all count as one.
        permits: Slots that this entry may use.
        connections: Maximum number of connections to one endpoint; an exchange
            above it would hold its slot while it waits for a connection.
        outliers: Detector of the failing endpoints, which are left out.
        outstanding: Slots that this entry holds, by VM.
    """

    def __init__(
        self,
        availability_zone: str,
        permits: SlotPermits,
        clock: Clock,
        region: str = "",
        seed: int | None = None,
        connections: int = CONNECTIONS_PER_ENDPOINT,
    ) -> None:
        self.availability_zone = availability_zone
        self.region = region
        self.permits = permits
        self.connections = connections
        self.outliers = OutlierDetector(clock)
        self.random = random.Random(seed)
        self.outstanding: Counter[str] = Counter()

    def acquire(
        self, service: str, endpoints: Sequence[Endpoint], avoided: Collection[str]
    ) -> Endpoint | None:
        """Takes a slot at the best endpoint.

        Args:
            service: Name of the service.
            endpoints: Candidates.
            avoided: VMs that are used only if no other has a free slot.

        Returns:
            The endpoint whose slot was taken, or None if no slot is free.
        """
        allowed = self.outliers.allowed(endpoints)
        first = [e for e in allowed if e.vm not in avoided]
        second = [e for e in allowed if e.vm in avoided]
        for candidates in (first, second):
            endpoint = self.acquire_nearest(service, candidates)
            if endpoint is not None:
                return endpoint
        return None

    def acquire_nearest(
        self, service: str, candidates: Sequence[Endpoint]
    ) -> Endpoint | None:
        """Takes a slot at the nearest candidate, in loaded groups last."""
        loaded: list[Endpoint] = []
        for group in self.group_by_distance(candidates):
            if self.is_loaded(service, group):
                loaded.extend(group)
                continue
            endpoint = self.acquire_less_loaded(service, group)
            if endpoint is not None:
                return endpoint
        return self.acquire_less_loaded(service, loaded)

    def group_by_distance(
        self, candidates: Sequence[Endpoint]
    ) -> Iterator[list[Endpoint]]:
        """Yields the candidates in the own availability zone, own region, the rest."""
        near, middle, far = [], [], []
        for endpoint in candidates:
            if endpoint.availability_zone == self.availability_zone:
                near.append(endpoint)
            elif endpoint.region == self.region:
                middle.append(endpoint)
            else:
                far.append(endpoint)
        yield from (group for group in (near, middle, far) if group)

    def is_loaded(self, service: str, group: Sequence[Endpoint]) -> bool:
        """Returns whether `LOADED_FRACTION` of a group's slots are taken."""
        taken = sum(self.outstanding[e.vm] for e in group)
        if not taken:
            return False
        limit = sum(self.permits.limit(service, e.vm) for e in group)
        return taken >= limit * LOADED_FRACTION

    def acquire_less_loaded(
        self, service: str, group: Sequence[Endpoint]
    ) -> Endpoint | None:
        """Takes a slot at the less loaded of two random endpoints with a free one."""
        left = [e for e in group if self.outstanding[e.vm] < self.connections]
        while left:
            pair = self.random.sample(left, min(2, len(left)))
            endpoint = min(pair, key=lambda e: self.outstanding[e.vm])
            if self.permits.try_acquire(service, endpoint.vm):
                self.outstanding[endpoint.vm] += 1
                self.outliers.attempt_started(endpoint.vm)
                return endpoint
            left.remove(endpoint)
        return None

    def release(self, service: str, endpoint: Endpoint) -> None:
        """Releases a slot."""
        self.outstanding[endpoint.vm] -= 1
        if not self.outstanding[endpoint.vm]:
            del self.outstanding[endpoint.vm]
        self.permits.release(service, endpoint.vm)
