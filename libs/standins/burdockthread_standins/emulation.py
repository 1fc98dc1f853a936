"""Runs a deployment under load and faults, and tells what came of it."""

import asyncio
import random
import signal
from collections.abc import Awaitable, Callable, Coroutine
from contextlib import suppress
from contextvars import ContextVar
from pathlib import Path
from typing import NamedTuple

from burdockthread_scheduling.machines import Wave
from burdockthread_scheduling.memory_runs import RunRecord, TaskNature
from burdockthread_scheduling.run_orders import RUNS_PER_FENCE
from burdockthread_scheduling.specs import TaskId
from burdockthread_scheduling.workers import WorkerKey

from burdockthread_standins.broken_run import FaultSpan, keep_broken_run
from burdockthread_standins.emulated_site import EmulatedSite, EntryProcess, SitePlan
from burdockthread_standins.forwarder import Direction
from burdockthread_standins.job_audit import audit
from burdockthread_standins.job_load import CutRequest, JobLoad, LoadPlan
from burdockthread_standins.partitions import strike
from burdockthread_standins.stop_audit import CONTACT_S, STOP, cut_by_stops, is_excused

SETTLE_S = 2.0
PAUSE_S = (0.5, 3.0)
STOP_PAUSE_S = (0.5, 4.0)
PARTITION_PAUSE_S = (0.5, 4.0)
# Some tasks outlast a lease of their runs, and the time until a pool is taken over.
DURATIONS_S = (1.0, 3.0, 6.0)
# The fault that the series at work injects.
struck: ContextVar[FaultSpan] = ContextVar("struck")


class EmulationResult(NamedTuple):
    """What came of an emulation.

    Attributes:
        lines: Outcomes and latencies, for people.
        faults: Faults that were injected, in order.
        broken: Broken promises.
        kept: Folder with the logs of a run that broke a promise, or None.
    """

    lines: list[str]
    faults: list[str]
    broken: list[str]
    kept: Path | None = None


class FaultPlan(NamedTuple):
    """How many faults go on at a time.

    Attributes:
        series: Series of faults that go on side by side, so that faults overlap.
        stops: Whether entries are also stopped as planned, one after the other.
        partitions: Whether holders of pools are also cut off, one after the other.
        until_s: Seconds after which no fault begins, so that what was accepted can
            end; infinity for faults until all jobs have.
    """

    series: int = 2
    stops: bool = False
    partitions: bool = False
    until_s: float = float("inf")


