"""Callers that submit jobs and look at them, and what they were told."""

import asyncio
import random
import types
from collections import Counter
from collections.abc import Callable, Sequence
from typing import NamedTuple

import aiohttp
from burdockthread_model.clock import Clock
from hdrh.histogram import HdrHistogram

ATTEMPTS = 4
ANSWER_TIMEOUT_S = 3.0
POLL_S = 0.2
RETRY_S = 0.3
HOST_HEADER = {"Host": "jobs.example", "Deadline-Ms": "3000"}
SUCCESS = 200
GONE = 410
REFUSED = (429, 503)
# Milliseconds, to the end of the longest job.
MAX_LATENCY_MS = 600_000
PERCENTILES = (50, 95, 99)


class CutRequest(NamedTuple):
    """A request whose connection ended without a whole answer.

    Attributes:
        url: Address of the entry that it went to.
        job: The job that it was about.
        method: Its method.
        sent_s: Unix time at which it was made.
        cut_s: Unix time at which its connection ended.
        held: Whether its connection had carried a request before.
    """

    url: str
    job: str
    method: str
    sent_s: float
    cut_s: float
    held: bool


class LoadPlan(NamedTuple):
    """What callers ask for.

    Attributes:
        jobs: Number of jobs.
        jobs_per_s: Mean rate.
        pools: Pools by turns.
        cancelled: Share of the jobs that are cancelled.
        patience_s: Seconds after which a job counts as lost.
    """

    jobs: int = 100
    jobs_per_s: float = 10.0
    pools: tuple[str, ...] = ("pool-a", "pool-b")
    cancelled: float = 0.0
    patience_s: float = 60.0


class CallerRecord:
    """What one job's caller was told.

    Attributes:
        job: Id of the job.
        accepted: Whether an answer said that it was accepted.
        refused: Whether every answer said that it was not.
        state: Last state seen.
        cancelled_s: Clock time at which its cancel was confirmed, or None.
    """

    def __init__(self, job: str, pool: str) -> None:
        self.job = job
        self.pool = pool
        self.accepted = False
        self.refused = True
        self.state = ""
        self.cancelled_s: float | None = None


