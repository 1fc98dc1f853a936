"""Stand-in VMs of one site: endpoints that can be drained and rebooted."""

import asyncio
import itertools

from aiohttp import web
from burdockthread_model.records import RecordError, record_from_plain
from burdockthread_model.rendering import to_plain
from burdockthread_model.vm import VmListing, VmStatus

from burdockthread_standins.endpoint import StandinEndpoint
from burdockthread_standins.endpoint_faults import Fault

REBOOT_TIME_S = 0.5


class VmHost:
    """VMs that run stand-in endpoints within this process.

    Attributes:
        listings: State of each VM.
        endpoints: Endpoint of each VM.
    """

    def __init__(self) -> None:
        self.listings: dict[str, VmListing] = {}
        self.endpoints: dict[str, StandinEndpoint] = {}
        self.boots = itertools.count(1)
        self.tasks: set[asyncio.Task[None]] = set()

    async def add(self, listing: VmListing) -> StandinEndpoint:
        """Boots a VM; its port is chosen by the kernel."""
        endpoint = StandinEndpoint(listing.name)
        await endpoint.start(listing.host)
        self.endpoints[listing.name] = endpoint
        self.listings[listing.name] = listing._replace(
            port=endpoint.port, boot_id=self.new_boot()
        )
        return endpoint

    def new_boot(self) -> str:
        """Returns a fresh boot id."""
        return f"boot-{next(self.boots)}"

    def application(self) -> web.Application:
        """Returns the aiohttp application of the platform's orders."""
        app = web.Application()
        app.router.add_get("/vms", self.get_list)
        app.router.add_post("/vms/{vm}/assign", self.assign)
        app.router.add_post("/vms/{vm}/drain", self.drain)
        app.router.add_post("/vms/{vm}/reboot", self.reboot)
        app.router.add_post("/vms/{vm}/faults", self.set_faults)
        app.router.add_post("/vms/{vm}/release", self.release)
        app.router.add_get("/vms/{vm}/runs", self.get_runs)
        return app

    async def get_list(self, request: web.Request) -> web.Response:
        """Answers with the state of all VMs."""
        return web.json_response([to_plain(item) for item in self.listings.values()])

    def endpoint(self, request: web.Request) -> StandinEndpoint:
        """Returns the endpoint that an order names."""
        found = self.endpoints.get(request.match_info["vm"])
        if found is None:
            raise web.HTTPNotFound(text="no such VM")
        return found

    async def assign(self, request: web.Request) -> web.Response:
        """Makes a VM serve a pool unless the order is older than its last one."""
        endpoint = self.endpoint(request)
        order = await request.json()
        if order["generation"] >= endpoint.generation:
            endpoint.pool = order["pool"]
            endpoint.generation = order["generation"]
        return web.json_response({})

    async def drain(self, request: web.Request) -> web.Response:
        """Makes a VM take no new requests unless it left the given boot already."""
        endpoint = self.endpoint(request)
        order = await request.json()
        listing = self.listings[endpoint.name]
        if listing.boot_id == order["boot_id"]:
            endpoint.drain()
            self.listings[endpoint.name] = listing._replace(status=VmStatus.LEAVING)
        return web.json_response({"in_flight": endpoint.in_flight})

    async def reboot(self, request: web.Request) -> web.Response:
        """Reboots a VM unless it has left the given boot already."""
        endpoint = self.endpoint(request)
        order = await request.json()
        listing = self.listings[endpoint.name]
        if listing.boot_id == order["boot_id"] and endpoint.runner is not None:
            task = asyncio.create_task(self.boot_again(endpoint))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
        return web.json_response({})

    async def boot_again(self, endpoint: StandinEndpoint) -> None:
        """Stops an endpoint and starts it with a fresh boot id."""
        await endpoint.stop()
        await asyncio.sleep(REBOOT_TIME_S)
        endpoint.return_to_service()
        listing = self.listings[endpoint.name]
        await endpoint.start(listing.host, listing.port)
        self.listings[endpoint.name] = listing._replace(
            status=VmStatus.LIVE, boot_id=self.new_boot()
        )

    async def set_faults(self, request: web.Request) -> web.Response:
        """Replaces the faults that a VM's endpoint plays.

        The body is a JSON list of `Fault` objects; an empty list clears them.
        """
        endpoint = self.endpoint(request)
        try:
            faults = [record_from_plain(raw, Fault) for raw in await request.json()]
        except (RecordError, ValueError, TypeError) as error:
            raise web.HTTPBadRequest(text=f"faults: {error}") from error
        await endpoint.set_faults(*faults)
        return web.json_response({})

    async def release(self, request: web.Request) -> web.Response:
        """Lets the held requests of a VM go on."""
        self.endpoint(request).release()
        return web.json_response({})

    async def get_runs(self, request: web.Request) -> web.Response:
        """Answers with what a VM ran; for checks from outside."""
        endpoint = self.endpoint(request)
        return web.json_response(
            {
                "runs": [to_plain(run) for run in endpoint.runs],
                "in_flight": endpoint.in_flight,
                "highest_in_flight": endpoint.highest_in_flight,
                "highest_connections": endpoint.highest_connections,
                "draining_since_s": endpoint.draining_since_s,
                "last_arrival_s": endpoint.last_arrival_s,
                "refused": dict(endpoint.refused),
                "hits": endpoint.switch.hits,
                "boot_id": self.listings[endpoint.name].boot_id,
            }
        )

    async def stop(self) -> None:
        """Stops all endpoints."""
        for task in list(self.tasks):
            task.cancel()
        for endpoint in self.endpoints.values():
            await endpoint.stop()
