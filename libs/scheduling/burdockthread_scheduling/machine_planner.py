"""Divides the machines among the pools and takes them out for upkeep."""

import asyncio
from collections.abc import Callable, Iterable, Iterator, Mapping
from enum import StrEnum
from typing import NamedTuple

from burdockthread_model.clock import Clock
from burdockthread_model.errors import PlatformError, StoreError
from burdockthread_model.events import EventLog
from burdockthread_model.metrics import Metrics

from burdockthread_scheduling.demand_turns import DemandTurns
from burdockthread_scheduling.duties import Duty, EntryLease, Tenure
from burdockthread_scheduling.machines import (
    Machine,
    MachineControl,
    MachineRefusal,
    MachineRefusedError,
    MachineState,
    Wave,
    WaveBoard,
)
from burdockthread_scheduling.pool_status import (
    PlannerAnswer,
    PoolStatus,
    WorkerStatus,
)
from burdockthread_scheduling.specs import FleetConfiguration

PLAN_INTERVAL_S = 0.1
LIST_INTERVAL_S = 0.5
STATUS_MAX_AGE_S = 0.8
# An order may take a call's time; the lease has to outlast it.
MIN_LEASE_S = 1.1
SPACING_MARGIN_S = 0.3
# Work that waits should have run within this time.
DRAIN_TARGET_S = 1.5
SURPLUS_FACTOR = 1.3
# Work that waits longer takes machines that others keep for their next turn.
LATE_WAIT_S = 1.5
# A move costs about as much as a machine that idles for a second.
IDLE_BEFORE_RELEASE_S = 2.5
# Part of an even share of the machines that a pool keeps without demand.
FLOOR_SHARE = 1.0
# Workers register anew within three heartbeats, and a margin.
REGISTRATION_LAPSE_S = 8.0
IDLE_BEFORE_LOAN_S = 0.4
MIN_WORKERS = 2
BUSY_PAUSE_S = 1.0
DEMAND_LOG_INTERVAL_S = 1.0


class Purpose(StrEnum):
    """Why a machine is to be emptied."""

    UPKEEP = "upkeep"
    MOVE = "move"


class Intent(NamedTuple):
    """What is to be done with a machine once it is empty.

    Attributes:
        purpose: Upkeep or a move.
        wave: Number of the wave.
        pool: Pool that it moves to.
    """

    purpose: Purpose
    wave: int = 0
    pool: str = ""


class ReceivedStatus(NamedTuple):
    """A status with the clock time of its arrival."""

    status: PoolStatus
    received_s: float


class MachineTimes(NamedTuple):
    """How long the platform takes, in seconds.

    Attributes:
        move_s: A move to another pool.
        upkeep_s: An upkeep.
        spacing_s: Least time between the orders of two holders.
    """

    move_s: float
    upkeep_s: float
    spacing_s: float


class PlannerParts(NamedTuple):
    """What the planner is built from."""

    entry: str
    control: MachineControl
    waves: WaveBoard
    lease: EntryLease
    configuration: Callable[[], FleetConfiguration]
    times: MachineTimes
    clock: Clock
    metrics: Metrics
    log: EventLog


