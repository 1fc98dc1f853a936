"""Which entries are alive, which duties each holds, and which are to take others."""

import asyncio

import xxhash
from burdockthread_model.events import EventLog
from burdockthread_model.records import RecordError
from burdockthread_store.prefix_cache import PrefixCache
from burdockthread_store.store import KeyValue

from burdockthread_scheduling.records import (
    DUTY_PREFIX,
    ENTRY_PREFIX,
    DutyRecord,
    EntryRecord,
    decode,
)

# Delay between one entry's campaign and that of the next in order of preference.
CAMPAIGN_STEP_S = 0.12
MAX_CAMPAIGN_DELAY_S = 0.6
# Entries that start at the same time have seen one another's records by then.
FIRST_NOTICE_S = 0.4
MAX_OFFERS = 3


class DutyDirectory:
    """Follows the records of entries and of the holders of duties.

    Attributes:
        entry: Name of this entry.
        owners: Known holders by duty, with the revision of the record.
        seen: Duties that have had a holder since this entry started.
        entries: Live entries by name.
        changed: Set when the holder of a duty has changed.
    """

    def __init__(self, entry: str, cache: PrefixCache, log: EventLog) -> None:
        self.entry = entry
        self.log = log
        self.owners: dict[str, tuple[DutyRecord, int]] = {}
        self.seen: set[str] = set()
        self.entries: dict[str, EntryRecord] = {}
        self.changed = asyncio.Event()
        cache.listeners.append(self.on_change)

    def on_change(self, key: str, item: KeyValue | None) -> None:
        """Applies a changed key; an unreadable record is logged and ignored."""
        try:
            if key.startswith(DUTY_PREFIX):
                self.on_owner(key.removeprefix(DUTY_PREFIX), item)
            elif key.startswith(ENTRY_PREFIX):
                self.on_entry(key.removeprefix(ENTRY_PREFIX), item)
        except RecordError as error:
            self.log.error("record_unreadable", store_key=key, reason=error)

    def on_owner(self, duty: str, item: KeyValue | None) -> None:
        """Updates the known holder of a duty; None removes it."""
        if item is None:
            self.owners.pop(duty, None)
        else:
            self.owners[duty] = (decode(item.value, DutyRecord), item.revision)
            self.seen.add(duty)
        self.changed.set()

    def on_entry(self, entry: str, item: KeyValue | None) -> None:
        """Updates the record of a live entry; None removes it."""
        if item is None:
            self.entries.pop(entry, None)
        else:
            self.entries[entry] = decode(item.value, EntryRecord)

    def is_holder(self, name: str) -> bool:
        """Returns whether the store records this entry as the holder of a duty."""
        owner = self.owners.get(name)
        return owner is not None and owner[0].entry == self.entry

    def holder_address(self, name: str) -> str:
        """Returns the address of a duty's holder, or an empty string."""
        owner = self.owners.get(name)
        entry = None if owner is None else self.entries.get(owner[0].entry)
        return "" if entry is None else entry.address

    def holder_fence(self, name: str) -> int:
        """Returns the fencing token of a duty's holder, or -1 if none is known."""
        owner = self.owners.get(name)
        return -1 if owner is None else owner[1]

    def other_addresses(self) -> list[str]:
        """Returns the addresses of the other live entries."""
        return [
            record.address
            for entry, record in self.entries.items()
            if entry != self.entry
        ]

    def successors(self, name: str) -> list[tuple[str, str]]:
        """Returns the entries to offer a duty to, with addresses, preferred first."""
        others = [entry for entry in self.entries if entry != self.entry]
        others.sort(key=lambda entry: self.preference(name, entry), reverse=True)
        return [(entry, self.entries[entry].address) for entry in others[:MAX_OFFERS]]

    def campaign_delay_s(self, name: str) -> float:
        """Returns the seconds that this entry waits before it seeks a vacant duty."""
        ranked = sorted(
            self.entries, key=lambda entry: self.preference(name, entry), reverse=True
        )
        if self.entry not in ranked:
            return MAX_CAMPAIGN_DELAY_S
        delay_s = min(ranked.index(self.entry) * CAMPAIGN_STEP_S, MAX_CAMPAIGN_DELAY_S)
        return delay_s if name in self.seen else delay_s + FIRST_NOTICE_S

    def preference(self, name: str, entry: str) -> float:
        """Returns the score of an entry for a duty; the highest is preferred.

        The score grows with the entry's weight and falls with each duty that the
        entry holds.
        """
        digest = xxhash.xxh64_intdigest(f"{name}\0{entry}".encode())
        share = (digest + 1) / 2**64
        load = sum(1 for record, _ in self.owners.values() if record.entry == entry)
        return self.entries[entry].weight * (1.0 + share) / (1.0 + load)
