"""Tasks that are done start again: TWICE, after the store was down for some seconds.

A job of many small tasks runs on one executor. The store is down for a few seconds, in
which leases run out, as the pages say they may. The executor then lists more ends than
fit into one answer, and the next holder of the pool takes the first part of the list
for all of it.
"""

import asyncio
import sys
import time
from pathlib import Path

from platform_3 import (
    Deployment,
    End,
    Executor,
    Record,
    Start,
    has_trouble,
    job_id,
    route,
    run_case,
)

# kloofsig-trays: `platform_down`, "busy", lasts 4.5 s.
OUTAGE_S = 4.5
TASKS = 5000
TASK_CPU = 5
TASK_S = 0.4
END_S = 60.0


def started_again(starts: list[Start], executor: Executor) -> list[tuple[Start, End]]:
    """Returns the starts after a run of the task has ended `done`, if that is noted.

    An end counts unless the executor's lease lapsed before `lastSeen` reached it.
    """
    done: dict[str, End] = {}
    for end in executor.all_ends:
        noted_s = executor.noted.get(end.number)
        if end.how != "done" or noted_s is None:
            continue
        if any(end.at_s <= lapse_s <= noted_s for lapse_s in executor.lapses_s):
            continue
        done.setdefault(end.task, end)
    return [
        (start, done[start.task])
        for start in starts
        if start.task in done and start.at_s > done[start.task].at_s
    ]


async def play(record: Record) -> int:
    """Plays the case; returns 1 if a task started after a noted end `done`."""
    executor = Executor(
        "i-1", "stock", 16_000, lambda _: (TASK_S, TASK_CPU, 10), record
    )
    deployment = Deployment(record, 3, [route("reserve", "/reserve/", "stock")])
    deployment.executors = [executor]
    async with deployment.running():
        await asyncio.sleep(2.0)
        step = {
            "count": TASKS,
            "cpu": TASK_CPU,
            "memMb": 10,
            "estimatedMs": int(TASK_S * 1000),
        }
        job = job_id()
        path = f"/reserve/{job}"
        body = {"specification": "text", "steps": [step]}
        await deployment.request(deployment.entries[0], "POST", path, body)
        await asyncio.sleep(1.0)
        if has_trouble():
            record.note("store: down", seconds=OUTAGE_S)
            deployment.store.down = True
            await asyncio.sleep(OUTAGE_S)
            deployment.store.down = False
            record.note("store: up", unnoted_ends=len(executor.ended))
        until_s = time.monotonic() + END_S
        while time.monotonic() < until_s:
            answer = await deployment.request(
                deployment.entries[1], "GET", path, quiet=True
            )
            if answer.body.get("state") == "completed":
                break
            await asyncio.sleep(0.5)
        record.note("state", job=job, answer=answer)
        again = started_again(executor.starts, executor)
        for start, end in again:
            record.note(
                "started after its end",
                task=start.task,
                run=start.run,
                ended_run=end.run,
                later_s=round(start.at_s - end.at_s, 3),
            )
        lapses = len(executor.lapses_s)
        record.note("started again", n=len(again), of=TASKS, lapses=lapses)
        return int(bool(again))


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play, 115))
