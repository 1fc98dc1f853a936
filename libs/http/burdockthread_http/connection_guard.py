"""What the connections of a process share: budget, deadlines, counters, log lines."""

import asyncio
from abc import ABC, abstractmethod
from collections import Counter
from typing import NamedTuple

from burdockthread_model.events import EventLog
from burdockthread_model.metrics import MemoryMetrics, Metrics

from burdockthread_http.connection_limits import CLOSED_FOR_MEMORY, Refusal
from burdockthread_http.parsing_turns import ParsingTurns
from burdockthread_http.received_bytes import ConnectionProgress, ReceivedBytes

SWEEP_INTERVAL_S = 0.5
# One line for each port and reason in this time; its field `n` counts all since the
# last line.
LOG_INTERVAL_S = 5.0


class PortEvent(NamedTuple):
    """Kind of an event that is logged at a bounded rate.

    Attributes:
        port: Name of the port.
        reason: Why a request was refused or a connection closed.
    """

    port: str
    reason: str


class SweptConnection(ABC):
    """A connection as the guard sees it.

    Attributes:
        deadline_s: Event loop time at which `expire` is called.
    """

    __slots__ = ()
    deadline_s: float

    @abstractmethod
    def refuse(self, refusal: Refusal) -> None:
        """Refuses the request that is being received, and closes the connection."""

    @abstractmethod
    def postpone(self, seconds: float) -> None:
        """Moves the deadline."""

    @abstractmethod
    def expire(self, now_s: float) -> None:
        """Handles the end of the time for what the connection waits for."""


class ConnectionGuard:
    """Keeps the connections of all ports of a process within its limits.

    Attributes:
        budget: Budget of received bytes.
        turns: Order in which received data is parsed.
        connections: Open connections by their progress.
        sweep_due_s: Event loop time at which the deadlines are checked next.
        unlogged: Number of events of each kind since its last log line.
        logged_s: Event loop time of the last log line of each kind.
    """

    def __init__(self, budget: ReceivedBytes, metrics: Metrics, log: EventLog) -> None:
        self.budget = budget
        self.turns = ParsingTurns()
        self.metrics = metrics
        self.log = log
        self.connections: dict[ConnectionProgress, SweptConnection] = {}
        self.sweeping: asyncio.TimerHandle | None = None
        self.sweep_due_s = 0.0
        self.unlogged: Counter[PortEvent] = Counter()
        self.logged_s: dict[PortEvent, float] = {}

    @classmethod
    def with_defaults(cls, log: EventLog) -> "ConnectionGuard":
        """Returns a guard with the default budget."""
        return cls(ReceivedBytes.of_memory(0), MemoryMetrics(), log)

    def add(self, progress: ConnectionProgress, connection: SweptConnection) -> None:
        """Adds a connection; deadlines are checked while there are any."""
        self.connections[progress] = connection
        if self.sweeping is None:
            self.schedule_sweep()

    def remove(self, progress: ConnectionProgress) -> None:
        """Removes a connection and releases what it holds."""
        self.budget.hold(progress, 0)
        self.connections.pop(progress, None)

    def schedule_sweep(self) -> None:
        """Schedules the next check of the deadlines."""
        loop = asyncio.get_running_loop()
        self.sweep_due_s = loop.time() + SWEEP_INTERVAL_S
        self.sweeping = loop.call_at(self.sweep_due_s, self.sweep)

    def sweep(self) -> None:
        """Calls `expire` on the connections whose deadline has passed.

        Deadlines are moved by the time by which a check is late: while the process was
        stopped, or its event loop was, it received nothing. The time between checks
        still counts, so a loop that is always late does not keep connections.
        """
        self.sweeping = None
        now_s = asyncio.get_running_loop().time()
        late_s = now_s - self.sweep_due_s
        for connection in list(self.connections.values()):
            if late_s > SWEEP_INTERVAL_S:
                connection.postpone(late_s)
            if connection.deadline_s <= now_s:
                connection.expire(now_s)
        self.metrics.gauge("clients.held_bytes", self.budget.used)
        if self.connections:
            self.schedule_sweep()

    def hold(
        self, progress: ConnectionProgress, size: int, now_s: float, share: float
    ) -> bool:
        """Sets what a connection holds, closing others if there is no room for it.

        Returns False, and changes nothing, if there is still no room.
        """
        more = size - progress.held
        if more > 0 and not self.has_room(progress, more, now_s, share):
            return False
        self.budget.hold(progress, size)
        return True

    def has_room(
        self, progress: ConnectionProgress, more: int, now_s: float, share: float
    ) -> bool:
        """Returns whether a connection may hold more, after closing others if needed.

        Connections are closed in order of least progress. One whose request may have
        run is closed only if its client does not read the answer.
        """
        if self.budget.fits(more, share):
            return True
        for found in self.budget.to_close(progress, more, now_s, share):
            self.connections[found].refuse(CLOSED_FOR_MEMORY)
        return self.budget.fits(more, share)

    def note(self, event: str, reason: str, port: str, **fields: object) -> None:
        """Counts a refused request or a closed connection; logs it at a bounded rate.

        Args:
            event: `refused` or `closed`.
            reason: Why.
            port: Name of the port.
            **fields: Further fields of the log line.
        """
        self.metrics.count(f"clients.{event}.{port}.{reason}")
        now_s = asyncio.get_running_loop().time()
        kind = PortEvent(port, reason)
        self.unlogged[kind] += 1
        if now_s - self.logged_s.get(kind, float("-inf")) < LOG_INTERVAL_S:
            return
        self.logged_s[kind] = now_s
        self.log.warning(
            f"client_{event}",
            port=port,
            reason=reason,
            n=self.unlogged.pop(kind),
            held_bytes=self.budget.used,
            connections=len(self.connections),
            **fields,
        )
