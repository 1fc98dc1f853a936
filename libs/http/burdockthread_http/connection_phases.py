"""What a connection waits for, and for how long."""

from enum import Enum, auto
from math import inf

from burdockthread_http.connection_limits import PortLimits

# An idle connection is closed this much later than the limit says, as its client may
# have sent a request just before.
IDLE_MARGIN_S = 5.0
# Time between two looks at whether a client reads its answer.
UNREAD_CHECK_S = 2.0


class Phase(Enum):
    """What a connection waits for.

    Attributes:
        IDLE: The next request.
        HEAD: The rest of the headers.
        BODY: The rest of the body.
        RUNNING: The answer of the handler.
        SENDING: The client, which reads the answer.
        CLOSING: The end of the connection.
    """

    IDLE = auto()
    HEAD = auto()
    BODY = auto()
    RUNNING = auto()
    SENDING = auto()
    CLOSING = auto()

    def longest_s(self, limits: PortLimits) -> float:
        """Returns the longest time that a connection stays in the phase as it is."""
        if self is Phase.RUNNING:
            return inf
        if self is Phase.HEAD:
            return limits.header_timeout_s
        if self is Phase.IDLE:
            return limits.idle_timeout_s + IDLE_MARGIN_S
        if self is Phase.SENDING:
            return min(limits.idle_timeout_s, UNREAD_CHECK_S)
        return limits.idle_timeout_s
