"""Refuses templates that the fleet cannot satisfy and gives the numbers."""

from collections import Counter
from collections.abc import Iterable, Iterator, Mapping, Sequence
from itertools import combinations

from burdockthread_model.errors import TemplateError
from burdockthread_model.intended import OrganisationSpec, PoolSpec
from burdockthread_model.vm import VmListing

from burdockthread_fleet.assignment import assign_free_vms, zone_allowed
from burdockthread_fleet.budget import worst_loss
from burdockthread_fleet.fleet_state import FleetState, PoolState
from burdockthread_fleet.planner import STEP_INTERVAL_S
from burdockthread_fleet.wave_estimate import (
    Layout,
    MaintenanceRates,
    estimate_wave,
    max_disrupted,
)
from burdockthread_fleet.waves import SECONDS_PER_DAY

FASTEST = MaintenanceRates(step_s=STEP_INTERVAL_S / 4, drain_s=0.0, reboot_s=0.0)
MAX_ZONES_IN_DETAIL = 12


def check_feasible(
    specs: Sequence[OrganisationSpec],
    others: Sequence[OrganisationSpec],
    listings: Mapping[str, VmListing],
) -> None:
    """Refuses a proposal that cannot be satisfied.

    Without a list of VMs, only the checks that do not need one are made. VMs that
    are leaving count: most are in maintenance and will return.

    Args:
        specs: Intended state of the proposal.
        others: Intended state of the other templates in force.
        listings: VMs that the platform lists.

    Raises:
        TemplateError: A check failed; the message has the numbers.
    """
    check_names(specs, others)
    check_spares(specs, others)
    listed = list(listings.values())
    if not listed:
        return
    check_capacity([*specs, *others], listed)
    for spec in specs:
        layout = [(pool, best_layout(pool, listed)) for pool in spec.pools if pool.vms]
        for pool, held in layout:
            check_budget(pool, held)
        check_period(spec, layout)


def check_names(
    specs: Sequence[OrganisationSpec], others: Sequence[OrganisationSpec]
) -> None:
    """Refuses a pool name that another template uses."""
    taken = {pool.name: spec.template for spec in others for pool in spec.pools}
    for pool in pools_of(specs):
        if pool.name in taken:
            raise TemplateError(
                f"pool {pool.name} is in template {taken[pool.name]} already"
            )


def check_spares(
    specs: Sequence[OrganisationSpec], others: Sequence[OrganisationSpec]
) -> None:
    """Refuses a second spare pool of an organisation."""
    ours = {spec.organisation for spec in specs}
    spares = [
        pool.name
        for pool in pools_of([*specs, *others])
        if pool.spare and pool.organisation in ours
    ]
    counts = Counter(name.partition("/")[0] for name in spares)
    for organisation, count in counts.items():
        if count > 1:
            names = ", ".join(n for n in spares if n.startswith(f"{organisation}/"))
            raise TemplateError(
                f"organisation {organisation} has {count} spare pools: {names}"
            )


def pools_of(specs: Iterable[OrganisationSpec]) -> Iterator[PoolSpec]:
    """Yields the pools of organisations."""
    for spec in specs:
        yield from spec.pools


def check_capacity(
    specs: Sequence[OrganisationSpec], listed: Sequence[VmListing]
) -> None:
    """Refuses pools that together need more VMs than the fleet has.

    For every set of availability zones, the pools restricted to it must fit.
    """
    pools = [pool for pool in pools_of(specs) if pool.vms]
    wanted = sum(pool.vms for pool in pools)
    if wanted > len(listed):
        raise TemplateError(
            f"the pools of all templates need {wanted} VMs, the fleet has {len(listed)}"
        )
    held = Counter(v.availability_zone for v in listed)
    for zones in zone_sets(pools):
        confined = [p for p in pools if p.zones and set(p.zones) <= zones]
        needed = sum(pool.vms for pool in confined)
        there = sum(held[zone] for zone in zones)
        if needed > there:
            names = ", ".join(pool.name for pool in confined)
            raise TemplateError(
                f"pools {names} need {needed} VMs in {', '.join(sorted(zones))},"
                f" which has {there}"
            )


def zone_sets(pools: Sequence[PoolSpec]) -> Iterator[frozenset[str]]:
    """Yields the sets of availability zones whose capacity is to be checked.

    Up to `MAX_ZONES_IN_DETAIL` zones, the number in the target fleet, these are
    all combinations; with more zones, only the sets that pools name.
    """
    named = sorted({zone for pool in pools for zone in pool.zones})
    if len(named) > MAX_ZONES_IN_DETAIL:
        yield from {frozenset(pool.zones) for pool in pools if pool.zones}
        return
    for size in range(1, len(named) + 1):
        for zones in combinations(named, size):
            yield frozenset(zones)


def best_layout(pool: PoolSpec, listed: Sequence[VmListing]) -> list[VmListing]:
    """Returns the VMs that a pool would get if it were assigned first."""
    free = {v.name: v for v in listed if zone_allowed(pool, v)}
    state = FleetState({pool.name: PoolState.from_members(pool, (), 0)}, (), free)
    return [free[assignment.vm] for assignment in assign_free_vms(state)]


def check_budget(pool: PoolSpec, held: Sequence[VmListing]) -> None:
    """Refuses a budget that leaves no VM to maintain, even in the best layout."""
    for zone in sorted({v.availability_zone for v in held}):
        if max_disrupted(pool, held, zone):
            continue
        left = [v for v in held if v.availability_zone != zone]
        left += [v for v in held if v.availability_zone == zone][1:]
        loss = worst_loss(left, pool.survives)
        raise TemplateError(
            f"pool {pool.name}: min_available {pool.min_available} of {pool.vms} VMs"
            f" leaves no room for maintenance: with one VM of {zone} out and the"
            f" worst {pool.survives} ({loss} VMs) lost, {len(left) - loss} remain"
        )


def check_period(spec: OrganisationSpec, layout: Layout) -> None:
    """Refuses a period too short for a wave even at the rates of `FASTEST`."""
    if not layout:
        return
    period_days = spec.maintenance.period_days
    least_s = estimate_wave(layout, FASTEST, period_days).least_s
    period_s = period_days * SECONDS_PER_DAY
    if least_s > period_s:
        raise TemplateError(
            f"organisation {spec.organisation}: maintaining every VM takes at least"
            f" {least_s:.0f} s, period_days {period_days:g} allows {period_s:.0f} s"
        )
