"""Runs scenarios against distinct processes on loopback."""

import asyncio
import signal
import time
from collections.abc import AsyncIterator, Coroutine
from contextlib import AsyncExitStack, asynccontextmanager
from pathlib import Path
from typing import Any

import aiohttp
from burdockthread_operators.client import OperatorsClient, operators_client
from burdockthread_standins.forwarder import Forwarder

from burdockthread_scenarios.cluster import (
    LOOPBACK,
    STOP_TIMEOUT_S,
    Cluster,
    EntryProcess,
    Site,
    running_cluster,
    token,
)
from burdockthread_scenarios.driver import ALL_VMS, Driver, NamedChange, ScenarioError
from burdockthread_scenarios.endings import end_tasks, within
from burdockthread_scenarios.faults import store_fault
from burdockthread_scenarios.forwarder import PeerForwarder
from burdockthread_scenarios.ledger import Outcome, RequestLedger, new_key
from burdockthread_scenarios.memory_vms import ENDPOINT_FAULTS, LEAVING_BOUND_S
from burdockthread_scenarios.world import (
    DEADLINE_S,
    ORGANISATION,
    POOL_VMS,
    SERVICE,
    TEMPLATE,
    ZONES,
    encode_template,
)

POLL_S = 0.2
SETTLE_TIMEOUT_S = 20.0
ORDER_TIMEOUT_S = 10.0
OPERATOR_TIMEOUT_S = 20.0
REQUEST_TIMEOUT_S = 2 * DEADLINE_S
POOL = f"{ORGANISATION}/{SERVICE}"


