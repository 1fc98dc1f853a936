"""Measures the time from acceptance until every entry has a version in force."""

import asyncio
import time

from burdockthread.measures import Measure, at_most
from burdockthread_scenarios.process_driver import ProcessDriver, process_driver

ENTRIES = 3
VMS = 4
CHANGES = 30
TARGET_S = 15.0
FIRST_VERSION = 1


async def roll_out(driver: ProcessDriver, number: int) -> float:
    """Accepts one change; returns the seconds until all entries have it."""
    change = f"c{number}"
    await driver.propose(change, None, {"period_days": 30 + number})
    await driver.review(change)
    started_s = time.monotonic()
    await driver.accept(change)
    version = FIRST_VERSION + number
    async with asyncio.timeout(2 * TARGET_S):
        while True:
            if set(await driver.versions()) == {version}:
                return time.monotonic() - started_s


async def main() -> None:
    """Prints the measures."""
    async with process_driver(ENTRIES, VMS) as driver:
        times = [await roll_out(driver, n + 1) for n in range(CHANGES)]
    times.sort()
    measures: list[Measure] = [
        at_most("rollout.p50", "today", times[CHANGES // 2], "s", TARGET_S, None),
        at_most("rollout.worst", "today", times[-1], "s", TARGET_S, None),
    ]
    for measure in measures:
        print(measure.line(), flush=True)


if __name__ == "__main__":
    asyncio.run(main())
