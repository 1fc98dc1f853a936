"""An entry and an executor are lost for good; the jobs of the pool stand still."""

import asyncio
import random
import time
from pathlib import Path

from deployment import Deployment, Executor, main

FOLDER = Path(__file__).resolve().parent
JOBS = 8
FIRST_STEP_S = 3.0
SECOND_STEP_S = 0.5
# The rule counts 3 s in which a job has nothing running, if these and the 4 s before
# them are calm.
CALM_BEFORE_S = 4.0
STILL_S = 3.0
WATCHED_S = 25.0


async def case(trouble: bool) -> bool:
    """Returns whether no job stood still for 3 s in calm."""
    deployment = Deployment(FOLDER, 3, 6)
    async with deployment.running():
        await deployment.until_ready()
        steps = [
            {"count": 2, "cpu": 1000, "memMb": 256, "estimatedMs": 3000},
            {"count": 2, "cpu": 1000, "memMb": 256, "estimatedMs": 500, "after": [0]},
        ]
        jobs = [
            await deployment.submit(
                random.choice(deployment.entries), [FIRST_STEP_S, SECOND_STEP_S], steps
            )
            for _ in range(JOBS)
        ]
        await asyncio.sleep(1.0)
        holder = deployment.holder()
        lost_s = time.monotonic()
        if trouble:
            idle = [e for e in deployment.executors if not e.runs]
            idle[0].crash()
            await holder.kill()
            deployment.record.write("entry_lost", entry=holder.name)
        return await watch(deployment, jobs, lost_s)


async def watch(deployment: Deployment, jobs: list[str], lost_s: float) -> bool:
    """Watches the executors until all jobs are done; returns whether none stood still.

    A job stands still from the end of its first step, or from the end of the time
    after the losses that is not calm, until a task of its second step starts.
    """
    still_s: dict[str, float] = {}
    held = True
    while time.monotonic() - lost_s < WATCHED_S:
        now = time.monotonic()
        calm = now - lost_s > CALM_BEFORE_S
        for job in jobs:
            if not calm or is_busy(deployment.executors, job):
                still_s.pop(job, None)
                continue
            since_s = still_s.setdefault(job, now)
            if now - since_s > STILL_S and held:
                held = False
                deployment.record.write(
                    "LOST", job=job, after_loss_s=f"{now - lost_s:.1f}"
                )
        await asyncio.sleep(0.05)
    return held


def is_busy(executors: list[Executor], job: str) -> bool:
    """Returns whether a job has a task running, or its last step has ended."""
    done = set()
    for executor in executors:
        if any(task.startswith(job) for task in executor.runs):
            return True
        done.update(t for _, t, _, how, _ in executor.ended if how == "done")
        done.update(executor.highest)
    return all(f"{job}.0.1.{number}" in done for number in range(2))


if __name__ == "__main__":
    main(case)