class Emulation:
    """A deployment, its callers and, on request, faults drawn from a seed.

    Attributes:
        faults: Kinds of the faults injected, in order.
        spans: The same with their times and what they struck.
        keep: Folder for the logs of runs that break a promise, or None.
        plan: How many faults go on at a time.
        began_s: Clock time from which faults are injected.
    """

    def __init__(
        self,
        site: SitePlan,
        load: LoadPlan,
        seed: int,
        keep: Path | None = None,
        plan: FaultPlan | None = None,
    ) -> None:
        self.plan = plan or FaultPlan()
        self.seed = seed
        self.keep = keep
        self.spans: list[FaultSpan] = []
        self.site = EmulatedSite(site)
        self.load = JobLoad(load, self.urls, self.site.clock, seed)
        self.random = random.Random(seed)
        self.faults: list[str] = []
        self.began_s = 0.0

    def urls(self) -> list[str]:
        """Returns the addresses for callers."""
        return [entry.url for entry in self.site.entries]

    async def run(self, *, faults: bool) -> EmulationResult:
        """Runs everything once.

        Args:
            faults: Whether faults are injected while callers come.
        """
        async with self.site.running():
            await asyncio.sleep(SETTLE_S)
            self.began_s = self.site.clock.now()
            injecting = asyncio.gather(*self.series(faults))
            try:
                await self.load.run()
            finally:
                injecting.cancel()
                with suppress(asyncio.CancelledError):
                    await injecting
            stopped = self.cut_by_stops()
            lines = [
                *self.load.table(),
                f"{'calls of the store':24} {self.calls():6}",
                f"{'requests cut by stops':24} {len(stopped):6}",
            ]
            broken = audit(self.load.records, self.site.park, self.is_out_of_touch)
            broken += [
                f"{cut.method} {cut.job} was read and not answered: sent "
                f"{cut.sent_s:.3f}, cut {cut.cut_s:.3f} by {cut.url}"
                for cut in stopped
                if not is_excused(cut, self.spans)
            ]
            kept = self.keep_logs(broken)
            return EmulationResult(lines, self.faults, broken, kept)

    def cut_by_stops(self) -> list[CutRequest]:
        """Returns the requests that a planned stop has cut."""
        names = {entry.url: entry.name for entry in self.site.entries}
        return cut_by_stops(self.load.cut, self.spans, names)

    def series(self, faults: bool) -> list[Coroutine[None, None, None]]:
        """Returns what injects faults side by side."""
        found = [self.inject() for _ in range(self.plan.series)] if faults else []
        if self.plan.stops:
            found.append(self.stop_in_turn())
        if self.plan.partitions:
            found.append(self.partition())
        return found or [idle()]

    async def wait(self, chance: random.Random, bounds_s: tuple[float, float]) -> bool:
        """Waits before a fault; returns whether it may still begin."""
        await asyncio.sleep(chance.uniform(*bounds_s))
        return self.site.clock.now() - self.began_s < self.plan.until_s

    async def stop_in_turn(self) -> None:
        """Stops one entry after another as planned until cancelled."""
        while True:
            for entry in self.site.entries:
                if not await self.wait(self.random, STOP_PAUSE_S):
                    return
                span = FaultSpan(STOP, self.site.clock.wall())
                span.target = entry.name
                self.spans.append(span)
                async with entry.down(signal.SIGTERM):
                    span.ended_s = self.site.clock.wall()

    async def partition(self) -> None:
        """Cuts the holder of one pool after another off until cancelled."""
        chance = random.Random(f"partitions {self.seed}")
        while await self.wait(chance, PARTITION_PAUSE_S):
            span = FaultSpan("partition", self.site.clock.wall())
            self.spans.append(span)
            self.faults.append(span.kind)
            await strike(self.site, chance, span)
            span.ended_s = self.site.clock.wall()

    def is_out_of_touch(self, run: RunRecord) -> bool:
        """Returns whether a run was started by an entry that was cut off."""
        started_s = self.site.park.audit.wall_time(run.started_s)
        fence = run.run // RUNS_PER_FENCE
        return any(
            fence in span.fences
            and span.began_s <= started_s <= span.ended_s + CONTACT_S
            for span in self.spans
        )

    def keep_logs(self, broken: list[str]) -> Path | None:
        """Keeps the logs of a run that broke a promise; returns where."""
        if self.keep is None or not broken:
            return None
        return keep_broken_run(self.keep, self.seed, self.site, self.spans, broken)

    def calls(self) -> int:
        """Returns the calls that the store has served."""
        return self.site.store.calls

    async def inject(self) -> None:
        """Injects one fault after another until cancelled."""
        kinds: dict[str, Callable[[], Awaitable[None]]] = {
            "kill": self.kill_entry,
            STOP: self.stop_entry,
            "pause": self.pause_entry,
            "store out": self.store_out,
            "store loses answers": self.store_loses_answers,
            "store forgets": self.store_forgets,
            "worker lost": self.worker_lost,
            "worker silent": self.worker_silent,
            "worker hangs": self.worker_hangs,
            "worker fails": self.worker_fails,
            "answers lost": self.answers_lost,
            "orders late": self.orders_late,
            "wave": self.wave,
            "link cut": self.link_cut,
            "link silent": self.link_silent,
            "link silent one way": self.link_silent_one_way,
            "link slow": self.link_slow,
        }
        while await self.wait(self.random, PAUSE_S):
            kind = self.random.choice(tuple(kinds))
            self.faults.append(kind)
            span = FaultSpan(kind, self.site.clock.wall())
            self.spans.append(span)
            struck.set(span)
            try:
                await kinds[kind]()
            finally:
                span.ended_s = self.site.clock.wall()

    def any_entry(self) -> EntryProcess:
        """Returns an entry by chance."""
        found = self.random.choice(self.site.entries)
        struck.get().target = found.name
        return found

    def any_worker(self) -> WorkerKey:
        """Returns a worker by chance."""
        found = self.random.choice(tuple(self.site.park.by_key))
        struck.get().target = found.worker_id
        return found

    async def kill_entry(self) -> None:
        """Kills an entry and starts it again."""
        async with self.any_entry().down(signal.SIGKILL):
            await asyncio.sleep(self.random.uniform(0.2, 2.0))

    async def stop_entry(self) -> None:
        """Stops an entry as planned and starts it again."""
        async with self.any_entry().down(signal.SIGTERM):
            pass

    async def pause_entry(self) -> None:
        """Freezes an entry for some seconds."""
        entry = self.any_entry()
        entry.send(signal.SIGSTOP)
        await asyncio.sleep(self.random.uniform(0.5, 5.0))
        entry.send(signal.SIGCONT)

    async def store_out(self) -> None:
        """Takes the store away for some seconds."""
        self.site.store.faulty.set_faults({"down": True})
        await asyncio.sleep(self.random.uniform(0.5, 5.0))
        self.site.store.faulty.set_faults({"down": False})

    async def store_loses_answers(self) -> None:
        """Loses the answers to the next writes."""
        self.site.store.faulty.set_faults({"lose_answers": self.random.randint(1, 4)})

    async def store_forgets(self) -> None:
        """Drops the store's history."""
        self.site.store.faulty.set_faults({"compact": True})

    async def worker_lost(self) -> None:
        """Ends a worker; it comes back as another life, unless its machine went."""
        key = self.any_worker()
        listing = self.site.park.by_key[key].listing
        self.site.park.remove(key)
        await asyncio.sleep(self.random.uniform(0.0, 3.0))
        machines = self.site.machines.by_name.values()
        if any(machine.worker_id == key.worker_id for machine in machines):
            self.site.park.add(
                key.worker_id,
                listing.pool,
                listing.capacity,
                listing.labels,
                key.born_ms + 1,
            )

    async def worker_silent(self) -> None:
        """Cuts a worker off while it works on."""
        worker = self.site.park.by_key[self.any_worker()]
        worker.silent = True
        await asyncio.sleep(self.random.uniform(0.5, 6.0))
        worker.silent = False

    async def worker_hangs(self) -> None:
        """Lets the runs of a worker stand still for some seconds."""
        worker = self.site.park.by_key[self.any_worker()]
        worker.speed = 0.0
        await asyncio.sleep(self.random.uniform(0.5, 4.0))
        worker.speed = 1.0

    async def worker_fails(self) -> None:
        """Lets the runs of a worker fail for some seconds."""
        worker = self.site.park.by_key[self.any_worker()]
        worker.failing = True
        await asyncio.sleep(self.random.uniform(0.2, 1.0))
        worker.failing = False

    async def answers_lost(self) -> None:
        """Loses the next answers of a worker."""
        self.site.park.by_key[self.any_worker()].lost_answers = 2

    async def orders_late(self) -> None:
        """Lets a worker carry its next orders out late, without an answer."""
        delays_s = [self.random.uniform(1.0, 6.0) for _ in range(2)]
        self.site.park.by_key[self.any_worker()].late_orders_s = delays_s

    async def wave(self) -> None:
        """Asks for the upkeep of some machines."""
        names = tuple(self.site.machines.by_name)
        chosen = tuple(self.random.sample(names, k=len(names) // 3))
        number = len(self.faults)
        await self.site.ask_for_wave(Wave(number, chosen, 20.0, 2))

    async def link_cut(self) -> None:
        """Resets an entry's connections to the store and refuses new ones."""
        link = self.any_entry().links.store
        link.cut()
        await asyncio.sleep(self.random.uniform(0.5, 5.0))
        link.heal()

    async def link_silent(self) -> None:
        """Lets an entry's link to the store fall silent."""
        await self.hold_link(*Direction)

    async def link_silent_one_way(self) -> None:
        """Holds what goes one way on an entry's link to the store."""
        await self.hold_link(self.random.choice(tuple(Direction)))

    async def hold_link(self, *directions: Direction) -> None:
        """Holds some directions of an entry's link to the store for a while."""
        link = self.any_entry().links.store
        for direction in directions:
            link.hold(direction)
        await asyncio.sleep(self.random.uniform(0.5, 5.0))
        link.heal()

    async def link_slow(self) -> None:
        """Delays what goes over an entry's link to the store."""
        link = self.any_entry().links.store
        link.delay_s = self.random.uniform(0.02, 0.3)
        await asyncio.sleep(self.random.uniform(1.0, 5.0))
        link.heal()


def mixed_nature(task: TaskId) -> TaskNature:
    """Returns a task that takes one of `DURATIONS_S`, by its number."""
    return TaskNature(duration_s=DURATIONS_S[task.number % len(DURATIONS_S)])


async def idle() -> None:
    """Waits until cancelled."""
    await asyncio.Event().wait()
