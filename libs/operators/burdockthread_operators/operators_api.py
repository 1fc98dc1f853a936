"""The operators' port: HTTP in front of the changes and the state."""

import json
from collections.abc import Awaitable, Callable

from aiohttp import web
from burdockthread_model.errors import (
    BurdockthreadError,
    ConflictError,
    ForbiddenError,
    NotFoundError,
    StoreError,
    TemplateError,
)
from burdockthread_model.events import EventLog
from burdockthread_model.metrics import Metrics
from burdockthread_model.rendering import to_plain

from burdockthread_operators.authentication import Authenticator, Operator
from burdockthread_operators.changes import TemplateChanges

MAX_BODY_BYTES = 300_000
MAX_NUMBER_DIGITS = 9
DEFAULT_PAGE = 20

Handler = Callable[[web.Request], Awaitable[web.StreamResponse]]
Report = Callable[[], object]

ERROR_STATUS: tuple[tuple[type[BurdockthreadError], int], ...] = (
    (ForbiddenError, 403),
    (NotFoundError, 404),
    (ConflictError, 409),
    (TemplateError, 422),
    (StoreError, 503),
)


class OperatorsApi:
    """Checks the operator's rights, then acts.

    Attributes:
        reports: Parts of the state dump by name.
    """

    def __init__(
        self,
        authenticator: Authenticator,
        changes: TemplateChanges,
        status: Report,
        reports: dict[str, Report],
        metrics: Metrics,
        log: EventLog,
    ) -> None:
        self.authenticator = authenticator
        self.changes = changes
        self.status = status
        self.reports = reports
        self.metrics = metrics
        self.log = log

    def application(self) -> web.Application:
        """Returns the aiohttp application."""
        app = web.Application(
            client_max_size=MAX_BODY_BYTES, middlewares=[self.answer_errors]
        )
        app.router.add_get("/v1/status", self.get_status)
        app.router.add_get("/v1/dump", self.get_dump)
        app.router.add_post("/v1/changes", self.post_change)
        app.router.add_post("/v1/changes/{change}/review", self.post_review)
        app.router.add_post("/v1/changes/{change}/accept", self.post_acceptance)
        app.router.add_get("/v1/templates/{template}", self.get_template)
        app.router.add_get("/v1/templates/{template}/history", self.get_history)
        return app

    @web.middleware
    async def answer_errors(
        self, request: web.Request, handler: Handler
    ) -> web.StreamResponse:
        """Turns errors into answers with one line that names the cause."""
        try:
            return await handler(request)
        except BurdockthreadError as error:
            status = status_of(error)
            self.metrics.count(f"operators.refused.{status}")
            body = {"error": str(error), "verdict": error.verdict.value}
            return web.json_response(body, status=status)

    def require(self, request: web.Request, right: str) -> Operator:
        """Returns the operator of a request if it has a right.

        Raises:
            web.HTTPUnauthorized: No valid token.
            ForbiddenError: The right is missing.
        """
        header = request.headers.get("Authorization", "")
        operator = self.authenticator.authenticate(header)
        if operator is None:
            self.log.warning(
                "operator_unauthorized", remote=request.remote, path=request.path
            )
            raise web.HTTPUnauthorized(
                text=json.dumps({"error": "a valid bearer token is needed"}),
                content_type="application/json",
                headers={"WWW-Authenticate": "Bearer"},
            )
        if right not in operator.rights:
            self.log.warning("operator_forbidden", operator=operator.name, right=right)
            raise ForbiddenError(f"{operator.name} has no right to {right}")
        return operator

    async def get_status(self, request: web.Request) -> web.Response:
        """Answers with the intended against the actual state."""
        self.require(request, "read")
        return web.json_response(to_plain(self.status()))

    async def get_dump(self, request: web.Request) -> web.Response:
        """Answers with the state of this process."""
        self.require(request, "read")
        dump = {name: report() for name, report in self.reports.items()}
        return web.json_response(to_plain(dump))

    async def post_change(self, request: web.Request) -> web.Response:
        """Proposes a template."""
        operator = self.require(request, "propose")
        base_version = read_number(request, "base_version", 0)
        data = await request.read()
        change = await self.changes.propose(operator.name, data, base_version)
        self.log_change("change_proposed", operator, change.change_id)
        return web.json_response(to_plain(change), status=201)

    async def post_review(self, request: web.Request) -> web.Response:
        """Reviews a change."""
        operator = self.require(request, "review")
        change_id = request.match_info["change"]
        fields = await read_fields(request)
        change = await self.changes.review(
            operator.name,
            change_id,
            str(fields.get("content_hash", "")),
            approve=fields.get("approve") is True,
        )
        self.log_change("change_reviewed", operator, change_id)
        return web.json_response(to_plain(change))

    async def post_acceptance(self, request: web.Request) -> web.Response:
        """Accepts a change."""
        operator = self.require(request, "accept")
        change_id = request.match_info["change"]
        fields = await read_fields(request)
        change = await self.changes.accept(
            operator.name, change_id, str(fields.get("content_hash", ""))
        )
        self.log_change("change_accepted", operator, change_id)
        return web.json_response(to_plain(change))

    async def get_template(self, request: web.Request) -> web.Response:
        """Answers with the accepted version of a template."""
        self.require(request, "read")
        accepted = await self.changes.show(request.match_info["template"])
        return web.json_response(to_plain(accepted))

    async def get_history(self, request: web.Request) -> web.Response:
        """Answers with the changes of a template."""
        self.require(request, "read")
        before = read_number(request, "before", 0)
        limit = read_number(request, "limit", DEFAULT_PAGE)
        template = request.match_info["template"]
        page = await self.changes.history(template, before, limit)
        return web.json_response(to_plain(page))

    def log_change(self, event: str, operator: Operator, change_id: str) -> None:
        """Logs and counts what an operator did to a change."""
        self.metrics.count(f"operators.{event}")
        self.log.info(event, operator=operator.name, change=change_id)


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
