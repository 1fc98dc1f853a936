"""Fixtures shared by the tests of routing."""

import asyncio
import itertools
from collections import Counter

import pytest
from burdockthread_model.intended import ServiceSpec
from burdockthread_model.request import CallerRequest, RequestClass
from burdockthread_routing.admission import Admission
from burdockthread_routing.endpoint_client import (
    Attempt,
    Endpoint,
    HttpEndpointClient,
)
from burdockthread_standins.endpoint import StandinEndpoint

SERVICE = ServiceSpec("org/svc", "org", "org/pool", queue_limit=256, deadline_s=10.0)


def endpoint_named(vm, zone="here", region="region", port=1):
    return Endpoint(vm, "127.0.0.1", port, zone, SERVICE.pool, 1, region)


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
    """Some slots, each held for a fixed time by whoever is granted it."""

    def __init__(self, clock, slots, hold_s, weights):
        self.clock = clock
        self.free = slots
        self.hold_s = hold_s
        self.admission = Admission(
            clock, self.acquire, self.release, lambda org, team: weights.get(team)
        )
        self.served = Counter()
        self.refused = Counter()
        self.waits = {}
        self.tasks = []

    def acquire(self, service, avoided):
        if not self.free:
            return None
        self.free -= 1
        return endpoint_named("vm")

    def release(self, service, endpoint):
        self.free += 1
        self.admission.pump(service)

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
            endpoint=endpoint_named(vm.name, port=vm.port),
            organisation="org",
            method=method,
            path="/order?town=gangi",
            body=(body or f"body-{number}").encode(),
            content_type="text/plain",
            timeout_s=timeout_s,
            max_answer_bytes=max_answer_bytes,
        )

    return make
