"""The machine planner: moves machines between pools and orders their upkeep."""

import asyncio
from collections.abc import Callable, Iterable
from typing import NamedTuple

from burdockthread_model.clock import Clock
from burdockthread_model.errors import ConflictError, PlatformError, StoreError
from burdockthread_model.events import EventLog
from burdockthread_model.metrics import Metrics
from burdockthread_model.records import RecordError
from burdockthread_store.store import ANY_REVISION, Change, ConfigurationStore

from burdockthread_scheduling.demand_peaks import DemandPeaks
from burdockthread_scheduling.demand_trend import DemandTrend
from burdockthread_scheduling.duty import Duty, Tenure
from burdockthread_scheduling.entry_lease import EntryLease
from burdockthread_scheduling.estimates import ONSET_S
from burdockthread_scheduling.machine_ledger import (
    GivenOrder,
    Intent,
    MachineLedger,
    Purpose,
)
from burdockthread_scheduling.machines import (
    Machine,
    MachineControl,
    MachineRefusal,
    MachineRefusedError,
    WaveBoard,
)
from burdockthread_scheduling.pool_sizer import PoolSizer
from burdockthread_scheduling.pool_status import (
    MACHINE_ORDER_TIMEOUT_S,
    PlannerAnswer,
    PoolStatus,
)
from burdockthread_scheduling.records import decode, encode
from burdockthread_scheduling.specs import FleetConfiguration
from burdockthread_scheduling.wave_planner import WavePlanner

PLAN_INTERVAL_S = 0.1
LIST_INTERVAL_S = 0.5
# An order may take as long as a call times out; the lease has to outlast it.
MIN_LEASE_S = 1.1
SPACING_MARGIN_S = 0.3
# Greatest difference assumed between the wall clocks of two entries.
WALL_MARGIN_S = 2.5
BUSY_PAUSE_S = 1.0
RECORD_KEY = "planner"


class PlannerRecord(NamedTuple):
    """State that a planner leaves to the next one, stored at ``planner``.

    Attributes:
        holder: Entry of the planner.
        released: Whether the planner has sent its last order.
        ordered_ms: Unix time in milliseconds of the planner's last order to each
            machine.
        maintained: Machines whose upkeep has begun, by wave.
        seen_ms: Unix time in milliseconds at which each wave was first seen.
        earlier_ordered_ms: As `ordered_ms`, for orders of earlier planners.
        wait_until_ms: Unix time in milliseconds until which orders of earlier
            planners may be unknown.
        announced: Whether every order is recorded before it is sent.
        upkeep_waves: Waves for which upkeep was ordered and may be under way, by
            machine.
    """

    holder: str
    released: bool
    ordered_ms: dict[str, int]
    maintained: dict[int, tuple[str, ...]]
    seen_ms: dict[int, int]
    earlier_ordered_ms: tuple[tuple[str, int], ...] = ()
    wait_until_ms: int = 0
    announced: bool = False
    upkeep_waves: tuple[tuple[str, tuple[int, ...]], ...] = ()


class MachineTimes(NamedTuple):
    """Durations on the platform, in seconds.

    Attributes:
        move_s: Duration of a move to another pool.
        upkeep_s: Duration of an upkeep.
        spacing_s: Least time between orders of two holders to one machine.
    """

    move_s: float
    upkeep_s: float
    spacing_s: float


class PlannerParts(NamedTuple):
    """The objects that the planner depends on."""

    entry: str
    store: ConfigurationStore
    control: MachineControl
    waves: WaveBoard
    lease: EntryLease
    configuration: Callable[[], FleetConfiguration]
    times: MachineTimes
    clock: Clock
    metrics: Metrics
    log: EventLog


