"""Fixtures shared by the tests of routing."""

import asyncio
import itertools
from collections import Counter

import pytest
from burdockthread_model.intended import ServiceSpec
from burdockthread_model.job import Job, JobState
from burdockthread_model.records import encode_record
from burdockthread_model.request import CallerRequest, RequestClass
from burdockthread_model.steps import Steps
from burdockthread_model.vm import VmListing, VmRecord, VmState, VmStatus
from burdockthread_peers.idempotency import KeyDecision, KeyOwnership, KeyState
from burdockthread_peers.static_permits import StaticPermits
from burdockthread_routing.admission import Admission
from burdockthread_routing.endpoint_choice import EndpointChooser
from burdockthread_routing.endpoint_client import (
    Attempt,
    Endpoint,
    EndpointAnswer,
    HttpEndpointClient,
    MemoryEndpointClient,
)
from burdockthread_routing.fleet_view import VM_PREFIX, FleetView
from burdockthread_routing.job_ledger import JobLedger, decode_jobs
from burdockthread_routing.router import Router
from burdockthread_routing.vm_directory import MemoryVmDirectory
from burdockthread_standins.endpoint import StandinEndpoint
from burdockthread_store.applied import AppliedConfiguration
from burdockthread_store.memory_store import MemoryStore
from burdockthread_store.prefix_cache import PrefixCache
from burdockthread_store.store import KeyValue

SERVICE = ServiceSpec("org/svc", "org", "org/pool", queue_limit=256, deadline_s=10.0)


def new_endpoint(vm, zone="here", region="region", port=1):
    return Endpoint(vm, "127.0.0.1", port, zone, SERVICE.pool, 1, region)


@pytest.fixture
def endpoint_named():
    return new_endpoint


@pytest.fixture
def service():
    return SERVICE


@pytest.fixture
def new_request(clock):
    numbers = itertools.count(1)

    def make(request_class="standard", team="", deadline_s=10.0, **fields):
        number = next(numbers)
        values = {
            "request_id": f"r{number}",
            "service": SERVICE.name,
            "organisation": SERVICE.organisation,
            "team": team,
            "request_class": RequestClass(request_class),
            "method": "POST",
            "path": "/order",
            "body": f"body-{number}".encode(),
            "content_type": "text/plain",
            "deadline_s": clock.now() + deadline_s,
            "idempotent": False,
        }
        return CallerRequest(**(values | fields))

    return make


class SlotPool:
    """Slots behind admission; each granted request holds its slot for `hold_s`."""

    def __init__(self, clock, slots, hold_s, weights):
        self.clock = clock
        self.free = slots
        self.hold_s = hold_s
        self.admission = Admission(
            clock,
            self.acquire,
            self.release,
            lambda org, team: weights.get(team),
            lambda service: slots,
        )
        self.served = Counter()
        self.refused = Counter()
        self.waits = {}
        self.tasks = []

    def acquire(self, service, avoided):
        if not self.free:
            return None
        self.free -= 1
        return new_endpoint("vm")

    def release(self, service, endpoint):
        self.free += 1
        self.admission.grant_free_slots(service)

    async def call(self, request):
        key = (request.request_class.value, request.team)
        started_s = self.clock.now()
        try:
            grant = await self.admission.enter(SERVICE, request)
        except Exception:
            self.refused[key] += 1
            raise
        self.waits.setdefault(key, []).append(self.clock.now() - started_s)
        try:
            await self.clock.sleep(self.hold_s)
            self.served[key] += 1
        finally:
            self.admission.leave(SERVICE, grant)
            self.release(SERVICE, grant.endpoint)

    async def offer(self, new_request, rate, seconds, request_class, team=""):
        for _ in range(round(rate * seconds)):
            request = new_request(request_class, team)
            self.tasks.append(asyncio.create_task(self.call(request)))
            await self.clock.sleep(1.0 / rate)


@pytest.fixture
def new_pool(clock):
    def make(slots=8, hold_s=0.1, weights=None):
        return SlotPool(clock, slots, hold_s, weights or {})

    return make


@pytest.fixture
async def vm():
    """One stand-in endpoint on a real socket."""
    endpoint = StandinEndpoint("vm-0", work_time_s=0.0)
    endpoint.pool = SERVICE.pool
    await endpoint.start("127.0.0.1")
    yield endpoint
    await endpoint.stop()


@pytest.fixture
async def client():
    endpoint_client = HttpEndpointClient(64)
    yield endpoint_client
    await endpoint_client.close()


