"""A small deployment for the cases of the second review.

The platform's store, machine list and executors are stand-ins in this process, written
from the published protocol. The entries are the project's own processes, started with
the command of the deploy file on loopback addresses of their own.
"""

import asyncio
import base64
import json
import logging
import os
import secrets
import signal
import socket
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from functools import partial
from pathlib import Path
from typing import Any, NamedTuple

import aiohttp
from aiohttp import web

# The scripts of the cases are run from the repository's root.
ROOT = Path.cwd()
STORE_ANSWER_S = 0.004
PAGE_ITEMS = 500
HISTORY_S = 20.0
HEARTBEAT_S = 1.5
# A registration is removed after three heartbeats of silence.
LAPSE_S = 3 * HEARTBEAT_S
STOP_S = 0.05
# An order without an answer leaves the connection open for this time.
SILENT_S = 15.0
MAX_LEASE_MS = 6_000
ENDS_AT_A_TIME = 500
POLL_S = 0.02
START_TIMEOUT_S = 20.0
STOP_TIMEOUT_S = 8.0
METRICS_PORT = 9464
CASE_TIMEOUT_S = 100.0
QUEUE_HOST = "queue.example"
SERVICE = "bookings"
SETTINGS = """\
node={name}
role=entry
machineClass=front
serves=front
ip={host}
zone=zone-a
region=region-a
zones.zone-a=region-a
listenAddresses.front={host}:{front}
listenAddresses.ready={host}:{ready}
internalPorts={internal},{internal}
firstStart=true
countsInTolerance=false
limits.cpuShare=1.0
limits.cores=1
limits.memoryMb=300
limits.fileDescriptors=4100
limits.linkMbps=1000.0
discovery=platform
entry=virtual_ip
heartbeatMs=1500
bounds.contactMs=3000
bounds.ackTimeoutMs=4000
bounds.drainMs=2000
bounds.graceS=6
bounds.configApplyMs=2000
bounds.holdMaxMs=6000
bounds.stopMs=200
bounds.gangMs=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
bounds.noticeMs=4500
bounds.moveS=1.5
bounds.upkeepS=2
bounds.requireFencing=false
bounds.leaseMs=3000
bounds.paceMs=100
bounds.harmMs=4000
orders=call
platform.address={store}
platform.form=kv
platform.writesPerS=400
platform.readsPerS=2000
platform.historyS=20
platform.valueBytes=1048576
platform.ttlMinMs=1000
cloudApi.address={cloud}
cloudApi.ratePerS=64.0
cloudApi.dutyPerS=64.0
"""

JsonObject = dict[str, Any]
Handler = Callable[[web.BaseRequest], Awaitable[web.StreamResponse]]
# Answers a call instead of the handler, which it gets.
Trouble = Callable[[web.BaseRequest, Handler], Awaitable[web.StreamResponse]]


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self.started_s = time.monotonic()
        self.file = (folder / "record.txt").open("w")

    def now(self) -> float:
        """Returns the seconds since the start."""
        return time.monotonic() - self.started_s

    def write(self, event: str, **fields: object) -> None:
        """Writes one line."""
        values = " ".join(f"{name}={value}" for name, value in fields.items())
        self.file.write(f"{self.now():9.3f} {event} {values}\n")
        self.file.flush()


class Item(NamedTuple):
    """A key of the store."""

    value: bytes
    revision: int
    created: int
    lease: int


class Change(NamedTuple):
    """A change in the history of the store; without an item, a deletion."""

    at_s: float
    revision: int
    key: str
    item: Item | None


