"""Closes a watch at the end of a block."""

from collections.abc import AsyncGenerator, AsyncIterator
from contextlib import asynccontextmanager

from burdockthread_store.store import WatchEvent

Batches = AsyncIterator[tuple[WatchEvent, ...]]


@asynccontextmanager
async def closing_watch(batches: Batches) -> AsyncIterator[Batches]:
    """Closes a watch, with its connection, at the end of the block.

    Args:
        batches: Iterator returned by `ConfigurationStore.watch`.

    Yields:
        The same iterator.
    """
    try:
        yield batches
    finally:
        if isinstance(batches, AsyncGenerator):
            await batches.aclose()
