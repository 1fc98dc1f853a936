"""Takes VMs that are out from one state to the next.

Every order to the platform follows a fenced write that records it, and names
the boot or generation that it is for. A planner that resumes late therefore
repeats orders at the most, and those are refused or have no effect:

serving -> draining -> rebooting -> returning -> serving

A new VM enters as returning. A VM that changes its pool does so between
rebooting and returning, in one write.
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

from burdockthread_fleet.assignment import may_hold
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
    """Gives the orders that VMs which are out still need.

    Attributes:
        pacing: When each VM entered its state and was last given an order.
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
        """Takes each VM that is out one step on.

        Raises:
            LeaseLostError: The lease is not held.
            ConflictError: Another writer came first.
            StoreError: The store did not answer.
        """
        records = self.view.records.values()
        out = [r for r in records if r.state in OUT_STATES]
        self.metrics.gauge("planner.vms_out", len(out))
        self.pacing.prune([pacing_key(r) for r in out])
        await self.readopt(records)
        await self.finish_returns(self.in_state(VmState.RETURNING))
        await self.finish_reboots(self.in_state(VmState.REBOOTING))
        await self.finish_drains(self.in_state(VmState.DRAINING))

    def in_state(self, state: VmState) -> list[VmRecord]:
        """Returns the records in a state that are handled in this step."""
        found = [r for r in self.view.records.values() if r.state is state]
        return found[:MAX_UPDATES_PER_STEP]

    async def each(
        self,
        records: Iterable[VmRecord],
        order: Callable[[VmRecord], Awaitable[object]],
    ) -> list[tuple[VmRecord, object]]:
        """Gives an order for each VM, a bounded number at once.

        Returns:
            The VMs that answered, with their answers.
        """
        records = list(records)
        answers = await asyncio.gather(*(self.one(record, order) for record in records))
        pairs = zip(records, answers, strict=True)
        return [(record, answer[0]) for record, answer in pairs if answer]

    async def one(
        self, record: VmRecord, order: Callable[[VmRecord], Awaitable[object]]
    ) -> tuple[object] | None:
        """Gives one order while the lease is held; None without an answer."""
        async with self.orders:
            self.leadership.check()
            try:
                return (await order(record),)
            except PlatformError as error:
                self.metrics.count("planner.order_failures")
                self.log.warning("vm_order_failed", vm=record.name, reason=error)
                return None

    async def readopt(self, records: Iterable[VmRecord]) -> None:
        """Assigns again the VMs that rebooted by themselves or were replaced."""
        changed = [r for r in records if self.rebooted_unasked(r)]
        updates = [self.readopted(r) for r in changed[:MAX_UPDATES_PER_STEP]]
        if not updates:
            return
        await self.writer.commit(updates)
        for update in updates:
            self.log.warning("vm_rebooted_unasked", vm=update.name)
            self.metrics.count("planner.unasked_reboots")

    def readopted(self, record: VmRecord) -> VmUpdate:
        """Returns the update of a VM that is on another boot than recorded.

        A VM of that name in an availability zone that the pool may not use is
        another VM; its record is deleted, so that it is assigned anew.
        """
        listing = self.view.listings[record.name]
        spec = self.view.pools.get(record.pool)
        if spec is not None and not may_hold(spec, listing):
            return VmUpdate(record.name, None)
        returning = record._replace(
            state=VmState.RETURNING,
            generation=record.generation + 1,
            boot_id=listing.boot_id,
            changed_s=self.clock.wall(),
        )
        return VmUpdate(record.name, returning)

    def rebooted_unasked(self, record: VmRecord) -> bool:
        """Returns whether a VM serves from another boot than the one assigned."""
        if record.state in OUT_STATES or not record.boot_id:
            return False
        return self.left_boot(record)

    def live(self, record: VmRecord) -> VmListing | None:
        """Returns the listing of a VM that is listed as live, or None."""
        listing = self.view.listings.get(record.name)
        if listing is None or listing.status is not VmStatus.LIVE:
            return None
        return listing

    async def finish_drains(self, records: list[VmRecord]) -> None:
        """Reboots the VMs that have no work and that no entry uses any more.

        A VM with work in flight is never rebooted, however long it takes.
        """
        listed = [r for r in records if r.name in self.view.listings]
        await self.finish_reboots([r for r in listed if self.left_boot(r)])
        due = [r for r in listed if self.due(r, DRAIN_POLL_S) and not self.left_boot(r)]
        answers = await self.each(due, self.drain)
        drained = [r for r, in_flight in answers if not in_flight and self.settled(r)]
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
        """Orders a drain; returns the work in flight."""
        return await self.control.drain(record.name, record.boot_id)

    def settled(self, record: VmRecord) -> bool:
        """Returns whether every entry has seen that a VM takes no work."""
        return self.pacing.waited_s(pacing_key(record)) >= STALE_VIEW_S

    def due(self, record: VmRecord, interval_s: float) -> bool:
        """Returns whether a VM is to be given its order again."""
        self.pacing.waited_s(pacing_key(record))
        return self.pacing.due(pacing_key(record), interval_s)

    async def order_reboots(self, records: list[VmRecord]) -> None:
        """Orders reboots that are due."""

        async def reboot(record: VmRecord) -> None:
            await self.control.reboot(record.name, record.boot_id)

        due = [r for r in records if self.due(r, REBOOT_RETRY_S)]
        await self.each(due, reboot)

    def left_boot(self, record: VmRecord) -> bool:
        """Returns whether a VM is live on another boot than the one recorded."""
        listing = self.live(record)
        return listing is not None and listing.boot_id != record.boot_id

    async def finish_reboots(self, records: list[VmRecord]) -> None:
        """Gives VMs that booted again to their pool, or the one they move to."""
        back = [r for r in records if self.left_boot(r)]
        updates = [self.returning(record) for record in back]
        if updates:
            await self.writer.commit(updates)
        waiting = [r for r in records if not self.left_boot(r)]
        await self.order_reboots([r for r in waiting if r.state is VmState.REBOOTING])

    def returning(self, record: VmRecord) -> VmUpdate:
        """Returns the update of a VM that has booted again."""
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
        """Takes VMs into service that are live and confirm their pool."""

        async def assign(record: VmRecord) -> None:
            await self.control.assign(record.name, record.pool, record.generation)

        live = [r for r in records if self.live(r) and self.due(r, ASSIGN_RETRY_S)]
        confirmed = [record for record, _ in await self.each(live, assign)]
        if not confirmed:
            return
        await self.writer.commit([self.serving(record) for record in confirmed])
        for record in confirmed:
            await self.note_return(record)

    def serving(self, record: VmRecord) -> VmUpdate:
        """Returns the update of a VM that confirmed its pool."""
        serving = record._replace(
            state=VmState.SERVING,
            wave="",
            target_pool="",
            boot_id=self.view.listings[record.name].boot_id,
            changed_s=self.clock.wall(),
        )
        restores = record.pool if record.wave else ""
        return VmUpdate(record.name, serving, restores=restores)

    async def note_return(self, record: VmRecord) -> None:
        """Logs and counts a VM that serves again."""
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


OUT_STATES = frozenset({VmState.DRAINING, VmState.REBOOTING, VmState.RETURNING})


def pacing_key(record: VmRecord) -> Key:
    """Returns a key that changes with the state of a VM."""
    return record.name, f"{record.state}{record.generation}{record.boot_id}"
