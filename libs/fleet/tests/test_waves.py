import pytest
from burdockthread_fleet.budget import failure_margin
from burdockthread_fleet.memory_fleet import MemoryFleet, rack_listings
from burdockthread_fleet.waves import CANARY_SOAK_S, WavePhase, read_wave
from burdockthread_model.errors import StoreUnknownError
from burdockthread_model.vm import VmState, VmStatus

from .conftest import ZONES, check_invariants, make_due, small_template

TIMEOUT_S = 60


def wave_of(fleet):
    return read_wave(fleet.nodes[0].pool_cache, fleet.organisations()[0])


def out_of(fleet):
    return [r for r in fleet.records().values() if r.wave]


async def until(fleet, holds, limit_s=300):
    """Runs the fleet until a condition holds."""
    for _ in range(limit_s * 2):
        if holds():
            return
        await fleet.tick()
    raise AssertionError("the condition never held")


async def test_canary_is_from_the_spare_pool_and_maintained_alone(fleet):
    make_due(fleet)
    await until(fleet, lambda: len(out_of(fleet)) > 0)
    assert out_of(fleet)[0].pool == "o/s"
    await until(fleet, lambda: not out_of(fleet))
    await fleet.run(CANARY_SOAK_S - 2)
    assert len(fleet.control.reboots) == 1
    await until(fleet, lambda: len(out_of(fleet)) > 0)


async def test_wave_maintains_every_vm_once_in_one_zone_at_a_time(fleet):
    make_due(fleet)
    await fleet.tick()
    while wave_of(fleet).phase is not WavePhase.DONE:
        await fleet.tick()
        zones = {
            fleet.directory.listings[r.name].availability_zone for r in out_of(fleet)
        }
        assert len(zones) <= 1
    assert sorted(vm for vm, _ in fleet.control.reboots) == sorted(fleet.records())


def serving_places(fleet, pool):
    """Returns name, rack and zone of the VMs that serve a pool on the platform."""
    records = fleet.records()
    return [
        {
            "vm": v.name,
            "rack": (v.availability_zone, v.rack),
            "zone": v.availability_zone,
        }
        for v in fleet.directory.listings.values()
        if v.status is VmStatus.LIVE
        and fleet.control.pools.get(v.name) == pool
        and records[v.name].state is VmState.SERVING
    ]


@pytest.mark.parametrize(
    ("survives", "floor"), [("vm", 16), ("rack", 14), ("zone", 11)]
)
async def test_wave_keeps_the_minimum_if_the_worst_domain_fails(survives, floor):
    document = small_template(
        a={"vms": 18, "min_available": floor, "survives": survives},
        s={"vms": 6, "min_available": 0, "spare": True},
    )
    fleet = MemoryFleet(rack_listings(ZONES, 24), reboot_s=10)
    fleet.add_node("first")
    fleet.accept(document)
    await fleet.run(5)
    make_due(fleet)
    await fleet.tick()
    while wave_of(fleet).phase is not WavePhase.DONE:
        await fleet.tick()
        places = serving_places(fleet, "o/a")
        for place in places:
            left = [p for p in places if p[survives] != place[survives]]
            assert len(left) >= floor


@pytest.mark.parametrize("survives", ["vm", "rack", "zone"])
@pytest.mark.parametrize("lost", ["rack", "zone"])
async def test_budget_is_never_overspent_when_a_domain_fails_in_a_wave(survives, lost):
    document = small_template(
        a={"vms": 9, "min_available": 5, "survives": survives},
        b={"vms": 6, "min_available": 2, "survives": survives},
        s={"vms": 3, "min_available": 0, "spare": True},
    )
    fleet = MemoryFleet(rack_listings(ZONES, 18))
    node = fleet.add_node("first")
    fleet.accept(document)
    await fleet.run(5)
    make_due(fleet)
    await until(fleet, lambda: len(out_of(fleet)) > 1)
    place = next(iter(fleet.directory.listings.values()))
    gone = [
        v.name
        for v in fleet.directory.listings.values()
        if v.availability_zone == place.availability_zone
        and (lost == "zone" or v.rack == place.rack)
    ]
    fleet.lose(*gone)
    drains = node.metrics.counters["planner.drains"]
    for _ in range(400):
        await fleet.tick()
        started = node.metrics.counters["planner.drains"] - drains
        drains += started
        for pool in node.planner.state().pools.values():
            covered = survives in (lost, "zone")
            if covered:
                assert fleet.available(pool.spec.name) >= pool.spec.min_available
            drained = any(r.pool == pool.spec.name for r in out_of(fleet))
            if started and drained:
                assert failure_margin(pool.spec, pool.available()) >= 0
    check_invariants(fleet)


async def test_wave_stops_when_its_canary_does_not_return(fleet):
    fleet.control.stuck.update(fleet.records())
    make_due(fleet)
    await fleet.run(TIMEOUT_S + 20)
    wave = wave_of(fleet)
    assert wave.phase is WavePhase.STOPPED
    assert "has not returned" in wave.reason
    assert len(fleet.control.reboots) == 1
    await fleet.run(100)
    assert len(fleet.control.reboots) == 1
    fleet.control.stuck.clear()
    await until(fleet, lambda: wave_of(fleet).phase is WavePhase.DONE)
    check_invariants(fleet)


