"""Records of idempotency keys in bounded memory."""

import uuid
from collections import OrderedDict
from typing import NamedTuple

from burdockthread_model.request import CallerResponse
from burdockthread_model.verdict import Verdict

from burdockthread_peers.view import CLOCK_SKEW_S, REMEMBERED_S

UUID_TIME_VERSION = 7
UUID_TIME_SHIFT = 80
MAX_RESPONSE_BYTES = 16_384
MAX_RESPONSES_BYTES = 8 * 1_048_576

KeyIndex = tuple[str, str]


class KeyRecord(NamedTuple):
    """What a holder remembers of a key.

    Attributes:
        organisation: Organisation that the key belongs to.
        key: The caller's key.
        fingerprint: Hash of the request.
        grant: Id that the owner gave to this use of the key.
        token: Id of the call of `begin`, with the process that made it.
        begun_s: Wall-clock time of the first use.
        granted: Whether a dispatch may have been permitted.
        verdict: How the dispatch ended, or None while it is under way.
        response: The answer to repeat, or None.
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
        """Returns what the record is found by."""
        return self.organisation, self.key


def born_s(key: str) -> float | None:
    """Returns the wall-clock time in a key, or None if it carries none.

    Args:
        key: The caller's key; a UUID of version 7 carries its time.
    """
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.version != UUID_TIME_VERSION:
        return None
    return (parsed.int >> UUID_TIME_SHIFT) / 1000.0


class KeyRecords:
    """Remembers keys for `REMEMBERED_S`, up to a number of keys.

    At capacity the oldest key that carries its time is forgotten early, and all
    keys up to that time count as too old from then on. A key without a time is
    never forgotten early: new keys are refused instead.

    Attributes:
        records: Keys, oldest first.
        capacity: Keys remembered at the most.
        forgotten_born_s: Time of the youngest key that was forgotten early.
        response_bytes: Sum of the bodies of all answers kept.
    """

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self.records: OrderedDict[KeyIndex, KeyRecord] = OrderedDict()
        self.forgotten_born_s = float("-inf")
        self.responses: OrderedDict[KeyIndex, int] = OrderedDict()
        self.response_bytes = 0

    def __len__(self) -> int:
        return len(self.records)

    def get(self, index: KeyIndex) -> KeyRecord | None:
        """Returns what is remembered of a key."""
        return self.records.get(index)

    def put(self, record: KeyRecord) -> None:
        """Adds or replaces a record; `make_room` comes first for a new one."""
        index = record.record_id
        self.drop_response(index)
        if record.response is not None:
            record = self.keep_response(record, record.response)
        self.records[index] = record

    def keep_response(self, record: KeyRecord, response: CallerResponse) -> KeyRecord:
        """Counts an answer, and drops it if it is too large to be kept."""
        size = len(response.body)
        if size > MAX_RESPONSE_BYTES:
            return record._replace(response=None)
        self.responses[record.record_id] = size
        self.response_bytes += size
        while self.response_bytes > MAX_RESPONSES_BYTES:
            self.forget_oldest_response()
        return record

    def forget_oldest_response(self) -> None:
        """Drops the oldest answer; its key stays."""
        index = next(iter(self.responses))
        self.drop_response(index)
        found = self.records.get(index)
        if found is not None:
            self.records[index] = found._replace(response=None)

    def drop_response(self, index: KeyIndex) -> None:
        """Takes an answer out of the count."""
        self.response_bytes -= self.responses.pop(index, 0)

    def remove(self, index: KeyIndex) -> None:
        """Forgets a key."""
        self.drop_response(index)
        self.records.pop(index, None)

    def make_room(self, wall_s: float) -> bool:
        """Forgets old keys; returns whether one more can be remembered."""
        while self.records:
            oldest = next(iter(self.records.values()))
            if oldest.begun_s < wall_s - REMEMBERED_S:
                self.remove(oldest.record_id)
            elif len(self.records) < self.capacity:
                break
            elif not self.forget_early(oldest):
                return False
        return True

    def forget_early(self, oldest: KeyRecord) -> bool:
        """Forgets a key that counts as too old by its time from now on."""
        time_s = born_s(oldest.key)
        if time_s is None or oldest.verdict is None:
            return False
        self.forgotten_born_s = max(self.forgotten_born_s, time_s)
        self.remove(oldest.record_id)
        return True

    def too_old(self, key: str, wall_s: float) -> bool:
        """Returns whether a key may have been forgotten, by its time."""
        time_s = born_s(key)
        if time_s is None:
            return False
        if time_s <= self.forgotten_born_s:
            return True
        return time_s <= wall_s - REMEMBERED_S + CLOCK_SKEW_S

    def merge(self, record: KeyRecord) -> None:
        """Takes in what another holder remembers of a key."""
        known = self.records.get(record.record_id)
        if known is None or (known.verdict is None and record.verdict is not None):
            self.put(record._replace(granted=True))
