"""Runs the benchmarks and yields the measured figures."""

import asyncio
from collections.abc import Awaitable, Callable, Iterator

import uvloop
from burdockthread_model.errors import NotFoundError

from burdockthread import (
    bench_fleet,
    bench_jobs,
    bench_peers,
    bench_routing,
    bench_scheduling,
    bench_store,
)
from burdockthread.measures import Measure

Measurement = Callable[[int], Awaitable[list[Measure]]]

PARTS: dict[str, Measurement] = {
    "routing": bench_routing.measures,
    "peers": bench_peers.measures,
    "store": bench_store.measures,
    "fleet": bench_fleet.measures,
    "jobs": bench_jobs.measures,
    "scheduling": bench_scheduling.measures,
}


def run_bench(seed: int, parts: tuple[str, ...]) -> Iterator[Measure]:
    """Runs the benchmarks one after the other, each in a new event loop.

    Args:
        seed: Seed of the random generators.
        parts: Names of the benchmarks to run; all if empty.

    Yields:
        The measures of each benchmark once it has ended.

    Raises:
        NotFoundError: There is no benchmark of a given name.
    """
    for name in parts or tuple(PARTS):
        if name not in PARTS:
            raise NotFoundError(
                f"unknown benchmark part {name}; available: {', '.join(PARTS)}"
            )
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            yield from runner.run(measure(PARTS[name], seed))


async def measure(part: Measurement, seed: int) -> list[Measure]:
    """Runs one benchmark with a seed."""
    return await part(seed)
