"""Maintenance waves: when a wave starts and stops, and which VMs come next."""

from collections.abc import Mapping, Set
from enum import StrEnum
from typing import NamedTuple

from burdockthread_model.intended import MaintenanceSpec, OrganisationSpec
from burdockthread_model.records import RecordError, decode_record, encode_record
from burdockthread_model.vm import VmListing, VmRecord, VmState, VmStatus
from burdockthread_store.prefix_cache import PrefixCache
from burdockthread_store.store import Change

from burdockthread_fleet.budget import POOL_PREFIX, may_disrupt
from burdockthread_fleet.fleet_state import Member, PoolState

SECONDS_PER_DAY = 86_400.0
START_SHARE = 0.9
CANDIDATE_SHARE = 0.85
CANARY_SOAK_S = 10.0
MIN_DISRUPTION_LIMIT = 2
DISRUPTED_SHARE = 0.1
FAILURES_TO_STOP = 2


class WavePhase(StrEnum):
    """Phase of a wave."""

    CANARY = "canary"
    OPEN = "open"
    STOPPED = "stopped"
    DONE = "done"


class Wave(NamedTuple):
    """A wave, kept at ``pool/<organisation>/<template>/wave``.

    Attributes:
        number: Number of the wave; increases by one with each.
        phase: Phase of the wave.
        version: Version of the template in force when the wave was started.
        started_s: Unix time of the start.
        canary: Name of the first VM, or empty before one is chosen.
        stopped_by: Name of the VM because of which the wave stopped, or empty.
        reason: Why the wave stopped, or empty.
    """

    number: int = 0
    phase: WavePhase = WavePhase.DONE
    version: int = 0
    started_s: float = 0.0
    canary: str = ""
    stopped_by: str = ""
    reason: str = ""

    @property
    def active(self) -> bool:
        """Whether the wave may start maintenance of VMs."""
        return self.phase in (WavePhase.CANARY, WavePhase.OPEN)


class WaveScope(NamedTuple):
    """A wave and the pools that it covers, those of one organisation's template.

    Attributes:
        spec: Intended state of the organisation.
        pools: Its pools by name.
        wave: Its wave as last recorded.
        failed: Names of the VMs that have been missing or failing for a while.
        now_s: Unix time.
    """

    spec: OrganisationSpec
    pools: Mapping[str, PoolState]
    wave: Wave
    failed: Set[str]
    now_s: float

    @property
    def wave_id(self) -> str:
        """Id of the wave, as in the records of the VMs in maintenance."""
        return f"{self.spec.organisation}/{self.spec.template}#{self.wave.number}"

    def members(self) -> list[Member]:
        """Returns all VMs of the pools."""
        return [m for pool in self.pools.values() for m in pool.members]

    def in_maintenance(self) -> list[Member]:
        """Returns the VMs that the wave has in maintenance."""
        return [m for m in self.members() if m.record.wave == self.wave_id]

    def find(self, vm: str) -> Member | None:
        """Returns a VM by name, or None."""
        return next((m for m in self.members() if m.record.name == vm), None)

    def due(self, share: float) -> list[Member]:
        """Returns the VMs last maintained at least a share of the period ago."""
        period_s = self.spec.maintenance.period_days * SECONDS_PER_DAY
        limit_s = self.now_s - share * period_s
        return [m for m in self.members() if is_due(m, limit_s)]

    def candidates(self) -> list[Member]:
        """Returns the VMs that the wave still has to maintain."""
        started_s = self.wave.started_s
        return [
            m for m in self.due(CANDIDATE_SHARE) if m.record.maintained_s < started_s
        ]


def is_due(member: Member, limit_s: float) -> bool:
    """Returns whether a VM was last maintained before a time and can be drained.

    Quarantined VMs are maintained too if they are listed as live.
    """
    if member.listing is None or member.record.maintained_s > limit_s:
        return False
    if member.record.state is VmState.QUARANTINED:
        return member.listing.status is VmStatus.LIVE
    return member.available


