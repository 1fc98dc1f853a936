"""An entry that takes the configuration once and then only routes."""

import argparse
from collections.abc import Coroutine
from contextlib import AsyncExitStack

import uvloop
from aiomisc import entrypoint
from burdockthread.entry import Entry
from burdockthread.external_clients import ExternalClients
from burdockthread.service import EntryService
from burdockthread_model.clock import SystemClock
from burdockthread_model.settings import load_settings
from burdockthread_peers.memory_mesh import MemoryNetwork


class RoutingEntry(Entry):
    """Routes by what it has read at its start."""

    async def take_configuration(self) -> None:
        """Reads what is in force; keeps its slots without a member list."""
        await self.config_cache.refresh()
        await self.vm_cache.refresh()
        self.view.on_listings(await self.clients.directory.list())
        self.permits.may_use = lambda: True

    def control_work(self) -> tuple[Coroutine[None, None, None], ...]:
        """Returns nothing."""
        return ()


class RoutingService(EntryService):
    """Runs a `RoutingEntry`, which knows no other entry."""

    async def start(self) -> None:
        """Starts the entry."""
        self.stack = AsyncExitStack()
        edges = ExternalClients.from_settings(self.settings, self.clock)
        mesh = MemoryNetwork().join(self.settings["name"])
        entry = RoutingEntry(self.settings, edges, mesh)
        await entry.take_configuration()
        await self.stack.enter_async_context(entry.running())


def main() -> None:
    """Runs the entry until SIGTERM."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--settings", required=True)
    settings = load_settings(parser.parse_args().settings)
    service = RoutingService(settings=settings, clock=SystemClock())
    with entrypoint(
        service, log_config=False, loop_factory=uvloop.new_event_loop
    ) as loop:
        loop.run_forever()


if __name__ == "__main__":
    main()
