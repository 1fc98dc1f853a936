"""Measures what an idle entry costs, against the modules alone, by number of VMs."""

import asyncio
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

import aiohttp
from burdockthread.measures import Measure
from burdockthread_scenarios.cluster import Cluster, Site, running_cluster, token
from burdockthread_scenarios.world import ZONES

VM_COUNTS = (10, 30, 60)
ENTRIES = 3
TEMPLATE_VMS = 30
SETTLE_S = 12.0
IDLE_S = 20.0
KB_PER_MB = 1024.0
TEMPLATE = (
    Path(__file__).resolve().parent.parent / "examples" / "trinacria" / "template.json"
)
IMPORT_ONLY = (
    "import resource, burdockthread.entry, uvloop;"
    "print(resource.getrusage(resource.RUSAGE_SELF).ru_maxrss)"
)


def modules_mb() -> float:
    """Returns the memory of a process that only loads the modules."""
    command = [sys.executable, "-c", IMPORT_ONLY]
    result = subprocess.run(command, capture_output=True, text=True, check=True)
    return int(result.stdout) / KB_PER_MB


async def read_process(cluster: Cluster, entry: str) -> Any:
    """Returns the part of an entry's dump on its process."""
    headers = {"Authorization": f"Bearer {token('proposer')}"}
    url = f"{cluster.entries[entry].operators_url}/v1/dump"
    async with (
        aiohttp.ClientSession(headers=headers) as session,
        session.get(url) as answer,
    ):
        return (await answer.json())["process"]


async def measure_idle(vms: int) -> list[Measure]:
    """Returns processor share and memory of the costliest of idle entries."""
    site = Site("vm", ZONES, vms, TEMPLATE)
    placement = [(ZONES[n % len(ZONES)], "sicily") for n in range(ENTRIES)]
    async with running_cluster([site], placement) as cluster:
        await asyncio.gather(*(e.start() for e in cluster.entries.values()))
        if vms >= TEMPLATE_VMS:
            await cluster.accept_template(TEMPLATE, 0)
        await asyncio.sleep(SETTLE_S)
        started_s = time.monotonic()
        before = [await read_process(cluster, name) for name in cluster.entries]
        await asyncio.sleep(IDLE_S)
        after = [await read_process(cluster, name) for name in cluster.entries]
        elapsed_s = time.monotonic() - started_s
    shares = [
        (b["cpu_s"] - a["cpu_s"]) / elapsed_s * 100
        for a, b in zip(before, after, strict=True)
    ]
    memory_mb = max(item["max_resident_kb"] for item in after) / KB_PER_MB
    where = f"vms={vms}"
    baseline_mb = modules_mb()
    control_mb = memory_mb - baseline_mb
    return [
        Measure(
            "control.cpu", where, max(shares), "%", None, "<=2.9", max(shares) <= 2.9
        ),
        Measure("control.resident", where, memory_mb, "MB", baseline_mb),
        Measure(
            "control.added", where, control_mb, "MB", None, "<=32", control_mb <= 32
        ),
    ]


async def main() -> None:
    """Prints the measures for each number of VMs."""
    for vms in VM_COUNTS:
        for measure in await measure_idle(vms):
            print(measure.line(), flush=True)


if __name__ == "__main__":
    asyncio.run(main())
