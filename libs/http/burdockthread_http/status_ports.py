"""The readiness and metrics servers of an entry."""

import json
from collections.abc import Callable

from aiohttp import web
from burdockthread_model.clock import Clock
from burdockthread_model.events import EventLog

from burdockthread_http.connection_guard import ConnectionGuard
from burdockthread_http.connection_limits import PortLimits
from burdockthread_http.http_server import GracefulServer


def readiness_server(
    is_ready: Callable[[], bool],
    clock: Clock,
    log: EventLog,
    guard: ConnectionGuard,
    limits: Callable[[], PortLimits],
) -> GracefulServer:
    """Returns the readiness server: 200 if the entry takes callers, else 503."""

    async def answer(request: web.BaseRequest) -> web.Response:
        status = 200 if is_ready() else 503
        return web.Response(status=status, text=json.dumps({"ready": status == 200}))

    return GracefulServer("readiness", answer, clock, log, guard, limits)


def text_server(
    text: Callable[[], str],
    clock: Clock,
    log: EventLog,
    guard: ConnectionGuard,
    limits: Callable[[], PortLimits],
) -> GracefulServer:
    """Returns the metrics server, which answers every request with the text."""

    async def answer(request: web.BaseRequest) -> web.Response:
        return web.Response(text=text())

    return GracefulServer("metrics", answer, clock, log, guard, limits)
