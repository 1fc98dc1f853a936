"""All open connections go silent; new ones work, but the jobs stand still."""

import asyncio
import time
from pathlib import Path

from deployment import Deployment, main

FOLDER = Path(__file__).resolve().parent
# Jobs handed in at once whose tasks open the connections that are usual under load.
JOBS = 3
TASKS = 40
# They are spread over all executors.
LASTING_TASKS = 6
# The rule counts 3 s in which a job has nothing running, if these and the 4 s before
# them are calm.
CALM_BEFORE_S = 4.0
STILL_S = 3.0
WATCHED_S = 30.0


def step(count: int, **fields: object) -> list[dict[str, object]]:
    """Returns the step of a job."""
    return [{"count": count, "cpu": 1500, "memMb": 64, **fields}]


async def case(trouble: bool) -> bool:
    """Returns whether the job that lasts never stood still for 3 s in calm."""
    deployment = Deployment(FOLDER, 2, 3)
    record = deployment.record
    async with deployment.running():
        await deployment.until_ready()
        entry = deployment.holder()
        short = step(TASKS, estimatedMs=300)
        await asyncio.gather(
            *(deployment.submit(entry, [0.3], short) for _ in range(JOBS))
        )
        job = await deployment.submit(
            entry, [], step(LASTING_TASKS, longRunning=True, mayMiss=1, antiAffinity=2)
        )
        await asyncio.sleep(4.0)
        silent_s = time.monotonic()
        if trouble:
            record.write("silent", connections=deployment.silence_connections())
        still_s = 0.0
        since_s = silent_s + CALM_BEFORE_S
        while time.monotonic() - silent_s < WATCHED_S:
            await asyncio.sleep(0.05)
            now = time.monotonic()
            if any(t.startswith(job) for e in deployment.executors for t in e.runs):
                since_s = max(now, silent_s + CALM_BEFORE_S)
            still_s = max(still_s, now - since_s)
        used = [len(e.runs) * 1500 for e in deployment.executors]
        record.write("end", still_in_calm_s=f"{still_s:.2f}", used_milli=used)
        if still_s > STILL_S:
            record.write("LOST", job=job, nothing_running_s=f"{still_s:.2f}")
        return still_s <= STILL_S


if __name__ == "__main__":
    main(case)
