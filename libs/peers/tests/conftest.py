import asyncio
from typing import NamedTuple

import pytest
from burdockthread_model.clock import MemoryClock
from burdockthread_model.errors import StoreUnavailableError
from burdockthread_model.events import EventLog
from burdockthread_peers.membership import Membership
from burdockthread_peers.memory_mesh import MemoryMesh, MemoryNetwork
from burdockthread_peers.owned_keys import OwnedKeys
from burdockthread_peers.view import ViewMember
from burdockthread_store.memory_store import MemoryStore
from burdockthread_store.store import ConfigurationStore

KEYS_PER_ENTRY = 1_000


class Node(NamedTuple):
    """Mesh, membership and keys of one entry, with their running tasks."""

    mesh: MemoryMesh
    store: "CutStore"
    membership: Membership
    keys: OwnedKeys
    tasks: tuple[asyncio.Task, ...]


class CutStore(ConfigurationStore):
    """One entry's connection to a shared store, which can fail.

    Attributes:
        cut: Whether calls fail.
        calls: Number of calls, without those of local copies.
        copy_calls: Number of listings and watches by local copies.
    """

    def __init__(self, store: MemoryStore) -> None:
        self.store = store
        self.cut = False
        self.calls = 0
        self.copy_calls = 0

    def counted_store(self) -> MemoryStore:
        self.calls += 1
        return self.connected_store()

    def connected_store(self) -> MemoryStore:
        if self.cut:
            raise StoreUnavailableError("connection to the store is cut")
        return self.store

    async def get(self, key):
        return await self.counted_store().get(key)

    async def list(self, prefix):
        self.copy_calls += 1
        return await self.connected_store().list(prefix)

    async def write(self, changes, guards=()):
        return await self.counted_store().write(changes, guards)

    async def grant_lease(self, ttl_s):
        return await self.counted_store().grant_lease(ttl_s)

    async def renew_lease(self, lease):
        return await self.counted_store().renew_lease(lease)

    async def revoke_lease(self, lease):
        await self.counted_store().revoke_lease(lease)

    async def watch(self, prefix, after_revision):
        self.copy_calls += 1
        async for events in self.connected_store().watch(prefix, after_revision):
            self.connected_store()
            yield events

    async def close(self):
        pass


class Cluster:
    """Entries that share one memory network, store and clock."""

    def __init__(self, clock: MemoryClock, store: MemoryStore) -> None:
        self.clock = clock
        self.store = store
        self.network = MemoryNetwork()
        self.nodes: dict[str, Node] = {}
        self.starts = 0

    def start(self, name: str, keys: int = KEYS_PER_ENTRY, host: str = "") -> Node:
        """Starts an entry; replaces an older process of its name."""
        self.starts += 1
        mesh = self.network.join(name, incarnation=f"i{self.starts}")
        me = ViewMember(name, f"i{self.starts}", host or name, 1, "zone", "region")
        log = EventLog(name)
        store = CutStore(self.store)
        membership = Membership(me, mesh, store, self.clock, log)
        owned = OwnedKeys(mesh, membership, self.clock, keys)
        tasks = (
            asyncio.create_task(membership.run()),
            asyncio.create_task(owned.run()),
        )
        self.nodes[name] = Node(mesh, store, membership, owned, tasks)
        return self.nodes[name]

    def kill(self, name: str) -> None:
        """Ends a process without a notice to others."""
        node = self.nodes.pop(name)
        self.network.meshes.pop(name, None)
        for task in node.tasks:
            task.cancel()

    async def started(self, *names: str) -> None:
        """Starts entries and waits until all are members."""
        for name in names:
            self.start(name)
        await self.clock.advance(8.0)

    def views(self) -> set[tuple[int, tuple[str, ...]]]:
        """Returns the distinct member lists that the entries use."""
        return {
            (node.membership.view.version, node.membership.view.names())
            for node in self.nodes.values()
        }


@pytest.fixture
async def cluster(clock, store):
    cluster = Cluster(clock, store)
    yield cluster
    for name in list(cluster.nodes):
        cluster.kill(name)
    await asyncio.sleep(0)


@pytest.fixture(scope="session")
def new_cluster():
    """Returns the class, for tests that run an event loop of their own."""
    return Cluster
