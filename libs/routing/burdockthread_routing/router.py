"""Carries a caller's request to an endpoint and its answer back."""

import asyncio
import itertools
from collections.abc import Awaitable, Callable, Collection, Iterator
from contextlib import contextmanager
from typing import Any

from burdockthread_model.clock import Clock
from burdockthread_model.errors import EndpointError, OverloadedError, RequestError
from burdockthread_model.events import EventLog
from burdockthread_model.intended import ServiceSpec
from burdockthread_model.metrics import Metrics
from burdockthread_model.request import CallerRequest, CallerResponse
from burdockthread_model.steps import Step, Steps
from burdockthread_model.verdict import Verdict
from burdockthread_peers.idempotency import KeyOwnership, KeyState
from burdockthread_peers.lent_permits import LONGEST_EXCHANGE_S

from burdockthread_routing.admission import Admission
from burdockthread_routing.endpoint_choice import EndpointChooser
from burdockthread_routing.endpoint_client import (
    Attempt,
    Endpoint,
    EndpointAnswer,
    EndpointClient,
    ExchangeCutError,
)
from burdockthread_routing.fair_queue import Grant
from burdockthread_routing.fleet_view import FleetView
from burdockthread_routing.held_slots import HeldSlots
from burdockthread_routing.retry_budget import RetryBudget
from burdockthread_routing.verdicts import (
    RETRY_AFTER_S,
    LateAnswerError,
    ServiceNotFoundError,
    caller_response,
    fingerprint,
    repeat_answer,
    worse,
)

MAX_ATTEMPTS = 3
MAX_ANSWER_BYTES = 4 * 1_048_576
PUMP_INTERVAL_S = 0.25
OVERRUN_S = 5.0
SERVER_ERROR = 500

Perform = Callable[["Progress"], Awaitable[CallerResponse]]


class Progress:
    """How far a request has got.

    Attributes:
        abandoned: Whether the caller has hung up.
        queued: Whether it waits for a slot, and nothing is lost by cancelling.
    """

    def __init__(self) -> None:
        self.abandoned = False
        self.queued = False

    @contextmanager
    def waiting(self) -> Iterator[None]:
        """Marks the block in which the request waits for a slot."""
        self.queued = True
        try:
            yield
        finally:
            self.queued = False


