"""Records of idempotency keys in bounded memory."""

import uuid
from collections import OrderedDict
from typing import NamedTuple

from burdockthread_model.request import CallerResponse
from burdockthread_model.verdict import Verdict

from burdockthread_peers.view import CLOCK_SKEW_S, KEY_RETENTION_S

UUID_TIME_VERSION = 7
UUID_TIME_SHIFT = 80
MAX_RESPONSE_BYTES = 16_384
MAX_RESPONSES_BYTES = 8 * 1_048_576

KeyIndex = tuple[str, str]


class KeyRecord(NamedTuple):
    """State of an idempotency key at its owner or replica.

    Attributes:
        organisation: Organisation that the key belongs to.
        key: The caller's key.
        fingerprint: Hash of the request.
        grant: Id that the owner gave to this use of the key.
        token: Id of the call of `begin`; it names the calling process.
        begun_s: Wall-clock time of the first use.
        granted: Whether a dispatch may have been permitted.
        verdict: How the dispatch ended, or None while it is in progress.
        response: Response to repeat, or None.
    """

    organisation: str
    key: str
    fingerprint: str
    grant: str
    token: str
    begun_s: float
    granted: bool
    verdict: Verdict | None = None
    response: CallerResponse | None = None

    @property
    def record_id(self) -> KeyIndex:
        """Returns the organisation and the key, by which the record is stored."""
        return self.organisation, self.key


def key_time_s(key: str) -> float | None:
    """Returns the wall-clock time that a key contains, or None.

    Args:
        key: The caller's key; only a UUID of version 7 contains a time.
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != UUID_TIME_VERSION:
        return None
    return (parsed.int >> UUID_TIME_SHIFT) / 1000.0


class KeyRecords:
    """Keeps the records of keys for `KEY_RETENTION_S`, up to a maximum number.

    At capacity the oldest key is evicted early if it contains a time; from then
    on all keys up to that time count as possibly forgotten. A key without a
    time is never evicted early: new keys are refused instead.

    Attributes:
        records: Records by key, oldest first.
        capacity: Maximum number of keys.
        forgotten_until_s: Time of the newest key that was evicted early.
        responses: Size of each stored response body, oldest first.
        response_bytes: Total size of the stored response bodies.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.records: OrderedDict[KeyIndex, KeyRecord] = OrderedDict()
        self.forgotten_until_s = float("-inf")
        self.responses: OrderedDict[KeyIndex, int] = OrderedDict()
        self.response_bytes = 0

    def __len__(self) -> int:
        return len(self.records)

    def get(self, index: KeyIndex) -> KeyRecord | None:
        """Returns the record of a key, or None."""
        return self.records.get(index)

    def put(self, record: KeyRecord) -> None:
        """Adds or replaces a record; call `make_room` before adding a new one."""
        index = record.record_id
        self.drop_response(index)
        if record.response is not None:
            record = self.keep_response(record, record.response)
        self.records[index] = record

    def keep_response(self, record: KeyRecord, response: CallerResponse) -> KeyRecord:
        """Counts the size of a response and evicts older ones over the total limit.

        Returns:
            The record, without its response if that is larger than
            `MAX_RESPONSE_BYTES`.
        """
        size = len(response.body)
        if size > MAX_RESPONSE_BYTES:
            return record._replace(response=None)
        self.responses[record.record_id] = size
        self.response_bytes += size
        while self.response_bytes > MAX_RESPONSES_BYTES:
            self.forget_oldest_response()
        return record

    def forget_oldest_response(self) -> None:
        """Evicts the oldest response; the record of its key stays."""
        index = next(iter(self.responses))
        self.drop_response(index)
        found = self.records.get(index)
        if found is not None:
            self.records[index] = found._replace(response=None)

    def drop_response(self, index: KeyIndex) -> None:
        """Subtracts a response from the total size; the record is not changed."""
        self.response_bytes -= self.responses.pop(index, 0)

    def remove(self, index: KeyIndex) -> None:
        """Removes the record of a key."""
        self.drop_response(index)
        self.records.pop(index, None)

    def make_room(self, wall_s: float) -> bool:
        """Evicts old records; returns whether there is room for one more."""
        while self.records:
            oldest = next(iter(self.records.values()))
            if oldest.begun_s < wall_s - KEY_RETENTION_S:
                self.remove(oldest.record_id)
            elif len(self.records) < self.capacity:
                break
            elif not self.forget_early(oldest):
                return False
        return True

    def forget_early(self, oldest: KeyRecord) -> bool:
        """Evicts a key at capacity; returns whether that was possible.

        Only a key that contains a time and whose dispatch has ended is evicted:
        by its time, a later use is recognised as possibly forgotten.
        """
        time_s = key_time_s(oldest.key)
        if time_s is None or oldest.verdict is None:
            return False
        self.forgotten_until_s = max(self.forgotten_until_s, time_s)
        self.remove(oldest.record_id)
        return True

    def may_be_forgotten(self, key: str, wall_s: float) -> bool:
        """Returns whether the record of a key may have been evicted, by its time."""
        time_s = key_time_s(key)
        if time_s is None:
            return False
        if time_s <= self.forgotten_until_s:
            return True
        return time_s <= wall_s - KEY_RETENTION_S + CLOCK_SKEW_S

    def merge(self, record: KeyRecord) -> None:
        """Stores another holder's record unless the own one says at least as much."""
        known = self.records.get(record.record_id)
        if known is None or (known.verdict is None and record.verdict is not None):
            self.put(record._replace(granted=True))
