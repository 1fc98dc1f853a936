"""The users' executors, each at a port of its own, from workers in memory."""

import asyncio
import json
from contextlib import AsyncExitStack
from typing import Any

from aiohttp import web
from burdockthread_model.clock import Clock
from burdockthread_model.errors import StoreError
from burdockthread_scheduling.memory_workers import MemoryWorker, MemoryWorkers
from burdockthread_scheduling.specs import TaskId
from burdockthread_scheduling.workers import (
    EndKind,
    HoldOrder,
    HoldReport,
    OrderAnswer,
    Refusal,
    StartOrder,
    WorkerFencedError,
    WorkerKey,
    WorkerRefusedError,
    WorkerReplacedError,
    WorkerSilentError,
)
from burdockthread_store.memory_store import MemoryStore
from burdockthread_store.store import ANY_REVISION, Change

HEARTBEAT_S = 1.5
MISSED_HEARTBEATS = 3
SILENCE_S = 5.0
# Looks that wait see within 0.02 s that the worker has gone; zero waits for all.
SHUTDOWN_S = 0.05
REASONS = {
    Refusal.FENCED: "fence",
    Refusal.STALE_RUN: "old",
    Refusal.TOO_LATE: "late",
    Refusal.NO_ROOM: "room",
    Refusal.NO_TICKET: "ticket",
}
ENDS = {
    EndKind.SUCCEEDED: "done",
    EndKind.FAILED: "failed",
    EndKind.STOPPED: "stopped",
    EndKind.LEASE_LAPSED: "lapsed",
    EndKind.GANG_BROKEN: "broken",
    EndKind.GANG_INCOMPLETE: "alone",
}

JsonObject = dict[str, Any]


