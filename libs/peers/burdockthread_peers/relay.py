"""Relays accepted templates between entries, by version and content hash."""

import asyncio
from collections.abc import Coroutine
from typing import NamedTuple

import xxhash
from burdockthread_model.clock import Clock
from burdockthread_model.errors import PeerError, TemplateError
from burdockthread_model.events import EventLog
from burdockthread_model.intended import AcceptedTemplate
from burdockthread_model.rendering import (
    canonical_json,
    decode_accepted,
    encode_accepted,
)
from burdockthread_store.applied import AppliedConfiguration

from burdockthread_peers.mesh import PeerMesh

EXCHANGE_S = 1.0
CALL_TIMEOUT_S = 2.0
MAX_TASKS = 100


class ConfigurationDigest(NamedTuple):
    """Hash of everything that the sender has in force; sent once a second."""

    digest: int


class TemplateApplied(NamedTuple):
    """Says that the sender has put a version in force."""

    name: str
    version: int


class DigestNoted(NamedTuple):
    """Answer to `ConfigurationDigest` and `TemplateApplied`."""


class ListVersions(NamedTuple):
    """Asks for all versions in force."""


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
    """Tells other entries of each new version, and fetches what they have newer.

    Only a hash is sent while nothing changes. Entries whose hashes differ
    compare versions, so that whatever was lost is found within a second or two.

    Attributes:
        digest: Hash of the versions and content hashes in force.
        peer_versions: Versions last reported by each other entry.
        busy: Entries with which versions are being compared.
        fetching: Templates that are being fetched.
    """

    def __init__(
        self, mesh: PeerMesh, applied: AppliedConfiguration, clock: Clock, log: EventLog
    ) -> None:
        self.mesh = mesh
        self.applied = applied
        self.clock = clock
        self.log = log
        self.digest = digest_of(applied.templates)
        self.peer_versions: dict[str, dict[str, int]] = {}
        self.busy: set[str] = set()
        self.fetching: set[str] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        applied.listeners.append(self.on_applied)
        mesh.register(ConfigurationDigest, DigestNoted, self.on_digest)
        mesh.register(TemplateApplied, DigestNoted, self.on_template_applied)
        mesh.register(ListVersions, Versions, self.on_list)
        mesh.register(FetchTemplate, TemplateReply, self.on_fetch)

    async def run(self) -> None:
        """Sends the hash until cancelled."""
        try:
            while True:
                self.mesh.broadcast(ConfigurationDigest(self.digest))
                await self.clock.sleep(EXCHANGE_S)
        finally:
            for task in list(self.tasks):
                task.cancel()

    def on_applied(self, accepted: AcceptedTemplate) -> None:
        """Tells every other entry of a version at once."""
        self.digest = digest_of(self.applied.templates)
        self.mesh.broadcast(TemplateApplied(accepted.name, accepted.version))

    async def on_digest(self, sender: str, message: ConfigurationDigest) -> DigestNoted:
        """Compares versions with an entry whose hash differs."""
        if message.digest == self.digest:
            self.peer_versions[sender] = self.applied.versions()
        elif sender not in self.busy and len(self.tasks) < MAX_TASKS:
            self.busy.add(sender)
            self.start(self.compare(sender))
        return DigestNoted()

    async def on_template_applied(
        self, sender: str, message: TemplateApplied
    ) -> DigestNoted:
        """Fetches a version that is newer than the one in force here."""
        self.peer_versions.setdefault(sender, {})[message.name] = message.version
        newer = self.is_newer(message.name, message.version)
        if newer and len(self.tasks) < MAX_TASKS:
            self.start(self.fetch(sender, message.name))
        return DigestNoted()

    def start(self, work: Coroutine[None, None, None]) -> None:
        """Runs a coroutine beside the stream that the message came by."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def is_newer(self, name: str, version: int) -> bool:
        """Returns whether a version is newer than the one in force here."""
        return version > self.applied.versions().get(name, 0)

    async def compare(self, peer: str) -> None:
        """Fetches every template of which another entry has a newer version."""
        try:
            reply = await self.mesh.call(peer, ListVersions(), Versions, CALL_TIMEOUT_S)
            self.peer_versions[peer] = reply.versions
            for name, version in reply.versions.items():
                if self.is_newer(name, version):
                    await self.fetch(peer, name)
        except PeerError as error:
            self.log.info("relay_failed", peer=peer, reason=type(error).__name__)
        finally:
            self.busy.discard(peer)

    async def fetch(self, peer: str, name: str) -> None:
        """Fetches one template from another entry and applies it."""
        if name in self.fetching:
            return
        self.fetching.add(name)
        try:
            reply = await self.mesh.call(
                peer, FetchTemplate(name), TemplateReply, CALL_TIMEOUT_S
            )
            if reply.data:
                self.applied.apply(decode_accepted(reply.data), f"peer:{peer}")
        except (PeerError, TemplateError) as error:
            self.log.warning("relay_failed", peer=peer, template=name, reason=error)
        finally:
            self.fetching.discard(name)

    async def on_list(self, sender: str, message: ListVersions) -> Versions:
        """Answers with all versions in force."""
        return Versions(self.applied.versions())

    async def on_fetch(self, sender: str, message: FetchTemplate) -> TemplateReply:
        """Answers with the version in force."""
        accepted = self.applied.templates.get(message.name)
        return TemplateReply(b"" if accepted is None else encode_accepted(accepted))


def digest_of(templates: dict[str, AcceptedTemplate]) -> int:
    """Returns a hash that is equal where the same versions are in force."""
    content = [
        [name, templates[name].version, templates[name].content_hash]
        for name in sorted(templates)
    ]
    return xxhash.xxh64_intdigest(canonical_json(content))
