"""One function for each action, shared by the command line and by programs."""

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
# Callers look at a job for so long, over any fault that is injected.
EMULATION_PATIENCE_S = 60.0

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
    service = EntryService(settings=settings, clock=SystemClock())
    with entrypoint(
        service,
        log_config=False,
        loop_factory=uvloop.new_event_loop,
        shutdown_timeout=limits.stop_timeout_s + STOP_MARGIN_S,
    ) as loop:
        loop.run_forever()


def set_log_level(level: str) -> None:
    """Sends logs to stderr from a level on."""
    logging.set_verbosity(level)
    logging.use_absl_handler()


def explain_job(job: str, logs: Iterable[str]) -> Explanation:
    """Tells from the logs of all entries what became of a job.

    Args:
        job: Its id.
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
    """Runs a deployment on the stand-in platform under load.

    Args:
        jobs: Jobs that callers submit.
        rate: Jobs a second.
        seed: Seed of the load and the faults.
        faults: Whether faults are injected.

    Yields:
        Outcomes, latencies, faults and broken promises, a line each.

    Raises:
        BurdockthreadError: A promise was broken.
    """
    load = LoadPlan(jobs, rate, patience_s=EMULATION_PATIENCE_S)
    emulation = Emulation(SitePlan(), load, seed)
    result = uvloop.run(emulation.run(faults=faults))
    yield from result.lines
    yield f"faults: {', '.join(result.faults) or 'none'}"
    if result.broken:
        raise BurdockthreadError("; ".join(result.broken))
    yield "no promise was broken"


def check_settings(path: str) -> EntrySettings:
    """Checks a settings file and returns its content."""
    return load_settings(path)


def ask(entry: str, token: str, action: Action) -> object:
    """Runs one action against the operators' port of an entry."""

    async def run() -> object:
        async with operators_client(entry, token) as client:
            return await action(client)

    return asyncio.run(run())


def propose(entry: str, token: str, path: str, base_version: int) -> object:
    """Proposes the template in a file."""
    try:
        template = Path(path).read_bytes()
    except OSError as error:
        raise BurdockthreadError(f"cannot read {path}: {error.strerror}") from error
    return ask(entry, token, lambda client: client.propose(template, base_version))


def review(
    entry: str, token: str, change: str, content_hash: str, approve: bool
) -> object:
    """Reviews a change."""
    return ask(
        entry,
        token,
        lambda client: client.review(change, content_hash, approve=approve),
    )


def accept(entry: str, token: str, change: str, content_hash: str) -> object:
    """Accepts a change."""
    return ask(entry, token, lambda client: client.accept(change, content_hash))


def history(entry: str, token: str, template: str) -> object:
    """Reads the changes of a template."""
    return ask(entry, token, lambda client: client.history(template))


def show(entry: str, token: str, template: str) -> object:
    """Reads the accepted version of a template."""
    return ask(entry, token, lambda client: client.show(template))


def status(entry: str, token: str) -> object:
    """Reads the intended against the actual state."""
    return ask(entry, token, lambda client: client.status())


def vms(entry: str, token: str) -> object:
    """Reads the VMs as recorded and as listed."""
    return ask(entry, token, lambda client: client.vms())


def jobs(entry: str, token: str, state: str, limit: int) -> object:
    """Reads jobs, those submitted first at the head."""
    return ask(entry, token, lambda client: client.jobs(state, limit))


def cancel_job(entry: str, token: str, job: str) -> object:
    """Cancels a job."""
    return ask(entry, token, lambda client: client.cancel_job(job))


def release_job(entry: str, token: str, job: str) -> object:
    """Lets a parked job wait for a VM again."""
    return ask(entry, token, lambda client: client.release_job(job))


def bench(seed: int, parts: tuple[str, ...]) -> Iterator[Measure]:
    """Runs the measurements; see `run_bench`."""
    return run_bench(seed, parts)


def dump(entry: str, token: str) -> object:
    """Reads the state of one process."""
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
    """Runs a context until SIGTERM or SIGINT; prints one line when it is up."""

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
