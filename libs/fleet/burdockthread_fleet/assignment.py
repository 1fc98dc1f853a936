"""Assigns VMs without a pool to pools."""

from collections import Counter, defaultdict
from collections.abc import Iterable
from typing import NamedTuple

from burdockthread_model.intended import PoolSpec
from burdockthread_model.vm import VmListing

from burdockthread_fleet.fleet_state import FleetState, PoolState

Rack = tuple[str, str]


class Assignment(NamedTuple):
    """Assignment of a free VM to a pool."""

    vm: str
    pool: str


class Spread:
    """Counts the VMs of one pool by availability zone and rack."""

    def __init__(self, listings: Iterable[VmListing]) -> None:
        self.zones: Counter[str] = Counter()
        self.racks: Counter[Rack] = Counter()
        for listing in listings:
            self.add(rack_of(listing))

    def add(self, rack: Rack) -> None:
        """Counts one more VM of a rack."""
        self.zones[rack[0]] += 1
        self.racks[rack] += 1

    def cost(self, rack: Rack) -> tuple[int, int, Rack]:
        """Returns a sort key: the rack that improves the spread most comes first."""
        return self.zones[rack[0]], self.racks[rack], rack


def rack_of(listing: VmListing) -> Rack:
    """Returns the availability zone and rack of a VM."""
    return listing.availability_zone, listing.rack


def zone_allowed(pool: PoolSpec, listing: VmListing) -> bool:
    """Returns whether a VM is in an availability zone that a pool may use."""
    return not pool.zones or listing.availability_zone in pool.zones


def spread_of(pool: PoolState) -> Spread:
    """Returns the spread of a pool's listed VMs, without those that leave it."""
    return Spread(m.listing for m in pool.members if m.listing and m.counts)


def assign_free_vms(state: FleetState) -> list[Assignment]:
    """Assigns VMs without a record to the pools that have too few.

    All pools reach their minimum before any is filled. Pools with fewer allowed
    availability zones come first, the spare pool comes last.

    Args:
        state: The fleet.

    Returns:
        Assignments, at most one for each VM.
    """
    free: dict[Rack, list[str]] = defaultdict(list)
    for name in sorted(state.free, reverse=True):
        free[rack_of(state.free[name])].append(name)
    filling = PoolFiller(free)
    order = sorted(state.pools.values(), key=fill_order)
    for pool in order:
        filling.fill(pool, pool.spec.vms - pool.spec.min_available)
    for pool in order:
        filling.fill(pool, 0)
    return filling.assignments


def fill_order(pool: PoolState) -> tuple[bool, bool, int, str]:
    """Returns a sort key: the pool to be filled first comes first."""
    spec = pool.spec
    return spec.spare, not spec.zones, len(spec.zones), spec.name


class PoolFiller:
    """Assigns free VMs to one pool after the other.

    Attributes:
        free: Names of the free VMs by rack; assigned ones are removed.
        assignments: Assignments made so far.
        assigned: Number of VMs assigned to each pool.
    """

    def __init__(self, free: dict[Rack, list[str]]) -> None:
        self.free = free
        self.assignments: list[Assignment] = []
        self.assigned: Counter[str] = Counter()
        self.spreads: dict[str, Spread] = {}

    def fill(self, pool: PoolState, allowed_deficit: int) -> None:
        """Assigns VMs to a pool until it lacks at most `allowed_deficit` VMs."""
        name = pool.spec.name
        wanted = pool.deficit - self.assigned[name] - allowed_deficit
        if wanted > 0 and name not in self.spreads:
            self.spreads[name] = spread_of(pool)
        for _ in range(wanted):
            rack = self.best_rack(pool.spec)
            if rack is None:
                return
            self.assignments.append(Assignment(self.free[rack].pop(), name))
            self.spreads[name].add(rack)
            self.assigned[name] += 1

    def best_rack(self, spec: PoolSpec) -> Rack | None:
        """Returns the allowed rack with a free VM that spreads a pool best, or None."""
        racks = [
            rack
            for rack, names in self.free.items()
            if names and (not spec.zones or rack[0] in spec.zones)
        ]
        return min(racks, key=self.spreads[spec.name].cost, default=None)
