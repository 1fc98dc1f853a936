"""Starts the stand-ins and entries as distinct processes on loopback."""

import asyncio
import hashlib
import json
import signal
import sys
import tempfile
import time
from asyncio.subprocess import DEVNULL, PIPE, Process
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from http import HTTPStatus
from pathlib import Path
from typing import Any, NamedTuple

import aiohttp
from ephemeral_port_reserve import reserve

LOOPBACK = "127.0.0.1"
START_TIMEOUT_S = 20.0
READY_TIMEOUT_S = 2.0
LOG_LINES = 10
STOP_TIMEOUT_S = 20.0
POLL_S = 0.1
PEER_KEY = "a-key-for-trials-on-loopback"
OPERATORS = {
    "proposer": ["read", "propose", "cancel"],
    "reviewer": ["read", "review"],
    "accepter": ["read", "accept"],
}


class Site(NamedTuple):
    """A site of the demo.

    Attributes:
        name: Name of the site and of its organisation.
        zones: Availability zones.
        vms: VMs in all.
        template: Path of its template.
    """

    name: str
    zones: tuple[str, ...]
    vms: int
    template: Path


class EntryProcess:
    """One entry as a process of its own.

    Attributes:
        name: Name of the entry.
        settings: Its settings.
        process: The process, or None before the start.
    """

    def __init__(self, name: str, settings: dict[str, Any], folder: Path) -> None:
        self.name = name
        self.settings = settings
        self.folder = folder
        self.process: Process | None = None

    @property
    def callers_url(self) -> str:
        """Address of the callers' port."""
        return f"http://{LOOPBACK}:{self.settings['callers']['port']}"

    @property
    def operators_url(self) -> str:
        """Address of the operators' port."""
        return f"http://{LOOPBACK}:{self.settings['operators']['port']}"

    async def start(self) -> None:
        """Starts the process and waits until it is ready."""
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings))
        log = self.folder / f"{self.name}.log"
        self.process = await start_process(self.command(path), log)
        await wait_ready(self.process, log, f"{self.callers_url}/readyz")

    def command(self, settings: Path) -> list[str]:
        """Returns the command line of the process."""
        return command("entry", "--settings", str(settings))

    def send_signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def wait(self) -> int:
        """Waits for the end of the process and returns its exit code."""
        if self.process is None:
            return 0
        return await asyncio.wait_for(self.process.wait(), STOP_TIMEOUT_S)

    async def stop(self) -> None:
        """Stops the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            await stop_process(self.process)


class Cluster:
    """A platform, sites and entries.

    Attributes:
        folder: Folder for settings and logs.
        platform_url: Address of the stand-in platform.
        entries: Entries by name.
    """

    def __init__(self, folder: Path, platform_url: str) -> None:
        self.folder = folder
        self.platform_url = platform_url
        self.entries: dict[str, EntryProcess] = {}

    def add_entries(self, placement: Sequence[tuple[str, str]]) -> None:
        """Prepares entries that know each other.

        Args:
            placement: Availability zone and region of each entry.
        """
        ports = free_ports(3 * len(placement))
        peers = [
            {
                "name": f"entry-{number + 1}",
                "host": LOOPBACK,
                "port": ports.pop(),
                "availability_zone": zone,
                "region": region,
            }
            for number, (zone, region) in enumerate(placement)
        ]
        for peer in peers:
            settings = self.entry_settings(peer, peers, ports.pop(), ports.pop())
            name = str(peer["name"])
            self.entries[name] = EntryProcess(name, settings, self.folder)

    def entry_settings(
        self,
        peer: dict[str, Any],
        peers: list[dict[str, Any]],
        callers_port: int,
        operators_port: int,
    ) -> dict[str, Any]:
        """Returns the settings of one entry."""
        return {
            "name": peer["name"],
            "availability_zone": peer["availability_zone"],
            "region": peer["region"],
            "callers": {"host": LOOPBACK, "port": callers_port},
            "operators": {"host": LOOPBACK, "port": operators_port},
            "peers": {"host": LOOPBACK, "port": peer["port"]},
            "peer_key": PEER_KEY,
            "entries": peers,
            "platform": {
                "store_url": self.platform_url,
                "vm_directory_url": self.platform_url,
            },
            "operator_tokens": [
                {
                    "operator": name,
                    "token_sha256": sha256(token(name)),
                    "rights": rights,
                }
                for name, rights in OPERATORS.items()
            ],
            "limits": {"stop_timeout_s": 10.0, "directory_interval_s": 0.5},
        }

    async def operate(self, operator: str, entry: str, *arguments: str) -> Any:
        """Runs an operator's command against an entry; returns its JSON answer."""
        url = self.entries[entry].operators_url
        options = ("--entry", url, "--token", token(operator), "--json")
        process = await asyncio.create_subprocess_exec(
            *command(*arguments, *options), stdout=PIPE, stderr=PIPE
        )
        output, errors = await process.communicate()
        if process.returncode != 0:
            raise RuntimeError(errors.decode().strip())
        return json.loads(output)

    async def accept_template(self, path: Path, base_version: int) -> int:
        """Proposes, reviews and accepts a template; returns its version."""
        names = list(self.entries)
        base = ("--base-version", str(base_version))
        change = await self.operate(
            "proposer", names[0], "template", "propose", str(path), *base
        )
        named = (change["change_id"], "--hash", change["content_hash"])
        await self.operate("reviewer", names[-1], "template", "review", *named)
        accepted = await self.operate(
            "accepter", names[0], "template", "accept", *named
        )
        version: int = accepted["version"]
        return version

    async def status(self, entry: str) -> Any:
        """Reads the status of one entry."""
        headers = {"Authorization": f"Bearer {token('proposer')}"}
        url = f"{self.entries[entry].operators_url}/v1/status"
        async with (
            aiohttp.ClientSession(headers=headers) as session,
            session.get(url) as answer,
        ):
            return await answer.json()


