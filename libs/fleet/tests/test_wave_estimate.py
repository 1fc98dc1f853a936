import pytest
from burdockthread_fleet.budget import may_disrupt
from burdockthread_fleet.feasibility import best_layout
from burdockthread_fleet.memory_fleet import rack_listings
from burdockthread_fleet.wave_estimate import (
    MaintenanceRates,
    estimate_wave,
    max_disrupted,
)
from burdockthread_fleet.waves import WavePhase
from burdockthread_model.intended import FailureDomain, PoolSpec

from .conftest import make_due
from .test_waves import until, wave_of

ZONES = [f"z{number:02}" for number in range(12)]
SLOW = MaintenanceRates(step_s=0.5, drain_s=300.0, reboot_s=600.0, order_s=2.0)


def target_layout(survives):
    """44 pools on 610 VMs in 12 availability zones."""
    vms = list(rack_listings(ZONES, 610))
    layout = []
    for number in range(44):
        spec = PoolSpec(f"o/p{number:02}", "o", 13, 9, survives)
        held = best_layout(spec, vms)
        vms = [v for v in vms if v not in held]
        layout.append((spec, held))
    return layout


@pytest.mark.parametrize("survives", list(FailureDomain))
def test_every_vm_is_maintained_in_five_weeks_at_target_size(survives):
    estimate = estimate_wave(target_layout(survives), SLOW, period_days=35.0)
    assert estimate.fits
    assert estimate.least_s <= estimate.most_s


def test_period_too_short_does_not_fit():
    assert not estimate_wave(target_layout(FailureDomain.VM), SLOW, 1.0).fits


def test_estimate_is_refused_if_a_pool_can_miss_no_vm():
    spec = PoolSpec("o/p", "o", 12, 12)
    with pytest.raises(ValueError, match="can miss no VM"):
        estimate_wave([(spec, rack_listings(ZONES, 12))], SLOW, 35.0)


def test_max_disrupted_counts_all_vms_that_may_be_disrupted():
    vms = rack_listings(ZONES[:1], 6)
    spec = PoolSpec("o/p", "o", 6, 2)
    assert max_disrupted(spec, vms, ZONES[0]) == 3
    assert not may_disrupt(spec, vms[3:], vms[3].name)


async def test_wave_takes_no_longer_than_estimated(fleet):
    state = fleet.nodes[0].planner.state()
    layout = [(pool.spec, pool.available()) for pool in state.pools.values()]
    rates = MaintenanceRates(step_s=0.5, drain_s=0.0, reboot_s=1.0)
    estimate = estimate_wave(layout, rates, period_days=1.0)
    make_due(fleet)
    started_s = fleet.clock.now()
    await fleet.tick()
    await until(fleet, lambda: wave_of(fleet).phase is WavePhase.DONE)
    assert estimate.least_s <= fleet.clock.now() - started_s <= estimate.most_s
