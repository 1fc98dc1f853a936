"""Stand-in endpoints on loopback and routers for the benchmarks."""

import asyncio
import itertools
from collections import Counter
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from typing import NamedTuple

from burdockthread_model.clock import SystemClock
from burdockthread_model.events import EventLog
from burdockthread_model.intended import ServiceSpec
from burdockthread_model.metrics import MemoryMetrics
from burdockthread_model.records import encode_record
from burdockthread_model.request import CallerRequest, CallerResponse, RequestClass
from burdockthread_model.steps import Steps
from burdockthread_model.verdict import Verdict
from burdockthread_model.vm import VmListing, VmRecord, VmState, VmStatus
from burdockthread_peers.idempotency import KeyDecision, KeyOwnership, KeyState
from burdockthread_peers.static_permits import StaticPermits
from burdockthread_routing.endpoint_choice import EndpointChooser
from burdockthread_routing.endpoint_client import HttpEndpointClient
from burdockthread_routing.fleet_view import VM_PREFIX, FleetView
from burdockthread_routing.router import Router
from burdockthread_routing.vm_directory import MemoryVmDirectory
from burdockthread_standins.endpoint import StandinEndpoint
from burdockthread_store.applied import AppliedConfiguration
from burdockthread_store.memory_store import MemoryStore
from burdockthread_store.prefix_cache import PrefixCache
from burdockthread_store.store import KeyValue

LOOPBACK = "127.0.0.1"
EXECUTORS = 6
CONNECTIONS = 64
SERVICE = ServiceSpec("org/svc", "org", "org/pool", deadline_s=2.0)


class SiteSize(NamedTuple):
    """Zones and endpoint speed of a measured site.

    Attributes:
        name: Name of the site.
        zones: Availability zones.
        work_time_s: Seconds that an endpoint takes to process a request.
    """

    name: str
    zones: tuple[str, ...]
    work_time_s: float


SITES = (
    SiteSize("trinacria", ("palermo", "catania", "trapani"), 0.004),
    SiteSize("kloofsig", ("johannesburg", "pretoria", "centurion"), 0.002),
)


class QuietLog(EventLog):
    """Discards events, so that the output contains only measures."""

    def info(self, name: str, **fields: object) -> None:
        """Discards an event."""

    def warning(self, name: str, **fields: object) -> None:
        """Discards an event."""

    def error(self, name: str, **fields: object) -> None:
        """Does nothing."""


class UnownedKeys(KeyOwnership):
    """Permits every request; the benchmarks never send a key twice."""

    async def begin(
        self, organisation: str, key: str, fingerprint: str, deadline_s: float
    ) -> KeyDecision:
        """Returns a decision that permits the request."""
        return KeyDecision(KeyState.RUN)

    async def finish(
        self,
        organisation: str,
        key: str,
        verdict: Verdict,
        response: CallerResponse | None,
    ) -> None:
        """Does nothing."""


class Rig:
    """Endpoints of one service and the routers of the entries.

    Attributes:
        endpoints: Stand-in endpoints on real sockets.
        routers: One router for each entry.
    """

    def __init__(self, size: SiteSize, seed: int) -> None:
        self.size = size
        self.seed = seed
        self.clock = SystemClock()
        self.log = QuietLog("bench")
        self.metrics = MemoryMetrics()
        self.endpoints: list[StandinEndpoint] = []
        self.routers: list[Router] = []
        self.numbers = itertools.count(1)

    async def add_endpoints(self) -> None:
        """Starts `EXECUTORS` stand-in endpoints on loopback."""
        for number in range(EXECUTORS):
            name = f"{self.size.name}-{number}"
            endpoint = StandinEndpoint(
                name, self.size.work_time_s, seed=self.seed + number
            )
            endpoint.pool = SERVICE.pool
            await endpoint.start(LOOPBACK)
            self.endpoints.append(endpoint)

    def add_router(self, name: str, names: Sequence[str], zone: str) -> Router:
        """Adds the router of one entry, with its static share of the slots."""
        view = self.new_view()
        permits = StaticPermits(name, names, lambda service: SERVICE.slots)
        router = Router(
            name,
            view,
            EndpointChooser(zone, permits, self.clock, self.size.name, self.seed),
            HttpEndpointClient(CONNECTIONS // len(names)),
            UnownedKeys(),
            self.clock,
            self.metrics,
            self.log,
            Steps(),
        )
        self.routers.append(router)
        return router

    def new_view(self) -> FleetView:
        """Returns a fleet view in which all endpoints are in service."""
        cache = PrefixCache(MemoryStore(self.clock), VM_PREFIX, self.clock)
        applied = AppliedConfiguration(self.log)
        view = FleetView(applied, cache, MemoryVmDirectory(), self.clock, self.log)
        view.services[SERVICE.name] = SERVICE
        for endpoint in self.endpoints:
            record = VmRecord(endpoint.name, SERVICE.pool, VmState.SERVING, 1)
            key = VM_PREFIX + endpoint.name
            view.on_record(key, KeyValue(key, encode_record(record), 1))
        view.on_listings(self.listings())
        return view

    def listings(self) -> tuple[VmListing, ...]:
        """Returns the endpoints as the platform's VM list."""
        return tuple(
            VmListing(
                name=endpoint.name,
                host=LOOPBACK,
                port=endpoint.port,
                availability_zone=self.size.zones[number % len(self.size.zones)],
                region=self.size.name,
                rack="rack",
                cores=64,
                memory_gb=128,
                accelerators=0,
                status=VmStatus.LIVE,
                boot_id="boot",
            )
            for number, endpoint in enumerate(self.endpoints)
        )

    def new_request(self, *, idempotent: bool) -> CallerRequest:
        """Returns a request with a unique body."""
        number = next(self.numbers)
        return CallerRequest(
            request_id=f"bench-{number}",
            service=SERVICE.name,
            organisation=SERVICE.organisation,
            team="",
            request_class=RequestClass.STANDARD,
            method="PUT" if idempotent else "POST",
            path="/order",
            body=f"body-{number}".encode(),
            content_type="text/plain",
            deadline_s=self.clock.now() + SERVICE.deadline_s,
            idempotent=idempotent,
        )

    def runs(self) -> Counter[str]:
        """Returns the number of runs of each request body."""
        return Counter(run.body for e in self.endpoints for run in e.runs)

    def highest_in_flight(self) -> int:
        """Returns the most requests that were in flight at one endpoint at once."""
        return max(endpoint.highest_in_flight for endpoint in self.endpoints)


@asynccontextmanager
async def running_rig(size: SiteSize, entries: int, seed: int) -> AsyncIterator[Rig]:
    """Runs the endpoints and a router for each entry within the block."""
    rig = Rig(size, seed)
    await rig.add_endpoints()
    names = [f"entry-{number}" for number in range(entries)]
    for number, name in enumerate(names):
        rig.add_router(name, names, size.zones[number % len(size.zones)])
    tasks = [asyncio.create_task(router.run()) for router in rig.routers]
    try:
        yield rig
    finally:
        for task in tasks:
            task.cancel()
        for router in rig.routers:
            await router.client.close()
        for endpoint in rig.endpoints:
            await endpoint.stop()
