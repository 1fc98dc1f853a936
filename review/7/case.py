"""All entries but one are killed; the one that is left cannot use the store."""

import asyncio
import json
import secrets
from pathlib import Path

from deployment import CaseError, Deployment, main

FOLDER = Path(__file__).resolve().parent
ENTRIES = 6
SERVICES = 32
TASK_S = 0.3
# The entry that is left has this time to take over before jobs are handed in.
SETTLE_S = 10.0
TRIES = 6
# `finish_s` after the end of the traffic jobs are asked for; none may have nothing
# running for 3 s while its turn has come.
FINISH_S = 14.0
STILL_S = 3.0


async def submit(deployment: Deployment, service: str) -> str:
    """Hands a job in; returns its id, or an empty text if it was not accepted."""
    step = {"count": 1, "cpu": 1000, "memMb": 64, "estimatedMs": 300}
    body = {"specification": json.dumps([TASK_S]), "steps": [step]}
    job = secrets.token_hex(8)
    for _ in range(TRIES):
        entry = deployment.entries[0]
        status, _ = await deployment.call(entry, "POST", job, body, service)
        if status == 200:
            return job
        await asyncio.sleep(1.0)
    return ""


def unstarted(deployment: Deployment, jobs: dict[str, str]) -> set[str]:
    """Returns the jobs of which no task has run on any executor."""
    seen = {task for e in deployment.executors for task in (*e.runs, *e.highest)}
    return {job for job in jobs.values() if f"{job}.0.0.0" not in seen}


async def case(trouble: bool) -> bool:
    """Returns whether all accepted jobs have run and are known."""
    services = [f"service-{number:02d}" for number in range(SERVICES)]
    deployment = Deployment(FOLDER, ENTRIES, SERVICES, services)
    record = deployment.record
    async with deployment.running():
        await deployment.until_ready()
        if trouble:
            for entry in deployment.entries[1:]:
                await entry.kill()
                record.write("entry_killed", entry=entry.name)
        await asyncio.sleep(SETTLE_S)
        found = await asyncio.gather(*(submit(deployment, s) for s in services))
        jobs = {s: job for s, job in zip(services, found, strict=True) if job}
        if not jobs:
            raise CaseError("no job was accepted")
        record.write("traffic_ended", accepted=len(jobs), refused=found.count(""))
        await asyncio.sleep(FINISH_S)
        before = unstarted(deployment, jobs)
        await asyncio.sleep(STILL_S)
        lost = before & unstarted(deployment, jobs)
        for service, job in jobs.items():
            entry = deployment.entries[0]
            status, answer = await deployment.call(entry, "GET", job, None, service)
            if status != 200:
                lost.add(job)
                record.write("LOST", job=job, service=service, status=status)
            elif job in lost:
                record.write("LOST", job=job, service=service, **answer)
        ends = sum(e.ends for e in deployment.executors)
        record.write("end", lost=len(lost), ends=ends)
        return not lost


if __name__ == "__main__":
    main(case)
