"""Routes callers' requests to endpoints, with deadlines, retries and verdicts."""

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
    combined_verdict,
    fingerprint,
    replayed_response,
)

MAX_ATTEMPTS = 3
MAX_ANSWER_BYTES = 4 * 1_048_576
GRANT_INTERVAL_S = 0.25
DEADLINE_GRACE_S = 5.0
SERVER_ERROR = 500

Perform = Callable[["Progress"], Awaitable[CallerResponse]]


class Progress:
    """State of a request, which decides whether it can still be cancelled.

    Attributes:
        abandoned: Whether the caller has disconnected.
        queued: Whether the request is waiting for a slot; nothing was sent yet,
            so it can be cancelled.
    """

    def __init__(self) -> None:
        self.abandoned = False
        self.queued = False

    @contextmanager
    def waiting(self) -> Iterator[None]:
        """Marks the request as queued within the block."""
        self.queued = True
        try:
            yield
        finally:
            self.queued = False


class Router:
    """Request path of one entry, from admission to the endpoint's answer.

    Attributes:
        in_flight: Requests in progress, including keyed ones whose exchange
            continues after the deadline.
        held: Slots that are held back after an interrupted exchange.
        budgets: Retry budget by service.
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
        """Releases held slots and grants free ones periodically, until cancelled."""
        while True:
            self.free_held_slots()
            self.chooser.outliers.update_listings(self.view.listings)
            for service in list(self.view.services.values()):
                self.admission.grant_free_slots(service)
            await self.clock.sleep(GRANT_INTERVAL_S)

    def free_held_slots(self) -> None:
        """Releases the held slots whose attempt must have ended by now."""
        for slot in self.held.pop_free(self.clock.now()):
            self.release(slot.service, slot.endpoint)

    async def handle(self, request: CallerRequest) -> CallerResponse:
        """Routes a request to an endpoint of its service.

        A caller that disconnects cancels this call. A request that is still
        queued is then dropped; one that may have been sent continues until its
        verdict is known.

        Args:
            request: The caller's request.

        Returns:
            The endpoint's answer, with the verdict that the request ran.

        Raises:
            RequestError: There is no answer; status and verdict are meant for
                the caller.
        """
        service = self.view.services.get(request.service)
        if service is None:
            raise ServiceNotFoundError(f"no service {request.service}")
        await self.steps.reach(Step.REQUEST_READ)

        async def perform(progress: Progress) -> CallerResponse:
            return await self.dispatch(service, request, progress)

        return await self.perform(request, perform)

    async def perform(self, request: CallerRequest, perform: Perform) -> CallerResponse:
        """Runs an operation for a caller, at most once per idempotency key.

        Args:
            request: The caller's request.
            perform: The operation; continues if the caller disconnects.

        Returns:
            The operation's answer, or the one stored for the key.

        Raises:
            RequestError: There is no answer.
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
        """Starts a task that continues if the caller's task is cancelled."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.on_done)
        return task

    def on_done(self, task: "asyncio.Task[Any]") -> None:
        """Logs an unexpected error of a task whose caller may have disconnected."""
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
        """Runs the operation, through the owner of the request's key if it has one."""
        with self.counted():
            if request.idempotency_key:
                return await self.answer_keyed(request, perform, progress)
            return await perform(progress)

    @contextmanager
    def counted(self) -> Iterator[None]:
        """Counts a request as in flight within the block."""
        self.in_flight += 1
        try:
            yield
        finally:
            self.in_flight -= 1

    async def answer_keyed(
        self, request: CallerRequest, perform: Perform, progress: Progress
    ) -> CallerResponse:
        """Runs the operation if the owner of the idempotency key permits it."""
        decision = await self.keys.begin(
            request.organisation,
            request.idempotency_key,
            fingerprint(request),
            request.deadline_s,
        )
        if decision.state is not KeyState.RUN:
            return replayed_response(decision)
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
        """Reports the outcome of a request to the owner of its key."""
        await self.keys.finish(
            request.organisation, request.idempotency_key, verdict, response
        )
        await self.steps.reach(Step.REQUEST_KEY_FINISHED)

    async def finish_late(self, request: CallerRequest, late: LateAnswerError) -> None:
        """Reports an outcome that becomes known after the deadline."""
        with self.counted():
            verdict, response = Verdict.UNKNOWN, None
            try:
                response = await late.exchange
                verdict = response.verdict
            except EndpointError as error:
                verdict = combined_verdict(late.earlier_verdict, error.verdict)
            finally:
                await self.finish(request, verdict, response)

    async def dispatch(
        self, service: ServiceSpec, request: CallerRequest, progress: Progress
    ) -> CallerResponse:
        """Sends attempts until an endpoint answers or a retry is not allowed."""
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
                    error.earlier_verdict = verdict
                verdict = combined_verdict(verdict, error.verdict)
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
            service: Service requested.
            request: The request.
            progress: State of the request, which shows a disconnected caller.
            tried: VMs of the earlier attempts.
            verdict: Verdict on the earlier attempts, given with a refusal.

        Returns:
            The granted slot.

        Raises:
            RequestError: The request was refused, or the caller has
                disconnected.
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
            reason = "the caller disconnected before the request was sent"
            raise RequestError(reason, verdict=verdict) from None

    def may_retry(
        self,
        service: ServiceSpec,
        request: CallerRequest,
        error: EndpointError,
        attempt_number: int,
    ) -> bool:
        """Returns whether a retry is allowed, and takes it from the retry budget."""
        if attempt_number >= MAX_ATTEMPTS or self.clock.now() >= request.deadline_s:
            return False
        if error.verdict is not Verdict.NOT_RUN and not request.idempotent:
            return False
        allowed = self.budget(service).try_spend()
        if not allowed:
            self.metrics.count("routing.retry_budget_spent")
        return allowed

    def budget(self, service: ServiceSpec) -> RetryBudget:
        """Returns the retry budget of a service, created on first use."""
        found = self.budgets.get(service.name)
        if found is None:
            found = self.budgets[service.name] = RetryBudget(self.clock)
        return found

    def acquire(
        self, service: ServiceSpec, avoided: Collection[str]
    ) -> Endpoint | None:
        """Takes a slot at an endpoint of a service, or returns None."""
        endpoints = self.view.endpoints(service)
        return self.chooser.acquire(service.name, endpoints, avoided)

    def capacity(self, service: ServiceSpec) -> int:
        """Returns the slots of a service that this entry may use now."""
        permits = self.chooser.permits
        endpoints = self.view.endpoints(service)
        return sum(permits.limit(service.name, e.vm) for e in endpoints)

    def release(self, service: ServiceSpec, endpoint: Endpoint) -> None:
        """Releases a slot and grants it to the next request."""
        self.chooser.release(service.name, endpoint)
        self.admission.grant_free_slots(service)

    async def attempt(
        self,
        service: ServiceSpec,
        request: CallerRequest,
        grant: Grant,
        progress: Progress,
    ) -> CallerResponse:
        """Sends one attempt and waits for its answer until the deadline.

        Raises:
            LateAnswerError: The deadline has passed; the exchange continues.
            EndpointError: The attempt failed.
        """
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
        """Sends one attempt and holds its slot until it must have ended."""
        remaining_s = max(request.deadline_s - self.clock.now(), 0.0)
        bound_s = longest_exchange_s(service, remaining_s)
        free_s = 0.0
        try:
            await self.steps.reach(Step.REQUEST_ADMITTED)
            if progress.abandoned:
                raise EndpointError(
                    "the caller disconnected before the request was sent"
                )
            answer = await self.send(self.new_attempt(request, grant.endpoint, bound_s))
        except ExchangeCutError:
            free_s = grant.granted_s + bound_s
            raise
        finally:
            self.admission.leave(service, grant)
            self.release_at(service, grant.endpoint, free_s)
        if answer.not_run:
            raise EndpointError(f"{grant.endpoint.vm} refused the request")
        return caller_response(answer, grant.endpoint)

    async def send(self, attempt: Attempt) -> EndpointAnswer:
        """Sends one attempt and records whether its endpoint works."""
        vm = attempt.endpoint.vm
        try:
            answer = await self.client.send(attempt)
        except EndpointError as error:
            self.record_failure(vm, str(error))
            raise
        if answer.draining and self.view.mark_leaving(vm):
            self.log.info("endpoint_leaving", vm=vm, source="answer")
        if answer.status < SERVER_ERROR:
            self.chooser.outliers.succeeded(vm)
        elif not answer.draining:
            self.record_failure(vm, f"status {answer.status}")
        return answer

    def record_failure(self, vm: str, reason: str) -> None:
        """Records a failed attempt, which may eject the endpoint."""
        if self.chooser.outliers.failed(vm):
            self.metrics.count("routing.ejections")
            self.log.warning("endpoint_ejected", vm=vm, reason=reason)

    def release_at(
        self, service: ServiceSpec, endpoint: Endpoint, free_s: float
    ) -> None:
        """Releases a slot once the clock time `free_s` has passed."""
        if free_s <= self.clock.now():
            self.release(service, endpoint)
            return
        self.held.hold(free_s, service, endpoint)
        self.metrics.gauge("routing.slots_held_back", len(self.held))

    def new_attempt(
        self, request: CallerRequest, endpoint: Endpoint, timeout_s: float
    ) -> Attempt:
        """Returns an attempt with a unique id."""
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
        service: Service requested.
        remaining_s: Seconds until the caller's deadline.

    Returns:
        Seconds after which the attempt is aborted and its slot counts as free;
        at most `LONGEST_EXCHANGE_S`, on which entries that lend slots rely.
    """
    longest_s = max(remaining_s, service.deadline_s) + DEADLINE_GRACE_S
    return min(longest_s, LONGEST_EXCHANGE_S)
