"""Admission: who waits for a slot, who gets the next one, who is refused."""

import asyncio
import itertools
from collections.abc import Callable, Collection

from burdockthread_model.clock import Clock
from burdockthread_model.errors import OverloadedError
from burdockthread_model.intended import ServiceSpec
from burdockthread_model.request import CallerRequest, RequestClass

from burdockthread_routing.endpoint_client import Endpoint
from burdockthread_routing.fair_queue import Grant, ServiceQueue, Waiter

RETRY_AFTER_MIN_S = 1.0
RETRY_AFTER_MAX_S = 30.0
URGENT_WAIT_S = 7.0
LONG_WAIT_S = URGENT_WAIT_S / 4
MIN_SLOTS_TO_KEEP_ONE = 2
MAX_GRANTS_PER_PUMP = 256
DEFAULT_WEIGHT = 1.0
UNAVAILABLE = 503

Acquire = Callable[[ServiceSpec, Collection[str]], Endpoint | None]
Release = Callable[[ServiceSpec, Endpoint], None]
Capacity = Callable[[ServiceSpec], int]
TeamWeight = Callable[[str, str], float | None]


def equal_weight(organisation: str, team: str) -> float | None:
    """Returns no weight, so that all teams share one queue."""
    return None


def unknown_capacity(service: ServiceSpec) -> int:
    """Returns no capacity, so that no slot is kept free."""
    return 0


