"""Measures what control costs: the whole entry against one that only routes."""

import argparse
import asyncio
import json
import os
import sys
import time
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack, asynccontextmanager, suppress
from pathlib import Path
from typing import Any, NamedTuple

import aiohttp
from burdockthread.bench_planner_cost import slope
from burdockthread.measures import Measure, at_most
from burdockthread_model.intended import PoolTemplate, TemplateDocument
from burdockthread_operators.client import operators_client
from burdockthread_scenarios.cluster import (
    LOOPBACK,
    Cluster,
    EntryProcess,
    Site,
    free_ports,
    running_cluster,
    token,
)
from burdockthread_standins.forwarder import Forwarder

VM_COUNTS = (61, 305, 610)
ENTRIES = 3
REGIONS = ("north", "middle", "south")
ZONES_PER_REGION = 4
ORGANISATIONS = 4
POOLS = 44
PERIOD_DAYS = 35.0
WAVE_PERIOD_DAYS = 0.2
CHANGES_PER_DAY = 2_300
SECONDS_PER_DAY = 86_400.0
CHANGE_INTERVAL_S = 1.0
FLEET_WAVE_DAYS = 0.26
SETTLE_TIMEOUT_S = 90.0
SETTLE_S = 5.0
SAMPLE_S = 20.0
POLL_S = 0.5
REQUESTS = 100
CPU_TARGET = 2.9
MEMORY_TARGET_MB = 32.0
TRAFFIC_TARGET = 16_384.0
KB_PER_MB = 1024.0
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
ROUTING_ENTRY = Path(__file__).resolve().parent / "routing_entry.py"
SERVICE = "orders"


class RoutingProcess(EntryProcess):
    """An entry that only routes."""

    def command(self, settings: Path) -> list[str]:
        """Returns the command line of the process."""
        return [sys.executable, str(ROUTING_ENTRY), "--settings", str(settings)]


class Reading(NamedTuple):
    """What a process has used so far.

    Attributes:
        cpu_s: Processor time.
        resident_mb: The most memory that it held.
        sent: Bytes sent, by kind of link.
        received: Bytes received, by kind of link.
    """

    cpu_s: float
    resident_mb: float
    sent: dict[str, int]
    received: dict[str, int]


class Usage(NamedTuple):
    """What a process uses.

    Attributes:
        cpu: Share of a core in percent.
        resident_mb: The most memory that it held.
        sent: Bytes a second, by kind of link.
        received: Bytes a second, by kind of link.
    """

    cpu: float
    resident_mb: float
    sent: dict[str, float]
    received: dict[str, float]

    @property
    def traffic(self) -> float:
        """Bytes a second sent and received in all."""
        return sum(self.sent.values()) + sum(self.received.values())


