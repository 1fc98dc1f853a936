"""Messages between entries about idempotency keys."""

from typing import NamedTuple

from burdockthread_model.request import CallerResponse
from burdockthread_model.verdict import Verdict

from burdockthread_peers.idempotency import KeyState
from burdockthread_peers.key_records import KeyRecord


class BeginKey(NamedTuple):
    """Asks the owner whether a request may be dispatched.

    Attributes:
        version: Version of the member list that determined the owner.
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
    """Answer to `BeginKey`; `again` asks the sender to retry, nothing is decided."""

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
        accepted: Whether the replica has stored this record or had `found`.
        found: The record that the replica already had, or None.
        complete_since_s: Wall-clock time since which the replica has the records
            of all uses of its keys.
    """

    accepted: bool
    found: KeyRecord | None = None
    complete_since_s: float = 0.0


class FinishKey(NamedTuple):
    """Reports to a holder how a dispatch ended."""

    organisation: str
    key: str
    fingerprint: str
    token: str
    verdict: Verdict
    response: CallerResponse | None


class Finished(NamedTuple):
    """Answer to `FinishKey`."""


class HandOver(NamedTuple):
    """Sends records to a new holder after the member list was replaced."""

    version: int
    records: tuple[KeyRecord, ...]


class HandOverDone(NamedTuple):
    """Says that the sender has sent the receiver every record meant for it.

    Attributes:
        version: Version of the member list.
        incarnation: The sender's incarnation.
        complete_since_s: Wall-clock time since which the sender had the records
            of all uses of its keys.
    """

    version: int
    incarnation: str
    complete_since_s: float


class HandOverReply(NamedTuple):
    """Answer to `HandOver` and `HandOverDone`; the sender retries if refused."""

    accepted: bool
