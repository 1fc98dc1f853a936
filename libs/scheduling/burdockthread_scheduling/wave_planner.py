"""Decides which machines of a maintenance wave are vacated next."""

import math
from enum import IntEnum

from burdockthread_model.clock import Clock
from burdockthread_model.events import EventLog
from burdockthread_store.store import Guard

from burdockthread_scheduling.machine_ledger import Intent, MachineLedger, Purpose
from burdockthread_scheduling.machines import (
    Machine,
    MachineState,
    Wave,
    WaveBoard,
)
from burdockthread_scheduling.pool_status import PoolStatus

# A machine that is not empty after this time is released and tried again later.
EMPTYING_TIMEOUT_S = 15.0
RETRY_S = 2.0
# Time to empty a machine and to return it to service, besides the upkeep itself.
OVERHEAD_S = 2.0
# Lasting tasks of a step leave a machine one by one; this covers the stop, the
# start elsewhere and the start-up time of one task.
LASTING_MOVE_S = 2.2
# Shares of the remaining time: if the remaining upkeep needs more than the first,
# workers with short tasks are taken; if more than the second, also workers of
# pools at their peak.
CALM_SHARE = 0.5
HURRIED_SHARE = 0.85
# A pool is at its peak while its runs use more than this share of its processors.
PEAK_SHARE = 0.3


class Urgency(IntEnum):
    """How little time is left for the remaining machines of a wave."""

    CALM = 0
    HURRIED = 1
    PRESSED = 2