class ControlTrial:
    """A system whose processes are observed from outside.

    Attributes:
        cluster: The processes.
        routing: The entry that only routes.
        links: Forwarders by entry and target, the store or the list of VMs.
        versions: Accepted version of each template.
        changes: Changes accepted so far.
    """

    def __init__(
        self, cluster: Cluster, links: dict[tuple[str, str], Forwarder], vms: int
    ) -> None:
        self.cluster = cluster
        self.links = links
        self.vms = vms
        self.routing = routing_process(cluster)
        self.versions = [0] * ORGANISATIONS
        self.changes = 0

    def processes(self) -> dict[str, EntryProcess]:
        """Returns all entries by name."""
        return {**self.cluster.entries, "routing": self.routing}

    def read(self, name: str) -> Reading:
        """Reads what a process has used."""
        process = self.processes()[name].process
        assert process is not None
        sent, received = transferred(process.pid)
        links = {
            target: link
            for (source, target), link in self.links.items()
            if source == name
        }
        return Reading(
            cpu_seconds(process.pid),
            resident_mb(process.pid),
            parts(sent, {kind: link.sent_bytes for kind, link in links.items()}),
            parts(
                received, {kind: link.received_bytes for kind, link in links.items()}
            ),
        )

    async def sample(self) -> dict[str, Usage]:
        """Observes all processes for `SAMPLE_S`."""
        before = {name: self.read(name) for name in self.processes()}
        started_s = time.monotonic()
        await asyncio.sleep(SAMPLE_S)
        elapsed_s = time.monotonic() - started_s
        return {
            name: usage(old, self.read(name), elapsed_s) for name, old in before.items()
        }

    async def accept(self, number: int, period_days: float) -> None:
        """Puts the next version of an organisation's template in force."""
        document = template(number, self.vms, period_days)
        url = self.cluster.entries["entry-1"].operators_url
        async with operators_client(url, token("proposer")) as client:
            base = self.versions[number]
            proposed: Any = await client.propose(json.dumps(document).encode(), base)
        named = (proposed["change_id"], proposed["content_hash"])
        async with operators_client(url, token("reviewer")) as client:
            await client.review(*named, approve=True)
        async with operators_client(url, token("accepter")) as client:
            await client.accept(*named)
        self.versions[number] += 1

    async def accept_all(self, period_days: float) -> None:
        """Puts all templates in force."""
        for number in range(ORGANISATIONS):
            await self.accept(number, period_days)

    async def change_now_and_then(self) -> None:
        """Accepts a change of one template after the other until cancelled."""
        while True:
            started_s = time.monotonic()
            days = PERIOD_DAYS + (self.changes + 1) / CHANGES_PER_DAY
            await self.accept(self.changes % ORGANISATIONS, days)
            self.changes += 1
            spent_s = time.monotonic() - started_s
            await asyncio.sleep(max(0.0, CHANGE_INTERVAL_S - spent_s))

    async def wait_settled(self) -> None:
        """Waits until every entry sees every pool with its VMs."""
        async with asyncio.timeout(SETTLE_TIMEOUT_S):
            await asyncio.gather(*map(self.wait_entry, self.cluster.entries))

    async def wait_entry(self, name: str) -> None:
        """Waits until an entry sees every pool with its VMs."""
        while True:
            if await self.is_settled(name):
                return
            await asyncio.sleep(POLL_S)

    async def is_settled(self, name: str) -> bool:
        """Returns whether an entry sees every pool with its VMs."""
        pools = (await self.cluster.status(name))["pools"]
        settled = all(pool["serving"] == pool["intended_vms"] for pool in pools)
        return settled and len(pools) == POOLS

    async def maintained(self) -> int:
        """Returns the VMs that were rebooted."""
        headers = {"Authorization": f"Bearer {token('proposer')}"}
        found = 0
        async with aiohttp.ClientSession(headers=headers) as session:
            for entry in self.cluster.entries.values():
                async with session.get(f"{entry.operators_url}/v1/dump") as answer:
                    dump = await answer.json()
                found += dump["metrics"]["counters"].get("planner.maintained", 0)
        return found

    async def answered(self) -> int:
        """Returns how many requests the routing entry answers."""
        headers = {"Burdockthread-Organisation": organisation(0)}
        url = f"{self.routing.callers_url}/services/{SERVICE}/order"
        found = 0
        async with aiohttp.ClientSession(headers=headers) as session:
            for _ in range(REQUESTS):
                async with session.post(url, data="order") as answer:
                    await answer.read()
                    found += answer.status == 200
        return found


def parts(total: int, counted: dict[str, int]) -> dict[str, int]:
    """Returns bytes by kind of link; what no forwarder counted is of peers."""
    return {**counted, "peers": total - sum(counted.values())}


def transferred(pid: int) -> tuple[int, int]:
    """Returns the bytes that a process has written and read.

    The event loop writes to sockets and reads from them like files, so that
    the kernel counts them; lines of the log are counted too.
    """
    lines = Path(f"/proc/{pid}/io").read_text().splitlines()
    counts = {name: int(value) for name, value in (line.split(": ") for line in lines)}
    return counts["wchar"], counts["rchar"]


def usage(before: Reading, after: Reading, elapsed_s: float) -> Usage:
    """Returns what was used between two readings."""
    return Usage(
        cpu=(after.cpu_s - before.cpu_s) / elapsed_s * 100,
        resident_mb=after.resident_mb,
        sent={k: (n - before.sent[k]) / elapsed_s for k, n in after.sent.items()},
        received={
            k: (n - before.received[k]) / elapsed_s for k, n in after.received.items()
        },
    )


def cpu_seconds(pid: int) -> float:
    """Returns the processor time of a process and its threads."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def resident_mb(pid: int) -> float:
    """Returns the most memory that a process held."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmHWM:"):
            return int(line.split()[1]) / KB_PER_MB
    raise ValueError(f"no memory of process {pid}")


def organisation(number: int) -> str:
    """Returns the name of an organisation."""
    return f"organisation-{number}"