def next_phase(scope: WaveScope) -> Wave:
    """Returns the wave in the phase that it should be in now.

    A stopped wave stays stopped until the VM that stopped it serves again or
    operators accept a newer version of the template.
    """
    wave = scope.wave
    if wave.phase is WavePhase.DONE:
        return new_wave(scope) if scope.due(START_SHARE) else wave
    if wave.phase is WavePhase.STOPPED:
        return resumed(scope)
    stopped = stopped_on_failure(scope)
    if stopped is not None:
        return stopped
    if wave.phase is WavePhase.CANARY:
        return after_canary(scope)
    if scope.in_maintenance() or scope.candidates():
        return wave
    return wave._replace(phase=WavePhase.DONE)


def new_wave(scope: WaveScope) -> Wave:
    """Returns a new wave that has no canary yet."""
    return Wave(
        number=scope.wave.number + 1,
        phase=WavePhase.CANARY,
        version=scope.spec.version,
        started_s=scope.now_s,
    )


def resumed(scope: WaveScope) -> Wave:
    """Returns a stopped wave, resumed if the VM that stopped it serves again.

    A newer version of the template starts a new wave instead.
    """
    wave = scope.wave
    if scope.spec.version > wave.version:
        return new_wave(scope)
    blocking_vm = scope.find(wave.stopped_by)
    if blocking_vm is None or not blocking_vm.available:
        return wave
    phase = WavePhase.CANARY if wave.canary == wave.stopped_by else WavePhase.OPEN
    return wave._replace(phase=phase, stopped_by="", reason="")


def after_canary(scope: WaveScope) -> Wave:
    """Returns the wave, open once its canary has served for `CANARY_SOAK_S`."""
    wave = scope.wave
    if not wave.canary:
        return wave if scope.candidates() else wave._replace(phase=WavePhase.DONE)
    canary = scope.find(wave.canary)
    if canary is None:
        return stop(wave, wave.canary, f"canary {wave.canary} is gone")
    served_s = scope.now_s - canary.record.changed_s
    if canary.available and served_s >= CANARY_SOAK_S:
        return wave._replace(phase=WavePhase.OPEN)
    return wave


def stop(wave: Wave, vm: str, reason: str) -> Wave:
    """Returns a wave that was stopped because of one VM."""
    return wave._replace(phase=WavePhase.STOPPED, stopped_by=vm, reason=reason)


def stopped_on_failure(scope: WaveScope) -> Wave | None:
    """Returns the wave stopped, or None if it may continue.

    A wave stops if one of its VMs exceeds a timeout, or if `FAILURES_TO_STOP` of
    the VMs that it has maintained are missing or failing.
    """
    for member in scope.in_maintenance():
        reason = overdue_reason(member.record, scope.spec.maintenance, scope.now_s)
        if reason:
            return stop(scope.wave, member.record.name, reason)
    failed = [
        m.record.name for m in scope.members() if failed_after_maintenance(scope, m)
    ]
    if len(failed) >= FAILURES_TO_STOP:
        names = ", ".join(sorted(failed))
        return stop(scope.wave, failed[0], f"failed after maintenance: {names}")
    return None


def failed_after_maintenance(scope: WaveScope, member: Member) -> bool:
    """Returns whether a VM that this wave has maintained is missing or failing."""
    record = member.record
    maintained = record.maintained_s >= scope.wave.started_s
    return maintained and not record.wave and record.name in scope.failed


def overdue_reason(record: VmRecord, maintenance: MaintenanceSpec, now_s: float) -> str:
    """Returns which timeout a disrupted VM exceeds, or an empty text."""
    elapsed_s = now_s - record.changed_s
    if record.state is VmState.DRAINING:
        if elapsed_s > maintenance.drain_timeout_s:
            return f"{record.name} has not drained in {elapsed_s:.0f} s"
    elif elapsed_s > maintenance.return_timeout_s:
        return f"{record.name} has not returned in {elapsed_s:.0f} s"
    return ""


def disruption_limit(vms: int) -> int:
    """Returns how many of an organisation's VMs may be disrupted at once.

    The limit applies to its wave and, separately, to its moves.
    """
    return max(MIN_DISRUPTION_LIMIT, int(vms * DISRUPTED_SHARE))


