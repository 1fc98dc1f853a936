"""The callers' port: HTTP in front of the router."""

import itertools
import json
import math
from collections.abc import Awaitable, Callable

from aiohttp import web
from burdockthread_model.clock import Clock
from burdockthread_model.errors import (
    BadRequestError,
    RequestError,
    StoreError,
)
from burdockthread_model.events import EventLog
from burdockthread_model.job import Job, JobState
from burdockthread_model.metrics import Metrics
from burdockthread_model.request import CallerRequest, CallerResponse, RequestClass

from burdockthread_routing.job_ledger import JobLedger
from burdockthread_routing.router import Router

ORGANISATION_HEADER = "Burdockthread-Organisation"
TEAM_HEADER = "Burdockthread-Team"
CLASS_HEADER = "Burdockthread-Class"
DEADLINE_HEADER = "Burdockthread-Deadline-Ms"
IDEMPOTENT_HEADER = "Burdockthread-Idempotent"
VERDICT_HEADER = "Burdockthread-Verdict"
ENDPOINT_HEADER = "Burdockthread-Endpoint"
KEY_HEADER = "Idempotency-Key"
SAFE_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE"})
MAX_KEY_LENGTH = 128
MAX_NAME_LENGTH = 64
MAX_DEADLINE_MS = 600_000
MAX_HEADER_BYTES = 8_190

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class CallersApi:
    """Reads requests, asks the router, writes answers.

    Attributes:
        ready: Whether the platform's balancer may send new callers.
        router: The caller's path.
    """

    def __init__(
        self,
        name: str,
        router: Router,
        ledger: JobLedger,
        clock: Clock,
        metrics: Metrics,
        log: EventLog,
    ) -> None:
        self.name = name
        self.router = router
        self.ledger = ledger
        self.clock = clock
        self.metrics = metrics
        self.log = log
        self.ready = False
        self.request_ids = itertools.count(1)

    def application(self, body_bytes: int) -> web.Application:
        """Returns the aiohttp application.

        Args:
            body_bytes: Largest body accepted.
        """
        app = web.Application(
            client_max_size=body_bytes, middlewares=[self.answer_errors]
        )
        app.router.add_get("/healthz", self.get_health)
        app.router.add_get("/readyz", self.get_readiness)
        app.router.add_post("/jobs/{service}", self.post_job)
        app.router.add_route("*", "/services/{service}/{path:.*}", self.any_service)
        return app

    async def get_health(self, request: web.Request) -> web.Response:
        """Answers that the process runs."""
        return web.json_response({"status": "ok"})

    async def get_readiness(self, request: web.Request) -> web.Response:
        """Answers whether new callers are welcome."""
        status = 200 if self.ready else 503
        return web.json_response({"ready": self.ready}, status=status)

    @web.middleware
    async def answer_errors(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Turns errors into answers that carry the verdict."""
        try:
            return await handler(request)
        except RequestError as error:
            return self.refuse(error)
        except web.HTTPRequestEntityTooLarge:
            refusal = RequestError("the body is too large")
            refusal.status = 413
            return self.refuse(refusal)

    def refuse(self, error: RequestError) -> web.Response:
        """Returns the answer for an error."""
        self.metrics.count(f"callers.refused.{error.status}")
        headers = {VERDICT_HEADER: error.verdict.value}
        if error.retry_after_s is not None:
            headers["Retry-After"] = str(math.ceil(error.retry_after_s))
        body = {"error": str(error), "verdict": error.verdict.value}
        return web.json_response(body, status=error.status, headers=headers)

    async def any_service(self, request: web.Request) -> web.Response:
        """Answers a request to a service."""
        started_s = self.clock.now()
        caller_request = await self.read_request(request)
        response = await self.router.handle(caller_request)
        self.metrics.count("callers.answered")
        self.metrics.timing("callers.time", self.clock.now() - started_s)
        return web_response(response)

    async def read_request(self, request: web.Request) -> CallerRequest:
        """Reads and checks a request.

        Raises:
            BadRequestError: A header is missing or malformed.
        """
        organisation = read_name(request, ORGANISATION_HEADER, required=True)
        service = f"{organisation}/{request.match_info['service']}"
        return CallerRequest(
            request_id=f"{self.name}-{next(self.request_ids)}",
            service=service,
            organisation=organisation,
            team=read_name(request, TEAM_HEADER, required=False),
            request_class=read_class(request),
            method=request.method,
            path=f"/{request.match_info['path']}",
            body=await request.read(),
            content_type=request.content_type,
            deadline_s=self.clock.now() + self.read_deadline_s(request, service),
            idempotent=read_idempotent(request),
            idempotency_key=read_key(request),
        )

    def read_deadline_s(self, request: web.Request, service: str) -> float:
        """Returns the seconds that the caller waits."""
        text = request.headers.get(DEADLINE_HEADER)
        if text is None:
            spec = self.router.view.services.get(service)
            return 10.0 if spec is None else spec.deadline_s
        if not text.isascii() or not text.isdigit():
            raise BadRequestError(f"{DEADLINE_HEADER}: expected milliseconds")
        if not 0 < int(text) <= MAX_DEADLINE_MS:
            raise BadRequestError(f"{DEADLINE_HEADER}: expected 1 to {MAX_DEADLINE_MS}")
        return int(text) / 1000.0

    async def post_job(self, request: web.Request) -> web.Response:
        """Accepts a deferred job once its record is confirmed."""
        job = await self.read_job(request)
        try:
            await self.ledger.submit(job)
        except StoreError as error:
            raise RequestError(
                f"the job could not be recorded: {error}",
                verdict=error.verdict,
                retry_after_s=1.0,
            ) from error
        self.metrics.count("callers.jobs_accepted")
        return web.json_response({"job": job.job_id}, status=202)

    async def read_job(self, request: web.Request) -> Job:
        """Reads and checks a job."""
        organisation = read_name(request, ORGANISATION_HEADER, required=True)
        service = f"{organisation}/{request.match_info['service']}"
        if service not in self.router.view.services:
            raise BadRequestError(f"no service {service}")
        fields = read_object(await request.read())
        request_id = f"{self.name}-{next(self.request_ids)}"
        return Job(
            job_id=f"{request_id}-{int(self.clock.wall() * 1000)}",
            service=service,
            organisation=organisation,
            team=read_name(request, TEAM_HEADER, required=False),
            request_class=read_class(request),
            cores=read_number(fields, "cores", 1.0),
            memory_gb=read_number(fields, "memory_gb", 1.0),
            accelerators=int(read_number(fields, "accelerators", 0)),
            run_time_s=read_number(fields, "run_time_s", 60.0),
            idempotent=fields.get("idempotent") is True,
            state=JobState.QUEUED,
            submitted_s=self.clock.wall(),
            payload=json.dumps(fields.get("payload")),
        )


def web_response(response: CallerResponse) -> web.Response:
    """Returns an answer as aiohttp writes it."""
    return web.Response(
        status=response.status,
        body=response.body,
        headers={
            "Content-Type": response.content_type,
            VERDICT_HEADER: response.verdict.value,
            ENDPOINT_HEADER: response.endpoint,
        },
    )


def read_name(request: web.Request, header: str, *, required: bool) -> str:
    """Reads a header that holds a name."""
    text = request.headers.get(header, "")
    if not text and not required:
        return ""
    allowed = text.replace("-", "").replace("_", "").replace(".", "")
    if not allowed.isalnum() or not text.isascii() or len(text) > MAX_NAME_LENGTH:
        raise BadRequestError(f"{header}: expected a name of letters, digits and -_.")
    return text


def read_class(request: web.Request) -> RequestClass:
    """Reads the urgency."""
    text = request.headers.get(CLASS_HEADER, RequestClass.STANDARD.value)
    try:
        return RequestClass(text)
    except ValueError:
        options = ", ".join(RequestClass)
        raise BadRequestError(f"{CLASS_HEADER}: expected one of {options}") from None


def read_idempotent(request: web.Request) -> bool:
    """Reads whether running the request twice does no harm."""
    text = request.headers.get(IDEMPOTENT_HEADER)
    if text is None:
        return request.method in SAFE_METHODS
    if text not in ("true", "false"):
        raise BadRequestError(f"{IDEMPOTENT_HEADER}: expected true or false")
    return text == "true"


def read_key(request: web.Request) -> str:
    """Reads the idempotency key."""
    text = request.headers.get(KEY_HEADER, "")
    if len(text) > MAX_KEY_LENGTH or not text.isprintable():
        raise BadRequestError(
            f"{KEY_HEADER}: expected up to {MAX_KEY_LENGTH} characters"
        )
    return text


def read_object(body: bytes) -> dict[str, object]:
    """Reads a JSON object."""
    try:
        value = json.loads(body)
    except (ValueError, RecursionError):
        raise BadRequestError("body: expected a JSON object") from None
    if not isinstance(value, dict):
        raise BadRequestError("body: expected a JSON object")
    return value


def read_number(fields: dict[str, object], name: str, default: float) -> float:
    """Reads a number of a job."""
    value = fields.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise BadRequestError(f"body.{name}: expected a number")
    if not math.isfinite(value) or value < 0:
        raise BadRequestError(f"body.{name}: expected zero or more")
    return float(value)
