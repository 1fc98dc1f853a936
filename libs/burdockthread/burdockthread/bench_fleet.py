"""Measurements of the planner: buffer, moves, availability, cost, wave duration."""

import asyncio
import random
from collections.abc import Iterator, Mapping, Sequence
from contextlib import contextmanager
from typing import NamedTuple

from absl import logging
from burdockthread_fleet.budget import worst_loss
from burdockthread_fleet.buffer import (
    BufferPolicy,
    PerPoolBuffer,
    PolicyMeasures,
    SharedSpareBuffer,
    better_policy,
)
from burdockthread_fleet.feasibility import best_layout
from burdockthread_fleet.memory_fleet import MemoryFleet, rack_listings
from burdockthread_fleet.planner import STEP_INTERVAL_S
from burdockthread_fleet.waves import SECONDS_PER_DAY
from burdockthread_model.intended import (
    FailureDomain,
    PoolSpec,
    PoolTemplate,
    TemplateDocument,
    WeightsSpec,
)
from burdockthread_model.vm import VmListing, VmState

from burdockthread.bench_planner_cost import measure_cost
from burdockthread.measures import Measure, at_least, at_most

POOLS = 5
POOL_VMS = 6
POOL_FLOOR = 4
SPARE_FLOOR = 2
SLOTS = 8
REPAIRS = 2
REBOOT_S = 60.0
DRAIN_S = 300.0
RETURN_S = 600.0
BURST_S = 10.0
BURST_FACTOR = 5.0
QUIET_FACTOR = 0.05
MEAN_SHARE = 0.3
IDLE_TICK_S = 5.0
BUSY_TICK_S = 2 * STEP_INTERVAL_S
SIMULATED_S = 10_800.0
RESTARTS = 3
RESTART_S = 120.0
DELIVERY_S = 3_600.0
RACK_LOST_AT_S = 300.0
RACK_OUTAGE_S = 1_200.0
ROLLOUT_LIMIT_S = 600.0
PERIOD_DAYS = 35.0


class Site(NamedTuple):
    """A site with its current sizes and the weights of its policy score."""

    name: str
    zones: tuple[str, ...]
    cores: int
    weights: WeightsSpec


SITES = (
    Site(
        "trinacria",
        ("palermo", "catania", "trapani"),
        64,
        WeightsSpec(buffer=1, rollout=3, moves=1, flood=3),
    ),
    Site(
        "kloofsig",
        ("johannesburg", "pretoria", "centurion"),
        16,
        WeightsSpec(buffer=3, rollout=1, moves=3, flood=1),
    ),
)


class Event(NamedTuple):
    """VMs that disappear from the list at a time and return later.

    Attributes:
        at_s: Seconds after the start of the simulation.
        vms: VMs that disappear.
        back_s: Seconds until the VMs, or their replacements, are listed again.
    """

    at_s: float
    vms: tuple[str, ...]
    back_s: float


class DayResult(NamedTuple):
    """Results of a simulation of a day's failures and a wave within `SIMULATED_S`.

    Attributes:
        moves: Moves that the planner started.
        lowest: Lowest number of VMs above its minimum in any pool.
        unserved: Share of the demand of the queues not in flood that had no slot.
        naive_moves: Moves per day of a planner that follows the demand.
        reboots: VMs rebooted.
        out_with_rack: VMs disrupted by the wave when the rack was lost.
    """

    moves: int
    lowest: int
    unserved: float
    naive_moves: float
    reboots: int
    disrupted_at_rack_loss: int


def site_template(sizes: Mapping[str, int], period_days: float) -> TemplateDocument:
    """Returns a site's template with the given pool sizes."""
    pools = {
        name: PoolTemplate(
            vms=vms,
            min_available=SPARE_FLOOR if name == "spare" else POOL_FLOOR,
            survives=FailureDomain.RACK,
            spare=name == "spare",
        )
        for name, vms in sizes.items()
    }
    return TemplateDocument(
        name="t",
        organisations={"o": {}},
        pools=pools,
        services={},
        maintenance={
            "period_days": period_days,
            "drain_timeout_s": DRAIN_S,
            "return_timeout_s": RETURN_S,
        },
    )


def site_specs() -> list[PoolSpec]:
    """Returns the current pools of a site, the spare pool last."""
    names = [f"pool-{number}" for number in range(POOLS - 1)]
    specs = [
        PoolSpec(name, "o", POOL_VMS, POOL_FLOOR, FailureDomain.RACK) for name in names
    ]
    spare = PoolSpec(
        "spare", "o", POOL_VMS, SPARE_FLOOR, FailureDomain.RACK, spare=True
    )
    return [*specs, spare]


def site_losses(site: Site) -> dict[str, int]:
    """Returns the VMs each pool loses to the worst failure in its best layout."""
    live = rack_listings(site.zones, POOLS * POOL_VMS, site.cores)
    return {
        spec.name: worst_loss(best_layout(spec, live), spec.survives)
        for spec in site_specs()
    }


