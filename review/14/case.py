"""A job runs on after its cancel was answered: UNASKED, with one entry out of touch.

The store gives one entry no response for two seconds. A client hands a job with a task
that lasts in at that entry, leaves before its deadline, and cancels the job at another
entry, which answers 410. The first entry goes on with the request of the client that
has left, and passes it on; the job is stored after its cancel, and its task runs on.
"""

import asyncio
import sys
import time
from pathlib import Path

import aiohttp
from platform_3 import (
    BOUNDS,
    Deployment,
    Executor,
    Record,
    StoreFaults,
    has_trouble,
    job_id,
    route,
    run_case,
)

# kloofsig-trays: `platform_down`, "nodes leader silent", lasts 7 s on trouble-1.
SILENCE_S = 2.0
# kloofsig-trays: `give_up`, "leave within x ms", 900 ms on trouble-3.
LEAVES_AFTER_S = 0.3
LASTING_S = 1e6
CONTACT_S = 3.0
CANCEL_S = 3.0
STOP_S = 0.9
GONE = (200, 410)


async def heal(faults: StoreFaults, record: Record) -> None:
    """Lets the store answer the entry again."""
    await asyncio.sleep(SILENCE_S)
    faults.silent = False
    record.note("store: responds again")


async def hand_in_and_leave(deployment: Deployment, url: str) -> None:
    """Hands a job in and closes the connection before there is an answer."""
    step = {"count": 1, "cpu": 1000, "memMb": 256, "longRunning": True}
    timeout = aiohttp.ClientTimeout(total=LEAVES_AFTER_S)
    body = {"specification": "text", "steps": [step]}
    headers = {"Host": "jobs.example", "Deadline-Ms": "3000"}
    try:
        async with deployment.session.post(
            url, json=body, headers=headers, timeout=timeout
        ) as answer:
            deployment.record.note("client POST", status=answer.status)
    except TimeoutError:
        deployment.record.note("client POST", status="left without an answer")


async def play(record: Record) -> int:
    """Plays the case; returns 1 if a task of the cancelled job runs on."""
    executor = Executor(
        "i-1", "stock", 16_000, lambda _: (LASTING_S, 1000, 256), record
    )
    deployment = Deployment(record, 5, [route("recon", "/recon/", "stock")])
    deployment.executors = [executor]
    async with deployment.running():
        await asyncio.sleep(3.0)
        entry = deployment.least_active()
        other = next(found for found in deployment.entries if found is not entry)
        job = job_id()
        path = f"/recon/{job}"
        if has_trouble():
            record.note("store: no response", entry=entry.name, seconds=SILENCE_S)
            entry.faults.silent = True
            deployment.spawn(heal(entry.faults, record))
        await hand_in_and_leave(deployment, f"{entry.url}{path}")
        answer = await deployment.request(other, "DELETE", path)
        if answer.status not in GONE:
            record.note("the cancel was not acknowledged")
            return 0
        cancelled_s = time.monotonic()
        # A stretch without disruption, after which the job's task has to be gone.
        await asyncio.sleep(SILENCE_S + CONTACT_S + CANCEL_S + STOP_S)
        await deployment.request(other, "GET", path)
        running = [task for task, _ in executor.runs if task.startswith(job)]
        record.note(
            "cancelled job",
            job=job,
            cancel=answer.status,
            passed_s=round(time.monotonic() - cancelled_s, 1),
            running=running,
            bounds=f"{BOUNDS['cancel_ms']}+{BOUNDS['stopMs']}",
        )
        return int(bool(running))


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play, 115))
