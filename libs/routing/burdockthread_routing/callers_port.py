"""Listener of the callers' port."""

from contextlib import AbstractAsyncContextManager

from burdockthread_model.clock import Clock

from burdockthread_routing.callers_api import CallersApi
from burdockthread_routing.http_port import PortLimits, http_port


def callers_port(
    api: CallersApi,
    clock: Clock,
    host: str,
    port: int,
    body_bytes: int,
    limits: PortLimits,
) -> AbstractAsyncContextManager[int]:
    """Listens for callers within the block.

    A caller that disconnects cancels the handler of its request.

    Args:
        api: Answers the requests.
        clock: Clock of the timeouts.
        host: IP address to listen on.
        port: TCP port; 0 lets the kernel choose.
        body_bytes: Largest request body accepted.
        limits: Limits of the port.

    Returns:
        A context manager that yields the TCP port.
    """
    return http_port(
        "callers",
        api.application(body_bytes),
        api.busy,
        clock,
        api.metrics,
        host,
        port,
        limits,
        handler_cancellation=True,
    )
