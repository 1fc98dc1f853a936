"""HTTP API of the operators: state reports, jobs and changes of templates."""

import json
from collections.abc import Awaitable, Callable
from typing import NoReturn

from aiohttp import web
from burdockthread_http.connection_limits import RefusedError
from burdockthread_http.guarded_server import read_body
from burdockthread_http.open_requests import OpenRequests
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
from burdockthread_routing.http_port import RequestAbortedError

from burdockthread_operators.authentication import Authenticator, Operator
from burdockthread_operators.changes import TemplateChanges
from burdockthread_operators.failed_logins import WINDOW_S, FailedLogins
from burdockthread_operators.job_control import JobControl
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
    """Authenticates operators, checks their rights and serves their requests.

    Attributes:
        authenticator: Maps bearer tokens to operators.
        changes: Proposals, reviews and acceptances of templates.
        views: Reports for the status, the VMs and the templates.
        reports: Parts of the state dump by name.
        jobs: Control of the jobs, or None if this process manages none.
        failed_logins: Failed authentications by remote address.
        busy: Requests in progress.
        in_flight: Number of requests in progress.
        max_requests: Limit of ``in_flight``; further requests get status 503.
    """

    def __init__(
        self,
        authenticator: Authenticator,
        changes: TemplateChanges,
        views: Views,
        reports: dict[str, Report],
        metrics: Metrics,
        log: EventLog,
        jobs: JobControl | None = None,
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
        self.busy = OpenRequests()
        self.in_flight = 0
        self.max_requests = max_requests

    def application(self) -> web.Application:
        """Returns a new aiohttp application with all routes of the API."""
        app = web.Application(client_max_size=MAX_BODY_BYTES, middlewares=[self.answer])
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
    async def answer(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Calls the handler of a request, with a time limit.

        Every error is answered with JSON that names the cause and the verdict.
        Requests beyond ``max_requests`` are refused before the handler runs.

        Raises:
            RefusedError: The port refuses the request, whose body was not complete.
        """
        if self.in_flight >= self.max_requests:
            return self.error_response(
                503, "too many requests in progress", Verdict.NOT_RUN
            )
        self.in_flight += 1
        try:
            async with self.clock.timeout(REQUEST_TIMEOUT_S):
                return await handler(request)
        except RefusedError:
            raise
        except BurdockthreadError as error:
            status = status_of(error)
            self.log.warning(
                "operator_refused", path=request.path, status=status, reason=error
            )
            return self.refuse(error)
        except web.HTTPException as error:
            return self.error_response(
                error.status, error.text or error.reason, Verdict.NOT_RUN, error
            )
        except TimeoutError:
            return self.error_response(504, "request timed out", Verdict.UNKNOWN)
        except Exception as error:
            kind = type(error).__name__
            self.log.error(
                "operator_request_failed", path=request.path, kind=kind, reason=error
            )
            return self.error_response(500, f"internal error: {kind}", Verdict.UNKNOWN)
        finally:
            self.in_flight -= 1

    def refuse(self, error: BurdockthreadError) -> web.Response:
        """Returns the answer for an error, with its verdict."""
        return self.error_response(status_of(error), str(error), error.verdict)

    def error_response(
        self,
        status: int,
        reason: str,
        verdict: Verdict,
        error: web.HTTPException | None = None,
    ) -> web.Response:
        """Counts an error answer by its status and returns the answer.

        Args:
            status: HTTP status.
            reason: Cause of the error, for the operator.
            verdict: Whether the request may have taken effect.
            error: Error of aiohttp whose protocol headers are copied.
        """
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
        """Returns the operator who sent a request, after checking a right.

        Raises:
            web.HTTPUnauthorized: The request has no valid token.
            web.HTTPTooManyRequests: The remote address sent too many requests
                without a valid token.
            ForbiddenError: The operator does not have the right.
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
        """Refuses a request without a valid token.

        Requests beyond the limit of the remote address are not logged.

        Raises:
            web.HTTPUnauthorized: The remote address is within its limit.
            web.HTTPTooManyRequests: The remote address exceeded its limit.
        """
        if self.failed_logins.record_failure(request.remote or ""):
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
        """Returns the intended state next to the actual state."""
        self.require(request, "read")
        return web.json_response(to_plain(self.views.status()))

    async def get_dump(self, request: web.Request) -> web.Response:
        """Returns the state of this process, by part; the read is audited."""
        operator = self.require(request, "read")
        self.audit("dump", operator, request, self.log.node)
        dump = {name: report() for name, report in self.reports.items()}
        return web.json_response(to_plain(dump))

    async def get_vms(self, request: web.Request) -> web.Response:
        """Returns all VMs that are recorded or listed by the platform."""
        self.require(request, "read")
        return web.json_response(to_plain(self.views.vms()))

    async def get_templates(self, request: web.Request) -> web.Response:
        """Returns the accepted templates that this process has applied."""
        self.require(request, "read")
        return web.json_response(to_plain(self.views.templates()))

    async def get_jobs(self, request: web.Request) -> web.Response:
        """Returns at most ``limit`` jobs, in the order of submission."""
        self.require(request, "read")
        limit = min(read_number(request, "limit", DEFAULT_JOBS), MAX_JOBS)
        state = request.query.get("state", "")
        jobs = await self.job_control().list(state, limit)
        return web.json_response([job_fields(job) for job in jobs])

    async def post_cancel(self, request: web.Request) -> web.Response:
        """Cancels a job and returns its new state."""
        operator = self.require(request, "cancel")
        job = await self.job_control().cancel(request.match_info["job"])
        self.audit("job_cancelled", operator, request, job.job_id, state=job.state)
        return web.json_response(job_fields(job))

    async def post_release(self, request: web.Request) -> web.Response:
        """Queues a parked job again and returns its new state."""
        operator = self.require(request, "cancel")
        job = await self.job_control().release(request.match_info["job"])
        self.audit("job_released", operator, request, job.job_id, state=job.state)
        return web.json_response(job_fields(job))

    def job_control(self) -> JobControl:
        """Returns the control of the jobs.

        Raises:
            NotFoundError: This process manages no jobs.
        """
        if self.jobs is None:
            raise NotFoundError("this process manages no jobs")
        return self.jobs

    async def post_change(self, request: web.Request) -> web.Response:
        """Records the template in the body as a proposed change."""
        operator = self.require(request, "propose")
        base_version = read_number(request, "base_version", 0)
        data = await read_body(request)
        change = await self.changes.propose(operator.name, data, base_version)
        self.audit("change_proposed", operator, request, change.change_id)
        return web.json_response(to_plain(change), status=201)

    async def get_change(self, request: web.Request) -> web.Response:
        """Returns a change with its document, for the reviewer."""
        self.require(request, "read")
        stored = await self.changes.find(request.match_info["change"])
        return web.json_response(to_plain(stored.change))

    async def post_review(self, request: web.Request) -> web.Response:
        """Approves or rejects a change.

        Raises:
            TemplateError: The body has no boolean ``approve``; a missing
                decision must not count as a rejection.
        """
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
        """Makes a reviewed change the accepted version of its template."""
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
        """Returns the accepted version of a template."""
        self.require(request, "read")
        accepted = await self.changes.show(request.match_info["template"])
        return web.json_response(to_plain(accepted))

    async def get_history(self, request: web.Request) -> web.Response:
        """Returns a page of the changes of a template, newest first."""
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
        """Logs and counts an action of an operator."""
        self.metrics.count(f"operators.{event}")
        self.log.info(
            event,
            operator=operator.name,
            remote=request.remote,
            subject=subject,
            **fields,
        )


def job_fields(job: Job) -> dict[str, object]:
    """Returns the fields of a job as JSON values, without the payload."""
    fields = job._replace(payload="")._asdict()
    del fields["payload"]
    return {name: to_plain(value) for name, value in fields.items()}


def status_of(error: BurdockthreadError) -> int:
    """Returns the HTTP status for an error; 500 if none is assigned."""
    for kind, status in ERROR_STATUS:
        if isinstance(error, kind):
            return status
    return 500


def read_number(request: web.Request, name: str, default: int) -> int:
    """Reads a parameter of the query as a number.

    Raises:
        TemplateError: The value is not a whole number or has too many digits.
    """
    text = request.query.get(name, str(default))
    if len(text) > MAX_NUMBER_DIGITS or not (text.isascii() and text.isdigit()):
        raise TemplateError(
            f"{name}: expected a whole number of up to {MAX_NUMBER_DIGITS} digits"
        )
    return int(text)


async def read_fields(request: web.Request) -> dict[str, object]:
    """Reads the body of a request as a JSON object.

    Raises:
        TemplateError: The body is not a JSON object.
    """
    try:
        fields = json.loads(await read_body(request))
    except (ValueError, RecursionError):
        raise TemplateError("body: expected a JSON object") from None
    if not isinstance(fields, dict):
        raise TemplateError("body: expected a JSON object")
    return fields
