"""Admission: bounded queues of requests that wait for a slot."""

import asyncio
import itertools
from collections.abc import Callable, Collection
from typing import NamedTuple

from burdockthread_model.clock import Clock
from burdockthread_model.errors import OverloadedError
from burdockthread_model.intended import ServiceSpec
from burdockthread_model.request import CallerRequest, RequestClass

from burdockthread_routing.endpoint_client import Endpoint

RETRY_AFTER_S = 1.0
CLASS_ORDER = tuple(RequestClass)

Acquire = Callable[[ServiceSpec, Collection[str]], Endpoint | None]


class Waiter(NamedTuple):
    """A request that waits for a slot."""

    rank: int
    order: int
    request: CallerRequest
    excluded: frozenset[str]
    granted: asyncio.Future[Endpoint]


class Admission:
    """One queue for each service, ordered by class, then by arrival.

    Attributes:
        clock: Clock of the deadlines.
        acquire: Takes a slot of a service, or returns None.
        waiting: Waiting requests by service.
    """

    def __init__(self, clock: Clock, acquire: Acquire) -> None:
        self.clock = clock
        self.acquire = acquire
        self.waiting: dict[str, list[Waiter]] = {}
        self.order = itertools.count()

    async def enter(
        self, service: ServiceSpec, request: CallerRequest, excluded: frozenset[str]
    ) -> Endpoint:
        """Waits for a slot.

        Args:
            service: Service asked.
            request: The request.
            excluded: VMs that it has already tried.

        Returns:
            The endpoint whose slot is now taken for the request.

        Raises:
            OverloadedError: The queue is full or the deadline has passed.
        """
        queue = self.waiting.setdefault(service.name, [])
        if not queue:
            endpoint = self.acquire(service, excluded)
            if endpoint is not None:
                return endpoint
        if len(queue) >= service.queue_limit:
            raise OverloadedError("the queue is full", retry_after_s=RETRY_AFTER_S)
        waiter = self.new_waiter(request, excluded)
        queue.append(waiter)
        queue.sort(key=lambda w: (w.rank, w.order))
        return await self.wait(service, waiter)

    def new_waiter(self, request: CallerRequest, excluded: frozenset[str]) -> Waiter:
        """Returns a waiter for a request."""
        return Waiter(
            rank=CLASS_ORDER.index(request.request_class),
            order=next(self.order),
            request=request,
            excluded=excluded,
            granted=asyncio.get_running_loop().create_future(),
        )

    async def wait(self, service: ServiceSpec, waiter: Waiter) -> Endpoint:
        """Waits until a slot is granted or the deadline passes."""
        remaining_s = waiter.request.deadline_s - self.clock.now()
        try:
            async with asyncio.timeout(max(remaining_s, 0.0)):
                return await waiter.granted
        except TimeoutError as error:
            raise OverloadedError(
                "no slot before the deadline", retry_after_s=RETRY_AFTER_S
            ) from error
        finally:
            queue = self.waiting[service.name]
            if waiter in queue:
                queue.remove(waiter)

    def pump(self, service: ServiceSpec) -> None:
        """Grants free slots to the requests that wait."""
        queue = self.waiting.get(service.name, [])
        for waiter in list(queue):
            endpoint = self.acquire(service, waiter.excluded)
            if endpoint is None:
                return
            queue.remove(waiter)
            waiter.granted.set_result(endpoint)
