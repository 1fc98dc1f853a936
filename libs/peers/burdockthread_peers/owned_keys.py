"""Idempotency keys recorded at the entry that owns them."""

import asyncio
from collections import OrderedDict
from typing import NamedTuple

from burdockthread_model.clock import Clock
from burdockthread_model.errors import PeerError
from burdockthread_model.request import CallerResponse
from burdockthread_model.verdict import Verdict

from burdockthread_peers.idempotency import KeyDecision, KeyOwnership, KeyState
from burdockthread_peers.mesh import PeerMesh
from burdockthread_peers.rendezvous import rank

CALL_TIMEOUT_S = 1.0


class KeyRecord(NamedTuple):
    """What the owner remembers of a key."""

    fingerprint: str
    verdict: Verdict | None
    response: CallerResponse | None


class BeginKey(NamedTuple):
    """Asks the owner whether a request may be dispatched."""

    organisation: str
    key: str
    fingerprint: str


class FinishKey(NamedTuple):
    """Tells the owner how the dispatch ended."""

    organisation: str
    key: str
    verdict: Verdict
    response: CallerResponse | None


class Finished(NamedTuple):
    """Answer to `FinishKey`."""

    known: bool


class OwnedKeys(KeyOwnership):
    """Asks the owner of each key, by rendezvous over the entries.

    Attributes:
        records: Keys that this entry owns, oldest first.
        capacity: Keys remembered at the most.
    """

    def __init__(self, mesh: PeerMesh, clock: Clock, capacity: int) -> None:
        self.mesh = mesh
        self.clock = clock
        self.capacity = capacity
        self.records: OrderedDict[tuple[str, str], KeyRecord] = OrderedDict()
        mesh.register(BeginKey, KeyDecision, self.on_begin)
        mesh.register(FinishKey, Finished, self.on_finish)

    def owner(self, organisation: str, key: str) -> str:
        """Returns the name of the entry that owns a key."""
        names = [member.name for member in self.mesh.members()]
        return rank(f"{organisation}/{key}", names)[0]

    async def begin(
        self, organisation: str, key: str, fingerprint: str, deadline_s: float
    ) -> KeyDecision:
        """Asks the owner whether a request may be dispatched."""
        timeout_s = min(CALL_TIMEOUT_S, deadline_s - self.clock.now())
        message = BeginKey(organisation, key, fingerprint)
        owner = self.owner(organisation, key)
        try:
            return await self.mesh.call(owner, message, KeyDecision, timeout_s)
        except PeerError:
            return KeyDecision(KeyState.UNAVAILABLE)

    async def finish(
        self,
        organisation: str,
        key: str,
        verdict: Verdict,
        response: CallerResponse | None,
    ) -> None:
        """Tells the owner how the dispatch ended."""
        message = FinishKey(organisation, key, verdict, response)
        owner = self.owner(organisation, key)
        try:
            await asyncio.shield(
                self.mesh.call(owner, message, Finished, CALL_TIMEOUT_S)
            )
        except PeerError:
            return

    async def on_begin(self, sender: str, message: BeginKey) -> KeyDecision:
        """Records a key as its owner."""
        found = self.records.get((message.organisation, message.key))
        if found is None:
            self.remember(message)
            return KeyDecision(KeyState.RUN)
        if found.fingerprint != message.fingerprint:
            return KeyDecision(KeyState.CONFLICT)
        if found.verdict is None:
            return KeyDecision(KeyState.IN_PROGRESS)
        if found.verdict is Verdict.RAN:
            return KeyDecision(KeyState.ANSWERED, found.response)
        return KeyDecision(KeyState.UNKNOWN)

    def remember(self, message: BeginKey) -> None:
        """Adds a key, forgetting the oldest at capacity."""
        record = KeyRecord(message.fingerprint, None, None)
        self.records[message.organisation, message.key] = record
        if len(self.records) > self.capacity:
            self.records.popitem(last=False)

    async def on_finish(self, sender: str, message: FinishKey) -> Finished:
        """Records how a dispatch ended."""
        index = (message.organisation, message.key)
        found = self.records.get(index)
        if found is None:
            return Finished(False)
        if message.verdict is Verdict.NOT_RUN:
            del self.records[index]
            return Finished(True)
        self.records[index] = found._replace(
            verdict=message.verdict, response=message.response
        )
        return Finished(True)
