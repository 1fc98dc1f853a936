"""HTTP API of the callers' port, in front of the router."""

import itertools
import math
import secrets
from collections.abc import Awaitable, Callable

from aiohttp import web
from burdockthread_http.connection_limits import RefusedError
from burdockthread_http.open_requests import OpenRequests
from burdockthread_model.clock import Clock
from burdockthread_model.errors import (
    RequestError,
)
from burdockthread_model.events import EventLog
from burdockthread_model.metrics import Metrics
from burdockthread_model.request import CallerRequest, CallerResponse
from burdockthread_model.verdict import Verdict

from burdockthread_routing.caller_headers import (
    ORGANISATION_HEADER,
    TEAM_HEADER,
    SlowBodyError,
    check_method,
    read_body,
    read_class,
    read_deadline_s,
    read_idempotent,
    read_key,
    read_name,
    read_path,
)
from burdockthread_routing.endpoint_client import DEFAULT_CONTENT_TYPE
from burdockthread_routing.http_port import VERDICT_HEADER
from burdockthread_routing.job_ledger import JobLedger
from burdockthread_routing.jobs_api import JobsApi
from burdockthread_routing.router import Router

ENDPOINT_HEADER = "Burdockthread-Endpoint"
REQUEST_ID_BYTES = 4

PROBE_PATHS = frozenset({"/healthz", "/readyz"})

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class StoppingError(RequestError):
    """A request that arrived while the entry was stopping."""


class InternalError(RequestError):
    """An unexpected error; the request may have run."""

    status = 500

    def __init__(self, reason: str) -> None:
        super().__init__(reason, verdict=Verdict.UNKNOWN)


def library_error(error: web.HTTPException) -> RequestError:
    """Converts an error of aiohttp, which was raised before any dispatch."""
    refusal = RequestError(error.reason)
    refusal.status = error.status
    return refusal


class CallersApi:
    """Parses callers' requests, passes them to the router and writes the answers.

    Attributes:
        ready: Whether the platform's load balancer may send new callers.
        stopping: Whether new requests are refused.
        busy: Requests in progress.
        router: Routes requests to endpoints.
        jobs: Answers requests about deferred jobs.
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
        self.jobs = JobsApi(router, ledger, self.new_id, clock, metrics)
        self.clock = clock
        self.metrics = metrics
        self.log = log
        self.ready = False
        self.stopping = False
        self.busy = OpenRequests()
        # Differs for each start of the process, so that request ids are unique.
        self.start_id = secrets.token_hex(REQUEST_ID_BYTES)
        self.request_ids = itertools.count(1)

    def application(self, body_bytes: int) -> web.Application:
        """Returns the aiohttp application with its routes.

        Args:
            body_bytes: Largest body accepted.
        """
        app = web.Application(
            client_max_size=body_bytes, middlewares=[self.answer_errors]
        )
        app.router.add_get("/healthz", self.get_health)
        app.router.add_get("/readyz", self.get_readiness)
        self.jobs.add_routes(app)
        app.router.add_route("*", "/services/{service}/{path:.*}", self.any_service)
        return app

    def stop_accepting(self) -> None:
        """Refuses new requests from now on; requests in progress continue.

        To be called once the load balancer has seen that the entry is not ready.
        """
        self.ready = False
        self.stopping = True

    def new_id(self) -> str:
        """Returns a unique request id."""
        return f"{self.name}-{self.start_id}-{next(self.request_ids)}"

    async def get_health(self, request: web.Request) -> web.Response:
        """Answers 200 as long as the process runs."""
        return web.json_response({"status": "ok"})

    async def get_readiness(self, request: web.Request) -> web.Response:
        """Answers 200 if new callers may be sent to this entry, and 503 if not."""
        status = 200 if self.ready else 503
        return web.json_response({"ready": self.ready}, status=status)

    @web.middleware
    async def answer_errors(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Answers a request and, while the entry stops, closes its connection."""
        response = await self.answer(request, handler)
        if self.stopping:
            response.force_close()
        return response

    async def answer(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Calls the handler; converts every error into an answer with a verdict.

        Raises:
            RefusedError: The port refuses the request, whose body was not complete.
        """
        try:
            if self.stopping and request.path not in PROBE_PATHS:
                raise StoppingError("this entry is stopping", retry_after_s=1.0)
            return await handler(request)
        except RefusedError:
            raise
        except RequestError as error:
            return self.refuse(error)
        except web.HTTPException as error:
            return self.refuse(library_error(error))
        except Exception as error:
            self.metrics.count("callers.unexpected_errors")
            self.log.error("unexpected_error", kind=type(error).__name__, reason=error)
            return self.refuse(InternalError("an error within the entry"))

    def refuse(self, error: RequestError) -> web.Response:
        """Returns the answer for an error, with its verdict and retry time."""
        self.metrics.count(f"callers.refused.{error.status}")
        headers = {VERDICT_HEADER: error.verdict.value}
        if error.retry_after_s is not None:
            headers["Retry-After"] = str(math.ceil(error.retry_after_s))
        body = {"error": str(error), "verdict": error.verdict.value}
        response = web.json_response(body, status=error.status, headers=headers)
        if isinstance(error, SlowBodyError):
            response.force_close()
        return response

    async def any_service(self, request: web.Request) -> web.Response:
        """Routes a request to a service and returns the endpoint's answer."""
        started_s = self.clock.now()
        caller_request = await self.read_request(request)
        response = await self.router.handle(caller_request)
        self.metrics.count("callers.answered")
        self.metrics.timing("callers.time", self.clock.now() - started_s)
        return web_response(response)

    async def read_request(self, request: web.Request) -> CallerRequest:
        """Parses and checks a request.

        Raises:
            BadRequestError: A header is missing or malformed.
        """
        check_method(request)
        organisation = read_name(request, ORGANISATION_HEADER, required=True)
        service = f"{organisation}/{request.match_info['service']}"
        spec = self.router.view.services.get(service)
        deadline_s = read_deadline_s(request, spec, self.clock)
        return CallerRequest(
            request_id=self.new_id(),
            service=service,
            organisation=organisation,
            team=read_name(request, TEAM_HEADER, required=False),
            request_class=read_class(request),
            method=request.method,
            path=read_path(request),
            deadline_s=deadline_s,
            idempotent=read_idempotent(request),
            idempotency_key=read_key(request),
            content_type=request.headers.get("Content-Type", DEFAULT_CONTENT_TYPE),
            body=await read_body(request, deadline_s, self.clock),
        )


def web_response(response: CallerResponse) -> web.Response:
    """Converts an answer into a response of aiohttp."""
    return web.Response(
        status=response.status,
        body=response.body,
        headers={
            "Content-Type": response.content_type,
            VERDICT_HEADER: response.verdict.value,
            ENDPOINT_HEADER: response.endpoint,
        },
    )
