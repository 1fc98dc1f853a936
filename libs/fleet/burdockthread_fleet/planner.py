"""The planner: brings the fleet to its intended state in small steps."""

import zlib
from collections import deque
from collections.abc import Sequence
from typing import NamedTuple

from burdockthread_model.clock import Clock
from burdockthread_model.errors import (
    ConflictError,
    LeaseLostError,
    PlatformError,
    StoreError,
)
from burdockthread_model.events import EventLog
from burdockthread_model.intended import MaintenanceSpec, OrganisationSpec
from burdockthread_model.metrics import Metrics
from burdockthread_model.steps import Step, Steps
from burdockthread_model.vm import VmListing, VmRecord, VmState
from burdockthread_routing.fleet_view import FleetView
from burdockthread_store.prefix_cache import PrefixCache
from burdockthread_store.store import Change, ConfigurationStore

from burdockthread_fleet.assignment import assign_free_vms
from burdockthread_fleet.buffer import DEFAULT_POLICY
from burdockthread_fleet.failed_vms import FailedVms
from burdockthread_fleet.failure_poller import FailurePoller
from burdockthread_fleet.fleet_state import FleetState, Member, StateCache
from burdockthread_fleet.leadership import Leadership
from burdockthread_fleet.lifecycle import VmLifecycle
from burdockthread_fleet.missing_vms import (
    LOST_AFTER_S,
    URGENT_LOST_AFTER_S,
    MissingVms,
)
from burdockthread_fleet.moves import (
    SURPLUS_DELAY_S,
    Move,
    plan_moves,
    surplus_pools,
)
from burdockthread_fleet.state_timers import StateTimers
from burdockthread_fleet.vm_control import VmControl
from burdockthread_fleet.vm_writer import MAX_UPDATES_PER_STEP, VmUpdate, VmWriter
from burdockthread_fleet.waves import (
    CANDIDATE_SHARE,
    SECONDS_PER_DAY,
    Wave,
    WavePhase,
    WaveScope,
    choose_vms,
    next_phase,
    overdue_reason,
    read_wave,
    wave_change,
)

STEP_INTERVAL_S = 0.5
MAX_VIEW_AGE_S = 5.0
RECOVERY_INTERVAL_S = 5.0
RECENT_MOVES = 100


class RecentMove(NamedTuple):
    """A move that this planner started.

    Attributes:
        move: The move with its reason.
        started_s: Unix time of its start.
    """

    move: Move
    started_s: float


class DisruptionPlan(NamedTuple):
    """VMs to disrupt (to move or to maintain) in this step.

    Attributes:
        updates: VM records to write.
        changes: Wave records to write with the first transaction of updates.
        moves: Moves among the updates.
        waves: Changed waves: the scope with the old wave, and the new wave.
    """

    updates: list[VmUpdate]
    changes: list[Change]
    moves: list[Move]
    waves: list[tuple[WaveScope, Wave]]

    def empty(self) -> bool:
        """Returns whether there is nothing to write."""
        return not (self.updates or self.changes)


