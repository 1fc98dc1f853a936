"""Parses the headers and the body of a caller's request."""

import json
import math

from aiohttp import web
from burdockthread_http import guarded_server
from burdockthread_model.clock import Clock
from burdockthread_model.errors import BadRequestError, RequestError
from burdockthread_model.intended import ServiceSpec
from burdockthread_model.request import RequestClass

ORGANISATION_HEADER = "Burdockthread-Organisation"
TEAM_HEADER = "Burdockthread-Team"
CLASS_HEADER = "Burdockthread-Class"
DEADLINE_HEADER = "Burdockthread-Deadline-Ms"
IDEMPOTENT_HEADER = "Burdockthread-Idempotent"
KEY_HEADER = "Idempotency-Key"
SAFE_METHODS = frozenset({"GET", "HEAD", "PUT", "DELETE"})
FORWARDED_METHODS = SAFE_METHODS | {"POST", "PATCH", "OPTIONS"}
MAX_KEY_LENGTH = 128
MAX_NAME_LENGTH = 64
MAX_DEADLINE_MS = 600_000
MAX_DEADLINE_DIGITS = 6
BODY_TIMEOUT_S = 10.0
DEFAULT_DEADLINE_S = 10.0


class MethodError(RequestError):
    """An HTTP method that is not forwarded to endpoints."""

    status = 405


class SlowBodyError(RequestError):
    """A request body that did not arrive in time."""

    status = 408


def read_header(request: web.Request, name: str) -> str | None:
    """Returns the value of a header, or None if it is missing.

    Raises:
        BadRequestError: The header occurs more than once.
    """
    values = request.headers.getall(name, [])
    if len(values) > 1:
        raise BadRequestError(f"{name}: expected once")
    return values[0] if values else None


def check_method(request: web.Request) -> None:
    """Refuses HTTP methods that are not forwarded to endpoints.

    Raises:
        MethodError: The method is not forwarded.
    """
    if request.method not in FORWARDED_METHODS:
        raise MethodError(f"method {request.method} is not supported")


def read_deadline_s(
    request: web.Request, spec: ServiceSpec | None, clock: Clock
) -> float:
    """Returns the clock time of the caller's deadline."""
    text = read_header(request, DEADLINE_HEADER)
    if text is None:
        return clock.now() + (DEFAULT_DEADLINE_S if spec is None else spec.deadline_s)
    if not text.isascii() or not text.isdigit() or len(text) > MAX_DEADLINE_DIGITS:
        raise BadRequestError(f"{DEADLINE_HEADER}: expected milliseconds")
    if not 0 < int(text) <= MAX_DEADLINE_MS:
        raise BadRequestError(f"{DEADLINE_HEADER}: expected 1 to {MAX_DEADLINE_MS}")
    return clock.now() + int(text) / 1000.0


async def read_body(request: web.Request, deadline_s: float, clock: Clock) -> bytes:
    """Reads the complete body, within `BODY_TIMEOUT_S` and before the deadline.

    Raises:
        SlowBodyError: The body did not arrive in time.
        RefusedError: The port refused the request, or its client is gone.
    """
    try:
        async with clock.timeout(min(BODY_TIMEOUT_S, deadline_s - clock.now())):
            return await guarded_server.read_body(request)
    except TimeoutError:
        raise SlowBodyError("the body did not arrive in time") from None


def read_name(request: web.Request, header: str, *, required: bool) -> str:
    """Parses a header that holds a name; returns an empty string if it is missing."""
    text = read_header(request, header) or ""
    if not text and not required:
        return ""
    allowed = text.replace("-", "").replace("_", "").replace(".", "")
    if not allowed.isalnum() or not text.isascii() or len(text) > MAX_NAME_LENGTH:
        raise BadRequestError(f"{header}: expected a name of letters, digits and -_.")
    return text


def read_path(request: web.Request) -> str:
    """Returns the path below the service with its query, still encoded."""
    _, _, below = request.raw_path.partition("/services/")
    _, slash, path = below.partition("/")
    if not slash:
        raise BadRequestError("path: expected /services/<service>/<path>")
    return f"/{path}"


def read_class(request: web.Request) -> RequestClass:
    """Parses the request class; the default is standard."""
    text = read_header(request, CLASS_HEADER) or RequestClass.STANDARD.value
    try:
        return RequestClass(text)
    except ValueError:
        options = ", ".join(RequestClass)
        raise BadRequestError(f"{CLASS_HEADER}: expected one of {options}") from None


def read_idempotent(request: web.Request) -> bool:
    """Returns whether the request may safely run more than once."""
    text = read_header(request, IDEMPOTENT_HEADER)
    if text is None:
        return request.method in SAFE_METHODS
    if text not in ("true", "false"):
        raise BadRequestError(f"{IDEMPOTENT_HEADER}: expected true or false")
    return text == "true"


def read_key(request: web.Request) -> str:
    """Returns the idempotency key, or an empty string if there is none."""
    text = read_header(request, KEY_HEADER) or ""
    if len(text) > MAX_KEY_LENGTH or not text.isprintable():
        raise BadRequestError(
            f"{KEY_HEADER}: expected up to {MAX_KEY_LENGTH} characters"
        )
    return text


def read_object(body: bytes) -> dict[str, object]:
    """Parses a body that holds a JSON object."""
    try:
        value = json.loads(body)
    except (ValueError, RecursionError):
        raise BadRequestError("body: expected a JSON object") from None
    if not isinstance(value, dict):
        raise BadRequestError("body: expected a JSON object")
    return value


def read_number(fields: dict[str, object], name: str, default: float) -> float:
    """Returns a field of a job that must be a finite number of zero or more."""
    value = fields.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise BadRequestError(f"body.{name}: expected a number")
    if not math.isfinite(value) or value < 0:
        raise BadRequestError(f"body.{name}: expected zero or more")
    return float(value)
