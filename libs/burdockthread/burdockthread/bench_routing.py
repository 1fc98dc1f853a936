"""Measures request routing: floods, faults, slots, draining VMs and cost."""

import asyncio
import gc
import resource
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from pathlib import Path

import aiohttp
from burdockthread_http.connection_guard import ConnectionGuard
from burdockthread_http.connection_limits import PortLimits
from burdockthread_http.received_bytes import ReceivedBytes
from burdockthread_model.settings import Limits
from burdockthread_model.steps import Steps
from burdockthread_routing.callers_api import CallersApi
from burdockthread_routing.callers_port import callers_port
from burdockthread_routing.endpoint_client import (
    ATTEMPT_HEADER,
    GENERATION_HEADER,
    POOL_HEADER,
)
from burdockthread_routing.job_ledger import JobLedger
from burdockthread_standins.endpoint_faults import Fault, FaultKind
from burdockthread_store.memory_store import MemoryStore
from hdrh.histogram import HdrHistogram

from burdockthread import bench_faults, bench_flood, bench_socket_flood
from burdockthread.bench_rig import LOOPBACK, SERVICE, SITES, Rig, SiteSize, running_rig
from burdockthread.measures import Measure

SEQUENTIAL_REQUESTS = 1_500
CONCURRENT_REQUESTS = 3_000
CONCURRENCY = 32
HELD_REQUESTS = 500
HELD_QUEUE_LIMIT = 2_000
HELD_POLLS = 200
POLL_S = 0.05
PORT_CONNECTIONS = 1_024
PORT_BODY_BYTES = 1_048_576
HIGHEST_US = 60_000_000
PAGE_BYTES = resource.getpagesize()
ENTRY_HEADERS = {
    "Burdockthread-Organisation": SERVICE.organisation,
    "Burdockthread-Deadline-Ms": "20000",
}
DIRECT_HEADERS = {
    POOL_HEADER: SERVICE.pool,
    GENERATION_HEADER: "1",
    ATTEMPT_HEADER: "direct",
}


class Target:
    """URL to which requests are sent, of an endpoint or of an entry."""

    def __init__(
        self, session: aiohttp.ClientSession, url: str, headers: dict[str, str]
    ) -> None:
        self.session = session
        self.url = url
        self.headers = headers

    async def ask(self) -> int:
        """Sends one request and returns the HTTP status."""
        async with self.session.post(
            self.url, data=b"body", headers=self.headers
        ) as answer:
            await answer.read()
            return answer.status

    async def one_by_one(self) -> HdrHistogram:
        """Returns the times in microseconds of requests sent sequentially."""
        times = HdrHistogram(1, HIGHEST_US, 3)
        for _ in range(SEQUENTIAL_REQUESTS):
            started_s = time.perf_counter()
            await self.ask()
            elapsed_s = time.perf_counter() - started_s
            times.record_value(max(int(elapsed_s * 1_000_000), 1))
        return times

    async def cpu_per_request_s(self) -> float:
        """Returns the processor time of this process per concurrent request."""
        started_s = time.process_time()

        async def caller() -> None:
            for _ in range(CONCURRENT_REQUESTS // CONCURRENCY):
                await self.ask()

        await asyncio.gather(*(caller() for _ in range(CONCURRENCY)))
        return (time.process_time() - started_s) / CONCURRENT_REQUESTS


def resident_mb() -> float:
    """Returns the resident memory of this process in megabytes."""
    gc.collect()
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * PAGE_BYTES / 1e6


@asynccontextmanager
async def entry_port(rig: Rig) -> AsyncIterator[int]:
    """Serves the callers' API of the first entry and yields its port."""
    ledger = JobLedger(MemoryStore(rig.clock), rig.clock, Steps())
    api = CallersApi("entry-0", rig.routers[0], ledger, rig.clock, rig.metrics, rig.log)
    budget = ReceivedBytes.of_memory(Limits().memory_mb)
    limits = PortLimits(connections=PORT_CONNECTIONS, body_bytes=PORT_BODY_BYTES)
    listening = callers_port(
        api,
        rig.clock,
        LOOPBACK,
        0,
        limits,
        stop_timeout_s=1.0,
        guard=ConnectionGuard(budget, rig.metrics, rig.log),
    )
    async with listening as port:
        yield port


async def measure_cost(size: SiteSize, seed: int) -> list[Measure]:
    """Measures the time, processor time and memory that an entry adds."""
    idle = size._replace(work_time_s=0.0)
    connector = aiohttp.TCPConnector(limit=0)
    async with (
        running_rig(idle, 1, seed) as rig,
        entry_port(rig) as port,
        aiohttp.ClientSession(connector=connector) as session,
    ):
        endpoint_url = f"http://{LOOPBACK}:{rig.endpoints[0].port}/order"
        entry_url = f"http://{LOOPBACK}:{port}/services/svc/order"
        direct = Target(session, endpoint_url, DIRECT_HEADERS)
        through = Target(session, entry_url, ENTRY_HEADERS)
        found = await compare(size, direct, through)
        return found + await measure_memory(size, rig, through)


async def compare(size: SiteSize, direct: Target, through: Target) -> list[Measure]:
    """Compares direct requests with requests through an entry."""
    times = [await target.one_by_one() for target in (direct, through)]
    added = [
        Measure(
            f"cost.added_p{percentile}",
            size.name,
            (
                times[1].get_value_at_percentile(percentile)
                - times[0].get_value_at_percentile(percentile)
            )
            / 1000.0,
            "ms",
            times[0].get_value_at_percentile(percentile) / 1000.0,
        )
        for percentile in (50, 99)
    ]
    direct_s = await direct.cpu_per_request_s()
    entry_s = await through.cpu_per_request_s() - direct_s
    rate = Measure("cost.requests_per_core", size.name, 1.0 / entry_s, "1/s")
    return [*added, rate]


async def measure_memory(size: SiteSize, rig: Rig, through: Target) -> list[Measure]:
    """Measures resident memory, idle and with many requests in progress.

    The figures include the stand-ins and callers, which share the process.
    """
    long_queue = SERVICE._replace(queue_limit=HELD_QUEUE_LIMIT)
    rig.routers[0].view.services[SERVICE.name] = long_queue
    idle_mb = resident_mb()
    for endpoint in rig.endpoints:
        await endpoint.set_faults(Fault(FaultKind.HOLD))
    calls = [asyncio.create_task(through.ask()) for _ in range(HELD_REQUESTS)]
    for _ in range(HELD_POLLS):
        if rig.routers[0].in_flight >= HELD_REQUESTS:
            break
        await asyncio.sleep(POLL_S)
    held = rig.routers[0].in_flight
    held_mb = resident_mb()
    for endpoint in rig.endpoints:
        endpoint.release()
    await asyncio.gather(*calls)
    return [
        Measure("cost.resident_idle", size.name, idle_mb, "MB"),
        Measure("cost.resident_under_way", size.name, held_mb, "MB", idle_mb),
        Measure("cost.under_way", size.name, held, "requests"),
    ]


async def measures(seed: int) -> list[Measure]:
    """Measures request routing at both sites.

    Args:
        seed: Seed of arrivals, faults and choices.

    Returns:
        The measures, with a baseline where one exists.
    """
    found = await bench_flood.measures(seed)
    found += await bench_socket_flood.measures(seed)
    found += await bench_faults.measures(seed)
    for size in SITES:
        found += await measure_cost(size, seed)
    return found
