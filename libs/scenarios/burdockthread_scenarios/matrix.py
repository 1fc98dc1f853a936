"""The fault matrix: every fault at every named step, with the same invariants."""

import asyncio
import itertools
import random
from collections.abc import Awaitable, Callable
from enum import StrEnum
from typing import NamedTuple

import uvloop
from burdockthread_model.errors import BurdockthreadError, ConflictError
from burdockthread_model.rendering import decode_accepted
from burdockthread_model.steps import Step
from burdockthread_store.applied import HEAD_PREFIX

from burdockthread_scenarios.memory_driver import MemoryDriver
from burdockthread_scenarios.world import (
    TEMPLATE,
    RunningEntry,
    World,
    running_world,
)

ENTRIES = 3
VMS = 5
WORK_ROUNDS = 8
ROUND_S = 2.0
FAULT_S = 14.0
STRIKE_TIMEOUT_S = 80.0
RECOVERY_S = 45.0
OPERATOR_TRIES = 20
OPERATOR_WAIT_S = 5
SLOTS = 8
LOWEST_AVAILABLE = 2
CELL_TIMEOUT_S = 60.0
SHORT_PERIOD_DAYS = 0.0005
SPARE_VMS = 2
PAIRS = 120
PAIRS_SEED = 1


class MatrixFault(StrEnum):
    """A fault of the matrix, struck where a step has just been reached."""

    STORE_DOWN = "store.down"
    STORE_SLOW = "store.slow"
    STORE_ANSWER_LOST = "store.answer_lost"
    STORE_WATCH_LAGGING = "store.watch_lagging"
    STORE_WATCH_REORDERED = "store.watch_reordered"
    STORE_LEASE_LAPSED = "store.lease_lapsed"
    ENDPOINT_REFUSES = "endpoint.refuses"
    ENDPOINT_DROPS = "endpoint.drops"
    ENDPOINT_CUTS = "endpoint.cuts"
    ENDPOINT_LATE = "endpoint.late"
    ENDPOINT_CROSSED = "endpoint.crossed"
    ENDPOINT_ERROR = "endpoint.error"
    WORKER_FAILS = "worker.fails"
    WORKER_REPORTS_LATE = "worker.reports_late"
    WORKER_LIES = "worker.lies"
    PEER_LOST = "peer.lost"
    PEER_PAUSED = "peer.paused"
    PEER_PARTITIONED = "peer.partitioned"
    ENTRY_KILLED = "entry.killed"
    ENTRY_SIGTERM = "entry.sigterm"


STORE_SWITCHES: dict[MatrixFault, tuple[str, float]] = {
    MatrixFault.STORE_DOWN: ("down", 0),
    MatrixFault.STORE_SLOW: ("slow", 1.5),
    MatrixFault.STORE_ANSWER_LOST: ("lose_answers", 1),
    MatrixFault.STORE_WATCH_LAGGING: ("lagging", 4),
    MatrixFault.STORE_WATCH_REORDERED: ("reordered", 0),
}
ENDPOINT_SWITCHES: dict[MatrixFault, tuple[str, float]] = {
    MatrixFault.ENDPOINT_REFUSES: ("refuse", 0),
    MatrixFault.ENDPOINT_DROPS: ("drop", 0),
    MatrixFault.ENDPOINT_CUTS: ("cut", 0),
    MatrixFault.ENDPOINT_LATE: ("late", 3),
    MatrixFault.ENDPOINT_CROSSED: ("crossed", 0),
    MatrixFault.ENDPOINT_ERROR: ("error", 0),
}


WORKER_SWITCHES: dict[MatrixFault, tuple[str, float]] = {
    MatrixFault.WORKER_FAILS: ("fails", 1),
    MatrixFault.WORKER_REPORTS_LATE: ("reports_late", 8.0),
    MatrixFault.WORKER_LIES: ("lies", 10.0),
}


STORE_FAULTS = (*STORE_SWITCHES, MatrixFault.STORE_LEASE_LAPSED)
ENTRY_FAULTS = (
    MatrixFault.PEER_LOST,
    MatrixFault.PEER_PAUSED,
    MatrixFault.PEER_PARTITIONED,
    MatrixFault.ENTRY_KILLED,
    MatrixFault.ENTRY_SIGTERM,
)


class Cell(NamedTuple):
    """One fault, or two at a time, at one step."""

    faults: tuple[MatrixFault, ...]
    step: Step

    @property
    def name(self) -> str:
        """Name of the cell in reports."""
        return f"{'+'.join(self.faults)}@{self.step.value}"


class CellResult(NamedTuple):
    """What a cell showed.

    Attributes:
        name: Name of the cell.
        reached: Whether the step was reached and the fault struck.
        broken: Invariants that did not hold, with the values found.
    """

    name: str
    reached: bool
    broken: tuple[str, ...]


