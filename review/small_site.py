"""Stand-ins of a small deployment, and the project's entries as processes.

The store, the executors, the machine API and the clients follow the users' protocol
page. They run in the process of the script; the entries run in processes of their own,
started with the command of the deploy file. Every address is a loopback address.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from typing import Any, NamedTuple

import aiohttp
from aiohttp import web

ROOT = Path(__file__).resolve().parent.parent
HOST_NAME = "jobs.example"
ANSWER_S = 0.004
HISTORY_S = 20.0
HEARTBEAT_S = 1.5
HOLD_MAX_MS = 6_000
STOP_S = 0.05
UPKEEP_S = 2.0
PAGE = 500
READY_TIMEOUT_S = 20.0
GRACE_S = 6.0
TICK_S = 0.02
# With no disruption near, an end counts as taken note of this long after its listing.
NOTED_S = 0.1
JsonObject = dict[str, Any]

# The bounds are those of the site file; the addresses are drawn for each run.
SETTINGS = """\
node={name}
role=entry
machineClass=front
serves=front
ip={host}
zone=gp-a
region=gauteng
zones.gp-a=gauteng
listenAddresses.front={host}:{front}
listenAddresses.ready={host}:{ready}
internalPorts={internal},{internal}
seeds=
firstStart=true
limits.cpuShare=0.537
limits.cores=2
limits.memoryMb=300
limits.fileDescriptors=4100
limits.linkMbps=1000.0
discovery=platform
heartbeatMs=1500
bounds.contactMs=3000
bounds.ackTimeoutMs=4000
bounds.drainMs=2000
bounds.graceS=6
bounds.configApplyMs=2000
bounds.holdMaxMs=6000
bounds.stopMs=900
bounds.gangMs=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.status_s=120
bounds.noticeMs=4500
bounds.moveS=1.5
bounds.upkeepS=2
bounds.requireFencing=false
bounds.leaseMs=3000
bounds.paceMs=100
bounds.harmMs=4000
orders=call
advice={policy}
platform.address={store}
platform.form=kv
platform.writesPerS=400
platform.readsPerS=2000
platform.historyS=20
platform.valueBytes=1048576
platform.ttlMinMs=1000
cloudApi.address={machines}
cloudApi.ratePerS=64.0
cloudApi.dutyPerS=64.0
"""


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w")
        self.started_s = time.monotonic()

    def note(self, *words: object) -> None:
        """Writes one line with the seconds since the start."""
        passed_s = time.monotonic() - self.started_s
        print(f"{passed_s:8.3f}", *words, file=self.file, flush=True)


class Door:
    """The store's address for one entry, which may turn that entry away.

    Attributes:
        mode: `open`, `busy` for 503 to each call, or `silent` for no answers.
    """

    def __init__(self) -> None:
        self.mode = "open"
        self.changed = asyncio.Event()

    def set(self, mode: str) -> None:
        """Changes the mode; calls that were kept without an answer lose theirs."""
        self.mode = mode
        self.changed.set()
        self.changed = asyncio.Event()

    @web.middleware
    async def guard(self, request: web.Request, handler: Any) -> Any:
        """Answers a call, unless the entry is turned away."""
        if self.mode == "busy":
            return web.json_response({}, status=503)
        if self.mode == "silent":
            await self.drop(request)
        try:
            answer = await handler(request)
        except ConnectionResetError:
            # The entry has ended while it sent the call.
            return web.Response(status=503)
        if self.mode == "silent":
            await self.drop(request)
        return answer

    async def drop(self, request: web.Request) -> None:
        """Leaves a call without an answer and ends its connection later."""
        await self.changed.wait()
        if request.transport is not None:
            request.transport.abort()
        raise web.HTTPServiceUnavailable


class Store:
    """The platform's key-value store."""

    def __init__(self) -> None:
        self.items: dict[str, JsonObject] = {}
        self.events: list[tuple[float, JsonObject]] = []
        self.forgotten = 0
        self.revision = 100
        self.leases: dict[int, tuple[float, float]] = {}
        self.changed = asyncio.Event()

    def application(self, door: Door) -> web.Application:
        """Returns the store's calls behind one door."""
        app = web.Application(client_max_size=16 << 20, middlewares=[door.guard])
        app.router.add_get("/kv-key", self.key)
        app.router.add_get("/kv-range", self.range)
        app.router.add_get("/kv-watch", self.watch)
        app.router.add_post("/kv-txn", self.txn)
        app.router.add_post("/kv-lease", self.grant)
        app.router.add_post("/kv-keep/{id}", self.keep)
        app.router.add_delete("/kv-lease-end/{id}", self.end)
        return app

    async def run(self) -> None:
        """Ends leases and forgets old events until cancelled."""
        while True:
            now = time.monotonic()
            for lease, (_, until_s) in tuple(self.leases.items()):
                if now >= until_s:
                    self.end_lease(lease)
            while self.events and now - self.events[0][0] > HISTORY_S:
                self.forgotten = self.events.pop(0)[1]["revision"]
            await asyncio.sleep(TICK_S)

    def end_lease(self, lease: int) -> None:
        """Ends a lease and removes its keys."""
        self.leases.pop(lease, None)
        keys = [key for key, item in self.items.items() if item["lease"] == lease]
        self.apply([], keys)

    def apply(self, writes: list[JsonObject], remove: list[str]) -> int:
        """Applies changes as one revision."""
        present = [key for key in remove if key in self.items]
        if not writes and not present:
            return self.revision
        self.revision += 1
        now = time.monotonic()
        for key in present:
            del self.items[key]
            event = {"key": key, "revision": self.revision, "deleted": True}
            self.events.append((now, event))
        for write in writes:
            key = write["key"]
            known = self.items.get(key)
            item = {
                "key": key,
                "value": write["value"],
                "revision": self.revision,
                "created": known["created"] if known else self.revision,
                "lease": write.get("lease", 0),
            }
            self.items[key] = item
            self.events.append((now, item))
        self.changed.set()
        self.changed = asyncio.Event()
        return self.revision

    def put(self, key: str, body: JsonObject) -> None:
        """Writes a key as an executor or the operator does."""
        value = base64.b64encode(json.dumps(body).encode()).decode()
        self.apply([{"key": key, "value": value}], [])

    def value(self, key: str) -> Any:
        """Returns the decoded value of a key, or None."""
        item = self.items.get(key)
        return None if item is None else json.loads(base64.b64decode(item["value"]))

    def reply(self, body: JsonObject, status: int = 200) -> web.Response:
        """Returns an answer with the store's revision."""
        return web.json_response({**body, "currentRev": self.revision}, status=status)

    async def key(self, request: web.Request) -> web.Response:
        """Reads one key."""
        await asyncio.sleep(ANSWER_S)
        item = self.items.get(request.query["key"])
        return self.reply({}, 404) if item is None else self.reply(item)

    async def range(self, request: web.Request) -> web.Response:
        """Reads a page of the keys below a prefix."""
        await asyncio.sleep(ANSWER_S)
        prefix, after = request.query["prefix"], request.query.get("after", "")
        found = sorted(k for k in self.items if k.startswith(prefix) and k > after)
        items = [self.items[key] for key in found[:PAGE]]
        return self.reply({"items": items, "truncated": len(found) > PAGE})

    async def watch(self, request: web.Request) -> web.Response:
        """Waits for changes below a prefix."""
        await asyncio.sleep(ANSWER_S)
        prefix, after = request.query["prefix"], int(request.query["after"])
        until_s = time.monotonic() + int(request.query.get("waitMs", "0")) / 1000
        while True:
            if after < self.forgotten:
                return self.reply({}, 410)
            found = [
                event
                for _, event in self.events
                if event["revision"] > after and event["key"].startswith(prefix)
            ]
            left_s = until_s - time.monotonic()
            if found or left_s <= 0:
                return self.reply({"events": found})
            try:
                async with asyncio.timeout(left_s):
                    await self.changed.wait()
            except TimeoutError:
                continue

    async def txn(self, request: web.Request) -> web.Response:
        """Applies changes if all conditions hold."""
        await asyncio.sleep(ANSWER_S)
        body = await request.json()
        keys = [*body.get("writes", []), *({"key": k} for k in body.get("remove", []))]
        if any(change["key"].startswith(("op/", "servers/")) for change in keys):
            return self.reply({}, 403)
        expected = body.get("expected", [])
        for condition in expected:
            item = self.items.get(condition["key"])
            if (item["revision"] if item else 0) != condition["revision"]:
                found = [
                    self.items[c["key"]] for c in expected if c["key"] in self.items
                ]
                return self.reply({"items": found}, 412)
        writes = body.get("writes", [])
        if any(w.get("lease") and w["lease"] not in self.leases for w in writes):
            return self.reply({}, 404)
        revision = self.apply(writes, body.get("remove", []))
        return self.reply({"revision": revision})

    async def grant(self, request: web.Request) -> web.Response:
        """Grants a lease."""
        body = await request.json()
        ttl_s = max(body["ttlMs"], 1_000) / 1000
        self.revision += 1
        self.leases[self.revision] = (ttl_s, time.monotonic() + ttl_s)
        lease = self.revision
        await asyncio.sleep(ANSWER_S)
        return self.reply({"lease": lease, "ttlMs": int(ttl_s * 1000)})

    async def keep(self, request: web.Request) -> web.Response:
        """Renews a lease."""
        lease = int(request.match_info["id"])
        found = self.leases.get(lease)
        if found is not None:
            self.leases[lease] = (found[0], time.monotonic() + found[0])
        await asyncio.sleep(ANSWER_S)
        if found is None:
            return self.reply({}, 404)
        return self.reply({"ttlMs": int(found[0] * 1000)})

    async def end(self, request: web.Request) -> web.Response:
        """Ends a lease."""
        self.end_lease(int(request.match_info["id"]))
        await asyncio.sleep(ANSWER_S)
        return self.reply({})


