"""The planner: turns intended state into orders, one small step at a time."""

from typing import NamedTuple

from burdockthread_model.clock import Clock
from burdockthread_model.errors import (
    ConflictError,
    LeaseLostError,
    PlatformError,
    StoreError,
)
from burdockthread_model.events import EventLog
from burdockthread_model.intended import MaintenanceSpec, PoolSpec
from burdockthread_model.metrics import Metrics
from burdockthread_model.records import decode_record, encode_record
from burdockthread_model.steps import Step, Steps
from burdockthread_model.vm import VmRecord, VmState
from burdockthread_routing.fleet_view import VM_PREFIX, FleetView
from burdockthread_store.prefix_cache import PrefixCache
from burdockthread_store.store import Change, ConfigurationStore

from burdockthread_fleet.assignment import assign_new_vms
from burdockthread_fleet.leadership import Leadership
from burdockthread_fleet.vm_control import VmControl

STEP_INTERVAL_S = 0.5
STALE_VIEW_S = 3.0
SECONDS_PER_DAY = 86_400.0
POOL_PREFIX = "pool/"


class Disruptions(NamedTuple):
    """VMs of a pool that are out on purpose, kept at ``pool/<name>/disruptions``."""

    vms: tuple[str, ...]


def disruptions_key(pool: str) -> str:
    """Returns the key of a pool's disruption record."""
    return f"{POOL_PREFIX}{pool}/disruptions"


