"""Advances disrupted VMs from one state to the next.

serving -> draining -> rebooting -> returning -> serving

A new VM starts as returning. A VM that moves to another pool changes pools in
the write that takes it from rebooting to returning.

Every order to the platform is recorded by a fenced write first, and names the
boot or generation that it is meant for. A planner that was paused and lost its
lease can therefore only repeat earlier orders, which the platform refuses or
which have no effect.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterable

from burdockthread_model.clock import Clock
from burdockthread_model.errors import PlatformError
from burdockthread_model.events import EventLog
from burdockthread_model.metrics import Metrics
from burdockthread_model.steps import Step, Steps
from burdockthread_model.vm import VmListing, VmRecord, VmState, VmStatus
from burdockthread_routing.fleet_view import FleetView

from burdockthread_fleet.assignment import zone_allowed
from burdockthread_fleet.leadership import Leadership
from burdockthread_fleet.state_timers import Key, StateTimers
from burdockthread_fleet.vm_control import VmControl
from burdockthread_fleet.vm_writer import MAX_UPDATES_PER_STEP, VmUpdate, VmWriter

STALE_VIEW_S = 4.0
DRAIN_POLL_S = 1.0
REBOOT_RETRY_S = 10.0
ASSIGN_RETRY_S = 1.0
ORDERS_AT_ONCE = 16


class VmLifecycle:
    """Sends the orders that disrupted VMs need to return to service.

    Attributes:
        pacing: When each VM entered its state and when it was last sent an order.
    """

    def __init__(
        self,
        leadership: Leadership,
        writer: VmWriter,
        view: FleetView,
        control: VmControl,
        clock: Clock,
        metrics: Metrics,
        log: EventLog,
        steps: Steps,
    ) -> None:
        self.leadership = leadership
        self.writer = writer
        self.view = view
        self.control = control
        self.clock = clock
        self.metrics = metrics
        self.log = log
        self.steps = steps
        self.pacing = StateTimers(clock)
        self.orders = asyncio.Semaphore(ORDERS_AT_ONCE)

    async def advance(self) -> None:
        """Advances each disrupted VM by one step, if its next state is reached.

        Raises:
            LeaseLostError: The lease is not held.
            ConflictError: A record was changed by another writer in the meantime.
            StoreError: The store did not answer.
        """
        records = self.view.records.values()
        disrupted = [r for r in records if r.state in DISRUPTED_STATES]
        self.metrics.gauge("planner.vms_out", len(disrupted))
        self.pacing.prune([pacing_key(r) for r in disrupted])
        await self.reassign_rebooted(records)
        await self.finish_returns(self.in_state(VmState.RETURNING))
        await self.finish_reboots(self.in_state(VmState.REBOOTING))
        await self.finish_drains(self.in_state(VmState.DRAINING))

    def in_state(self, state: VmState) -> list[VmRecord]:
        """Returns the records in a state, limited to the updates of one step."""
        found = [r for r in self.view.records.values() if r.state is state]
        return found[:MAX_UPDATES_PER_STEP]

    async def order_all(
        self,
        records: Iterable[VmRecord],
        order: Callable[[VmRecord], Awaitable[object]],
    ) -> list[tuple[VmRecord, object]]:
        """Sends an order to each VM, at most `ORDERS_AT_ONCE` concurrently.

        Returns:
            The records of the VMs that answered, with their answers.
        """
        records = list(records)
        answers = await asyncio.gather(
            *(self.order_one(record, order) for record in records)
        )
        pairs = zip(records, answers, strict=True)
        return [(record, answer[0]) for record, answer in pairs if answer]

    async def order_one(
        self, record: VmRecord, order: Callable[[VmRecord], Awaitable[object]]
    ) -> tuple[object] | None:
        """Sends one order while the lease is held.

        Returns:
            The answer in a tuple, or None if the order failed.

        Raises:
            LeaseLostError: The lease is not held.
        """
        async with self.orders:
            self.leadership.check()
            try:
                return (await order(record),)
            except PlatformError as error:
                self.metrics.count("planner.order_failures")
                self.log.warning("vm_order_failed", vm=record.name, reason=error)
                return None

    async def reassign_rebooted(self, records: Iterable[VmRecord]) -> None:
        """Reassigns VMs that rebooted without an order or were replaced."""
        changed = [r for r in records if self.rebooted_unexpectedly(r)]
        updates = [self.reassigned(r) for r in changed[:MAX_UPDATES_PER_STEP]]
        if not updates:
            return
        await self.writer.commit(updates)
        for update in updates:
            self.log.warning("vm_rebooted_unasked", vm=update.name)
            self.metrics.count("planner.unasked_reboots")

    def reassigned(self, record: VmRecord) -> VmUpdate:
        """Returns the update of a VM whose boot differs from the recorded one.

        If its availability zone is not allowed for the pool, the name was reused
        for another VM; the record is deleted, so that the VM is assigned anew.
        """
        listing = self.view.listings[record.name]
        spec = self.view.pools.get(record.pool)
        if spec is not None and not zone_allowed(spec, listing):
            return VmUpdate(record.name, None)
        returning = record._replace(
            state=VmState.RETURNING,
            generation=record.generation + 1,
            boot_id=listing.boot_id,
            changed_s=self.clock.wall(),
        )
        return VmUpdate(record.name, returning)

    def rebooted_unexpectedly(self, record: VmRecord) -> bool:
        """Returns whether a serving VM is on another boot than the recorded one."""
        if record.state in DISRUPTED_STATES or not record.boot_id:
            return False
        return self.on_new_boot(record)

    def live(self, record: VmRecord) -> VmListing | None:
        """Returns the listing of a VM that is listed as live, or None."""
        listing = self.view.listings.get(record.name)
        if listing is None or listing.status is not VmStatus.LIVE:
            return None
        return listing

    async def finish_drains(self, records: list[VmRecord]) -> None:
        """Reboots drained VMs once no entry sends work to them any more.

        A VM with work in flight is never rebooted, however long the work takes.
        """
        listed = [r for r in records if r.name in self.view.listings]
        await self.finish_reboots([r for r in listed if self.on_new_boot(r)])
        due = [
            r for r in listed if self.due(r, DRAIN_POLL_S) and not self.on_new_boot(r)
        ]
        answers = await self.order_all(due, self.drain)
        drained = [
            r for r, in_flight in answers if not in_flight and self.entries_saw_drain(r)
        ]
        updates = []
        for record in drained:
            await self.steps.reach(Step.VM_DRAINED)
            rebooting = record._replace(
                state=VmState.REBOOTING, changed_s=self.clock.wall()
            )
            updates.append(VmUpdate(record.name, rebooting))
        if not updates:
            return
        await self.writer.commit(updates)
        for update in updates:
            self.metrics.count("planner.reboots")
            self.log.info("vm_rebooting", vm=update.name)
            await self.steps.reach(Step.VM_REBOOTING)
        await self.order_reboots([u.record for u in updates if u.record])

    async def drain(self, record: VmRecord) -> int:
        """Orders a drain; returns the number of requests and tasks in flight."""
        return await self.control.drain(record.name, record.boot_id)

    def entries_saw_drain(self, record: VmRecord) -> bool:
        """Returns whether every entry must have seen the VM's state by now."""
        return self.pacing.waited_s(pacing_key(record)) >= STALE_VIEW_S

    def due(self, record: VmRecord, interval_s: float) -> bool:
        """Returns whether the interval between two orders to a VM has passed."""
        self.pacing.waited_s(pacing_key(record))
        return self.pacing.due(pacing_key(record), interval_s)

    async def order_reboots(self, records: list[VmRecord]) -> None:
        """Orders the reboots whose retry interval has passed."""

        async def reboot(record: VmRecord) -> None:
            await self.control.reboot(record.name, record.boot_id)

        due = [r for r in records if self.due(r, REBOOT_RETRY_S)]
        await self.order_all(due, reboot)

    def on_new_boot(self, record: VmRecord) -> bool:
        """Returns whether a VM is live on another boot than the one recorded."""
        listing = self.live(record)
        return listing is not None and listing.boot_id != record.boot_id

    async def finish_reboots(self, records: list[VmRecord]) -> None:
        """Marks rebooted VMs as returning, to their pool or the target of a move."""
        back = [r for r in records if self.on_new_boot(r)]
        updates = [self.returning(record) for record in back]
        if updates:
            await self.writer.commit(updates)
        waiting = [r for r in records if not self.on_new_boot(r)]
        await self.order_reboots([r for r in waiting if r.state is VmState.REBOOTING])

    def returning(self, record: VmRecord) -> VmUpdate:
        """Returns the update that marks a rebooted VM as returning.

        A move gets a new generation, so that orders for the old pool are refused.
        """
        moves = bool(record.target_pool)
        returning = record._replace(
            state=VmState.RETURNING,
            pool=record.target_pool or record.pool,
            generation=record.generation + moves,
            boot_id=self.view.listings[record.name].boot_id,
            maintained_s=self.clock.wall(),
        )
        restores = record.pool if moves else ""
        return VmUpdate(record.name, returning, restores=restores)

    async def finish_returns(self, records: list[VmRecord]) -> None:
        """Puts live VMs into service once they have confirmed their pool."""

        async def assign(record: VmRecord) -> None:
            await self.control.assign(record.name, record.pool, record.generation)

        live = [r for r in records if self.live(r) and self.due(r, ASSIGN_RETRY_S)]
        confirmed = [record for record, _ in await self.order_all(live, assign)]
        if not confirmed:
            return
        await self.writer.commit([self.serving(record) for record in confirmed])
        for record in confirmed:
            await self.log_return(record)

    def serving(self, record: VmRecord) -> VmUpdate:
        """Returns the update that puts a VM into service."""
        serving = record._replace(
            state=VmState.SERVING,
            wave="",
            target_pool="",
            boot_id=self.view.listings[record.name].boot_id,
            changed_s=self.clock.wall(),
        )
        restores = record.pool if record.wave else ""
        return VmUpdate(record.name, serving, restores=restores)

    async def log_return(self, record: VmRecord) -> None:
        """Logs and counts a VM that is back in service."""
        moved = bool(record.target_pool)
        self.log.info(
            "vm_moved" if moved else "vm_returned",
            vm=record.name,
            pool=record.pool,
            generation=record.generation,
        )
        self.metrics.count("planner.moved" if moved else "planner.returned")
        if record.wave:
            self.metrics.count("planner.maintained")
        await self.steps.reach(Step.VM_MOVED if moved else Step.VM_RETURNED)


DISRUPTED_STATES = frozenset({VmState.DRAINING, VmState.REBOOTING, VmState.RETURNING})


def pacing_key(record: VmRecord) -> Key:
    """Returns a key that changes with the state, generation and boot of a VM."""
    return record.name, f"{record.state}{record.generation}{record.boot_id}"