class WavePlanner:
    """Chooses the machines of the waves that are taken out for upkeep.

    Attributes:
        guard: Condition that fences the reports to the operators.
        maintained: Machines whose upkeep has begun, by wave.
        ordered: Waves for which the upkeep of a machine was ordered and may be under
            way, by machine.
        seen_s: Clock time at which each wave was first seen.
        reported: Completion of each wave as last reported to the operators.
        needs_extra_worker: Pools that need one more worker before another worker
            can be taken out.
    """

    def __init__(
        self,
        ledger: MachineLedger,
        waves: WaveBoard,
        guard: Guard,
        upkeep_s: float,
        clock: Clock,
        log: EventLog,
    ) -> None:
        self.ledger = ledger
        self.waves = waves
        self.guard = guard
        self.upkeep_s = upkeep_s
        self.clock = clock
        self.log = log
        self.maintained: dict[int, set[str]] = {}
        self.ordered: dict[str, set[int]] = {}
        self.seen_s: dict[int, float] = {}
        self.reported: dict[int, bool] = {}
        self.needs_extra_worker: set[str] = set()

    def done(self, wave: int) -> set[str]:
        """Returns the machines of a wave whose upkeep has begun; the set is mutable."""
        return self.maintained.setdefault(wave, set())

    def note_ordered(self, machine: str, wave: int) -> None:
        """Records that an upkeep is about to be ordered."""
        self.ordered.setdefault(machine, set()).add(wave)

    def note_begun(self, machine: str, wave: int) -> None:
        """Records that the upkeep of a machine for a wave has begun."""
        self.done(wave).add(machine)
        self.ordered[machine] = {wave}

    def note_refused(self, machine: str, wave: int) -> None:
        """Records that an order for upkeep had no effect."""
        self.ordered.get(machine, set()).discard(wave)

    def update_from_list(self) -> None:
        """Records upkeep whose order was not answered, as the list shows it.

        The list does not name the wave of an upkeep. It counts for a wave only if no
        order for another wave may have caused it; otherwise the wave orders it again,
        which has no effect on a machine that had its upkeep for the wave.
        """
        for name, waves in tuple(self.ordered.items()):
            machine = self.ledger.machines.get(name)
            if machine is None:
                continue
            if machine.state is MachineState.UPKEEP and len(waves) == 1:
                self.note_begun(name, next(iter(waves)))
            elif machine.state is MachineState.UP:
                waves -= {wave for wave in waves if name in self.done(wave)}
            if not self.ordered[name]:
                del self.ordered[name]

    async def plan(self) -> None:
        """Chooses machines for upkeep and reports the progress of the waves.

        Raises:
            StoreError: A report may not have been recorded.
        """
        self.needs_extra_worker = set()
        self.abandon_slow()
        for wave in self.waves.waves():
            self.seen_s.setdefault(wave.number, self.clock.now())
            left = [
                self.ledger.machines[name]
                for name in wave.machines
                if name in self.ledger.machines and name not in self.done(wave.number)
            ]
            completed = not left and bool(self.ledger.machines)
            await self.report_status(wave, completed=completed)
            if left:
                self.choose(wave, left)

    def abandon_slow(self) -> None:
        """Cancels plans for machines that were not empty in `EMPTYING_TIMEOUT_S`."""
        now = self.clock.now()
        for name, intent in tuple(self.ledger.intents.items()):
            if now - intent.since_s > EMPTYING_TIMEOUT_S:
                del self.ledger.intents[name]
                self.ledger.backoff_until_s[name] = now + RETRY_S
                self.log.info("emptying_given_up", machine=name, purpose=intent.purpose)

    async def report_status(self, wave: Wave, *, completed: bool) -> None:
        """Reports whether a wave is completed to the operators, if that changed."""
        if self.reported.get(wave.number) is completed:
            return
        await self.waves.report_status(wave.number, self.guard, completed=completed)
        self.reported[wave.number] = completed
        self.log.info("wave_status", wave=wave.number, completed=completed)

    def choose(self, wave: Wave, left: list[Machine]) -> None:
        """Chooses machines of a wave, up to the number allowed at once."""
        room = wave.max_at_once - self.count_out(wave) - self.count_chosen(wave)
        urgency = self.urgency(wave, left)
        candidates = sorted(
            (machine for machine in left if self.ledger.is_free(machine)),
            key=self.rank,
        )
        for machine in candidates:
            if room <= 0:
                return
            if not self.may_vacate(machine, urgency):
                continue
            room -= 1
            self.ledger.intents[machine.name] = Intent(
                Purpose.UPKEEP, self.clock.now(), wave=wave.number
            )
            self.log.info(
                "upkeep_chosen",
                machine=machine.name,
                worker=machine.worker_id,
                wave=wave.number,
                pool=machine.pool,
                left=len(left),
                hurry=urgency.name.lower(),
            )

    def count_out(self, wave: Wave) -> int:
        """Returns how many machines are or may be out of service for a wave.

        Machines with an upkeep order of any wave are counted too.
        """
        names = {
            name
            for name, order in self.ledger.orders.items()
            if order.intent.purpose is Purpose.UPKEEP
        }
        for name in wave.machines:
            machine = self.ledger.machines.get(name)
            if machine is not None and machine.state is MachineState.UPKEEP:
                names.add(name)
        return len(names)

    def count_chosen(self, wave: Wave) -> int:
        """Returns how many machines are being vacated for a wave."""
        intents = self.ledger.intents.values()
        return sum(
            1
            for intent in intents
            if intent.purpose is Purpose.UPKEEP and intent.wave == wave.number
        )

    def urgency(self, wave: Wave, left: list[Machine]) -> Urgency:
        """Returns how urgent the upkeep of the remaining machines of a wave is."""
        rounds = math.ceil(len(left) / wave.max_at_once)
        lasting = max(self.lasting(machine) for machine in left)
        needed_s = rounds * (self.upkeep_s + OVERHEAD_S) + lasting * LASTING_MOVE_S
        passed_s = self.clock.now() - self.seen_s[wave.number]
        left_s = wave.duration_s - passed_s
        if needed_s <= left_s * CALM_SHARE:
            return Urgency.CALM
        return (
            Urgency.HURRIED if needed_s <= left_s * HURRIED_SHARE else Urgency.PRESSED
        )

    def rank(self, machine: Machine) -> tuple[int, float]:
        """Returns the sort key of a machine; the lowest is taken out first."""
        if self.ledger.is_off(machine):
            return 0, 0.0
        worker = self.ledger.worker_of(machine)
        if worker is None:
            return 3, 0.0
        if worker.runs > worker.lasting:
            return 2, worker.used_milli
        # Machines with lasting tasks take the longest to empty.
        return 1, -worker.lasting

    def lasting(self, machine: Machine) -> int:
        """Returns how many lasting tasks run on a machine."""
        worker = self.ledger.worker_of(machine)
        return 0 if worker is None else worker.lasting

    def may_vacate(self, machine: Machine, urgency: Urgency) -> bool:
        """Returns whether a machine may be vacated now.

        At least half of the usable workers of a pool stay, and at least one. A pool
        with no worker to spare is added to `needs_extra_worker`.
        """
        if self.ledger.is_off(machine):
            return True
        status = self.ledger.fresh(machine.pool)
        worker = self.ledger.worker_of(machine)
        if status is None or worker is None:
            return False
        staying = len(self.ledger.staying(status))
        usable = sum(1 for worker in status.workers if worker.usable)
        if staying <= max(usable // 2, 1):
            if staying <= 1:
                self.needs_extra_worker.add(machine.pool)
            return False
        if urgency is Urgency.PRESSED:
            return True
        if is_at_peak(status):
            return False
        return urgency is Urgency.HURRIED or worker.runs == worker.lasting


def is_at_peak(status: PoolStatus) -> bool:
    """Returns whether a pool is at its peak and needs all of its workers."""
    capacity = sum(worker.cpu_milli for worker in status.workers if worker.usable)
    return status.waiting > 0 or status.running_milli > capacity * PEAK_SHARE
