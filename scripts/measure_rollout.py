"""Measures the time until an accepted version is in force on every entry."""

import asyncio
import json
import math
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Iterable, Iterator
from contextlib import asynccontextmanager, contextmanager, suppress
from typing import Any, NamedTuple

import aiohttp
from burdockthread.measures import Measure, at_most
from burdockthread_model.intended import TemplateDocument
from burdockthread_scenarios.cluster import EntryProcess, token
from burdockthread_scenarios.process_driver import ProcessDriver, process_driver
from burdockthread_scenarios.world import TEMPLATE, template_document

ENTRIES = 3
VMS = 12
TARGET_S = 15.0
WAIT_TIMEOUT_S = 2 * TARGET_S
STATUS_TIMEOUT_S = 1.0
WINDOW_S = 30.0
POLL_S = 0.01
IDLE_POLL_S = 0.2
ACCEPTING = "entry-1"
CHANGES_WITHOUT_FAULTS = 100
SLOW_CALL_S = 1.0
SLOW_CHANGES = 6
OUTAGE_S = 5.0
FREEZE_S = 30.0
CHANGE_INTERVAL_S = 1.5
AFTER_S = 2.0


class ReviewedChange(NamedTuple):
    """A change that can be accepted."""

    change_id: str
    content_hash: str
    template: str
    version: int


class VersionWatch:
    """Asks each entry for its versions in force.

    Attributes:
        versions: Version last reported, by entry and template.
        reverted: How often an entry reported an older version than before.
        waiting: How many wait for a version, so that entries are asked often.
        hurry: Set while any waits.
    """

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self.session = session
        self.versions: dict[tuple[str, str], int] = {}
        self.reverted = 0
        self.waiting = 0
        self.hurry = asyncio.Event()
        self.changed = asyncio.Condition()

    async def follow(self, entry: EntryProcess) -> None:
        """Asks one entry until cancelled."""
        while True:
            with suppress(aiohttp.ClientError, TimeoutError):
                await self.take(entry.name, await self.read(entry))
            await self.pause()

    async def pause(self) -> None:
        """Waits before an entry is asked again, longer while nobody waits."""
        if self.waiting:
            await asyncio.sleep(POLL_S)
            return
        with suppress(TimeoutError):
            async with asyncio.timeout(IDLE_POLL_S):
                await self.hurry.wait()

    async def read(self, entry: EntryProcess) -> dict[str, int]:
        """Returns the versions in force on an entry."""
        url = f"{entry.operators_url}/v1/status"
        async with self.session.get(url) as answer:
            status: dict[str, Any] = await answer.json()
        versions: dict[str, int] = status["versions"]
        return versions

    async def take(self, entry: str, versions: dict[str, int]) -> None:
        """Notes what an entry reports."""
        known = [template for name, template in self.versions if name == entry]
        async with self.changed:
            for template in {*known, *versions}:
                version = versions.get(template, 0)
                self.reverted += version < self.versions.get((entry, template), 0)
                self.versions[entry, template] = version
            self.changed.notify_all()

    async def wait(self, entries: Iterable[str], change: ReviewedChange) -> None:
        """Waits until entries report a version, for `WAIT_TIMEOUT_S` at most."""
        keys = [(entry, change.template) for entry in entries]

        def in_force() -> bool:
            return all(self.versions.get(key, 0) >= change.version for key in keys)

        with suppress(TimeoutError), self.hurrying():
            async with asyncio.timeout(WAIT_TIMEOUT_S), self.changed:
                await self.changed.wait_for(in_force)

    @contextmanager
    def hurrying(self) -> Iterator[None]:
        """Lets the entries be asked often within the block."""
        self.waiting += 1
        self.hurry.set()
        try:
            yield
        finally:
            self.waiting -= 1
            if not self.waiting:
                self.hurry.clear()