@pytest.fixture
def new_attempt(vm):
    numbers = itertools.count(1)

    def make(body="", method="POST", timeout_s=5.0, max_answer_bytes=100_000):
        number = next(numbers)
        return Attempt(
            attempt_id=f"entry-1.{number}",
            endpoint=new_endpoint(vm.name, port=vm.port),
            organisation="org",
            method=method,
            path="/order?town=gangi",
            body=(body or f"body-{number}").encode(),
            content_type="text/plain",
            timeout_s=timeout_s,
            max_answer_bytes=max_answer_bytes,
        )

    return make


class RecordedKeys(KeyOwnership):
    """Permits every key and records the outcome of each."""

    def __init__(self):
        self.begun = []
        self.finished = []

    async def begin(self, organisation, key, fingerprint, deadline_s):
        self.begun.append(key)
        return KeyDecision(KeyState.RUN)

    async def finish(self, organisation, key, verdict, response):
        await asyncio.sleep(0)
        self.finished.append((key, verdict, response and response.body))


class EndpointScript:
    """Behaviour of the endpoint of each VM, set by a test."""

    def __init__(self):
        self.by_vm = {}
        self.in_flight = Counter()
        self.highest = 0

    async def __call__(self, attempt):
        vm = attempt.endpoint.vm
        self.in_flight[vm] += 1
        self.highest = max(self.highest, self.in_flight[vm])
        try:
            behave = self.by_vm.get(vm, answer_ok)
            return await behave(attempt)
        finally:
            self.in_flight[vm] -= 1


async def answer_ok(attempt):
    return EndpointAnswer(200, attempt.body, "text/plain")


@pytest.fixture
def script():
    return EndpointScript()


@pytest.fixture
def view(clock, store, log):
    cache = PrefixCache(store, VM_PREFIX, clock)
    applied = AppliedConfiguration(log)
    fleet_view = FleetView(applied, cache, MemoryVmDirectory(), clock, log)
    fleet_view.services[SERVICE.name] = SERVICE
    return fleet_view


@pytest.fixture
def add_vm(view):
    def add(name, zone="here", region="region", port=1):
        listing = VmListing(
            name, "127.0.0.1", port, zone, region, "rack", 4, 8, 0, VmStatus.LIVE, "b1"
        )
        record = VmRecord(name, SERVICE.pool, VmState.SERVING, 1)
        view.on_record(f"vm/{name}", KeyValue(f"vm/{name}", encode_record(record), 1))
        view.on_listings((*view.listings.values(), listing))
        return listing

    return add


@pytest.fixture
def keys():
    return RecordedKeys()


@pytest.fixture
def new_router(view, clock, metrics, log, keys):
    def make(endpoint_client):
        permits = StaticPermits("entry-1", ["entry-1"], lambda service: SERVICE.slots)
        chooser = EndpointChooser("here", permits, clock, "region", seed=1)
        return Router(
            "entry-1",
            view,
            chooser,
            endpoint_client,
            keys,
            clock,
            metrics,
            log,
            Steps(),
        )

    return make


@pytest.fixture
def router(new_router, script):
    return new_router(MemoryEndpointClient(script))


class SlowStore(MemoryStore):
    """A store whose writes take time, can fail, and are counted.

    Attributes:
        write_time_s: Time of one write.
        error: What the next writes raise after that time, or None.
        writes: Changes of each write that was tried.
    """

    def __init__(self, clock):
        super().__init__(clock)
        self.write_time_s = 0.0
        self.error = None
        self.writes = []

    async def write(self, changes, guards=()):
        self.writes.append(changes)
        await self.clock.sleep(self.write_time_s)
        if self.error is not None:
            raise self.error
        return await super().write(changes, guards)


@pytest.fixture
def slow_store(clock):
    return SlowStore(clock)


@pytest.fixture
async def ledger(slow_store, clock):
    job_ledger = JobLedger(slow_store, clock, Steps())
    running = asyncio.create_task(job_ledger.run())
    yield job_ledger
    running.cancel()


@pytest.fixture
def new_job():
    numbers = itertools.count(1)

    def make(payload="", service="org/svc"):
        return Job(
            f"job-{next(numbers)}",
            service,
            "org",
            "",
            RequestClass.DEFERRED,
            1.0,
            1.0,
            0,
            60.0,
            False,
            JobState.QUEUED,
            payload=payload,
        )

    return make


@pytest.fixture
async def recorded(slow_store):
    async def read():
        listing = await slow_store.list("job/")
        return [job for item in listing.items for job in decode_jobs(item.value)]

    return read
