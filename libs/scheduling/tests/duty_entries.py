"""Entries that share a store and distribute duties among them, for tests."""

import asyncio
from typing import ClassVar

from burdockthread_model.clock import MemoryClock
from burdockthread_model.errors import PeerUnavailableError
from burdockthread_model.events import EventLog
from burdockthread_model.metrics import MemoryMetrics
from burdockthread_scheduling.duties import Duties
from burdockthread_scheduling.duty import Duty
from burdockthread_scheduling.records import CLUSTER_PREFIX
from burdockthread_store.faulty_store import FaultyStore
from burdockthread_store.memory_store import MemoryStore
from burdockthread_store.prefix_cache import PrefixCache
from burdockthread_store.settled_store import SettledStore

NAMES = ("pool:a", "pool:b", "pool:c")


class IdleDuty(Duty):
    """A duty that does no work and records its hand-over."""

    at_work: ClassVar[list[str]] = []

    def __init__(self, tenure):
        self.tenure = tenure
        self.handed_over = False
        self.working = True

    async def run(self):
        IdleDuty.at_work.append(self.tenure.duty)
        try:
            await asyncio.Event().wait()
        finally:
            IdleDuty.at_work.remove(self.tenure.duty)

    async def hand_over(self):
        self.handed_over = True

    async def pause(self):
        self.working = False
        return b"orders"

    def resume(self):
        self.working = True


class Entries:
    """Several entries that share a store; faults can be set for each entry."""

    def __init__(self):
        self.clock = MemoryClock()
        self.memory = MemoryStore(self.clock)
        self.duties = {}
        self.stores = {}
        self.tasks = {}
        self.links_cut = False
        self.answers_lost = False
        self.hindered_s = 0.0

    def add(self, name, weight=1.0):
        """Starts an entry."""
        faulty = FaultyStore(self.memory, self.clock)
        store = SettledStore(faulty, name, self.clock, MemoryMetrics())
        cache = PrefixCache(store, CLUSTER_PREFIX, self.clock, 0.3)
        duties = Duties(
            name,
            f"{name}:1",
            "zone-a",
            weight,
            store,
            cache,
            self.clock,
            MemoryMetrics(),
            EventLog(name),
            lambda: dict.fromkeys(NAMES, IdleDuty),
            self.send_offer,
            lambda: self.hindered_s,
        )
        self.stores[name] = faulty
        self.duties[name] = duties
        self.tasks[name] = [
            asyncio.create_task(cache.run()),
            asyncio.create_task(duties.run()),
        ]
        return duties

    async def send_offer(self, address, offer):
        """Passes an offer to the entry at an address."""
        if self.links_cut:
            raise PeerUnavailableError(address)
        taken = await self.duties[address.partition(":")[0]].accept_offer(offer)
        if self.answers_lost:
            raise PeerUnavailableError(address)
        return taken

    async def kill(self, name):
        """Ends an entry without a hand-over."""
        for task in self.tasks[name]:
            task.cancel()
        await asyncio.gather(*self.tasks[name], return_exceptions=True)

    def held(self):
        """The names of held duties, each with the entries that hold it."""
        found = {}
        for entry, duties in self.duties.items():
            for name in duties.held:
                found.setdefault(name, []).append(entry)
        return found

    async def pass_time(self, seconds):
        """Lets time pass in small steps."""
        for _ in range(round(seconds / 0.05)):
            await self.clock.advance(0.05)
