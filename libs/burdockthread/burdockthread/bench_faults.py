"""Measures verdicts, slots and draining endpoints over real sockets."""

import asyncio
import itertools
import json
import random
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import NamedTuple

import aiohttp
from burdockthread_model.errors import RequestError
from burdockthread_model.request import CallerRequest
from burdockthread_model.verdict import Verdict
from burdockthread_routing.endpoint_client import (
    ATTEMPT_HEADER,
    GENERATION_HEADER,
    POOL_HEADER,
)
from burdockthread_standins.endpoint_faults import Fault, FaultKind

from burdockthread.bench_rig import SERVICE, SITES, Rig, SiteSize, running_rig
from burdockthread.measures import Measure, at_most

ENTRIES = 3
CALLERS = 48
REQUESTS = 10_000
BASELINE_REQUESTS = 1_000
FAULT_SHARE = 0.003
IDEMPOTENT_SHARE = 0.5
MAX_SLOTS = 8
LEAVING_TARGET_S = 3.0
LEAVING_RUN_S = 1.5
SETTLE_S = 1.0
LARGE_ANSWER_BYTES = 5 * 1_048_576
LARGE_ANSWERS = 3
BASELINE_TRIES = 3
REFUSING_S = 0.1
ACCEPTING_S = 3.0
FAULTS = (
    FaultKind.DROP,
    FaultKind.DROP_UNREAD,
    FaultKind.CUT,
    FaultKind.CROSSED,
    FaultKind.NO_ID,
    FaultKind.DUPLICATE,
    FaultKind.LATE_DUPLICATE,
    FaultKind.LONG,
    FaultKind.NO_LENGTH,
    FaultKind.REDIRECT,
    FaultKind.ERROR,
)


class Outcome(NamedTuple):
    """Response that a caller got to its request."""

    body: str
    idempotent: bool
    status: int
    verdict: Verdict
    answer: bytes


class Audit(NamedTuple):
    """Verdicts given to callers, compared with the runs at the endpoints.

    Attributes:
        not_run_that_ran: Requests with verdict not_run that an endpoint ran.
        doubled: Non-idempotent requests run more than once.
        crossed: Answers that belonged to another request or were truncated.
        unknown: Requests with verdict unknown.
        told_not_run: Requests with verdict not_run.
        answered: Requests answered with status 200.
    """

    not_run_that_ran: int
    doubled: int
    crossed: int
    unknown: int
    told_not_run: int
    answered: int


def all_faults() -> list[Fault]:
    """Returns the faults that every endpoint injects."""
    faults = [Fault(kind, delay_s=0.02, share=FAULT_SHARE) for kind in FAULTS]
    faults.append(Fault(FaultKind.LATE, delay_s=2.5, share=FAULT_SHARE))
    faults.append(
        Fault(
            FaultKind.OVERSIZED,
            size_bytes=LARGE_ANSWER_BYTES,
            share=FAULT_SHARE,
            limit=LARGE_ANSWERS,
        )
    )
    return faults


@asynccontextmanager
async def playing_faults(rig: Rig) -> AsyncIterator[None]:
    """Injects all faults within the block; endpoints refuse connections in turn."""
    for endpoint in rig.endpoints:
        await endpoint.set_faults(*all_faults())
    task = asyncio.create_task(refuse_in_turn(rig))
    try:
        yield
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


async def refuse_in_turn(rig: Rig) -> None:
    """Lets one endpoint after the other refuse connections for `REFUSING_S`."""
    for endpoint in itertools.cycle(rig.endpoints):
        await asyncio.sleep(ACCEPTING_S)
        await endpoint.set_faults(*all_faults(), Fault(FaultKind.REFUSE))
        await asyncio.sleep(REFUSING_S)
        await endpoint.set_faults(*all_faults())


async def ask(rig: Rig, request: CallerRequest) -> Outcome:
    """Sends a request through the entry chosen by the request's number."""
    body = request.body.decode()
    number = int(body.rpartition("-")[2])
    router = rig.routers[number % len(rig.routers)]
    try:
        response = await router.handle(request)
    except RequestError as error:
        return Outcome(body, request.idempotent, error.status, error.verdict, b"")
    return Outcome(
        body, request.idempotent, response.status, response.verdict, response.body
    )


async def send_requests(
    rig: Rig, requests: int, callers: int, seed: int
) -> list[Outcome]:
    """Sends requests from a number of concurrent callers."""
    draw = random.Random(seed)
    left = itertools.count(requests, -1)
    outcomes: list[Outcome] = []

    async def caller() -> None:
        while next(left) > 0:
            idempotent = draw.random() < IDEMPOTENT_SHARE
            outcomes.append(await ask(rig, rig.new_request(idempotent=idempotent)))

    await asyncio.gather(*(caller() for _ in range(callers)))
    return outcomes


def audit(outcomes: list[Outcome], runs: Counter[str]) -> Audit:
    """Compares the verdicts given to callers with the runs at the endpoints."""
    told = [e for e in outcomes if e.verdict is Verdict.NOT_RUN]
    unknown = [e for e in outcomes if e.verdict is Verdict.UNKNOWN]
    once = [e for e in outcomes if not e.idempotent]
    whole = [e for e in outcomes if e.status == 200]
    return Audit(
        not_run_that_ran=sum(runs[e.body] > 0 for e in told),
        doubled=sum(runs[e.body] > 1 for e in once),
        crossed=sum(echo_of(e.answer) != e.body for e in whole),
        unknown=len(unknown),
        told_not_run=len(told),
        answered=len(whole),
    )


