"""Stand-in of the platform's lagging list of VMs and of its orders to them."""

import asyncio
from typing import Any

import aiohttp
from aiohttp import web

LIST_LAG_S = 0.5


class PlatformVms:
    """Merges the lists of the stand-in sites and passes orders on.

    Attributes:
        hosts: Addresses of the processes that run VMs.
        published: What the list says now, by VM.
        host_of: Address of the process that runs a VM, by VM.
    """

    def __init__(
        self, session: aiohttp.ClientSession, lag_s: float = LIST_LAG_S
    ) -> None:
        self.session = session
        self.lag_s = lag_s
        self.hosts: list[str] = []
        self.published: dict[str, dict[str, Any]] = {}
        self.host_of: dict[str, str] = {}

    def add_routes(self, app: web.Application) -> None:
        """Adds the paths of the list and of the orders."""
        app.router.add_post("/hosts", self.add_host)
        app.router.add_get("/vms", self.get_list)
        app.router.add_post("/vms/{vm}/{order}", self.pass_on)
        app.router.add_get("/vms/{vm}/runs", self.pass_on)

    async def add_host(self, request: web.Request) -> web.Response:
        """Adds a process that runs VMs."""
        self.hosts.append((await request.json())["url"])
        return web.json_response({})

    async def run(self) -> None:
        """Reads the lists of all sites until cancelled."""
        while True:
            for host in list(self.hosts):
                await self.read_host(host)
            await asyncio.sleep(self.lag_s)

    async def read_host(self, host: str) -> None:
        """Reads the list of one site; a dead site keeps its last list."""
        try:
            async with self.session.get(f"{host}/vms") as answer:
                items = await answer.json()
        except aiohttp.ClientError:
            return
        for item in items:
            self.published[item["name"]] = item
            self.host_of[item["name"]] = host

    async def get_list(self, request: web.Request) -> web.Response:
        """Answers with the lagging list."""
        return web.json_response(list(self.published.values()))

    async def pass_on(self, request: web.Request) -> web.Response:
        """Passes a request on to the site that runs the VM."""
        host = self.host_of.get(request.match_info["vm"])
        if host is None:
            raise web.HTTPNotFound(text="no such VM")
        body = await request.read()
        url = host + request.path
        async with self.session.request(request.method, url, data=body) as answer:
            return web.Response(
                status=answer.status,
                body=await answer.read(),
                content_type="application/json",
            )
