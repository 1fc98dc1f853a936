"""Measures a flood from callers through a router to endpoints on real sockets."""

import asyncio
import random
from collections import Counter, defaultdict

from burdockthread_model.errors import RequestError
from burdockthread_model.request import CallerRequest, RequestClass
from burdockthread_standins.endpoint import StandinEndpoint

from burdockthread.bench_flood import (
    FLOOD_FACTOR,
    KEPT_GOODPUT,
    MEAN_OF_FLOODING_QUEUE,
    SHARE_OF_CAPACITY,
    URGENT_START_S,
)
from burdockthread.bench_rig import (
    EXECUTORS,
    SERVICE,
    SITES,
    Rig,
    SiteSize,
    running_rig,
)
from burdockthread.measures import Measure, at_least, at_most

WORK_TIME_S = 0.3
FLOOD_S = 4.0
CALLER_DEADLINE_S = 10.0
FLOODS = {"trinacria": "urgent", "kloofsig": "deferred"}


class SocketFlood:
    """Sends the requests of each class at its rate and counts the answers.

    Attributes:
        offered: Requests sent, by class.
        answered: Requests answered before their deadline, by class.
    """

    def __init__(self, rig: Rig, flood: str, seed: int) -> None:
        self.rig = rig
        self.flood = flood
        self.seed = seed
        self.offered: Counter[str] = Counter()
        self.answered: Counter[str] = Counter()
        self.sent_s: dict[str, tuple[str, float]] = {}

    def share(self, name: str) -> float:
        """Returns the request rate of a class as a share of the capacity."""
        if name == self.flood:
            return FLOOD_FACTOR * MEAN_OF_FLOODING_QUEUE
        return SHARE_OF_CAPACITY[name]

    async def send(self, name: str) -> None:
        """Sends the requests of one class and waits until all have ended."""
        draw = random.Random(f"{self.seed} {name}")
        rate = self.share(name) * EXECUTORS * SERVICE.slots / WORK_TIME_S
        calls = []
        end_s = self.rig.clock.now() + FLOOD_S
        while self.rig.clock.now() < end_s:
            request = self.new_request(name)
            calls.append(asyncio.create_task(self.call(name, request)))
            await asyncio.sleep(draw.expovariate(rate))
        await asyncio.gather(*calls)

    def new_request(self, name: str) -> CallerRequest:
        """Returns a request of a class and records when it is sent."""
        now_s = self.rig.clock.now()
        request = self.rig.new_request(idempotent=False)
        self.sent_s[request.body.decode()] = (name, self.rig.clock.wall())
        return request._replace(
            request_class=RequestClass(name), deadline_s=now_s + CALLER_DEADLINE_S
        )

    async def call(self, name: str, request: CallerRequest) -> None:
        """Sends one request and counts it if answered."""
        self.offered[name] += 1
        try:
            await self.rig.routers[0].handle(request)
        except RequestError:
            return
        self.answered[name] += 1

    def longest_start_s(self, endpoints: list[StandinEndpoint]) -> dict[str, float]:
        """Returns the longest time from sending to start at an endpoint, by class."""
        longest: defaultdict[str, float] = defaultdict(float)
        for endpoint in endpoints:
            for run in endpoint.runs:
                name, sent_s = self.sent_s[run.body]
                longest[name] = max(longest[name], run.time_s - sent_s)
        return longest


async def measure_site(size: SiteSize, seed: int) -> list[Measure]:
    """Measures a flood of the site's class in `FLOODS`."""
    flood = FLOODS[size.name]
    async with running_rig(size._replace(work_time_s=WORK_TIME_S), 1, seed) as rig:
        run = SocketFlood(rig, flood, seed)
        await asyncio.gather(*(run.send(name) for name in SHARE_OF_CAPACITY))
        longest = run.longest_start_s(rig.endpoints)
        highest = rig.highest_in_flight()
    prefix = f"socket_flood_{flood}"
    found = [
        at_least(
            f"{prefix}.{name}.kept",
            size.name,
            run.answered[name] / run.offered[name],
            "share",
            KEPT_GOODPUT,
            None,
        )
        for name in SHARE_OF_CAPACITY
        if name != flood
    ]
    found.append(
        at_most(
            f"{prefix}.urgent.longest_start",
            size.name,
            longest["urgent"],
            "s",
            URGENT_START_S,
            None,
        )
    )
    found.append(
        at_most(
            f"{prefix}.highest_in_flight",
            size.name,
            highest,
            "requests",
            SERVICE.slots,
            None,
        )
    )
    return found


async def measures(seed: int) -> list[Measure]:
    """Measures a flood at both sites."""
    found = []
    for size in SITES:
        found.extend(await measure_site(size, seed))
    return found
