"""Idempotency keys, recorded at their owner and one replica before the dispatch."""

import asyncio
import itertools
from collections.abc import Coroutine
from typing import NamedTuple

from burdockthread_model.clock import Clock
from burdockthread_model.errors import PeerError, PeerUnavailableError
from burdockthread_model.request import CallerResponse
from burdockthread_model.verdict import Verdict

from burdockthread_peers.idempotency import KeyDecision, KeyOwnership, KeyState
from burdockthread_peers.key_handover import KeyHandover, holder_key
from burdockthread_peers.key_messages import (
    BeginKey,
    BeginReply,
    Finished,
    FinishKey,
    RecordKey,
    RecordReply,
)
from burdockthread_peers.key_records import (
    KeyIndex,
    KeyRecord,
    KeyRecords,
    key_time_s,
)
from burdockthread_peers.membership import Membership
from burdockthread_peers.mesh import PeerMesh
from burdockthread_peers.view import (
    CLOCK_SKEW_S,
    KEY_RETENTION_S,
    VIEW_VALIDITY_S,
    Identity,
)

CALL_TIMEOUT_S = 1.0
RECORD_TIMEOUT_S = 0.5
RETRY_S = 0.1
FINISH_RETRY_S = 1.0
EXPIRY_INTERVAL_S = 10.0
FINISH_ATTEMPTS = 10
MAX_UNFINISHED = 10_000


class Grant(NamedTuple):
    """A dispatch that the owner of a key has permitted to this entry.

    Attributes:
        fingerprint: Hash of the request.
        token: Id of the call of `begin`.
        holders: Owner and replica of the key at the time of the grant.
    """

    fingerprint: str
    token: str
    holders: tuple[Identity, ...]