class Trial:
    """Changes on one small system.

    Attributes:
        driver: The processes.
        watch: What the entries report.
        version: Accepted version of the world's template.
        seconds: Times until a version was in force, by case.
    """

    def __init__(self, driver: ProcessDriver, watch: VersionWatch) -> None:
        self.driver = driver
        self.watch = watch
        self.version = 1
        self.seconds: dict[str, list[float]] = {}

    async def prepare(
        self, document: TemplateDocument, base_version: int
    ) -> ReviewedChange:
        """Proposes and reviews a template."""
        data = json.dumps(document).encode()
        async with self.driver.operator("proposer") as client:
            proposed: Any = await client.propose(data, base_version)
        named = (proposed["change_id"], proposed["content_hash"])
        async with self.driver.operator("reviewer") as client:
            await client.review(*named, approve=True)
        return ReviewedChange(*named, document["name"], base_version + 1)

    async def prepare_next(self) -> ReviewedChange:
        """Proposes and reviews the next version of the world's template."""
        document = template_document({"period_days": 30 + self.version % 30})
        change = await self.prepare(document, self.version)
        self.version = change.version
        return change

    async def accept(self, change: ReviewedChange) -> None:
        """Accepts a change at the accepting entry."""
        async with self.driver.operator("accepter") as client:
            await client.accept(change.change_id, change.content_hash)

    async def time(
        self, case: str, change: ReviewedChange, entries: Iterable[str]
    ) -> None:
        """Accepts a change and notes when it is in force."""
        started_s = time.monotonic()
        await self.accept(change)
        await self.watch.wait(entries, change)
        self.note(case, started_s)

    def note(self, case: str, started_s: float) -> None:
        """Notes the time since a start."""
        self.seconds.setdefault(case, []).append(time.monotonic() - started_s)

    def entries(self) -> list[str]:
        """Returns the names of all entries."""
        return list(self.driver.cluster.entries)

    def cut_store(self, is_cut: bool) -> None:
        """Cuts or mends the links to the store of all but the accepting entry."""
        for (source, target), link in self.driver.links.items():
            if target != "store" or source == ACCEPTING:
                continue
            if is_cut:
                link.cut()
            else:
                link.heal()


Case = Callable[[Trial], Awaitable[None]]


async def without_faults(trial: Trial) -> None:
    """Accepts changes one after the other."""
    for _ in range(CHANGES_WITHOUT_FAULTS):
        await trial.time("none", await trial.prepare_next(), trial.entries())


def other_template(number: int) -> TemplateDocument:
    """Returns a template of another organisation with one VM."""
    document = template_document({"vms": 1, "floor": 0, "spare": 0})
    document["name"] = f"{TEMPLATE}-{number}"
    document["organisations"] = {
        f"parish-{number}": values for values in document["organisations"].values()
    }
    return document


async def store_slow(trial: Trial) -> None:
    """Accepts changes while each call of the store is slow.

    Each is of another template, so that all are reviewed before.
    """
    changes = [await trial.prepare(other_template(n), 0) for n in range(SLOW_CHANGES)]
    await trial.driver.set_fault("store", "slow", SLOW_CALL_S)
    await asyncio.sleep(2 * SLOW_CALL_S)
    for change in changes:
        await trial.time("store_slow", change, trial.entries())
    await trial.driver.clear_faults("store")


async def store_cut_from_others(trial: Trial) -> None:
    """Accepts changes of which the store can tell the accepting entry alone."""
    end_s = time.monotonic() + WINDOW_S - OUTAGE_S - AFTER_S
    while time.monotonic() < end_s:
        change = await trial.prepare_next()
        trial.cut_store(is_cut=True)
        cut_s = time.monotonic()
        await trial.time("store_cut_from_others", change, trial.entries())
        await asyncio.sleep(max(0.0, cut_s + OUTAGE_S - time.monotonic()))
        trial.cut_store(is_cut=False)
        await asyncio.sleep(AFTER_S)


