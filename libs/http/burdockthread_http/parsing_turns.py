"""Shares the processor between connections by what their data costs to parse.

All connections of a process take turns. In one iteration of the event loop, parts of
received data are parsed up to a limit of their cost, so that answers of other
processes, timers and heartbeats wait for no more than that. The connection whose data
has cost the least of late goes first: a request that arrives whole waits for the parts
of one iteration, and not for all that others have sent.
"""

import asyncio
import heapq
import itertools
import math
from abc import ABC, abstractmethod
from typing import NamedTuple

# Costs are in bytes of a body of known length, the data that costs the least.
# A line of headers or of the framing of chunks takes as much as this many bytes.
LINE_COST = 1_024
# A request takes as much as this many bytes, beside its data.
REQUEST_COST = 65_536
# Cost after which a part ends. It is a fraction of a millisecond.
PART_COST = 262_144
# Cost of the parts that are parsed in one iteration of the event loop. It is a few
# milliseconds.
TURN_COST = 1_048_576
# Cost that is left of a turn below which another one is scheduled. In calm, a turn thus
# lasts for several requests, and few iterations of the event loop are for turns alone.
LEAST_LEFT = TURN_COST // 2
# Time after which half of the cost of earlier data no longer counts.
HALF_LIFE_S = 1.0


class RecentCost:
    """Cost of the data of one connection, of which less counts the older it is.

    Attributes:
        cost: Cost at the time of the last change.
        changed_s: Event loop time of the last change.
    """

    __slots__ = ("changed_s", "cost")

    def __init__(self) -> None:
        self.cost = 0.0
        self.changed_s = 0.0

    def at(self, now_s: float) -> float:
        """Returns the cost that still counts."""
        return self.cost * math.pow(0.5, (now_s - self.changed_s) / HALF_LIFE_S)

    def add(self, cost: int, now_s: float) -> None:
        """Adds the cost of a part that has been parsed."""
        self.cost = self.at(now_s) + cost
        self.changed_s = now_s


class ParsedConnection(ABC):
    """A connection whose data is parsed in turns.

    Attributes:
        recent_cost: Cost of its data.
    """

    __slots__ = ()
    recent_cost: RecentCost

    @abstractmethod
    def parse_next(self) -> int:
        """Parses the next part of the data and returns its cost.

        A connection that has more calls `ParsingTurns.wait`.
        """


class WaitingConnection(NamedTuple):
    """A connection that waits; the least goes first.

    Attributes:
        cost: What its data has cost of late.
        number: Order of arrival.
        connection: The connection.
    """

    cost: float
    number: int
    connection: ParsedConnection


class ParsingTurns:
    """The order in which the connections of a process are parsed.

    Attributes:
        waiting: Connections that wait for their turn, as a heap.
        members: The same connections, and those of `again`.
        again: Connections that have had a part in the present turn.
        left: Cost that may still be parsed before the next turn.
        is_scheduled: Whether the next turn is scheduled.
        is_in_turn: Whether a turn is in progress.
    """

    def __init__(self) -> None:
        self.waiting: list[WaitingConnection] = []
        self.members: set[ParsedConnection] = set()
        self.again: list[ParsedConnection] = []
        self.left = TURN_COST
        self.is_scheduled = False
        self.is_in_turn = False
        self.numbers = itertools.count()

    def begin(self, connection: ParsedConnection) -> None:
        """Parses a part of new data at once, or once it is the connection's turn."""
        if connection in self.members:
            return
        if self.waiting or self.left <= 0:
            self.wait(connection)
        else:
            self.parse(connection)
            if self.left < LEAST_LEFT:
                self.schedule()

    def wait(self, connection: ParsedConnection) -> None:
        """Lets a connection wait for its turn; it has one part in a turn."""
        if connection in self.members:
            return
        self.members.add(connection)
        if self.is_in_turn:
            self.again.append(connection)
        else:
            self.push(connection)
            self.schedule()

    def push(self, connection: ParsedConnection) -> None:
        """Adds a connection to those that wait."""
        cost = connection.recent_cost.at(asyncio.get_running_loop().time())
        waiting = WaitingConnection(cost, next(self.numbers), connection)
        heapq.heappush(self.waiting, waiting)

    def schedule(self) -> None:
        """Schedules a turn in the next iteration of the event loop."""
        if not self.is_scheduled:
            self.is_scheduled = True
            asyncio.get_running_loop().call_soon(self.take_turn)

    def take_turn(self) -> None:
        """Parses parts of the connections that wait, up to the cost of a turn."""
        self.is_scheduled = False
        self.is_in_turn = True
        self.left = TURN_COST
        try:
            while self.waiting and self.left > 0:
                connection = heapq.heappop(self.waiting).connection
                self.members.remove(connection)
                self.parse(connection)
        finally:
            self.is_in_turn = False
            for connection in self.again:
                self.push(connection)
            self.again.clear()
            if self.waiting:
                self.schedule()

    def parse(self, connection: ParsedConnection) -> None:
        """Parses a part of a connection's data."""
        cost = connection.parse_next()
        self.left -= cost
        connection.recent_cost.add(cost, asyncio.get_running_loop().time())
