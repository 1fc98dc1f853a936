"""Limits of the ports of an entry's own interface, from its settings."""

from burdockthread_http.connection_limits import (
    CALLERS_SHARE,
    ENTRIES_SHARE,
    PortLimits,
    most_connections,
)
from burdockthread_model.settings import Limits
from burdockthread_operators.operators_api import MAX_BODY_BYTES

# Longest line of the headers; docs/CALLERS.md promises it.
MAX_LINE_BYTES = 8_190
HEADER_TIMEOUT_S = 15.0
IDLE_TIMEOUT_S = 15.0
# Shares of the budget of received bytes that callers, and callers and operators
# together, may fill. The rest is for streams between entries.
CALLERS_BUDGET_SHARE = 0.75
OPERATORS_BUDGET_SHARE = 0.9


def caller_limits(limits: Limits) -> PortLimits:
    """Returns the limits of the callers' port."""
    most = most_connections(0, limits.memory_mb, CALLERS_SHARE)
    return PortLimits(
        header_bytes=limits.header_bytes,
        body_bytes=limits.body_bytes,
        header_timeout_s=HEADER_TIMEOUT_S,
        idle_timeout_s=IDLE_TIMEOUT_S,
        connections=min(limits.caller_connections, most),
        budget_share=CALLERS_BUDGET_SHARE,
        line_bytes=MAX_LINE_BYTES,
    )


def operator_limits(limits: Limits) -> PortLimits:
    """Returns the limits of the operators' port."""
    most = most_connections(0, limits.memory_mb, ENTRIES_SHARE)
    return PortLimits(
        header_bytes=limits.header_bytes,
        body_bytes=MAX_BODY_BYTES,
        header_timeout_s=HEADER_TIMEOUT_S,
        idle_timeout_s=IDLE_TIMEOUT_S,
        connections=min(limits.operator_connections, most),
        budget_share=OPERATORS_BUDGET_SHARE,
        line_bytes=MAX_LINE_BYTES,
    )
