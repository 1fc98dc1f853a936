"""Stand-in of an endpoint: counts what it runs and can misbehave."""

import asyncio
import json
from collections import Counter
from typing import NamedTuple

from aiohttp import web
from burdockthread_model.clock import Clock, SystemClock
from burdockthread_routing.endpoint_client import (
    ATTEMPT_HEADER,
    DRAINING_HEADER,
    GENERATION_HEADER,
    NOT_RUN_HEADER,
    POOL_HEADER,
)

from burdockthread_standins.endpoint_faults import (
    SPOILED,
    Answer,
    Fault,
    FaultKind,
    FaultSwitch,
    RawAnswer,
    answer_bytes,
)

WORK_TIME_S = 0.005


class Run(NamedTuple):
    """A request that an endpoint ran.

    Attributes:
        attempt_id: Id of the attempt.
        method: HTTP method.
        path: Path with the query.
        body: Body as text.
        time_s: Unix time of the start.
        in_flight: Requests under way at the start, this one included.
        sender_port: TCP port that the request came from.
    """

    attempt_id: str
    method: str
    path: str
    body: str
    time_s: float = 0.0
    in_flight: int = 0
    sender_port: int = 0


class StandinEndpoint:
    """One VM's endpoint.

    Attributes:
        name: Name of the VM.
        pool: Pool that the platform assigned it to.
        generation: Newest generation seen.
        draining: Whether it takes no new requests.
        switch: Faults to play.
        runs: Requests that it ran.
        in_flight: Requests under way.
        highest_in_flight: Most requests that were ever under way.
        connections: Connections that are open.
        highest_connections: Most connections that were ever open.
        draining_since_s: Unix time since which it drains, or 0.
        last_arrival_s: Unix time of the newest request that arrived, or 0.
        started: Set when a request starts to run; a test may clear it.
        released: Set to let held requests go on.
    """

    def __init__(
        self,
        name: str,
        work_time_s: float = WORK_TIME_S,
        clock: Clock | None = None,
        seed: int = 0,
    ) -> None:
        self.name = name
        self.work_time_s = work_time_s
        self.clock = clock or SystemClock()
        self.pool = ""
        self.generation = 0
        self.draining = False
        self.switch = FaultSwitch(seed)
        self.runs: list[Run] = []
        self.in_flight = 0
        self.highest_in_flight = 0
        self.highest_connections = 0
        self.draining_since_s = 0.0
        self.last_arrival_s = 0.0
        self.started = asyncio.Event()
        self.released = asyncio.Event()
        self.previous = Answer("", b"")
        self.refused: Counter[str] = Counter()
        self.runner: web.AppRunner | None = None
        self.site: web.TCPSite | None = None
        self.tasks: set[asyncio.Task[None]] = set()
        self.host = ""
        self.port = 0

    async def start(self, host: str, port: int = 0) -> None:
        """Listens; port 0 lets the kernel choose."""
        app = web.Application(client_max_size=16 * 1_048_576)
        app.router.add_route("*", "/{path:.*}", self.serve)
        self.runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self.runner.setup()
        self.host = host
        await self.listen(port)

    async def listen(self, port: int) -> None:
        """Accepts connections."""
        assert self.runner is not None
        self.site = web.TCPSite(self.runner, self.host, port, reuse_address=True)
        await self.site.start()
        self.port = self.runner.addresses[0][1]

    async def stop(self) -> None:
        """Stops listening and ends the requests under way."""
        for task in list(self.tasks):
            task.cancel()
        if self.runner is not None:
            await self.runner.cleanup()
            self.runner = None
            self.site = None

    async def set_faults(self, *faults: Fault) -> None:
        """Replaces the faults that it plays; none clears them."""
        self.switch.set(*faults)
        self.released.clear()
        if self.runner is None:
            return
        refuses = self.switch.is_set(FaultKind.REFUSE)
        if refuses and self.site is not None:
            await self.site.stop()
            self.site = None
            self.close_connections()
        if not refuses and self.site is None:
            await self.listen(self.port)

    def close_connections(self) -> None:
        """Closes all connections at once."""
        server = self.runner.server if self.runner is not None else None
        for connection in list(server.connections) if server is not None else ():
            connection.force_close()

    def release(self) -> None:
        """Lets held requests go on, those that arrive later too."""
        self.released.set()

    def drain(self) -> None:
        """Takes no new requests from now on."""
        if not self.draining:
            self.draining_since_s = self.clock.wall()
        self.draining = True

    def return_to_service(self) -> None:
        """Takes requests again."""
        self.draining = False
        self.draining_since_s = 0.0

    async def serve(self, request: web.Request) -> web.StreamResponse:
        """Answers one request, with the fault drawn for it."""
        self.last_arrival_s = self.clock.wall()
        self.note_connections()
        reason = self.refusal(request)
        if reason:
            self.refused[reason] += 1
            return self.answer(request, {"refused": reason}, status=503, not_run=True)
        fault = self.switch.draw()
        if fault.kind is FaultKind.DROP_UNREAD:
            return RawAnswer(b"", close=True)
        if fault.kind is FaultKind.ERROR:
            return self.answer(request, {"error": "at once"}, status=500)
        body = await self.run(request, fault)
        return self.answer_with_fault(request, body, fault)

    def note_connections(self) -> None:
        """Notes how many connections are open."""
        server = self.runner.server if self.runner is not None else None
        if server is not None:
            count = len(server.connections)
            self.highest_connections = max(self.highest_connections, count)

    async def run(self, request: web.Request, fault: Fault) -> bytes:
        """Runs one request and returns the body of its answer."""
        self.in_flight += 1
        self.highest_in_flight = max(self.highest_in_flight, self.in_flight)
        try:
            text = (await request.read()).decode(errors="replace")
            self.runs.append(self.new_run(request, text))
            self.started.set()
            await self.work(fault)
            return json.dumps({"vm": self.name, "echo": text}).encode()
        finally:
            self.in_flight -= 1

    def new_run(self, request: web.Request, text: str) -> Run:
        """Returns the record of a run that starts now."""
        peer = request.get_extra_info("peername") or ("", 0)
        return Run(
            attempt_id=request.headers.get(ATTEMPT_HEADER, ""),
            method=request.method,
            path=request.path_qs,
            body=text,
            time_s=self.clock.wall(),
            in_flight=self.in_flight,
            sender_port=peer[1],
        )

    async def work(self, fault: Fault) -> None:
        """Takes the time that a request takes."""
        await asyncio.sleep(self.work_time_s)
        if fault.kind in (FaultKind.SLOW, FaultKind.LATE):
            await asyncio.sleep(fault.delay_s)
        if fault.kind is FaultKind.HOLD:
            await self.released.wait()

    def answer_with_fault(
        self, request: web.Request, body: bytes, fault: Fault
    ) -> web.StreamResponse:
        """Returns the answer after a run, spoiled as the fault says."""
        attempt_id = request.headers.get(ATTEMPT_HEADER, "")
        previous, self.previous = self.previous, Answer(attempt_id, body)
        spoiled = SPOILED.get(fault.kind)
        if spoiled is not None:
            return spoiled(self.previous, previous, fault)
        if fault.kind is FaultKind.LATE_DUPLICATE:
            whole = answer_bytes(body, attempt_id, length=len(body))
            self.repeat_later(request, whole, fault.delay_s)
        return self.answer(request, json.loads(body))

    def repeat_later(self, request: web.Request, data: bytes, delay_s: float) -> None:
        """Sends an answer a second time after a delay."""

        async def repeat() -> None:
            await asyncio.sleep(delay_s)
            if request.transport is not None:
                request.transport.write(data)

        task = asyncio.create_task(repeat())
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

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