class Injector:
    """Strikes the faults of a cell when its step is first reached.

    Attributes:
        struck: Whether the fault has struck.
        struck_s: Clock time at which it struck.
        victim: Name of the entry that reached the step.
    """

    def __init__(self, cell: Cell, world: World, driver: MemoryDriver) -> None:
        self.cell = cell
        self.world = world
        self.driver = driver
        self.struck = False
        self.struck_s = 0.0
        self.victim = ""
        self.stopping: asyncio.Task[None] | None = None

    def lasted(self, world: World) -> bool:
        """Returns whether the fault has struck and lasted its time."""
        return self.struck and world.clock.now() >= self.struck_s + FAULT_S

    def struck_now(self, world: World) -> bool:
        """Returns whether the fault struck within the last round."""
        return self.struck and world.clock.now() <= self.struck_s + ROUND_S

    def disarm(self) -> None:
        """Stops watching for the step."""
        for running in self.world.entries.values():
            running.steps.actions.clear()

    def arm(self, name: str) -> None:
        """Watches one entry for the step."""
        running = self.world.entries[name]

        async def strike() -> None:
            if not self.struck:
                self.struck = True
                self.struck_s = self.world.clock.now()
                self.victim = name
                await self.strike(running)

        running.steps.actions[self.cell.step] = strike

    async def strike(self, running: RunningEntry) -> None:
        """Sets the faults at once; does not return if the entry is killed."""
        faults = self.cell.faults
        await asyncio.gather(*(self.strike_one(fault, running) for fault in faults))

    async def strike_one(self, fault: MatrixFault, running: RunningEntry) -> None:
        """Sets one fault."""
        if fault in STORE_SWITCHES:
            await self.driver.set_fault("store", *STORE_SWITCHES[fault])
        elif fault in ENDPOINT_SWITCHES:
            name, amount = ENDPOINT_SWITCHES[fault]
            await self.driver.set_fault("vm-000", name, amount)
        elif fault in WORKER_SWITCHES:
            name, amount = WORKER_SWITCHES[fault]
            await self.driver.set_fault("workers", name, amount)
        else:
            await self.strike_entry(fault, running)

    async def strike_entry(self, fault: MatrixFault, running: RunningEntry) -> None:
        """Sets a fault of an entry or of the links between entries."""
        others = [name for name in self.world.entries if name != self.victim]
        match fault:
            case MatrixFault.STORE_LEASE_LAPSED:
                running.gate.close()
                await running.gate.wait()
            case MatrixFault.PEER_LOST:
                self.world.network.cut.add((self.victim, others[0]))
            case MatrixFault.PEER_PAUSED:
                self.world.entries[others[0]].gate.close()
            case MatrixFault.PEER_PARTITIONED:
                self.world.network.partition({self.victim}, set(others))
            case MatrixFault.ENTRY_KILLED:
                self.stopping = asyncio.create_task(self.world.kill(self.victim))
                await asyncio.Event().wait()
            case MatrixFault.ENTRY_SIGTERM:
                self.stopping = asyncio.create_task(self.world.stop_alone(self.victim))

    async def end(self) -> None:
        """Takes the fault back; an entry that ended is started again."""
        await self.driver.heal()
        await self.driver.clear_faults("store")
        await self.driver.clear_faults("vm-000")
        await self.driver.clear_faults("workers")
        for running in self.world.entries.values():
            running.gate.open()
        if self.stopping is not None:
            while not self.stopping.done():
                await self.world.advance(1.0)
            await self.stopping
        if self.victim and self.victim not in self.world.entries:
            self.world.start(self.victim)


async def run_cell(cell: Cell) -> CellResult:
    """Runs the four paths with one fault and checks the invariants."""
    async with running_world(ENTRIES, VMS, {"spare": SPARE_VMS}) as world:
        driver = MemoryDriver(world)
        injector = Injector(cell, world, driver)
        for name in world.entries:
            injector.arm(name)
        operating = asyncio.create_task(change_template(world, driver))
        await work(world, injector)
        await injector.end()
        await world.advance(RECOVERY_S)
        await finish(world)
        await operating
        broken = await broken_invariants(cell, world, driver)
        return CellResult(cell.name, injector.struck, broken)


async def work(world: World, injector: Injector) -> None:
    """Sends requests and jobs until the fault has struck and lasted its time."""
    for number in range(int(STRIKE_TIMEOUT_S / ROUND_S)):
        if number < WORK_ROUNDS or injector.struck_now(world):
            send_round(world)
        await world.advance(ROUND_S)
        if injector.lasted(world):
            return
    injector.disarm()


def send_round(world: World) -> None:
    """Sends work through every entry that callers can reach."""
    for name, running in list(world.entries.items()):
        if running.gate.opened.is_set() and running.entry.callers_api.ready:
            world.send(1, True, "urgent", name)
            world.send(1, False, "standard", name)
            world.submit(1, name)