class JobLoad:
    """Callers of all jobs.

    Attributes:
        records: What each caller was told.
        outcomes: Answers and ends by kind.
        cut: Requests whose connections ended without a whole answer.
        accept_ms: Milliseconds until an acceptance.
        end_ms: Milliseconds until a job was shown as ended.
    """

    def __init__(
        self,
        plan: LoadPlan,
        urls: Callable[[], Sequence[str]],
        clock: Clock,
        seed: int,
    ) -> None:
        self.plan = plan
        self.urls = urls
        self.clock = clock
        self.random = random.Random(seed)
        self.records: list[CallerRecord] = []
        self.outcomes: Counter[str] = Counter()
        self.cut: list[CutRequest] = []
        self.accept_ms = HdrHistogram(1, MAX_LATENCY_MS, 3)
        self.end_ms = HdrHistogram(1, MAX_LATENCY_MS, 3)

    async def run(self) -> None:
        """Submits all jobs and waits for their ends."""
        timeout = aiohttp.ClientTimeout(total=ANSWER_TIMEOUT_S)
        async with (
            aiohttp.ClientSession(
                timeout=timeout, trace_configs=[trace_of_connections()]
            ) as session,
            asyncio.TaskGroup() as group,
        ):
            for _ in range(self.plan.jobs):
                group.create_task(self.call(session))
                await self.clock.sleep(self.random.expovariate(self.plan.jobs_per_s))

    async def call(self, session: aiohttp.ClientSession) -> None:
        """Lives the life of one job's caller."""
        job = f"{self.random.getrandbits(64):016x}"
        record = CallerRecord(job, self.random.choice(self.plan.pools))
        self.records.append(record)
        started_s = self.clock.now()
        await self.submit(session, record, self.body())
        if not record.accepted:
            self.outcomes["refused" if record.refused else "unsettled"] += 1
            return
        self.accept_ms.record_value(self.passed_ms(started_s))
        if self.random.random() < self.plan.cancelled:
            await self.cancel(session, record)
        await self.follow(session, record, started_s)
        self.outcomes[record.state or "lost"] += 1

    def passed_ms(self, started_s: float) -> int:
        """Returns the milliseconds since a clock time."""
        return max(int((self.clock.now() - started_s) * 1000), 1)

    def body(self) -> dict[str, object]:
        """Returns a job of one or two steps."""
        steps: list[dict[str, object]] = []
        for number in range(self.random.choice((1, 1, 2))):
            step: dict[str, object] = {
                "count": self.random.randint(1, 6),
                "cpu": 1000,
                "memMb": 256,
                "estimatedMs": 1000,
            }
            if number:
                step["after"] = [0]
            steps.append(step)
        return {"specification": "text", "steps": steps}

    async def request(
        self,
        session: aiohttp.ClientSession,
        method: str,
        record: CallerRecord,
        body: object = None,
    ) -> tuple[int, dict[str, object]]:
        """Makes one request at a random entry; status 0 if it was not answered."""
        entry = self.random.choice(self.urls())
        url = f"{entry}/{record.pool}/{record.job}"
        sent_s = self.clock.wall()
        used: dict[str, bool] = {}
        try:
            async with session.request(
                method, url, json=body, headers=HOST_HEADER, trace_request_ctx=used
            ) as answer:
                return answer.status, await answer.json()
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            if is_cut(error):
                cut_s, held = self.clock.wall(), "held" in used
                cut = CutRequest(entry, record.job, method, sent_s, cut_s, held)
                self.cut.append(cut)
            return 0, {}

    async def submit(
        self, session: aiohttp.ClientSession, record: CallerRecord, body: object
    ) -> None:
        """Submits a job, at another entry after no answer or a refusal."""
        for _ in range(ATTEMPTS):
            status, _ = await self.request(session, "POST", record, body)
            self.outcomes[f"submit {status}"] += 1
            if status not in REFUSED:
                record.refused = False
            if status == SUCCESS:
                record.accepted = True
                return
            await self.clock.sleep(RETRY_S)

    async def cancel(
        self, session: aiohttp.ClientSession, record: CallerRecord
    ) -> None:
        """Cancels a job, until that is confirmed."""
        for _ in range(ATTEMPTS):
            status, _ = await self.request(session, "DELETE", record)
            if status == SUCCESS:
                record.cancelled_s = self.clock.now()
                return
            await self.clock.sleep(RETRY_S)

    async def follow(
        self, session: aiohttp.ClientSession, record: CallerRecord, started_s: float
    ) -> None:
        """Looks at a job until it has ended or patience has."""
        while self.clock.now() - started_s < self.plan.patience_s:
            status, answer = await self.request(session, "GET", record)
            if status == GONE:
                self.outcomes["shown as unknown"] += 1
            if status == SUCCESS:
                record.state = str(answer.get("state", ""))
                if record.state in {"completed", "failed", "cancelled"}:
                    self.end_ms.record_value(self.passed_ms(started_s))
                    return
            await self.clock.sleep(POLL_S)
        record.state = ""

    def table(self) -> list[str]:
        """Returns the outcomes and latencies as lines for people."""
        counts = sorted(self.outcomes.items())
        lines = [f"{name:24} {count:6}" for name, count in counts]
        for name, histogram in (("accepted", self.accept_ms), ("ended", self.end_ms)):
            values = (histogram.get_value_at_percentile(p) for p in PERCENTILES)
            figures = " ".join(f"{value:6}" for value in values)
            lines.append(f"{name + ' ms p50 p95 p99':24} {figures}")
        return lines


def is_cut(error: Exception) -> bool:
    """Returns whether a connection that stood ended before a whole answer."""
    if isinstance(error, aiohttp.ClientConnectorError | TimeoutError):
        return False
    return isinstance(error, aiohttp.ClientConnectionError | aiohttp.ClientPayloadError)


def trace_of_connections() -> aiohttp.TraceConfig:
    """Returns what notes whether a request got a connection that was held open."""

    async def note_held(
        _: aiohttp.ClientSession,
        context: types.SimpleNamespace,
        __: aiohttp.TraceConnectionReuseconnParams,
    ) -> None:
        context.trace_request_ctx["held"] = True

    trace = aiohttp.TraceConfig()
    trace.on_connection_reuseconn.append(note_held)
    return trace