class MachinePlanner(Duty):
    """The duty of the one entry that sends orders to machines.

    Attributes:
        ledger: Known state of machines and pools, and planned orders.
        ordered_ms: Unix time in milliseconds of this entry's last order to each
            machine.
        earlier_ordered_ms: As `ordered_ms`, for orders of earlier planners.
        wait_until_ms: Unix time in milliseconds until which orders of earlier
            planners may be unknown.
        orders_known_s: Clock time from which no order of an earlier planner can be
            unknown.
        record_read: Whether the last planner's record has been read.
        ready_s: Clock time before which no order is sent.
        ordering: Whether orders are in progress.
        closing: Whether the hand-over has begun.
        paused: Whether the duty is being offered to another entry.
    """

    def __init__(self, tenure: Tenure, parts: PlannerParts) -> None:
        self.tenure = tenure
        self.parts = parts
        self.clock = parts.clock
        self.log = parts.log
        self.ledger = MachineLedger(parts.configuration, parts.clock)
        self.demand = DemandPeaks(ONSET_S + parts.times.move_s, parts.log)
        self.trend = DemandTrend(parts.times.move_s + PLAN_INTERVAL_S)
        self.sizer = PoolSizer(
            self.ledger, self.demand, self.trend, parts.clock, parts.log
        )
        self.waves = WavePlanner(
            self.ledger,
            parts.waves,
            tenure.guard,
            parts.times.upkeep_s,
            parts.clock,
            parts.log,
        )
        self.ordered_ms: dict[str, int] = {}
        self.earlier_ordered_ms: dict[str, int] = {}
        self.wait_until_ms = 0
        self.orders_known_s = float("-inf")
        self.record_read = False
        self.ready_s = float("inf")
        self.writing = asyncio.Lock()
        self.ordering = False
        self.closing = False
        self.paused = False

    async def run(self) -> None:
        """Plans until cancelled or handed over."""
        await self.take_over()
        while not self.closing:
            try:
                await self.step()
            except (PlatformError, StoreError, ConflictError) as error:
                self.parts.metrics.count("planner.failed")
                self.log.info("plan_failed", reason=error)
            await self.clock.sleep(PLAN_INTERVAL_S)

    async def take_over(self) -> None:
        """Reads the last planner's record and writes its own; retries on errors."""
        started_s = self.clock.now()
        while True:
            try:
                await self.read_record(started_s)
                await self.write_record(released=False)
                return
            except (StoreError, ConflictError) as error:
                self.log.info("takeover_waits", duty=self.tenure.duty, reason=error)
                await self.clock.sleep(PLAN_INTERVAL_S)

    async def read_record(self, started_s: float) -> None:
        """Reads the last planner's record and sets `ready_s`.

        A planner that announces its orders has recorded all of them, also when it
        was lost: the store rejects the record of an order once the duty is taken.
        One that does not may have sent an order until now, since the store may drop
        its key early, unless it has handed over or offered its duty. The last
        planner may also have been an earlier process of this entry.

        Args:
            started_s: Clock time at which this planner started.

        Raises:
            StoreError: The store did not answer.
        """
        spacing_s = self.parts.times.spacing_s + SPACING_MARGIN_S
        found = await self.parts.store.get(RECORD_KEY)
        self.record_read = True
        record = self.last_record(None if found is None else found.value)
        self.ready_s = started_s + spacing_s
        if record is None or not (record.released or record.announced):
            self.orders_known_s = self.ready_s
            left_s = self.ready_s - self.clock.now()
            self.wait_until_ms = int((self.clock.wall() + left_s) * 1000)
        if record is None:
            return
        if record.released or record.announced:
            self.ready_s = self.clock.now()
        elif record.holder == self.parts.entry:
            # Orders of the earlier term have been answered or timed out by then.
            self.ready_s = started_s + MIN_LEASE_S
        self.adopt_orders(record, spacing_s + WALL_MARGIN_S)
        wall_s = self.clock.wall()
        for wave, names in record.maintained.items():
            self.waves.done(wave).update(names)
        for name, waves in record.upkeep_waves:
            self.waves.ordered[name] = set(waves)
        for wave, seen_ms in record.seen_ms.items():
            self.waves.seen_s[wave] = self.clock.now() - (wall_s - seen_ms / 1000)
        self.log.info(
            "planner_taken_over",
            fence=self.tenure.fence,
            released=record.released,
            resting=len(self.ledger.backoff_until_s),
        )

    def last_record(self, stored: bytes | None) -> PlannerRecord | None:
        """Returns the record that the last planner passed on, or else the stored one.

        None if there is neither or both are unreadable.
        """
        for data in (self.tenure.inherited, stored):
            if not data:
                continue
            try:
                return decode(data, PlannerRecord)
            except RecordError as error:
                self.log.error("record_unreadable", store_key=RECORD_KEY, reason=error)
        return None

    def adopt_orders(self, record: PlannerRecord, spacing_s: float) -> None:
        """Delays orders to machines that earlier planners have ordered recently.

        Those orders are kept for the next planner's record. Orders of this entry
        itself delay others only until they have been answered or timed out.

        Args:
            record: Record of the last planner.
            spacing_s: Seconds after an order of another entry before the next one.
        """
        wall_s, now = self.clock.wall(), self.clock.now()
        known = dict(record.earlier_ordered_ms)
        if record.holder == self.parts.entry:
            self.ordered_ms.update(record.ordered_ms)
            for name, at_ms in record.ordered_ms.items():
                left_s = min(at_ms / 1000 - wall_s, 0.0) + MIN_LEASE_S
                if left_s > 0:
                    self.ledger.backoff_until_s[name] = now + left_s
        else:
            known.update(record.ordered_ms)
        for name, at_ms in known.items():
            left_s = min(at_ms / 1000 - wall_s, 0.0) + spacing_s
            if left_s > 0:
                self.earlier_ordered_ms[name] = at_ms
                self.ledger.backoff_until_s[name] = now + left_s
        left_s = record.wait_until_ms / 1000 + WALL_MARGIN_S - wall_s
        if left_s > 0:
            self.wait_until_ms = max(self.wait_until_ms, record.wait_until_ms)
            self.ready_s = max(self.ready_s, now + min(left_s, spacing_s))
            self.orders_known_s = max(self.orders_known_s, self.ready_s)

    def recent_orders(self) -> dict[str, int]:
        """Returns this entry's orders that can still delay those of the next planner.

        The others are dropped.
        """
        spacing_s = self.parts.times.spacing_s + SPACING_MARGIN_S + 2 * WALL_MARGIN_S
        since_ms = (self.clock.wall() - spacing_s) * 1000
        self.ordered_ms = {
            name: at_ms for name, at_ms in self.ordered_ms.items() if at_ms > since_ms
        }
        return self.ordered_ms

    def record(self, *, released: bool) -> PlannerRecord:
        """Returns the state that the next planner needs."""
        wall_s, now = self.clock.wall(), self.clock.now()
        return PlannerRecord(
            self.parts.entry,
            released,
            self.recent_orders(),
            {wave: tuple(sorted(n)) for wave, n in self.waves.maintained.items()},
            {
                wave: int((wall_s - (now - seen_s)) * 1000)
                for wave, seen_s in self.waves.seen_s.items()
            },
            tuple(self.earlier_ordered_ms.items()),
            self.wait_until_ms if now < self.orders_known_s else 0,
            announced=True,
            upkeep_waves=tuple(
                (name, tuple(sorted(waves)))
                for name, waves in sorted(self.waves.ordered.items())
            ),
        )

    async def write_record(self, *, released: bool) -> None:
        """Writes the state that the next planner needs; writes are serialised.

        Raises:
            ConflictError: This entry is no longer the planner.
            StoreError: The store did not answer.
        """
        async with self.writing:
            record = self.record(released=released)
            change = Change(RECORD_KEY, encode(record), ANY_REVISION)
            await self.parts.store.write([change], [self.tenure.guard])

    async def pause(self) -> bytes:
        """Sends no more orders; returns the record for the successor."""
        self.paused = True
        await self.wait_for_orders()
        if not self.record_read:
            return self.tenure.inherited
        return encode(self.record(released=True))

    def resume(self) -> None:
        """Sends orders again."""
        self.paused = False

    async def wait_for_orders(self) -> None:
        """Waits until no order is in progress."""
        while self.ordering:
            await self.clock.sleep(PLAN_INTERVAL_S / 10)

    async def hand_over(self) -> None:
        """Sends no more orders and stores those sent for the next planner.

        If the last planner's record has not been read yet, it is left unchanged.
        """
        self.closing = True
        if not self.record_read:
            return
        try:
            async with self.clock.timeout(MIN_LEASE_S):
                await self.wait_for_orders()
                await self.write_record(released=True)
        except (StoreError, ConflictError, TimeoutError) as error:
            self.log.info("record_not_written", store_key=RECORD_KEY, reason=error)

    def on_status(self, status: PoolStatus) -> PlannerAnswer:
        """Records a pool's status; returns what its holder has to know of workers."""
        self.ledger.update_status(status)
        now = self.clock.now()
        self.demand.note(status, now)
        asked = status.lasting_milli + status.running_milli + status.waiting
        self.trend.note(status.pool, asked, now)
        return PlannerAnswer(
            self.ledger.to_vacate(status),
            self.demand.ages_s(now),
            self.ledger.ended_among(status),
            self.ledger.gone_among(status),
        )

    async def step(self) -> None:
        """Updates the machine list if due, then plans and sends orders once.

        Raises:
            PlatformError: The platform did not list the machines.
            StoreError: The store did not answer.
            ConflictError: This entry is no longer the planner.
        """
        if self.clock.now() - self.ledger.listed_s >= LIST_INTERVAL_S:
            read_s = self.clock.now()
            self.ledger.update_list(await self.parts.control.machines(), read_s)
            self.waves.update_from_list()
        self.ledger.remove_expired()
        if self.clock.now() < self.ready_s:
            return
        await self.waves.plan()
        self.sizer.plan(self.waves.needs_extra_worker)
        await self.carry_out()

    async def carry_out(self) -> None:
        """Sends the planned orders to machines that are empty.

        The orders are recorded first, so that the next planner knows them however
        this one ends. None is sent if the lease may expire before an order is
        answered.

        Raises:
            StoreError: The store did not answer; no order was sent.
            ConflictError: This entry is no longer the planner.
        """
        ready = [
            (machine, intent)
            for name, intent in self.ledger.intents.items()
            if self.ledger.is_empty(machine := self.ledger.machines[name])
        ]
        if not ready or self.closing or self.paused:
            return
        if not self.has_lease(len(ready)):
            return
        self.ordering = True
        try:
            await self.announce(ready)
            if not self.has_lease(len(ready)):
                return
            await asyncio.gather(*(self.order(*entry) for entry in ready))
        finally:
            self.ordering = False
        self.ledger.listed_s = float("-inf")
        if any(intent.purpose is Purpose.UPKEEP for _, intent in ready):
            await self.write_record(released=False)

    def has_lease(self, orders: int) -> bool:
        """Returns whether the lease outlasts an order; logs the orders held back."""
        lease_s = self.parts.lease.remaining_in_term_s(self.tenure.term)
        if lease_s < MIN_LEASE_S:
            self.log.info(
                "orders_held_back", machines=orders, lease_s=round(lease_s, 3)
            )
        return lease_s >= MIN_LEASE_S

    async def announce(self, orders: Iterable[tuple[Machine, Intent]]) -> None:
        """Records that orders to machines are about to be sent.

        Raises:
            StoreError: The store did not answer.
            ConflictError: This entry is no longer the planner.
        """
        wall_ms = int(self.clock.wall() * 1000)
        for machine, intent in orders:
            self.ordered_ms[machine.name] = wall_ms
            if intent.purpose is Purpose.UPKEEP:
                self.waves.note_ordered(machine.name, intent.wave)
        await self.write_record(released=False)

    async def order(self, machine: Machine, intent: Intent) -> None:
        """Sends one order and records its outcome.

        An order that has not been answered in time is cancelled, however late this
        process is: it must not be sent once the lease may have ended.
        """
        control, times = self.parts.control, self.parts.times
        holder, fence = self.parts.entry, self.tenure.fence
        ledger, name = self.ledger, machine.name
        sent_s = self.clock.now()
        outcome = "done"
        try:
            async with self.clock.timeout(MACHINE_ORDER_TIMEOUT_S):
                if intent.purpose is Purpose.UPKEEP:
                    duration_s = times.upkeep_s
                    await control.maintain(name, intent.wave, holder, fence)
                    self.waves.note_begun(name, intent.wave)
                else:
                    duration_s = times.move_s
                    await control.move(name, intent.pool, holder, fence)
            ledger.orders[name] = GivenOrder(intent, sent_s + duration_s)
            if machine.worker_id:
                ledger.ended[machine.worker_id] = self.clock.now()
        except MachineRefusedError as error:
            outcome = error.refusal.value
            ledger.backoff_until_s[name] = sent_s + BUSY_PAUSE_S
            if intent.purpose is Purpose.UPKEEP:
                self.waves.note_refused(name, intent.wave)
            if error.refusal is MachineRefusal.NOT_IN_WAVE:
                self.waves.done(intent.wave).add(name)
        except (PlatformError, TimeoutError) as error:
            outcome = str(error) or "no answer in time"
            ledger.orders[name] = GivenOrder(intent, sent_s + BUSY_PAUSE_S)
        ledger.intents.pop(name, None)
        self.parts.metrics.count(f"machines.{intent.purpose.value}")
        self.log.info(
            "machine_ordered",
            machine=name,
            worker=machine.worker_id,
            purpose=intent.purpose,
            wave=intent.wave,
            pool=machine.pool,
            to=intent.pool,
            fence=fence,
            list_age_s=round(sent_s - ledger.listed_s, 3),
            outcome=outcome,
        )
