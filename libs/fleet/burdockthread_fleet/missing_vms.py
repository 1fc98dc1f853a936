"""Tracks for how long VMs have been missing from the platform's list."""

from collections.abc import Mapping

from burdockthread_model.clock import Clock
from burdockthread_model.vm import VmListing, VmRecord, VmState, VmStatus

LOST_AFTER_S = 300.0
NEEDED_LOST_AFTER_S = 30.0
MAX_LIST_AGE_S = 10.0
MAX_MISSING_SHARE = 0.5


class MissingVms:
    """Notes since when each recorded VM has been missing.

    A list that is old, or that lacks most VMs at once, says nothing about
    any of them.

    Attributes:
        since_s: Clock time at which each missing VM was first missed.
        listed_s: Clock time at which the list was last read.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.since_s: dict[str, float] = {}
        self.listed_s = float("-inf")
        self.last: Mapping[str, VmListing] | None = None

    def update(
        self, listings: Mapping[str, VmListing], records: Mapping[str, VmRecord]
    ) -> None:
        """Takes in the list as last read; every reading is a new mapping."""
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
        """Returns whether the list is recent enough to decide by."""
        return bool(self.last) and self.clock.now() - self.listed_s <= MAX_LIST_AGE_S

    def missing_for(self, seconds: float) -> frozenset[str]:
        """Returns the VMs missing for at least a time; none while the list is old."""
        if not self.fresh():
            return frozenset()
        limit_s = self.clock.now() - seconds
        return frozenset(n for n, since_s in self.since_s.items() if since_s <= limit_s)


def is_missing(listings: Mapping[str, VmListing], record: VmRecord) -> bool:
    """Returns whether a VM that should serve is not listed as live."""
    listing = listings.get(record.name)
    if listing is None:
        return True
    return record.state is VmState.SERVING and listing.status is not VmStatus.LIVE
