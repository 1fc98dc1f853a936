"""A refused job runs: REFUSED, with the store out of reach of one entry.

The pool has a backlog of urgent jobs, so that entries refuse the jobs of a less urgent
queue. The store then gives one entry no response for some seconds, and executes the
writes that it has received meanwhile some seconds later.
"""

import asyncio
import sys
from pathlib import Path

from platform_3 import (
    Deployment,
    Executor,
    Record,
    StoreFaults,
    has_trouble,
    job_id,
    route,
    run_case,
)

# tamreen-nile-grown: `platform_down` with `nodes` lasts 7 to 9 s; silent by `kinds`.
SILENCE_S = 4.5
# PROTOCOL: "or may be executed seconds later". The kind `platform_lost`: 1 to 6 s.
LATE_S = 2.5
BACKLOG_JOBS = 14
BACKLOG_TASKS = 4
BACKLOG_S = 2.0
SMALL_S = 0.2
# Time in which the backlog ends, and whatever was accepted after it runs.
WATCH_S = 50.0
POLL_S = 0.2
REJECTED = (429, 503, 404)
# Of tamreen-nile-grown. Its queues are public here, so that clients need no key.
TENANT = {
    "name": "clinic",
    "apiKeys": ["pqk8bdk9eevyxq2yyaza"],
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


def work(tasks: int, estimated_s: float) -> dict[str, object]:
    """Returns a job of one step."""
    step = {
        "count": tasks,
        "cpu": 1000,
        "memMb": 256,
        "estimatedMs": int(estimated_s * 1000),
    }
    return {"specification": "text", "steps": [step]}


async def play(record: Record) -> int:
    """Plays the case; returns 1 if a job ran whose every attempt was rejected."""
    urgent: set[str] = set()

    def nature(task: str) -> tuple[float, int, int]:
        seconds = BACKLOG_S if task.partition(".")[0] in urgent else SMALL_S
        return seconds, 1000, 256

    routes = [
        route("urgent", "/urgent/", "yard", stretch=40.0, public=True),
        route("normal", "/normal/", "yard", priority=1, public=True),
    ]
    deployment = Deployment(record, 5, routes, [TENANT], BOUNDS)
    deployment.executors = [
        Executor(f"i-{number}", "yard", 2000, nature, record) for number in (1, 2)
    ]
    async with deployment.running():
        await asyncio.sleep(2.0)
        entry = deployment.least_active()
        for _ in range(3):
            await deployment.request(
                entry, "POST", f"/normal/{job_id()}", work(1, SMALL_S)
            )
        await asyncio.sleep(2.0)
        for _ in range(BACKLOG_JOBS):
            job = job_id()
            urgent.add(job)
            await deployment.request(
                entry, "POST", f"/urgent/{job}", work(BACKLOG_TASKS, BACKLOG_S)
            )
        await asyncio.sleep(3.0)
        if has_trouble():
            record.note("store: no response", entry=entry.name, seconds=SILENCE_S)
            entry.faults.late_s = LATE_S
            entry.faults.silent = True
            deployment.spawn(heal(entry.faults, record))
        job = job_id()
        answer = await deployment.request(
            entry, "POST", f"/normal/{job}", work(1, SMALL_S)
        )
        if answer.status not in REJECTED:
            # The rule says nothing of a job with another answer.
            record.note("the job was not rejected", status=answer.status)
            return 0
        for _ in range(int(WATCH_S / POLL_S)):
            if deployment.starts_of(job):
                break
            await asyncio.sleep(POLL_S)
        await deployment.request(entry, "GET", f"/normal/{job}")
        starts = deployment.starts_of(job)
        record.note("refused job", job=job, status=answer.status, runs=len(starts))
        return int(bool(starts))


async def heal(faults: StoreFaults, record: Record) -> None:
    """Lets the store answer the entry again."""
    await asyncio.sleep(SILENCE_S)
    faults.silent = False
    record.note("store: responds again")


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play, 115))