class Nature(NamedTuple):
    """How one run of a task behaves.

    Attributes:
        seconds: Time from its start to its end.
        how: How it ends, or `lasts` if it runs until it is stopped.
        cpu: Thousandths of a core that it needs.
    """

    seconds: float = 1.0
    how: str = "done"
    cpu: int = 1_000


class Run(NamedTuple):
    """A run on an executor; `stopping_s` is the time of its end once it is stopped."""

    task: str
    number: int
    started_s: float
    nature: Nature
    stopping_s: float = float("inf")


class Executor:
    """One life of an executor; guards its capacity.

    Attributes:
        silent_s: Clock time until which polls and orders get no answer; they have
            no effect.
    """

    def __init__(
        self,
        site: "Site",
        executor_id: str,
        pool: str,
        cpu: int,
        rack: str,
    ) -> None:
        self.site = site
        self.id = executor_id
        self.pool = pool
        self.cpu = cpu
        self.rack = rack
        self.born_ms = int(time.time() * 1000)
        self.born_s = time.monotonic()
        self.port = 0
        self.state = "ready"
        self.sequence = 0
        self.fence = 0
        self.deadline_ms = 0
        self.last_seen = 0
        self.runs: dict[str, Run] = {}
        self.closed: dict[str, int] = {}
        self.ended: list[list[Any]] = []
        self.count = 0
        self.changed = asyncio.Event()
        self.silent_s = float("-inf")
        self.alive = True

    def clock_ms(self) -> int:
        """Returns the executor's clock."""
        return int((time.monotonic() - self.born_s) * 1000)

    def register(self) -> None:
        """Writes the executor's entry to the store."""
        self.sequence += 1
        body = {
            "service": self.pool,
            "address": f"{self.site.host}:{self.port}",
            "zone": "gp-a",
            "version": "v1",
            "slots": 8,
            "state": self.state,
            "coldRemainingMs": 0,
            "capacity": {"cpu": self.cpu, "memMb": 65_536, "gpu": 0},
            "labels": ["a", self.rack],
            "clockMs": self.clock_ms(),
            "sequence": self.sequence,
            "born": self.born_ms,
        }
        if self.state == "draining":
            body["remainingMs"] = 2_000
        self.site.store.put(f"servers/{self.id}", body)

    async def run(self) -> None:
        """Registers, and ends runs when they are due, until cancelled."""
        beat_s = float("-inf")
        while True:
            now = time.monotonic()
            if self.alive and now - beat_s >= HEARTBEAT_S:
                beat_s = now
                self.register()
            if self.runs and self.clock_ms() >= self.deadline_ms:
                for run in tuple(self.runs.values()):
                    self.finish(run, "lapsed")
            for run in tuple(self.runs.values()):
                if now >= run.stopping_s:
                    self.finish(run, "stopped")
                elif run.nature.how != "lasts" and (
                    now >= run.started_s + run.nature.seconds
                ):
                    self.finish(run, run.nature.how)
            await asyncio.sleep(TICK_S)

    def finish(self, run: Run, how: str) -> None:
        """Ends a run and lists its end."""
        del self.runs[run.task]
        self.closed[run.task] = max(self.closed.get(run.task, 0), run.number)
        self.count += 1
        self.ended.append([self.count, run.task, run.number, how, ""])
        self.site.ends.append(End(time.monotonic(), run.task, run.number, how, self))
        self.site.record.note("end", self.id, run.task, run.number, how)
        self.changed.set()
        self.changed = asyncio.Event()

    def leave(self) -> None:
        """Ends the executor with everything that runs on it."""
        self.alive = False
        for run in tuple(self.runs.values()):
            self.finish(run, "gone")
        self.site.store.apply([], [f"servers/{self.id}"])
        self.site.record.note("executor", self.id, "has left")

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers a poll or an order."""
        body = json.loads(await request.read() or b"{}")
        if not self.alive or time.monotonic() < self.silent_s:
            await asyncio.sleep(5.0)
            if request.transport is not None:
                request.transport.abort()
            return web.Response(status=503)
        if request.headers.get("Expected-Instance", self.id) != self.id:
            return web.json_response({}, status=421)
        token = body.get("fencingToken", 0)
        if token < self.fence:
            return self.refuse("fence", request.path, body)
        self.fence = token
        if request.path == "/hold":
            return await self.hold(body)
        orders = {"/run-start": self.start, "/run-stop": self.stop}
        return orders.get(request.path, lambda _: self.accept({}))(body)

    def accept(self, body: JsonObject) -> web.Response:
        """Returns an answer with the executor's clock."""
        full = {"clockMs": self.clock_ms(), "born": self.born_ms, **body}
        return web.json_response(full)

    def refuse(self, reason: str, path: str, body: JsonObject) -> web.Response:
        """Returns a refusal."""
        if path != "/hold":
            words = (body.get("task"), body.get("run"), reason)
            self.site.record.note("refused", self.id, path, *words)
        found = {"clockMs": self.clock_ms(), "reason": reason}
        return web.json_response(found, status=409)

    def extend(self, body: JsonObject) -> None:
        """Extends the lease of everything that runs here."""
        most_ms = self.clock_ms() + HOLD_MAX_MS
        asked_ms = min(body.get("deadlineMs", 0), most_ms)
        self.deadline_ms = max(self.deadline_ms, asked_ms)

    def start(self, body: JsonObject) -> web.Response:
        """Starts a run."""
        task, number = body["task"], body["run"]
        known = self.runs.get(task)
        if known is not None and known.number == number:
            self.extend(body)
            return self.accept({})
        if body["deadlineMs"] <= self.clock_ms():
            return self.refuse("late", "/run-start", body)
        self.extend(body)
        if known is not None or number <= self.closed.get(task, 0):
            return self.refuse("old", "/run-start", body)
        reason = self.site.check_start(self, body)
        if reason:
            return self.refuse(reason, "/run-start", body)
        nature = self.site.nature(task, number, self)
        used = sum(run.nature.cpu for run in self.runs.values())
        if used + nature.cpu > self.cpu:
            return self.refuse("room", "/run-start", body)
        run = Run(task, number, time.monotonic(), nature)
        self.runs[task] = run
        self.site.starts.append(Start(run.started_s, task, number, self))
        self.site.record.note("start", self.id, task, number, "fence", self.fence)
        return self.accept({})

    def stop(self, body: JsonObject) -> web.Response:
        """Stops a run, or keeps it from starting."""
        task, number = body["task"], body["run"]
        run = self.runs.get(task)
        self.site.record.note("stop", self.id, task, number)
        if run is None or run.number != number:
            self.closed[task] = max(self.closed.get(task, 0), number)
        elif run.stopping_s == float("inf"):
            until_s = time.monotonic() + STOP_S
            self.runs[task] = run._replace(stopping_s=until_s)
        return self.accept({})

    async def hold(self, body: JsonObject) -> web.Response:
        """Extends the lease and returns the lists, after an end if it has to wait."""
        self.extend(body)
        seen = body.get("lastSeen", 0)
        if seen > self.last_seen:
            self.last_seen = seen
            for end in self.ended:
                if end[0] <= seen:
                    self.site.noted.add((end[1], end[2]))
            self.ended = [end for end in self.ended if end[0] > seen]
        wait_s = body.get("waitMs", 0) / 1000
        if wait_s and not self.ended:
            try:
                async with asyncio.timeout(wait_s):
                    await self.changed.wait()
            except TimeoutError:
                pass
        if not self.alive or time.monotonic() < self.silent_s:
            await asyncio.sleep(5.0)
        running = [
            [r.task, r.number, "", self.percent(r), 0] for r in self.runs.values()
        ]
        for end in self.ended:
            self.site.listed.setdefault((end[1], end[2]), time.monotonic())
        return self.accept({"running": running, "ended": self.ended[:PAGE]})

    def percent(self, run: Run) -> int:
        """Returns the share of a run's work that is done."""
        passed_s = time.monotonic() - run.started_s
        if run.nature.how == "lasts":
            return 100 if passed_s >= run.nature.seconds else 0
        return min(int(100 * passed_s / run.nature.seconds), 99)