def template(number: int, vms: int, period_days: float) -> TemplateDocument:
    """Returns the template of one organisation.

    Args:
        number: Which organisation.
        vms: VMs of all organisations.
        period_days: Days in which every VM is maintained once.
    """
    own = vms // ORGANISATIONS + (number < vms % ORGANISATIONS)
    pools = POOLS // ORGANISATIONS
    size = own // pools
    named = {
        f"pool-{n:02}": PoolTemplate(vms=size, min_available=size // 2)
        for n in range(pools - 1)
    }
    left = own - size * (pools - 1)
    named["spare"] = PoolTemplate(vms=left, min_available=size // 2, spare=True)
    return TemplateDocument(
        name=f"template-{number}",
        organisations={organisation(number): {}},
        pools=named,
        services={SERVICE: {"pool": "pool-00"}},
        maintenance={"period_days": period_days},
    )


def sites(vms: int) -> list[Site]:
    """Returns the regions, each with its availability zones and VMs."""
    return [
        Site(region, zones_of(region), len(range(index, vms, len(REGIONS))), Path())
        for index, region in enumerate(REGIONS)
    ]


def zones_of(region: str) -> tuple[str, ...]:
    """Returns the availability zones of a region."""
    return tuple(f"{region}-{number}" for number in range(ZONES_PER_REGION))


def placement(entries: int) -> list[tuple[str, str]]:
    """Returns availability zone and region of each entry."""
    regions = [REGIONS[number % len(REGIONS)] for number in range(entries)]
    return [(zones_of(region)[0], region) for region in regions]


def routing_process(cluster: Cluster) -> RoutingProcess:
    """Prepares an entry that only routes, with the settings of the first one."""
    settings = json.loads(json.dumps(cluster.entries["entry-1"].settings))
    for name, port in zip(
        ("callers", "operators", "peers"), free_ports(3), strict=True
    ):
        settings[name]["port"] = port
    return RoutingProcess("routing", settings, cluster.folder)


async def link_entries(
    cluster: Cluster, stack: AsyncExitStack
) -> dict[tuple[str, str], Forwarder]:
    """Puts forwarders that count bytes between each entry and the platform."""
    links: dict[tuple[str, str], Forwarder] = {}

    async def link(source: str, target: str, port: int) -> int:
        forwarder = Forwarder(LOOPBACK, port)
        links[source, target] = await stack.enter_async_context(forwarder.running())
        return forwarder.port

    platform_port = int(cluster.platform_url.rsplit(":", 1)[1])
    for name, entry in cluster.entries.items():
        settings = entry.settings
        settings["limits"].pop("directory_interval_s")
        store = await link(name, "store", platform_port)
        directory = await link(name, "directory", platform_port)
        settings["platform"] = {
            "store_url": f"http://{LOOPBACK}:{store}",
            "vm_directory_url": f"http://{LOOPBACK}:{directory}",
        }
    return links


@asynccontextmanager
async def control_trial(vms: int, entries: int) -> AsyncIterator[ControlTrial]:
    """Runs a system within the block; all templates are in force."""
    async with AsyncExitStack() as stack:
        cluster = await stack.enter_async_context(
            running_cluster(sites(vms), placement(entries))
        )
        links = await link_entries(cluster, stack)
        trial = ControlTrial(cluster, links, vms)
        await asyncio.gather(*(e.start() for e in cluster.entries.values()))
        await trial.accept_all(PERIOD_DAYS)
        await trial.wait_settled()
        stack.push_async_callback(trial.routing.stop)
        await trial.routing.start()
        await asyncio.sleep(SETTLE_S)
        yield trial


def scene_measures(scene: str, where: str, usages: dict[str, Usage]) -> list[Measure]:
    """Returns the costs of the costliest entry against the one that only routes.

    Args:
        scene: What went on.
        where: Size of the system.
        usages: What each process used.
    """
    routing = usages["routing"]
    whole = [used for name, used in usages.items() if name != "routing"]
    cpu = max(used.cpu for used in whole)
    memory_mb = max(used.resident_mb for used in whole)
    busiest = max(whole, key=lambda used: used.traffic)
    traffic = busiest.traffic - routing.traffic
    name = f"control.{scene}"
    return [
        Measure(f"{name}.whole.cpu", where, cpu, "%", routing.cpu),
        at_most(f"{name}.cpu", where, cpu - routing.cpu, "%", CPU_TARGET, None),
        Measure(f"{name}.whole.resident", where, memory_mb, "MB", routing.resident_mb),
        at_most(
            f"{name}.memory",
            where,
            memory_mb - routing.resident_mb,
            "MB",
            MEMORY_TARGET_MB,
            None,
        ),
        at_most(f"{name}.traffic", where, traffic, "B/s", TRAFFIC_TARGET, None),
        *traffic_parts(name, where, busiest),
    ]


def traffic_parts(name: str, where: str, used: Usage) -> list[Measure]:
    """Returns the traffic of one entry by kind of link and direction."""
    return [
        Measure(f"{name}.{direction}.{kind}", where, parts[kind], "B/s")
        for direction, parts in (("sent", used.sent), ("received", used.received))
        for kind in sorted(parts)
    ]


def at_rate(idle: Usage, busy: Usage, share: float) -> Usage:
    """Returns the usage at the target's rate, scaled linearly.

    Args:
        idle: Usage while nothing happens.
        busy: Usage at a faster rate than the target's.
        share: The target's rate as a share of that rate.
    """

    def scaled(before: float, after: float) -> float:
        return before + (after - before) * share

    return Usage(
        cpu=scaled(idle.cpu, busy.cpu),
        resident_mb=busy.resident_mb,
        sent={k: scaled(n, busy.sent[k]) for k, n in idle.sent.items()},
        received={k: scaled(n, busy.received[k]) for k, n in idle.received.items()},
    )


async def measure_size(vms: int, entries: int) -> dict[str, dict[str, Usage]]:
    """Observes a system idle, with changes and with a wave, and prints measures."""
    where = f"vms={vms},entries={entries}"
    async with control_trial(vms, entries) as trial:
        found = {"idle": await trial.sample()}
        changing = asyncio.create_task(trial.change_now_and_then())
        before, started_s = trial.changes, time.monotonic()
        fast = await trial.sample()
        rate = (trial.changes - before) / (time.monotonic() - started_s)
        changing.cancel()
        with suppress(asyncio.CancelledError):
            await changing
        share = CHANGES_PER_DAY / SECONDS_PER_DAY / rate
        found["changes"] = {
            name: at_rate(found["idle"][name], used, share)
            for name, used in fast.items()
        }
        maintained, answered = await wave(trial, found)
    pace = vms / (FLEET_WAVE_DAYS * SECONDS_PER_DAY)
    share = pace * SAMPLE_S / max(maintained, 1)
    found["wave_at_pace"] = {
        name: at_rate(found["idle"][name], used, share)
        for name, used in found["wave"].items()
    }
    for scene, usages in found.items():
        print_all(scene_measures(scene, where, usages))
    print_all(
        [
            Measure("control.changes.rate", where, rate, "1/s"),
            Measure("control.wave.maintained", where, maintained, "vms"),
            Measure("control.routing.answered", where, answered, "requests", REQUESTS),
        ]
    )
    return found


async def wave(
    trial: ControlTrial, found: dict[str, dict[str, Usage]]
) -> tuple[int, int]:
    """Observes a system with a wave running.

    Returns:
        VMs maintained meanwhile, and requests that the routing entry answers.
    """
    answered = await trial.answered()
    trial.versions = await accepted_versions(trial)
    await trial.accept_all(WAVE_PERIOD_DAYS)
    await asyncio.sleep(SETTLE_S)
    before = await trial.maintained()
    found["wave"] = await trial.sample()
    return await trial.maintained() - before, answered


async def accepted_versions(trial: ControlTrial) -> list[int]:
    """Returns the accepted version of each template."""
    url = trial.cluster.entries["entry-1"].operators_url
    async with operators_client(url, token("proposer")) as client:
        shown: list[Any] = [
            await client.show(f"template-{n}") for n in range(ORGANISATIONS)
        ]
    return [item["version"] for item in shown]


def print_all(measures: list[Measure]) -> None:
    """Prints measures."""
    for measure in measures:
        print(measure.line(), flush=True)


def slopes(found: dict[int, dict[str, dict[str, Usage]]]) -> list[Measure]:
    """Returns what one VM more costs the costliest entry, by scene."""
    lines = []
    for scene in next(iter(found.values())):
        cpu, traffic = [], []
        for vms, scenes in found.items():
            whole = [u for name, u in scenes[scene].items() if name != "routing"]
            cpu.append((float(vms), max(used.cpu for used in whole)))
            traffic.append((float(vms), max(used.traffic for used in whole)))
        name = f"control.{scene}"
        lines += [
            Measure(f"{name}.cpu_slope", "target", slope(cpu), "%/vm"),
            Measure(f"{name}.traffic_slope", "target", slope(traffic), "B/s/vm"),
        ]
    return lines


async def main() -> None:
    """Prints the measures for each number of VMs."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--entries", type=int, default=ENTRIES)
    parser.add_argument("--vms", type=int, nargs="+", default=VM_COUNTS)
    arguments = parser.parse_args()
    found = {vms: await measure_size(vms, arguments.entries) for vms in arguments.vms}
    if len(found) > 1:
        print_all(slopes(found))


if __name__ == "__main__":
    asyncio.run(main())