class Admission:
    """Queues of all services at this entry.

    Attributes:
        clock: Clock of the deadlines.
        acquire: Takes a slot of a service, or returns None.
        release: Gives a slot back that was granted but never used.
        team_weight: Weight of a team, or None for one that is not known.
        capacity: Slots of a service that this entry may use now.
        waiting: Queues by service.
    """

    def __init__(
        self,
        clock: Clock,
        acquire: Acquire,
        release: Release,
        team_weight: TeamWeight = equal_weight,
        capacity: Capacity = unknown_capacity,
    ) -> None:
        self.clock = clock
        self.acquire = acquire
        self.release = release
        self.team_weight = team_weight
        self.capacity = capacity
        self.queues: dict[str, ServiceQueue] = {}
        self.order = itertools.count()

    def queue(self, service: ServiceSpec) -> ServiceQueue:
        """Returns the queue of a service."""
        queue = self.queues.get(service.name)
        if queue is None:
            queue = self.queues[service.name] = ServiceQueue(service)
        return queue

    async def enter(
        self,
        service: ServiceSpec,
        request: CallerRequest,
        avoided: frozenset[str] = frozenset(),
    ) -> Grant:
        """Waits for a slot.

        Args:
            service: Service asked.
            request: The request.
            avoided: VMs that it has already tried, to be used only if no
                other has a free slot; not empty for a retry, which goes to
                the front.

        Returns:
            The slot, which is now taken for the request; `leave` must follow.

        Raises:
            OverloadedError: The request was refused; it was not sent.
        """
        queue = self.queue(service)
        queue.configure(service)
        team, weight = self.team_of(request)
        queue.classes[request.request_class].team(team, weight)
        if self.may_start(service, queue, request.request_class):
            endpoint = self.acquire(service, avoided)
            if endpoint is not None:
                return self.grant(queue, request.request_class, team, endpoint)
        if not avoided:
            self.refuse_hopeless(queue, request, team)
            self.make_room(queue, request.request_class, team, weight)
        waiter = Waiter(
            order=next(self.order),
            request=request,
            team=team,
            avoided=avoided,
            granted=asyncio.get_running_loop().create_future(),
        )
        queue.classes[request.request_class].add(waiter, weight)
        return await self.wait(service, queue, waiter)

    def team_of(self, request: CallerRequest) -> tuple[str, float]:
        """Returns the queue and the weight of a request's team.

        Teams that no template names share one queue, so that invented names
        gain nothing.
        """
        weight = self.team_weight(request.organisation, request.team)
        if weight is None:
            return f"{request.organisation}/", DEFAULT_WEIGHT
        return f"{request.organisation}/{request.team}", weight

    def refuse_hopeless(
        self, queue: ServiceQueue, request: CallerRequest, team: str
    ) -> None:
        """Refuses a request that would not be answered before its deadline.

        Raises:
            OverloadedError: The queue ahead is too long.
        """
        wait_s = queue.expected_wait_s(request.request_class, team)
        patience_s = self.patience_s(request)
        if wait_s + (queue.hold_s or 0.0) <= patience_s:
            return
        raise OverloadedError(
            f"the queue ahead takes {wait_s:.1f} s, which is past the deadline",
            retry_after_s=retry_after_s(wait_s - patience_s),
        )

    def patience_s(self, request: CallerRequest) -> float:
        """Returns the longest time that a request may wait for a slot."""
        remaining_s = max(request.deadline_s - self.clock.now(), 0.0)
        if request.request_class is RequestClass.URGENT:
            return min(remaining_s, URGENT_WAIT_S)
        return remaining_s

    def make_room(
        self,
        queue: ServiceQueue,
        request_class: RequestClass,
        team: str,
        weight: float,
    ) -> None:
        """Makes sure that the queue has room for one more request.

        Raises:
            OverloadedError: The queue is full, and the team has its share.
        """
        if queue.has_room(request_class):
            return
        classes = queue.classes[request_class]
        pushed_out = classes.newest_of_longest(team, weight)
        wait_s = queue.expected_wait_s(request_class, team)
        error = OverloadedError(
            "the queue is full", retry_after_s=retry_after_s(wait_s)
        )
        if pushed_out is None:
            raise error
        classes.remove(pushed_out)
        pushed_out.granted.set_exception(error)

    async def wait(
        self, service: ServiceSpec, queue: ServiceQueue, waiter: Waiter
    ) -> Grant:
        """Waits until a slot is granted or the request has waited too long."""
        request = waiter.request
        patience_s = self.patience_s(request)
        try:
            async with self.clock.timeout(patience_s):
                return await asyncio.shield(waiter.granted)
        except TimeoutError as error:
            if waiter.granted.done():
                return waiter.granted.result()
            raise self.too_late(queue, waiter, patience_s) from error
        except asyncio.CancelledError:
            self.give_back(service, waiter)
            raise
        finally:
            queue.classes[request.request_class].remove(waiter)

    def too_late(
        self, queue: ServiceQueue, waiter: Waiter, patience_s: float
    ) -> OverloadedError:
        """Returns the error for a request that has waited too long."""
        request_class = waiter.request.request_class
        wait_s = queue.expected_wait_s(request_class, waiter.team)
        error = OverloadedError(
            f"no slot within {patience_s:.1f} s", retry_after_s=retry_after_s(wait_s)
        )
        if not queue.in_use:
            error.status = UNAVAILABLE
        return error

    def give_back(self, service: ServiceSpec, waiter: Waiter) -> None:
        """Returns a slot that was granted just as its request was cancelled."""
        granted = waiter.granted
        if not granted.done() or granted.exception() is not None:
            return
        grant = granted.result()
        self.leave(service, grant, unused=True)
        self.release(service, grant.endpoint)

    def grant(
        self,
        queue: ServiceQueue,
        request_class: RequestClass,
        team: str,
        endpoint: Endpoint,
    ) -> Grant:
        """Notes that a request holds a slot."""
        charged_s = queue.hold_s or 0.0
        queue.in_use += 1
        queue.charge(request_class, team, charged_s)
        return Grant(endpoint, request_class, team, self.clock.now(), charged_s)

    def leave(
        self, service: ServiceSpec, grant: Grant, *, unused: bool = False
    ) -> None:
        """Notes that a request no longer holds its slot.

        Args:
            service: Service of the slot.
            grant: What `enter` returned.
            unused: Whether nothing was sent.
        """
        queue = self.queue(service)
        held_s = 0.0 if unused else self.clock.now() - grant.granted_s
        queue.in_use -= 1
        queue.charge(grant.request_class, grant.team, held_s - grant.charged_s)
        if not unused:
            queue.observe_hold(held_s)

    def keeps_last(self, service: ServiceSpec, queue: ServiceQueue) -> bool:
        """Returns whether the one free slot is kept for urgent requests.

        Where requests hold slots for long, a slot comes back too seldom for an
        urgent request to start in time.
        """
        if queue.hold_s is None:
            return False
        if queue.hold_s <= LONG_WAIT_S * max(queue.in_use, 1):
            return False
        capacity = self.capacity(service)
        return capacity >= MIN_SLOTS_TO_KEEP_ONE and queue.in_use >= capacity - 1

    def may_start(
        self, service: ServiceSpec, queue: ServiceQueue, request_class: RequestClass
    ) -> bool:
        """Returns whether a new request may take a free slot without waiting."""
        if request_class is not RequestClass.URGENT:
            return not len(queue) and not self.keeps_last(service, queue)
        if queue.classes[RequestClass.URGENT].waiting:
            return False
        return not len(queue) or self.keeps_last(service, queue)

    def next_waiter(self, service: ServiceSpec, queue: ServiceQueue) -> Waiter | None:
        """Returns the request to serve next, or None if none may start."""
        chosen = queue.next_class()
        if chosen is None:
            return None
        urgent = queue.classes[RequestClass.URGENT]
        if chosen is not urgent and self.keeps_last(service, queue):
            return urgent.head() if urgent.waiting else None
        return chosen.head()

    def grant_free_slots(self, service: ServiceSpec) -> None:
        """Grants free slots to the requests that wait."""
        queue = self.queues.get(service.name)
        if queue is None:
            return
        for _ in range(MAX_GRANTS_PER_PUMP):
            waiter = self.next_waiter(service, queue)
            if waiter is None:
                return
            endpoint = self.acquire(service, waiter.avoided)
            if endpoint is None:
                return
            queue.classes[waiter.request.request_class].remove(waiter)
            granted = self.grant(
                queue, waiter.request.request_class, waiter.team, endpoint
            )
            waiter.granted.set_result(granted)


def retry_after_s(wait_s: float) -> float:
    """Returns when a refused caller may try again."""
    return min(max(wait_s, RETRY_AFTER_MIN_S), RETRY_AFTER_MAX_S)
