"""A budget for bytes that clients have sent and that are not handled yet.

The budget covers all connections of a process. It has no access to the network: its
owner reports what connections hold, and closes those that it names.
"""

from collections.abc import Iterable
from typing import NamedTuple

MEGABYTE = 1_000_000
# Memory if the settings name none: less than the smallest machine of the deployments.
DEFAULT_MEMORY_MB = 200
# A byte received takes up to three bytes of memory: the parts as read, the joined body
# and the decoded one. The budget of a twelfth is thus a quarter of the memory at most.
MEMORY_PER_BUDGET_BYTE = 12
# Less than this many bytes are no progress, so that a client that sends single bytes
# does not outlast one that sends a body at once.
PROGRESS_BYTES = 1_024
# A connection that made progress within this time is not closed to make room: requests
# of ordinary callers arrive within it.
MIN_STALLED_S = 0.25
# Part of the limit that is freed beyond what is needed, so that the connections are
# not sorted again for each packet while the budget is full.
FREED_SHARE = 1 / 16


class ClosingRank(NamedTuple):
    """Rank of a connection in the closing order; the lowest is closed first.

    Attributes:
        is_served: Whether it only waits for its next request after an answer.
        progress_s: Time of its last progress.
    """

    is_served: bool
    progress_s: float


class ConnectionProgress:
    """What one connection holds and when it last made progress.

    Attributes:
        held: Bytes that are held for it.
        kept: Those of them that are left of a request that was answered.
        progress_s: Time at which the connection was opened, a request on it was
            answered, a head was complete, or `PROGRESS_BYTES` more had arrived.
        since_progress: Bytes received since then.
        is_served: Whether a request on it has been answered.
        may_have_run: Whether a request on it has been received whole and is not
            answered; such a connection is not closed to make room.
        is_unread: Whether such a request has been answered, and its client does not
            read the answer; then it may be closed.
    """

    __slots__ = (
        "held",
        "is_served",
        "is_unread",
        "kept",
        "may_have_run",
        "progress_s",
        "since_progress",
    )

    def __init__(self, now_s: float) -> None:
        self.held = self.kept = 0
        self.progress_s = now_s
        self.since_progress = 0
        self.is_served = False
        self.may_have_run = False
        self.is_unread = False

    def advance(self, now_s: float) -> None:
        """Records progress."""
        self.progress_s = now_s
        self.since_progress = 0

    def receive(self, size: int, now_s: float) -> None:
        """Records received bytes, which are progress once there are enough."""
        self.since_progress += size
        if self.since_progress >= PROGRESS_BYTES:
            self.advance(now_s)

    def rank(self) -> ClosingRank:
        """Returns the rank in the closing order."""
        return ClosingRank(self.is_served and self.held <= self.kept, self.progress_s)

    def is_closable(self) -> bool:
        """Returns whether the connection may be closed to make room."""
        return self.is_unread or not self.may_have_run


def closing_order(
    connections: Iterable[ConnectionProgress],
) -> list[ConnectionProgress]:
    """Returns the connections that may be closed, least progress first."""
    closable = [found for found in connections if found.is_closable()]
    return sorted(closable, key=ConnectionProgress.rank)


class ReceivedBytes:
    """The budget.

    Attributes:
        limit: Most bytes held.
        used: Bytes held now, over all connections.
        holders: Connections that hold any.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self.used = 0
        self.holders: set[ConnectionProgress] = set()

    @classmethod
    def of_memory(cls, memory_mb: int) -> "ReceivedBytes":
        """Returns the budget of a process with a memory limit; 0 if not given."""
        memory = (memory_mb or DEFAULT_MEMORY_MB) * MEGABYTE
        return cls(memory // MEMORY_PER_BUDGET_BYTE)

    def hold(self, connection: ConnectionProgress, size: int) -> None:
        """Sets the number of bytes that a connection holds."""
        self.used += size - connection.held
        connection.held = size
        if size:
            self.holders.add(connection)
        else:
            self.holders.discard(connection)

    def fits(self, size: int, share: float = 1.0) -> bool:
        """Returns whether more bytes fit into a share of the budget."""
        return self.used + size <= self.limit * share

    def to_close(
        self,
        asking: ConnectionProgress,
        size: int,
        now_s: float,
        share: float = 1.0,
    ) -> list[ConnectionProgress]:
        """Returns the connections to close so that more bytes fit.

        Args:
            asking: Connection for which there should be room; it is not named.
            size: Number of bytes more.
            now_s: The time.
            share: Share of the budget that the asking connection may fill.

        Returns:
            Connections with the least progress that suffice, or none if closing all
            that may be closed does not suffice.
        """
        excess = self.used + size - self.limit * share
        found: list[ConnectionProgress] = []
        freed = 0
        for holder in closing_order(self.holders - {asking}):
            if freed >= excess + self.limit * FREED_SHARE:
                break
            if now_s - holder.progress_s < MIN_STALLED_S:
                break
            found.append(holder)
            freed += holder.held
        return found if freed >= excess else []
