"""In-memory machines, each with one worker at a time, for tests and stand-ins."""

import asyncio
import itertools

from burdockthread_model.clock import Clock
from burdockthread_model.errors import PlatformError
from burdockthread_store.store import Guard

from burdockthread_scheduling.machines import (
    Machine,
    MachineControl,
    MachineRefusal,
    MachineRefusedError,
    MachineState,
    Wave,
    WaveBoard,
)
from burdockthread_scheduling.memory_workers import DEFAULT_CAPACITY, MemoryWorkers
from burdockthread_scheduling.workers import Capacity


class OrderRecord:
    """An order to a machine that was carried out."""

    def __init__(
        self, machine: str, purpose: str, holder: str, fence: int, given_s: float
    ) -> None:
        self.purpose = purpose
        self.machine = machine
        self.holder = holder
        self.fence = fence
        self.given_s = given_s


class MemoryMachines(MachineControl):
    """Machines whose workers live in a `MemoryWorkers`.

    Attributes:
        by_name: Machines by name.
        spare: Pool whose machines are switched off.
        orders: Orders carried out.
        maintained: Machines maintained, by wave.
        down: Whether every call fails.
        delay_s: Seconds until an order is carried out.
        interrupted: Number of runs that orders have ended.
        most_out: Most machines that were out for upkeep at once.
        lives: Numbers for the ids of started workers.
    """

    def __init__(
        self,
        park: MemoryWorkers,
        clock: Clock,
        spare: str,
        move_s: float = 1.5,
        upkeep_s: float = 2.0,
    ) -> None:
        self.park = park
        self.clock = clock
        self.spare = spare
        self.move_s = move_s
        self.upkeep_s = upkeep_s
        self.by_name: dict[str, Machine] = {}
        self.orders: list[OrderRecord] = []
        self.maintained: dict[int, list[str]] = {}
        self.down = False
        self.delay_s = 0.0
        self.interrupted = 0
        self.most_out = 0
        self.lives = itertools.count(1)
        self.tasks: set[asyncio.Task[None]] = set()

    def add(
        self,
        name: str,
        pool: str,
        capacity: Capacity = DEFAULT_CAPACITY,
        rack: str = "r1",
    ) -> None:
        """Adds a machine and starts its worker, unless its pool is switched off."""
        self.by_name[name] = Machine(
            name, pool, MachineState.UP, "zone-a", ("a", rack), capacity, ""
        )
        self.bring_up(name)

    def bring_up(self, name: str) -> None:
        """Starts a new worker on a machine, unless its pool is switched off."""
        machine = self.by_name[name]
        worker_id = ""
        if machine.pool != self.spare:
            worker_id = f"{name}-{next(self.lives)}"
            self.park.add(worker_id, machine.pool, machine.capacity, machine.labels)
        self.by_name[name] = machine._replace(
            state=MachineState.UP, worker_id=worker_id
        )

    async def machines(self) -> tuple[Machine, ...]:
        """Returns all machines."""
        self.check_reachable()
        return tuple(self.by_name.values())

    async def move(self, machine: str, pool: str, holder: str, fence: int) -> None:
        """Moves a machine to another pool."""
        await self.clock.sleep(self.delay_s)
        found = self.take_order(machine, "move", holder, fence)
        if found.pool == pool:
            return
        self.take_down(found, MachineState.MOVING)
        self.by_name[machine] = self.by_name[machine]._replace(pool=pool)
        self.later(machine, self.move_s)

    async def maintain(self, machine: str, wave: int, holder: str, fence: int) -> None:
        """Takes a machine out for the upkeep of a wave."""
        await self.clock.sleep(self.delay_s)
        found = self.take_order(machine, "upkeep", holder, fence)
        done = self.maintained.setdefault(wave, [])
        if machine in done:
            return
        self.take_down(found, MachineState.UPKEEP)
        done.append(machine)
        out = sum(m.state is MachineState.UPKEEP for m in self.by_name.values())
        self.most_out = max(self.most_out, out)
        self.later(machine, self.upkeep_s)

    def check_reachable(self) -> None:
        """Raises `PlatformError` while `down` is set."""
        if self.down:
            raise PlatformError("machine control is unavailable")

    def take_order(self, name: str, purpose: str, holder: str, fence: int) -> Machine:
        """Records an order; raises `MachineRefusedError` unless the machine is up."""
        self.check_reachable()
        machine = self.by_name.get(name)
        if machine is None:
            raise MachineRefusedError(name, MachineRefusal.INVALID)
        if machine.state is not MachineState.UP:
            raise MachineRefusedError(name, MachineRefusal.BUSY)
        self.orders.append(OrderRecord(name, purpose, holder, fence, self.clock.now()))
        return machine

    def take_down(self, machine: Machine, state: MachineState) -> None:
        """Ends the worker of a machine and all its runs."""
        if machine.worker_id:
            worker = self.park.worker_by_id(machine.worker_id)
            if worker is not None:
                self.interrupted += len(worker.runs)
                for run in worker.runs.values():
                    self.park.audit.record_disruption(worker.listing, run)
                self.park.remove(worker.listing.key)
        self.by_name[machine.name] = machine._replace(state=state, worker_id="")

    def later(self, name: str, delay_s: float) -> None:
        """Schedules the start of a machine's worker after a delay."""

        async def wait() -> None:
            await self.clock.sleep(delay_s)
            self.bring_up(name)

        task = asyncio.create_task(wait())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)


class MemoryWaves(WaveBoard):
    """Waves set by a test.

    Attributes:
        asked: Requested waves.
        told: Last report for each wave: whether the wave is completed.
    """

    def __init__(self) -> None:
        self.asked: list[Wave] = []
        self.told: dict[int, bool] = {}

    def waves(self) -> tuple[Wave, ...]:
        """Returns the requested waves."""
        return tuple(self.asked)

    async def report_status(self, wave: int, guard: Guard, *, completed: bool) -> None:
        """Stores the report for a wave in `told`."""
        self.told[wave] = completed
