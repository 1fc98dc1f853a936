from collections import Counter

import pytest
from burdockthread_fleet.memory_fleet import MemoryFleet, rack_listings
from burdockthread_fleet.missing_vms import LOST_AFTER_S
from burdockthread_fleet.vm_writer import VMS_PER_TRANSACTION, VmUpdate
from burdockthread_model.vm import VmState, VmStatus

from .conftest import ZONES, check_invariants, small_template


def zones_of(fleet, pool):
    """Counts a pool's VMs by availability zone."""
    listings = fleet.directory.listings
    records = fleet.records().values()
    return Counter(
        listings[r.name].availability_zone for r in records if r.pool == pool
    )


async def start(document, vms, zones=ZONES):
    fleet = MemoryFleet(rack_listings(zones, vms))
    fleet.add_node("first")
    fleet.accept(document)
    await fleet.run(5)
    return fleet


async def test_pool_is_spread_over_zones_and_racks(fleet):
    assert max(zones_of(fleet, "o/a").values()) == 2
    racks = Counter(
        fleet.directory.listings[r.name].rack
        for r in fleet.records().values()
        if r.pool == "o/b"
    )
    assert max(racks.values()) == 1


async def test_pool_gets_vms_of_its_zones_only():
    document = small_template(
        any={"vms": 8, "min_available": 0},
        one={"vms": 4, "min_available": 0, "zones": ["catania"]},
    )
    fleet = await start(document, 12)
    assert zones_of(fleet, "o/one") == {"catania": 4}
    assert zones_of(fleet, "o/any").total() == 8


async def test_every_pool_reaches_its_minimum_before_any_is_filled():
    document = small_template(
        a={"vms": 8, "min_available": 3},
        b={"vms": 8, "min_available": 3},
        s={"vms": 8, "min_available": 2, "spare": True},
    )
    fleet = await start(document, 8)
    sizes = {p: fleet.available(f"o/{p}") for p in "abs"}
    assert sizes == {"a": 3, "b": 3, "s": 2}


async def test_whole_fleet_is_assigned_within_4_s_in_bounded_transactions():
    pools = {f"p{n:02}": {"vms": 13, "min_available": 9} for n in range(44)}
    fleet = MemoryFleet(rack_listings([f"z{n:02}" for n in range(12)], 610))
    fleet.add_node("first")
    sizes = []
    write = fleet.store.write

    async def counted(changes, guards=()):
        sizes.append(len(changes) + len(guards))
        return await write(changes, guards)

    fleet.store.write = counted
    fleet.accept(small_template(**pools))
    await fleet.run(4)
    assert sum(fleet.available(f"o/{name}") for name in pools) == 44 * 13
    assert max(sizes) <= 128
    assert len(sizes) <= 2 + 2 * (1 + 44 * 13 // VMS_PER_TRANSACTION) + 4


async def test_vm_missing_longer_than_the_limit_is_replaced(fleet):
    lost = next(r.name for r in fleet.records().values() if r.pool == "o/a")
    fleet.lose(lost)
    await fleet.run(LOST_AFTER_S - 10)
    assert fleet.available("o/a") == 5
    await fleet.run(60)
    assert fleet.available("o/a") == 6
    assert lost not in fleet.records()
    check_invariants(fleet)


async def test_vm_missing_shorter_than_the_limit_keeps_its_pool(fleet):
    lost = next(r.name for r in fleet.records().values() if r.pool == "o/a")
    listing = fleet.directory.listings[lost]
    fleet.lose(lost)
    await fleet.run(LOST_AFTER_S - 10)
    fleet.directory.listings[lost] = listing
    await fleet.run(120)
    assert fleet.records()[lost].pool == "o/a"
    assert fleet.nodes[0].metrics.counters["planner.moves"] == 0


async def test_lost_vm_that_reappears_gets_a_newer_generation(fleet):
    record = next(r for r in fleet.records().values() if r.pool == "o/a")
    listing = fleet.directory.listings[record.name]
    fleet.lose(record.name)
    await fleet.run(LOST_AFTER_S + 60)
    fleet.directory.listings[record.name] = listing
    await fleet.run(10)
    found = fleet.records()[record.name]
    assert found.generation > record.generation
    assert found.state is VmState.SERVING
    check_invariants(fleet)


async def test_vm_on_an_unexpected_boot_is_reassigned_to_its_pool(fleet):
    record = next(r for r in fleet.records().values() if r.pool == "o/a")
    listing = fleet.directory.listings[record.name]
    fleet.directory.listings[record.name] = listing._replace(boot_id="other")
    fleet.control.pools[record.name] = ""
    await fleet.run(3)
    assert fleet.control.pools[record.name] == "o/a"
    assert fleet.records()[record.name].generation == record.generation + 1


async def test_name_reused_in_another_zone_is_assigned_anew():
    document = small_template(
        any={"vms": 8, "min_available": 0},
        one={"vms": 3, "min_available": 0, "zones": ["catania"]},
    )
    fleet = await start(document, 24)
    record = next(r for r in fleet.records().values() if r.pool == "o/one")
    fleet.directory.listings[record.name] = fleet.directory.listings[
        record.name
    ]._replace(boot_id="other", availability_zone="palermo")
    await fleet.run(10)
    assert zones_of(fleet, "o/one") == {"catania": 3}
    assert record.name not in fleet.records()
    check_invariants(fleet)


async def test_quarantined_vm_is_replaced_and_not_available(fleet):
    node = fleet.nodes[0]
    record = next(r for r in fleet.records().values() if r.pool == "o/a")
    quarantined = record._replace(state=VmState.QUARANTINED)
    await node.planner.writer.commit([VmUpdate(record.name, quarantined)])
    await fleet.run(1)
    assert fleet.available("o/a") == 5
    await fleet.run(20)
    assert fleet.available("o/a") == 6


async def test_empty_list_of_vms_changes_no_record(fleet):
    before = dict(fleet.records())
    listings = dict(fleet.directory.listings)
    fleet.directory.listings.clear()
    await fleet.run(LOST_AFTER_S + 60)
    fleet.directory.listings.update(listings)
    await fleet.run(30)
    assert fleet.records() == before


@pytest.mark.parametrize("status", list(VmStatus))
async def test_only_live_vms_are_assigned(document, status):
    listings = rack_listings(ZONES, 14)
    fleet = MemoryFleet(tuple(v._replace(status=status) for v in listings))
    fleet.add_node("first")
    fleet.accept(document)
    await fleet.run(3)
    assert len(fleet.records()) == (14 if status is VmStatus.LIVE else 0)
