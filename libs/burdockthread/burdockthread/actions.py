"""One function for each action of the command line, also usable from programs."""

import asyncio
import signal
from collections.abc import Awaitable, Callable, Iterable, Iterator
from contextlib import AbstractAsyncContextManager
from pathlib import Path
from typing import TypeVar

import uvloop
from absl import logging
from aiomisc import entrypoint
from burdockthread_model.clock import SystemClock
from burdockthread_model.errors import BurdockthreadError
from burdockthread_model.settings import EntrySettings, Limits, load_settings
from burdockthread_operators.client import OperatorsClient, operators_client
from burdockthread_standins.emulated_site import SitePlan
from burdockthread_standins.emulation import Emulation
from burdockthread_standins.job_load import LoadPlan
from burdockthread_standins.processes import platform, site

from burdockthread.bench import run_bench
from burdockthread.explain import Explanation, explain, read_lines
from burdockthread.measures import Measure
from burdockthread.service import EntryService

LOOPBACK = "127.0.0.1"
STOP_MARGIN_S = 10.0
# Callers poll a job for at most this time, which is longer than any injected fault.
EMULATION_POLL_TIMEOUT_S = 60.0

T = TypeVar("T")
Action = Callable[[OperatorsClient], Awaitable[object]]


def run_entry(path: str) -> None:
    """Runs one entry until SIGTERM or SIGINT.

    Args:
        path: Path of the settings file.

    Raises:
        SettingsError: The settings are not valid.
    """
    settings = load_settings(path)
    set_log_level(settings.get("log_level", "info"))
    limits = Limits.from_settings(settings)
    service = EntryService(
        settings=settings,
        clock=SystemClock(),
        stop_timeout_s=limits.stop_timeout_s + STOP_MARGIN_S,
    )
    with entrypoint(
        service,
        log_config=False,
        loop_factory=uvloop.new_event_loop,
        catch_signals=(),
    ) as loop:
        loop.run_until_complete(service.stop_requested.wait())


def set_log_level(level: str) -> None:
    """Sends log lines of at least the level to stderr."""
    logging.set_verbosity(level)
    logging.use_absl_handler()


def explain_job(job: str, logs: Iterable[str]) -> Explanation:
    """Reconstructs the course of a job from the logs of all entries.

    Args:
        job: Id of the job.
        logs: Paths of the logs.

    Raises:
        BurdockthreadError: A log cannot be read.
    """
    texts: list[str] = []
    for path in logs:
        try:
            texts += Path(path).read_text(errors="replace").splitlines()
        except OSError as error:
            raise BurdockthreadError(f"{path}: {error.strerror}") from error
    return explain(job, read_lines(texts))


def run_emulation(jobs: int, rate: float, seed: int, *, faults: bool) -> Iterator[str]:
    """Runs entries on the stand-in platform under load.

    Args:
        jobs: Jobs that callers submit.
        rate: Jobs per second.
        seed: Seed of the load and the faults.
        faults: Whether faults are injected.

    Yields:
        Outcomes, latencies and faults, one line each.

    Raises:
        BurdockthreadError: The run broke a guarantee; the message lists them all.
    """
    load = LoadPlan(jobs, rate, patience_s=EMULATION_POLL_TIMEOUT_S)
    emulation = Emulation(SitePlan(), load, seed)
    result = uvloop.run(emulation.run(faults=faults))
    yield from result.lines
    yield f"faults: {', '.join(result.faults) or 'none'}"
    if result.broken:
        raise BurdockthreadError("; ".join(result.broken))
    yield "no promise was broken"


def check_settings(path: str) -> EntrySettings:
    """Checks a settings file and returns its content.

    Raises:
        SettingsError: The settings are not valid.
    """
    return load_settings(path)


def ask(entry: str, token: str, action: Action) -> object:
    """Runs one action against the operators' port of an entry; returns the answer."""

    async def run() -> object:
        async with operators_client(entry, token) as client:
            return await action(client)

    return asyncio.run(run())


def propose(entry: str, token: str, path: str, base_version: int) -> object:
    """Proposes the template in a file as a change of an accepted version."""
    try:
        template = Path(path).read_bytes()
    except OSError as error:
        raise BurdockthreadError(f"cannot read {path}: {error.strerror}") from error
    return ask(entry, token, lambda client: client.propose(template, base_version))


def review(
    entry: str, token: str, change: str, content_hash: str, approve: bool
) -> object:
    """Approves or rejects a change; the content hash must match."""
    return ask(
        entry,
        token,
        lambda client: client.review(change, content_hash, approve=approve),
    )


def accept(entry: str, token: str, change: str, content_hash: str) -> object:
    """Accepts a reviewed change; the content hash must match."""
    return ask(entry, token, lambda client: client.accept(change, content_hash))


def history(entry: str, token: str, template: str) -> object:
    """Reads the changes of a template."""
    return ask(entry, token, lambda client: client.history(template))


def show(entry: str, token: str, template: str) -> object:
    """Reads the accepted version of a template."""
    return ask(entry, token, lambda client: client.show(template))


def status(entry: str, token: str) -> object:
    """Reads the intended and the actual state of the fleet."""
    return ask(entry, token, lambda client: client.status())


def vms(entry: str, token: str) -> object:
    """Reads the VMs as recorded and as listed."""
    return ask(entry, token, lambda client: client.vms())


def jobs(entry: str, token: str, state: str, limit: int) -> object:
    """Reads jobs in order of submission, the oldest first."""
    return ask(entry, token, lambda client: client.jobs(state, limit))


def cancel_job(entry: str, token: str, job: str) -> object:
    """Cancels a job."""
    return ask(entry, token, lambda client: client.cancel_job(job))


def release_job(entry: str, token: str, job: str) -> object:
    """Lets a parked job wait for a VM again."""
    return ask(entry, token, lambda client: client.release_job(job))


def bench(seed: int, parts: tuple[str, ...]) -> Iterator[Measure]:
    """Runs the measurements and yields each figure; see `run_bench`."""
    return run_bench(seed, parts)


def dump(entry: str, token: str) -> object:
    """Reads the state dump of the entry's process."""
    return ask(entry, token, lambda client: client.dump())


def run_platform(port: int) -> None:
    """Runs the stand-in platform until SIGTERM; prints its port."""
    run_until_signal(platform(LOOPBACK, port), str)


def run_site(platform_url: str, name: str, zones: tuple[str, ...], vms: int) -> None:
    """Runs the stand-in VMs of a site until SIGTERM; prints their count."""
    running = site(name, zones, vms, LOOPBACK, platform_url)
    run_until_signal(running, lambda host: str(len(host.endpoints)))


def run_until_signal(
    running: AbstractAsyncContextManager[T], describe: Callable[[T], str]
) -> None:
    """Runs a context until SIGTERM or SIGINT; prints one line once it has started."""

    async def run() -> None:
        stopped = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, stopped.set)
        async with running as value:
            print(f"ready {describe(value)}", flush=True)
            await stopped.wait()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run())