class Planner:
    """Assigns VMs and maintains them while it holds the lease."""

    def __init__(
        self,
        leadership: Leadership,
        store: ConfigurationStore,
        view: FleetView,
        vm_cache: PrefixCache,
        pool_cache: PrefixCache,
        control: VmControl,
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
        self.control = control
        self.clock = clock
        self.metrics = metrics
        self.log = log
        self.steps = steps

    async def run(self) -> None:
        """Plans until cancelled."""
        while True:
            if await self.leadership.keep():
                await self.step()
            await self.clock.sleep(STEP_INTERVAL_S)

    async def step(self) -> None:
        """Does what is due now; a lost race is tried again at the next step."""
        if not (self.vm_cache.synced and self.pool_cache.synced):
            return
        try:
            await self.assign()
            await self.advance()
            await self.start_maintenance()
        except ConflictError as error:
            self.metrics.count("planner.conflicts")
            self.log.info("planner_conflict", reason=error)
        except (LeaseLostError, StoreError, PlatformError) as error:
            self.log.warning("planner_step_failed", reason=error)

    async def assign(self) -> None:
        """Gives new VMs to pools."""
        pools = self.view.pools.values()
        for vm, pool in assign_new_vms(pools, self.view.listings, self.view.records):
            period_s = self.maintenance_of(pool).period_days * SECONDS_PER_DAY
            now = self.clock.wall()
            age_s = period_s * spread_share(vm)
            record = VmRecord(
                vm, pool, VmState.SERVING, 1, maintained_s=now - age_s, changed_s=now
            )
            await self.control.assign(vm, pool, 1)
            await self.put_record(record)
            self.log.info("vm_assigned", vm=vm, pool=pool)
            self.metrics.count("planner.assignments")

    def maintenance_of(self, pool: str) -> MaintenanceSpec:
        """Returns the rhythm of maintenance of a pool."""
        organisation = pool.split("/", maxsplit=1)[0]
        for spec in self.view.organisations.values():
            if spec.organisation == organisation:
                return spec.maintenance
        return MaintenanceSpec()

    async def put_record(self, record: VmRecord, *others: Change) -> None:
        """Writes a VM record, fenced by the lease."""
        key = VM_PREFIX + record.name
        known = self.vm_cache.values.get(key)
        revision = 0 if known is None else known.revision
        change = Change(key, encode_record(record), revision)
        await self.store.write([change, *others], [self.leadership.guard()])

    async def advance(self) -> None:
        """Moves each VM that is out one step on."""
        for record in list(self.view.records.values()):
            if record.state is VmState.DRAINING:
                await self.advance_drain(record)
            elif record.state is VmState.REBOOTING:
                await self.advance_reboot(record)

    async def advance_drain(self, record: VmRecord) -> None:
        """Reboots a drained VM once no entry can send it work any more."""
        listing = self.view.listings.get(record.name)
        if listing is None:
            return
        in_flight = await self.control.drain(record.name, listing.boot_id)
        elapsed_s = self.clock.wall() - record.changed_s
        if in_flight or elapsed_s < STALE_VIEW_S:
            return
        await self.steps.reach(Step.VM_DRAINED)
        rebooting = record._replace(
            state=VmState.REBOOTING,
            boot_id=listing.boot_id,
            changed_s=self.clock.wall(),
        )
        await self.put_record(rebooting)
        await self.control.reboot(record.name, listing.boot_id)
        await self.steps.reach(Step.VM_REBOOTING)
        self.log.info("vm_rebooting", vm=record.name, pool=record.pool)

    async def advance_reboot(self, record: VmRecord) -> None:
        """Takes a VM back into service once it has booted again."""
        listing = self.view.listings.get(record.name)
        if listing is None:
            return
        if listing.boot_id == record.boot_id:
            await self.control.reboot(record.name, record.boot_id)
            return
        await self.control.assign(record.name, record.pool, record.generation)
        now = self.clock.wall()
        serving = record._replace(
            state=VmState.SERVING, boot_id="", maintained_s=now, changed_s=now
        )
        await self.put_record(serving, self.disruption(record.pool, remove=record.name))
        await self.steps.reach(Step.VM_RETURNED)
        self.log.info("vm_returned", vm=record.name, pool=record.pool)
        self.metrics.count("planner.maintained")

    async def start_maintenance(self) -> None:
        """Drains one due VM of each pool whose budget allows."""
        for pool in self.view.pools.values():
            due = self.due_vm(pool)
            if due is not None and self.budget_allows(pool):
                await self.steps.reach(Step.VM_CHOSEN)
                draining = due._replace(
                    state=VmState.DRAINING, changed_s=self.clock.wall()
                )
                await self.put_record(
                    draining, self.disruption(pool.name, add=due.name)
                )
                await self.steps.reach(Step.VM_DRAINING)
                self.log.info("vm_draining", vm=due.name, pool=pool.name)

    def due_vm(self, pool: PoolSpec) -> VmRecord | None:
        """Returns the serving VM of a pool whose maintenance is most overdue."""
        period_s = self.maintenance_of(pool.name).period_days * SECONDS_PER_DAY
        due_s = self.clock.wall() - period_s
        due = [
            record
            for record in self.view.records.values()
            if record.pool == pool.name
            and record.state is VmState.SERVING
            and record.maintained_s <= due_s
        ]
        return min(due, key=lambda record: record.maintained_s, default=None)

    def budget_allows(self, pool: PoolSpec) -> bool:
        """Returns whether one more VM of a pool may be out."""
        members = [r for r in self.view.records.values() if r.pool == pool.name]
        if any(record.state is not VmState.SERVING for record in members):
            return False
        return len(members) - 1 >= pool.min_available

    def disruption(self, pool: str, add: str = "", remove: str = "") -> Change:
        """Returns the change of a pool's disruption record."""
        key = disruptions_key(pool)
        known = self.pool_cache.values.get(key)
        current: set[str] = set()
        if known is not None:
            current = set(decode_record(known.value, Disruptions).vms)
        vms = (current | ({add} - {""})) - {remove}
        revision = 0 if known is None else known.revision
        return Change(key, encode_record(Disruptions(tuple(sorted(vms)))), revision)


def spread_share(vm: str) -> float:
    """Returns a share, 0 to 1, by which first maintenances are spread."""
    return (sum(vm.encode()) % 100) / 100.0
