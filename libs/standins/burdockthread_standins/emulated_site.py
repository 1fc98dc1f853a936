"""A whole deployment on one machine: the users' platform and real entries."""

import asyncio
import json
import os
import secrets
import signal
import socket
import sys
import tempfile
from collections.abc import AsyncIterator, Callable
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from typing import NamedTuple

from aiohttp import web
from burdockthread_model.clock import Clock, SystemClock
from burdockthread_scheduling.machines import Wave
from burdockthread_scheduling.memory_machines import MemoryMachines
from burdockthread_scheduling.memory_runs import TaskNature
from burdockthread_scheduling.memory_workers import MAX_LEASE_S, STOP_S, MemoryWorkers
from burdockthread_scheduling.specs import TaskId
from burdockthread_scheduling.workers import Capacity
from burdockthread_store.store import ANY_REVISION, Change

from burdockthread_standins.emulated_machines import EmulatedMachines
from burdockthread_standins.emulated_store import EmulatedStore
from burdockthread_standins.emulated_workers import EmulatedWorkers
from burdockthread_standins.entry_paths import EntryPaths
from burdockthread_standins.forwarder import Forwarder

HOST_OF_PLATFORM = 254
SPARE_POOL = "pool-off"
STOP_TIMEOUT_S = 8.0
START_TIMEOUT_S = 15.0
POLL_S = 0.05
WORKERS_PER_RACK = 4
SETTINGS = """\
node={name}
ip={host}
zone=zone-a
listenAddresses.front={host}:{callers}
listenAddresses.ready={host}:{ready}
internalPorts={internal},{internal}
limits.cpuShare=1.0
limits.cores=1
limits.memoryMb=300
heartbeatMs=1500
bounds.graceS=6
bounds.stopMs={stop_ms}
bounds.holdMaxMs={max_lease_ms}
platform.address={store}
platform.writesPerS=400
platform.readsPerS=2000
cloudApi.address={machines}
cloudApi.dutyPerS=64
cloudApi.ratePerS=64
"""


class SitePlan(NamedTuple):
    """What a deployment consists of.

    Attributes:
        entries: Number of entries.
        pools: Pools with jobs, one queue each.
        workers: Machines of each pool at the start.
        spare: Machines that are off at the start.
        capacity: What each machine has.
        nature: How tasks behave.
        stop_s: Seconds from a stop until the run has ended.
        max_lease_s: Longest lease of a run in seconds that the workers grant.
    """

    entries: int = 3
    pools: tuple[str, ...] = ("pool-a", "pool-b")
    workers: int = 4
    spare: int = 2
    capacity: Capacity = Capacity(16_000, 65_536)
    nature: Callable[[TaskId], TaskNature] = lambda _: TaskNature()
    stop_s: float = STOP_S
    max_lease_s: float = MAX_LEASE_S


class EntryLinks(NamedTuple):
    """The links of one entry to the platform, and its paths to all others."""

    store: Forwarder
    machines: Forwarder
    paths: EntryPaths