async def change_template(world: World, driver: MemoryDriver) -> None:
    """Accepts a version that moves a VM and makes maintenance due.

    Tries again as an operator would, through any entry that answers.
    """
    parameters = {
        "vms": 4,
        "floor": LOWEST_AVAILABLE,
        "spare": 1,
        "period_days": SHORT_PERIOD_DAYS,
    }
    steps: list[Callable[[], Awaitable[None]]] = [
        lambda: driver.propose("second", 1, parameters),
        lambda: driver.review("second"),
        lambda: driver.accept("second"),
    ]
    for step in steps:
        await try_as_operator(world, step)


async def try_as_operator(world: World, step: Callable[[], Awaitable[None]]) -> None:
    """Does one step of a change until it succeeds or was already done."""
    for _ in range(OPERATOR_TRIES):
        task = asyncio.ensure_future(step())
        for _ in range(OPERATOR_WAIT_S):
            await world.clock.sleep(1.0)
            if task.done():
                break
        if not task.done():
            task.cancel()
        elif is_settled(task):
            return


def is_settled(task: asyncio.Future[None]) -> bool:
    """Returns whether a step of a change needs no further try.

    A step that was cancelled was with an entry that was killed.
    """
    if task.cancelled():
        return False
    error = task.exception()
    if error is None or isinstance(error, ConflictError):
        return True
    if not isinstance(error, BurdockthreadError):
        raise error
    return False


async def finish(world: World) -> None:
    """Repeats what was not answered, then sends fresh requests."""
    for name in list(world.entries):
        world.repeat(name)
        await world.advance(6.0)
    before = world.counts()["answered"]
    for name in world.entries:
        world.send(2, True, "urgent", name)
    await world.advance(8.0)
    world.fresh_answered = world.counts()["answered"] - before


async def broken_invariants(
    cell: Cell, world: World, driver: MemoryDriver
) -> tuple[str, ...]:
    """Returns the invariants that do not hold, with the values found."""
    counts = world.counts()
    zero = [
        "crossed",
        "lost",
        "doubled",
        "not_run_that_ran",
        "jobs_lost",
        "jobs_refused_but_stored",
        "jobs_doubled",
        "wrong_pool",
        "cut",
        "late_work",
        "reverted",
        "repeated_reboots",
    ]
    if MatrixFault.ENTRY_KILLED not in cell.faults:
        zero.append("aborted")
    broken = [f"{name}={counts[name]}" for name in zero if counts[name]]
    expectations = {
        "ended": counts["ended"] == counts["sent"],
        "lowest_available": counts["lowest_available"] >= LOWEST_AVAILABLE,
        "highest_in_flight": counts["highest_in_flight"] <= SLOTS,
        "planners": counts["planners"] == 1,
        "fresh_answered": world.fresh_answered == 2 * len(world.entries),
    }
    broken += [
        f"{name}={counts.get(name, world.fresh_answered)}"
        for name, holds in expectations.items()
        if not holds
    ]
    versions = set(await driver.versions())
    head = world.store.values[HEAD_PREFIX + TEMPLATE]
    accepted = decode_accepted(head.value).version
    if versions != {accepted} or accepted != 2:
        broken.append(f"versions={sorted(versions)} accepted={accepted}")
    return tuple(broken)


CANNOT_OCCUR: dict[str, str] = {
    "peer.wrong_key at every step": (
        "streams in memory have no key; a peer with another key is refused at the"
        " handshake, before any step, which the tests of the streams show"
    ),
}


def all_cells() -> list[Cell]:
    """Returns every cell of one fault that can occur."""
    return [Cell((fault,), step) for fault in MatrixFault for step in Step]


def sampled_pairs() -> list[Cell]:
    """Returns cells of two faults, a sample that is the same in each run.

    Each pairs a fault of the store with one of an entry or of the links between
    entries, at a step of a caller's request or of a change of a template.
    """
    pairs = itertools.product(STORE_FAULTS, ENTRY_FAULTS)
    steps = [s for s in Step if s.value.startswith(("request.", "template."))]
    cells = [Cell(pair, step) for pair, step in itertools.product(pairs, steps)]
    return random.Random(PAIRS_SEED).sample(cells, PAIRS)


def run_cells(cells: list[Cell]) -> list[CellResult]:
    """Runs cells one after the other; for a worker process."""
    return [run_in_new_loop(cell) for cell in cells]


def run_in_new_loop(cell: Cell) -> CellResult:
    """Runs one cell in an event loop of its own."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(run_cell_in_time(cell))


async def run_cell_in_time(cell: Cell) -> CellResult:
    """Runs one cell; a cell that hangs is broken."""
    try:
        async with asyncio.timeout(CELL_TIMEOUT_S):
            return await run_cell(cell)
    except TimeoutError:
        return CellResult(cell.name, True, ("hangs",))
