"""Runs scenarios against a world in one process."""

from collections.abc import AsyncIterator, Coroutine
from contextlib import asynccontextmanager
from typing import Any

from burdockthread_fleet.memory_workers import WorkerFaults
from burdockthread_operators.changes import TemplateChanges

from burdockthread_scenarios.driver import ALL_VMS, Driver, NamedChange, ScenarioError
from burdockthread_scenarios.faults import store_fault, worker_faults
from burdockthread_scenarios.memory_vms import ENDPOINT_FAULTS, MemoryVm
from burdockthread_scenarios.world import (
    TEMPLATE,
    World,
    encode_template,
    running_world,
)


class MemoryDriver(Driver):
    """Statements on a `World`."""

    def __init__(self, world: World) -> None:
        self.world = world
        self.named: dict[str, NamedChange] = {}

    async def start(self, entry: str) -> None:
        """Starts an entry."""
        if entry not in self.world.names:
            self.world.names.append(entry)
        self.world.start(entry)

    async def stop(self, entry: str) -> None:
        """Stops an entry gracefully."""
        await self.world.stop(entry)

    async def kill(self, entry: str) -> None:
        """Ends an entry at once."""
        await self.world.kill(entry)

    async def freeze(self, entry: str) -> None:
        """Holds all tasks of an entry."""
        self.world.entries[entry].gate.close()

    async def resume(self, entry: str) -> None:
        """Lets a frozen entry go on."""
        self.world.entries[entry].gate.open()

    async def cut(self, source: str, target: str) -> None:
        """Cuts a link."""
        if target == "store":
            self.world.faults_of(source).down = True
        else:
            self.world.network.cut.add((source, target))

    async def heal(self) -> None:
        """Mends all links."""
        self.world.network.heal()
        for name in self.world.entries:
            self.world.faults_of(name).clear()

    async def set_fault(self, target: str, name: str, amount: float) -> None:
        """Sets a fault."""
        if target == "store":
            self.world.set_store_faults(store_fault(name, amount))
        elif target == "workers":
            for worker in self.world.vms.workers.workers.values():
                worker.faults = worker_faults(name, amount)
        elif name in ENDPOINT_FAULTS and self.vms(target):
            for vm in self.vms(target):
                vm.faults[name] = amount
        else:
            raise ScenarioError(f"no fault {name} of {target}")

    async def clear_faults(self, target: str) -> None:
        """Clears faults."""
        if target == "store":
            self.world.clear_store_faults()
        elif target == "workers":
            for worker in self.world.vms.workers.workers.values():
                worker.faults = WorkerFaults()
        else:
            for vm in self.vms(target):
                vm.faults.clear()

    def vms(self, target: str) -> list[MemoryVm]:
        """Returns the VM of a name, or all VMs for ``vms``."""
        vms = self.world.vms.vms
        return [vm for name, vm in vms.items() if target in (name, ALL_VMS)]

    async def passing(self, work: Coroutine[Any, Any, None]) -> None:
        """Lets time pass until a coroutine has ended."""
        await self.world.passing(work)

    async def send(
        self, amount: int, keyed: bool, request_class: str, entry: str
    ) -> None:
        """Sends requests."""
        self.world.send(amount, keyed, request_class, entry)

    async def repeat(self, entry: str) -> None:
        """Sends keyed requests once more."""
        self.world.repeat(entry)

    async def submit(self, amount: int, entry: str) -> None:
        """Submits jobs."""
        self.world.submit(amount, entry)

    async def advance(self, seconds: float) -> None:
        """Lets time pass."""
        await self.world.advance(seconds)

    def changes(self) -> TemplateChanges:
        """Returns the changes as the first entry that runs offers them."""
        for running in self.world.entries.values():
            if running.gate.opened.is_set():
                return running.entry.operators_api.changes
        raise ScenarioError("no entry runs")

    async def propose(
        self, change: str, base_version: int | None, parameters: dict[str, float]
    ) -> None:
        """Proposes the world's template."""
        if base_version is None:
            base_version = (await self.changes().show(TEMPLATE)).version
        data = encode_template(parameters)
        proposed = await self.changes().propose("proposer", data, base_version)
        self.named[change] = NamedChange(proposed.change_id, proposed.content_hash)

    async def review(self, change: str) -> None:
        """Reviews a change."""
        named = self.named[change]
        await self.changes().review("reviewer", *named, approve=True)

    async def accept(self, change: str) -> None:
        """Accepts a change."""
        await self.changes().accept("accepter", *self.named[change])

    async def versions(self) -> list[int]:
        """Returns the version in force on each running entry."""
        return [
            running.entry.applied.versions().get(TEMPLATE, 0)
            for running in self.world.entries.values()
        ]

    async def counts(self) -> dict[str, int]:
        """Returns all counts."""
        return self.world.counts()


@asynccontextmanager
async def memory_driver(
    entries: int, vms: int, parameters: dict[str, float] | None = None
) -> AsyncIterator[MemoryDriver]:
    """Runs a world within the block; its first template has the parameters."""
    async with running_world(entries, vms, parameters) as world:
        yield MemoryDriver(world)
