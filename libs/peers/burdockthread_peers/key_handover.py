"""Hands over the records of idempotency keys when the member list is replaced."""

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
    """Moves every record to the two holders of its key after a change of members.

    Attributes:
        view: The list for which records were last handed over.
        known_since_s: Wall-clock time since which this entry had the records of
            all uses of its keys by the previous list; by the current list once
            the handover is complete.
        pending_senders: Members that have not yet sent all their records.
        sending: Task that sends this entry's records, or None.
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
        self.known_since_s = 0.0
        self.pending_senders: set[Identity] = set()
        self.sending: asyncio.Task[None] | None = None
        membership.handover_complete = self.is_complete
        membership.listeners.append(self.on_view_replaced)
        mesh.register(HandOver, HandOverReply, self.on_hand_over)
        mesh.register(HandOverDone, HandOverReply, self.on_done)

    def is_complete(self) -> bool:
        """Returns whether all records of the previous list were sent and received."""
        sent = self.sending is None or self.sending.done()
        return sent and not self.pending_senders

    def complete_since_s(self) -> float:
        """Returns the time since which this entry has every use of its keys.

        While senders are pending, they may still decide by the previous list,
        until that list's validity ends.
        """
        if not self.pending_senders:
            return self.known_since_s
        return max(self.known_since_s, self.membership.previous_stopped_s())

    def stop(self) -> None:
        """Cancels the task that sends records."""
        if self.sending is not None:
            self.sending.cancel()
            self.sending = None

    def on_view_replaced(self) -> None:
        """Starts the handover for a new member list; an older one is cancelled."""
        view = self.membership.view
        before, self.view = self.view, view
        since_s = self.known_since_s
        missed = before.version != view.version - 1
        if self.pending_senders or missed:
            since_s = max(since_s, self.membership.previous_stopped_s())
        me = self.membership.me.identity
        previous = before.identities()
        if missed:
            previous = view.history[-1].members if view.history else ()
        staying = set(previous) & set(view.identities())
        self.pending_senders = staying - {me}
        self.known_since_s = since_s if me in staying else 0.0
        self.stop()
        if me in staying:
            work = self.send_all(before, view, since_s)
            self.sending = asyncio.ensure_future(work)

    async def send_all(
        self, before: MembersView, view: MembersView, since_s: float
    ) -> None:
        """Sends records to their new holders, then drops those not held here."""
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
        """Sends one member the records of keys of which it is a new holder."""
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
        """Sends a message, with retries every `RETRY_S`, until it is accepted."""
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
        """Stores records; refuses those of another list or beyond the capacity."""
        if message.version != self.view.version:
            return HandOverReply(False)
        for record in message.records:
            known = self.records.get(record.record_id)
            if known is None and not self.records.make_room(self.clock.wall()):
                return HandOverReply(False)
            self.records.merge(record)
        return HandOverReply(True)

    async def on_done(self, sender: str, message: HandOverDone) -> HandOverReply:
        """Records that a member has sent all its records."""
        if message.version != self.view.version:
            return HandOverReply(False)
        self.pending_senders.discard(Identity(sender, message.incarnation))
        self.known_since_s = max(self.known_since_s, message.complete_since_s)
        return HandOverReply(True)


def record_key(record: KeyRecord) -> str:
    """Returns the rendezvous key of a record."""
    return holder_key(record.organisation, record.key)


def holder_key(organisation: str, key: str) -> str:
    """Returns the rendezvous key that determines the holders of a key."""
    return f"{organisation}/{key}"


def batches(records: Iterator[KeyRecord]) -> Iterator[tuple[KeyRecord, ...]]:
    """Yields records in tuples of at most `BATCH_RECORDS`."""
    while batch := tuple(itertools.islice(records, BATCH_RECORDS)):
        yield batch
