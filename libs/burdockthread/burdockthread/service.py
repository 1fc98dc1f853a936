"""Runs an entry as an aiomisc service that stops on SIGTERM or SIGINT."""

import asyncio
import signal
from contextlib import AsyncExitStack

import aiomisc
from burdockthread_model.clock import Clock
from burdockthread_model.settings import EntrySettings

from burdockthread.entry import Entry
from burdockthread.external_clients import ExternalClients

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class EntryService(aiomisc.Service):
    """Runs an entry under aiomisc until a signal requests its stop.

    Attributes:
        stop_timeout_s: Longest time in seconds that the stop may take.
        stop_requested: Set by the first signal, also while the entry starts.
    """

    settings: EntrySettings
    clock: Clock
    stop_timeout_s: float
    stack: AsyncExitStack
    stop_requested: asyncio.Event

    async def start(self) -> None:
        """Starts the entry; SIGUSR1 then logs its state.

        The handlers of the stop signals are installed before a port listens.
        aiomisc would install its own only after the start.
        """
        self.stop_requested = asyncio.Event()
        loop = asyncio.get_running_loop()
        for number in STOP_SIGNALS:
            loop.add_signal_handler(number, self.stop_requested.set)
        self.stack = AsyncExitStack()
        entry = Entry(
            self.settings, ExternalClients.from_settings(self.settings, self.clock)
        )
        await self.stack.enter_async_context(entry.running())
        loop.add_signal_handler(signal.SIGUSR1, log_dump, entry)

    async def stop(self, exception: Exception | None = None) -> None:
        """Stops the entry gracefully.

        Raises:
            TimeoutError: The stop took longer than `stop_timeout_s`.
        """
        async with asyncio.timeout(self.stop_timeout_s):
            await self.stack.aclose()


def log_dump(entry: Entry) -> None:
    """Logs each part of the state of this process."""
    for name, report in entry.operators_api.reports.items():
        entry.log.info("state_dump", part=name, state=report())
