"""An accepted job whose route is removed, and a planned restart of one entry."""

import asyncio
import signal
import sys
import time
from pathlib import Path

from small_site import Executor, Nature, Record, Site, main, until

POOL = "inventory"
QUEUE = "stock-reserve"
OTHER_QUEUE = "frame-audit"
MAX_ATTEMPTS = 4
JOB = "5c0e7a21d94b36f8"
# The first run outlasts the removal, the restart and `contactMs` after both.
RUN_S = 16.0
# `configApplyMs` and `contactMs` pass before the next step.
SETTLED_S = 4.0
# The job is due to run again for this long: `finish_s`, and the 3 s of the rule.
WATCH_S = 17.0


def nature(task: str, run: int, executor: Executor) -> Nature:
    """The first run of the task fails, as a later one would not."""
    first = all(start.task != task for start in executor.site.starts)
    return Nature(seconds=RUN_S, how="failed" if first else "done")


async def case(record: Record, trouble: bool) -> str:
    """Removes the route and restarts the holder while the first run is at work."""
    site = Site(record, nature)
    site.route(QUEUE, POOL, maxAttempts=MAX_ATTEMPTS)
    site.route(OTHER_QUEUE, POOL, maxAttempts=MAX_ATTEMPTS)
    async with site.running(3, {POOL: [16_000] * 3}):
        await asyncio.sleep(3.0)
        step = {"count": 1, "cpu": 1_000, "memMb": 256, "estimatedMs": 16_000}
        job = {"specification": "(text)", "steps": [step]}
        await site.hand_in(f"/{QUEUE}/{JOB}", job)
        await until(lambda: site.starts, 5, "the first run")
        if trouble:
            route = site.routes.pop(QUEUE)
            site.configure()
            await asyncio.sleep(SETTLED_S)
            holder = site.known_holder(f"pool:{POOL}")
            await holder.stop(signal.SIGTERM)
            await holder.start()
        await until(lambda: site.ends, 30, "the end of the first run")
        await asyncio.sleep(WATCH_S)
        broken = verdict(site)
        if trouble:
            # The operator puts the route back, so that the client can ask.
            site.routes[QUEUE] = route
            site.configure()
            await asyncio.sleep(SETTLED_S)
        _, found = await site.ask("GET", f"/{QUEUE}/{JOB}")
        shown = found.get("state", "")
    if broken:
        return f"{broken}; it is shown as {shown!r}"
    return ""


def verdict(site: Site) -> str:
    """Applies the rule LOST to what the executors have seen."""
    failed = site.ends[0]
    again = [start for start in site.starts if start.at_s > failed.at_s]
    if again:
        return ""
    passed_s = time.monotonic() - failed.at_s
    return (
        f"LOST: {failed.task} failed once, {MAX_ATTEMPTS} attempts are allowed; for "
        f"{passed_s:.1f} s the job has nothing running, and nothing else runs"
    )


if __name__ == "__main__":
    sys.exit(main(Path(__file__).resolve().parent, case))
