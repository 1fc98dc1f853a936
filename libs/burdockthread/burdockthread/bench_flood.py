"""Measures the goodput of other work during a flood, with a simulated clock."""

import asyncio
import random
import time
from collections import Counter, defaultdict, deque
from collections.abc import Collection, Coroutine
from contextlib import suppress
from typing import Any, NamedTuple

from burdockthread_model.clock import MemoryClock, settle
from burdockthread_model.errors import OverloadedError
from burdockthread_model.intended import ServiceSpec
from burdockthread_model.request import CallerRequest, RequestClass
from burdockthread_routing.admission import Admission
from burdockthread_routing.endpoint_client import Endpoint
from hdrh.histogram import HdrHistogram

from burdockthread.measures import Measure, at_least, at_most

SLOTS = 12
FLOOD_S = 8.0
QUIET_S = 3.0
URGENT_START_S = 7.1
KEPT_GOODPUT = 0.99
FLOOD_FACTOR = 5
MEAN_OF_FLOODING_QUEUE = 0.25
BETWEEN_FLOODS = 1 / 20
SHARE_OF_CAPACITY = {"urgent": 0.4, "standard": 0.2, "deferred": 0.08}
MODEST_TEAM_SHARE = 0.1
TEAM_WEIGHTS = {"flooding": 1.0, "modest": 1.0}
TEAM_COUNTS = (1, 12, 47)
ARRIVALS = 5_000
HIGHEST_US = 60_000_000
US_PER_S = 1_000_000


class Site(NamedTuple):
    """A site and the mean time in seconds that a request holds a slot."""

    name: str
    hold_s: float


SITES = (Site("trinacria", 0.2), Site("kloofsig", 0.1))


class Source(NamedTuple):
    """Callers that send requests of one class and team.

    Attributes:
        request_class: Class of the requests.
        team: Team of the callers.
        share: Request rate during the flood, as a share of the capacity.
        quiet_share: Request rate before and after the flood, as a share too.
    """

    request_class: str
    team: str
    share: float
    quiet_share: float


class Outcomes:
    """Answered requests and waiting times of a run, by class and team."""

    def __init__(self) -> None:
        self.answered: Counter[tuple[str, str]] = Counter()
        self.waits: dict[tuple[str, str], HdrHistogram] = {}
        self.longest_s: defaultdict[tuple[str, str], float] = defaultdict(float)

    def record_answer(self, key: tuple[str, str], wait_s: float) -> None:
        """Records a request that was answered before its deadline."""
        self.answered[key] += 1
        histogram = self.waits.setdefault(key, HdrHistogram(1, HIGHEST_US, 3))
        histogram.record_value(max(int(wait_s * US_PER_S), 1))

    def record_start(self, key: tuple[str, str], wait_s: float) -> None:
        """Records the seconds that a request waited for a slot."""
        self.longest_s[key] = max(self.longest_s[key], wait_s)

    def percentile_ms(self, key: tuple[str, str], percentile: float) -> float:
        """Returns a percentile of the waiting times in milliseconds."""
        histogram = self.waits.get(key)
        return (
            0.0
            if histogram is None
            else histogram.get_value_at_percentile(percentile) / 1000.0
        )


class FairSlots:
    """Slots granted by the router's admission control."""

    def __init__(self, clock: MemoryClock, service: ServiceSpec) -> None:
        self.clock = clock
        self.service = service
        self.free = SLOTS
        self.admission = Admission(
            clock, self.acquire, self.release, lambda _, team: TEAM_WEIGHTS.get(team)
        )

    def acquire(
        self, service: ServiceSpec, avoided: Collection[str]
    ) -> Endpoint | None:
        """Acquires a slot; returns None if none is free."""
        if not self.free:
            return None
        self.free -= 1
        return Endpoint("vm", "127.0.0.1", 1, "zone", service.pool, 1)

    def release(self, service: ServiceSpec, endpoint: Endpoint) -> None:
        """Releases a slot and grants free slots to waiting requests."""
        self.free += 1
        self.admission.grant_free_slots(service)

    async def use(self, request: CallerRequest, hold_s: float) -> None:
        """Waits for a slot, holds it for some seconds and releases it."""
        grant = await self.admission.enter(self.service, request)
        await self.clock.sleep(hold_s)
        self.admission.leave(self.service, grant)
        self.release(self.service, grant.endpoint)


