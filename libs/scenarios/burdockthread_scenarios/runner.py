"""Runs the statements of a scenario one after the other."""

import operator
from collections.abc import AsyncIterator, Awaitable, Sequence
from contextlib import AbstractAsyncContextManager, asynccontextmanager
from pathlib import Path

from burdockthread_model.errors import (
    BurdockthreadError,
    ConflictError,
    ForbiddenError,
    TemplateError,
)

from burdockthread_scenarios import language as lang
from burdockthread_scenarios.driver import Driver, ScenarioError
from burdockthread_scenarios.memory_driver import memory_driver
from burdockthread_scenarios.process_driver import process_driver

POLL_S = 0.5
ANSWER_TIMEOUT_S = 30.0

COMPARISONS = {"=": operator.eq, ">=": operator.ge, "<=": operator.le}
REFUSALS: dict[str, tuple[type[BurdockthreadError], ...]] = {
    "conflict": (ConflictError,),
    "refusal": (ForbiddenError, TemplateError),
}


class ExpectationError(BurdockthreadError):
    """An expectation of a scenario that does not hold."""


class Runner:
    """Carries statements out on a driver."""

    def __init__(self, driver: Driver, file: str) -> None:
        self.driver = driver
        self.file = file

    async def run(self, lines: Sequence[lang.Line]) -> None:
        """Runs statements in order.

        Raises:
            ExpectationError: An expectation does not hold; the message names
                file and line.
            ScenarioError: A statement cannot be carried out.
        """
        for line in lines:
            try:
                await self.execute(line.statement)
            except BurdockthreadError as error:
                message = f"{self.file}:{line.number}: {error}"
                raise type_for(error)(message) from error

    async def execute(self, statement: lang.Statement) -> None:
        """Carries one statement out."""
        driver = self.driver
        match statement:
            case lang.Promise() | lang.Mode() | lang.WorldSize():
                pass
            case lang.EntryAction(action, entry):
                await getattr(driver, action)(entry)
            case lang.Cut(source, target):
                await driver.cut(source, target)
            case lang.Heal():
                await driver.heal()
            case lang.Fault(target, name, amount):
                await driver.set_fault(target, name, amount)
            case lang.Clear(target):
                await driver.clear_faults(target)
            case lang.Advance(seconds):
                await driver.advance(seconds)
            case _:
                await self.execute_work(statement)

    async def execute_work(self, statement: lang.Statement) -> None:
        """Carries out a statement on requests, jobs, changes or counts."""
        driver = self.driver
        match statement:
            case lang.Send(amount, keyed, request_class, entry):
                await driver.send(amount, keyed, request_class, entry)
            case lang.Repeat(entry):
                await driver.repeat(entry)
            case lang.Submit(amount, entry):
                await driver.submit(amount, entry)
            case lang.AwaitAnswers():
                await self.await_answers()
            case lang.Propose(change, base_version, parameters):
                proposal = driver.propose(change, base_version, dict(parameters))
                await driver.passing(proposal)
            case lang.Review(change, outcome):
                await driver.passing(check_outcome(driver.review(change), outcome))
            case lang.Accept(change, outcome):
                await driver.passing(check_outcome(driver.accept(change), outcome))
            case lang.Expect():
                await self.expect(statement)
            case lang.ExpectVersion(version, within_s):
                await self.expect_version(version, within_s)

    async def await_answers(self) -> None:
        """Waits until every request sent has ended."""
        for _ in range(int(ANSWER_TIMEOUT_S / POLL_S)):
            counts = await self.driver.counts()
            if counts["ended"] >= counts["sent"]:
                return
            await self.driver.advance(POLL_S)
        raise ExpectationError("requests without an end")

    async def expect(self, statement: lang.Expect) -> None:
        """Checks a count, at once or until a time has passed."""
        compare = COMPARISONS[statement.comparison]
        waited_s = 0.0
        while True:
            counts = await self.driver.counts()
            if statement.counter not in counts:
                raise ScenarioError(f"no count {statement.counter}")
            found = counts[statement.counter]
            if compare(found, statement.value):
                return
            if waited_s >= statement.within_s:
                wanted = f"{statement.comparison} {statement.value}"
                raise ExpectationError(
                    f"expected {statement.counter} {wanted}, found {found}: {counts}"
                )
            await self.driver.advance(POLL_S)
            waited_s += POLL_S

    async def expect_version(self, version: int, within_s: float) -> None:
        """Checks that a version is in force on all running entries in time."""
        waited_s = 0.0
        while set(await self.driver.versions()) != {version}:
            if waited_s >= within_s:
                found = await self.driver.versions()
                raise ExpectationError(f"expected version {version}, found {found}")
            await self.driver.advance(POLL_S)
            waited_s += POLL_S


def type_for(error: BurdockthreadError) -> type[BurdockthreadError]:
    """Returns the class under which an error is raised with its line."""
    return ExpectationError if isinstance(error, ExpectationError) else ScenarioError


async def check_outcome(action: Awaitable[None], outcome: str) -> None:
    """Checks that an action of an operator ends as expected."""
    if not outcome:
        await action
        return
    try:
        await action
    except REFUSALS[outcome]:
        return
    raise ExpectationError(f"expected a {outcome}")


def driver_for(lines: Sequence[lang.Line]) -> AbstractAsyncContextManager[Driver]:
    """Returns the driver that a scenario asks for."""
    mode = "memory"
    size = lang.WorldSize(3, 4)
    for line in lines:
        match line.statement:
            case lang.Mode(name):
                mode = name
            case lang.WorldSize():
                size = line.statement
    return running_driver(mode, size)


@asynccontextmanager
async def running_driver(mode: str, size: lang.WorldSize) -> AsyncIterator[Driver]:
    """Runs a world or processes within the block."""
    parameters = dict(size.parameters)
    if mode == "memory":
        async with memory_driver(size.entries, size.vms, parameters) as in_memory:
            yield in_memory
    else:
        async with process_driver(size.entries, size.vms, parameters) as processes:
            yield processes


async def run_scenario(path: Path) -> None:
    """Runs a scenario file; see `Runner.run`."""
    lines = lang.read_scenario(path)
    async with driver_for(lines) as driver:
        await Runner(driver, path.name).run(lines)
