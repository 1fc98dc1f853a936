"""Runs an entry as a service that ends on SIGTERM."""

import asyncio
import signal
from contextlib import AsyncExitStack

import aiomisc
from burdockthread_model.clock import Clock
from burdockthread_model.settings import EntrySettings

from burdockthread.entry import Entry
from burdockthread.external_clients import ExternalClients


class EntryService(aiomisc.Service):
    """Runs an entry under aiomisc, which handles SIGTERM and SIGINT."""

    settings: EntrySettings
    clock: Clock
    stack: AsyncExitStack

    async def start(self) -> None:
        """Starts the entry."""
        self.stack = AsyncExitStack()
        entry = Entry(
            self.settings, ExternalClients.from_settings(self.settings, self.clock)
        )
        await self.stack.enter_async_context(entry.running())
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGUSR1, log_dump, entry)

    async def stop(self, exception: Exception | None = None) -> None:
        """Stops the entry gracefully."""
        await self.stack.aclose()


def log_dump(entry: Entry) -> None:
    """Logs the state of this process."""
    for name, report in entry.operators_api.reports.items():
        entry.log.info("state_dump", part=name, state=report())
