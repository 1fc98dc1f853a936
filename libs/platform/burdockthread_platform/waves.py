"""Reads the upkeep waves in the platform's store and writes their status."""

import json

from burdockthread_model.errors import ConflictError, StoreError
from burdockthread_model.events import EventLog
from burdockthread_scheduling.machines import Wave, WaveBoard
from burdockthread_store.store import (
    ANY_REVISION,
    Change,
    ConfigurationStore,
    Guard,
    KeyValue,
)

from burdockthread_platform import wire

WAVE_PREFIX = "op/wave/"
STATUS_PREFIX = "status/wave/"


class StoredWaves(WaveBoard):
    """The waves that operators have requested, as read from the store.

    Attributes:
        known: Requested waves by store key.
    """

    def __init__(self, store: ConfigurationStore, log: EventLog) -> None:
        self.store = store
        self.log = log
        self.known: dict[str, Wave] = {}

    def on_change(self, key: str, item: KeyValue | None) -> None:
        """Records a wave that operators have requested or withdrawn."""
        if not key.startswith(WAVE_PREFIX):
            return
        if item is None:
            self.known.pop(key, None)
            return
        try:
            wave = parse_wave(item.value)
        except wire.WireError as error:
            self.log.error("wave_unreadable", store_key=key, reason=error)
            return
        self.known[key] = wave
        self.log.info(
            "wave_seen",
            wave=wave.number,
            machines=len(wave.machines),
            duration_s=wave.duration_s,
            max_at_once=wave.max_at_once,
        )

    def waves(self) -> tuple[Wave, ...]:
        """Returns the requested waves in order of their numbers."""
        return tuple(sorted(self.known.values()))

    async def report_status(self, wave: int, guard: Guard, *, completed: bool) -> None:
        """Writes the status of a wave for operators.

        Raises:
            StoreError: The guard no longer holds, or the store failed.
        """
        state = "completed" if completed else "running"
        value = json.dumps({"state": state}).encode()
        change = Change(f"{STATUS_PREFIX}{wave}", value, ANY_REVISION)
        try:
            await self.store.write([change], [guard])
        except ConflictError as error:
            raise StoreError(f"wave {wave}: {error}") from error


def parse_wave(value: bytes) -> Wave:
    """Decodes a wave.

    Raises:
        WireError: The wave is malformed.
    """
    body = wire.parse_object(value)
    return Wave(
        number=wire.integer(body, "wave", default=None),
        machines=wire.texts(body, "machines"),
        duration_s=wire.number(body, "durationS"),
        max_at_once=wire.integer(body, "maxCount", default=1, least=1),
    )
