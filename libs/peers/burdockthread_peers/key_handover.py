"""Hands the records of idempotency keys on when the member list is replaced."""

import asyncio
import itertools
from collections.abc import Iterator

from burdockthread_model.clock import Clock
from burdockthread_model.errors import PeerError

from burdockthread_peers.key_messages import HandOver, HandOverDone, HandOverReply
from burdockthread_peers.key_records import KeyRecord, KeyRecords
from burdockthread_peers.membership import Membership
from burdockthread_peers.mesh import PeerMesh
from burdockthread_peers.view import Identity, MembersView

BATCH_RECORDS = 50
CALL_TIMEOUT_S = 2.0
RETRY_S = 0.5


class KeyHandover:
    """Keeps every record at the two holders of its key, list after list.

    Attributes:
        version: Version of the list for which records were last handed on.
        since_s: Wall-clock time from which on this entry knew all by the list
            before; later that of the current list, once it is complete.
        awaited: Members whose records have not all come yet.
    """

    def __init__(
        self,
        mesh: PeerMesh,
        membership: Membership,
        records: KeyRecords,
        clock: Clock,
    ) -> None:
        self.mesh = mesh
        self.membership = membership
        self.records = records
        self.clock = clock
        self.view = MembersView()
        self.since_s = 0.0
        self.awaited: set[Identity] = set()
        self.sending: asyncio.Task[None] | None = None
        membership.handover_complete = self.is_complete
        membership.listeners.append(self.follow_view)
        mesh.register(HandOver, HandOverReply, self.on_hand_over)
        mesh.register(HandOverDone, HandOverReply, self.on_done)

    def is_complete(self) -> bool:
        """Returns whether the records of the list before have come and gone."""
        sent = self.sending is None or self.sending.done()
        return sent and not self.awaited

    def complete_since_s(self) -> float:
        """Returns from when on this entry knows every use of its keys.

        While records are awaited, their holders may still decide by the list
        before, until their tenure ends.
        """
        if not self.awaited:
            return self.since_s
        return max(self.since_s, self.membership.last_stopped_s())

    def stop(self) -> None:
        """Ends the sending of records."""
        if self.sending is not None:
            self.sending.cancel()
            self.sending = None

    def follow_view(self) -> None:
        """Starts anew when the member list has been replaced."""
        view = self.membership.view
        before, self.view = self.view, view
        since_s = self.since_s
        missed = before.version != view.version - 1
        if self.awaited or missed:
            since_s = max(since_s, self.membership.last_stopped_s())
        me = self.membership.me.identity
        previous = before.identities()
        if missed:
            previous = view.history[-1].members if view.history else ()
        staying = set(previous) & set(view.identities())
        self.awaited = staying - {me}
        self.since_s = since_s if me in staying else 0.0
        self.stop()
        if me in staying:
            work = self.send_all(before, view, since_s)
            self.sending = asyncio.ensure_future(work)

    async def send_all(
        self, before: MembersView, view: MembersView, since_s: float
    ) -> None:
        """Sends the records to their new holders and drops those of others."""
        me = self.membership.me.identity
        targets = [member for member in view.identities() if member != me]
        sends = (self.send(before, view, target, since_s) for target in targets)
        await asyncio.gather(*sends)
        for record in list(self.records.records.values()):
            if me not in view.holders(record_key(record)):
                self.records.remove(record.record_id)

    async def send(
        self, before: MembersView, view: MembersView, target: Identity, since_s: float
    ) -> None:
        """Sends one member the records that it holds now and did not before."""
        records = (
            record
            for record in list(self.records.records.values())
            if target in view.holders(record_key(record))
            and target not in before.holders(record_key(record))
        )
        for batch in batches(records):
            await self.deliver(target.name, HandOver(view.version, batch))
        incarnation = self.membership.me.incarnation
        done = HandOverDone(view.version, incarnation, since_s)
        await self.deliver(target.name, done)

    async def deliver(self, peer: str, message: tuple[object, ...]) -> None:
        """Sends a message until it is accepted."""
        while True:
            try:
                reply = await self.mesh.call(
                    peer, message, HandOverReply, CALL_TIMEOUT_S
                )
                if reply.accepted:
                    return
            except PeerError:
                pass
            await self.clock.sleep(RETRY_S)

    async def on_hand_over(self, sender: str, message: HandOver) -> HandOverReply:
        """Takes records in."""
        if message.version != self.view.version:
            return HandOverReply(False)
        for record in message.records:
            known = self.records.get(record.record_id)
            if known is None and not self.records.make_room(self.clock.wall()):
                return HandOverReply(False)
            self.records.merge(record)
        return HandOverReply(True)

    async def on_done(self, sender: str, message: HandOverDone) -> HandOverReply:
        """Notes that a member has handed everything on."""
        if message.version != self.view.version:
            return HandOverReply(False)
        self.awaited.discard(Identity(sender, message.incarnation))
        self.since_s = max(self.since_s, message.complete_since_s)
        return HandOverReply(True)


def record_key(record: KeyRecord) -> str:
    """Returns the text by which the holders of a record are found."""
    return holder_key(record.organisation, record.key)


def holder_key(organisation: str, key: str) -> str:
    """Returns the text by which the holders of a key are found."""
    return f"{organisation}/{key}"


def batches(records: Iterator[KeyRecord]) -> Iterator[tuple[KeyRecord, ...]]:
    """Yields records in tuples of a bounded length."""
    while batch := tuple(itertools.islice(records, BATCH_RECORDS)):
        yield batch
