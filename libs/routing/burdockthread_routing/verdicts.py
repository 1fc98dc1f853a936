"""Verdicts and answers of the caller's path."""

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
    """A key whose first request differs or is still under way."""

    status = 409


class LateAnswerError(EndpointError):
    """No answer before the caller's deadline.

    Attributes:
        exchange: The exchange, which goes on.
        earlier: Verdict on the attempts before this one.
    """

    status = 504

    def __init__(self, reason: str, exchange: "asyncio.Task[CallerResponse]") -> None:
        super().__init__(reason, verdict=Verdict.UNKNOWN)
        self.exchange = exchange
        self.earlier = Verdict.NOT_RUN


def worse(first: Verdict, second: Verdict) -> Verdict:
    """Returns UNKNOWN if either verdict is; attempts never undo each other."""
    return Verdict.UNKNOWN if Verdict.UNKNOWN in (first, second) else second


def caller_response(answer: EndpointAnswer, endpoint: Endpoint) -> CallerResponse:
    """Turns an endpoint's answer into the caller's."""
    return CallerResponse(
        status=answer.status,
        body=answer.body,
        content_type=answer.content_type,
        verdict=Verdict.RAN,
        endpoint=endpoint.vm,
    )


def fingerprint(request: CallerRequest) -> str:
    """Returns a hash that is equal for equal requests."""
    parts = [request.service, request.method, request.path]
    text = "\x00".join(parts).encode()
    return hashlib.sha256(text + b"\x00" + request.body).hexdigest()


def repeat_answer(decision: KeyDecision) -> CallerResponse:
    """Answers a request whose key does not permit a dispatch.

    Raises:
        RequestError: There is no answer to repeat.
    """
    match decision.state:
        case KeyState.ANSWERED if decision.response is not None:
            return decision.response
        case KeyState.CONFLICT:
            raise KeyConflictError("the key was used for another request")
        case KeyState.IN_PROGRESS:
            raise KeyConflictError(
                "the first request with this key is under way",
                verdict=Verdict.UNKNOWN,
                retry_after_s=RETRY_AFTER_S,
            )
        case KeyState.UNAVAILABLE:
            raise RequestError(
                "the owner of the key cannot be reached",
                verdict=Verdict.UNKNOWN,
                retry_after_s=RETRY_AFTER_S,
            )
    raise RequestError("the request may have run", verdict=Verdict.UNKNOWN)
