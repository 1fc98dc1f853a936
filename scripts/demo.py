"""Drives the whole path on loopback and counts what was lost, doubled or crossed."""

import asyncio
import json
import secrets
import signal
import sys
import time
from collections import Counter
from pathlib import Path
from typing import Any, NamedTuple

import aiohttp
from burdockthread_model.job import FINAL_JOB_STATES, JobState
from burdockthread_scenarios.cluster import Cluster, Site, running_cluster
from burdockthread_scenarios.ledger import new_key

EXAMPLES = Path(__file__).resolve().parent.parent / "examples"
SITES = (
    Site(
        "trinacria",
        ("palermo", "catania", "trapani"),
        30,
        EXAMPLES / "trinacria" / "template.json",
    ),
    Site(
        "kloofsig",
        ("johannesburg", "pretoria", "centurion"),
        30,
        EXAMPLES / "kloofsig" / "template.json",
    ),
)
PLACEMENT = (
    ("palermo", "sicily"),
    ("catania", "sicily"),
    ("johannesburg", "gauteng"),
)
CALLERS = 24
LOAD_S = 20.0
IN_FORCE_TIMEOUT_S = 15.0
MAINTENANCE_TIMEOUT_S = 40.0
POLL_S = 0.2
ATTEMPTS = 8
SHORT_PERIOD_DAYS = 0.0008
JOB_RUN_TIME_S = 1.0
JOBS_TIMEOUT_S = 40.0

REQUESTS = (
    ("trinacria", "bookings", "urgent"),
    ("trinacria", "releases", "urgent"),
    ("trinacria", "hauliers", "standard"),
    ("kloofsig", "inventory", "urgent"),
    ("kloofsig", "dispatch", "standard"),
    ("kloofsig", "pricing", "standard"),
)
JOBS = (("trinacria", "yard-misc"), ("kloofsig", "admin"))


class Answer(NamedTuple):
    """How a request ended for its caller."""

    body: str
    status: int
    verdict: str
    echo: str


class AcceptedJob(NamedTuple):
    """A deferred job that was answered with 202."""

    organisation: str
    service: str
    job: str


class Load:
    """Callers that send bookings and jobs and note every answer."""

    def __init__(self, cluster: Cluster, session: aiohttp.ClientSession) -> None:
        self.cluster = cluster
        self.session = session
        self.answers: list[Answer] = []
        self.jobs: Counter[int] = Counter()
        self.accepted_jobs: list[AcceptedJob] = []
        self.stopped = False

    async def caller(self, number: int) -> None:
        """Sends one request after the other."""
        while not self.stopped:
            organisation, service, urgency = REQUESTS[number % len(REQUESTS)]
            self.answers.append(await self.request(organisation, service, urgency))
            number += 1

    async def request(self, organisation: str, service: str, urgency: str) -> Answer:
        """Sends one booking; retries with the same key at another entry."""
        body = new_key(time.time())
        headers = {
            "Burdockthread-Organisation": organisation,
            "Burdockthread-Class": urgency,
            "Burdockthread-Deadline-Ms": "3000",
            "Idempotency-Key": body,
        }
        answer = Answer(body, 0, "unknown", "")
        for attempt in range(ATTEMPTS):
            entry = secrets.choice(list(self.cluster.entries.values()))
            url = f"{entry.callers_url}/services/{service}/order"
            answer = await self.post(url, headers, body)
            if answer.status in (200, 409) or attempt == ATTEMPTS - 1:
                break
            await asyncio.sleep(POLL_S)
        return answer

    async def job_state(self, accepted: AcceptedJob) -> str:
        """Returns the state of a job, empty if the entry doesn't know it."""
        entry = self.cluster.entries["entry-1"]
        url = f"{entry.callers_url}/jobs/{accepted.service}/{accepted.job}"
        headers = {"Burdockthread-Organisation": accepted.organisation}
        async with self.session.get(url, headers=headers) as answer:
            state: str = (await answer.json()).get("state", "")
        return state

    async def job_states(self) -> Counter[str]:
        """Returns how many jobs ended in each state, waiting for them to end."""
        give_up_s = time.monotonic() + JOBS_TIMEOUT_S
        while True:
            states = [await self.job_state(job) for job in self.accepted_jobs]
            ended = all(state in FINAL_JOB_STATES for state in states)
            if ended or time.monotonic() > give_up_s:
                return Counter(states)
            await asyncio.sleep(1.0)

    async def post(self, url: str, headers: dict[str, str], body: str) -> Answer:
        """Sends one request to one entry."""
        try:
            async with self.session.post(url, headers=headers, data=body) as answer:
                fields = await answer.json(content_type=None)
                verdict = answer.headers.get("Burdockthread-Verdict", "unknown")
                return Answer(body, answer.status, verdict, fields.get("echo", ""))
        except (aiohttp.ClientError, TimeoutError, ValueError):
            return Answer(body, 0, "unknown", "")

    async def submit_jobs(self) -> None:
        """Submits inspections and ledger entries."""
        number = 0
        while not self.stopped:
            organisation, service = JOBS[number % len(JOBS)]
            entry = self.cluster.entries["entry-1"]
            headers = {"Burdockthread-Organisation": organisation}
            body = {
                "cores": 1,
                "memory_gb": 1,
                "run_time_s": JOB_RUN_TIME_S,
                "payload": number,
            }
            url = f"{entry.callers_url}/jobs/{service}"
            try:
                async with self.session.post(url, headers=headers, json=body) as answer:
                    self.jobs[answer.status] += 1
                    if answer.status == 202:
                        job = (await answer.json())["job"]
                        accepted = AcceptedJob(organisation, service, job)
                        self.accepted_jobs.append(accepted)
            except aiohttp.ClientError:
                self.jobs[0] += 1
            number += 1
            await asyncio.sleep(POLL_S)


