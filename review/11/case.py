"""Accepted jobs of all tenants never run: LOST, after rolling stops and a lost answer.

Two entries are stopped and started in turn, as planned. While the first one starts
again, the store leaves one of its writes without a response. From then on the other
entries can't find that entry, and it can't find itself. Once it holds the duties, no
pool gets the share of a tenant's quota that a task needs to start.
"""

import asyncio
import signal
import sys
from pathlib import Path

from platform_3 import (
    Deployment,
    Entry,
    Executor,
    Record,
    has_trouble,
    job_id,
    route,
    run_case,
)

KEY = "pqk8bdk9eevyxq2yyaza"
# Of tamreen-nile-grown.
TENANT = {
    "name": "clinic",
    "apiKeys": [KEY],
    "priority": 1,
    "weight": 98,
    "maxCount": {"cpu": 2_263_076, "memMb": 5_599_092, "gpu": 0},
}
BOUNDS = {
    "contactMs": 4000,
    "ackTimeoutMs": 6000,
    "cancel_ms": 4000,
    "stopMs": 400,
    "gangMs": 4000,
}
# `kinds`, `platform_lost`: "done 1 to 6 s later".
LATE_S = 3.0
# Longer than `contactMs`, so that all is calm again.
CALM_S = 8.0
# `finish_s` after the end of the traffic, the rule asks for a job that has nothing
# running for 3 s.
FINISH_S = 14.0
IDLE_S = 3.0
TASK_S = 0.3
JOBS = 5
PATH = "/routine/"


async def restart(deployment: Deployment, entry: Entry, *, lost_writes: int) -> None:
    """Stops an entry as planned and starts it again.

    Args:
        deployment: The deployment.
        entry: The entry.
        lost_writes: Number of the first writes after the start without a response.
    """
    deployment.record.note("SIGTERM", entry=entry.name)
    await entry.stop(signal.SIGTERM)
    entry.faults.late_s = LATE_S
    entry.faults.lost_writes = lost_writes
    deployment.record.note("ended, started again", entry=entry.name)
    entry.start()
    async with asyncio.timeout(15):
        await entry.until_ready(deployment.session)
    deployment.record.note("ready", entry=entry.name)


async def submit(deployment: Deployment, jobs: list[str]) -> list[str]:
    """Hands jobs in at the entries in turn; returns those that were accepted."""
    accepted = []
    for number, job in enumerate(jobs):
        entry = deployment.entries[number % len(deployment.entries)]
        step = {"count": 1, "cpu": 1000, "memMb": 256, "estimatedMs": 300}
        body = {"specification": "text", "steps": [step]}
        answer = await deployment.request(entry, "POST", f"{PATH}{job}", body, key=KEY)
        if answer.status == 200:
            accepted.append(job)
    return accepted


async def not_completed(deployment: Deployment, jobs: list[str]) -> list[str]:
    """Returns the jobs that are not shown as completed and have not begun."""
    left = []
    for number, job in enumerate(jobs):
        entry = deployment.entries[number % len(deployment.entries)]
        answer = await deployment.request(entry, "GET", f"{PATH}{job}", key=KEY)
        shown = answer.body.get("state")
        if shown != "completed" and not deployment.starts_of(job):
            left.append(job)
    return left


async def play(record: Record) -> int:
    """Plays the case; returns 1 if accepted jobs have nothing running for too long."""
    deployment = Deployment(
        record, 2, [route("routine", PATH, "plans", stretch=3.0)], [TENANT], BOUNDS
    )
    deployment.executors = [
        Executor(f"i-{n}", "plans", 16_000, lambda _: (TASK_S, 1000, 256), record)
        for n in (1, 2)
    ]
    async with deployment.running():
        await asyncio.sleep(3.0)
        before = await submit(deployment, [job_id() for _ in range(JOBS)])
        await asyncio.sleep(3.0)
        if await not_completed(deployment, before):
            record.note("jobs before the stops did not end")
            return 2
        first, second = deployment.entries
        await restart(deployment, first, lost_writes=int(has_trouble()))
        await asyncio.sleep(CALM_S)
        await restart(deployment, second, lost_writes=0)
        await asyncio.sleep(CALM_S)
        jobs = await submit(deployment, [job_id() for _ in range(JOBS)])
        await asyncio.sleep(FINISH_S + IDLE_S)
        left = await not_completed(deployment, jobs)
        record.note("jobs", accepted=len(jobs), never_started=len(left))
        return int(bool(left))


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play, 115))