class ProcessDriver(Driver):
    """Statements on a `Cluster`.

    Attributes:
        cluster: The processes.
        ledger: Requests and how they ended.
        links: Forwarder from an entry to another or to ``store``.
    """

    def __init__(
        self,
        cluster: Cluster,
        session: aiohttp.ClientSession,
        links: dict[tuple[str, str], Forwarder],
        pool_vms: int,
    ) -> None:
        self.cluster = cluster
        self.session = session
        self.links = links
        self.ledger = RequestLedger()
        self.named: dict[str, NamedChange] = {}
        self.jobs: set[str] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        self.lowest_available = pool_vms
        self.versions_seen: dict[str, int] = {}
        self.reverted = 0
        self.late_work: dict[str, float] = {}

    def entry(self, name: str) -> EntryProcess:
        """Returns an entry, the first running one for an empty name."""
        if name:
            return self.cluster.entries[name]
        return self.running_entries()[0]

    def running_entries(self) -> list[EntryProcess]:
        """Returns the entries that run."""
        return [
            entry
            for entry in self.cluster.entries.values()
            if entry.process is not None and entry.process.returncode is None
        ]

    def start_task(self, work: Coroutine[Any, Any, None]) -> None:
        """Runs a coroutine beside the statements."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def start(self, entry: str) -> None:
        """Starts an entry."""
        self.versions_seen.pop(entry, None)
        await self.cluster.entries[entry].start()

    async def stop(self, entry: str) -> None:
        """Stops an entry gracefully."""
        process = self.cluster.entries[entry]
        process.send_signal(signal.SIGTERM)
        async with within(STOP_TIMEOUT_S, f"the end of {entry}"):
            code = await process.wait()
        if code != 0:
            raise ScenarioError(f"{entry} ended with exit code {code}")

    async def kill(self, entry: str) -> None:
        """Ends an entry at once."""
        process = self.cluster.entries[entry]
        process.send_signal(signal.SIGKILL)
        async with within(STOP_TIMEOUT_S, f"the end of {entry}"):
            await process.wait()

    async def freeze(self, entry: str) -> None:
        """Stops the process without ending it."""
        self.cluster.entries[entry].send_signal(signal.SIGSTOP)

    async def resume(self, entry: str) -> None:
        """Lets a stopped process go on."""
        self.cluster.entries[entry].send_signal(signal.SIGCONT)

    async def cut(self, source: str, target: str) -> None:
        """Cuts a link."""
        self.links[source, target].cut()

    async def heal(self) -> None:
        """Mends all links."""
        for link in self.links.values():
            link.heal()

    async def set_fault(self, target: str, name: str, amount: float) -> None:
        """Sets a fault over HTTP."""
        platform = self.cluster.platform_url
        if target == "store":
            await self.post(f"{platform}/faults", store_fault(name, amount))
        elif name in ENDPOINT_FAULTS:
            fault = {"kind": name, "delay_s": amount}
            for vm in await self.vms(target):
                await self.post(f"{platform}/vms/{vm}/faults", [fault])
        else:
            raise ScenarioError(f"no fault {name} of {target}")

    async def clear_faults(self, target: str) -> None:
        """Clears faults over HTTP."""
        platform = self.cluster.platform_url
        if target == "store":
            async with (
                within(ORDER_TIMEOUT_S, "clearing the faults of the store"),
                self.session.delete(f"{platform}/faults") as answer,
            ):
                answer.raise_for_status()
        else:
            for vm in await self.vms(target):
                await self.post(f"{platform}/vms/{vm}/faults", [])

    async def vms(self, target: str) -> list[str]:
        """Returns the VM of a name, or all VMs for ``vms``."""
        return await self.vm_names() if target == ALL_VMS else [target]

    async def post(self, url: str, body: object) -> None:
        """Posts an order to a stand-in."""
        async with (
            within(ORDER_TIMEOUT_S, f"an answer of {url}"),
            self.session.post(url, json=body) as answer,
        ):
            answer.raise_for_status()

    async def send(
        self, amount: int, keyed: bool, request_class: str, entry: str
    ) -> None:
        """Sends requests at once."""
        target = self.entry(entry)
        for _ in range(amount):
            body = new_key(time.time())
            self.ledger.sent += 1
            self.start_task(self.ask(target, body, keyed, request_class))

    async def ask(
        self, entry: EntryProcess, body: str, keyed: bool, request_class: str
    ) -> None:
        """Sends one request and notes how it ended."""
        headers = {
            "Burdockthread-Organisation": ORGANISATION,
            "Burdockthread-Class": request_class,
            "Content-Type": "text/plain",
        }
        if keyed:
            headers["Idempotency-Key"] = body
        url = f"{entry.callers_url}/services/{SERVICE}/order"
        outcome = Outcome(body, keyed, 0, "unknown", "", request_class)
        try:
            async with self.session.post(url, headers=headers, data=body) as answer:
                fields = await answer.json(content_type=None)
                verdict = answer.headers.get("Burdockthread-Verdict", "unknown")
                echo = str(fields.get("echo", ""))
                outcome = outcome._replace(
                    status=answer.status, verdict=verdict, echo=echo
                )
        except (aiohttp.ClientError, TimeoutError, ValueError):
            pass
        finally:
            self.ledger.outcomes.append(outcome)

    async def repeat(self, entry: str) -> None:
        """Sends keyed requests that were not answered once more."""
        target = self.entry(entry)
        for body in self.ledger.unanswered_keyed():
            self.ledger.sent += 1
            self.start_task(self.ask(target, body, True, "urgent"))

    async def submit(self, amount: int, entry: str) -> None:
        """Submits deferred jobs."""
        target = self.entry(entry)
        for number in range(amount):
            self.start_task(self.submit_one(target, number))

    async def submit_one(self, entry: EntryProcess, number: int) -> None:
        """Submits one job and notes whether it was accepted."""
        headers = {"Burdockthread-Organisation": ORGANISATION}
        body = {"cores": 1, "memory_gb": 1, "run_time_s": 1, "payload": number}
        url = f"{entry.callers_url}/jobs/inspections"
        try:
            async with self.session.post(url, headers=headers, json=body) as answer:
                if answer.status == 202:
                    self.jobs.add((await answer.json())["job"])
        except (aiohttp.ClientError, TimeoutError):
            return

    def now(self) -> float:
        """Returns seconds of the machine's clock."""
        return time.monotonic()

    async def advance(self, seconds: float) -> None:
        """Waits, watching the invariants."""
        end_s = time.monotonic() + seconds
        while time.monotonic() < end_s:
            await self.observe()
            await asyncio.sleep(min(POLL_S, max(0.0, end_s - time.monotonic())))

    async def observe(self) -> None:
        """Notes what must hold at every moment."""
        for name, status in (await self.statuses()).items():
            for pool in status["pools"]:
                if pool["pool"] == POOL and pool["actual_vms"] == pool["intended_vms"]:
                    available = pool["serving"]
                    self.lowest_available = min(self.lowest_available, available)
            version = status["versions"].get(TEMPLATE, 0)
            self.reverted += version < self.versions_seen.get(name, 0)
            self.versions_seen[name] = version

    async def statuses(self) -> dict[str, Any]:
        """Returns the status of each entry that answers."""
        found = {}
        for entry in self.running_entries():
            try:
                async with asyncio.timeout(1.0):
                    found[entry.name] = await self.cluster.status(entry.name)
            except (aiohttp.ClientError, TimeoutError):
                continue
        return found

    @asynccontextmanager
    async def operator(self, name: str) -> AsyncIterator[OperatorsClient]:
        """Connects an operator to a running entry within the block."""
        url = self.running_entries()[0].operators_url
        async with (
            within(OPERATOR_TIMEOUT_S, f"an answer of {url} to {name}"),
            operators_client(url, token(name)) as client,
        ):
            yield client

    async def propose(
        self, change: str, base_version: int | None, parameters: dict[str, float]
    ) -> None:
        """Proposes the world's template."""
        async with self.operator("proposer") as client:
            if base_version is None:
                shown: Any = await client.show(TEMPLATE)
                base_version = int(shown["version"])
            data = encode_template(parameters)
            answer: Any = await client.propose(data, base_version)
        self.named[change] = NamedChange(answer["change_id"], answer["content_hash"])

    async def review(self, change: str) -> None:
        """Reviews a change."""
        async with self.operator("reviewer") as client:
            await client.review(*self.named[change], approve=True)

    async def accept(self, change: str) -> None:
        """Accepts a change."""
        async with self.operator("accepter") as client:
            await client.accept(*self.named[change])

    async def versions(self) -> list[int]:
        """Returns the version in force on each running entry."""
        statuses = await self.statuses()
        return [
            statuses[entry.name]["versions"].get(TEMPLATE, 0)
            if entry.name in statuses
            else -1
            for entry in self.running_entries()
        ]

    async def counts(self) -> dict[str, int]:
        """Returns all counts."""
        runs: list[str] = []
        highest = 0
        late = 0
        for vm in await self.vm_names():
            fields = await self.read(f"{self.cluster.platform_url}/vms/{vm}/runs")
            runs += [run["body"] for run in fields["runs"]]
            highest = max(highest, fields["highest_in_flight"])
            if fields["draining_since_s"]:
                late_s = fields["last_arrival_s"] - fields["draining_since_s"]
                late += late_s > LEAVING_BOUND_S
        return {
            **self.ledger.counts(runs),
            "jobs_accepted": len(self.jobs),
            "lowest_available": self.lowest_available,
            "reverted": self.reverted,
            "highest_in_flight": highest,
            "late_work": late,
        }

    async def vm_names(self) -> list[str]:
        """Returns the names of all VMs."""
        vms = await self.read(f"{self.cluster.platform_url}/vms")
        return [vm["name"] for vm in vms]

    async def read(self, url: str) -> Any:
        """Reads what a stand-in knows."""
        async with (
            within(ORDER_TIMEOUT_S, f"an answer of {url}"),
            self.session.get(url) as answer,
        ):
            return await answer.json()

    async def wait_settled(self) -> None:
        """Waits until the first template is in force and every pool has its VMs."""
        async with within(SETTLE_TIMEOUT_S, "the first template in force"):
            while True:
                statuses = (await self.statuses()).values()
                if all(is_settled(status) for status in statuses):
                    return
                await asyncio.sleep(POLL_S)