class OwnedKeys(KeyOwnership):
    """Asks the owner of each key, found by rendezvous over the member list.

    The owner permits a dispatch only after its replica has recorded the key
    under the same member list, and only if the record of an earlier use cannot
    have been lost.

    Attributes:
        records: Records of keys that this entry holds as owner or replica.
        grants: Dispatches of this entry that are in progress.
        recording: Keys that this entry, as owner, is recording at a replica.
        tasks: Background deliveries of `FinishKey` messages.
    """

    def __init__(
        self, mesh: PeerMesh, membership: Membership, clock: Clock, capacity: int
    ) -> None:
        self.mesh = mesh
        self.membership = membership
        self.clock = clock
        self.records = KeyRecords(capacity)
        self.handover = KeyHandover(mesh, membership, self.records, clock)
        self.grants: dict[KeyIndex, Grant] = {}
        self.numbers = itertools.count(1)
        self.recording: set[KeyIndex] = set()
        self.tasks: set[asyncio.Task[None]] = set()
        mesh.register(BeginKey, BeginReply, self.on_begin)
        mesh.register(RecordKey, RecordReply, self.on_record)
        mesh.register(FinishKey, Finished, self.on_finish)

    async def run(self) -> None:
        """Evicts old records every `EXPIRY_INTERVAL_S` until cancelled."""
        try:
            while True:
                self.records.make_room(self.clock.wall())
                await self.clock.sleep(EXPIRY_INTERVAL_S)
        finally:
            self.handover.stop()
            for task in list(self.tasks):
                task.cancel()

    def new_id(self) -> str:
        """Returns a unique id of the form name/incarnation/number."""
        me = self.membership.me
        return f"{me.name}/{me.incarnation}/{next(self.numbers)}"

    async def begin(
        self, organisation: str, key: str, fingerprint: str, deadline_s: float
    ) -> KeyDecision:
        """Asks the owner, with retries, until it decides or the deadline expires.

        If the owner may have recorded the key without permitting the dispatch
        in time, the key is freed in the background.
        """
        token = self.new_id()
        may_be_recorded = True
        try:
            for attempt in itertools.count():
                timeout_s = min(CALL_TIMEOUT_S, deadline_s - self.clock.now())
                reply = await self.ask_owner(
                    organisation, key, fingerprint, token, timeout_s
                )
                if not reply.again:
                    may_be_recorded = attempt > 0 and reply.state is not KeyState.RUN
                    return KeyDecision(reply.state, reply.response)
                if self.clock.now() + RETRY_S >= deadline_s:
                    break
                await self.clock.sleep(RETRY_S)
            return KeyDecision(KeyState.UNAVAILABLE)
        finally:
            if may_be_recorded:
                message = FinishKey(
                    organisation, key, fingerprint, token, Verdict.NOT_RUN, None
                )
                self.start(self.deliver_finish(message, ()))

    async def ask_owner(
        self,
        organisation: str,
        key: str,
        fingerprint: str,
        token: str,
        timeout_s: float,
    ) -> BeginReply:
        """Asks the owner once; without an answer, the reply asks for a retry."""
        view = self.membership.view
        holders = view.holders(holder_key(organisation, key))
        if not holders or len(self.grants) >= MAX_UNFINISHED:
            return BeginReply(True)
        message = BeginKey(view.version, organisation, key, fingerprint, token)
        try:
            reply = await self.mesh.call(
                holders[0].name, message, BeginReply, timeout_s
            )
        except PeerError:
            return BeginReply(True)
        if not reply.again and reply.state is KeyState.RUN:
            self.grants[organisation, key] = Grant(fingerprint, token, holders)
        return reply

    async def finish(
        self,
        organisation: str,
        key: str,
        verdict: Verdict,
        response: CallerResponse | None,
    ) -> None:
        """Reports to the holders how the dispatch ended, later again if one failed."""
        grant = self.grants.pop((organisation, key), None)
        if grant is None:
            return
        message = FinishKey(
            organisation, key, grant.fingerprint, grant.token, verdict, response
        )
        missed = await asyncio.shield(
            self.send_finish(message, self.targets(message, grant))
        )
        if missed:
            self.start(self.deliver_finish(message, missed))

    def targets(self, message: FinishKey, grant: Grant) -> tuple[str, ...]:
        """Returns the names of the holders at the time of the grant and at present."""
        index = holder_key(message.organisation, message.key)
        holders = {*grant.holders, *self.membership.view.holders(index)}
        return tuple(sorted({holder.name for holder in holders}))

    async def send_finish(
        self, message: FinishKey, targets: tuple[str, ...]
    ) -> tuple[str, ...]:
        """Sends the end of a dispatch to holders; returns those without an answer."""
        answered = await asyncio.gather(
            *(self.send_finish_to(t, message) for t in targets)
        )
        return tuple(t for t, done in zip(targets, answered, strict=True) if not done)

    async def send_finish_to(self, target: str, message: FinishKey) -> bool:
        """Sends the end of a dispatch to one holder; returns whether it answered."""
        try:
            await self.mesh.call(target, message, Finished, CALL_TIMEOUT_S)
        except PeerError:
            return False
        return True

    async def deliver_finish(
        self, message: FinishKey, targets: tuple[str, ...]
    ) -> None:
        """Sends the end of a dispatch to holders, up to `FINISH_ATTEMPTS` times.

        Without targets, it is sent to the present holders of the key.
        """
        for attempt in range(FINISH_ATTEMPTS):
            index = holder_key(message.organisation, message.key)
            holders = self.membership.view.holders(index)
            names = targets or tuple(holder.name for holder in holders)
            targets = await self.send_finish(message, names)
            if names and not targets:
                return
            await self.clock.sleep(FINISH_RETRY_S * (attempt + 1))

    def start(self, work: Coroutine[None, None, None]) -> None:
        """Runs a coroutine in the background; drops it beyond `MAX_UNFINISHED`."""
        if len(self.tasks) >= MAX_UNFINISHED:
            work.close()
            return
        task = asyncio.ensure_future(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def may_decide_for(self, version: int) -> bool:
        """Returns whether this entry may decide and has the sender's list version."""
        return version == self.membership.view.version and self.membership.may_decide()

    async def on_begin(self, sender: str, message: BeginKey) -> BeginReply:
        """Decides on a dispatch as the owner; otherwise asks the sender to retry."""
        index = (message.organisation, message.key)
        holders = self.membership.view.holders(holder_key(*index))
        me = self.membership.me.identity
        if not self.may_decide_for(message.version) or holders[0] != me:
            return BeginReply(True)
        found = self.records.get(index)
        if found is not None and found.granted:
            return self.decide_from_record(found, message)
        if index in self.recording:
            return BeginReply(True)
        self.recording.add(index)
        try:
            return await self.record(message, found, holders[1:])
        finally:
            self.recording.discard(index)

    async def record(
        self,
        message: BeginKey,
        found: KeyRecord | None,
        replicas: tuple[Identity, ...],
    ) -> BeginReply:
        """Records a key here and at the replicas, then decides on the dispatch."""
        wall_s = self.clock.wall()
        refusal = self.refuse_by_time(message.key, wall_s)
        if refusal is not None:
            return refusal
        if found is None and not self.records.make_room(wall_s):
            return BeginReply(False, KeyState.UNAVAILABLE)
        record = KeyRecord(
            organisation=message.organisation,
            key=message.key,
            fingerprint=message.fingerprint,
            grant=self.new_id() if found is None else found.grant,
            token=message.token,
            begun_s=wall_s if found is None else found.begun_s,
            granted=False,
        )
        self.records.put(record)
        complete_since_s = self.handover.complete_since_s()
        for replica in replicas:
            reply = await self.ask_replica(replica.name, message.version, record)
            if not reply.accepted or self.records.get(record.record_id) != record:
                return BeginReply(True)
            if reply.found is not None and reply.found.token != message.token:
                self.records.put(reply.found)
                return self.decide_from_record(reply.found, message)
            complete_since_s = min(complete_since_s, reply.complete_since_s)
        if not self.may_decide_for(message.version):
            return BeginReply(True)
        return self.decide(record, complete_since_s)

    async def ask_replica(
        self, name: str, version: int, record: KeyRecord
    ) -> RecordReply:
        """Asks a replica to record a key; a missing answer counts as a refusal."""
        try:
            return await self.mesh.call(
                name, RecordKey(version, record), RecordReply, RECORD_TIMEOUT_S
            )
        except PeerError:
            return RecordReply(False)

    def refuse_by_time(self, key: str, wall_s: float) -> BeginReply | None:
        """Refuses a key without a record whose time is in the future or too old.

        Returns:
            The refusal, or None if the time does not rule the key out.
        """
        time_s = key_time_s(key)
        if time_s is not None and time_s > wall_s + CLOCK_SKEW_S:
            return BeginReply(False, KeyState.UNAVAILABLE)
        if self.records.may_be_forgotten(key, wall_s):
            return BeginReply(False, KeyState.UNKNOWN)
        return None

    def decide(self, record: KeyRecord, complete_since_s: float) -> BeginReply:
        """Permits the dispatch of a recorded key unless an earlier use may be lost.

        While records of the previous list are still expected, the sender is
        asked to retry.
        """
        wall_s = self.clock.wall()
        time_s = key_time_s(record.key)
        earliest_s = (
            wall_s - KEY_RETENTION_S if time_s is None else time_s - CLOCK_SKEW_S
        )
        lost_until_s = self.membership.view.records_lost_until_s(
            holder_key(*record.record_id), self.membership.previous_stopped_s()
        )
        if earliest_s > max(lost_until_s, complete_since_s):
            self.records.put(record._replace(granted=True))
            return BeginReply(False, KeyState.RUN)
        settling_s = self.membership.adopted_wall_s + VIEW_VALIDITY_S + CLOCK_SKEW_S
        if self.handover.pending_senders and wall_s < settling_s:
            return BeginReply(True)
        self.records.put(record._replace(granted=True, verdict=Verdict.UNKNOWN))
        return BeginReply(False, KeyState.UNKNOWN)

    def decide_from_record(self, found: KeyRecord, message: BeginKey) -> BeginReply:
        """Decides on a key that already has a record of a permitted dispatch."""
        if found.fingerprint != message.fingerprint:
            return BeginReply(False, KeyState.CONFLICT)
        if found.verdict is Verdict.RAN:
            return BeginReply(False, KeyState.ANSWERED, found.response)
        if found.verdict is not None:
            return BeginReply(False, KeyState.UNKNOWN)
        if found.token == message.token:
            return BeginReply(False, KeyState.RUN)
        name, incarnation, _ = found.token.split("/")
        if Identity(name, incarnation) in self.membership.view.identities():
            return BeginReply(False, KeyState.IN_PROGRESS)
        return BeginReply(False, KeyState.UNKNOWN)

    async def on_record(self, sender: str, message: RecordKey) -> RecordReply:
        """Records a key as its replica, or answers with an earlier record."""
        record = message.record
        holders = self.membership.view.holders(holder_key(*record.record_id))
        me = self.membership.me.identity
        if not self.may_decide_for(message.version) or holders[0].name != sender:
            return RecordReply(False)
        if me not in holders:
            return RecordReply(False)
        complete_since_s = self.handover.complete_since_s()
        found = self.records.get(record.record_id)
        if found is not None and found.grant != record.grant:
            return RecordReply(True, found, complete_since_s)
        wall_s = self.clock.wall()
        if self.records.may_be_forgotten(record.key, wall_s):
            return RecordReply(False)
        if found is None and not self.records.make_room(wall_s):
            return RecordReply(False)
        self.records.put(record._replace(granted=True))
        return RecordReply(True, None, complete_since_s)

    async def on_finish(self, sender: str, message: FinishKey) -> Finished:
        """Records how a dispatch ended; NOT_RUN removes the record.

        Raises:
            PeerUnavailableError: There is no record yet, but a pending handover
                may still bring it.
        """
        index = (message.organisation, message.key)
        found = self.records.get(index)
        if found is not None and found.token != message.token:
            return Finished()
        if message.verdict is not Verdict.NOT_RUN:
            self.record_end(found, message)
        elif found is not None:
            self.records.remove(index)
        elif self.handover.pending_senders:
            raise PeerUnavailableError("the handover of records is not complete")
        return Finished()

    def record_end(self, found: KeyRecord | None, message: FinishKey) -> None:
        """Records that the dispatch of a key ran, or may have run."""
        wall_s = self.clock.wall()
        if found is None:
            if not self.records.make_room(wall_s):
                return
            found = KeyRecord(
                organisation=message.organisation,
                key=message.key,
                fingerprint=message.fingerprint,
                grant=message.token,
                token=message.token,
                begun_s=wall_s,
                granted=True,
            )
        self.records.put(
            found._replace(
                granted=True, verdict=message.verdict, response=message.response
            )
        )