async def accept_both(cluster: Cluster) -> None:
    """Accepts both sites' templates and waits until all entries have them."""
    started_s = time.monotonic()
    for site in SITES:
        version = await cluster.accept_template(site.template, 0)
        print(f"template of {site.name}: version {version} accepted")
    await wait_in_force(cluster, {"maypole-yard": 1, "tray-stock": 1})
    print(
        f"in force on all entries {time.monotonic() - started_s:.1f} s after the start"
    )


async def wait_in_force(cluster: Cluster, versions: dict[str, int]) -> None:
    """Waits until every entry has the given versions in force."""
    async with asyncio.timeout(IN_FORCE_TIMEOUT_S):
        for name in cluster.entries:
            while True:
                if (await cluster.status(name))["versions"] == versions:
                    break
                await asyncio.sleep(POLL_S)


async def wait_pools(cluster: Cluster) -> None:
    """Waits until every pool has its VMs."""
    async with asyncio.timeout(IN_FORCE_TIMEOUT_S):
        for name in cluster.entries:
            while True:
                pools = (await cluster.status(name))["pools"]
                if all(p["serving"] == p["intended_vms"] for p in pools):
                    break
                await asyncio.sleep(POLL_S)
    print(f"{len(pools)} pools have their VMs")


async def boots(cluster: Cluster, session: aiohttp.ClientSession) -> dict[str, str]:
    """Returns the boot of each VM."""
    async with session.get(f"{cluster.platform_url}/vms") as answer:
        return {vm["name"]: vm["boot_id"] for vm in await answer.json()}


async def maintain_one(cluster: Cluster, session: aiohttp.ClientSession) -> str:
    """Makes maintenance due and waits until a VM was rebooted and is back."""
    site = SITES[0]
    before = await boots(cluster, session)
    document = json.loads(site.template.read_text())
    document["maintenance"]["period_days"] = SHORT_PERIOD_DAYS
    path = cluster.folder / "short-period.json"
    path.write_text(json.dumps(document))
    await cluster.accept_template(path, 1)
    async with asyncio.timeout(MAINTENANCE_TIMEOUT_S):
        while True:
            after = await boots(cluster, session)
            changed = [vm for vm, boot in after.items() if before[vm] != boot]
            if changed and await is_serving(cluster, changed[0]):
                break
            await asyncio.sleep(POLL_S)
    await cluster.accept_template(site.template, 2)
    print(f"VM {changed[0]} was drained, rebooted and is back")
    return changed[0]


