"""Bounds on what a scenario waits for, with errors that name it."""

import asyncio
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager

from burdockthread_scenarios.driver import ScenarioError

END_ROUNDS = 10
END_ROUND_S = 0.5


@asynccontextmanager
async def within(seconds: float, waited_for: str) -> AsyncIterator[None]:
    """Bounds the time of a block.

    Args:
        seconds: Longest time.
        waited_for: What the block waits for, for the error.

    Raises:
        ScenarioError: The block took longer.
    """
    try:
        async with asyncio.timeout(seconds):
            yield
    except TimeoutError as error:
        raise ScenarioError(f"{waited_for}: not within {seconds:g} s") from error


async def end_tasks(tasks: Iterable[asyncio.Task[None]]) -> None:
    """Cancels tasks and waits until they have ended.

    A task whose clean-up waits is cancelled again, a bounded number of times.

    Args:
        tasks: Tasks; those that have ended are left alone.

    Raises:
        ScenarioError: Tasks go on; the message names what they run.
    """
    pending = {task for task in tasks if not task.done()}
    for _ in range(END_ROUNDS):
        if not pending:
            return
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(pending, timeout=END_ROUND_S)
    if pending:
        names = sorted(repr(task.get_coro()) for task in pending)
        raise ScenarioError(f"tasks do not end: {', '.join(names)}")
