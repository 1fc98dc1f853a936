"""Stand-in workers: tasks under leases on the VMs of one site."""

import json
from collections.abc import Awaitable, Callable
from typing import Any, cast

import aiohttp
from aiohttp import web
from burdockthread_fleet.memory_workers import MemoryWorker
from burdockthread_fleet.worker_client import (
    REFUSED_STATUS,
    Task,
    TaskRefusedError,
)
from burdockthread_model.clock import Clock
from burdockthread_model.records import RecordError, record_from_plain
from burdockthread_model.rendering import to_plain

from burdockthread_standins.platform_vms import PlatformVms
from burdockthread_standins.vm_host import VmHost

ANSWER_LOST_STATUS = 500

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class StandinWorkers:
    """Runs tasks on the VMs of a `VmHost`.

    A worker follows its VM: a drained VM refuses tasks, a rebooted one has
    forgotten them, and a task of another pool or generation is refused.

    Attributes:
        workers: Worker of each VM.
    """

    def __init__(self, host: VmHost, clock: Clock) -> None:
        self.host = host
        self.clock = clock
        self.workers: dict[str, MemoryWorker] = {}
        self.checkpoints: dict[str, float] = {}

    def add_routes(self, app: web.Application) -> None:
        """Adds the paths of orders, reports, faults and starts.

        The answer to a drain of the same application counts the tasks too.
        """
        app.middlewares.append(self.count_tasks)
        app.router.add_post("/workers/{vm}/faults", self.set_faults)
        app.router.add_post("/workers/{vm}/{order}", self.order)
        app.router.add_get("/workers/{vm}/starts", self.get_starts)
        app.router.add_get("/reports", self.get_reports)

    @web.middleware
    async def count_tasks(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Adds the running tasks to what a drained VM has in flight."""
        answer = await handler(request)
        path = request.path.split("/")
        if path[1] != "vms" or path[-1] != "drain" or answer.status != 200:
            return answer
        in_flight = json.loads(cast("web.Response", answer).text or "{}")["in_flight"]
        in_flight += self.running(request.match_info["vm"])
        return web.json_response({"in_flight": in_flight})

    def worker(self, vm: str) -> MemoryWorker:
        """Returns the worker of a VM in the state that the VM is in.

        Raises:
            HTTPNotFound: There is no such VM.
        """
        listing = self.host.listings.get(vm)
        if listing is None:
            raise web.HTTPNotFound(text="no such VM")
        if vm not in self.workers:
            worker = MemoryWorker(vm, listing.cores, self.clock)
            worker.boot_id = listing.boot_id
            worker.checkpoints = self.checkpoints
            self.workers[vm] = worker
        worker = self.workers[vm]
        if worker.boot_id != listing.boot_id:
            worker.reboot(listing.boot_id)
        endpoint = self.host.endpoints[vm]
        worker.pool = endpoint.pool
        worker.generation = endpoint.generation
        worker.draining = endpoint.draining
        return worker

    def running(self, vm: str) -> int:
        """Returns how many tasks run on a VM."""
        worker = self.worker(vm)
        worker.advance()
        return len(worker.running())

    async def order(self, request: web.Request) -> web.Response:
        """Carries out an order."""
        worker = self.worker(request.match_info["vm"])
        if worker.faults.paused:
            raise web.HTTPGatewayTimeout(text="paused")
        try:
            carry_out(worker, request.match_info["order"], await request.json())
        except TaskRefusedError as error:
            return web.Response(text=str(error), status=REFUSED_STATUS)
        except (RecordError, KeyError, TypeError) as error:
            raise web.HTTPBadRequest(text=str(error)) from error
        status = ANSWER_LOST_STATUS if worker.faults.loses_answers else 200
        return web.json_response({}, status=status)

    async def set_faults(self, request: web.Request) -> web.Response:
        """Sets the fault switches that the body names; see `WorkerFaults`."""
        faults = self.worker(request.match_info["vm"]).faults
        for name, value in (await request.json()).items():
            if not hasattr(faults, name):
                raise web.HTTPBadRequest(text=f"no fault {name}")
            setattr(faults, name, set(value) if isinstance(value, list) else value)
        return web.json_response({})

    async def get_starts(self, request: web.Request) -> web.Response:
        """Answers how often a VM started each job; for checks from outside."""
        return web.json_response(dict(self.worker(request.match_info["vm"]).starts))

    async def get_reports(self, request: web.Request) -> web.Response:
        """Answers with the lagging reports of a pool."""
        pool = request.query.get("pool", "")
        workers = [self.worker(vm) for vm in self.host.listings]
        found = [r for w in workers if w.pool == pool for r in w.reports()]
        return web.json_response([to_plain(report) for report in found])


class PlatformWorkers:
    """Passes orders and reports between entries and the sites."""

    def __init__(self, vms: PlatformVms) -> None:
        self.vms = vms

    def add_routes(self, app: web.Application) -> None:
        """Adds the paths of orders and reports."""
        app.router.add_post("/workers/{vm}/{order}", self.vms.pass_on)
        app.router.add_get("/workers/{vm}/starts", self.vms.pass_on)
        app.router.add_get("/reports", self.get_reports)

    async def get_reports(self, request: web.Request) -> web.Response:
        """Answers with the reports of a pool from all sites."""
        found: list[Any] = []
        for host in self.vms.hosts:
            url = f"{host}/reports"
            try:
                async with self.vms.session.get(url, params=request.query) as answer:
                    found.extend(await answer.json())
            except aiohttp.ClientError as error:
                raise web.HTTPBadGateway(text=str(error)) from error
        return web.json_response(found)


def carry_out(worker: MemoryWorker, order: str, body: dict[str, Any]) -> None:
    """Carries out one order.

    Raises:
        TaskRefusedError: A start was refused.
        KeyError: The order is unknown or lacks a field.
    """
    match order:
        case "start":
            worker.start(record_from_plain(body, Task))
        case "renew":
            worker.renew(tuple(body["tasks"]), body["lease_s"])
        case "checkpoint":
            worker.checkpoint(body["task"])
        case "throttle":
            worker.throttle(body["task"], body["share"])
        case "stop":
            worker.stop(body["task"])
        case _:
            raise KeyError(f"no order {order}")