class Planner:
    """Assigns, moves and maintains VMs while this process holds the lease.

    Attributes:
        missing_vms: Since when each missing VM has been off the list.
        failed: VMs that are listed as live but fail.
        policy: Decides which pools give VMs to a pool with too few.
        recent_moves: The last `RECENT_MOVES` moves that this process started.
    """

    def __init__(
        self,
        leadership: Leadership,
        store: ConfigurationStore,
        view: FleetView,
        vm_cache: PrefixCache,
        pool_cache: PrefixCache,
        control: VmControl,
        failures: FailurePoller,
        clock: Clock,
        metrics: Metrics,
        log: EventLog,
        steps: Steps,
    ) -> None:
        self.leadership = leadership
        self.store = store
        self.view = view
        self.vm_cache = vm_cache
        self.pool_cache = pool_cache
        self.clock = clock
        self.metrics = metrics
        self.log = log
        self.steps = steps
        self.writer = VmWriter(leadership, vm_cache, pool_cache)
        self.lifecycle = VmLifecycle(
            leadership, self.writer, view, control, clock, metrics, log, steps
        )
        self.policy = DEFAULT_POLICY
        self.states = StateCache(view, vm_cache)
        self.urgent_states = StateCache(view, vm_cache)
        self.missing_vms = MissingVms(clock)
        self.failed = FailedVms(failures, metrics, log)
        self.surplus = StateTimers(clock)
        self.recovery = StateTimers(clock)
        self.recent_moves: deque[RecentMove] = deque(maxlen=RECENT_MOVES)

    async def run(self) -> None:
        """Runs a step every `STEP_INTERVAL_S` until cancelled."""
        while True:
            await self.tick()
            await self.clock.sleep(STEP_INTERVAL_S)

    async def tick(self) -> None:
        """Updates which VMs are missing or failing; plans while the lease is held."""
        self.missing_vms.update(self.view.listings, self.view.records)
        self.failed.update(self.view)
        if await self.leadership.keep():
            await self.step()

    async def step(self) -> None:
        """Does what is due now; after a conflict the next step tries again."""
        if not (self.vm_cache.synced and self.pool_cache.synced):
            return
        started_s = self.clock.now()
        try:
            await self.lifecycle.advance()
            await self.delete_lost()
            await self.assign()
            await self.disrupt()
        except ConflictError as error:
            self.metrics.count("planner.conflicts")
            self.log.info("planner_conflict", reason=error)
            await self.recover()
        except (LeaseLostError, StoreError, PlatformError) as error:
            self.metrics.count("planner.step_failures")
            self.log.warning("planner_step_failed", reason=error)
        self.metrics.timing("planner.step", self.clock.now() - started_s)

    async def recover(self) -> None:
        """Checks the lease and refreshes the records after a conflict.

        Refreshes are limited to one per `RECOVERY_INTERVAL_S`.
        """
        try:
            await self.leadership.verify()
            if self.recovery.due(("", ""), RECOVERY_INTERVAL_S):
                await self.refresh()
        except StoreError as error:
            self.log.warning("planner_refresh_failed", reason=error)

    async def refresh(self) -> None:
        """Lists all VM and pool records from the store.

        Raises:
            StoreError: The store did not answer.
        """
        self.metrics.count("planner.refreshes")
        await self.vm_cache.refresh()
        await self.pool_cache.refresh()

    def state(self) -> FleetState:
        """Returns the fleet as this process knows it now.

        VMs of a pool below its minimum count as lost after the shorter
        `URGENT_LOST_AFTER_S`, so that they are replaced sooner.
        """
        failed = self.failed.unavailable()
        lost = self.unavailable_for(LOST_AFTER_S) | self.overdue()
        state = self.states.get(lost, failed)
        needed = self.unavailable_for(URGENT_LOST_AFTER_S) - lost
        if not needed:
            return state
        short = {
            name
            for name, pool in state.pools.items()
            if len(pool.available()) < pool.spec.min_available
        }
        records = self.view.records
        urgent = {vm for vm in needed if vm in records and records[vm].pool in short}
        return self.urgent_states.get(lost | urgent, failed) if urgent else state

    def unavailable_for(self, seconds: float) -> frozenset[str]:
        """Returns the VMs that have been missing or failing for at least `seconds`."""
        return self.missing_vms.missing_for(seconds) | self.failed.failing_for(seconds)

    def overdue(self) -> frozenset[str]:
        """Returns the VMs that exceeded the return timeout after a reboot."""
        now = self.clock.wall()
        return frozenset(
            record.name
            for record in self.view.records.values()
            if record.state in (VmState.REBOOTING, VmState.RETURNING)
            and overdue_reason(record, self.maintenance_of(record.pool), now)
        )

    def maintenance_of(self, pool: str) -> MaintenanceSpec:
        """Returns a pool's maintenance settings, or the defaults if it is unknown."""
        for spec in self.view.organisations.values():
            if any(own.name == pool for own in spec.pools):
                return spec.maintenance
        return MaintenanceSpec()

    async def delete_lost(self) -> None:
        """Deletes the records of VMs that have been off the list for `LOST_AFTER_S`.

        The record of a VM in a running wave is kept until the wave has stopped
        because of that VM; otherwise the wave would miss the loss.
        """
        lost_records = [
            record
            for name in sorted(self.missing_vms.missing_for(LOST_AFTER_S))
            if (record := self.view.records.get(name)) is not None
            and name not in self.view.listings
            and not (record.wave and record.wave in self.running_waves())
        ]
        updates = [
            VmUpdate(record.name, None, restores=record.pool)
            for record in lost_records[:MAX_UPDATES_PER_STEP]
        ]
        if not updates:
            return
        await self.writer.commit(updates)
        for record in lost_records[:MAX_UPDATES_PER_STEP]:
            self.metrics.count("planner.lost")
            self.log.warning("vm_lost", vm=record.name, pool=record.pool)

    def running_waves(self) -> frozenset[str]:
        """Returns the ids of the active waves."""
        state = FleetState({}, (), {})
        scopes = [self.scope(spec, state) for spec in self.view.organisations.values()]
        return frozenset(scope.wave_id for scope in scopes if scope.wave.active)

    async def assign(self) -> None:
        """Assigns VMs without a record to pools with too few VMs."""
        if not self.missing_vms.fresh():
            return
        state = self.state()
        if not state.free:
            return
        assignments = assign_free_vms(state)[:MAX_UPDATES_PER_STEP]
        if not assignments:
            return
        records = [self.new_record(vm, pool) for vm, pool in assignments]
        await self.writer.commit([VmUpdate(r.name, r) for r in records])
        for vm, pool in assignments:
            self.metrics.count("planner.assignments")
            self.log.info("vm_assigned", vm=vm, pool=pool)
        await self.lifecycle.finish_returns(records)

    def new_record(self, vm: str, pool: str) -> VmRecord:
        """Returns the record of a VM that is assigned to its first pool.

        The initial maintenance age depends on the rack: the VMs of one rack become
        due together, and different racks at different times.
        """
        listing = self.view.listings[vm]
        now = self.clock.wall()
        period_s = self.maintenance_of(pool).period_days * SECONDS_PER_DAY
        return VmRecord(
            vm,
            pool,
            VmState.RETURNING,
            self.writer.next_generation(),
            boot_id=listing.boot_id,
            maintained_s=now - period_s * initial_age_share(listing),
            changed_s=now,
        )

    async def disrupt(self) -> None:
        """Starts the moves and maintenance that are due and that budgets allow.

        Nothing is started while the list of VMs or the records may be out of date,
        or before the entries have been polled for failing VMs.
        """
        fresh = self.missing_vms.fresh() and self.failed.poller.fresh()
        if not fresh or self.plan().empty():
            return
        if not self.view_recent():
            await self.refresh()
        plan = self.plan()
        if plan.empty():
            return
        for _ in plan.updates:
            await self.steps.reach(Step.VM_CHOSEN)
        await self.writer.commit(plan.updates, plan.changes)
        self.log_plan(plan)
        for _ in plan.updates:
            await self.steps.reach(Step.VM_DRAINING)
        drained = [u.record for u in plan.updates if u.record]
        await self.lifecycle.finish_drains(drained)

    def view_recent(self) -> bool:
        """Returns whether both caches had contact with the store recently."""
        limit_s = self.clock.now() - MAX_VIEW_AGE_S
        return min(self.vm_cache.contact_s, self.pool_cache.contact_s) >= limit_s

    def plan(self) -> DisruptionPlan:
        """Returns what may be disrupted now.

        Moves go first: no maintenance is started in a step that starts moves.
        """
        state = self.state()
        moves = plan_moves(state, self.lasting_surplus(state), self.policy)
        if moves:
            updates = [self.move_update(move) for move in moves]
            return DisruptionPlan(updates, [], moves, [])
        updates = []
        changes = []
        waves = []
        for spec in self.view.organisations.values():
            scope = self.scope(spec, state)
            wave, chosen = plan_wave(scope)
            updates += [self.wave_update(scope, wave, member) for member in chosen]
            if wave != scope.wave:
                changes.append(wave_change(self.pool_cache, spec, wave))
                waves.append((scope, wave))
        return DisruptionPlan(updates, changes, [], waves)

    def lasting_surplus(self, state: FleetState) -> frozenset[str]:
        """Returns the pools that have had a surplus for `SURPLUS_DELAY_S`."""
        surplus = surplus_pools(state.pools)
        self.surplus.prune([(name, "") for name in surplus])
        return frozenset(
            name
            for name in surplus
            if self.surplus.waited_s((name, "")) >= SURPLUS_DELAY_S
        )

    def scope(self, spec: OrganisationSpec, state: FleetState) -> WaveScope:
        """Returns an organisation's wave with the pools that it covers."""
        names = [pool.name for pool in spec.pools]
        pools = {name: state.pools[name] for name in names if name in state.pools}
        wave = read_wave(self.pool_cache, spec)
        failed = self.unavailable_for(URGENT_LOST_AFTER_S)
        return WaveScope(spec, pools, wave, failed, self.clock.wall())

    def move_update(self, move: Move) -> VmUpdate:
        """Returns the update that starts a move."""
        record = self.draining(move.vm)._replace(target_pool=move.target)
        return VmUpdate(move.vm, record, disrupts=record.pool)

    def wave_update(self, scope: WaveScope, wave: Wave, member: Member) -> VmUpdate:
        """Returns the update that starts the maintenance of a VM."""
        record = self.draining(member.record.name)
        record = record._replace(wave=scope._replace(wave=wave).wave_id)
        return VmUpdate(record.name, record, disrupts=record.pool)

    def draining(self, vm: str) -> VmRecord:
        """Returns a VM's record in state draining, for its current boot."""
        return self.view.records[vm]._replace(
            state=VmState.DRAINING,
            boot_id=self.view.listings[vm].boot_id,
            changed_s=self.clock.wall(),
        )

    def log_plan(self, plan: DisruptionPlan) -> None:
        """Logs and counts the drains, moves and wave changes of a committed plan."""
        for update in plan.updates:
            self.log.info("vm_draining", vm=update.name, pool=update.disrupts)
            self.metrics.count("planner.drains")
        for move in plan.moves:
            self.recent_moves.append(RecentMove(move, self.clock.wall()))
            self.metrics.count("planner.moves")
            self.log.info("vm_move_started", **move._asdict())
        for scope, wave in plan.waves:
            self.log_wave(scope, wave)

    def log_wave(self, scope: WaveScope, wave: Wave) -> None:
        """Logs and counts a wave that is new or has changed its phase."""
        wave_id = scope._replace(wave=wave).wave_id
        if wave.phase is scope.wave.phase and wave.number == scope.wave.number:
            return
        self.metrics.count(f"planner.waves_{wave.phase}")
        if wave.phase is WavePhase.STOPPED:
            self.log.error("wave_stopped", wave=wave_id, reason=wave.reason)
        else:
            self.log.info("wave_changed", wave=wave_id, phase=wave.phase)


def plan_wave(scope: WaveScope) -> tuple[Wave, Sequence[Member]]:
    """Returns a wave in its current phase and the VMs to maintain next."""
    wave = next_phase(scope)
    chosen = choose_vms(scope._replace(wave=wave))
    if wave.phase is WavePhase.CANARY and chosen:
        wave = wave._replace(canary=chosen[0].record.name)
    return wave, chosen


def initial_age_share(listing: VmListing) -> float:
    """Returns the share of the maintenance period that a new VM has used up.

    The share is the same for all VMs of a rack, and below `CANDIDATE_SHARE`, so
    that no new VM is due at once.
    """
    rack = f"{listing.availability_zone}/{listing.rack}".encode()
    return CANDIDATE_SHARE * zlib.crc32(rack) / 2**32
