"""Tracks for how long VMs have been missing from the platform's list."""

from collections.abc import Mapping

from burdockthread_model.clock import Clock
from burdockthread_model.vm import VmListing, VmRecord, VmState, VmStatus

LOST_AFTER_S = 300.0
URGENT_LOST_AFTER_S = 30.0
MAX_LIST_AGE_S = 10.0
MAX_MISSING_SHARE = 0.5


class MissingVms:
    """Tracks since when each recorded VM has been missing.

    An old list, or one that lacks most VMs at once, is not used: it points to a
    fault of the list rather than of the VMs.

    Attributes:
        since_s: Clock time at which each missing VM was first found missing.
        listed_s: Clock time of the last new list.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.since_s: dict[str, float] = {}
        self.listed_s = float("-inf")
        self.last: Mapping[str, VmListing] | None = None

    def update(
        self, listings: Mapping[str, VmListing], records: Mapping[str, VmRecord]
    ) -> None:
        """Updates the missing VMs from the list as last read.

        Each reading has to be a new mapping; passing the same mapping again does
        not make the list newer.
        """
        now = self.clock.now()
        if listings is not self.last:
            self.last = listings
            self.listed_s = now
        if not self.fresh():
            return
        missing = [n for n, record in records.items() if is_missing(listings, record)]
        if len(missing) > MAX_MISSING_SHARE * len(records):
            return
        self.since_s = {name: self.since_s.get(name, now) for name in missing}

    def fresh(self) -> bool:
        """Returns whether the list is not empty and at most `MAX_LIST_AGE_S` old."""
        return bool(self.last) and self.clock.now() - self.listed_s <= MAX_LIST_AGE_S

    def missing_for(self, seconds: float) -> frozenset[str]:
        """Returns the VMs missing for at least `seconds`; none if the list is old."""
        if not self.fresh():
            return frozenset()
        limit_s = self.clock.now() - seconds
        return frozenset(n for n, since_s in self.since_s.items() if since_s <= limit_s)


def is_missing(listings: Mapping[str, VmListing], record: VmRecord) -> bool:
    """Returns whether a VM is not listed, or should serve but is not live."""
    listing = listings.get(record.name)
    if listing is None:
        return True
    return record.state is VmState.SERVING and listing.status is not VmStatus.LIVE
