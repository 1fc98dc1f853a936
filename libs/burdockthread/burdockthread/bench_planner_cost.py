"""Measurements of the cost of planning at fleet sizes up to the target."""

import time
import tracemalloc
from collections.abc import Sequence
from typing import NamedTuple

from burdockthread_fleet.feasibility import best_layout
from burdockthread_fleet.memory_fleet import MemoryFleet, rack_listings
from burdockthread_fleet.planner import STEP_INTERVAL_S
from burdockthread_fleet.wave_estimate import MaintenanceRates, estimate_wave
from burdockthread_fleet.waves import SECONDS_PER_DAY
from burdockthread_model.intended import (
    FailureDomain,
    PoolSpec,
    PoolTemplate,
    TemplateDocument,
)
from burdockthread_model.vm import VmState

from burdockthread.measures import Measure, at_most

TARGET_SIZES = (61, 305, 610)
TARGET_POOLS = 44
TARGET_ZONES = tuple(f"zone-{number:02}" for number in range(12))
STEPS_TIMED = 100
CONTROL_SHARE = 0.029
MILLISECONDS = 1_000.0
REBOOT_S = 60.0
DRAIN_S = 300.0
RETURN_S = 600.0
PERIOD_DAYS = 35.0
WAVE_PERIOD_DAYS = 0.2


def target_template(pools: int, vms: int, period_days: float) -> TemplateDocument:
    """Returns a template with equal pools; the spare pool gets the remainder."""
    size = vms // pools
    named = {
        f"pool-{number:02}": PoolTemplate(vms=size, min_available=size // 2)
        for number in range(pools - 1)
    }
    left = vms - size * (pools - 1)
    named["spare"] = PoolTemplate(vms=left, min_available=size // 2, spare=True)
    return TemplateDocument(
        name="t",
        organisations={"o": {}},
        pools=named,
        services={},
        maintenance={"period_days": period_days},
    )


class PlanningCost(NamedTuple):
    """Cost of planning at one fleet size.

    Attributes:
        assign_s: Processor time until all VMs were assigned.
        assign_clock_s: Simulated time until all VMs were assigned.
        idle_s: Processor time of a step with nothing to do.
        busy_s: Processor time of a step within a wave.
        record_bytes: Memory that one VM adds to the view.
    """

    assign_s: float
    assign_clock_s: float
    idle_s: float
    busy_s: float
    record_bytes: float


async def planning_cost(vms: int) -> PlanningCost:
    """Measures the cost of planning at one fleet size."""
    listings = rack_listings(TARGET_ZONES, vms)
    fleet = MemoryFleet(listings, reboot_s=REBOOT_S)
    node = fleet.add_node("planner")
    fleet.accept(target_template(TARGET_POOLS, vms, PERIOD_DAYS))
    started_s, clock_s = time.process_time(), fleet.clock.now()
    while sum(r.state is VmState.SERVING for r in fleet.records().values()) < vms:
        await fleet.tick()
    assign_s = time.process_time() - started_s
    assign_clock_s = fleet.clock.now() - clock_s
    idle_s = await step_cost(fleet, STEPS_TIMED)
    fleet.accept(target_template(TARGET_POOLS, vms, WAVE_PERIOD_DAYS))
    await fleet.run(2 * REBOOT_S)
    busy_s = await step_cost(fleet, STEPS_TIMED)
    assert node.metrics.counters["planner.conflicts"] == 0
    record_bytes = await view_bytes(fleet) / vms
    return PlanningCost(assign_s, assign_clock_s, idle_s, busy_s, record_bytes)


async def step_cost(fleet: MemoryFleet, steps: int) -> float:
    """Returns the mean processor time of a planner step, without the view refresh."""
    node = fleet.nodes[0]
    spent_s = 0.0
    for _ in range(steps):
        node.paused = True
        await fleet.tick()
        node.paused = False
        await node.refresh_view()
        await node.failures.tick()
        started_s = time.process_time()
        await node.planner.tick()
        spent_s += time.process_time() - started_s
    return spent_s / steps


async def view_bytes(fleet: MemoryFleet) -> int:
    """Returns the bytes that another entry's view of the fleet allocates."""
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        node = fleet.add_node("measured")
        await node.refresh_view()
        node.planner.missing_vms.update(node.view.listings, node.view.records)
        node.planner.state()
        after, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
        fleet.nodes.pop()
    return after - before


def slope(points: Sequence[tuple[float, float]]) -> float:
    """Returns the slope of the least-squares line through points."""
    mean_x = sum(x for x, _ in points) / len(points)
    mean_y = sum(y for _, y in points) / len(points)
    above = sum((x - mean_x) * (y - mean_y) for x, y in points)
    return above / sum((x - mean_x) ** 2 for x, _ in points)


async def measure_cost() -> list[Measure]:
    """Measures planning at three fleet sizes, and how its cost grows per VM."""
    costs = {vms: await planning_cost(vms) for vms in TARGET_SIZES}
    lines: list[Measure] = []
    limit_ms = CONTROL_SHARE * STEP_INTERVAL_S * MILLISECONDS
    for vms, cost in costs.items():
        site = f"{vms}_vms"
        idle_ms, busy_ms = cost.idle_s * MILLISECONDS, cost.busy_s * MILLISECONDS
        lines += [
            Measure("assign_all_cpu", site, cost.assign_s, "s"),
            Measure("assign_all_time", site, cost.assign_clock_s, "s"),
            at_most("step_idle_cpu", site, idle_ms, "ms", limit_ms, None),
            at_most("step_wave_cpu", site, busy_ms, "ms", limit_ms, None),
            Measure("view_memory", site, cost.record_bytes, "bytes/vm"),
        ]
    for name, field in (("step_idle", "idle_s"), ("step_wave", "busy_s")):
        points = [(float(n), getattr(cost, field)) for n, cost in costs.items()]
        value = slope(points) * MILLISECONDS * MILLISECONDS
        lines.append(Measure(f"{name}_slope", "target", value, "us/vm"))
    return [*lines, measure_wave_duration(costs[TARGET_SIZES[-1]])]


def measure_wave_duration(cost: PlanningCost) -> Measure:
    """Estimates the days that a wave over the whole target fleet takes."""
    rates = MaintenanceRates(
        step_s=STEP_INTERVAL_S + cost.busy_s, drain_s=DRAIN_S, reboot_s=RETURN_S
    )
    vms = list(rack_listings(TARGET_ZONES, TARGET_SIZES[-1]))
    layout = []
    for number in range(TARGET_POOLS):
        size = TARGET_SIZES[-1] // TARGET_POOLS
        spec = PoolSpec(f"o/{number}", "o", size, size // 2, FailureDomain.ZONE)
        held = best_layout(spec, vms)
        taken = {v.name for v in held}
        vms = [v for v in vms if v.name not in taken]
        layout.append((spec, held))
    estimate = estimate_wave(layout, rates, PERIOD_DAYS)
    days = estimate.most_s / SECONDS_PER_DAY
    slack_days = estimate.slack_s / SECONDS_PER_DAY
    return at_most("whole_fleet_wave", "target", days, "days", slack_days, None)
