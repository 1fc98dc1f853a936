"""Chooses the endpoint for an attempt."""

import random
from collections import Counter
from collections.abc import Collection, Sequence

from burdockthread_peers.permits import SlotPermits

from burdockthread_routing.endpoint_client import Endpoint


class EndpointChooser:
    """Own availability zone first, then the less loaded of two choices.

    Attributes:
        availability_zone: Availability zone of this entry.
        permits: Slots that this entry may use.
        outstanding: Requests in flight from this entry, by VM.
    """

    def __init__(
        self, availability_zone: str, permits: SlotPermits, seed: int | None = None
    ) -> None:
        self.availability_zone = availability_zone
        self.permits = permits
        self.random = random.Random(seed)
        self.outstanding: Counter[str] = Counter()

    def acquire(
        self, service: str, endpoints: Sequence[Endpoint], excluded: Collection[str]
    ) -> Endpoint | None:
        """Takes a slot at the best endpoint.

        Args:
            service: Name of the service.
            endpoints: Candidates.
            excluded: VMs that this request has already tried.

        Returns:
            The endpoint whose slot was taken, or None if there is none.
        """
        candidates = [e for e in endpoints if e.vm not in excluded]
        while candidates:
            endpoint = self.prefer(candidates)
            if self.permits.try_acquire(service, endpoint.vm):
                self.outstanding[endpoint.vm] += 1
                return endpoint
            candidates.remove(endpoint)
        return None

    def prefer(self, candidates: Sequence[Endpoint]) -> Endpoint:
        """Returns the less loaded of two random candidates, own zone first."""
        zone = self.availability_zone
        near = [e for e in candidates if e.availability_zone == zone]
        pool = near or candidates
        pair = self.random.sample(pool, min(2, len(pool)))
        return min(pair, key=lambda e: self.outstanding[e.vm])

    def release(self, service: str, endpoint: Endpoint) -> None:
        """Gives a slot back."""
        self.outstanding[endpoint.vm] -= 1
        self.permits.release(service, endpoint.vm)