def echo_of(answer: bytes) -> str:
    """Returns the request body echoed by an answer, or an empty string."""
    try:
        return str(json.loads(answer)["echo"])
    except (ValueError, KeyError, TypeError):
        return ""


class NaiveCaller:
    """Baseline: round robin, retries every failure, then reports not_run."""

    def __init__(self, rig: Rig, session: aiohttp.ClientSession) -> None:
        self.rig = rig
        self.session = session
        self.turn = itertools.cycle(rig.endpoints)

    async def ask(self, request: CallerRequest) -> Outcome:
        """Sends a request, up to `BASELINE_TRIES` times."""
        body = request.body.decode()
        headers = {
            POOL_HEADER: SERVICE.pool,
            GENERATION_HEADER: "1",
            ATTEMPT_HEADER: request.request_id,
        }
        for _ in range(BASELINE_TRIES):
            url = f"http://127.0.0.1:{next(self.turn).port}{request.path}"
            try:
                async with self.session.request(
                    request.method,
                    url,
                    data=request.body,
                    headers=headers,
                    allow_redirects=False,
                ) as answer:
                    data = await answer.read()
                    if answer.status < 500:
                        return self.outcome(request, answer.status, data)
            except (aiohttp.ClientError, TimeoutError):
                continue
        return Outcome(body, request.idempotent, 502, Verdict.NOT_RUN, b"")

    def outcome(self, request: CallerRequest, status: int, data: bytes) -> Outcome:
        """Returns the outcome of an answered request."""
        body = request.body.decode()
        return Outcome(body, request.idempotent, status, Verdict.RAN, data)


async def run_baseline(size: SiteSize, seed: int) -> tuple[Audit, int]:
    """Returns the baseline's audit and its most requests in flight per endpoint."""
    timeout = aiohttp.ClientTimeout(total=SERVICE.deadline_s)
    draw = random.Random(seed)
    async with (
        running_rig(size, 0, seed) as rig,
        aiohttp.ClientSession(timeout=timeout) as session,
    ):
        naive = NaiveCaller(rig, session)
        left = itertools.count(BASELINE_REQUESTS, -1)
        outcomes: list[Outcome] = []

        async def caller() -> None:
            while next(left) > 0:
                idempotent = draw.random() < IDEMPOTENT_SHARE
                request = rig.new_request(idempotent=idempotent)
                outcomes.append(await naive.ask(request))

        async with playing_faults(rig):
            await asyncio.gather(*(caller() for _ in range(2 * CALLERS)))
        await asyncio.sleep(SETTLE_S)
        return audit(outcomes, rig.runs()), rig.highest_in_flight()


async def measure_faults(size: SiteSize, seed: int) -> list[Measure]:
    """Measures verdicts and slot limits while endpoints inject faults."""
    base, base_highest = await run_baseline(size, seed)
    scale = REQUESTS / BASELINE_REQUESTS
    async with running_rig(size, ENTRIES, seed) as rig:
        async with playing_faults(rig):
            outcomes = await send_requests(rig, REQUESTS, CALLERS, seed)
        await asyncio.sleep(SETTLE_S)
        found = audit(outcomes, rig.runs())
        highest = rig.highest_in_flight()
        connections = max(e.highest_connections for e in rig.endpoints)
        hits = sum(endpoint.switch.total_hits for endpoint in rig.endpoints)
    return [
        at_most(name, size.name, value, "requests", 0, scale * baseline)
        for name, value, baseline in (
            (
                "faults.not_run_that_ran",
                found.not_run_that_ran,
                base.not_run_that_ran,
            ),
            ("faults.doubled", found.doubled, base.doubled),
            ("faults.crossed", found.crossed, base.crossed),
        )
    ] + [
        Measure("faults.requests", size.name, len(outcomes), "requests"),
        Measure("faults.injected", size.name, hits, "faults"),
        Measure("faults.answered", size.name, found.answered, "requests"),
        Measure("faults.unknown", size.name, found.unknown, "requests"),
        Measure("faults.told_not_run", size.name, found.told_not_run, "requests"),
        at_most(
            "slots.highest_in_flight",
            size.name,
            highest,
            "requests",
            MAX_SLOTS,
            base_highest,
        ),
        at_most("slots.connections", size.name, connections, "connections", 64, None),
    ]


async def measure_leaving(size: SiteSize, seed: int) -> list[Measure]:
    """Measures how long an endpoint gets new requests after it starts to drain."""
    async with running_rig(size, ENTRIES, seed) as rig:
        leaving = rig.endpoints[0]
        load = asyncio.create_task(send_requests(rig, 1_000_000, CALLERS, seed))
        await asyncio.sleep(LEAVING_RUN_S / 3)
        leaving.drain()
        await asyncio.sleep(LEAVING_RUN_S)
        load.cancel()
        await asyncio.gather(load, return_exceptions=True)
        last_s = max(leaving.last_arrival_s - leaving.draining_since_s, 0.0)
        refused = leaving.refused["draining"]
    return [
        at_most("leaving.last_request", size.name, last_s, "s", LEAVING_TARGET_S, None),
        Measure("leaving.refused_requests", size.name, refused, "requests"),
    ]


async def measures(seed: int) -> list[Measure]:
    """Measures faults and draining at both sites."""
    found = []
    for size in SITES:
        found.extend(await measure_faults(size, seed))
        found.extend(await measure_leaving(size, seed))
    return found
