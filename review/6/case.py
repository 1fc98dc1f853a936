"""An executor starts again under its id; what it has done since is done once more."""

import asyncio
from pathlib import Path

from deployment import Deployment, Executor, main

FOLDER = Path(__file__).resolve().parent
EXECUTORS = 7
# Tasks that the executor has run before, so that ends up to this number are known.
EARLIER_TASKS = 20
JOBS = 5
TASK_S = 0.1
DOWN_S = 1.0
# A new life is registered within a heartbeat (1.5 s).
REGISTERED_AFTER_S = 0.5
WATCHED_S = 8.0


def step(count: int) -> list[dict[str, object]]:
    """Returns the step of a job of short tasks."""
    return [{"count": count, "cpu": 1000, "memMb": 64, "estimatedMs": 100}]


async def restart(executor: Executor) -> None:
    """Restarts an executor; it loses the answer to the first poll of its new life."""
    polls = 0

    def is_lost(path: str) -> bool:
        nonlocal polls
        polls += path == "/hold"
        return path == "/hold" and polls == 1

    executor.crash()
    await asyncio.sleep(DOWN_S)
    executor.register_after_s = REGISTERED_AFTER_S
    executor.loses_answer = is_lost
    executor.restart()


async def case(trouble: bool) -> bool:
    """Returns whether no task was started after its noted end as done."""
    deployment = Deployment(FOLDER, 2, EXECUTORS)
    record = deployment.record
    async with deployment.running():
        await deployment.until_ready()
        entry = deployment.holder()
        await deployment.submit(entry, [TASK_S], step(EARLIER_TASKS))
        await asyncio.sleep(2.5)
        executor = max(deployment.executors, key=lambda found: found.ends)
        record.write("idle", at=executor.id, ends=executor.ends, runs=executor.runs)
        if trouble:
            await restart(executor)
        jobs = [deployment.submit(entry, [TASK_S], step(1)) for _ in range(JOBS)]
        accepted = await asyncio.gather(*jobs)
        twice = await watch(deployment, set(accepted))
        for job in accepted:
            await deployment.call(entry, "GET", job)
        record.write("end", twice=len(twice), calls=executor.calls)
        return not twice


async def watch(deployment: Deployment, jobs: set[str]) -> set[str]:
    """Returns the tasks that were started after a noted end as done."""
    loop = asyncio.get_running_loop()
    until_s = loop.time() + WATCHED_S
    twice: set[str] = set()
    while loop.time() < until_s:
        await asyncio.sleep(0.01)
        noted = {
            (task, run)
            for executor in deployment.executors
            for task, run, how in executor.noted
            if how == "done" and task.partition(".")[0] in jobs
        }
        started = [
            (task, run)
            for executor in deployment.executors
            for task, run in executor.started
        ]
        for task, run in noted:
            later = [r for t, r in started if t == task and r > run]
            if later and task not in twice:
                twice.add(task)
                deployment.record.write("TWICE", task=task, done=run, again=later)
    return twice


if __name__ == "__main__":
    main(case)
