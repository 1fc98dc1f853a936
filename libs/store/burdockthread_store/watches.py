"""Ends a watch together with the block that follows it."""

from collections.abc import AsyncGenerator, AsyncIterator
from contextlib import asynccontextmanager

from burdockthread_store.store import WatchEvent

Batches = AsyncIterator[tuple[WatchEvent, ...]]


@asynccontextmanager
async def closing_watch(batches: Batches) -> AsyncIterator[Batches]:
    """Closes a watch at the end of the block, its connection included.

    Args:
        batches: What `ConfigurationStore.watch` returned.

    Yields:
        The watch.
    """
    try:
        yield batches
    finally:
        if isinstance(batches, AsyncGenerator):
            await batches.aclose()