class FirstComeSlots:
    """Baseline: slots behind one bounded first-come, first-served queue."""

    def __init__(self, clock: MemoryClock, service: ServiceSpec) -> None:
        self.clock = clock
        self.service = service
        self.free = SLOTS
        self.queue: deque[asyncio.Future[None]] = deque()

    async def use(self, request: CallerRequest, hold_s: float) -> None:
        """Waits for a slot, holds it for some seconds and releases it."""
        if not self.free:
            if len(self.queue) >= self.service.queue_limit:
                raise OverloadedError(
                    f"queue is full: {self.service.queue_limit} requests are waiting"
                )
            turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
            self.queue.append(turn)
            await turn
        else:
            self.free -= 1
        await self.clock.sleep(hold_s)
        if self.queue:
            self.queue.popleft().set_result(None)
        else:
            self.free += 1


Slots = FairSlots | FirstComeSlots


class FloodRun:
    """One run: a quiet period, a flood, a quiet period."""

    def __init__(self, site: Site, slots: type[Slots], seed: int) -> None:
        self.site = site
        self.clock = MemoryClock()
        self.service = ServiceSpec("org/svc", "org", "org/pool", deadline_s=10.0)
        self.slots = slots(self.clock, self.service)
        self.seed = seed
        self.outcomes = Outcomes()
        self.calls: list[asyncio.Task[None]] = []

    async def call(self, source: Source, hold_s: float) -> None:
        """Sends one request and records its outcome; refusals are not recorded."""
        key = (source.request_class, source.team)
        started_s = self.clock.now()
        request = self.new_request(source, started_s)
        try:
            await self.slots.use(request, hold_s)
        except OverloadedError:
            return
        taken_s = self.clock.now() - started_s
        self.outcomes.record_start(key, taken_s - hold_s)
        if taken_s <= self.service.deadline_s:
            self.outcomes.record_answer(key, taken_s - hold_s)

    def new_request(self, source: Source, now_s: float) -> CallerRequest:
        """Returns a request of a source's class and team."""
        return CallerRequest(
            request_id="",
            service=self.service.name,
            organisation=self.service.organisation,
            team=source.team,
            request_class=RequestClass(source.request_class),
            method="POST",
            path="/",
            body=b"",
            content_type="",
            deadline_s=now_s + self.service.deadline_s,
            idempotent=False,
        )

    async def send(self, source: Source) -> None:
        """Sends the requests of one source at random intervals."""
        # A generator for each source keeps the other sources' requests identical in
        # runs with and without a flood.
        draw = random.Random(f"{self.seed} {source.request_class} {source.team}")
        capacity = SLOTS / self.site.hold_s
        start_s = self.clock.now()
        while (elapsed_s := self.clock.now() - start_s) < FLOOD_S + 2 * QUIET_S:
            flooding = QUIET_S <= elapsed_s < QUIET_S + FLOOD_S
            share = source.share if flooding else source.quiet_share
            hold_s = draw.uniform(0.5, 1.5) * self.site.hold_s
            self.calls.append(asyncio.create_task(self.call(source, hold_s)))
            await self.clock.sleep(draw.expovariate(share * capacity))

    async def run(self, sources: Collection[Source]) -> Outcomes:
        """Runs all sources until every request has ended."""
        work: list[Coroutine[Any, Any, None]] = [self.send(s) for s in sources]
        senders = [asyncio.create_task(item) for item in work]
        await self.clock.advance(FLOOD_S + 2 * QUIET_S + 30.0)
        await asyncio.gather(*senders, *self.calls)
        return self.outcomes


def class_sources(flood: str, factor: float) -> list[Source]:
    """Returns one source for each class, one of which floods."""
    sources = []
    for name, share in SHARE_OF_CAPACITY.items():
        if name == flood:
            mean = MEAN_OF_FLOODING_QUEUE
            sources.append(Source(name, "", factor * mean, BETWEEN_FLOODS * mean))
        else:
            sources.append(Source(name, "", share, share))
    return sources