class Start(NamedTuple):
    """A task that an executor has begun on an order."""

    at_s: float
    task: str
    run: int
    executor: Executor


class End(NamedTuple):
    """A run that has ended."""

    at_s: float
    task: str
    run: int
    how: str
    executor: Executor


class Machine:
    """A machine of a pool and the executor that runs on it."""

    def __init__(self, name: str, pool: str, executor: Executor) -> None:
        self.name = name
        self.pool = pool
        self.executor = executor
        self.state = "up"


class MachineApi:
    """Lists the machines and takes orders for upkeep; it moves none."""

    def __init__(self, site: "Site") -> None:
        self.site = site

    def application(self) -> web.Application:
        """Returns the calls of the API."""
        app = web.Application()
        app.router.add_get("/machines", self.machines)
        app.router.add_post("/machine-move", self.move)
        app.router.add_post("/machine-upkeep", self.upkeep)
        return app

    async def machines(self, request: web.Request) -> web.Response:
        """Lists the machines."""
        await asyncio.sleep(ANSWER_S)
        found = [
            {
                "machine": machine.name,
                "pool": machine.pool,
                "state": machine.state,
                "zone": "gp-a",
                "labels": ["a", machine.executor.rack],
                "capacity": {"cpu": machine.executor.cpu, "memMb": 65_536, "gpu": 0},
                "id": machine.executor.id if machine.state == "up" else "",
            }
            for machine in self.site.machines
        ]
        return web.json_response({"machines": found, "nextPageToken": None})

    async def move(self, request: web.Request) -> web.Response:
        """Refuses a move: there is no pool for the machines but their own."""
        self.site.record.note("move", await request.text())
        return web.json_response({}, status=400)

    async def upkeep(self, request: web.Request) -> web.Response:
        """Begins the upkeep of a machine, which ends its executor."""
        body = await request.json()
        machine = next(m for m in self.site.machines if m.name == body["machine"])
        if machine.state != "up":
            return web.json_response({"reason": "busy"}, status=409)
        self.site.record.note("upkeep", machine.name, "wave", body["wave"])
        self.site.on_upkeep(machine)
        machine.state = "upkeep"
        machine.executor.leave()
        asyncio.get_running_loop().call_later(UPKEEP_S, self.back, machine)
        await asyncio.sleep(ANSWER_S)
        return web.json_response({})

    def back(self, machine: Machine) -> None:
        """Puts a machine back into service with a new executor."""
        old = machine.executor
        asyncio.get_running_loop().create_task(self.site.replace(machine, old))


