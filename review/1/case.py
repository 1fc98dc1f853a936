"""An entry of another writer among the executors' entries."""

import asyncio
import sys
import time
from pathlib import Path

from small_site import HEARTBEAT_S, Executor, Nature, Record, Site, main

POOL = "inventory"
QUEUE = "stock-reserve"
JOBS = ("5c0e7a21d94b36f8", "5c0e7a21d94b36f9")
RUN_S = 1.0
# `finish_s`, and the 3 s of the rule.
WATCH_S = 17.0
# Fields are missing: no zone, slots, capacity, labels, sequence or time of birth. The
# host is a name that begins with 64 digits, as other software gives to its instances;
# like all names below localhost, it means the loopback address.
FOREIGN_KEY = "servers/7d0f1c5e"
FOREIGN = {
    "service": POOL,
    "state": "ready",
    "address": (
        "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"
        ".localhost:8080"
    ),
}


def nature(task: str, run: int, executor: Executor) -> Nature:
    """Each run succeeds."""
    return Nature(seconds=RUN_S)


async def write_foreign(site: Site) -> None:
    """Writes the entry of the other writer at each of its heartbeats."""
    while True:
        site.store.put(FOREIGN_KEY, FOREIGN)
        await asyncio.sleep(HEARTBEAT_S)


async def case(record: Record, trouble: bool) -> str:
    """Hands in jobs while another writer's entry lies among the executors'."""
    site = Site(record, nature)
    site.route(QUEUE, POOL, maxAttempts=4)
    async with site.running(3, {POOL: [16_000] * 3}):
        await asyncio.sleep(3.0)
        if trouble:
            record.note("entry of another writer", FOREIGN_KEY, FOREIGN)
            writing = asyncio.create_task(write_foreign(site))
            site.stack.callback(writing.cancel)
            await asyncio.sleep(3.0)
        step = {"count": 4, "cpu": 1_000, "memMb": 256, "estimatedMs": 1_000}
        job = {"specification": "(text)", "steps": [step]}
        accepted: dict[str, float] = {}
        for name in JOBS:
            await site.hand_in(f"/{QUEUE}/{name}", job)
            accepted[name] = time.monotonic()
        await asyncio.sleep(WATCH_S)
        for name in accepted:
            await site.ask("GET", f"/{QUEUE}/{name}")
        return verdict(site, accepted)


def verdict(site: Site, accepted: dict[str, float]) -> str:
    """Applies the rule LOST to what the executors have seen."""
    for name, at_s in accepted.items():
        if not any(start.task.startswith(name) for start in site.starts):
            passed_s = time.monotonic() - at_s
            return (
                f"LOST: job {name} was accepted and has had nothing running for "
                f"{passed_s:.1f} s; {len(site.starts)} tasks run on "
                f"{len(site.machines)} sound executors"
            )
    return ""


if __name__ == "__main__":
    sys.exit(main(Path(__file__).resolve().parent, case))