def team_sources(factor: float) -> list[Source]:
    """Returns a team that floods and a team with a modest rate."""
    mean = MEAN_OF_FLOODING_QUEUE
    modest = MODEST_TEAM_SHARE
    return [
        Source("standard", "flooding", factor * mean, BETWEEN_FLOODS * mean),
        Source("standard", "modest", modest, modest),
    ]


class Comparison(NamedTuple):
    """Outcomes of the same load with and without a flood."""

    flooded: Outcomes
    quiet: Outcomes

    def kept(self, key: tuple[str, str]) -> float:
        """Returns the goodput with the flood as a share of that without it."""
        return self.flooded.answered[key] / max(self.quiet.answered[key], 1)


async def compare(site: Site, slots: type[Slots], flood: str, seed: int) -> Comparison:
    """Runs the load with a flood of a class or team, and without the flood."""
    outcomes = []
    for factor in (FLOOD_FACTOR, BETWEEN_FLOODS):
        of_team = flood == "team"
        sources = team_sources(factor) if of_team else class_sources(flood, factor)
        run = FloodRun(site, slots, seed)
        outcomes.append(await run.run(sources))
    return Comparison(*outcomes)


async def measure_flood(site: Site, flood: str, seed: int) -> list[Measure]:
    """Measures one flood against the first-come baseline."""
    ours = await compare(site, FairSlots, flood, seed)
    base = await compare(site, FirstComeSlots, flood, seed)
    found = []
    for key in sorted(ours.quiet.answered):
        name = f"flood_{flood}.{'.'.join(part for part in key if part)}"
        if flood not in key and key[1] != "flooding":
            kept, base_kept = ours.kept(key), base.kept(key)
            found.append(
                at_least(
                    f"{name}.kept", site.name, kept, "share", KEPT_GOODPUT, base_kept
                )
            )
        for percentile in (50, 99):
            value = ours.flooded.percentile_ms(key, percentile)
            baseline = base.flooded.percentile_ms(key, percentile)
            label = f"{name}.wait_p{percentile}"
            found.append(Measure(label, site.name, value, "ms", baseline))
    if flood != "team":
        urgent = ("urgent", "")
        found.append(
            at_most(
                f"flood_{flood}.urgent.longest_start",
                site.name,
                ours.flooded.longest_s[urgent],
                "s",
                URGENT_START_S,
                base.flooded.longest_s[urgent],
            )
        )
    return found


async def arrival_us(teams: int) -> float:
    """Returns the time to refuse a request when a flood has filled the queue.

    Args:
        teams: Number of teams that flood.

    Returns:
        Microseconds for each request refused.
    """
    clock = MemoryClock()
    service = ServiceSpec("org/svc", "org", "org/pool")
    slots = FairSlots(clock, service)
    slots.free = 0
    admission = Admission(clock, slots.acquire, slots.release, lambda *_: 1.0)
    run = FloodRun(SITES[0], FairSlots, 0)
    names = [f"team-{number}" for number in range(teams)]
    requests = [
        run.new_request(Source("deferred", name, 1.0, 1.0), clock.now())
        for name in names
    ]
    waiting = [
        asyncio.create_task(admission.enter(service, requests[number % teams]))
        for number in range(2 * service.queue_limit)
    ]
    await settle()
    started_s = time.perf_counter()
    for number in range(ARRIVALS):
        with suppress(OverloadedError):
            await admission.enter(service, requests[number % teams])
    elapsed_s = time.perf_counter() - started_s
    for task in waiting:
        task.cancel()
    await asyncio.gather(*waiting, return_exceptions=True)
    return elapsed_s / ARRIVALS * US_PER_S


async def measures(seed: int) -> list[Measure]:
    """Measures floods of each class and of a team at both sites, and refusals."""
    found = []
    for site in SITES:
        for flood in ("deferred", "standard", "urgent", "team"):
            found.extend(await measure_flood(site, flood, seed))
    for teams in TEAM_COUNTS:
        value = await arrival_us(teams)
        found.append(Measure(f"flood.refusal_teams_{teams}", "target", value, "us"))
    return found
