"""Messages between entries about idempotency keys."""

from typing import NamedTuple

from burdockthread_model.request import CallerResponse
from burdockthread_model.verdict import Verdict

from burdockthread_peers.idempotency import KeyState
from burdockthread_peers.key_records import KeyRecord


class BeginKey(NamedTuple):
    """Asks the owner whether a request may be dispatched.

    Attributes:
        version: Version of the member list by which the owner was chosen.
        organisation: Organisation that the key belongs to.
        key: The caller's key.
        fingerprint: Hash of the request.
        token: Id of this call of `begin`.
    """

    version: int
    organisation: str
    key: str
    fingerprint: str
    token: str


class BeginReply(NamedTuple):
    """Answer to `BeginKey`; `again` wants the same question once more."""

    again: bool
    state: KeyState = KeyState.UNAVAILABLE
    response: CallerResponse | None = None


class RecordKey(NamedTuple):
    """Asks the replica to record a key before its dispatch."""

    version: int
    record: KeyRecord


class RecordReply(NamedTuple):
    """Answer to `RecordKey`.

    Attributes:
        accepted: Whether the record is kept, or `found` is.
        found: What the replica knew already, or None.
        complete_since_s: Wall-clock time from which on the replica knows all.
    """

    accepted: bool
    found: KeyRecord | None = None
    complete_since_s: float = 0.0


class FinishKey(NamedTuple):
    """Tells a holder how a dispatch ended."""

    organisation: str
    key: str
    fingerprint: str
    token: str
    verdict: Verdict
    response: CallerResponse | None


class Finished(NamedTuple):
    """Answer to `FinishKey`."""


class HandOver(NamedTuple):
    """Hands records on after the member list was replaced."""

    version: int
    records: tuple[KeyRecord, ...]


class HandOverDone(NamedTuple):
    """Tells a member that it has every record that the sender held.

    Attributes:
        version: Version of the member list.
        incarnation: The sender's incarnation.
        complete_since_s: Wall-clock time from which on the sender knew all.
    """

    version: int
    incarnation: str
    complete_since_s: float


class HandOverReply(NamedTuple):
    """Answer to `HandOver` and `HandOverDone`."""

    accepted: bool
