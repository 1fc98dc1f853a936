from burdockthread_fleet.planner_report import planner_report
from burdockthread_fleet.waves import WavePhase
from burdockthread_model.records import encode_record

from .conftest import make_due
from .test_moves import resize
from .test_waves import until, wave_of


def report_of(fleet):
    return planner_report(fleet.nodes[0].planner)


async def test_pools_show_intended_against_actual(fleet):
    pool = report_of(fleet).pools[0]
    assert (pool.pool, pool.intended_vms, pool.available) == ("o/a", 6, 6)
    assert (pool.budget_left, pool.failure_margin) == (2, 1)


async def test_moves_are_shown_with_their_reason(fleet):
    resize(fleet, a=7)
    await fleet.run(30)
    recent = report_of(fleet).moves[0]
    assert (recent.move.target, recent.move.reason) == ("o/a", "o/a lacks 1")


async def test_wave_shows_progress(fleet):
    make_due(fleet)
    await until(fleet, lambda: len(fleet.control.reboots) == 6)
    wave = report_of(fleet).waves[0]
    assert wave.phase is WavePhase.OPEN
    assert wave.out
    assert wave.maintained + wave.to_do + len(wave.out) == len(fleet.records())


async def test_report_of_a_stopped_wave_has_the_reason(fleet):
    fleet.control.stuck.update(fleet.records())
    make_due(fleet)
    await until(fleet, lambda: wave_of(fleet).phase is WavePhase.STOPPED)
    waits_for = report_of(fleet).waves[0].waits_for
    assert "has not returned in" in waits_for
    assert "newer version is accepted" in waits_for


async def test_report_says_that_no_budget_allows_another_vm(fleet):
    resize(fleet, a=4, b=2, s=1)
    gone = [r.name for r in fleet.records().values() if r.pool != "o/x"]
    keep = {"o/a": 4, "o/b": 2, "o/s": 1}
    for name in gone:
        pool = fleet.records()[name].pool
        if keep[pool] == 0:
            fleet.lose(name)
        else:
            keep[pool] -= 1
    make_due(fleet)
    await fleet.run(5)
    assert report_of(fleet).waves[0].waits_for.startswith("no pool's budget")


async def test_missing_vm_and_old_list_are_shown(fleet):
    vm = next(iter(fleet.records()))
    fleet.lose(vm)
    await fleet.run(10)
    assert report_of(fleet).missing[vm] >= 9
    fleet.directory.down = True
    await fleet.run(15)
    assert not report_of(fleet).view_fresh


async def test_report_can_be_encoded(fleet):
    assert b'"failure_margin"' in encode_record(report_of(fleet))
