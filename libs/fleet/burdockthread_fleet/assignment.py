"""Decides which VM belongs to which pool."""

from collections import Counter
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from burdockthread_model.intended import PoolSpec
from burdockthread_model.vm import VmListing, VmRecord, VmStatus


class Assignment(NamedTuple):
    """A VM that enters a pool for the first time."""

    vm: str
    pool: str


def assign_new_vms(
    pools: Iterable[PoolSpec],
    listings: Mapping[str, VmListing],
    records: Mapping[str, VmRecord],
) -> list[Assignment]:
    """Gives VMs without a record to the pools that lack some.

    VMs of one pool are spread over availability zones and racks.

    Args:
        pools: Pools as intended.
        listings: VMs that the platform lists.
        records: VM records.

    Returns:
        Assignments, at most one for each VM.
    """
    free = {
        name: listing
        for name, listing in listings.items()
        if name not in records and listing.status is VmStatus.LIVE
    }
    sizes = Counter(record.pool for record in records.values())
    placed = {
        name: (listing.availability_zone, listing.rack, records[name].pool)
        for name, listing in listings.items()
        if name in records
    }
    assignments: list[Assignment] = []
    for pool in sorted(pools, key=lambda p: (p.spare, p.name)):
        for _ in range(pool.vms - sizes[pool.name]):
            allowed = {n: v for n, v in free.items() if may_hold(pool, v)}
            if not allowed:
                break
            name = most_spread(pool.name, allowed, placed)
            listing = free.pop(name)
            placed[name] = (listing.availability_zone, listing.rack, pool.name)
            assignments.append(Assignment(name, pool.name))
    return assignments


def may_hold(pool: PoolSpec, listing: VmListing) -> bool:
    """Returns whether a VM is in an availability zone that its pool may use."""
    return not pool.zones or listing.availability_zone in pool.zones


def most_spread(
    pool: str,
    free: Mapping[str, VmListing],
    placed: Mapping[str, tuple[str, str, str]],
) -> str:
    """Returns the free VM that shares its zone and rack with fewest of a pool."""
    zones = Counter(zone for zone, _, owner in placed.values() if owner == pool)
    racks = Counter((zone, rack) for zone, rack, p in placed.values() if p == pool)

    def cost(name: str) -> tuple[int, int, str]:
        listing = free[name]
        zone = listing.availability_zone
        return zones[zone], racks[zone, listing.rack], name

    return min(free, key=cost)