class Store:
    """The platform's store."""

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}
        self.revision = 100
        self.history: list[Change] = []
        self.dropped_revision = 100
        self.leases: dict[int, tuple[float, float]] = {}
        self.changed = asyncio.Event()

    def put(self, key: str, value: bytes, lease: int = 0) -> None:
        """Writes a key under the current revision."""
        known = self.items.get(key)
        created = self.revision if known is None else known.created
        item = Item(value, self.revision, created, lease)
        self.items[key] = item
        self.note(key, item)

    def remove(self, key: str) -> None:
        """Removes a key under the current revision."""
        if self.items.pop(key, None) is not None:
            self.note(key, None)

    def note(self, key: str, item: Item | None) -> None:
        """Adds a change to the history and wakes the watches."""
        now = time.monotonic()
        self.history.append(Change(now, self.revision, key, item))
        while self.history[0].at_s < now - HISTORY_S:
            self.dropped_revision = self.history.pop(0).revision
        self.changed.set()
        self.changed = asyncio.Event()

    def write(self, key: str, value: bytes) -> None:
        """Writes a key as the operator or an executor does."""
        self.revision += 1
        self.put(key, value)

    def delete(self, key: str) -> None:
        """Removes a key as an executor or an expired lease does."""
        self.revision += 1
        self.remove(key)

    async def expire(self) -> None:
        """Removes the keys of expired leases until cancelled."""
        while True:
            await asyncio.sleep(POLL_S)
            now = time.monotonic()
            for lease, (_, until_s) in tuple(self.leases.items()):
                if now > until_s:
                    self.end_lease(lease)

    def end_lease(self, lease: int) -> None:
        """Ends a lease and removes its keys."""
        self.leases.pop(lease, None)
        for key, item in tuple(self.items.items()):
            if item.lease == lease:
                self.delete(key)

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers one call."""
        await asyncio.sleep(STORE_ANSWER_S)
        path = request.path
        if path == "/kv-watch":
            return await self.watch(request)
        if path.startswith("/kv-keep/"):
            return self.keep(int(path.rpartition("/")[2]))
        if path.startswith("/kv-lease-end/"):
            self.end_lease(int(path.rpartition("/")[2]))
            return web.json_response({})
        if path == "/kv-key":
            return self.key(request.query["key"])
        if path == "/kv-range":
            return self.range(request.query["prefix"], request.query.get("after", ""))
        body = json.loads(await request.read())
        return self.lease(body) if path == "/kv-lease" else self.txn(body)

    def key(self, key: str) -> web.Response:
        """Returns one key."""
        item = self.items.get(key)
        if item is None:
            return web.json_response({}, status=404)
        body = {**shown(key, item), "currentRev": self.revision}
        return web.json_response(body)

    def range(self, prefix: str, after: str) -> web.Response:
        """Returns a page of keys."""
        keys = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        page = keys[:PAGE_ITEMS]
        return web.json_response(
            {
                "items": [shown(key, self.items[key]) for key in page],
                "truncated": len(keys) > len(page),
                "currentRev": self.revision,
            }
        )

    async def watch(self, request: web.BaseRequest) -> web.Response:
        """Waits for changes below a prefix."""
        prefix, after = request.query["prefix"], int(request.query["after"])
        until_s = time.monotonic() + int(request.query["waitMs"]) / 1000
        while True:
            if after < self.dropped_revision:
                return web.json_response({}, status=410)
            events = [
                shown(change.key, change.item)
                if change.item is not None
                else {"key": change.key, "revision": change.revision, "deleted": True}
                for change in self.history
                if change.revision > after and change.key.startswith(prefix)
            ]
            left_s = until_s - time.monotonic()
            if events or left_s <= 0:
                body = {"events": events, "currentRev": self.revision}
                return web.json_response(body)
            with suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await self.changed.wait()

    def lease(self, body: JsonObject) -> web.Response:
        """Grants a lease."""
        self.revision += 1
        ttl_s = body["ttlMs"] / 1000
        self.leases[self.revision] = (ttl_s, time.monotonic() + ttl_s)
        answer = {"lease": self.revision, "ttlMs": body["ttlMs"]}
        return web.json_response(answer)

    def keep(self, lease: int) -> web.Response:
        """Renews a lease."""
        if lease not in self.leases:
            return web.json_response({}, status=404)
        ttl_s, _ = self.leases[lease]
        self.leases[lease] = (ttl_s, time.monotonic() + ttl_s)
        return web.json_response({})

    def txn(self, body: JsonObject) -> web.Response:
        """Applies a conditional write."""
        for row in body.get("expected", ()):
            item = self.items.get(row["key"])
            if (0 if item is None else item.revision) != row["revision"]:
                return web.json_response({"items": []}, status=412)
        leases = {w["lease"] for w in body.get("writes", ()) if w.get("lease")}
        if leases - self.leases.keys():
            return web.json_response({}, status=404)
        self.revision += 1
        for write in body.get("writes", ()):
            value = base64.b64decode(write["value"])
            self.put(write["key"], value, write.get("lease", 0))
        for key in body.get("remove", ()):
            self.remove(key)
        return web.json_response({"revision": self.revision})


def shown(key: str, item: Item) -> JsonObject:
    """Returns a key as the store shows it."""
    return {
        "key": key,
        "value": base64.b64encode(item.value).decode(),
        "revision": item.revision,
        "created": item.created,
        "lease": item.lease,
    }


class Run:
    """A run on an executor; `how` is set when it has ended."""

    def __init__(self, task: str, run: int, work_s: float) -> None:
        self.task = task
        self.run = run
        self.work_s = work_s
        self.started_s = time.monotonic()
        self.stop_s = float("inf")

    def percent(self) -> int:
        """Returns the share of the work done; 100 for a task that lasts."""
        if self.work_s == float("inf"):
            return 100
        passed_s = time.monotonic() - self.started_s
        return min(int(passed_s / self.work_s * 100), 99)


class Executor:
    """One executor; `start` begins another life under the same id.

    The specification of a job holds the seconds that its tasks take, by step; those of
    a step without one last.

    Attributes:
        register_after_s: Time from the start of a life until it is registered.
        loses_answer: Returns whether the answer to a call with this path is lost.
        noted: Ends that were taken note of, in all lives.
        started: Task and run of each start, in all lives.
        calls: Calls that the present life has carried out.
        start_delay_s: Returns 0 for a start that is answered, else the delay after
            which it is carried out without an answer.
    """

    def __init__(
        self, number: int, service: str, host: str, store: Store, record: Record
    ) -> None:
        self.id = f"i-{number:04d}"
        self.service = service
        self.machine = f"m-{number:04d}"
        self.host = host
        self.port = 0
        self.store = store
        self.record = record
        self.cpu = 64_000
        self.start_delay_s: Callable[[], float] = lambda: 0.0
        self.register_after_s = 0.0
        self.loses_answer: Callable[[str], bool] = lambda _: False
        self.up = False
        self.noted: set[tuple[str, int, str]] = set()
        self.started: list[tuple[str, int]] = []
        self.late: set[asyncio.Task[web.Response]] = set()
        self.begin_life()

    def begin_life(self) -> None:
        """Forgets everything of the life before."""
        self.born_ms = int(time.time() * 1000)
        self.clock_s = time.monotonic()
        self.fence = 0
        self.deadline_ms = 0
        self.sequence = 0
        self.calls = 0
        self.runs: dict[str, Run] = {}
        self.highest: dict[str, int] = {}
        self.ended: list[tuple[int, str, int, str, str]] = []
        self.ends = 0
        self.changed = asyncio.Event()

    def clock_ms(self) -> int:
        """Returns the executor's clock."""
        return int((time.monotonic() - self.clock_s) * 1000)

    def registration(self) -> bytes:
        """Returns the executor's entry in the store."""
        self.sequence += 1
        return json.dumps(
            {
                "service": self.service,
                "address": f"{self.host}:{self.port}",
                "zone": "zone-a",
                "version": "v1",
                "slots": 8,
                "state": "ready",
                "coldRemainingMs": 0,
                "capacity": {"cpu": self.cpu, "memMb": 131_072, "gpu": 0},
                "labels": ["a", "r1"],
                "clockMs": self.clock_ms(),
                "born": self.born_ms,
                "sequence": self.sequence,
            }
        ).encode()

    async def live(self) -> None:
        """Registers, ends runs that are done and checks leases until cancelled."""
        beat_s = float("-inf")
        key = f"servers/{self.id}"
        while True:
            now = time.monotonic()
            is_due = now - beat_s >= HEARTBEAT_S or beat_s < self.clock_s
            is_registered = now - self.clock_s >= self.register_after_s
            if self.up and is_due and is_registered:
                beat_s = now
                self.store.write(key, self.registration())
            if key in self.store.items and now - beat_s > LAPSE_S:
                self.store.delete(key)
            if self.up:
                self.end_runs(now)
            await asyncio.sleep(POLL_S)

    def end_runs(self, now: float) -> None:
        """Ends the runs that are done, stopped or without a lease."""
        lapsed = self.clock_ms() > self.deadline_ms
        for run in tuple(self.runs.values()):
            if now >= run.stop_s:
                self.end(run, "stopped")
            elif now - run.started_s >= run.work_s:
                self.end(run, "done")
            elif lapsed:
                self.end(run, "lapsed")

    def end(self, run: Run, how: str) -> None:
        """Ends a run and lists it."""
        del self.runs[run.task]
        self.highest[run.task] = max(self.highest.get(run.task, 0), run.run)
        self.ends += 1
        self.ended.append((self.ends, run.task, run.run, how, ""))
        self.record.write("ended", at=self.id, task=run.task, run=run.run, how=how)
        self.changed.set()
        self.changed = asyncio.Event()

    def crash(self) -> None:
        """Ends everything at once; nothing is answered from now on."""
        self.up = False
        self.record.write("executor_down", at=self.id, runs=len(self.runs))
        self.runs.clear()
        self.ended.clear()
        self.changed.set()

    def restart(self) -> None:
        """Starts another life."""
        self.begin_life()
        self.up = True
        self.record.write("executor_up", at=self.id, born=self.born_ms)

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers one call; a dead executor breaks the connection."""
        data = await request.read()
        if not self.up:
            if request.transport is not None:
                request.transport.abort()
            raise ConnectionResetError
        if request.headers.get("Expected-Instance", self.id) != self.id:
            return web.json_response({}, status=421)
        body = json.loads(data) if data else {}
        if request.path == "/run-start":
            delay_s = self.start_delay_s()
            if delay_s:
                self.carry_out_late(body, delay_s)
                await asyncio.sleep(SILENT_S)
                raise ConnectionResetError
        response = await self.carry_out(request.path, body)
        if self.loses_answer(request.path):
            self.record.write("answer_lost", at=self.id, path=request.path)
            if request.transport is not None:
                request.transport.abort()
            raise ConnectionResetError
        return response

    async def carry_out(self, path: str, body: JsonObject) -> web.Response:
        """Carries out a call and returns its answer."""
        self.calls += 1
        if path == "/run-start":
            return self.start(body)
        if path == "/hold":
            return await self.hold(body)
        if body.get("fencingToken", 0) < self.fence:
            return self.refusal("fence")
        return self.stop(body) if path == "/run-stop" else self.told()

    def carry_out_late(self, body: JsonObject, delay_s: float) -> None:
        """Carries a start out after a delay, without an answer."""
        self.record.write("start_unanswered", at=self.id, task=body["task"])

        async def carry_out() -> web.Response:
            await asyncio.sleep(delay_s)
            return self.start(body)

        task = asyncio.create_task(carry_out())
        self.late.add(task)
        task.add_done_callback(self.late.discard)

    def told(self, **fields: object) -> web.Response:
        """Returns an answer with the executor's clock."""
        return web.json_response({"clockMs": self.clock_ms(), **fields})

    def refusal(self, reason: str) -> web.Response:
        """Returns the answer to an order that is rejected."""
        body = {"clockMs": self.clock_ms(), "reason": reason}
        return web.json_response(body, status=409)

    def start(self, body: JsonObject) -> web.Response:
        """Starts a run."""
        task, run = body["task"], body["run"]
        if body.get("fencingToken", 0) < self.fence:
            return self.refusal("fence")
        self.fence = body.get("fencingToken", 0)
        if task in self.runs and self.runs[task].run == run:
            return self.told()
        if body["deadlineMs"] <= self.clock_ms():
            return self.refusal("late")
        self.hold_until(body["deadlineMs"])
        if run <= self.highest.get(task, 0) or task in self.runs:
            self.record.write("rejected", at=self.id, task=task, run=run, why="old")
            return self.refusal("old")
        found = json.loads(body["specification"])
        step = int(task.split(".")[2])
        work_s = found[step] if step < len(found) else float("inf")
        self.runs[task] = Run(task, run, work_s)
        self.started.append((task, run))
        self.record.write("started", at=self.id, task=task, run=run, fence=self.fence)
        return self.told()

    def stop(self, body: JsonObject) -> web.Response:
        """Stops a run; one that is not there will be rejected."""
        self.fence = body.get("fencingToken", 0)
        task, run = body["task"], body["run"]
        self.highest[task] = max(self.highest.get(task, 0), run)
        if task in self.runs and self.runs[task].run <= run:
            self.runs[task].stop_s = time.monotonic() + STOP_S
        return self.told()

    def hold_until(self, deadline_ms: int) -> None:
        """Extends the lease."""
        longest_ms = self.clock_ms() + MAX_LEASE_MS
        self.deadline_ms = max(self.deadline_ms, min(deadline_ms, longest_ms))

    async def hold(self, body: JsonObject) -> web.Response:
        """Renews the lease and lists the runs and the ends."""
        if body.get("fencingToken", 0) < self.fence:
            return self.refusal("fence")
        self.fence = body.get("fencingToken", 0)
        if "deadlineMs" in body:
            self.hold_until(body["deadlineMs"])
        for number, task, run, how, _ in self.ended:
            if number <= body["lastSeen"]:
                self.noted.add((task, run, how))
                self.record.write("noted", at=self.id, task=task, run=run, how=how)
        self.ended = [row for row in self.ended if row[0] > body["lastSeen"]]
        if body.get("waitMs") and not self.ended:
            with suppress(TimeoutError):
                async with asyncio.timeout(body["waitMs"] / 1000):
                    await self.changed.wait()
        if not self.up:
            raise ConnectionResetError
        running = [[r.task, r.run, "", r.percent(), 0] for r in self.runs.values()]
        ended = self.ended[:ENDS_AT_A_TIME]
        return self.told(born=self.born_ms, running=running, ended=ended)


