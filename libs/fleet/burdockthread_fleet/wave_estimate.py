"""Calculates bounds for the duration of a maintenance wave."""

import math
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from burdockthread_model.intended import PoolSpec
from burdockthread_model.vm import VmListing

from burdockthread_fleet.budget import may_take
from burdockthread_fleet.lifecycle import STALE_VIEW_S
from burdockthread_fleet.waves import (
    CANARY_SOAK_S,
    SECONDS_PER_DAY,
    START_SHARE,
    out_limit,
)

Layout = Sequence[tuple[PoolSpec, Sequence[VmListing]]]


class MaintenanceRates(NamedTuple):
    """How long the parts of one VM's maintenance take.

    Attributes:
        step_s: Seconds between two steps of the planner; four are waited for.
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
    """Bounds of the time that one wave over all VMs takes.

    Attributes:
        least_s: Seconds below which no order of the VMs can stay.
        most_s: Seconds that the planner's order does not exceed.
        slack_s: Seconds between a wave's latest start and the period's end.
    """

    least_s: float
    most_s: float
    slack_s: float

    @property
    def fits(self) -> bool:
        """Whether every VM is maintained once in each period."""
        return self.most_s <= self.slack_s


def most_out(spec: PoolSpec, listings: Iterable[VmListing], zone: str) -> int:
    """Returns how many VMs of one availability zone a pool can miss at once."""
    left = list(listings)
    inside = sorted(
        (v for v in left if v.availability_zone == zone), key=lambda v: (v.rack, v.name)
    )
    taken = 0
    for listing in inside:
        if not may_take(spec, left, listing.name):
            break
        left.remove(listing)
        taken += 1
    return taken


def zone_rounds(layout: Layout) -> Mapping[str, tuple[int, int]]:
    """Returns the VMs and the most rounds of one pool, by availability zone.

    Raises:
        ValueError: A pool cannot miss a single VM of an availability zone.
    """
    sizes: dict[str, int] = defaultdict(int)
    rounds: dict[str, int] = defaultdict(int)
    for spec, listings in layout:
        for zone in {v.availability_zone for v in listings}:
            held = sum(v.availability_zone == zone for v in listings)
            at_once = most_out(spec, listings, zone)
            if at_once == 0:
                raise ValueError(f"{spec.name} can miss no VM of {zone}")
            sizes[zone] += held
            rounds[zone] = max(rounds[zone], math.ceil(held / at_once))
    return {zone: (sizes[zone], rounds[zone]) for zone in sizes}


def estimate_wave(
    layout: Layout, rates: MaintenanceRates, period_days: float
) -> WaveEstimate:
    """Calculates the time of one wave over all VMs of an organisation.

    A wave goes through one availability zone after the other. Within each, the
    longest pool and the limit on all VMs together bound the rounds.

    Args:
        layout: Pools with the VMs that they hold.
        rates: How long one VM takes.
        period_days: Days in which every VM is maintained once.

    Raises:
        ValueError: A pool cannot miss a single VM of an availability zone.
    """
    zones = zone_rounds(layout)
    limit = out_limit(sum(size for size, _ in zones.values()))
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
