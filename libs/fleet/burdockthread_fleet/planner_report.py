"""The planner's report to operators."""

from collections import Counter
from typing import NamedTuple

from burdockthread_model.vm import VmState

from burdockthread_fleet.budget import failure_margin, read_disruptions
from burdockthread_fleet.fleet_state import PoolState
from burdockthread_fleet.planner import Planner, RecentMove
from burdockthread_fleet.waves import Wave, WavePhase, WaveScope, choose_vms


class PoolReport(NamedTuple):
    """Intended and actual state of one pool.

    Attributes:
        pool: Name of the pool.
        intended_vms: Number of VMs according to the template.
        actual_vms: Number of VMs recorded in the pool.
        available: Number of VMs that serve now.
        min_available: Number of VMs that have to be available at every moment.
        budget_left: Number of available VMs above the minimum.
        failure_margin: VMs above the minimum after the worst failure; no VM is
            disrupted if that would make the margin negative.
        disrupted: VMs taken out of service for a move or maintenance.
        states: Number of VMs by state of their record.
    """

    pool: str
    intended_vms: int
    actual_vms: int
    available: int
    min_available: int
    budget_left: int
    failure_margin: int
    disrupted: tuple[str, ...]
    states: dict[str, int]


class WaveReport(NamedTuple):
    """Progress of an organisation's maintenance.

    Attributes:
        wave: Id of the wave.
        phase: Phase of the wave.
        started_s: Unix time of its start.
        canary: Its first VM, or empty.
        out: VMs in maintenance now.
        maintained: Number of VMs that the wave has maintained.
        to_do: Number of VMs that are still to be maintained.
        waits_for: Why no further VM is maintained now, or empty.
    """

    wave: str
    phase: WavePhase
    started_s: float
    canary: str
    out: tuple[str, ...]
    maintained: int
    to_do: int
    waits_for: str


class PlannerReport(NamedTuple):
    """Intended and actual state of the fleet, and the planner's current work.

    Attributes:
        planner: Whether this process is the planner now.
        view_fresh: Whether the list of VMs is recent enough to plan by.
        pools: Intended and actual state of each pool.
        waves: Maintenance waves, one for each organisation of a template.
        free_vms: Live VMs without a pool.
        quarantined: VMs that get no work because they fail.
        missing: Seconds for which VMs have been missing, by VM.
        failing: Seconds for which VMs that count as unavailable have failed for
            most entries that use them; known to the planner only.
        failures_not_believed: Pools in which more VMs fail than may count as failing;
            no VM is replaced there.
        moves: Recent moves that this process started, with their reasons.
    """

    planner: bool
    view_fresh: bool
    pools: tuple[PoolReport, ...]
    waves: tuple[WaveReport, ...]
    free_vms: int
    quarantined: tuple[str, ...]
    missing: dict[str, float]
    failing: dict[str, float]
    failures_not_believed: tuple[str, ...]
    moves: tuple[RecentMove, ...]


def planner_report(planner: Planner) -> PlannerReport:
    """Returns the report from this entry's memory, without any request."""
    state = planner.state()
    now = planner.clock.now()
    records = planner.view.records.values()
    quarantined = [r.name for r in records if r.state is VmState.QUARANTINED]
    specs = planner.view.organisations.values()
    failures = planner.failed.pools
    return PlannerReport(
        planner=planner.leadership.held(),
        view_fresh=planner.missing_vms.fresh(),
        pools=tuple(
            pool_report(planner, state.pools[name]) for name in sorted(state.pools)
        ),
        waves=tuple(wave_report(planner, planner.scope(s, state)) for s in specs),
        free_vms=len(state.free),
        quarantined=tuple(sorted(quarantined)),
        missing={vm: now - since for vm, since in planner.missing_vms.since_s.items()},
        failing={v: s for pool in failures.values() for v, s in pool.seconds.items()},
        failures_not_believed=tuple(n for n, p in failures.items() if not p.credible),
        moves=tuple(planner.recent_moves),
    )


def pool_report(planner: Planner, pool: PoolState) -> PoolReport:
    """Returns the report of one pool."""
    available = pool.available()
    spec = pool.spec
    return PoolReport(
        pool=spec.name,
        intended_vms=spec.vms,
        actual_vms=len(pool.members),
        available=len(available),
        min_available=spec.min_available,
        budget_left=len(available) - spec.min_available,
        failure_margin=failure_margin(spec, available),
        disrupted=read_disruptions(planner.pool_cache, spec.name).vms,
        states=dict(Counter(m.record.state.value for m in pool.members)),
    )


def wave_report(planner: Planner, scope: WaveScope) -> WaveReport:
    """Returns the report of one organisation's maintenance."""
    wave = scope.wave
    to_do = scope.candidates() if wave.active else []
    members = scope.members() if wave.number else []
    return WaveReport(
        wave=scope.wave_id,
        phase=wave.phase,
        started_s=wave.started_s,
        canary=wave.canary,
        out=tuple(sorted(m.record.name for m in scope.in_maintenance())),
        maintained=sum(m.record.maintained_s >= wave.started_s for m in members),
        to_do=len(to_do),
        waits_for=waits_for(planner, scope, wave),
    )


def waits_for(planner: Planner, scope: WaveScope, wave: Wave) -> str:
    """Returns why a wave maintains no further VM now, or an empty text."""
    if wave.phase is WavePhase.STOPPED:
        return f"{wave.reason}; goes on once it serves or a newer version is accepted"
    if not wave.active or scope.in_maintenance():
        return ""
    if not planner.missing_vms.fresh():
        return "the list of VMs is out of date"
    if not planner.failed.poller.fresh():
        return "the entries were not asked which VMs fail"
    if wave.canary and wave.phase is WavePhase.CANARY:
        return f"canary {wave.canary} has to serve for a while"
    blocked = scope.candidates() and not choose_vms(scope)
    return "no pool's budget allows another VM to be out" if blocked else ""
