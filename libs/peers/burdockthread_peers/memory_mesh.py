"""A mesh within one process, without streams, for tests."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from burdockthread_model.errors import PeerTimeoutError, PeerUnavailableError

from burdockthread_peers.handlers import encode_fields
from burdockthread_peers.handling_mesh import HandlingMesh
from burdockthread_peers.mesh import Member, MemberState


class MemoryNetwork:
    """Connects meshes; links can fail in one direction or both.

    Attributes:
        meshes: Mesh of each entry by name.
        cut: Pairs of sender and receiver whose messages are not delivered.
        lost_replies: Pairs whose messages are delivered but not the answers.
    """

    def __init__(self) -> None:
        self.meshes: dict[str, MemoryMesh] = {}
        self.cut: set[tuple[str, str]] = set()
        self.lost_replies: set[tuple[str, str]] = set()

    def join(
        self,
        name: str,
        zone: str = "zone",
        region: str = "region",
        incarnation: str = "1",
    ) -> "MemoryMesh":
        """Adds an entry; replaces one of the same name."""
        member = Member(name, zone, region, incarnation, MemberState.UP)
        mesh = MemoryMesh(self, member)
        self.meshes[name] = mesh
        return mesh

    def partition(self, left: set[str], right: set[str]) -> None:
        """Cuts all links between two groups of entries."""
        for a in left:
            for b in right:
                self.cut |= {(a, b), (b, a)}

    def heal(self) -> None:
        """Restores all links."""
        self.cut.clear()
        self.lost_replies.clear()


class MemoryMesh(HandlingMesh):
    """One entry's side of a `MemoryNetwork`."""

    def __init__(self, network: MemoryNetwork, member: Member) -> None:
        super().__init__(member.name)
        self.member = member
        self.network = network
        self.tasks: set[asyncio.Task[None]] = set()

    def members(self) -> tuple[Member, ...]:
        """Returns all entries; those whose link to this one is cut are DOWN."""
        return tuple(
            self.with_link_state(mesh.member)
            for _, mesh in sorted(self.network.meshes.items())
        )

    def with_link_state(self, member: Member) -> Member:
        """Returns a member, as DOWN if its link to this entry is cut."""
        if (member.name, self.name) in self.network.cut:
            return member._replace(state=MemberState.DOWN)
        return member

    async def exchange(
        self, peer: str, kind: str, fields: list[object], timeout_s: float
    ) -> list[object]:
        """Calls the other entry's handler; fails as the state of the links says."""
        mesh = self.network.meshes.get(peer)
        if mesh is None or not self.reaches(peer):
            raise PeerUnavailableError(f"no stream to {peer}")
        answer = await mesh.handle(self.name, kind, fields)
        if (self.name, peer) in self.network.lost_replies or not self.reaches(peer):
            raise PeerTimeoutError(f"no answer from {peer}")
        return answer

    def reaches(self, peer: str) -> bool:
        """Returns whether this process is still joined and its link is not cut."""
        present = self.network.meshes.get(self.name) is self
        return present and (self.name, peer) not in self.network.cut

    def announce_leaving(self) -> None:
        """Sets the state of this entry to LEAVING for all others."""
        self.member = self.member._replace(state=MemberState.LEAVING)

    @asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Removes this entry from the network at the end of the block."""
        try:
            yield
        finally:
            if self.network.meshes.get(self.name) is self:
                del self.network.meshes[self.name]

    def broadcast(self, message: tuple[object, ...]) -> None:
        """Delivers a message to every reachable entry in background tasks."""
        for name in list(self.network.meshes):
            if name != self.name and self.reaches(name):
                task = asyncio.ensure_future(self.deliver(name, message))
                self.tasks.add(task)
                task.add_done_callback(self.tasks.discard)

    async def deliver(self, peer: str, message: tuple[object, ...]) -> None:
        """Calls the other entry's handler and discards the answer."""
        mesh = self.network.meshes.get(peer)
        if mesh is not None:
            kind = type(message).__name__
            await mesh.handle(self.name, kind, encode_fields(message))
