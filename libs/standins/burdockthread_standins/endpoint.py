"""Stand-in of an endpoint: counts what it runs and can misbehave."""

import asyncio
from collections import Counter
from typing import NamedTuple

from aiohttp import web
from burdockthread_routing.endpoint_client import (
    ATTEMPT_HEADER,
    DRAINING_HEADER,
    GENERATION_HEADER,
    NOT_RUN_HEADER,
    POOL_HEADER,
)

WORK_TIME_S = 0.005


class Run(NamedTuple):
    """A request that an endpoint ran."""

    attempt_id: str
    method: str
    path: str
    body: str


class StandinEndpoint:
    """One VM's endpoint.

    Attributes:
        name: Name of the VM.
        pool: Pool that the platform assigned it to.
        generation: Newest generation seen.
        draining: Whether it takes no new requests.
        runs: Requests that it ran.
        in_flight: Requests under way.
        highest_in_flight: Most requests that were ever under way.
    """

    def __init__(self, name: str, work_time_s: float = WORK_TIME_S) -> None:
        self.name = name
        self.work_time_s = work_time_s
        self.pool = ""
        self.generation = 0
        self.draining = False
        self.runs: list[Run] = []
        self.in_flight = 0
        self.highest_in_flight = 0
        self.refused: Counter[str] = Counter()
        self.runner: web.AppRunner | None = None
        self.port = 0

    async def start(self, host: str, port: int = 0) -> None:
        """Listens; port 0 lets the kernel choose."""
        app = web.Application()
        app.router.add_route("*", "/{path:.*}", self.serve)
        self.runner = web.AppRunner(app)
        await self.runner.setup()
        site = web.TCPSite(self.runner, host, port)
        await site.start()
        self.port = self.runner.addresses[0][1]

    async def stop(self) -> None:
        """Stops listening."""
        if self.runner is not None:
            await self.runner.cleanup()
            self.runner = None

    async def serve(self, request: web.Request) -> web.Response:
        """Runs one request, or refuses it before anything ran."""
        reason = self.refusal(request)
        if reason:
            self.refused[reason] += 1
            return self.answer(request, {"refused": reason}, status=503, not_run=True)
        self.in_flight += 1
        self.highest_in_flight = max(self.highest_in_flight, self.in_flight)
        try:
            body = (await request.read()).decode(errors="replace")
            attempt_id = request.headers.get(ATTEMPT_HEADER, "")
            self.runs.append(Run(attempt_id, request.method, request.path, body))
            await asyncio.sleep(self.work_time_s)
            return self.answer(request, {"vm": self.name, "echo": body})
        finally:
            self.in_flight -= 1

    def refusal(self, request: web.Request) -> str:
        """Returns why a request is refused, or an empty string."""
        if self.draining:
            return "draining"
        if request.headers.get(POOL_HEADER) != self.pool:
            return "pool"
        if int(request.headers.get(GENERATION_HEADER, "0")) < self.generation:
            return "generation"
        return ""

    def answer(
        self,
        request: web.Request,
        body: dict[str, object],
        status: int = 200,
        *,
        not_run: bool = False,
    ) -> web.Response:
        """Returns an answer that echoes the attempt."""
        headers = {ATTEMPT_HEADER: request.headers.get(ATTEMPT_HEADER, "")}
        if self.draining:
            headers[DRAINING_HEADER] = "true"
        if not_run:
            headers[NOT_RUN_HEADER] = "true"
        return web.json_response(body, status=status, headers=headers)
