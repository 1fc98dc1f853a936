"""Fault switches of a store, and counters of the calls that reached it."""

import asyncio
from collections import Counter, deque
from typing import NotRequired, TypedDict

from burdockthread_model.clock import Clock
from burdockthread_model.errors import StoreUnavailableError, StoreUnknownError

PEAK_WINDOW_S = 1.0

GROUP_OF_KIND = {
    "get": "reads",
    "list": "reads",
    "watch": "reads",
    "write": "writes",
    "grant": "writes",
    "renew": "writes",
    "revoke": "writes",
}


class FaultSettings(TypedDict):
    """Switches as set over HTTP; those left out stay as they are.

    Attributes:
        down: Whether every call fails and every watch is closed.
        flap_s: Seconds up and seconds down by turns; 0 for no flapping.
        slow_s: Seconds added before a call takes effect.
        lag_s: Seconds by which watches lag.
        reorder: Whether a watch delivers each batch newest event first.
        duplicate: Whether a watch delivers each batch twice.
        lose_answers: Writes from now on whose answers are lost after the effect.
        drop_requests: Writes from now on that are lost before any effect.
        late_write_s: Seconds after which the next write takes effect, its
            answer being lost at once.
        close_watches: Whether to close the open watches now.
        silence_watches: Whether the open watches deliver nothing from now on.
        compact: Whether to forget the history now.
    """

    down: NotRequired[bool]
    flap_s: NotRequired[float]
    slow_s: NotRequired[float]
    lag_s: NotRequired[float]
    reorder: NotRequired[bool]
    duplicate: NotRequired[bool]
    lose_answers: NotRequired[int]
    drop_requests: NotRequired[int]
    late_write_s: NotRequired[float]
    close_watches: NotRequired[bool]
    silence_watches: NotRequired[bool]
    compact: NotRequired[bool]


class CallCounters:
    """Counts calls by kind and the most within any second.

    Attributes:
        calls: Calls by kind.
        peaks: Most calls within any second, by kind and for all reads and writes.
        open_watches: Watches that wait now.
    """

    def __init__(self) -> None:
        self.calls: Counter[str] = Counter()
        self.peaks: dict[str, int] = {}
        self.recent: dict[str, deque[float]] = {}
        self.open_watches = 0

    def count(self, kind: str, now_s: float) -> None:
        """Counts a call.

        Args:
            kind: Kind of the call, one of `GROUP_OF_KIND`.
            now_s: Clock time of the call.
        """
        self.calls[kind] += 1
        for name in (kind, GROUP_OF_KIND[kind]):
            times = self.recent.setdefault(name, deque())
            times.append(now_s)
            while times[0] <= now_s - PEAK_WINDOW_S:
                times.popleft()
            self.peaks[name] = max(self.peaks.get(name, 0), len(times))

    def total(self, group: str) -> int:
        """Returns the calls of a group, ``reads`` or ``writes``."""
        return sum(n for kind, n in self.calls.items() if GROUP_OF_KIND[kind] == group)

    def report(self) -> dict[str, object]:
        """Returns the counters as plain values."""
        return {
            "calls": dict(self.calls),
            "reads": self.total("reads"),
            "writes": self.total("writes"),
            "peaks_per_s": dict(self.peaks),
            "open_watches": self.open_watches,
        }


class StoreFaults:
    """Switches that a test sets; attributes as in `FaultSettings`.

    Attributes:
        watch_closed: Set to close the watches that are open; replaced by each
            closing.
        silenced: Watches numbered up to this deliver nothing any more.
        opened: Number of the newest watch.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.counters = CallCounters()
        self.watch_closed = asyncio.Event()
        self.silenced = 0
        self.opened = 0
        self.clear()

    def clear(self) -> None:
        """Takes every switch back; counters stay."""
        self.is_down = False
        self.flap_s = 0.0
        self.slow_s = 0.0
        self.lag_s = 0.0
        self.reorder = False
        self.duplicate = False
        self.lose_answers = 0
        self.drop_requests = 0
        self.late_write_s = 0.0

    @property
    def down(self) -> bool:
        """Whether every call fails now."""
        if self.flap_s > 0 and int(self.clock.now() / self.flap_s) % 2 == 1:
            return True
        return self.is_down

    @down.setter
    def down(self, value: bool) -> None:
        self.is_down = value
        if value:
            self.close_watches()

    def set(self, settings: FaultSettings) -> None:
        """Sets the switches that are given; the momentary ones act now."""
        for name, value in settings.items():
            if name == "close_watches":
                self.close_watches()
            elif name == "silence_watches":
                self.silence_watches()
            elif name != "compact":
                setattr(self, name, value)

    def lose_next_answer(self) -> None:
        """Loses the answer of the next write after it took effect."""
        self.lose_answers += 1

    def drop_next_request(self) -> None:
        """Loses the next write before it takes effect."""
        self.drop_requests += 1

    def close_watches(self) -> None:
        """Closes the watches that are open."""
        self.watch_closed.set()
        self.watch_closed = asyncio.Event()

    def silence_watches(self) -> None:
        """Makes the watches that are open deliver nothing, without closing them."""
        self.silenced = self.opened

    def check_reachable(self) -> None:
        """Refuses a call during an outage.

        Raises:
            StoreUnavailableError: The store is down.
        """
        if self.down:
            raise StoreUnavailableError("the key-value service is out")

    def take_drop(self) -> None:
        """Loses a request if the next one is to be lost."""
        if self.drop_requests > 0:
            self.drop_requests -= 1
            raise StoreUnknownError("the request was lost")

    def take_loss(self) -> None:
        """Loses an answer if the next one is to be lost."""
        if self.lose_answers > 0:
            self.lose_answers -= 1
            raise StoreUnknownError("the answer was lost")

    def take_late(self) -> float:
        """Returns the delay of a late write in seconds and takes it back."""
        delay_s, self.late_write_s = self.late_write_s, 0.0
        return delay_s