class EntryProcess:
    """An entry in a process of its own.

    Attributes:
        name: Name of the entry.
        host: Loopback address of its own.
        callers: Port for callers.
        log: File with what it has written.
        links: Its own links to the store and to the control of machines.
        striking: Held while the process is down on purpose.
    """

    def __init__(
        self, name: str, host: str, folder: Path, links: EntryLinks, plan: SitePlan
    ) -> None:
        self.name = name
        self.links = links
        self.host = host
        self.callers, self.ready, self.internal, self.metrics = free_ports(host, 4)
        self.log = folder / f"{name}.log"
        self.settings = folder / f"{name}.conf"
        self.settings.write_text(
            SETTINGS.format(
                name=name,
                host=host,
                callers=self.callers,
                ready=self.ready,
                internal=self.internal,
                stop_ms=int(plan.stop_s * 1000),
                max_lease_ms=int(plan.max_lease_s * 1000),
                store=f"{links.store.host}:{links.store.port}",
                machines=f"{links.machines.host}:{links.machines.port}",
            )
        )
        self.process: asyncio.subprocess.Process | None = None
        self.striking = asyncio.Lock()

    @property
    def address(self) -> str:
        """Returns the address for other entries."""
        return f"{self.host}:{self.internal}"

    @property
    def url(self) -> str:
        """Returns the address for callers."""
        return f"http://{self.host}:{self.callers}"

    async def start(self) -> None:
        """Starts the process."""
        environment = {
            **os.environ,
            "BURDOCKTHREAD_BOOT": str(self.settings),
            "PYTHONPATH": os.pathsep.join(sys.path),
        }
        with self.log.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "burdockthread.platform_process",
                str(self.metrics),
                env=environment,
                stdout=log,
                stderr=log,
            )

    @asynccontextmanager
    async def down(self, number: signal.Signals) -> AsyncIterator[None]:
        """Ends the process for the block, then starts it again.

        Another that wants it down waits, so that there is one process at a time.
        """
        async with self.striking:
            await self.stop(number)
            yield
            await self.start()

    def send(self, number: signal.Signals) -> None:
        """Sends a signal to the process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def stop(self, number: signal.Signals = signal.SIGTERM) -> None:
        """Ends the process and waits for it."""
        if self.process is None:
            return
        self.send(number)
        try:
            async with asyncio.timeout(STOP_TIMEOUT_S):
                await self.process.wait()
        except TimeoutError:
            self.send(signal.SIGKILL)
            await self.process.wait()
        self.process = None


class EmulatedSite:
    """The platform in this process, and entries in their own.

    Attributes:
        store: The store.
        park: The workers.
        machines: The machines.
        entries: The entries.
        network: Loopback network of its own, so that nothing of another site, or
            left of one, reaches it.
        host: Address of the platform.
    """

    def __init__(self, plan: SitePlan, clock: Clock | None = None) -> None:
        self.plan = plan
        self.clock = clock or SystemClock()
        self.store = EmulatedStore(self.clock)
        self.park = MemoryWorkers(self.clock, plan.nature)
        self.park.stop_s = plan.stop_s
        self.park.max_lease_s = plan.max_lease_s
        self.machines = MemoryMachines(self.park, self.clock, SPARE_POOL)
        self.network = loopback_network()
        self.host = f"{self.network}.{HOST_OF_PLATFORM}"
        self.workers = EmulatedWorkers(
            self.park, self.store.store, self.clock, self.host
        )
        self.entries: list[EntryProcess] = []

    @asynccontextmanager
    async def running(self) -> AsyncIterator["EmulatedSite"]:
        """Runs everything within the block."""
        async with AsyncExitStack() as stack:
            folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
            machines = EmulatedMachines(self.machines).application()
            control = await self.listen(stack, machines)
            self.add_machines()
            await self.configure(1)
            group = await stack.enter_async_context(asyncio.TaskGroup())
            following = group.create_task(self.workers.run())
            stack.callback(following.cancel)
            stack.push_async_callback(self.stop_entries)
            for number in range(self.plan.entries):
                name, host = f"entry-{number + 1}", f"{self.network}.{number + 1}"
                paths = EntryPaths(host, stack)
                store = await self.listen(stack, self.store.application(paths))
                forwarders = [
                    await stack.enter_async_context(
                        Forwarder(self.host, port).running()
                    )
                    for port in (store, control)
                ]
                links = EntryLinks(forwarders[0], forwarders[1], paths)
                entry = EntryProcess(name, host, folder, links, self.plan)
                self.entries.append(entry)
                await entry.start()
            await self.until_ready()
            yield self

    def holder(self, pool: str) -> EntryProcess | None:
        """Returns the entry that the store records as the holder of a pool."""
        stored = self.store.store.values.get(f"cluster/duty/pool:{pool}")
        name = "" if stored is None else json.loads(stored.value)[0]
        return next((entry for entry in self.entries if entry.name == name), None)

    def fences(self, entry: EntryProcess) -> tuple[int, ...]:
        """Returns the fencing tokens of the duties that the store records for it."""
        return tuple(
            stored.revision
            for key, stored in self.store.store.values.items()
            if key.startswith("cluster/duty/")
            and json.loads(stored.value)[0] == entry.name
        )

    async def stop_entries(self) -> None:
        """Ends all entries side by side."""
        await asyncio.gather(*(entry.stop() for entry in self.entries))

    async def listen(self, stack: AsyncExitStack, app: web.Application) -> int:
        """Serves an application; returns its port."""
        runner = web.AppRunner(app, shutdown_timeout=0.1)
        await runner.setup()
        stack.push_async_callback(runner.cleanup)
        await web.TCPSite(runner, self.host, 0).start()
        return int(runner.addresses[0][1])

    def add_machines(self) -> None:
        """Adds the machines of the plan."""
        number = 0
        for pool in (*self.plan.pools, SPARE_POOL):
            count = self.plan.spare if pool == SPARE_POOL else self.plan.workers
            for _ in range(count):
                rack = f"r{number // WORKERS_PER_RACK}"
                self.machines.add(f"m{number:03d}", pool, self.plan.capacity, rack)
                number += 1

    async def configure(
        self, version: int, pools: tuple[str, ...] | None = None
    ) -> None:
        """Writes a version of the configuration.

        Args:
            version: Its number.
            pools: Pools to which a queue leads; all that run jobs if left out.
        """
        body = {
            "version": version,
            "routes": [
                {
                    "name": f"queue-{pool}",
                    "host": "jobs.example",
                    "prefix": f"/{pool}/",
                    "kind": "unsafe",
                    "timeoutMs": 3000,
                    "targetLatencyMs": 600,
                    "priority": 0,
                    "service": pool,
                    "maxAttempts": 4,
                    "stretch": 1.6,
                }
                for pool in (self.plan.pools if pools is None else pools)
            ],
            "services": [
                {"name": pool, "rejectsOverload": True, "spare": pool == SPARE_POOL}
                for pool in (*self.plan.pools, SPARE_POOL)
            ],
        }
        value = json.dumps(body).encode()
        await self.store.store.write([Change("op/config", value, ANY_REVISION)])

    async def ask_for_wave(self, wave: Wave) -> None:
        """Asks for a wave of upkeep."""
        body = {
            "wave": wave.number,
            "machines": list(wave.machines),
            "durationS": wave.duration_s,
            "maxCount": wave.max_at_once,
        }
        key = f"op/wave/{wave.number}"
        change = Change(key, json.dumps(body).encode(), ANY_REVISION)
        await self.store.store.write([change])

    async def until_ready(self) -> None:
        """Waits until each entry listens."""
        async with asyncio.timeout(START_TIMEOUT_S):
            for entry in self.entries:
                await self.until_listening(entry)

    async def until_listening(self, entry: EntryProcess) -> None:
        """Waits until an entry takes callers."""
        while not await listens(entry.host, entry.callers):
            await self.clock.sleep(POLL_S)


def loopback_network() -> str:
    """Returns the first three parts of loopback addresses, drawn by chance."""
    return f"127.{secrets.randbelow(254) + 1}.{secrets.randbelow(256)}"


async def listens(host: str, port: int) -> bool:
    """Returns whether a port takes connections."""
    try:
        _, writer = await asyncio.open_connection(host, port)
    except OSError:
        return False
    writer.close()
    return True


def free_ports(host: str, count: int) -> list[int]:
    """Returns ports of a loopback address that nothing uses."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for held in sockets:
            held.bind((host, 0))
        return [held.getsockname()[1] for held in sockets]
    finally:
        for held in sockets:
            held.close()
