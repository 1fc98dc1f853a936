"""Listener of the callers' port."""

from contextlib import AbstractAsyncContextManager

from burdockthread_http.connection_guard import ConnectionGuard
from burdockthread_http.connection_limits import PortLimits
from burdockthread_model.clock import Clock

from burdockthread_routing.callers_api import CallersApi
from burdockthread_routing.http_port import http_port


def callers_port(
    api: CallersApi,
    clock: Clock,
    host: str,
    port: int,
    limits: PortLimits,
    *,
    stop_timeout_s: float,
    guard: ConnectionGuard | None = None,
) -> AbstractAsyncContextManager[int]:
    """Listens for callers within the block.

    A caller that disconnects cancels the handler of its request.

    Args:
        api: Answers the requests.
        clock: Clock of the timeouts.
        host: IP address to listen on.
        port: TCP port; 0 lets the kernel choose.
        limits: Limits of the port.
        stop_timeout_s: Time that requests in progress may take when the port closes.
        guard: Keeps the connections of the process within its limits; one with the
            default budget if it is left out.

    Returns:
        A context manager that yields the TCP port.
    """
    return http_port(
        "callers",
        api.application(limits.body_bytes),
        api.busy,
        api.refuse,
        clock,
        api.log,
        guard or ConnectionGuard.with_defaults(api.log),
        host,
        port,
        limits,
        stop_timeout_s=stop_timeout_s,
        cancels_on_disconnect=True,
    )
