"""Runs the measurements and prints a line for each figure."""

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
    """Measures part by part.

    Args:
        seed: Seed of everything that is drawn at random.
        parts: Names of the parts to run; all if empty.

    Yields:
        Each figure once its part has been measured.

    Raises:
        NotFoundError: No part of that name.
    """
    for name in parts or tuple(PARTS):
        if name not in PARTS:
            raise NotFoundError(f"no part {name}; there are {', '.join(PARTS)}")
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            yield from runner.run(measure(PARTS[name], seed))


async def measure(part: Measurement, seed: int) -> list[Measure]:
    """Runs one part."""
    return await part(seed)