class Entry:
    """A process of the system."""

    def __init__(self, site: "Site", name: str, host: str, store: int) -> None:
        self.site = site
        self.name = name
        self.host = host
        self.front, self.ready, self.internal = free_ports(host, 3)
        self.settings = site.folder / f"{name}.conf"
        self.settings.write_text(
            SETTINGS.format(
                name=name,
                host=host,
                front=self.front,
                ready=self.ready,
                internal=self.internal,
                store=f"{site.host}:{store}",
                machines=f"{site.host}:{site.machines_port}",
                policy=f"{site.host}:{site.policy_port}" if site.policy_port else "",
            )
        )
        self.door = Door()
        self.process: asyncio.subprocess.Process | None = None

    async def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["BURDOCKTHREAD_BOOT"] = str(self.settings)
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        with (self.site.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *deploy["roles"]["entry"]["run"].split(),
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )
        self.site.record.note("process", self.name, "started")

    async def stop(self, number: signal.Signals) -> None:
        """Ends the process; kills it after the grace period."""
        if self.process is None or self.process.returncode is not None:
            return
        self.site.record.note("process", self.name, number.name)
        self.process.send_signal(number)
        try:
            async with asyncio.timeout(GRACE_S):
                await self.process.wait()
        except TimeoutError:
            self.process.send_signal(signal.SIGKILL)
            await self.process.wait()
        self.site.record.note("process", self.name, "ended")

    async def until_ready(self) -> None:
        """Waits until the readiness is reported."""
        url = f"http://{self.host}:{self.ready}/readiness"
        async with asyncio.timeout(READY_TIMEOUT_S):
            while True:
                try:
                    async with self.site.session.get(url) as answer:
                        if answer.status == 200:
                            return
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(0.1)


