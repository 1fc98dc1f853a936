"""Bounds the starts in flight by the time that workers take to answer them.

Starts beyond what the link and the processor of the holder carry only wait in its
queues, until their time-outs end them and stops follow. The bound grows while answers
come quickly and shrinks once they come late, as a congestion window does.
"""

from burdockthread_model.clock import Clock

# Every holder carries the least; the most keeps a strong one from a burst of thousands.
MIN_STARTS = 4.0
FIRST_STARTS = 24.0
MAX_STARTS = 256.0
# An answer within the first time shows a free path; one after the second shows a queue
# that is half as long as the time-out of a start.
PROMPT_S = 0.1
LATE_S = 0.25
SHRINK_FACTOR = 0.6
# Pause between two polls of a worker while the limit is at its first value; it grows as
# the limit falls, and two polls with their waits stay within the lease of the runs.
POLL_PAUSE_S = 0.1
# Queues drain within this time, so that the next sign shows another one.
SHRINK_INTERVAL_S = 0.25
# Growth for each prompt answer.
GROWTH = 0.25
# Starts of several workers without an answer within this time count as one cause.
UNANSWERED_SPAN_S = 0.5


class StartWindow:
    """The number of starts that may be in flight.

    Attributes:
        limit: Starts that may be in flight at once.
        in_flight: Starts that are in flight.
        shrunk_s: Clock time of the last reduction.
        unanswered: Worker of the last start without an answer, and its clock time.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.limit = FIRST_STARTS
        self.in_flight = 0
        self.shrunk_s = float("-inf")
        self.unanswered = ("", float("-inf"))

    def has_room(self) -> bool:
        """Returns whether another start may be sent now."""
        return self.in_flight < self.limit

    def is_narrow(self) -> bool:
        """Returns whether the path is full."""
        return self.limit < FIRST_STARTS / 2

    def poll_pause_s(self) -> float:
        """Returns the seconds between two polls of a worker; 0 on a free path."""
        if not self.is_narrow():
            return 0.0
        return POLL_PAUSE_S * FIRST_STARTS / self.limit

    def note_answer(self, seconds: float) -> None:
        """Adapts the limit to an answer that took some seconds."""
        if seconds > LATE_S:
            self.shrink()
        elif seconds < PROMPT_S:
            self.limit = min(self.limit + GROWTH, MAX_STARTS)

    def note_no_answer(self, worker_id: str) -> None:
        """Adapts the limit to a start without an answer.

        One worker alone may be at fault; several at a time show a full path.
        """
        last, last_s = self.unanswered
        now = self.clock.now()
        self.unanswered = (worker_id, now)
        if last != worker_id and now - last_s < UNANSWERED_SPAN_S:
            self.shrink()

    def shrink(self) -> None:
        """Reduces the limit, once for all signs of the same queue."""
        now = self.clock.now()
        if now - self.shrunk_s >= SHRINK_INTERVAL_S:
            self.shrunk_s = now
            self.limit = max(self.limit * SHRINK_FACTOR, MIN_STARTS)