@asynccontextmanager
async def running_cluster(
    sites: Sequence[Site], placement: Sequence[tuple[str, str]]
) -> AsyncIterator[Cluster]:
    """Runs a platform and sites within the block and prepares entries.

    The entries are started by the caller and stopped at the end.
    """
    started: list[Process] = []
    cluster = None
    with tempfile.TemporaryDirectory() as folder:
        try:
            platform, line = await start_standin("platform")
            started.append(platform)
            platform_url = f"http://{LOOPBACK}:{line}"
            for site in sites:
                arguments = site_arguments(site, platform_url)
                process, _ = await start_standin("endpoint", *arguments)
                started.append(process)
            cluster = Cluster(Path(folder), platform_url)
            cluster.add_entries(placement)
            yield cluster
        finally:
            if cluster is not None:
                await asyncio.gather(*(e.stop() for e in cluster.entries.values()))
            for process in reversed(started):
                await stop_process(process)


def site_arguments(site: Site, platform_url: str) -> list[str]:
    """Returns the command line of a site's stand-in."""
    zones = ",".join(site.zones)
    arguments = ["--platform", platform_url, "--site", site.name]
    return [*arguments, "--zones", zones, "--vms", str(site.vms)]


async def start_standin(*arguments: str) -> tuple[Process, str]:
    """Starts a stand-in; returns it and what it printed when it was up."""
    process = await asyncio.create_subprocess_exec(
        *command("standin", *arguments), stdout=PIPE, stderr=DEVNULL
    )
    assert process.stdout is not None
    line = await asyncio.wait_for(process.stdout.readline(), START_TIMEOUT_S)
    return process, line.decode().removeprefix("ready").strip()


async def stop_process(process: Process) -> None:
    """Asks a process to end, and ends it if it does not."""
    if process.returncode is not None:
        return
    process.terminate()
    try:
        await asyncio.wait_for(process.wait(), STOP_TIMEOUT_S)
    except TimeoutError:
        process.kill()
        await process.wait()


async def start_process(arguments: Sequence[str], log: Path) -> Process:
    """Starts a process that writes into a log."""
    with log.open("ab") as output:
        return await asyncio.create_subprocess_exec(
            *arguments, stdout=output, stderr=output
        )


async def wait_ready(process: Process, log: Path, url: str) -> None:
    """Waits until a process answers 200 at an address.

    Args:
        process: The process.
        log: What it writes.
        url: The address.

    Raises:
        RuntimeError: If the process ends or is not ready in START_TIMEOUT_S;
            the message ends with the last lines of its log.
    """
    timeout = aiohttp.ClientTimeout(total=READY_TIMEOUT_S)
    deadline_s = time.monotonic() + START_TIMEOUT_S
    async with aiohttp.ClientSession(timeout=timeout) as session:
        while not await is_ready(session, url):
            if process.returncode is not None or time.monotonic() > deadline_s:
                raise RuntimeError(f"not ready: {url}: {last_lines(log)}")
            await asyncio.sleep(POLL_S)


async def is_ready(session: aiohttp.ClientSession, url: str) -> bool:
    """Returns whether an address answers 200."""
    try:
        async with session.get(url) as answer:
            return answer.status == HTTPStatus.OK
    except (aiohttp.ClientError, TimeoutError):
        return False


def last_lines(log: Path) -> str:
    """Returns the end of a log."""
    return "\n".join(log.read_text().splitlines()[-LOG_LINES:])


def command(*arguments: str) -> list[str]:
    """Returns the command line of the program."""
    return [sys.executable, "-m", "burdockthread", *arguments]


def free_ports(count: int) -> list[int]:
    """Returns ports that the kernel keeps from whoever does not name them."""
    return [reserve(LOOPBACK) for _ in range(count)]


def token(operator: str) -> str:
    """Returns the token of an operator of the demo."""
    return f"trial-token-of-{operator}"


def sha256(text: str) -> str:
    """Returns the SHA-256 of a text in hex."""
    return hashlib.sha256(text.encode()).hexdigest()
