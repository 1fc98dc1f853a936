"""Verdicts, errors and answers that the router returns to callers."""

import asyncio
import hashlib

from burdockthread_model.errors import EndpointError, RequestError
from burdockthread_model.request import CallerRequest, CallerResponse
from burdockthread_model.verdict import Verdict
from burdockthread_peers.idempotency import KeyDecision, KeyState

from burdockthread_routing.endpoint_client import Endpoint, EndpointAnswer

RETRY_AFTER_S = 1.0


class ServiceNotFoundError(RequestError):
    """A service that no accepted template names."""

    status = 404


class KeyConflictError(RequestError):
    """An idempotency key whose first request differs or is still in progress."""

    status = 409


class LateAnswerError(EndpointError):
    """No answer before the caller's deadline.

    Attributes:
        exchange: Task of the exchange, which continues.
        earlier_verdict: Verdict on the attempts before this one.
    """

    status = 504

    def __init__(self, reason: str, exchange: "asyncio.Task[CallerResponse]") -> None:
        super().__init__(reason, verdict=Verdict.UNKNOWN)
        self.exchange = exchange
        self.earlier_verdict = Verdict.NOT_RUN


def combined_verdict(first: Verdict, second: Verdict) -> Verdict:
    """Returns UNKNOWN if either verdict is UNKNOWN, and else the second.

    A later attempt cannot prove that an earlier one has not run.
    """
    return Verdict.UNKNOWN if Verdict.UNKNOWN in (first, second) else second


def caller_response(answer: EndpointAnswer, endpoint: Endpoint) -> CallerResponse:
    """Converts an endpoint's answer into the one for the caller."""
    return CallerResponse(
        status=answer.status,
        body=answer.body,
        content_type=answer.content_type,
        verdict=Verdict.RAN,
        endpoint=endpoint.vm,
    )


def fingerprint(request: CallerRequest) -> str:
    """Returns a hash over the service, method, path and body of a request."""
    parts = [request.service, request.method, request.path]
    text = "\x00".join(parts).encode()
    return hashlib.sha256(text + b"\x00" + request.body).hexdigest()


def replayed_response(decision: KeyDecision) -> CallerResponse:
    """Returns the stored answer for a key that does not permit a dispatch.

    Raises:
        RequestError: No answer is stored for the key.
    """
    match decision.state:
        case KeyState.ANSWERED if decision.response is not None:
            return decision.response
        case KeyState.CONFLICT:
            raise KeyConflictError("the idempotency key was used for another request")
        case KeyState.IN_PROGRESS:
            raise KeyConflictError(
                "the first request with this idempotency key is still in progress",
                verdict=Verdict.UNKNOWN,
                retry_after_s=RETRY_AFTER_S,
            )
        case KeyState.UNAVAILABLE:
            raise RequestError(
                "the owner of the idempotency key is unavailable",
                verdict=Verdict.UNKNOWN,
                retry_after_s=RETRY_AFTER_S,
            )
    raise RequestError("the request may have run", verdict=Verdict.UNKNOWN)
