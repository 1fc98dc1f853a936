"""Calculates bounds for the duration of a maintenance wave."""

import math
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from burdockthread_model.intended import PoolSpec
from burdockthread_model.vm import VmListing

from burdockthread_fleet.budget import may_disrupt
from burdockthread_fleet.lifecycle import STALE_VIEW_S
from burdockthread_fleet.waves import (
    CANARY_SOAK_S,
    SECONDS_PER_DAY,
    START_SHARE,
    disruption_limit,
)

Layout = Sequence[tuple[PoolSpec, Sequence[VmListing]]]


class MaintenanceRates(NamedTuple):
    """Durations of the parts of one VM's maintenance.

    Attributes:
        step_s: Seconds between two steps of the planner; a VM waits for four.
        drain_s: Seconds until the work in flight has ended.
        reboot_s: Seconds from the order until the VM is listed as live again.
        order_s: Seconds that an order to the platform takes.
    """

    step_s: float
    drain_s: float
    reboot_s: float
    order_s: float = 0.0

    @property
    def vm_out_s(self) -> float:
        """Seconds from the start of a VM's drain until it serves again."""
        drain_s = max(self.drain_s, STALE_VIEW_S)
        return 4 * self.step_s + drain_s + self.reboot_s + 3 * self.order_s


class WaveEstimate(NamedTuple):
    """Bounds of the duration of one wave over all VMs.

    Attributes:
        least_s: Lower bound in seconds for any order of the VMs.
        most_s: Upper bound in seconds for the planner's order.
        slack_s: Seconds between a wave's latest start and the period's end.
    """

    least_s: float
    most_s: float
    slack_s: float

    @property
    def fits(self) -> bool:
        """Whether every VM is maintained once in each period."""
        return self.most_s <= self.slack_s


def max_disrupted(spec: PoolSpec, listings: Iterable[VmListing], zone: str) -> int:
    """Returns how many VMs of one availability zone may be disrupted at once."""
    left = list(listings)
    inside = sorted(
        (v for v in left if v.availability_zone == zone), key=lambda v: (v.rack, v.name)
    )
    taken = 0
    for listing in inside:
        if not may_disrupt(spec, left, listing.name):
            break
        left.remove(listing)
        taken += 1
    return taken


def zone_rounds(layout: Layout) -> Mapping[str, tuple[int, int]]:
    """Returns, by availability zone, its VMs and the most rounds any pool needs.

    Raises:
        ValueError: A pool cannot miss a single VM of an availability zone.
    """
    sizes: dict[str, int] = defaultdict(int)
    rounds: dict[str, int] = defaultdict(int)
    for spec, listings in layout:
        for zone in {v.availability_zone for v in listings}:
            held = sum(v.availability_zone == zone for v in listings)
            at_once = max_disrupted(spec, listings, zone)
            if at_once == 0:
                raise ValueError(f"pool {spec.name} can miss no VM of {zone}")
            sizes[zone] += held
            rounds[zone] = max(rounds[zone], math.ceil(held / at_once))
    return {zone: (sizes[zone], rounds[zone]) for zone in sizes}


def estimate_wave(
    layout: Layout, rates: MaintenanceRates, period_days: float
) -> WaveEstimate:
    """Calculates the duration of one wave over all VMs of an organisation.

    A wave handles one availability zone after the other. Within a zone, the rounds
    are bounded by the pool that needs most of them and by `disruption_limit`.

    Args:
        layout: Pools with their VMs.
        rates: Durations for one VM.
        period_days: Days in which every VM is maintained once.

    Raises:
        ValueError: A pool cannot miss a single VM of an availability zone.
    """
    zones = zone_rounds(layout)
    limit = disruption_limit(sum(size for size, _ in zones.values()))
    least = most = 0
    for size, pool_rounds in zones.values():
        shared_rounds = math.ceil(size / limit)
        least += max(shared_rounds, pool_rounds)
        most += shared_rounds + pool_rounds
    canary_s = rates.vm_out_s + CANARY_SOAK_S
    slack_s = (1 - START_SHARE) * period_days * SECONDS_PER_DAY
    return WaveEstimate(
        least_s=least * rates.vm_out_s,
        most_s=canary_s + most * rates.vm_out_s,
        slack_s=slack_s,
    )
