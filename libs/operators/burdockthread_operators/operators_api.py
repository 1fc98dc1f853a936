"""The operators' port: HTTP in front of the changes, the jobs and the state."""

import json
from collections.abc import Awaitable, Callable
from typing import NoReturn

from aiohttp import web
from burdockthread_model.clock import Clock, SystemClock
from burdockthread_model.errors import (
    BurdockthreadError,
    ConflictError,
    ForbiddenError,
    NotFoundError,
    StoreError,
    TemplateError,
)
from burdockthread_model.events import EventLog
from burdockthread_model.job import Job
from burdockthread_model.metrics import Metrics
from burdockthread_model.rendering import to_plain
from burdockthread_model.verdict import Verdict
from burdockthread_routing.http_port import BusyConnections, RequestAbortedError

from burdockthread_operators.authentication import Authenticator, Operator
from burdockthread_operators.changes import TemplateChanges
from burdockthread_operators.failed_logins import WINDOW_S, FailedLogins
from burdockthread_operators.job_orders import JobOrders
from burdockthread_operators.views import Report, Views

MAX_BODY_BYTES = 300_000
MAX_NUMBER_DIGITS = 9
MAX_REQUESTS = 64
REQUEST_TIMEOUT_S = 30.0
RETRY_AFTER_S = 1
DEFAULT_PAGE = 20
DEFAULT_JOBS = 100
MAX_JOBS = 1_000

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]

ERROR_STATUS: tuple[tuple[type[BurdockthreadError], int], ...] = (
    (ForbiddenError, 403),
    (NotFoundError, 404),
    (ConflictError, 409),
    (TemplateError, 422),
    (StoreError, 503),
    (RequestAbortedError, RequestAbortedError.status),
)


