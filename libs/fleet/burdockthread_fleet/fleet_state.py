"""Snapshot of the fleet, grouped by pool for the planner's decisions."""

from collections.abc import Mapping, Sequence, Set
from typing import NamedTuple

from burdockthread_model.intended import PoolSpec
from burdockthread_model.vm import VmListing, VmRecord, VmState, VmStatus
from burdockthread_routing.fleet_view import FleetView
from burdockthread_store.prefix_cache import PrefixCache
from burdockthread_store.store import KeyValue


class Member(NamedTuple):
    """A VM that has a record.

    Attributes:
        record: Record of the VM in the store.
        listing: Listing by the platform, or None if the VM is missing.
        available: Whether the VM serves its pool now.
        lost: Whether the VM has been missing or failing for so long that it has
            to be replaced.
    """

    record: VmRecord
    listing: VmListing | None
    available: bool
    lost: bool

    @property
    def counts(self) -> bool:
        """Whether the VM counts towards the size of its pool, now or soon."""
        return not (
            self.lost or self.record.state is VmState.QUARANTINED or self.leaves_pool
        )

    @property
    def leaves_pool(self) -> bool:
        """Whether the VM is moving to another pool."""
        return self.record.target_pool not in ("", self.record.pool)


class PoolState(NamedTuple):
    """A pool as intended with its VMs.

    Attributes:
        spec: Pool as intended.
        members: VMs recorded in the pool.
        deficit: Number of VMs that the pool lacks, counting VMs that move into it
            as present; negative for a surplus.
    """

    spec: PoolSpec
    members: tuple[Member, ...]
    deficit: int

    @classmethod
    def from_members(
        cls, spec: PoolSpec, members: Sequence[Member], incoming: int
    ) -> "PoolState":
        """Returns a pool into which `incoming` VMs are moving."""
        held = sum(member.counts for member in members)
        return cls(spec, tuple(members), spec.vms - held - incoming)

    def available(self) -> list[VmListing]:
        """Returns the VMs that serve now."""
        return [m.listing for m in self.members if m.available and m.listing]


class FleetState(NamedTuple):
    """State of all pools.

    Attributes:
        pools: Pools in force, by name.
        orphans: VMs whose pool is in no template.
        free: Live VMs without a record, by name.
    """

    pools: Mapping[str, PoolState]
    orphans: tuple[Member, ...]
    free: Mapping[str, VmListing]

    @classmethod
    def from_view(
        cls, view: FleetView, lost: Set[str], failed: Set[str] = frozenset()
    ) -> "FleetState":
        """Builds the state from the view of an entry.

        Args:
            view: The entry's view.
            lost: VMs that have to be replaced.
            failed: VMs that are in service but fail, and so are not available.
        """
        by_pool: dict[str, list[Member]] = {name: [] for name in view.pools}
        incoming = dict.fromkeys(view.pools, 0)
        orphans: list[Member] = []
        for name, record in view.records.items():
            member = member_of(view, record, name in lost)
            if name in failed:
                member = member._replace(available=False)
            by_pool.get(record.pool, orphans).append(member)
            if member.leaves_pool and record.target_pool in incoming:
                incoming[record.target_pool] += not member.lost
        pools = {
            name: PoolState.from_members(spec, by_pool[name], incoming[name])
            for name, spec in view.pools.items()
        }
        return cls(pools, tuple(orphans), free_vms(view))


class StateCache:
    """Caches the fleet state until one of its inputs changes.

    Attributes:
        view: The entry's view.
        changes: Number of changes of VM records so far.
        known: The cached state.
        known_by: Inputs from which the cached state was built.
    """

    def __init__(self, view: FleetView, vm_cache: PrefixCache) -> None:
        self.view = view
        self.changes = 0
        self.known: FleetState | None = None
        self.known_by: tuple[object, ...] = ()
        vm_cache.listeners.append(self.on_record)

    def on_record(self, key: str, item: KeyValue | None) -> None:
        """Counts a change of a VM record; called by the cache of records."""
        self.changes += 1

    def get(self, lost: frozenset[str], failed: frozenset[str]) -> FleetState:
        """Returns the state with the given VMs as lost and as failed."""
        view = self.view
        known_by = (
            self.changes,
            lost,
            failed,
            view.pools,
            view.leaving.copy(),
            view.listings,
        )
        if self.known is None or known_by != self.known_by:
            self.known = FleetState.from_view(view, lost, failed)
            self.known_by = known_by
        return self.known


def member_of(view: FleetView, record: VmRecord, lost: bool) -> Member:
    """Joins the record and the listing of a VM."""
    listing = view.listings.get(record.name)
    return Member(record, listing, is_available(view, record, listing), lost)


def is_available(view: FleetView, record: VmRecord, listing: VmListing | None) -> bool:
    """Returns whether a VM serves its pool according to record and listing."""
    if listing is None or record.state is not VmState.SERVING:
        return False
    if record.boot_id not in ("", listing.boot_id):
        return False
    return not view.is_leaving(listing)


def free_vms(view: FleetView) -> dict[str, VmListing]:
    """Returns the live VMs that have no record."""
    return {
        name: listing
        for name, listing in view.listings.items()
        if name not in view.records and listing.status is VmStatus.LIVE
    }