async def is_serving(cluster: Cluster, vm: str) -> bool:
    """Returns whether the platform lists a VM as live."""
    async with (
        aiohttp.ClientSession() as session,
        session.get(f"{cluster.platform_url}/vms") as answer,
    ):
        return any(
            item["name"] == vm and item["status"] == "live"
            for item in await answer.json()
        )


async def stop_entries(cluster: Cluster) -> int:
    """Stops one entry gracefully and kills another; returns the exit code."""
    graceful = cluster.entries["entry-3"]
    graceful.send_signal(signal.SIGTERM)
    code = await graceful.wait()
    print(f"entry-3 stopped gracefully with exit code {code}")
    await graceful.start()
    killed = cluster.entries["entry-2"]
    killed.send_signal(signal.SIGKILL)
    await killed.wait()
    print("entry-2 was killed")
    await killed.start()
    return code


async def read_runs(cluster: Cluster, session: aiohttp.ClientSession) -> Counter[str]:
    """Returns how often each body was run, over all VMs."""
    runs: Counter[str] = Counter()
    for vm in await boots(cluster, session):
        async with session.get(f"{cluster.platform_url}/vms/{vm}/runs") as answer:
            fields = await answer.json()
            runs.update(run["body"] for run in fields["runs"])
    return runs


def summarize(answers: list[Answer], runs: Counter[str]) -> dict[str, int]:
    """Counts what went wrong and what went well."""
    answered = [a for a in answers if a.status == 200]
    refused = [a for a in answers if a.status != 200 and a.verdict == "not_run"]
    return {
        "requests": len(answers),
        "answered": len(answered),
        "told_not_run": len(refused),
        "told_unknown": len(answers) - len(answered) - len(refused),
        "crossed": sum(a.echo != a.body for a in answered),
        "lost": sum(runs[a.body] == 0 for a in answered),
        "doubled": sum(count > 1 for count in runs.values()),
        "not_run_that_ran": sum(runs[a.body] > 0 for a in refused),
    }


async def drive(cluster: Cluster) -> dict[str, int]:
    """Drives the whole path; returns the counts."""
    await accept_both(cluster)
    await wait_pools(cluster)
    timeout = aiohttp.ClientTimeout(total=10.0)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        load = Load(cluster, session)
        tasks = [asyncio.create_task(load.caller(n)) for n in range(CALLERS)]
        tasks.append(asyncio.create_task(load.submit_jobs()))
        started_s = time.monotonic()
        await maintain_one(cluster, session)
        code = await stop_entries(cluster)
        await asyncio.sleep(max(0.0, LOAD_S - (time.monotonic() - started_s)))
        load.stopped = True
        await asyncio.gather(*tasks)
        counts = summarize(load.answers, await read_runs(cluster, session))
        states = await load.job_states()
    counts["jobs_accepted"] = load.jobs[202]
    counts["jobs_refused"] = load.jobs.total() - load.jobs[202]
    counts["jobs_done"] = states[JobState.DONE]
    counts["jobs_not_done"] = states.total() - states[JobState.DONE]
    counts["graceful_exit_code"] = code
    return counts


async def main() -> int:
    """Runs the demo; returns the exit code."""
    async with running_cluster(SITES, PLACEMENT) as cluster:
        await asyncio.gather(*(e.start() for e in cluster.entries.values()))
        counts: dict[str, Any] = await drive(cluster)
    for name, value in counts.items():
        print(f"{name}={value}")
    bad = (
        "crossed",
        "lost",
        "doubled",
        "not_run_that_ran",
        "jobs_not_done",
        "graceful_exit_code",
    )
    failed = [name for name in bad if counts[name]]
    if failed or not counts["answered"] or not counts["jobs_accepted"]:
        print(f"demo: failed: {', '.join(failed) or 'nothing was answered'}")
        return 1
    print("demo: nothing lost, doubled or crossed")
    return 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main()))
