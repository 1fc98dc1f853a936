import pytest
from burdockthread_fleet.memory_fleet import MemoryFleet, rack_listings
from burdockthread_fleet.missing_vms import LOST_AFTER_S
from burdockthread_fleet.moves import SURPLUS_DELAY_S

from .conftest import ZONES, check_invariants, small_template


def resize(fleet, **sizes):
    """Accepts other sizes of pools; None removes a pool."""
    document = fleet.template.document
    pools = dict(document["pools"])
    for name, vms in sizes.items():
        if vms is None:
            del pools[name]
        else:
            pools[name] = {**pools[name], "vms": vms}
    fleet.accept({**document, "pools": pools})


def sizes_of(fleet):
    return {name: fleet.available(f"o/{name}") for name in "abs"}


def moves_of(fleet):
    return [recent.move for recent in fleet.nodes[0].planner.recent_moves]


async def test_enlarged_pool_is_filled_from_the_spare_pool(fleet):
    resize(fleet, a=8)
    await fleet.run(60)
    assert sizes_of(fleet) == {"a": 8, "b": 4, "s": 2}
    assert [m.source for m in moves_of(fleet)] == ["o/s", "o/s"]
    assert moves_of(fleet)[0].reason == "o/a lacks 2"
    assert fleet.nodes[0].metrics.counters["planner.moved"] == 2
    check_invariants(fleet)


async def test_spare_pool_keeps_its_own_budget(fleet):
    resize(fleet, a=10)
    await fleet.run(120)
    assert sizes_of(fleet) == {"a": 8, "b": 4, "s": 2}


async def test_surplus_returns_to_the_spare_pool_after_the_delay(fleet):
    resize(fleet, a=5)
    await fleet.run(SURPLUS_DELAY_S - 5)
    assert sizes_of(fleet)["a"] == 6
    await fleet.run(60)
    assert sizes_of(fleet) == {"a": 5, "b": 4, "s": 5}


async def test_surplus_shorter_than_the_delay_causes_no_move(fleet):
    resize(fleet, a=4)
    await fleet.run(SURPLUS_DELAY_S / 2)
    resize(fleet, a=6)
    await fleet.run(SURPLUS_DELAY_S * 2)
    assert not moves_of(fleet)


async def test_surplus_moves_directly_to_a_pool_with_too_few_vms(fleet):
    resize(fleet, a=5, b=5)
    await fleet.run(SURPLUS_DELAY_S * 2)
    assert sizes_of(fleet) == {"a": 5, "b": 5, "s": 4}
    assert [(m.source, m.target) for m in moves_of(fleet)] == [("o/a", "o/b")]


async def test_budget_of_a_shrunk_pool_limits_the_moves_out_of_it(fleet):
    resize(fleet, a=4)
    await fleet.run(SURPLUS_DELAY_S * 2)
    assert sizes_of(fleet) == {"a": 5, "b": 4, "s": 5}


async def test_vms_of_a_removed_pool_go_to_the_spare_pool(fleet):
    resize(fleet, b=None)
    await fleet.run(120)
    assert sizes_of(fleet) == {"a": 6, "b": 0, "s": 8}


async def test_free_vm_is_taken_before_any_move(fleet):
    extra = rack_listings(ZONES, 16)[14:]
    fleet.directory.listings.update({v.name: v for v in extra})
    resize(fleet, a=8)
    await fleet.run(60)
    assert sizes_of(fleet) == {"a": 8, "b": 4, "s": 4}
    assert not moves_of(fleet)


async def test_lost_vms_are_replaced_from_the_spare_pool_once(fleet):
    gone = [r.name for r in fleet.records().values() if r.pool == "o/a"][:2]
    listings = {vm: fleet.directory.listings[vm] for vm in gone}
    fleet.lose(*gone)
    await fleet.run(LOST_AFTER_S + 60)
    assert sizes_of(fleet) == {"a": 6, "b": 4, "s": 2}
    fleet.directory.listings.update(listings)
    await fleet.run(SURPLUS_DELAY_S * 2)
    assert sizes_of(fleet) == {"a": 6, "b": 4, "s": 4}
    assert len(moves_of(fleet)) == 2


async def test_lost_vms_of_a_pool_below_its_minimum_are_replaced_sooner(fleet):
    gone = [r.name for r in fleet.records().values() if r.pool == "o/a"][:3]
    fleet.lose(*gone)
    await fleet.run(60)
    assert fleet.available("o/a") >= 4
    assert len(moves_of(fleet)) >= 1


@pytest.mark.parametrize("zone", ZONES)
async def test_moves_respect_the_zones_of_a_pool(zone):
    document = small_template(
        a={"vms": 1, "min_available": 0, "zones": [zone]},
        b={"vms": 3, "min_available": 0},
        s={"vms": 8, "min_available": 1, "spare": True},
    )
    fleet = MemoryFleet(rack_listings(ZONES, 12))
    fleet.add_node("first")
    fleet.accept(document)
    await fleet.run(5)
    resize(fleet, a=3)
    await fleet.run(60)
    zones = {
        fleet.directory.listings[r.name].availability_zone
        for r in fleet.records().values()
        if r.pool == "o/a"
    }
    assert sizes_of(fleet)["a"] == 3
    assert zones == {zone}