async def test_newer_template_starts_a_new_wave_after_a_stop(fleet):
    fleet.control.stuck.update(fleet.records())
    make_due(fleet)
    await until(fleet, lambda: wave_of(fleet).phase is WavePhase.STOPPED)
    culprit = wave_of(fleet).stopped_by
    fleet.control.stuck = {culprit}
    fleet.accept(fleet.template.document)
    await until(fleet, lambda: wave_of(fleet).phase is WavePhase.DONE)
    assert wave_of(fleet).number == 2
    assert wave_of(fleet).canary != culprit
    check_invariants(fleet)


async def test_loss_of_the_vm_that_stopped_a_wave_does_not_resume_it(fleet):
    make_due(fleet)
    await until(fleet, lambda: len(fleet.control.reboots) == 1)
    fleet.lose(fleet.control.reboots[0][0])
    await fleet.run(500)
    assert wave_of(fleet).phase is WavePhase.STOPPED
    assert wave_of(fleet).stopped_by not in fleet.records()
    assert len(fleet.control.reboots) == 1


async def test_wave_stops_when_its_vms_fail_after_they_returned(fleet):
    fleet.control.reboot_s = 20
    make_due(fleet)
    await until(fleet, lambda: len(fleet.control.reboots) >= 6)
    maintained = [vm for vm, _ in fleet.control.reboots]
    records = fleet.records()
    broken = [vm for vm in maintained if records[vm].state is VmState.SERVING][:2]
    fleet.lose(*broken)
    await until(fleet, lambda: wave_of(fleet).phase is WavePhase.STOPPED)
    assert "failed after maintenance" in wave_of(fleet).reason


async def test_vm_with_work_in_flight_is_never_rebooted(fleet):
    fleet.control.in_flight = dict.fromkeys(fleet.records(), 1)
    make_due(fleet)
    await fleet.run(TIMEOUT_S + 20)
    assert wave_of(fleet).phase is WavePhase.STOPPED
    assert "has not drained" in wave_of(fleet).reason
    assert not fleet.control.reboots
    fleet.control.in_flight.clear()
    await until(fleet, lambda: wave_of(fleet).phase is WavePhase.DONE)


async def test_returned_vm_serves_only_once_it_confirmed_its_pool(fleet):
    make_due(fleet)
    await until(fleet, lambda: len(fleet.control.booting) > 0)
    vm = fleet.control.reboots[0][0]
    fleet.control.silent.add(vm)
    await fleet.run(10)
    assert fleet.directory.listings[vm].status is VmStatus.LIVE
    assert fleet.records()[vm].state is VmState.RETURNING
    fleet.control.silent.clear()
    await fleet.run(3)
    assert fleet.records()[vm].state is VmState.SERVING


async def test_no_disruption_starts_while_the_store_is_unavailable(fleet):
    make_due(fleet)
    with fleet.store.outage():
        await fleet.run(30)
    assert not [o for o in fleet.control.orders if o.startswith("drain")]


async def test_no_disruption_starts_while_the_list_of_vms_is_old(fleet):
    fleet.directory.down = True
    await fleet.run(15)
    make_due(fleet)
    await fleet.run(30)
    assert not [o for o in fleet.control.orders if o.startswith("drain")]
    fleet.directory.down = False
    await until(fleet, lambda: len(fleet.control.reboots) > 0)


async def test_records_are_refreshed_before_a_disruption_if_the_last_contact_is_old(
    fleet,
):
    node = fleet.nodes[0]
    make_due(fleet)
    node.vm_cache.contact_s = float("-inf")
    with fleet.store.outage():
        await node.planner.step()
    assert node.metrics.counters["planner.step_failures"] == 1
    assert not out_of(fleet)
    await node.planner.step()
    assert node.metrics.counters["planner.refreshes"] == 2
    assert out_of(fleet)


async def test_wave_completes_although_the_answers_to_all_writes_are_lost(fleet):
    write = fleet.store.write

    async def lossy(changes, guards=()):
        await write(changes, guards)
        raise StoreUnknownError("the answer was lost")

    fleet.store.write = lossy
    make_due(fleet)
    await until(fleet, lambda: len(out_of(fleet)) > 0)
    await until(fleet, lambda: wave_of(fleet).phase is WavePhase.DONE)
    assert len(fleet.control.reboots) == len(fleet.records())
    check_invariants(fleet)


async def test_vm_that_does_not_return_is_replaced(fleet):
    make_due(fleet)
    await until(fleet, lambda: any(r.pool == "o/a" for r in out_of(fleet)), limit_s=120)
    stuck = next(r.name for r in out_of(fleet) if r.pool == "o/a")
    fleet.control.stuck.add(stuck)
    await fleet.run(TIMEOUT_S + 60)
    assert fleet.records()[stuck].state is VmState.REBOOTING
    assert fleet.available("o/a") == 6
    assert wave_of(fleet).phase is WavePhase.STOPPED
