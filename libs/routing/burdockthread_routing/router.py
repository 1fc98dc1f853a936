"""Carries a caller's request to an endpoint and its answer back."""

import hashlib
import itertools
from collections.abc import Collection, Iterator
from contextlib import contextmanager

from burdockthread_model.clock import Clock
from burdockthread_model.errors import (
    BadRequestError,
    EndpointError,
    OverloadedError,
    RequestError,
)
from burdockthread_model.events import EventLog
from burdockthread_model.intended import ServiceSpec
from burdockthread_model.metrics import Metrics
from burdockthread_model.request import CallerRequest, CallerResponse
from burdockthread_model.steps import Step, Steps
from burdockthread_model.verdict import Verdict
from burdockthread_peers.idempotency import KeyDecision, KeyOwnership, KeyState

from burdockthread_routing.admission import Admission
from burdockthread_routing.endpoint_choice import EndpointChooser
from burdockthread_routing.endpoint_client import (
    Attempt,
    Endpoint,
    EndpointAnswer,
    EndpointClient,
)
from burdockthread_routing.fleet_view import FleetView

MAX_ATTEMPTS = 3
MAX_ANSWER_BYTES = 4 * 1_048_576
RETRY_AFTER_S = 1.0
PUMP_INTERVAL_S = 0.25


class Router:
    """The caller's path of one entry.

    Attributes:
        in_flight: Requests under way.
    """

    def __init__(
        self,
        name: str,
        view: FleetView,
        chooser: EndpointChooser,
        client: EndpointClient,
        keys: KeyOwnership,
        clock: Clock,
        metrics: Metrics,
        log: EventLog,
        steps: Steps,
    ) -> None:
        self.name = name
        self.view = view
        self.chooser = chooser
        self.client = client
        self.keys = keys
        self.clock = clock
        self.metrics = metrics
        self.log = log
        self.steps = steps
        self.admission = Admission(clock, self.acquire)
        self.attempt_ids = itertools.count(1)
        self.in_flight = 0

    async def run(self) -> None:
        """Grants slots that became free without a release, until cancelled."""
        while True:
            for service in list(self.view.services.values()):
                self.admission.pump(service)
            await self.clock.sleep(PUMP_INTERVAL_S)

    async def handle(self, request: CallerRequest) -> CallerResponse:
        """Answers a request.

        Args:
            request: The caller's request.

        Returns:
            The endpoint's answer, with the verdict that it ran.

        Raises:
            RequestError: No answer; status and verdict are for the caller.
        """
        service = self.view.services.get(request.service)
        if service is None:
            raise BadRequestError(f"no service {request.service}")
        await self.steps.reach(Step.REQUEST_READ)
        with self.counted():
            if request.idempotency_key:
                return await self.handle_keyed(service, request)
            return await self.dispatch(service, request)

    @contextmanager
    def counted(self) -> Iterator[None]:
        """Counts a request while it is under way."""
        self.in_flight += 1
        try:
            yield
        finally:
            self.in_flight -= 1

    async def handle_keyed(
        self, service: ServiceSpec, request: CallerRequest
    ) -> CallerResponse:
        """Answers a request that carries an idempotency key."""
        decision = await self.keys.begin(
            request.organisation,
            request.idempotency_key,
            fingerprint(request),
            request.deadline_s,
        )
        if decision.state is not KeyState.RUN:
            return repeat_answer(decision)
        await self.steps.reach(Step.REQUEST_KEY_RECORDED)
        verdict = Verdict.UNKNOWN
        response = None
        try:
            response = await self.dispatch(service, request)
            verdict = response.verdict
            return response
        except RequestError as error:
            verdict = error.verdict
            raise
        finally:
            await self.keys.finish(
                request.organisation, request.idempotency_key, verdict, response
            )
            await self.steps.reach(Step.REQUEST_KEY_FINISHED)

    async def dispatch(
        self, service: ServiceSpec, request: CallerRequest
    ) -> CallerResponse:
        """Tries endpoints until one answers or a retry is not allowed."""
        tried: frozenset[str] = frozenset()
        verdict = Verdict.NOT_RUN
        for attempt_number in itertools.count(1):
            try:
                endpoint = await self.admission.enter(service, request, tried)
            except OverloadedError as error:
                error.verdict = verdict
                raise
            tried |= {endpoint.vm}
            await self.steps.reach(Step.REQUEST_ADMITTED)
            try:
                return await self.attempt(service, request, endpoint)
            except EndpointError as error:
                verdict = worse(verdict, error.verdict)
                error.verdict = verdict
                if not self.may_retry(request, error, attempt_number):
                    raise
                self.metrics.count("routing.retries")
        raise AssertionError("unreachable")

    def may_retry(
        self, request: CallerRequest, error: EndpointError, attempt_number: int
    ) -> bool:
        """Returns whether another attempt is allowed."""
        if attempt_number >= MAX_ATTEMPTS or self.clock.now() >= request.deadline_s:
            return False
        return error.verdict is Verdict.NOT_RUN or request.idempotent

    def acquire(
        self, service: ServiceSpec, excluded: Collection[str]
    ) -> Endpoint | None:
        """Takes a slot at an endpoint of a service."""
        endpoints = self.view.endpoints(service)
        return self.chooser.acquire(service.name, endpoints, excluded)

    async def attempt(
        self, service: ServiceSpec, request: CallerRequest, endpoint: Endpoint
    ) -> CallerResponse:
        """Sends one attempt and gives the slot back."""
        try:
            answer = await self.client.send(self.new_attempt(request, endpoint))
        finally:
            self.chooser.release(service.name, endpoint)
            self.admission.pump(service)
        await self.steps.reach(Step.REQUEST_ANSWERED)
        if answer.draining and self.view.mark_leaving(endpoint.vm):
            self.log.info("endpoint_leaving", vm=endpoint.vm, source="answer")
        if answer.not_run:
            raise EndpointError(f"{endpoint.vm} refused the request")
        return caller_response(answer, endpoint)

    def new_attempt(self, request: CallerRequest, endpoint: Endpoint) -> Attempt:
        """Returns an attempt with a fresh id."""
        return Attempt(
            attempt_id=f"{request.request_id}.{next(self.attempt_ids)}",
            endpoint=endpoint,
            organisation=request.organisation,
            method=request.method,
            path=request.path,
            body=request.body,
            content_type=request.content_type,
            timeout_s=max(request.deadline_s - self.clock.now(), 0.001),
            max_answer_bytes=MAX_ANSWER_BYTES,
        )


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
            error = RequestError("the key was used for another request")
            error.status = 409
            raise error
        case KeyState.IN_PROGRESS:
            error = RequestError(
                "the first request with this key is under way",
                verdict=Verdict.UNKNOWN,
                retry_after_s=RETRY_AFTER_S,
            )
            error.status = 409
            raise error
        case KeyState.UNAVAILABLE:
            raise RequestError(
                "the owner of the key cannot be reached",
                verdict=Verdict.UNKNOWN,
                retry_after_s=RETRY_AFTER_S,
            )
    raise RequestError("the request may have run", verdict=Verdict.UNKNOWN)
