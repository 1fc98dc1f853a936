"""Cuts the holder of a pool off, with some of the workers on either side."""

import asyncio
import random
import signal
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from burdockthread_standins.broken_run import FaultSpan
from burdockthread_standins.emulated_site import EmulatedSite, EntryProcess
from burdockthread_standins.forwarder import Direction

DURATION_S = (2.0, 9.0)
FREEZE_S = (0.5, 4.0)
FREEZE_SHARE = 0.5


def worker_addresses(site: EmulatedSite, pool: str) -> list[str]:
    """Returns the addresses of the workers of a pool, in order of their ids."""
    return [
        f"{site.host}:{port}"
        for key, port in sorted(site.workers.ports.items())
        if key in site.park.by_key and site.park.by_key[key].listing.pool == pool
    ]


@asynccontextmanager
async def partitioned(
    site: EmulatedSite, holder: EntryProcess, far: set[str], near: set[str]
) -> AsyncIterator[None]:
    """Parts the holder of a pool from the store and the other entries in the block.

    Args:
        site: The deployment.
        holder: The entry that is cut off.
        far: Addresses of the workers that the holder does not reach.
        near: Addresses of those that the other entries do not reach.
    """
    others = [entry for entry in site.entries if entry is not holder]
    beyond = far | {entry.address for entry in others}
    hidden = near | {holder.address}
    holder.links.paths.hold(beyond)
    for entry in others:
        entry.links.paths.hold(hidden)
    for direction in Direction:
        holder.links.store.hold(direction)
    try:
        yield
    finally:
        holder.links.store.heal()
        holder.links.paths.heal(beyond)
        for entry in others:
            entry.links.paths.heal(hidden)


async def strike(site: EmulatedSite, chance: random.Random, span: FaultSpan) -> None:
    """Cuts off the holder of some pool for a while, if it has one.

    In some cases the holder is also frozen for the first part of that time.

    Args:
        site: The deployment.
        chance: Draws what is done.
        span: Takes the holder's name and fencing tokens.
    """
    pool = chance.choice(site.plan.pools)
    holder = site.holder(pool)
    workers = worker_addresses(site, pool)
    far = set(chance.sample(workers, k=chance.randint(0, len(workers))))
    left_s = chance.uniform(*DURATION_S)
    freeze_s = chance.uniform(*FREEZE_S) if chance.random() < FREEZE_SHARE else 0.0
    if holder is None:
        return
    span.target, span.fences = holder.name, site.fences(holder)
    async with partitioned(site, holder, far, set(workers) - far):
        if freeze_s:
            holder.send(signal.SIGSTOP)
            await asyncio.sleep(min(freeze_s, left_s))
            holder.send(signal.SIGCONT)
        await asyncio.sleep(max(left_s - freeze_s, 0.0))
