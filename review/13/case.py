"""An accepted job never runs: LOST, after an executor has left one order unanswered.

An executor runs many small tasks that last. It leaves the start of another job's only
task unanswered and carries it out late, when the holder has stopped that run already.
The holder then waits for ever for a report that shows the end of the run: it takes a
list of 500 runs or more for a truncated one.
"""

import asyncio
import sys
import time
from pathlib import Path

from aiohttp import web
from platform_3 import (
    Deployment,
    Executor,
    Record,
    has_trouble,
    job_id,
    route,
    run_case,
)

# Tasks that last, each with a hundredth of a core: a third of the executor's capacity.
LASTING_TASKS = 520
LASTING_CPU = 10
LASTING_S = 1e6
TASK_S = 0.5
# `kinds`, `applied_late`: "carried out 2 to 12 s later".
LATE_S = 4.0
# `finish_s` after the end of the traffic, the rule asks for a job that has nothing
# running for 3 s.
FINISH_S = 14.0
IDLE_S = 3.0


class LateExecutor(Executor):
    """An executor that leaves the start of one job unanswered, once.

    Attributes:
        late_job: The job, or empty.
        carried_out_s: Clock time at which the late order was carried out, or None.
    """

    late_job = ""
    carried_out_s: float | None = None

    async def on_start(self, request: web.Request) -> web.Response:
        """Starts a run; leaves the order unanswered if it is for `late_job`."""
        body = await request.json()
        if self.late_job and body["task"].startswith(f"{self.late_job}."):
            self.late_job = ""
            self.record.note("start left unanswered", task=body["task"])
            await asyncio.shield(asyncio.create_task(self.start_late(request)))
            await asyncio.Event().wait()
        return await super().on_start(request)

    async def start_late(self, request: web.Request) -> None:
        """Carries a start out late."""
        await asyncio.sleep(LATE_S)
        answer = await super().on_start(request)
        self.carried_out_s = time.monotonic()
        self.record.note("late start carried out", outcome=answer.text)


async def play(record: Record) -> int:
    """Plays the case; returns 1 if the job had nothing running for too long."""
    lasting = job_id()

    def nature(task: str) -> tuple[float, int, int]:
        if task.startswith(f"{lasting}."):
            return LASTING_S, LASTING_CPU, 10
        return TASK_S, 1000, 256

    deployment = Deployment(record, 3, [route("reserve", "/reserve/", "stock")])
    executors = [
        LateExecutor(f"i-{number}", "stock", 16_000, nature, record)
        for number in (1, 2)
    ]
    deployment.executors = list(executors)
    async with deployment.running():
        await asyncio.sleep(2.0)
        entry = deployment.entries[0]
        step: dict[str, object] = {
            "count": LASTING_TASKS,
            "cpu": LASTING_CPU,
            "memMb": 10,
            "longRunning": True,
        }
        body = {"specification": "text", "steps": [step]}
        await deployment.request(entry, "POST", f"/reserve/{lasting}", body)
        await asyncio.sleep(8.0)
        runs = {executor.name: len(executor.runs) for executor in executors}
        record.note("tasks that last", runs=runs)
        job = job_id()
        if has_trouble():
            for executor in executors:
                executor.late_job = job
        step = {"count": 1, "cpu": 1000, "memMb": 256, "estimatedMs": 500}
        path = f"/reserve/{job}"
        body = {"specification": "text", "steps": [step]}
        await deployment.request(entry, "POST", path, body)
        accepted_s = time.monotonic()
        await asyncio.sleep(LATE_S + FINISH_S + IDLE_S)
        for executor in executors:
            executor.late_job = ""
        answer = await deployment.request(entry, "GET", path)
        starts = deployment.starts_of(job)
        used = sum(run.cpu for e in executors for run in e.runs.values())
        record.note(
            "job",
            job=job,
            state=answer.body.get("state"),
            runs=len(starts),
            passed_s=round(time.monotonic() - accepted_s, 1),
            used_share=round(used / 32_000, 3),
        )
        return int(answer.body.get("state") != "completed" and not starts)


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, play, 115))
