"""Disruption budgets: how many VMs of a pool may be taken out of service."""

from collections import Counter
from collections.abc import Collection, Iterable
from typing import NamedTuple

from burdockthread_model.intended import FailureDomain, PoolSpec
from burdockthread_model.records import RecordError, decode_record, encode_record
from burdockthread_model.vm import VmListing
from burdockthread_store.prefix_cache import PrefixCache
from burdockthread_store.store import Change

POOL_PREFIX = "pool/"


class Disruptions(NamedTuple):
    """Disrupted VMs of a pool, stored at ``pool/<name>/disruptions``.

    Attributes:
        vms: Names of the VMs taken out of service for a move or maintenance.
    """

    vms: tuple[str, ...]


def disruptions_key(pool: str) -> str:
    """Returns the store key of a pool's disruption record."""
    return f"{POOL_PREFIX}{pool}/disruptions"


def domain_of(listing: VmListing, survives: FailureDomain) -> tuple[str, ...]:
    """Returns the failure domain of a VM at the level that a pool survives."""
    if survives == FailureDomain.ZONE:
        return (listing.availability_zone,)
    if survives == FailureDomain.RACK:
        return (listing.availability_zone, listing.rack)
    return (listing.name,)


def worst_loss(available: Iterable[VmListing], survives: FailureDomain) -> int:
    """Returns how many VMs the largest failure domain has."""
    domains = Counter(domain_of(listing, survives) for listing in available)
    return max(domains.values(), default=0)


def failure_margin(spec: PoolSpec, available: Collection[VmListing]) -> int:
    """Returns how many VMs above the minimum remain after the worst failure.

    Args:
        spec: Pool as intended.
        available: VMs of the pool that serve.

    Returns:
        The margin; negative if the worst failure would leave too few VMs.
    """
    loss = worst_loss(available, spec.survives)
    return len(available) - loss - spec.min_available


def may_disrupt(spec: PoolSpec, available: Collection[VmListing], vm: str) -> bool:
    """Returns whether a VM may be taken out of service.

    The pool has to keep its minimum even if the largest failure domain of the
    other VMs fails meanwhile. `available` excludes VMs disrupted already.
    """
    rest = [listing for listing in available if listing.name != vm]
    return failure_margin(spec, rest) >= 0


class DisruptionChanges:
    """Collects the changes of disruption records for one transaction.

    Each record is changed by compare-and-swap in the transaction that changes
    the VM's record, so that two planners cannot both use the same budget.
    """

    def __init__(self, cache: PrefixCache) -> None:
        self.cache = cache
        self.vms: dict[str, set[str]] = {}

    def disrupted_vms(self, pool: str) -> set[str]:
        """Returns the set of a pool's disrupted VMs, for the caller to change."""
        if pool not in self.vms:
            self.vms[pool] = set(read_disruptions(self.cache, pool).vms)
        return self.vms[pool]

    def changes(self) -> list[Change]:
        """Returns the conditional writes of all records requested so far."""
        return [self.change(pool, vms) for pool, vms in sorted(self.vms.items())]

    def change(self, pool: str, vms: set[str]) -> Change:
        """Returns the conditional write of one record."""
        key = disruptions_key(pool)
        known = self.cache.values.get(key)
        revision = 0 if known is None else known.revision
        return Change(key, encode_record(Disruptions(tuple(sorted(vms)))), revision)


def read_disruptions(cache: PrefixCache, pool: str) -> Disruptions:
    """Returns a pool's disruption record as cached.

    A malformed record counts as empty and is overwritten by the next change;
    that is safe because decisions are based on the VM records.
    """
    known = cache.values.get(disruptions_key(pool))
    if known is None:
        return Disruptions(())
    try:
        return decode_record(known.value, Disruptions)
    except RecordError:
        return Disruptions(())
