import pytest
from burdockthread_fleet.failed_vms import FAILED_AFTER_S
from burdockthread_fleet.failure_poller import ROUND_S, failing_s
from burdockthread_fleet.leadership import Leadership
from burdockthread_fleet.memory_fleet import MemoryFleet, rack_listings
from burdockthread_fleet.missing_vms import LOST_AFTER_S, URGENT_LOST_AFTER_S
from burdockthread_fleet.moves import SURPLUS_DELAY_S
from burdockthread_fleet.planner_report import planner_report
from burdockthread_fleet.waves import WavePhase
from burdockthread_routing.failure_reports import MAX_FAILING
from burdockthread_routing.outliers import FAILURES_TO_EJECT, EndpointReport

from .conftest import ZONES, make_due
from .test_moves import resize
from .test_waves import until, wave_of

NOTICED_S = FAILED_AFTER_S + 2 * ROUND_S


@pytest.fixture
async def fleet(document):
    """Three entries; the first is the planner."""
    fleet = MemoryFleet(rack_listings(ZONES, 14))
    for name in ("first", "second", "third"):
        fleet.add_node(name)
    fleet.accept(document)
    await fleet.run(5)
    return fleet


def vms_of(fleet, pool):
    return sorted(r.name for r in fleet.records().values() if r.pool == pool)


async def run_failing(fleet, vms, seconds, nodes=3, check=lambda: None):
    """Lets VMs fail for the first `nodes` entries and work for the others."""
    for _ in range(int(seconds)):
        for number, node in enumerate(fleet.nodes):
            for vm in vms:
                if number >= nodes:
                    node.outliers.succeeded(vm)
                    continue
                for _ in range(FAILURES_TO_EJECT):
                    node.outliers.failed(vm)
        await fleet.run(1)
        check()


def report(length_s, age_s):
    return EndpointReport("vm", "boot", length_s, age_s)


@pytest.mark.parametrize(
    ("reports", "length_s"),
    [
        ([report(30, 1)], 30),
        ([report(30, 1), report(0, 1)], 0),
        ([report(50, 1), report(30, 1), report(0, 1)], 30),
        ([report(30, 1), report(0, 40)], 30),
        ([report(1000, 500), report(0, 300)], 0),
        ([report(1000, 500), report(900, 500), report(0, 1)], 0),
        ([report(1000, 500)], 1000),
    ],
)
def test_vm_fails_if_it_fails_for_most_entries_with_recent_attempts(reports, length_s):
    assert failing_s(reports) == length_s


async def test_wave_counts_a_vm_that_starts_to_fail_against_the_budget(fleet):
    make_due(fleet)
    await until(fleet, lambda: wave_of(fleet).phase is WavePhase.OPEN)
    vm = vms_of(fleet, "o/a")[-1]
    await run_failing(fleet, [vm], NOTICED_S)
    assert wave_of(fleet).phase is WavePhase.OPEN

    def check():
        assert fleet.available("o/a") - 1 >= 4 + 1

    await run_failing(fleet, [vm], LOST_AFTER_S, check=check)
    assert fleet.available("o/a") - 1 >= 6
    await run_failing(fleet, [vm], 120, check=check)
    assert wave_of(fleet).phase is WavePhase.DONE


async def test_failing_vm_is_replaced_and_the_surplus_returned_once_it_works(fleet):
    node = fleet.nodes[0]
    vm = vms_of(fleet, "o/a")[0]
    await run_failing(fleet, [vm], LOST_AFTER_S - 2)
    shown = planner_report(node.planner)
    assert shown.failing[vm] > LOST_AFTER_S - 2 * ROUND_S
    assert shown.pools[0].available == 5
    assert node.metrics.counters["planner.moves"] == 0
    await run_failing(fleet, [vm], 30)
    assert len(vms_of(fleet, "o/a")) == 7
    counters = node.metrics.counters
    assert (counters["planner.failing"], counters["planner.given_up"]) == (1, 1)
    await run_failing(fleet, [vm], SURPLUS_DELAY_S + 30, nodes=0)
    assert len(vms_of(fleet, "o/a")) == 6
    assert not planner_report(node.planner).failing


async def test_failing_vms_below_the_minimum_are_replaced_sooner(fleet):
    resize(fleet, a=6, b=2)
    fleet.template.document["pools"]["a"]["min_available"] = 5
    fleet.accept(fleet.template.document)
    await fleet.run(5)
    await run_failing(fleet, vms_of(fleet, "o/a")[:2], URGENT_LOST_AFTER_S + 20)
    assert len(vms_of(fleet, "o/a")) == 8


async def test_failures_seen_by_one_entry_only_are_ignored(fleet):
    await run_failing(fleet, vms_of(fleet, "o/a")[:1], NOTICED_S, nodes=1)
    node = fleet.nodes[0]
    assert not planner_report(node.planner).failing
    node.failures.answers.clear()
    await node.failures.round()
    assert not node.failures.failing(fleet.directory.listings)


async def test_failures_of_a_whole_pool_cause_no_moves(fleet):
    node = fleet.nodes[0]
    await run_failing(fleet, vms_of(fleet, "o/a"), LOST_AFTER_S + 60)
    shown = planner_report(node.planner)
    assert shown.failures_not_believed == ("o/a",)
    assert len(shown.failing) == 2
    assert node.metrics.counters["planner.failures_not_believed"] == 1
    assert node.metrics.counters["planner.moves"] == 0


async def test_entry_with_more_failing_vms_than_the_limit_reports_none(fleet):
    node = fleet.nodes[0]
    for number in range(MAX_FAILING + 1):
        for _ in range(FAILURES_TO_EJECT):
            node.outliers.failed(f"vm-{number}")
    await fleet.clock.advance(1)
    await node.failures.round()
    assert not node.failures.failing_vms()


async def test_failures_of_an_earlier_boot_are_ignored(fleet):
    vm = vms_of(fleet, "o/a")[0]
    await run_failing(fleet, [vm], NOTICED_S)
    listing = fleet.directory.listings[vm]
    failures = fleet.nodes[0].failures
    assert vm in failures.failing({vm: listing})
    assert not failures.failing({vm: listing._replace(boot_id="replaced")})
    fleet.directory.listings[vm] = listing._replace(boot_id="replaced")
    await fleet.run(2 * ROUND_S)
    assert not planner_report(fleet.nodes[0].planner).failing


async def test_planner_starts_no_drain_before_it_has_polled_the_entries(fleet):
    node = fleet.nodes[0]
    make_due(fleet)
    await until(fleet, lambda: wave_of(fleet).phase is WavePhase.OPEN)
    node.failures.leadership = Leadership("another", fleet.store, fleet.clock)
    await fleet.run(10)
    drains = node.metrics.counters["planner.drains"]
    await fleet.run(30)
    assert node.metrics.counters["planner.drains"] == drains
    wave = planner_report(node.planner).waves[0]
    assert wave.waits_for == "the entries were not asked which VMs fail"


async def test_wave_stops_when_vms_fail_after_it(fleet):
    fleet.control.reboot_s = 20
    make_due(fleet)
    await until(fleet, lambda: len(fleet.control.reboots) >= 5)
    failing = [vm for vm, _ in fleet.control.reboots][1:3]
    await run_failing(fleet, failing, URGENT_LOST_AFTER_S + 10)
    assert wave_of(fleet).phase is WavePhase.STOPPED