def sizes_of(site: Site, policy: BufferPolicy) -> dict[str, int]:
    """Returns the sizes of a site's pools under a policy."""
    sizes = policy.sizes(site_specs(), site_losses(site), REPAIRS)
    return {**sizes.pools, "spare": sizes.spare}


def day_events(seed: int, listings: Sequence[VmListing]) -> list[Event]:
    """Returns restarts, VMs that are replaced and the outage of a rack."""
    generator = random.Random(seed)
    shuffled = generator.sample(list(listings), len(listings))
    restarts = [
        Event(generator.uniform(0, SIMULATED_S / 2), (v.name,), RESTART_S)
        for v in shuffled[:RESTARTS]
    ]
    lost = [
        Event(generator.uniform(0, SIMULATED_S / 3), (v.name,), DELIVERY_S)
        for v in shuffled[RESTARTS : RESTARTS + REPAIRS]
    ]
    place = shuffled[-1]
    rack = tuple(
        v.name
        for v in listings
        if (v.availability_zone, v.rack) == (place.availability_zone, place.rack)
    )
    return [*restarts, *lost, Event(RACK_LOST_AT_S, rack, RACK_OUTAGE_S)]


def demand(pools: Sequence[str], now_s: float) -> dict[str, float]:
    """Returns the slots demanded of each pool; one pool at a time is in flood."""
    turn = int(now_s // BURST_S) % len(pools)
    mean = MEAN_SHARE * POOL_VMS * SLOTS
    return {
        pool: mean * (BURST_FACTOR if index == turn else QUIET_FACTOR)
        for index, pool in enumerate(pools)
    }


class NaivePlanner:
    """Baseline that moves VMs to the pool with the highest demand.

    Attributes:
        sizes: VMs of each pool.
        moves: VMs moved so far.
    """

    def __init__(self, sizes: Mapping[str, int]) -> None:
        self.sizes = dict(sizes)
        self.moves = 0

    def step(self, wanted: Mapping[str, float]) -> None:
        """Moves VMs until the pool with the highest demand has enough of them."""
        target = max(wanted, key=wanted.__getitem__)
        needed = -(-int(wanted[target]) // SLOTS)
        for source in sorted(self.sizes, key=self.sizes.__getitem__, reverse=True):
            while self.sizes[target] < needed and source != target:
                if self.sizes[source] <= 1:
                    break
                self.sizes[source] -= 1
                self.sizes[target] += 1
                self.moves += 1


async def simulate_day(site: Site, policy: BufferPolicy, seed: int) -> DayResult:
    """Simulates the planner during a day's failures and one maintenance wave."""
    sizes = sizes_of(site, policy)
    listings = rack_listings(site.zones, sum(sizes.values()), site.cores)
    fleet = MemoryFleet(listings, reboot_s=REBOOT_S)
    node = fleet.add_node("planner")
    node.planner.policy = policy
    fleet.accept(site_template(sizes, PERIOD_DAYS))
    await fleet.run(5)
    fleet.accept(site_template(sizes, 1.2 * SIMULATED_S / SECONDS_PER_DAY))
    pools = {spec.name: spec for spec in node.view.pools.values()}
    naive = NaivePlanner({name: spec.vms for name, spec in pools.items()})
    events = sorted(day_events(seed, listings))
    returns: list[tuple[float, VmListing]] = []
    start_s = fleet.clock.now()
    lowest, asked, unserved = POOL_VMS, 0.0, 0.0
    disrupted_at_rack_loss = 0
    while (now_s := fleet.clock.now() - start_s) < SIMULATED_S:
        while events and events[0].at_s <= now_s:
            event = events.pop(0)
            if len(event.vms) > 1:
                disrupted_at_rack_loss = sum(
                    bool(r.wave) for r in fleet.records().values()
                )
            returns += delist_vms(fleet, event, now_s)
        for back_s, listing in [item for item in returns if item[0] <= now_s]:
            returns.remove((back_s, listing))
            boot_id = f"{listing.name}-{now_s}"
            fleet.directory.listings[listing.name] = listing._replace(boot_id=boot_id)
        busy = any(r.state is not VmState.SERVING for r in fleet.records().values())
        await fleet.tick(BUSY_TICK_S if busy else IDLE_TICK_S)
        wanted = demand(list(pools), now_s)
        naive.step(wanted)
        flooded = max(wanted, key=wanted.__getitem__)
        for name, spec in pools.items():
            available = fleet.available(name)
            lowest = min(lowest, available - spec.min_available)
            if name != flooded:
                asked += wanted[name]
                unserved += max(0.0, wanted[name] - available * SLOTS)
    return DayResult(
        moves=node.metrics.counters["planner.moves"],
        lowest=lowest,
        unserved=unserved / asked,
        naive_moves=naive.moves * SECONDS_PER_DAY / SIMULATED_S,
        reboots=len(fleet.control.reboots),
        disrupted_at_rack_loss=disrupted_at_rack_loss,
    )


def delist_vms(
    fleet: MemoryFleet, event: Event, now_s: float
) -> list[tuple[float, VmListing]]:
    """Removes VMs from the list; returns each listing with its return time."""
    listings = fleet.directory.listings
    gone = [listings.pop(vm) for vm in event.vms if vm in listings]
    for listing in gone:
        fleet.control.booting.pop(listing.name, None)
    return [(now_s + event.back_s, listing) for listing in gone]


async def rollout_s(site: Site, policy: BufferPolicy) -> float:
    """Returns the seconds until a pool enlarged by one VM has that VM.

    Returns `DELIVERY_S`, the time until a new VM is delivered, if the VM is not
    there after `ROLLOUT_LIMIT_S`.
    """
    sizes = sizes_of(site, policy)
    listings = rack_listings(site.zones, sum(sizes.values()), site.cores)
    fleet = MemoryFleet(listings, reboot_s=REBOOT_S)
    fleet.add_node("planner").planner.policy = policy
    fleet.accept(site_template(sizes, PERIOD_DAYS))
    await fleet.run(5)
    first = next(iter(sizes))
    raised = {**sizes, first: sizes[first] + 1}
    fleet.accept(site_template(raised, PERIOD_DAYS))
    start_s = fleet.clock.now()
    while fleet.available(f"o/{first}") < raised[first]:
        if fleet.clock.now() - start_s >= ROLLOUT_LIMIT_S:
            return DELIVERY_S
        await fleet.tick()
    return fleet.clock.now() - start_s


async def measure_policies(site: Site, seed: int) -> list[Measure]:
    """Compares the buffer policies at the pool sizes of one site."""
    found: dict[str, PolicyMeasures] = {}
    days: dict[str, DayResult] = {}
    idle: dict[str, int] = {}
    for policy in (PerPoolBuffer(), SharedSpareBuffer()):
        day = await simulate_day(site, policy, seed)
        specs = site_specs()
        sizes = policy.sizes(specs, site_losses(site), REPAIRS)
        days[policy.name] = day
        idle[policy.name] = sizes.idle_vms(specs)
        found[policy.name] = PolicyMeasures(
            buffer=idle[policy.name] * site.cores,
            rollout=await rollout_s(site, policy),
            moves=day.moves,
            flood=day.unserved,
        )
    own = found[PerPoolBuffer.name]
    naive = days[PerPoolBuffer.name].naive_moves
    reference = PolicyMeasures(own.buffer, own.rollout, naive, flood=1.0)
    better, scores = better_policy(found, reference, site.weights)
    return policy_lines(site, found, days, idle, better, scores)


def policy_lines(
    site: Site,
    found: Mapping[str, PolicyMeasures],
    days: Mapping[str, DayResult],
    idle: Mapping[str, int],
    better: str,
    scores: Mapping[str, float],
) -> list[Measure]:
    """Returns the measures of one site; the baseline is a buffer per pool."""
    own, shared = found[PerPoolBuffer.name], found[SharedSpareBuffer.name]
    day = days[SharedSpareBuffer.name]
    lowest = min(item.lowest for item in days.values())
    naive = day.naive_moves
    shares = scores[SharedSpareBuffer.name], scores[PerPoolBuffer.name]
    own_idle, shared_idle = idle[PerPoolBuffer.name], idle[SharedSpareBuffer.name]
    name = site.name
    return [
        at_most("buffer_vms", name, shared_idle, "vms", own_idle, own_idle),
        at_most("buffer_cores", name, shared.buffer, "cores", own.buffer, own.buffer),
        Measure("pool_raise_time", name, shared.rollout, "s", own.rollout),
        at_most("moves_per_day", name, shared.moves, "moves", naive, naive),
        Measure("moves_per_day_per_pool", name, own.moves, "moves", naive),
        Measure("other_work_kept", name, 1 - shared.flood, "share", 1 - own.flood),
        at_least("worst_pool_above_minimum", name, lowest, "vms", 0, None),
        Measure("vms_out_when_rack_lost", name, day.disrupted_at_rack_loss, "vms"),
        Measure("vms_maintained", name, day.reboots, "vms"),
        at_most("policy_score", name, shares[0], "score", shares[1], shares[1]),
        Measure("shared_spare_is_better", name, better == "shared_spare", "bool"),
    ]


@contextmanager
def quiet_log() -> Iterator[None]:
    """Suppresses the planner's log events within the block."""
    verbosity = logging.get_verbosity()
    logging.set_verbosity(logging.FATAL)
    try:
        yield
    finally:
        logging.set_verbosity(verbosity)


async def measures(seed: int) -> list[Measure]:
    """Measures the planner in less than a minute.

    Args:
        seed: Seed of the simulated failures.
    """
    lines: list[Measure] = []
    with quiet_log():
        for site in SITES:
            lines += await measure_policies(site, seed)
            await asyncio.sleep(0)
        lines += await measure_cost()
    return lines
