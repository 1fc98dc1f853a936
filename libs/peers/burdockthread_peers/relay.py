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
    """Hash of all versions that the sender has applied; sent once a second."""

    digest: int


class TemplateApplied(NamedTuple):
    """Reports that the sender has applied a version of a template."""

    name: str
    version: int


class DigestNoted(NamedTuple):
    """Answer to `ConfigurationDigest` and `TemplateApplied`."""


class ListVersions(NamedTuple):
    """Asks for all applied versions."""


class Versions(NamedTuple):
    """Versions that the sender has applied, by template."""

    versions: dict[str, int]


class FetchTemplate(NamedTuple):
    """Asks for the accepted version of a template."""

    name: str


class TemplateReply(NamedTuple):
    """The accepted version as JSON text; empty if the template is unknown."""

    data: bytes


class ConfigurationRelay:
    """Notifies other entries of new versions, and fetches their newer versions.

    Without changes only a hash is sent. Entries whose hashes differ compare
    versions, so that the loss of a message is made up for within about two
    seconds.

    Attributes:
        digest: Hash of the applied versions and their content hashes.
        peer_versions: Versions last reported by each other entry.
        comparing: Entries with which versions are being compared.
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
        self.comparing: set[str] = set()
        self.fetching: set[str] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        applied.listeners.append(self.on_applied)
        mesh.register(ConfigurationDigest, DigestNoted, self.on_digest)
        mesh.register(TemplateApplied, DigestNoted, self.on_template_applied)
        mesh.register(ListVersions, Versions, self.on_list)
        mesh.register(FetchTemplate, TemplateReply, self.on_fetch)

    async def run(self) -> None:
        """Broadcasts the hash every `EXCHANGE_S` until cancelled."""
        try:
            while True:
                self.mesh.broadcast(ConfigurationDigest(self.digest))
                await self.clock.sleep(EXCHANGE_S)
        finally:
            for task in list(self.tasks):
                task.cancel()

    def on_applied(self, accepted: AcceptedTemplate) -> None:
        """Notifies every other entry of an applied version at once."""
        self.digest = digest_of(self.applied.templates)
        self.mesh.broadcast(TemplateApplied(accepted.name, accepted.version))

    async def on_digest(self, sender: str, message: ConfigurationDigest) -> DigestNoted:
        """Starts to compare versions with an entry whose hash differs."""
        if message.digest == self.digest:
            self.peer_versions[sender] = self.applied.versions()
        elif sender not in self.comparing and len(self.tasks) < MAX_TASKS:
            self.comparing.add(sender)
            self.start(self.compare(sender))
        return DigestNoted()

    async def on_template_applied(
        self, sender: str, message: TemplateApplied
    ) -> DigestNoted:
        """Starts to fetch a version that is newer than the one applied here."""
        self.peer_versions.setdefault(sender, {})[message.name] = message.version
        newer = self.is_newer(message.name, message.version)
        if newer and len(self.tasks) < MAX_TASKS:
            self.start(self.fetch(sender, message.name))
        return DigestNoted()

    def start(self, work: Coroutine[None, None, None]) -> None:
        """Runs a coroutine as a task, so that the stream's messages do not wait."""
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def is_newer(self, name: str, version: int) -> bool:
        """Returns whether a version is newer than the one applied here."""
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
            self.comparing.discard(peer)

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
        """Answers with all applied versions."""
        return Versions(self.applied.versions())

    async def on_fetch(self, sender: str, message: FetchTemplate) -> TemplateReply:
        """Answers with the applied version of a template."""
        accepted = self.applied.templates.get(message.name)
        return TemplateReply(b"" if accepted is None else encode_accepted(accepted))


def digest_of(templates: dict[str, AcceptedTemplate]) -> int:
    """Returns a hash that is equal on entries with the same applied versions."""
    content = [
        [name, templates[name].version, templates[name].content_hash]
        for name in sorted(templates)
    ]
    return xxhash.xxh64_intdigest(canonical_json(content))
