"""Decides which machines are taken out for upkeep next."""

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

# A machine that is not empty by then is left for later.
EMPTYING_TIMEOUT_S = 15.0
RETRY_S = 2.0
# Emptying a machine and its way back, besides the upkeep itself.
OVERHEAD_S = 2.0
# Lasting tasks of a step leave a machine one by one: stop, start and start-up.
LASTING_MOVE_S = 2.2
# Parts of the time left that the upkeep of the rest may need before it takes
# workers with short tasks, and before it takes those of a pool in its turn.
CALM_SHARE = 0.5
HURRIED_SHARE = 0.85
# A pool is in its turn while its runs take up this part of its processors.
TURN_SHARE = 0.3


class Hurry(IntEnum):
    """How much the rest of a wave presses."""

    CALM = 0
    HURRIED = 1
    PRESSED = 2


class WavePlanner:
    """Picks the machines of the waves.

    Attributes:
        guard: Condition that fences what the operators are told.
        maintained: Machines whose upkeep has begun, by wave.
        seen_s: Clock time at which each wave was first seen.
        told: Whether the operators know that a wave is completed.
        reinforced: Pools that need one worker more to let one go.
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
        self.seen_s: dict[int, float] = {}
        self.told: dict[int, bool] = {}
        self.reinforced: set[str] = set()

    def done(self, wave: int) -> set[str]:
        """Returns the machines of a wave whose upkeep has begun."""
        return self.maintained.setdefault(wave, set())

    def note_list(self) -> None:
        """Takes in from the list which machines are out."""
        for wave in self.waves.waves():
            for name in wave.machines:
                machine = self.ledger.machines.get(name)
                if machine is not None and machine.state is MachineState.UPKEEP:
                    self.done(wave.number).add(name)

    async def plan(self) -> None:
        """Decides on upkeep, and tells the operators how far the waves are."""
        self.reinforced = set()
        self.give_up_slow()
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

    def give_up_slow(self) -> None:
        """Lets machines be that could not be emptied in time."""
        now = self.clock.now()
        for name, intent in tuple(self.ledger.intents.items()):
            if now - intent.since_s > EMPTYING_TIMEOUT_S:
                del self.ledger.intents[name]
                self.ledger.resting[name] = now + RETRY_S
                self.log.info("emptying_given_up", machine=name, purpose=intent.purpose)

    async def report_status(self, wave: Wave, *, completed: bool) -> None:
        """Tells the operators how far a wave has come, if that has changed."""
        if self.told.get(wave.number) is completed:
            return
        await self.waves.report_status(wave.number, self.guard, completed=completed)
        self.told[wave.number] = completed
        self.log.info("wave_status", wave=wave.number, completed=completed)

    def choose(self, wave: Wave, left: list[Machine]) -> None:
        """Picks machines of a wave up to the number allowed at once."""
        room = wave.max_at_once - self.out_for(wave) - self.chosen_for(wave)
        hurry = self.hurry(wave, left)
        candidates = sorted(
            (machine for machine in left if self.ledger.is_free(machine)),
            key=self.rank,
        )
        for machine in candidates:
            if room <= 0:
                return
            if not self.may_go(machine, hurry):
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
                hurry=hurry.name.lower(),
            )

    def out_for(self, wave: Wave) -> int:
        """Returns how many machines of a wave are or may be out for it."""
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

    def chosen_for(self, wave: Wave) -> int:
        """Returns how many machines are being emptied for a wave."""
        intents = self.ledger.intents.values()
        return sum(
            1
            for intent in intents
            if intent.purpose is Purpose.UPKEEP and intent.wave == wave.number
        )

    def hurry(self, wave: Wave, left: list[Machine]) -> Hurry:
        """Returns how long the rest of a wave can wait for a calm time."""
        rounds = math.ceil(len(left) / wave.max_at_once)
        lasting = max(self.lasting(machine) for machine in left)
        needed_s = rounds * (self.upkeep_s + OVERHEAD_S) + lasting * LASTING_MOVE_S
        passed_s = self.clock.now() - self.seen_s[wave.number]
        left_s = wave.duration_s - passed_s
        if needed_s <= left_s * CALM_SHARE:
            return Hurry.CALM
        return Hurry.HURRIED if needed_s <= left_s * HURRIED_SHARE else Hurry.PRESSED

    def rank(self, machine: Machine) -> tuple[int, float]:
        """Returns how soon a machine is taken out; the lowest goes first."""
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
        """Returns how many lasting tasks a machine has."""
        worker = self.ledger.worker_of(machine)
        return 0 if worker is None else worker.lasting

    def may_go(self, machine: Machine, hurry: Hurry) -> bool:
        """Returns whether a machine may be emptied now.

        At least half of the workers of a pool stay, and one at the least.
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
                self.reinforced.add(machine.pool)
            return False
        if hurry is Hurry.PRESSED:
            return True
        if is_in_turn(status):
            return False
        return hurry is Hurry.HURRIED or worker.runs == worker.lasting


def is_in_turn(status: PoolStatus) -> bool:
    """Returns whether a pool needs all of its workers."""
    capacity = sum(worker.cpu_milli for worker in status.workers if worker.usable)
    return status.waiting > 0 or status.running_milli > capacity * TURN_SHARE