class MachinePlanner(Duty):
    """The work of the one entry that gives orders to machines.

    Attributes:
        machines: Newest list, by name.
        intents: Machines that are to be emptied, or ordered at once.
        ordered: Machines with an order under way, until the clock time given.
        maintained: Machines whose upkeep has begun, by wave.
        statuses: Newest status of each pool.
        ended: Workers that an order has ended, until the clock time at which
            their registrations are surely gone.
        demand: Turns of the pools' demand.
    """

    def __init__(self, tenure: Tenure, parts: PlannerParts) -> None:
        self.tenure = tenure
        self.parts = parts
        self.clock = parts.clock
        self.log = parts.log
        self.machines: dict[str, Machine] = {}
        self.listed_s = float("-inf")
        self.intents: dict[str, Intent] = {}
        self.ordered: dict[str, tuple[Intent, float]] = {}
        self.refused: dict[str, float] = {}
        self.maintained: dict[int, set[str]] = {}
        self.told: dict[int, bool] = {}
        self.statuses: dict[str, ReceivedStatus] = {}
        self.ended: dict[str, float] = {}
        self.logged_s = float("-inf")
        self.demand = DemandTurns()
        self.closing = False

    async def run(self) -> None:
        """Plans until cancelled."""
        await self.clock.sleep(self.parts.times.spacing_s + SPACING_MARGIN_S)
        while not self.closing:
            try:
                await self.step()
            except (PlatformError, StoreError) as error:
                self.parts.metrics.count("planner.failed")
                self.log.info("plan_failed", reason=error)
            await self.clock.sleep(PLAN_INTERVAL_S)

    async def hand_over(self) -> None:
        """Gives no more orders."""
        self.closing = True

    def on_status(self, status: PoolStatus) -> PlannerAnswer:
        """Takes in a status and returns what is to be emptied."""
        known = self.statuses.get(status.pool)
        if known is None or status.fence >= known.status.fence:
            self.statuses[status.pool] = ReceivedStatus(status, self.clock.now())
        now = self.clock.now()
        self.demand.note(status, now)
        for worker_id, until_s in tuple(self.ended.items()):
            if now >= until_s:
                del self.ended[worker_id]
        wanted_empty = {
            self.machines[name].worker_id
            for name in self.intents
            if name in self.machines
        }
        present = {worker.worker_id for worker in status.workers}
        vacate = tuple((wanted_empty | self.ended.keys()) & present)
        return PlannerAnswer(vacate, self.demand.ages_s(now))

    async def step(self) -> None:
        """Plans once."""
        if self.clock.now() - self.listed_s >= LIST_INTERVAL_S:
            await self.refresh()
        self.forget_old()
        await self.plan_waves()
        self.plan_pools()
        await self.carry_out()

    async def refresh(self) -> None:
        """Reads the list of machines."""
        found = await self.parts.control.machines()
        self.machines = {machine.name: machine for machine in found}
        self.listed_s = self.clock.now()
        for wave in self.parts.waves.waves():
            done = self.maintained.setdefault(wave.number, set())
            for name in wave.machines:
                machine = self.machines.get(name)
                if machine is not None and machine.state is MachineState.UPKEEP:
                    done.add(name)

    def forget_old(self) -> None:
        """Drops orders that are done and intents that no longer make sense."""
        now = self.clock.now()
        for name, (_, until_s) in tuple(self.ordered.items()):
            machine = self.machines.get(name)
            if machine is None or (now >= until_s and machine.state is MachineState.UP):
                del self.ordered[name]
        for name in tuple(self.intents):
            if name not in self.machines:
                del self.intents[name]
        for name, until_s in tuple(self.refused.items()):
            if now >= until_s:
                del self.refused[name]

    # Waves

    async def plan_waves(self) -> None:
        """Chooses the machines that are taken out next."""
        for wave in self.parts.waves.waves():
            done = self.maintained.setdefault(wave.number, set())
            left = [
                self.machines[name]
                for name in wave.machines
                if name in self.machines and name not in done
            ]
            if not left and self.machines:
                await self.tell(wave, completed=True)
                continue
            await self.tell(wave, completed=False)
            self.choose_for_upkeep(wave, left)

    async def tell(self, wave: Wave, *, completed: bool) -> None:
        """Tells the operators how far a wave has come, if that has changed."""
        if self.told.get(wave.number) is completed:
            return
        await self.parts.waves.tell(wave.number, completed=completed)
        self.told[wave.number] = completed
        self.log.info("wave_status", wave=wave.number, completed=completed)

    def choose_for_upkeep(self, wave: Wave, left: list[Machine]) -> None:
        """Picks machines of a wave up to the number allowed at once."""
        out = self.out_for(wave)
        chosen = sum(
            1
            for intent in self.intents.values()
            if intent.purpose is Purpose.UPKEEP and intent.wave == wave.number
        )
        room = wave.max_at_once - out - chosen
        candidates = sorted(
            (machine for machine in left if self.is_free(machine)),
            key=self.upkeep_rank,
        )
        for machine in candidates[: max(room, 0)]:
            self.intents[machine.name] = Intent(Purpose.UPKEEP, wave=wave.number)
            self.log.info(
                "upkeep_chosen",
                machine=machine.name,
                worker=machine.worker_id,
                wave=wave.number,
                pool=machine.pool,
                out=out,
            )

    def out_for(self, wave: Wave) -> int:
        """Returns how many machines of a wave are or may be out for it."""
        names = {
            name
            for name, (intent, _) in self.ordered.items()
            if intent.purpose is Purpose.UPKEEP
        }
        for name in wave.machines:
            machine = self.machines.get(name)
            if machine is not None and machine.state is MachineState.UPKEEP:
                names.add(name)
        return len(names)

    def is_free(self, machine: Machine) -> bool:
        """Returns whether nothing is planned with a machine that is up."""
        return (
            machine.state is MachineState.UP
            and machine.name not in self.intents
            and machine.name not in self.ordered
            and machine.name not in self.refused
        )

    def upkeep_rank(self, machine: Machine) -> tuple[int, float]:
        """Returns how soon a machine is taken out; the lowest goes first."""
        if self.is_off(machine):
            return 0, 0.0
        worker = self.worker_of(machine)
        if worker is None:
            return 3, 0.0
        return 2 if worker.runs else 1, worker.used_milli

    # Pools

    def is_off(self, machine: Machine) -> bool:
        """Returns whether a machine is in a spare pool."""
        pool = self.parts.configuration().pools.get(machine.pool)
        return pool is not None and pool.spare

    def worker_of(self, machine: Machine) -> WorkerStatus | None:
        """Returns what the holder of its pool says of a machine's worker."""
        received = self.fresh(machine.pool)
        if received is None:
            return None
        for worker in received.workers:
            if worker.worker_id == machine.worker_id:
                return worker
        return None

    def fresh(self, pool: str) -> PoolStatus | None:
        """Returns the status of a pool unless it is old."""
        received = self.statuses.get(pool)
        if received is None:
            return None
        if self.clock.now() - received.received_s > STATUS_MAX_AGE_S:
            return None
        return received.status

    def plan_pools(self) -> None:
        """Moves machines to where they are needed, and switches idle ones off."""
        configuration = self.parts.configuration()
        pools = [
            status
            for name in configuration.worker_pools()
            if (status := self.fresh(name)) is not None
        ]
        spare = next((p.name for p in configuration.pools.values() if p.spare), "")
        floors = self.floors(pools)
        self.log_demand(pools, floors)
        lacking = sorted(pools, key=self.shortage, reverse=True)
        for status in lacking:
            given = (
                dict.fromkeys(floors, MIN_WORKERS) if self.is_late(status) else floors
            )
            self.bring_machines(status, self.shortage(status), pools, given, spare)
        for status in pools:
            missing = floors[status.pool] * self.machine_milli()
            missing -= self.supply_milli(status)
            self.bring_machines(status, missing, pools, floors, spare)
        if spare:
            for status in pools:
                self.release_machines(status, floors[status.pool], spare)

    def log_demand(self, pools: list[PoolStatus], floors: Mapping[str, int]) -> None:
        """Logs what decides the sizes of the pools, once in a while."""
        now = self.clock.now()
        if now - self.logged_s < DEMAND_LOG_INTERVAL_S:
            return
        self.logged_s = now
        for status in pools:
            self.log.info(
                "pool_demand",
                pool=status.pool,
                workers=sum(1 for worker in status.workers if worker.usable),
                floor=floors[status.pool],
                lasting_milli=status.lasting_milli,
                running_milli=status.running_milli,
                waiting=int(status.waiting),
                inflow_milli=int(status.inflow_milli),
                supply_milli=int(self.supply_milli(status)),
                age_s=round(now - self.statuses[status.pool].received_s, 3),
            )

    def machine_milli(self) -> float:
        """Returns the processors of a machine of middle size."""
        sizes = sorted(m.capacity.cpu_milli for m in self.machines.values())
        return sizes[len(sizes) // 2] if sizes else 0.0

    def floors(self, pools: list[PoolStatus]) -> dict[str, int]:
        """Returns how many machines each pool keeps while it asks for less.

        A pool whose turn is just over can do with few; the longer ago it was,
        the sooner the next one may come.
        """
        share = len(self.machines) / (len(pools) + 1) * FLOOR_SHARE
        ranks = self.demand.ranks([status.pool for status in pools])
        return {
            pool: max(round(share * rank), MIN_WORKERS) for pool, rank in ranks.items()
        }

    def wanted_milli(self, status: PoolStatus) -> float:
        """Returns the processors that a pool should have."""
        drained = status.waiting / DRAIN_TARGET_S
        busy = max(status.inflow_milli, status.running_milli)
        return status.lasting_milli + busy + drained

    def supply_milli(self, status: PoolStatus) -> float:
        """Returns the processors that a pool has or is about to get."""
        leaving = {
            machine.worker_id
            for name, intent in self.intents.items()
            if (machine := self.machines.get(name)) is not None
            and intent.purpose is Purpose.MOVE
        }
        leaving |= self.ended.keys()
        supply = sum(
            worker.cpu_milli
            for worker in status.workers
            if worker.usable and worker.worker_id not in leaving
        )
        planned = [*self.intents.items()]
        planned += [(name, intent) for name, (intent, _) in self.ordered.items()]
        present = {worker.worker_id for worker in status.workers if worker.usable}
        for name, intent in planned:
            machine = self.machines.get(name)
            if machine is None:
                continue
            to_move = intent.purpose is Purpose.MOVE and intent.pool == status.pool
            returning = (
                intent.purpose is Purpose.UPKEEP
                and machine.pool == status.pool
                and (machine.worker_id not in present or machine.worker_id in leaving)
            )
            if to_move or returning:
                supply += machine.capacity.cpu_milli
        return supply

    def is_late(self, status: PoolStatus) -> bool:
        """Returns whether work waits longer than the machines on their way help."""
        supply = max(self.supply_milli(status), 1.0)
        return status.waiting / supply > LATE_WAIT_S

    def shortage(self, status: PoolStatus) -> float:
        """Returns the processors that a pool lacks; negative if it has too many."""
        return self.wanted_milli(status) - self.supply_milli(status)

    def bring_machines(
        self,
        status: PoolStatus,
        missing: float,
        pools: Iterable[PoolStatus],
        floors: Mapping[str, int],
        spare: str,
    ) -> None:
        """Moves machines to a pool that lacks them."""
        if missing <= 0:
            return
        for machine in tuple(self.sources(status.pool, pools, floors, spare)):
            if missing <= 0:
                return
            self.intents[machine.name] = Intent(Purpose.MOVE, pool=status.pool)
            missing -= machine.capacity.cpu_milli
            self.log.info(
                "move_chosen",
                machine=machine.name,
                worker=machine.worker_id,
                pool=machine.pool,
                to=status.pool,
                missing_milli=int(missing),
                waiting=int(status.waiting),
                inflow_milli=int(status.inflow_milli),
            )

    def sources(
        self,
        pool: str,
        pools: Iterable[PoolStatus],
        floors: Mapping[str, int],
        spare: str,
    ) -> Iterator[Machine]:
        """Yields the machines that a pool may get: switched off ones, then idle."""
        for machine in self.machines.values():
            if machine.pool == spare and self.is_free(machine):
                yield machine
        for status in sorted(pools, key=lambda status: floors[status.pool]):
            if status.pool != pool:
                floor = floors[status.pool]
                yield from self.idle_machines(status, floor, IDLE_BEFORE_LOAN_S)

    def idle_machines(
        self, status: PoolStatus, floor: int, idle_s: float
    ) -> Iterator[Machine]:
        """Yields the machines that a pool can do without."""
        by_worker = {machine.worker_id: machine for machine in self.machines.values()}
        wanted = self.wanted_milli(status) * SURPLUS_FACTOR
        left = self.supply_milli(status)
        staying = [
            (worker, machine)
            for worker in status.workers
            if worker.usable
            and worker.worker_id not in self.ended
            and (machine := by_worker.get(worker.worker_id)) is not None
            and self.is_free(machine)
        ]
        count = len(staying)
        for worker, machine in staying:
            if worker.runs or worker.idle_s < idle_s:
                continue
            left -= worker.cpu_milli
            count -= 1
            if left < wanted or count < floor:
                return
            yield machine

    def release_machines(self, status: PoolStatus, floor: int, spare: str) -> None:
        """Switches idle machines of a pool off."""
        idle = tuple(self.idle_machines(status, floor, IDLE_BEFORE_RELEASE_S))
        for machine in idle:
            self.intents[machine.name] = Intent(Purpose.MOVE, pool=spare)
            self.log.info(
                "release_chosen",
                machine=machine.name,
                worker=machine.worker_id,
                pool=machine.pool,
            )

    # Orders

    async def carry_out(self) -> None:
        """Gives the orders for machines that are empty."""
        ready = [
            (machine, intent)
            for name, intent in self.intents.items()
            if self.is_empty(machine := self.machines[name])
        ]
        if not ready:
            return
        if self.parts.lease.remaining_s() < MIN_LEASE_S:
            self.log.info("orders_held_back", machines=len(ready))
            return
        await asyncio.gather(
            *(self.order(machine, intent) for machine, intent in ready)
        )
        self.listed_s = float("-inf")

    def is_empty(self, machine: Machine) -> bool:
        """Returns whether an order to a machine ends nothing that runs."""
        if self.is_off(machine):
            return True
        worker = self.worker_of(machine)
        return worker is not None and worker.vacating and not worker.runs

    async def order(self, machine: Machine, intent: Intent) -> None:
        """Gives one order and takes in the answer."""
        control, times = self.parts.control, self.parts.times
        holder, fence = self.parts.entry, self.tenure.fence
        sent_s = self.clock.now()
        outcome = "done"
        try:
            if intent.purpose is Purpose.UPKEEP:
                duration_s = times.upkeep_s
                await control.maintain(machine.name, intent.wave, holder, fence)
                self.maintained.setdefault(intent.wave, set()).add(machine.name)
            else:
                duration_s = times.move_s
                await control.move(machine.name, intent.pool, holder, fence)
            self.ordered[machine.name] = (intent, sent_s + duration_s)
            self.ended[machine.worker_id] = sent_s + REGISTRATION_LAPSE_S
        except MachineRefusedError as error:
            outcome = error.refusal.value
            self.refused[machine.name] = sent_s + BUSY_PAUSE_S
            if error.refusal is MachineRefusal.NOT_IN_WAVE:
                self.maintained.setdefault(intent.wave, set()).add(machine.name)
        except PlatformError as error:
            outcome = str(error)
            self.ordered[machine.name] = (intent, sent_s + BUSY_PAUSE_S)
        self.intents.pop(machine.name, None)
        self.parts.metrics.count(f"machines.{intent.purpose.value}")
        self.log.info(
            "machine_ordered",
            machine=machine.name,
            worker=machine.worker_id,
            purpose=intent.purpose,
            wave=intent.wave,
            pool=machine.pool,
            to=intent.pool,
            fence=fence,
            list_age_s=round(sent_s - self.listed_s, 3),
            outcome=outcome,
        )