class EmulatedWorkers:
    """Serves the orders to all workers and keeps their registrations.

    Attributes:
        park: The workers.
        ports: Address of each life of a worker.
        last_ports: Address of the last life by id; the next one has the same.
        unregistered: Ids of workers whose registration stays as it is.
    """

    def __init__(
        self, park: MemoryWorkers, store: MemoryStore, clock: Clock, host: str
    ) -> None:
        self.park = park
        self.store = store
        self.clock = clock
        self.host = host
        self.ports: dict[WorkerKey, int] = {}
        self.last_ports: dict[str, int] = {}
        self.stacks: dict[WorkerKey, AsyncExitStack] = {}
        self.sequence = 0
        self.unregistered: set[str] = set()

    async def run(self) -> None:
        """Follows the workers that come and go, until cancelled."""
        try:
            while True:
                self.park.event.clear()
                await self.sync()
                try:
                    async with asyncio.timeout(HEARTBEAT_S):
                        await self.park.event.wait()
                except TimeoutError:
                    continue
        finally:
            for stack in self.stacks.values():
                await stack.aclose()

    async def sync(self) -> None:
        """Opens and closes ports, and registers the workers."""
        for key in tuple(self.ports):
            if key not in self.park.by_key:
                del self.ports[key]
                await self.stacks.pop(key).aclose()
                if key.worker_id not in self.unregistered:
                    change = Change(f"servers/{key.worker_id}", None, ANY_REVISION)
                    await self.write(change)
        for key, worker in tuple(self.park.by_key.items()):
            if key not in self.ports:
                await self.open_port(worker)
            if not worker.silent and key.worker_id not in self.unregistered:
                await self.register(worker)

    async def open_port(self, worker: MemoryWorker) -> None:
        """Serves one worker, at the port of its last life if it had one."""
        key = worker.listing.key
        handler = web.Server(lambda request: self.serve(worker, request))
        loop = asyncio.get_running_loop()
        port = self.last_ports.get(key.worker_id, 0)
        try:
            listener = await loop.create_server(handler, self.host, port)
        except OSError:
            # A connection has taken the port meanwhile.
            listener = await loop.create_server(handler, self.host, 0)
        stack = AsyncExitStack()
        stack.push_async_callback(handler.shutdown, SHUTDOWN_S)
        stack.callback(listener.close)
        self.stacks[key] = stack
        self.ports[key] = listener.sockets[0].getsockname()[1]
        self.last_ports[key.worker_id] = self.ports[key]

    async def register(self, worker: MemoryWorker) -> None:
        """Writes the registration of a worker."""
        listing = worker.listing
        self.sequence += 1
        value: JsonObject = {
            "service": listing.pool,
            "address": f"{self.host}:{self.ports[listing.key]}",
            "zone": listing.availability_zone,
            "version": "v1",
            "slots": 8,
            "state": "draining" if listing.draining else "ready",
            "coldRemainingMs": 0,
            "capacity": capacity_body(listing.capacity),
            "labels": list(listing.labels),
            "clockMs": worker.clock_ms(),
            "sequence": self.sequence,
            "born": listing.key.born_ms,
        }
        key = f"servers/{listing.key.worker_id}"
        await self.write(Change(key, json.dumps(value).encode(), ANY_REVISION))

    async def write(self, change: Change) -> None:
        """Writes past the fault switches, unless the store is out."""
        try:
            await self.store.write([change])
        except StoreError:
            return

    async def serve(
        self, worker: MemoryWorker, request: web.BaseRequest
    ) -> web.StreamResponse:
        """Answers one order."""
        wanted = request.headers.get("Expected-Instance", "")
        if wanted and wanted != worker.listing.key.worker_id:
            return web.json_response({}, status=421)
        body = json.loads(await request.read() or b"{}")
        try:
            return await self.dispatch(worker, request.path, body)
        except WorkerFencedError:
            return refusal(worker, "fence")
        except WorkerReplacedError:
            return web.json_response({}, status=421)
        except (WorkerRefusedError, WorkerSilentError):
            if request.transport is not None:
                request.transport.abort()
            return web.Response(status=500)

    async def dispatch(
        self, worker: MemoryWorker, path: str, body: JsonObject
    ) -> web.Response:
        """Passes an order to the worker in memory."""
        listing = worker.listing
        fence = body.get("fencingToken", 0)
        if path == "/hold":
            order = HoldOrder(
                fence,
                body.get("lastSeen", 0),
                body.get("deadlineMs", 0),
                body.get("waitMs", 0),
            )
            report = await self.park.hold(listing, order, SILENCE_S)
            return web.json_response(report_body(report))
        task = parse_task(body["task"])
        if path == "/run-start":
            start = StartOrder(
                task,
                body["run"],
                body["specification"],
                body["deadlineMs"],
                fence,
                body.get("checkpoint", ""),
                body.get("ticket", ""),
            )
            return answer(worker, await self.park.start(listing, start, SILENCE_S))
        if path == "/run-stop":
            stopped = await self.park.stop(listing, task, body["run"], fence, SILENCE_S)
            return answer(worker, stopped)
        if path == "/pace":
            paced = await self.park.pace(
                listing, task, body["run"], body["percent"], fence, SILENCE_S
            )
            return answer(worker, paced)
        return web.json_response({}, status=404)


def answer(worker: MemoryWorker, found: OrderAnswer) -> web.Response:
    """Returns the answer to an order."""
    if found.refusal is None:
        return web.json_response({"clockMs": worker.clock_ms()})
    return refusal(worker, REASONS.get(found.refusal, "room"))


def refusal(worker: MemoryWorker, reason: str) -> web.Response:
    """Returns the answer to an order that was refused."""
    body = {"clockMs": worker.clock_ms(), "reason": reason}
    return web.json_response(body, status=409)


def report_body(report: HoldReport) -> JsonObject:
    """Returns a worker's lists as the protocol shows them."""
    return {
        "clockMs": report.clock_ms,
        "born": report.born_ms,
        "running": [
            [str(run.task), run.run, run.checkpoint, run.percent, int(run.measure)]
            for run in report.running
        ],
        "ended": [
            [end.number, str(end.task), end.run, ENDS[end.kind], end.checkpoint]
            for end in report.ended.ends
        ],
    }


def capacity_body(capacity: tuple[int, int, int]) -> JsonObject:
    """Returns a capacity as the protocol shows it."""
    cpu_milli, memory_mb, accelerators = capacity
    return {"cpu": cpu_milli, "memMb": memory_mb, "gpu": accelerators}


def parse_task(name: str) -> TaskId:
    """Returns the task of a name."""
    job, occurrence, step, number = name.split(".")
    return TaskId(job, int(occurrence), int(step), int(number))
