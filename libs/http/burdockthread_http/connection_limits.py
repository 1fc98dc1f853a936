"""Limits of a port's connections, and the answers to requests that exceed them."""

import json
import resource
from collections.abc import Mapping
from typing import NamedTuple

from aiohttp import web
from burdockthread_model.errors import BurdockthreadError
from burdockthread_model.verdict import Verdict

from burdockthread_http.received_bytes import DEFAULT_MEMORY_MB

# Shares of the file descriptors for the connections of each port. The other two fifths
# are for the store, the workers and other entries.
CALLERS_SHARE = 0.4
ENTRIES_SHARE = 1 / 7
STATUS_SHARE = 1 / 32
LEAST_CONNECTIONS = 16
# An idle connection takes 6.3 kB (seen with 1,500 of them), so the shares of
# the ports take an eighth of the memory at most.
CONNECTIONS_PER_MB = 32


class PortLimits(NamedTuple):
    """Limits of one port.

    Attributes:
        header_bytes: Most bytes of the request line and headers.
        line_bytes: Most bytes of one of their lines, or None for any size within
            `header_bytes`.
        body_bytes: Most bytes of a body, without the framing of its chunks.
        header_timeout_s: Seconds from the first byte of a request until its headers
            are complete.
        idle_timeout_s: Seconds for which a connection may be idle, a body may bring
            nothing, and a client may read nothing of an answer.
        connections: Most connections.
        budget_share: Share of the budget of received bytes that this port may fill.
    """

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0
    connections: int = 1_024
    budget_share: float = 1.0
    line_bytes: int | None = None


class Refusal(NamedTuple):
    """Why a request is refused that has not run and never will.

    Attributes:
        reason: Name in metrics and log.
        status: HTTP status.
        text: Explanation for the client.
        retry_after_s: Seconds after which the client may retry, or None.
    """

    reason: str
    status: int
    text: str
    retry_after_s: int | None = None

    def response(self, headers: Mapping[str, str]) -> web.Response:
        """Returns the response, which also closes the connection.

        Args:
            headers: Further headers of the response.
        """
        headers = dict(headers)
        if self.retry_after_s is not None:
            headers["Retry-After"] = str(self.retry_after_s)
        response = web.Response(
            status=self.status,
            text=json.dumps({"error": self.text, "verdict": Verdict.NOT_RUN.value}),
            content_type="application/json",
            headers=headers,
        )
        response.force_close()
        return response


HEAD_TOO_LARGE = Refusal("head_too_large", 431, "the headers exceed the limit")
TRAILERS_TOO_LARGE = Refusal(
    "trailers_too_large", 431, "the fields behind the body exceed the limit"
)
HEAD_TOO_SLOW = Refusal("head_too_slow", 408, "the headers were not sent in time")
EMPTY_LINES = Refusal("empty_lines", 400, "too many empty lines before the request")
MALFORMED = Refusal("malformed", 400, "the request is malformed")
BODY_TOO_LARGE = Refusal("body_too_large", 413, "the body exceeds the limit")
BODY_STALLED = Refusal("body_stalled", 408, "the body was not sent in time")
CLIENT_GONE = Refusal("client_gone", 400, "the connection was lost")
# Not sent to the client: its handler has answered without the rest of the body.
ANSWERED_EARLY = Refusal("answered_early", 400, "the body was not awaited")
NO_MEMORY = Refusal("no_memory", 503, "no memory for this request", 1)
CLOSED_FOR_MEMORY = Refusal("closed_for_memory", 503, "no memory for this request", 1)
CLOSED_FOR_SLOT = Refusal("closed_for_connection", 503, "too many connections", 1)


class RefusedError(BurdockthreadError):
    """A request is refused before it was received whole.

    Attributes:
        refusal: The reason and the answer.
    """

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(refusal.text)
        self.refusal = refusal


def most_connections(descriptors: int, memory_mb: int, share: float) -> int:
    """Returns the most connections of a port.

    Args:
        descriptors: Limit of file descriptors in the settings; 0 if not given.
        memory_mb: Memory limit in the settings; 0 if not given.
        share: Share of the descriptors that this port may use.
    """
    limits = [(memory_mb or DEFAULT_MEMORY_MB) * CONNECTIONS_PER_MB]
    known = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    if known != resource.RLIM_INFINITY:
        limits.append(known)
    if descriptors:
        limits.append(descriptors)
    return max(int(min(limits) * share), LEAST_CONNECTIONS)
