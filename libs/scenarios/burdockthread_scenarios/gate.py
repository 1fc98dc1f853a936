"""Holds one entry's tasks within a process, as a stopped process would be held."""

import asyncio
from collections.abc import AsyncIterator, Sequence
from contextlib import AbstractAsyncContextManager, asynccontextmanager

from burdockthread_model.clock import Clock
from burdockthread_model.settings import PeerSettings
from burdockthread_peers.mesh import Handler, Member, Message, PeerMesh, Reply
from burdockthread_store.store import (
    Change,
    ConfigurationStore,
    Guard,
    KeyValue,
    Lease,
    Listing,
    WatchEvent,
)


class Gate:
    """Open while the entry runs; tasks that reach it while closed wait.

    Attributes:
        dead: Whether the entry was killed; its tasks end at the gate.
    """

    def __init__(self) -> None:
        self.dead = False
        self.opened = asyncio.Event()
        self.opened.set()

    def close(self) -> None:
        """Holds the entry's tasks."""
        self.opened.clear()

    def open(self) -> None:
        """Lets the entry's tasks go on."""
        self.opened.set()

    def kill(self) -> None:
        """Ends every task that reaches the gate, clean-up included."""
        self.dead = True
        self.opened.set()

    async def wait(self) -> None:
        """Waits until the gate is open.

        Raises:
            asyncio.CancelledError: The entry was killed.
        """
        await self.opened.wait()
        if self.dead:
            raise asyncio.CancelledError


class GatedClock(Clock):
    """A clock whose sleepers stay asleep while the gate is closed."""

    def __init__(self, clock: Clock, gate: Gate) -> None:
        self.clock = clock
        self.gate = gate

    def now(self) -> float:
        """Returns monotonic seconds; they go on while the gate is closed."""
        return self.clock.now()

    def wall(self) -> float:
        """Returns seconds since the Unix epoch."""
        return self.clock.wall()

    async def sleep(self, seconds: float) -> None:
        """Waits, then waits for the gate."""
        await self.clock.sleep(seconds)
        await self.gate.wait()

    def timeout(self, seconds: float) -> AbstractAsyncContextManager[None]:
        """Bounds the time of a block."""
        return self.clock.timeout(seconds)


class GatedStore(ConfigurationStore):
    """A store whose calls and answers wait for the gate."""

    def __init__(self, store: ConfigurationStore, gate: Gate) -> None:
        self.store = store
        self.gate = gate

    @asynccontextmanager
    async def passing(self) -> AsyncIterator[None]:
        """Waits for the gate before and after the block."""
        await self.gate.wait()
        try:
            yield
        finally:
            await self.gate.wait()

    async def get(self, key: str) -> KeyValue | None:
        """Reads one key."""
        async with self.passing():
            return await self.store.get(key)

    async def list(self, prefix: str) -> Listing:
        """Reads all keys below a prefix."""
        async with self.passing():
            return await self.store.list(prefix)

    async def write(
        self, changes: Sequence[Change], guards: Sequence[Guard] = ()
    ) -> int:
        """Applies conditional writes, all or none."""
        async with self.passing():
            return await self.store.write(changes, guards)

    async def grant_lease(self, ttl_s: float) -> Lease:
        """Takes a new lease."""
        async with self.passing():
            return await self.store.grant_lease(ttl_s)

    async def renew_lease(self, lease: Lease) -> Lease:
        """Prolongs a lease."""
        async with self.passing():
            return await self.store.renew_lease(lease)

    async def revoke_lease(self, lease: Lease) -> None:
        """Ends a lease."""
        async with self.passing():
            await self.store.revoke_lease(lease)

    async def watch(
        self, prefix: str, after_revision: int
    ) -> AsyncIterator[tuple[WatchEvent, ...]]:
        """Follows the changes below a prefix."""
        async for events in self.store.watch(prefix, after_revision):
            await self.gate.wait()
            yield events

    async def close(self) -> None:
        """Closes the store."""
        await self.store.close()


class GatedMesh(PeerMesh):
    """A mesh whose messages wait for the gate in both directions."""

    def __init__(self, mesh: PeerMesh, gate: Gate) -> None:
        self.name = mesh.name
        self.mesh = mesh
        self.gate = gate

    def members(self) -> tuple[Member, ...]:
        """Returns all known entries."""
        return self.mesh.members()

    def register(
        self,
        message: type[Message],
        reply: type[Reply],
        handler: Handler[Message, Reply],
    ) -> None:
        """Sets the handler of a kind of message."""

        async def gated(sender: str, received: Message) -> Reply:
            await self.gate.wait()
            return await handler(sender, received)

        self.mesh.register(message, reply, gated)

    async def call(
        self,
        peer: str,
        message: tuple[object, ...],
        reply: type[Reply],
        timeout_s: float,
    ) -> Reply:
        """Sends a message and waits for its answer."""
        await self.gate.wait()
        try:
            return await self.mesh.call(peer, message, reply, timeout_s)
        finally:
            await self.gate.wait()

    def add_peer(self, peer: PeerSettings) -> None:
        """Keeps a stream to an entry."""
        self.mesh.add_peer(peer)

    def block_process(self, name: str, incarnation: str) -> None:
        """Refuses streams of a replaced process."""
        self.mesh.block_process(name, incarnation)

    def broadcast(self, message: tuple[object, ...]) -> None:
        """Sends a message to every other entry."""
        self.mesh.broadcast(message)

    def announce_leaving(self) -> None:
        """Tells all other entries that this one is leaving."""
        self.mesh.announce_leaving()

    def running(self) -> AbstractAsyncContextManager[None]:
        """Keeps the streams within the block."""
        return self.mesh.running()
