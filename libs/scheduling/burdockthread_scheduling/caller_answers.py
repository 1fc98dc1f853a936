"""Answers to callers as JSON and as HTTP responses."""

import json
from collections.abc import Mapping

from aiohttp import web
from burdockthread_model.errors import RequestError

from burdockthread_scheduling.request_relay import CallerAnswer


def json_answer(
    body: Mapping[str, object], status: int = 200, retry_after_s: float | None = None
) -> CallerAnswer:
    """Returns an answer with a JSON body."""
    return CallerAnswer(status, json.dumps(body).encode(), retry_after_s)


def error_answer(error: RequestError) -> CallerAnswer:
    """Returns the answer to a request that failed with an error."""
    body = {"error": str(error), "verdict": error.verdict.value}
    return json_answer(body, error.status, error.retry_after_s)


def web_response(answer: CallerAnswer) -> web.Response:
    """Returns the HTTP response for an answer."""
    headers = {}
    if answer.retry_after_s is not None:
        headers["Retry-After"] = str(max(round(answer.retry_after_s), 1))
    return web.Response(
        status=answer.status,
        body=answer.body,
        content_type="application/json",
        headers=headers,
    )


def error_response(error: RequestError) -> web.Response:
    """Returns the response for a request that failed with an error."""
    return web_response(error_answer(error))