async def store_down(trial: Trial) -> None:
    """Accepts changes before an outage that begins before any watch tells of them."""
    end_s = time.monotonic() + WINDOW_S - OUTAGE_S - AFTER_S
    while time.monotonic() < end_s:
        change = await trial.prepare_next()
        await trial.driver.set_fault("store", "silence_watches", 0)
        started_s = time.monotonic()
        await trial.accept(change)
        outage = asyncio.create_task(store_outage(trial))
        await trial.watch.wait(trial.entries(), change)
        trial.note("store_down", started_s)
        await outage
        await asyncio.sleep(AFTER_S)


async def store_outage(trial: Trial) -> None:
    """Takes the store down for `OUTAGE_S`."""
    await trial.driver.set_fault("store", "down", 1)
    await asyncio.sleep(OUTAGE_S)
    await trial.driver.clear_faults("store")


def frozen(name: str) -> Case:
    """Returns the case in which an entry is stopped while changes are accepted."""

    async def run(trial: Trial) -> None:
        others = [entry for entry in trial.entries() if entry != name]
        await trial.driver.freeze(name)
        end_s = time.monotonic() + FREEZE_S
        while time.monotonic() < end_s:
            change = await trial.prepare_next()
            await trial.time("frozen.others", change, others)
            left_s = max(0.0, end_s - time.monotonic())
            await asyncio.sleep(min(CHANGE_INTERVAL_S, left_s))
        await trial.driver.resume(name)
        resumed_s = time.monotonic()
        await trial.watch.wait([name], change)
        trial.note("frozen.resumed", resumed_s)

    return run


CASES: tuple[Case, ...] = (
    without_faults,
    store_slow,
    store_cut_from_others,
    store_down,
    frozen("entry-2"),
    frozen("entry-3"),
)


@asynccontextmanager
async def trial_of_changes() -> AsyncIterator[Trial]:
    """Runs a system within the block and follows its versions."""
    headers = {"Authorization": f"Bearer {token('proposer')}"}
    timeout = aiohttp.ClientTimeout(total=STATUS_TIMEOUT_S)
    async with (
        process_driver(ENTRIES, VMS) as driver,
        aiohttp.ClientSession(headers=headers, timeout=timeout) as session,
    ):
        watch = VersionWatch(session)
        entries = driver.cluster.entries.values()
        tasks = [asyncio.create_task(watch.follow(entry)) for entry in entries]
        try:
            yield Trial(driver, watch)
        finally:
            for task in tasks:
                task.cancel()


async def run_case(case: Case) -> Trial:
    """Runs one case on a system of its own."""
    async with trial_of_changes() as trial:
        await case(trial)
        await asyncio.sleep(AFTER_S)
    return trial


def measures(trials: list[Trial]) -> list[Measure]:
    """Returns the figures of all cases."""
    found: list[Measure] = []
    cases = dict.fromkeys(case for trial in trials for case in trial.seconds)
    for case in cases:
        seconds = [s for trial in trials for s in trial.seconds.get(case, [])]
        found += case_measures(case, sorted(seconds))
    reverted = sum(trial.watch.reverted for trial in trials)
    found.append(at_most("rollout.reverted", "today", reverted, "times", 0, None))
    return found


def case_measures(case: str, seconds: list[float]) -> list[Measure]:
    """Returns the figures of one case.

    Args:
        case: Name of the case.
        seconds: Its times, shortest first.
    """
    figures = {
        "p50": percentile(seconds, 0.5),
        "p99": percentile(seconds, 0.99),
        "worst": seconds[-1],
    }
    count = Measure(f"rollout.{case}.changes", "today", len(seconds), "changes")
    return [
        count,
        *(
            at_most(f"rollout.{case}.{name}", "today", value, "s", TARGET_S, None)
            for name, value in figures.items()
        ),
    ]


def percentile(values: list[float], share: float) -> float:
    """Returns the smallest value that a share of the sorted values reach."""
    return values[math.ceil(share * len(values)) - 1]


async def main() -> None:
    """Runs all cases beside each other and prints the measures."""
    trials = await asyncio.gather(*(run_case(case) for case in CASES))
    for measure in measures(list(trials)):
        print(measure.line(), flush=True)


if __name__ == "__main__":
    asyncio.run(main())