def is_settled(status: Any) -> bool:
    """Returns whether an entry knows the pools and each has its VMs."""
    pools = status["pools"]
    return bool(pools) and all(p["serving"] == p["intended_vms"] for p in pools)


async def link_entries(
    cluster: Cluster, stack: AsyncExitStack
) -> dict[tuple[str, str], Forwarder]:
    """Puts a forwarder on each link from an entry to another and to the store."""
    links: dict[tuple[str, str], Forwarder] = {}
    platform_port = int(cluster.platform_url.rsplit(":", 1)[1])
    peer_ports: dict[str, int] = {}
    for name, entry in cluster.entries.items():
        store = Forwarder(LOOPBACK, platform_port)
        links[name, "store"] = await stack.enter_async_context(store.running())
        entry.settings["platform"]["store_url"] = f"http://{LOOPBACK}:{store.port}"
        port = entry.settings["peers"]["port"]
        others = [other for other in cluster.entries if other != name]
        incoming = {other: Forwarder(LOOPBACK, port) for other in others}
        links |= {(other, name): link for other, link in incoming.items()}
        forwarder = PeerForwarder(LOOPBACK, incoming)
        await stack.enter_async_context(forwarder.running())
        peer_ports[name] = forwarder.port
    for entry in cluster.entries.values():
        entry.settings["entries"] = [
            {**peer, "port": peer_ports[peer["name"]]}
            for peer in entry.settings["entries"]
        ]
    return links


@asynccontextmanager
async def process_driver(
    entries: int, vms: int, parameters: dict[str, float] | None = None
) -> AsyncIterator[ProcessDriver]:
    """Runs the processes within the block; the first template is in force."""
    site = Site("vm", ZONES, vms, Path())
    placement = [(ZONES[n % len(ZONES)], "sicily") for n in range(entries)]
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
    async with AsyncExitStack() as stack:
        cluster = await stack.enter_async_context(running_cluster([site], placement))
        session = await stack.enter_async_context(
            aiohttp.ClientSession(timeout=timeout)
        )
        links = await link_entries(cluster, stack)
        await asyncio.gather(*(e.start() for e in cluster.entries.values()))
        values = parameters or {}
        pool_vms = int(values.get("vms", POOL_VMS))
        driver = ProcessDriver(cluster, session, links, pool_vms)
        try:
            await driver.propose("first", 0, values)
            await driver.review("first")
            await driver.accept("first")
            await driver.wait_settled()
            yield driver
        finally:
            await end_tasks(driver.tasks)
