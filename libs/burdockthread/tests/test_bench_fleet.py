import pytest
from burdockthread.bench_fleet import (
    BURST_S,
    SITES,
    NaivePlanner,
    day_events,
    demand,
    rollout_s,
    site_losses,
    sizes_of,
)
from burdockthread.bench_planner_cost import measure_wave_duration, planning_cost, slope
from burdockthread_fleet.buffer import PerPoolBuffer, SharedSpareBuffer
from burdockthread_fleet.memory_fleet import rack_listings

POOLS = ("a", "b", "c")


def test_each_queue_in_turn_asks_five_times_its_mean():
    first, second = demand(POOLS, 0.0), demand(POOLS, BURST_S)
    assert first["a"] == second["b"] == pytest.approx(100 * first["b"])


def test_naive_planner_follows_the_demand_with_the_vms_it_has():
    naive = NaivePlanner({"a": 6, "b": 6})
    naive.step({"a": 72.0, "b": 1.0})
    naive.step({"a": 1.0, "b": 72.0})
    assert naive.sizes == {"a": 3, "b": 9}
    assert naive.moves == 3 + 6


def test_failures_repeat_with_the_seed():
    listings = rack_listings(SITES[0].zones, 30)
    assert day_events(7, listings) == day_events(7, listings)
    assert day_events(7, listings) != day_events(8, listings)


def test_slope_of_a_line():
    assert slope([(1.0, 3.0), (2.0, 5.0), (4.0, 9.0)]) == pytest.approx(2.0)


@pytest.mark.parametrize("site", SITES)
def test_rack_loss_takes_one_vm_of_each_pool(site):
    assert set(site_losses(site).values()) == {1}
    shared = sizes_of(site, SharedSpareBuffer())
    assert sum(shared.values()) < sum(sizes_of(site, PerPoolBuffer()).values())


async def test_raised_pool_gets_its_vm_from_the_spare_pool():
    assert await rollout_s(SITES[0], SharedSpareBuffer()) < 120


async def test_planning_cost_and_wave_duration_meet_their_targets():
    cost = await planning_cost(61)
    assert cost.assign_clock_s <= 5
    assert measure_wave_duration(cost).holds
