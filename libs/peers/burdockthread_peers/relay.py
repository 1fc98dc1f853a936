"""Relays accepted templates between entries, by version and content hash."""

from typing import NamedTuple

from burdockthread_model.clock import Clock
from burdockthread_model.errors import PeerError, TemplateError
from burdockthread_model.events import EventLog
from burdockthread_model.rendering import decode_accepted, encode_accepted
from burdockthread_store.applied import AppliedConfiguration

from burdockthread_peers.mesh import MemberState, PeerMesh

EXCHANGE_S = 1.0
CALL_TIMEOUT_S = 2.0


class Versions(NamedTuple):
    """Versions that the sender has in force, by template."""

    versions: dict[str, int]


class FetchTemplate(NamedTuple):
    """Asks for the accepted version of a template."""

    name: str


class TemplateReply(NamedTuple):
    """The accepted version as JSON text; empty if it is not known."""

    data: bytes


class ConfigurationRelay:
    """Exchanges versions with every other entry and fetches newer templates.

    Attributes:
        peer_versions: Versions last reported by each other entry.
    """

    def __init__(
        self, mesh: PeerMesh, applied: AppliedConfiguration, clock: Clock, log: EventLog
    ) -> None:
        self.mesh = mesh
        self.applied = applied
        self.clock = clock
        self.log = log
        self.peer_versions: dict[str, dict[str, int]] = {}
        mesh.register(Versions, Versions, self.on_versions)
        mesh.register(FetchTemplate, TemplateReply, self.on_fetch)

    async def run(self) -> None:
        """Exchanges versions until cancelled."""
        while True:
            for member in self.mesh.members():
                if member.name != self.mesh.name and member.state != MemberState.DOWN:
                    await self.exchange(member.name)
            await self.clock.sleep(EXCHANGE_S)

    async def exchange(self, peer: str) -> None:
        """Exchanges versions with one entry."""
        own = Versions(self.applied.versions())
        try:
            reply = await self.mesh.call(peer, own, Versions, CALL_TIMEOUT_S)
        except PeerError:
            return
        self.peer_versions[peer] = reply.versions
        await self.catch_up(peer, reply.versions)

    async def on_versions(self, sender: str, message: Versions) -> Versions:
        """Notes the versions of another entry."""
        self.peer_versions[sender] = message.versions
        return Versions(self.applied.versions())

    async def catch_up(self, peer: str, versions: dict[str, int]) -> None:
        """Fetches the templates of which another entry has a newer version."""
        own = self.applied.versions()
        for name, version in versions.items():
            if version > own.get(name, 0):
                await self.fetch(peer, name)

    async def fetch(self, peer: str, name: str) -> None:
        """Fetches one template from another entry and applies it."""
        try:
            reply = await self.mesh.call(
                peer, FetchTemplate(name), TemplateReply, CALL_TIMEOUT_S
            )
            if reply.data:
                self.applied.apply(decode_accepted(reply.data), f"peer:{peer}")
        except (PeerError, TemplateError) as error:
            self.log.warning("relay_failed", peer=peer, template=name, reason=error)

    async def on_fetch(self, sender: str, message: FetchTemplate) -> TemplateReply:
        """Answers with the version in force."""
        accepted = self.applied.templates.get(message.name)
        return TemplateReply(b"" if accepted is None else encode_accepted(accepted))
