"""Limits of the ports of an entry, from its settings and the configuration."""

from burdockthread_http.connection_limits import (
    CALLERS_SHARE,
    ENTRIES_SHARE,
    STATUS_SHARE,
    PortLimits,
    most_connections,
)

from burdockthread_scheduling.specs import RequestLimits

# Callers fill at most this share of the budget, so that other entries find room.
CALLERS_BUDGET_SHARE = 0.75
# Statuses of pools and messages about duties grow with the number of workers; this was
# the limit before there were others.
ENTRY_MESSAGE_BYTES = 1_048_576
# Framing of a caller's request that is passed on: field sizes, times and a version.
RELAY_FRAMING_BYTES = 4_096
# Entries keep idle connections to each other for 60 s, and must be the ones that close
# them; a busy or frozen entry sends late.
ENTRY_IDLE_S = 120.0
ENTRY_HEADER_S = 15.0
# Scrapers keep a connection between two scrapes, which are up to a minute apart.
STATUS_IDLE_S = 120.0
STATUS_BODY_BYTES = 4_096
STATUS_CONNECTIONS = 64


class EntryPortLimits:
    """Limits of the ports of one entry.

    Attributes:
        descriptors: Limit of file descriptors in the settings; 0 if not given.
        memory_mb: Memory limit in the settings; 0 if not given.
    """

    def __init__(self, descriptors: int, memory_mb: int) -> None:
        self.descriptors = descriptors
        self.memory_mb = memory_mb
        self.callers_most = self.most_connections(CALLERS_SHARE)
        self.entries_most = self.most_connections(ENTRIES_SHARE)
        self.status_limits = PortLimits(
            body_bytes=STATUS_BODY_BYTES,
            idle_timeout_s=STATUS_IDLE_S,
            connections=min(self.most_connections(STATUS_SHARE), STATUS_CONNECTIONS),
        )

    def most_connections(self, share: float) -> int:
        """Returns the most connections of a port with a share of the descriptors."""
        return most_connections(self.descriptors, self.memory_mb, share)

    def callers(self, limits: RequestLimits) -> PortLimits:
        """Returns the limits of the callers' port."""
        return PortLimits(
            header_bytes=limits.header_bytes,
            body_bytes=limits.body_bytes,
            header_timeout_s=limits.header_timeout_ms / 1000,
            idle_timeout_s=limits.idle_timeout_ms / 1000,
            connections=self.callers_most,
            budget_share=CALLERS_BUDGET_SHARE,
        )

    def entries(self, limits: RequestLimits) -> PortLimits:
        """Returns the limits of the port between entries.

        Its largest message is a caller's request that is passed on, or a status.
        """
        relayed = limits.header_bytes + limits.body_bytes + RELAY_FRAMING_BYTES
        return PortLimits(
            body_bytes=max(ENTRY_MESSAGE_BYTES, relayed),
            header_timeout_s=ENTRY_HEADER_S,
            idle_timeout_s=ENTRY_IDLE_S,
            connections=self.entries_most,
        )

    def status(self) -> PortLimits:
        """Returns the limits of the readiness and metrics ports."""
        return self.status_limits