class Entry:
    """A process of the project, started with the command of the deploy file."""

    def __init__(self, name: str, host: str, folder: Path) -> None:
        self.name = name
        self.host = host
        self.settings = folder / f"{name}.conf"
        self.log = folder / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None
        self.store_trouble: Trouble | None = None
        self.front, self.ready, self.internal = free_ports(host, 3)

    def url(self, path: str) -> str:
        """Returns the URL of a path for clients."""
        return f"http://{self.host}:{self.front}{path}"

    async def start(self) -> None:
        """Starts the process."""
        kept = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        environment = {
            **kept,
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "BURDOCKTHREAD_BOOT": str(self.settings),
        }
        command = f"python3 -m burdockthread.platform_process {METRICS_PORT}"
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *command.split(), env=environment, cwd=ROOT, stdout=log, stderr=log
            )

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Kills the process."""
        self.send(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    def memory_mb(self) -> float:
        """Returns the resident memory of the process in MB."""
        if self.process is None or self.process.returncode is not None:
            return 0.0
        with suppress(OSError):
            status = Path(f"/proc/{self.process.pid}/status").read_text()
            for line in status.splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        return 0.0


def free_ports(host: str, count: int) -> list[int]:
    """Returns ports of a loopback address that nothing uses."""
    held = [socket.socket() for _ in range(count)]
    try:
        for found in held:
            found.bind((host, 0))
        return [int(found.getsockname()[1]) for found in held]
    finally:
        for found in held:
            found.close()


class Deployment:
    """Stand-ins of the platform, executors and real entries."""

    def __init__(
        self,
        folder: Path,
        entries: int,
        executors: int,
        services: Sequence[str] = (SERVICE,),
    ) -> None:
        self.services = services
        self.record = Record(folder)
        self.connections: set[asyncio.Transport] = set()
        self.silent: set[asyncio.Transport] = set()
        network = f"127.{secrets.randbelow(200) + 20}.{secrets.randbelow(256)}"
        self.host = f"{network}.250"
        self.store = Store()
        self.executors = [
            Executor(
                number,
                services[number % len(services)],
                self.host,
                self.store,
                self.record,
            )
            for number in range(executors)
        ]
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self.temporary.name)
        self.entries = [
            Entry(f"entry-{number}", f"{network}.{number + 1}", self.folder)
            for number in range(entries)
        ]

    @asynccontextmanager
    async def running(self) -> AsyncIterator["Deployment"]:
        """Runs the deployment within the block and ends all processes at its end."""
        async with AsyncExitStack() as stack:
            stack.callback(self.temporary.cleanup)
            cloud = await self.listen(stack, self.machines)
            for executor in self.executors:
                executor.port = await self.listen(stack, executor.answer)
                executor.restart()
            self.configure()
            work = [asyncio.create_task(self.store.expire())]
            work += [asyncio.create_task(e.live()) for e in self.executors]
            for task in work:
                stack.callback(task.cancel)
            session = await stack.enter_async_context(aiohttp.ClientSession())
            self.session = session
            stack.push_async_callback(self.end_entries)
            for entry in self.entries:
                store = await self.listen(stack, partial(self.answer_store, entry))
                self.write_settings(entry, store, cloud)
                await entry.start()
            yield self

    async def answer_store(
        self, entry: "Entry", request: web.BaseRequest
    ) -> web.StreamResponse:
        """Answers a call of an entry to the store, unless the store is in trouble."""
        if entry.store_trouble is not None:
            return await entry.store_trouble(request, self.store.answer)
        return await self.store.answer(request)

    async def listen(self, stack: AsyncExitStack, handler: Handler) -> int:
        """Serves a handler on a free port of the platform; returns the port."""
        answer = partial(self.answer_unless_silent, handler)
        runner = web.ServerRunner(web.Server(answer), shutdown_timeout=0.1)
        await runner.setup()
        stack.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, self.host, 0).start()
        return int(runner.addresses[0][1])

    async def answer_unless_silent(
        self, handler: Handler, request: web.BaseRequest
    ) -> web.StreamResponse:
        """Answers a request, unless its connection has gone silent by then."""
        connection = request.transport
        if connection is not None:
            self.connections.add(connection)
        if connection not in self.silent:
            response = await handler(request)
            if connection not in self.silent:
                return response
        await asyncio.sleep(SILENT_S)
        raise ConnectionResetError

    def silence_connections(self) -> int:
        """Lets the open connections to the stand-ins go silent; returns how many."""
        self.silent.update(c for c in self.connections if not c.is_closing())
        return len(self.silent)

    def write_settings(self, entry: Entry, store: int, cloud: int) -> None:
        """Writes the settings file of an entry."""
        entry.settings.write_text(
            SETTINGS.format(
                name=entry.name,
                host=entry.host,
                front=entry.front,
                ready=entry.ready,
                internal=entry.internal,
                store=f"{self.host}:{store}",
                cloud=f"{self.host}:{cloud}",
            )
        )

    def configure(self) -> None:
        """Writes the configuration."""
        routes = [
            {
                "name": f"queue-{service}",
                "host": QUEUE_HOST,
                "prefix": f"/{service}/",
                "service": service,
                "kind": "unsafe",
                "timeoutMs": 3000,
                "priority": 0,
                "maxAttempts": 4,
                "stretch": 1.6,
                "targetLatencyMs": 600,
            }
            for service in self.services
        ]
        services = [{"name": s, "rejectsOverload": True} for s in self.services]
        body = {"version": 7, "routes": routes, "services": services}
        self.store.write("op/config", json.dumps(body).encode())

    async def machines(self, request: web.BaseRequest) -> web.StreamResponse:
        """Lists the machines; there is no spare pool, and moves are refused."""
        if request.method != "GET":
            return web.json_response({"reason": "busy"}, status=409)
        found = [
            {
                "machine": executor.machine,
                "pool": executor.service,
                "state": "up" if executor.up else "down",
                "zone": "zone-a",
                "labels": ["a", "r1"],
                "capacity": {"cpu": executor.cpu, "memMb": 131_072, "gpu": 0},
                **({"id": executor.id} if executor.up else {}),
            }
            for executor in self.executors
        ]
        return web.json_response({"machines": found})

    async def end_entries(self) -> None:
        """Ends all processes of the entries."""
        for entry in self.entries:
            entry.send(signal.SIGCONT)
            entry.send(signal.SIGTERM)
        for entry in self.entries:
            with suppress(TimeoutError):
                async with asyncio.timeout(STOP_TIMEOUT_S):
                    if entry.process is not None:
                        await entry.process.wait()
            await entry.kill()

    async def is_ready(self, entry: Entry) -> bool:
        """Returns whether an entry reports itself ready."""
        url = f"http://{entry.host}:{entry.ready}/readiness"
        with suppress(aiohttp.ClientError, OSError, TimeoutError):
            async with asyncio.timeout(1.0), self.session.get(url) as answer:
                return answer.status == 200
        return False

    async def until_ready(self) -> None:
        """Waits until all entries are ready and each pool has a holder."""
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                ready = [await self.is_ready(entry) for entry in self.entries]
                held = [f"assigned/{s}" in self.store.items for s in self.services]
                if all(ready) and all(held):
                    break
                await asyncio.sleep(0.1)
        self.record.write("ready")

    def holder(self, service: str = SERVICE) -> Entry:
        """Returns the entry that the store names as the holder of a pool."""
        item = self.store.items.get(f"cluster/duty/pool:{service}")
        name = "" if item is None else json.loads(item.value)[0]
        for entry in self.entries:
            if entry.name == name:
                return entry
        raise CaseError(f"pool {service} has no holder")

    async def call(
        self,
        entry: Entry,
        method: str,
        job: str,
        body: JsonObject | None = None,
        service: str = SERVICE,
    ) -> tuple[int, JsonObject]:
        """Sends a client's request; status 0 if there is no answer."""
        path = f"/{service}/{job}"
        headers = {"Host": QUEUE_HOST, "Deadline-Ms": "3000"}
        status, answer = 0, {}
        with suppress(aiohttp.ClientError, OSError, TimeoutError):
            async with (
                asyncio.timeout(3.0),
                self.session.request(
                    method, entry.url(path), json=body, headers=headers
                ) as response,
            ):
                status, answer = response.status, await response.json()
        self.record.write(
            "answered", to=entry.name, method=method, path=path, status=status, **answer
        )
        return status, answer

    async def submit(
        self,
        entry: Entry,
        works_s: list[float],
        steps: list[JsonObject],
        service: str = SERVICE,
    ) -> str:
        """Hands a job in until it is accepted; returns its id."""
        job = secrets.token_hex(8)
        body = {"specification": json.dumps(works_s), "steps": steps}
        for _ in range(10):
            status, _ = await self.call(entry, "POST", job, body, service)
            if status == 200:
                return job
            await asyncio.sleep(0.3)
        raise CaseError(f"job {job} was not accepted")


class CaseError(Exception):
    """The case could not be run."""


def main(case: Callable[[bool], Awaitable[bool]]) -> None:
    """Runs a case: exits with 1 if the rule was broken, 0 if not, 2 if it did not run.

    The case gets whether the disruption is wanted, and returns whether the rule held.
    """
    wanted = os.environ.get("TROUBLE", "1") != "0"
    # The server of the stand-ins logs each connection that it breaks on purpose.
    logging.disable(logging.CRITICAL)

    async def run() -> bool:
        task = asyncio.current_task()
        if task is not None:
            asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        async with asyncio.timeout(CASE_TIMEOUT_S):
            return await case(wanted)

    try:
        held = asyncio.run(run())
    except (CaseError, OSError, TimeoutError, asyncio.CancelledError) as error:
        print(f"not run: {error!r}", file=sys.stderr)
        sys.exit(2)
    print("the rule held" if held else "the rule was broken")
    sys.exit(0 if held else 1)