def choose_vms(scope: WaveScope) -> list[Member]:
    """Chooses the VMs that an active wave maintains next.

    A wave works in one availability zone at a time, rack by rack, so that the
    failure of that domain costs no more VMs than it would without the wave.

    Returns:
        VMs that all budgets allow to be disrupted together; one for a canary.
    """
    if not scope.wave.active:
        return []
    if scope.wave.phase is WavePhase.CANARY:
        return choose_canary(scope)
    out = scope.in_maintenance()
    limit = disruption_limit(len(scope.members())) - len(out)
    zones = {m.listing.availability_zone for m in out if m.listing}
    racks = {rack_key(m.listing) for m in out if m.listing}

    def order(member: Member) -> tuple[object, ...]:
        rack = rack_key(member.listing)
        return rack not in racks, rack, member.record.maintained_s, member.record.name

    chooser = VmSelection(scope.pools, zones)
    for member in sorted(scope.candidates(), key=order):
        if len(chooser.chosen) >= limit:
            break
        chooser.add_if_allowed(member)
    return chooser.chosen


def choose_canary(scope: WaveScope) -> list[Member]:
    """Chooses the canary, from the spare pool if that has a candidate.

    Returns:
        One VM, or none if there is a canary already or no budget allows one.
    """
    if scope.wave.canary:
        return []

    def order(member: Member) -> tuple[bool, float, str]:
        record = member.record
        spare = scope.pools[record.pool].spec.spare
        return not spare, record.maintained_s, record.name

    chooser = VmSelection(scope.pools, set())
    for member in sorted(scope.candidates(), key=order):
        chooser.add_if_allowed(member)
        if chooser.chosen:
            break
    return chooser.chosen


class VmSelection:
    """Selects VMs in one availability zone as far as their budgets allow.

    Attributes:
        chosen: VMs selected so far.
        zones: Availability zones of the wave; empty before its first VM.
        left: VMs that serve, by pool, without those selected.
    """

    def __init__(self, pools: Mapping[str, PoolState], zones: set[str]) -> None:
        self.pools = pools
        self.zones = zones
        self.chosen: list[Member] = []
        self.left = {name: pool.available() for name, pool in pools.items()}

    def add_if_allowed(self, member: Member) -> None:
        """Selects a VM if its zone and the budget of its pool allow it."""
        listing = member.listing
        if listing is None:
            return
        if self.zones and listing.availability_zone not in self.zones:
            return
        if member.available and not self.use_budget(member.record):
            return
        self.zones.add(listing.availability_zone)
        self.chosen.append(member)

    def use_budget(self, record: VmRecord) -> bool:
        """Charges a serving VM to its pool's budget; returns False if it is used up."""
        left = self.left[record.pool]
        if not may_disrupt(self.pools[record.pool].spec, left, record.name):
            return False
        self.left[record.pool] = [v for v in left if v.name != record.name]
        return True


def rack_key(listing: VmListing | None) -> tuple[str, str]:
    """Returns the availability zone and rack of a VM, empty if unlisted."""
    return ("", "") if listing is None else (listing.availability_zone, listing.rack)


def wave_key(spec: OrganisationSpec) -> str:
    """Returns the store key of an organisation's wave."""
    return f"{POOL_PREFIX}{spec.organisation}/{spec.template}/wave"


def read_wave(cache: PrefixCache, spec: OrganisationSpec) -> Wave:
    """Returns the wave of an organisation as cached.

    A malformed record counts as no wave; the next wave overwrites it.
    """
    known = cache.values.get(wave_key(spec))
    if known is None:
        return Wave()
    try:
        return decode_record(known.value, Wave)
    except RecordError:
        return Wave()


def wave_change(cache: PrefixCache, spec: OrganisationSpec, wave: Wave) -> Change:
    """Returns the write of a wave, on condition that its record is unchanged."""
    key = wave_key(spec)
    known = cache.values.get(key)
    return Change(key, encode_record(wave), 0 if known is None else known.revision)