class Router:
    """The caller's path of one entry.

    Attributes:
        in_flight: Requests under way, late answers to keyed ones included.
        held: Slots that are held back after a cut exchange.
        budgets: Budget of retries by service.
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
        self.admission = Admission(
            clock, self.acquire, self.release, view.team_weight, self.capacity
        )
        self.attempt_ids = itertools.count(1)
        self.in_flight = 0
        self.held = HeldSlots()
        self.budgets: dict[str, RetryBudget] = {}
        self.tasks: set[asyncio.Task[Any]] = set()

    async def run(self) -> None:
        """Frees held slots and grants slots that became free, until cancelled."""
        while True:
            self.free_held_slots()
            self.chooser.outliers.update_listings(self.view.listings)
            for service in list(self.view.services.values()):
                self.admission.grant_free_slots(service)
            await self.clock.sleep(PUMP_INTERVAL_S)

    def free_held_slots(self) -> None:
        """Gives back the slots whose attempt must have ended by now."""
        for slot in self.held.take_free(self.clock.now()):
            self.release(slot.service, slot.endpoint)

    async def handle(self, request: CallerRequest) -> CallerResponse:
        """Answers a request.

        A caller that hangs up cancels this call. A request that still waits
        is then dropped; one that may have been sent runs to its verdict.

        Args:
            request: The caller's request.

        Returns:
            The endpoint's answer, with the verdict that it ran.

        Raises:
            RequestError: No answer; status and verdict are for the caller.
        """
        service = self.view.services.get(request.service)
        if service is None:
            raise ServiceNotFoundError(f"no service {request.service}")
        await self.steps.reach(Step.REQUEST_READ)

        async def perform(progress: Progress) -> CallerResponse:
            return await self.dispatch(service, request, progress)

        return await self.perform(request, perform)

    async def perform(self, request: CallerRequest, perform: Perform) -> CallerResponse:
        """Does something for a caller, at most once if it carries a key.

        Args:
            request: The caller's request.
            perform: What to do; it outlives a caller that hangs up.

        Returns:
            The answer, or the one remembered for the key.

        Raises:
            RequestError: No answer.
        """
        progress = Progress()
        work = self.track(self.answer(request, perform, progress))
        try:
            return await asyncio.shield(work)
        except asyncio.CancelledError:
            progress.abandoned = True
            if progress.queued:
                work.cancel()
            raise

    def track(self, work: Any) -> "asyncio.Task[Any]":
        """Runs work that outlives the caller's task."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.on_done)
        return task

    def on_done(self, task: "asyncio.Task[Any]") -> None:
        """Logs an unexpected error of work whose caller may be gone."""
        self.tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None and not isinstance(error, RequestError):
            self.metrics.count("routing.unexpected_errors")
            self.log.error("unexpected_error", kind=type(error).__name__, reason=error)

    async def answer(
        self, request: CallerRequest, perform: Perform, progress: Progress
    ) -> CallerResponse:
        """Performs a request, through the owner of its key if it has one."""
        with self.counted():
            if request.idempotency_key:
                return await self.answer_keyed(request, perform, progress)
            return await perform(progress)

    @contextmanager
    def counted(self) -> Iterator[None]:
        """Counts a request while it is under way."""
        self.in_flight += 1
        try:
            yield
        finally:
            self.in_flight -= 1

    async def answer_keyed(
        self, request: CallerRequest, perform: Perform, progress: Progress
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
        verdict = Verdict.UNKNOWN
        response = None
        late = None
        try:
            await self.steps.reach(Step.REQUEST_KEY_RECORDED)
            response = await perform(progress)
            verdict = response.verdict
            return response
        except LateAnswerError as error:
            late = error
            raise
        except RequestError as error:
            verdict = error.verdict
            raise
        finally:
            if late is None:
                await self.finish(request, verdict, response)
            else:
                self.track(self.finish_late(request, late))

    async def finish(
        self,
        request: CallerRequest,
        verdict: Verdict,
        response: CallerResponse | None,
    ) -> None:
        """Records for the key how the request ended."""
        await self.keys.finish(
            request.organisation, request.idempotency_key, verdict, response
        )
        await self.steps.reach(Step.REQUEST_KEY_FINISHED)

    async def finish_late(self, request: CallerRequest, late: LateAnswerError) -> None:
        """Records for the key an answer that came after the deadline."""
        with self.counted():
            verdict, response = Verdict.UNKNOWN, None
            try:
                response = await late.exchange
                verdict = response.verdict
            except EndpointError as error:
                verdict = worse(late.earlier, error.verdict)
            finally:
                await self.finish(request, verdict, response)

    async def dispatch(
        self, service: ServiceSpec, request: CallerRequest, progress: Progress
    ) -> CallerResponse:
        """Tries endpoints until one answers or a retry is not allowed."""
        tried: frozenset[str] = frozenset()
        verdict = Verdict.NOT_RUN
        for attempt_number in itertools.count(1):
            grant = await self.admit(service, request, progress, tried, verdict)
            tried |= {grant.endpoint.vm}
            try:
                response = await self.attempt(service, request, grant, progress)
                self.budget(service).succeeded()
                return response
            except EndpointError as error:
                if isinstance(error, LateAnswerError):
                    error.earlier = verdict
                verdict = worse(verdict, error.verdict)
                error.verdict = verdict
                if progress.abandoned or not self.may_retry(
                    service, request, error, attempt_number
                ):
                    if verdict is Verdict.NOT_RUN:
                        error.retry_after_s = RETRY_AFTER_S
                    raise
                self.metrics.count("routing.retries")
        raise AssertionError("unreachable")

    async def admit(
        self,
        service: ServiceSpec,
        request: CallerRequest,
        progress: Progress,
        tried: frozenset[str],
        verdict: Verdict,
    ) -> Grant:
        """Waits for a slot.

        Args:
            service: Service asked.
            request: The request.
            progress: Where a caller that hangs up is seen.
            tried: VMs tried so far.
            verdict: Verdict on the attempts so far, for a refusal.

        Returns:
            The slot.

        Raises:
            RequestError: Refused, or the caller has hung up.
        """
        try:
            with progress.waiting():
                return await self.admission.enter(service, request, tried)
        except OverloadedError as error:
            self.metrics.count(f"routing.overloaded.{request.request_class}")
            error.verdict = verdict
            raise
        except asyncio.CancelledError:
            if not progress.abandoned:
                raise
            reason = "the caller hung up before the request was sent"
            raise RequestError(reason, verdict=verdict) from None

    def may_retry(
        self,
        service: ServiceSpec,
        request: CallerRequest,
        error: EndpointError,
        attempt_number: int,
    ) -> bool:
        """Returns whether another attempt is allowed, and spends its budget."""
        if attempt_number >= MAX_ATTEMPTS or self.clock.now() >= request.deadline_s:
            return False
        if error.verdict is not Verdict.NOT_RUN and not request.idempotent:
            return False
        allowed = self.budget(service).try_spend()
        if not allowed:
            self.metrics.count("routing.retry_budget_spent")
        return allowed

    def budget(self, service: ServiceSpec) -> RetryBudget:
        """Returns the budget of retries of a service."""
        found = self.budgets.get(service.name)
        if found is None:
            found = self.budgets[service.name] = RetryBudget(self.clock)
        return found

    def acquire(
        self, service: ServiceSpec, avoided: Collection[str]
    ) -> Endpoint | None:
        """Takes a slot at an endpoint of a service."""
        endpoints = self.view.endpoints(service)
        return self.chooser.acquire(service.name, endpoints, avoided)

    def capacity(self, service: ServiceSpec) -> int:
        """Returns the slots of a service that this entry may use now."""
        permits = self.chooser.permits
        endpoints = self.view.endpoints(service)
        return sum(permits.limit(service.name, e.vm) for e in endpoints)

    def release(self, service: ServiceSpec, endpoint: Endpoint) -> None:
        """Gives a slot back and grants it to the next request."""
        self.chooser.release(service.name, endpoint)
        self.admission.grant_free_slots(service)

    async def attempt(
        self,
        service: ServiceSpec,
        request: CallerRequest,
        grant: Grant,
        progress: Progress,
    ) -> CallerResponse:
        """Sends one attempt and waits for its answer until the deadline."""
        exchange = self.track(self.exchange(service, request, grant, progress))
        try:
            async with self.clock.timeout(request.deadline_s - self.clock.now()):
                response: CallerResponse = await asyncio.shield(exchange)
        except TimeoutError:
            reason = f"{grant.endpoint.vm} gave no answer before the deadline"
            raise LateAnswerError(reason, exchange) from None
        await self.steps.reach(Step.REQUEST_ANSWERED)
        return response

    async def exchange(
        self,
        service: ServiceSpec,
        request: CallerRequest,
        grant: Grant,
        progress: Progress,
    ) -> CallerResponse:
        """Sends one attempt and holds its slot until it has surely ended."""
        remaining_s = max(request.deadline_s - self.clock.now(), 0.0)
        bound_s = longest_exchange_s(service, remaining_s)
        free_s = 0.0
        try:
            await self.steps.reach(Step.REQUEST_ADMITTED)
            if progress.abandoned:
                raise EndpointError("the caller hung up before the request was sent")
            answer = await self.send(self.new_attempt(request, grant.endpoint, bound_s))
        except ExchangeCutError:
            free_s = grant.granted_s + bound_s
            raise
        finally:
            self.admission.leave(service, grant)
            self.give_back(service, grant.endpoint, free_s)
        if answer.not_run:
            raise EndpointError(f"{grant.endpoint.vm} refused the request")
        return caller_response(answer, grant.endpoint)

    async def send(self, attempt: Attempt) -> EndpointAnswer:
        """Sends one attempt and notes whether its endpoint works."""
        vm = attempt.endpoint.vm
        try:
            answer = await self.client.send(attempt)
        except EndpointError as error:
            self.note_failure(vm, str(error))
            raise
        if answer.draining and self.view.mark_leaving(vm):
            self.log.info("endpoint_leaving", vm=vm, source="answer")
        if answer.status < SERVER_ERROR:
            self.chooser.outliers.succeeded(vm)
        elif not answer.draining:
            self.note_failure(vm, f"status {answer.status}")
        return answer

    def note_failure(self, vm: str, reason: str) -> None:
        """Notes a failed attempt, which may eject the endpoint."""
        if self.chooser.outliers.failed(vm):
            self.metrics.count("routing.ejections")
            self.log.warning("endpoint_ejected", vm=vm, reason=reason)

    def give_back(
        self, service: ServiceSpec, endpoint: Endpoint, free_s: float
    ) -> None:
        """Gives a slot back, not before the clock time given."""
        if free_s <= self.clock.now():
            self.release(service, endpoint)
            return
        self.held.hold(free_s, service, endpoint)
        self.metrics.gauge("routing.slots_held_back", len(self.held))

    def new_attempt(
        self, request: CallerRequest, endpoint: Endpoint, timeout_s: float
    ) -> Attempt:
        """Returns an attempt with a fresh id."""
        return Attempt(
            attempt_id=f"{request.request_id}.{next(self.attempt_ids)}",
            endpoint=endpoint,
            organisation=request.organisation,
            method=request.method,
            path=request.path,
            body=request.body,
            content_type=request.content_type,
            timeout_s=timeout_s,
            max_answer_bytes=MAX_ANSWER_BYTES,
        )


def longest_exchange_s(service: ServiceSpec, remaining_s: float) -> float:
    """Returns how long an attempt may occupy its slot.

    Args:
        service: Service asked.
        remaining_s: Seconds until the caller's deadline.

    Returns:
        Seconds after which the attempt is given up and its slot counts as
        free; never more than lenders of slots reckon with.
    """
    longest_s = max(remaining_s, service.deadline_s) + OVERRUN_S
    return min(longest_s, LONGEST_EXCHANGE_S)
