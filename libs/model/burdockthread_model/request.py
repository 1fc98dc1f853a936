"""A caller's request and the response to it."""

from enum import StrEnum
from typing import NamedTuple

from burdockthread_model.verdict import Verdict


class RequestClass(StrEnum):
    """Urgency of a request, most urgent first."""

    URGENT = "urgent"
    STANDARD = "standard"
    DEFERRED = "deferred"


class CallerRequest(NamedTuple):
    """A request received from a caller.

    Attributes:
        request_id: Unique id assigned by the entry.
        service: Name of the requested service.
        organisation: Organisation of the caller.
        team: Team within the organisation, for fair sharing; may be empty.
        request_class: Urgency.
        method: HTTP method.
        path: Path below the service, starting with a slash.
        body: Complete body.
        content_type: Media type of the body.
        deadline_s: Clock time (`Clock.now`) after which no response is needed.
        idempotent: Whether the request may safely run twice.
        idempotency_key: Idempotency key sent by the caller, or an empty string.
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
    """The response to a caller.

    Attributes:
        status: HTTP status.
        body: Complete body.
        content_type: Media type of the body.
        verdict: Whether the request has or may have run.
        retry_after_s: Seconds after which the caller may retry, or None.
        endpoint: Name of the VM that responded, or an empty string.
    """

    status: int
    body: bytes
    content_type: str
    verdict: Verdict
    retry_after_s: float | None = None
    endpoint: str = ""