class Site:
    """A deployment: the stand-ins and the entries.

    Attributes:
        nature: Tells how a run of a task behaves.
        starts: Tasks that executors have begun.
        ends: Runs that have ended.
        noted: Task and run of each end that a poll has confirmed with `lastSeen`.
        listed: Clock time at which each end was first listed to a holder.
        on_upkeep: Called with a machine just before its upkeep begins.
        policy: Answers calls for advice, or None if no queue has a policy.
        check_start: Returns why an executor refuses a start, or an empty text.
    """

    def __init__(
        self, record: Record, nature: Callable[[str, int, Executor], Nature]
    ) -> None:
        self.record = record
        self.nature = nature
        self.store = Store()
        self.starts: list[Start] = []
        self.ends: list[End] = []
        self.noted: set[tuple[str, int]] = set()
        self.listed: dict[tuple[str, int], float] = {}
        self.machines: list[Machine] = []
        self.entries: list[Entry] = []
        self.routes: dict[str, JsonObject] = {}
        self.version = 0
        self.network = f"127.{random.randint(16, 250)}.{random.randint(0, 250)}"
        self.host = f"{self.network}.254"
        self.machines_port = 0
        self.folder = Path()
        self.session: aiohttp.ClientSession
        self.group: asyncio.TaskGroup
        self.stack: AsyncExitStack
        self.on_upkeep: Callable[[Machine], None] = lambda _: None
        self.policy: Callable[[web.Request], Awaitable[web.Response]] | None = None
        self.policy_port = 0
        self.check_start: Callable[[Executor, JsonObject], str] = lambda *_: ""

    @asynccontextmanager
    async def running(
        self, entries: int, executors: dict[str, list[int]]
    ) -> AsyncIterator["Site"]:
        """Runs the deployment within the block.

        Args:
            entries: Number of entries.
            executors: Processors of the executors by pool, in thousandths.
        """
        async with AsyncExitStack() as stack:
            self.stack = stack
            self.folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
            timeout = aiohttp.ClientTimeout(total=5.0)
            self.session = await stack.enter_async_context(
                aiohttp.ClientSession(timeout=timeout)
            )
            tasks = [asyncio.create_task(self.store.run())]
            stack.callback(lambda: [task.cancel() for task in tasks])
            self.machines_port = await self.listen(MachineApi(self).application())
            if self.policy is not None:
                app = web.Application()
                app.router.add_post("/advise", self.policy)
                self.policy_port = await self.listen(app)
            number = 0
            for pool, sizes in executors.items():
                for cpu in sizes:
                    number += 1
                    await self.add_machine(f"m-{number:05x}", pool, cpu, number)
            self.configure()
            stack.push_async_callback(self.stop_entries)
            for n in range(entries):
                await self.add_entry(n + 1)
            for entry in self.entries:
                await entry.until_ready()
            yield self

    async def add_entry(self, number: int) -> None:
        """Starts an entry with an address of the store of its own."""
        door = Door()
        store = await self.listen(self.store.application(door))
        host = f"{self.network}.{number}"
        entry = Entry(self, f"front-gp-a-{number}", host, store)
        entry.door = door
        self.entries.append(entry)
        await entry.start()

    async def stop_entries(self) -> None:
        """Ends all processes that were started."""
        await asyncio.gather(*(e.stop(signal.SIGKILL) for e in self.entries))

    async def listen(self, app: web.Application) -> int:
        """Serves an application; returns its port."""
        runner = web.AppRunner(app, shutdown_timeout=0.1, access_log=None)
        await runner.setup()
        self.stack.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, self.host, 0).start()
        return int(runner.addresses[0][1])

    async def add_machine(self, name: str, pool: str, cpu: int, number: int) -> None:
        """Adds a machine with an executor."""
        rack = f"r1-{number // 4}"
        executor = Executor(self, f"i-{random.randbytes(5).hex()}", pool, cpu, rack)
        await self.open(executor)
        self.machines.append(Machine(name, pool, executor))
        self.record.note("machine", name, "executor", executor.id, "pool", pool)

    async def replace(self, machine: Machine, old: Executor) -> None:
        """Gives a machine a new executor."""
        new_id = f"i-{random.randbytes(5).hex()}"
        executor = Executor(self, new_id, old.pool, old.cpu, old.rack)
        await self.open(executor)
        machine.executor = executor
        machine.state = "up"
        self.record.note("machine", machine.name, "is back with", executor.id)

    async def open(self, executor: Executor) -> None:
        """Opens the port of an executor and lets it run."""
        handler = web.Server(executor.answer, access_log=None)
        loop = asyncio.get_running_loop()
        listener = await loop.create_server(handler, self.host, 0)
        self.stack.callback(listener.close)
        executor.port = listener.sockets[0].getsockname()[1]
        task = asyncio.create_task(executor.run())
        self.stack.callback(task.cancel)

    def route(self, name: str, pool: str, **fields: object) -> None:
        """Adds a route to the next version of the configuration."""
        self.routes[name] = {
            "name": name,
            "host": HOST_NAME,
            "prefix": f"/{name}/",
            "kind": "unsafe",
            "timeoutMs": 3000,
            "targetLatencyMs": 600,
            "priority": 0,
            "service": pool,
            "maxAttempts": 4,
            "stretch": 1.6,
            **fields,
        }

    def configure(self) -> None:
        """Writes the next version of the configuration."""
        self.version += random.randint(1, 5)
        pools = {route["service"] for route in self.routes.values()}
        pools.update(machine.pool for machine in self.machines)
        services = [{"name": pool, "rejectsOverload": True} for pool in sorted(pools)]
        body = {
            "version": self.version,
            "routes": list(self.routes.values()),
            "services": services,
        }
        self.store.put("op/config", body)
        self.record.note("configuration", self.version, *self.routes)

    def holder(self, duty: str) -> Entry | None:
        """Returns the entry that the store names as the holder of a duty."""
        record = self.store.value(f"cluster/duty/{duty}")
        if record is None:
            return None
        return next((e for e in self.entries if e.name == record[0]), None)

    def known_holder(self, duty: str) -> Entry:
        """Returns the holder of a duty.

        Raises:
            NotRunError: The store names none.
        """
        holder = self.holder(duty)
        if holder is None:
            raise NotRunError(f"no entry holds {duty}")
        return holder

    async def hand_in(self, path: str, body: JsonObject) -> None:
        """Hands in a job.

        Raises:
            NotRunError: It was not accepted.
        """
        status, _ = await self.ask("POST", path, body)
        if status != 200:
            raise NotRunError(f"{path} was answered {status}")

    async def call(
        self, entry: Entry, method: str, path: str, body: JsonObject | None = None
    ) -> tuple[int, JsonObject]:
        """Sends a client's request to an entry; returns status 0 without an answer."""
        url = f"http://{entry.host}:{entry.front}{path}"
        headers = {"Host": HOST_NAME, "Deadline-Ms": "3000"}
        try:
            async with self.session.request(
                method, url, json=body, headers=headers
            ) as answer:
                status, text = answer.status, await answer.text()
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            self.record.note(method, path, entry.name, type(error).__name__)
            return 0, {}
        self.record.note(method, path, entry.name, status, text)
        return status, json.loads(text) if text else {}

    def is_noted(self, end: End, at_s: float) -> bool:
        """Returns whether an end counts as taken note of at a time without trouble."""
        listed_s = self.listed.get((end.task, end.run), float("inf"))
        return (end.task, end.run) in self.noted or listed_s + NOTED_S <= at_s

    async def ask(
        self, method: str, path: str, body: JsonObject | None = None
    ) -> tuple[int, JsonObject]:
        """Sends a client's request, with up to four repeats at other entries."""
        status, found = 0, {}
        for entry in (self.entries * 5)[:5]:
            status, found = await self.call(entry, method, path, body)
            if status not in (0, 429, 502, 503, 504):
                break
            await asyncio.sleep(0.5)
        return status, found


