"""Stand-in of the platform's lagging list of VMs and of its orders to them."""

import asyncio
import hashlib
import json
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
        text: The list as JSON text.
        entity_tag: Changes with every change of the text.
    """

    def __init__(
        self, session: aiohttp.ClientSession, lag_s: float = LIST_LAG_S
    ) -> None:
        self.session = session
        self.lag_s = lag_s
        self.hosts: list[str] = []
        self.published: dict[str, dict[str, Any]] = {}
        self.host_of: dict[str, str] = {}
        self.set_text()

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
        self.publish(host, items)

    def publish(self, host: str, items: list[dict[str, Any]]) -> None:
        """Takes the list of one site in."""
        changed = False
        for item in items:
            name = item["name"]
            changed |= self.published.get(name) != item
            self.published[name] = item
            self.host_of[name] = host
        if changed:
            self.set_text()

    def set_text(self) -> None:
        """Encodes the list as it stands now."""
        self.text = json.dumps(list(self.published.values()))
        self.entity_tag = hashlib.sha256(self.text.encode()).hexdigest()

    async def get_list(self, request: web.Request) -> web.Response:
        """Answers with the lagging list, or that it has not changed."""
        known = {tag.value for tag in request.if_none_match or ()}
        if self.entity_tag in known:
            response = web.Response(status=web.HTTPNotModified.status_code)
        else:
            response = web.json_response(text=self.text)
        response.etag = self.entity_tag
        return response

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