class OperatorsApi:
    """Checks the operator's rights, then acts.

    Attributes:
        reports: Parts of the state dump by name.
        jobs: The jobs, or None if this process keeps none.
        busy: Connections with a request under way.
        in_flight: Requests under way.
        max_requests: Requests under way at the most; others are refused.
    """

    def __init__(
        self,
        authenticator: Authenticator,
        changes: TemplateChanges,
        views: Views,
        reports: dict[str, Report],
        metrics: Metrics,
        log: EventLog,
        jobs: JobOrders | None = None,
        clock: Clock | None = None,
        max_requests: int = MAX_REQUESTS,
    ) -> None:
        self.authenticator = authenticator
        self.changes = changes
        self.views = views
        self.reports = reports
        self.metrics = metrics
        self.log = log
        self.jobs = jobs
        self.clock = clock or SystemClock()
        self.failed_logins = FailedLogins(self.clock)
        self.busy = BusyConnections()
        self.in_flight = 0
        self.max_requests = max_requests

    def application(self) -> web.Application:
        """Returns the aiohttp application."""
        app = web.Application(
            client_max_size=MAX_BODY_BYTES, middlewares=[self.answer_errors]
        )
        app.router.add_get("/v1/status", self.get_status)
        app.router.add_get("/v1/dump", self.get_dump)
        app.router.add_get("/v1/vms", self.get_vms)
        app.router.add_get("/v1/jobs", self.get_jobs)
        app.router.add_post("/v1/jobs/{job}/cancel", self.post_cancel)
        app.router.add_post("/v1/jobs/{job}/release", self.post_release)
        app.router.add_post("/v1/changes", self.post_change)
        app.router.add_get("/v1/changes/{change}", self.get_change)
        app.router.add_post("/v1/changes/{change}/review", self.post_review)
        app.router.add_post("/v1/changes/{change}/accept", self.post_acceptance)
        app.router.add_get("/v1/templates", self.get_templates)
        app.router.add_get("/v1/templates/{template}", self.get_template)
        app.router.add_get("/v1/templates/{template}/history", self.get_history)
        return app

    @web.middleware
    async def answer_errors(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Turns errors into answers with one line that names the cause."""
        with self.busy.tracked(request):
            response = await self.answer(request, handler)
        if self.busy.closing:
            response.force_close()
        return response

    async def answer(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Calls the handler; every error becomes an answer."""
        if self.in_flight >= self.max_requests:
            return self.refuse(503, "too many requests under way", Verdict.NOT_RUN)
        self.in_flight += 1
        try:
            async with (
                self.clock.timeout(REQUEST_TIMEOUT_S),
                self.busy.aborted_on_close(),
            ):
                return await handler(request)
        except BurdockthreadError as error:
            status = status_of(error)
            self.log.warning(
                "operator_refused", path=request.path, status=status, reason=error
            )
            return self.refuse(status, str(error), error.verdict)
        except web.HTTPException as error:
            return self.refuse(
                error.status, error.text or error.reason, Verdict.NOT_RUN, error
            )
        except TimeoutError:
            return self.refuse(504, "no answer in time", Verdict.UNKNOWN)
        except Exception as error:
            kind = type(error).__name__
            self.log.error(
                "operator_request_failed", path=request.path, kind=kind, reason=error
            )
            return self.refuse(500, f"internal error: {kind}", Verdict.UNKNOWN)
        finally:
            self.in_flight -= 1

    def refuse(
        self,
        status: int,
        reason: str,
        verdict: Verdict,
        error: web.HTTPException | None = None,
    ) -> web.Response:
        """Counts a refusal and returns its answer."""
        self.metrics.count(f"operators.refused.{status}")
        body = {"error": reason, "verdict": verdict.value}
        answer = web.json_response(body, status=status)
        for name in ("WWW-Authenticate", "Retry-After", "Allow"):
            if error is not None and name in error.headers:
                answer.headers[name] = error.headers[name]
        if status == 503:
            answer.headers["Retry-After"] = str(RETRY_AFTER_S)
        return answer

    def require(self, request: web.Request, right: str) -> Operator:
        """Returns the operator of a request if it has a right.

        Raises:
            web.HTTPUnauthorized: No valid token.
            web.HTTPTooManyRequests: Too many requests without one.
            ForbiddenError: The right is missing.
        """
        header = request.headers.get("Authorization", "")
        operator = self.authenticator.authenticate(header)
        if operator is None:
            self.refuse_login(request)
        if right not in operator.rights:
            self.log.warning("operator_forbidden", operator=operator.name, right=right)
            raise ForbiddenError(f"{operator.name} has no right to {right}")
        return operator

    def refuse_login(self, request: web.Request) -> NoReturn:
        """Refuses a request without a valid token; logs it unless there are many.

        Raises:
            web.HTTPUnauthorized: The remote has not exceeded its failures.
            web.HTTPTooManyRequests: It has.
        """
        if self.failed_logins.add(request.remote or ""):
            raise web.HTTPTooManyRequests(
                text="too many requests without a valid token",
                headers={"Retry-After": str(int(WINDOW_S))},
            )
        self.log.warning(
            "operator_unauthorized", remote=request.remote, path=request.path
        )
        raise web.HTTPUnauthorized(
            text="a valid bearer token is needed",
            headers={"WWW-Authenticate": "Bearer"},
        )

    async def get_status(self, request: web.Request) -> web.Response:
        """Answers with the intended against the actual state."""
        self.require(request, "read")
        return web.json_response(to_plain(self.views.status()))

    async def get_dump(self, request: web.Request) -> web.Response:
        """Answers with the state of this process."""
        operator = self.require(request, "read")
        self.audit("dump", operator, request, self.log.node)
        dump = {name: report() for name, report in self.reports.items()}
        return web.json_response(to_plain(dump))

    async def get_vms(self, request: web.Request) -> web.Response:
        """Answers with the VMs."""
        self.require(request, "read")
        return web.json_response(to_plain(self.views.vms()))

    async def get_templates(self, request: web.Request) -> web.Response:
        """Answers with the templates in force here."""
        self.require(request, "read")
        return web.json_response(to_plain(self.views.templates()))

    async def get_jobs(self, request: web.Request) -> web.Response:
        """Answers with jobs, those submitted first at the head."""
        self.require(request, "read")
        limit = min(read_number(request, "limit", DEFAULT_JOBS), MAX_JOBS)
        state = request.query.get("state", "")
        jobs = await self.job_orders().list(state, limit)
        return web.json_response([job_fields(job) for job in jobs])

    async def post_cancel(self, request: web.Request) -> web.Response:
        """Cancels a job."""
        operator = self.require(request, "cancel")
        job = await self.job_orders().cancel(request.match_info["job"])
        self.audit("job_cancelled", operator, request, job.job_id, state=job.state)
        return web.json_response(job_fields(job))

    async def post_release(self, request: web.Request) -> web.Response:
        """Lets a parked job wait again."""
        operator = self.require(request, "cancel")
        job = await self.job_orders().release(request.match_info["job"])
        self.audit("job_released", operator, request, job.job_id, state=job.state)
        return web.json_response(job_fields(job))

    def job_orders(self) -> JobOrders:
        """Returns the jobs.

        Raises:
            NotFoundError: This process keeps none.
        """
        if self.jobs is None:
            raise NotFoundError("this process keeps no jobs")
        return self.jobs

    async def post_change(self, request: web.Request) -> web.Response:
        """Proposes a template."""
        operator = self.require(request, "propose")
        base_version = read_number(request, "base_version", 0)
        data = await request.read()
        change = await self.changes.propose(operator.name, data, base_version)
        self.audit("change_proposed", operator, request, change.change_id)
        return web.json_response(to_plain(change), status=201)

    async def get_change(self, request: web.Request) -> web.Response:
        """Answers with a change and its document, for the reviewer."""
        self.require(request, "read")
        stored = await self.changes.find(request.match_info["change"])
        return web.json_response(to_plain(stored.change))

    async def post_review(self, request: web.Request) -> web.Response:
        """Reviews a change."""
        operator = self.require(request, "review")
        change_id = request.match_info["change"]
        fields = await read_fields(request)
        approve = fields.get("approve")
        if not isinstance(approve, bool):
            raise TemplateError("approve: expected true or false")
        change = await self.changes.review(
            operator.name,
            change_id,
            str(fields.get("content_hash", "")),
            approve=approve,
        )
        self.audit("change_reviewed", operator, request, change_id, state=change.state)
        return web.json_response(to_plain(change))

    async def post_acceptance(self, request: web.Request) -> web.Response:
        """Accepts a change."""
        operator = self.require(request, "accept")
        change_id = request.match_info["change"]
        fields = await read_fields(request)
        change = await self.changes.accept(
            operator.name, change_id, str(fields.get("content_hash", ""))
        )
        self.audit(
            "change_accepted", operator, request, change_id, version=change.version
        )
        return web.json_response(to_plain(change))

    async def get_template(self, request: web.Request) -> web.Response:
        """Answers with the accepted version of a template."""
        self.require(request, "read")
        accepted = await self.changes.show(request.match_info["template"])
        return web.json_response(to_plain(accepted))

    async def get_history(self, request: web.Request) -> web.Response:
        """Answers with a page of the changes of a template, newest first."""
        self.require(request, "read")
        before = read_number(request, "before", 0)
        limit = read_number(request, "limit", DEFAULT_PAGE)
        template = request.match_info["template"]
        page = await self.changes.history(template, before, limit)
        return web.json_response(to_plain(page))

    def audit(
        self,
        event: str,
        operator: Operator,
        request: web.Request,
        subject: str,
        **fields: object,
    ) -> None:
        """Logs and counts what an operator did."""
        self.metrics.count(f"operators.{event}")
        self.log.info(
            event,
            operator=operator.name,
            remote=request.remote,
            subject=subject,
            **fields,
        )


def job_fields(job: Job) -> dict[str, object]:
    """Returns a job as operators see it, without its payload."""
    fields = job._replace(payload="")._asdict()
    del fields["payload"]
    return {name: to_plain(value) for name, value in fields.items()}


def status_of(error: BurdockthreadError) -> int:
    """Returns the HTTP status for an error."""
    for kind, status in ERROR_STATUS:
        if isinstance(error, kind):
            return status
    return 500


def read_number(request: web.Request, name: str, default: int) -> int:
    """Reads a number from the query.

    Raises:
        TemplateError: It is no whole number.
    """
    text = request.query.get(name, str(default))
    if len(text) > MAX_NUMBER_DIGITS or not (text.isascii() and text.isdigit()):
        raise TemplateError(f"{name}: expected a whole number")
    return int(text)


async def read_fields(request: web.Request) -> dict[str, object]:
    """Reads a JSON object."""
    try:
        fields = json.loads(await request.read())
    except (ValueError, RecursionError):
        raise TemplateError("body: expected a JSON object") from None
    if not isinstance(fields, dict):
        raise TemplateError("body: expected a JSON object")
    return fields
