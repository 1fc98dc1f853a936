"""A caller's request and the answer to it."""

from enum import StrEnum
from typing import NamedTuple

from burdockthread_model.verdict import Verdict


class RequestClass(StrEnum):
    """Urgency of a request, most urgent first."""

    URGENT = "urgent"
    STANDARD = "standard"
    DEFERRED = "deferred"


class CallerRequest(NamedTuple):
    """A request as admitted from a caller.

    Attributes:
        request_id: Unique id given by the entry.
        service: Name of the service asked.
        organisation: Organisation that asks.
        team: Team within the organisation, for fairness; may be empty.
        request_class: Urgency.
        method: HTTP method.
        path: Path below the service, starting with a slash.
        body: Whole body.
        content_type: Media type of the body.
        deadline_s: Clock time (`Clock.now`) after which the answer is useless.
        idempotent: Whether running it twice does no harm.
        idempotency_key: Key of the caller, or an empty string.
    """

    request_id: str
    service: str
    organisation: str
    team: str
    request_class: RequestClass
    method: str
    path: str
    body: bytes
    content_type: str
    deadline_s: float
    idempotent: bool
    idempotency_key: str = ""


class CallerResponse(NamedTuple):
    """The answer for a caller.

    Attributes:
        status: HTTP status.
        body: Whole body.
        content_type: Media type of the body.
        verdict: Whether the request ran.
        retry_after_s: Seconds after which a retry makes sense, or None.
        endpoint: Name of the VM that answered, or an empty string.
    """

    status: int
    body: bytes
    content_type: str
    verdict: Verdict
    retry_after_s: float | None = None
    endpoint: str = ""
