"""Injected faults of a store, and counters of the calls that reached it."""

import asyncio
from collections import Counter, deque
from typing import NotRequired, TypedDict

from burdockthread_model.clock import Clock
from burdockthread_model.errors import StoreUnavailableError, StoreUnknownError

PEAK_WINDOW_S = 1.0

GROUP_OF_KIND = {
    "get": "reads",
    "list": "reads",
    "changes": "reads",
    "watch": "reads",
    "write": "writes",
    "grant": "writes",
    "renew": "writes",
    "revoke": "writes",
}


class FaultSettings(TypedDict):
    """Fault settings as sent over HTTP; those left out are unchanged.

    Attributes:
        down: Whether every call fails and every watch is closed.
        flap_s: Seconds for which the store is alternately up and down; 0 to turn
            this off.
        slow_s: Delay in seconds before a call takes effect.
        lag_s: Delay in seconds before a watch delivers a batch.
        reorder: Whether a watch delivers the events of each batch one by one, newest
            first.
        duplicate: Whether a watch delivers each batch twice.
        lose_answers: Number of next writes that take effect but whose answer is lost.
        drop_requests: Number of next writes whose request is lost; they have no effect.
        late_write_s: Delay in seconds after which the next write takes effect; its
            answer is lost at once.
        close_watches: Whether to close the open watches now.
        silence_watches: Whether the open watches stay open but deliver nothing more.
        compact: Whether to compact the whole watch history now.
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
    """Counts calls by kind, and the peak rate within any second.

    Attributes:
        calls: Calls by kind.
        peaks: Most calls within any second, by kind and for all reads and writes.
        recent: Clock times of the calls within the last second, by the same names.
        open_watches: Number of open watches.
    """

    def __init__(self) -> None:
        self.calls: Counter[str] = Counter()
        self.peaks: dict[str, int] = {}
        self.recent: dict[str, deque[float]] = {}
        self.open_watches = 0

    def count(self, kind: str, now_s: float) -> None:
        """Counts a call.

        Args:
            kind: Kind of the call, a key of `GROUP_OF_KIND`.
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
        """Returns the number of calls in a group, ``reads`` or ``writes``."""
        return sum(n for kind, n in self.calls.items() if GROUP_OF_KIND[kind] == group)

    def report(self) -> dict[str, object]:
        """Returns the counters as JSON-compatible values."""
        return {
            "calls": dict(self.calls),
            "reads": self.total("reads"),
            "writes": self.total("writes"),
            "peaks_per_s": dict(self.peaks),
            "open_watches": self.open_watches,
        }


class StoreFaults:
    """Faults in effect; further attributes as in `FaultSettings`.

    Attributes:
        watch_closed: Event that closes the open watches; replaced whenever it is
            set.
        silenced_up_to: Watches with a number up to this one deliver nothing more.
        last_watch_number: Number of the watch opened last.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.counters = CallCounters()
        self.watch_closed = asyncio.Event()
        self.silenced_up_to = 0
        self.last_watch_number = 0
        self.clear()

    def clear(self) -> None:
        """Turns all faults off; the counters are kept."""
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
        """Whether every call fails now, because of `is_down` or of flapping."""
        if self.flap_s > 0 and int(self.clock.now() / self.flap_s) % 2 == 1:
            return True
        return self.is_down

    @down.setter
    def down(self, value: bool) -> None:
        self.is_down = value
        if value:
            self.close_watches()

    def set(self, settings: FaultSettings) -> None:
        """Applies the given settings; closing and silencing watches happens at once."""
        for name, value in settings.items():
            if name == "close_watches":
                self.close_watches()
            elif name == "silence_watches":
                self.silence_watches()
            elif name != "compact":
                setattr(self, name, value)

    def lose_next_answer(self) -> None:
        """Makes the next write take effect and lose its answer."""
        self.lose_answers += 1

    def drop_next_request(self) -> None:
        """Makes the next write lose its request, so that it has no effect."""
        self.drop_requests += 1

    def close_watches(self) -> None:
        """Closes all open watches."""
        self.watch_closed.set()
        self.watch_closed = asyncio.Event()

    def silence_watches(self) -> None:
        """Makes all open watches deliver nothing more, without closing them."""
        self.silenced_up_to = self.last_watch_number

    def check_reachable(self) -> None:
        """Raises an error for a call during an outage.

        Raises:
            StoreUnavailableError: The store is down.
        """
        if self.down:
            raise StoreUnavailableError("the key-value service is out")

    def raise_if_request_dropped(self) -> None:
        """Raises `StoreUnknownError` if this write's request is to be lost."""
        if self.drop_requests > 0:
            self.drop_requests -= 1
            raise StoreUnknownError("injected fault: the request of the write was lost")

    def raise_if_answer_lost(self) -> None:
        """Raises `StoreUnknownError` if this write's answer is to be lost."""
        if self.lose_answers > 0:
            self.lose_answers -= 1
            raise StoreUnknownError("injected fault: the answer to the write was lost")

    def pop_late_write_delay(self) -> float:
        """Returns the delay in seconds of a late write, or 0, and resets it."""
        delay_s, self.late_write_s = self.late_write_s, 0.0
        return delay_s