class NotRunError(Exception):
    """The case could not run."""


def free_ports(host: str, count: int) -> list[int]:
    """Returns ports that are free on an address."""
    sockets = [socket.socket() for _ in range(count)]
    for found in sockets:
        found.bind((host, 0))
    ports = [found.getsockname()[1] for found in sockets]
    for found in sockets:
        found.close()
    return ports


async def until(condition: Callable[[], object], timeout_s: float, what: str) -> None:
    """Waits for a condition.

    Raises:
        NotRunError: It did not hold in time.
    """
    until_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > until_s:
            raise NotRunError(f"not seen within {timeout_s:g} s: {what}")
        await asyncio.sleep(TICK_S)


def main(folder: Path, case: Callable[[Record, bool], Awaitable[str]]) -> int:
    """Runs a case; returns the exit status.

    Args:
        folder: Folder of the case.
        case: Returns what broke the rule, or an empty text; gets the record, and
            whether the disruption is played.
    """
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    signal.signal(signal.SIGTERM, lambda *_: signal.raise_signal(signal.SIGINT))
    try:
        broken = asyncio.run(limited(case(record, trouble)))
    except (Exception, KeyboardInterrupt) as error:
        record.note("not run:", repr(error))
        print("not run:", repr(error), file=sys.stderr)
        return 2
    record.note("broken:" if broken else "held", broken)
    print("broken: " + broken if broken else "held")
    return 1 if broken else 0


async def limited(work: Awaitable[str]) -> str:
    """Runs a case within the time that a script may take."""
    async with asyncio.timeout(110):
        return await work
