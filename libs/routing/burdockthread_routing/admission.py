"""Admission control: queues requests, grants slots and refuses excess load."""

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
URGENT_MAX_WAIT_S = 7.0
LONG_RELEASE_INTERVAL_S = URGENT_MAX_WAIT_S / 4
MIN_SLOTS_TO_RESERVE_ONE = 2
MAX_GRANTS_PER_CALL = 256
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
    """Returns no capacity, so that no slot is reserved."""
    return 0


class Admission:
    """Queues of all services at this entry.

    Attributes:
        clock: Clock of the deadlines.
        acquire: Takes a slot of a service, or returns None.
        release: Releases a slot that was granted but not used.
        team_weight: Returns the weight of a team, or None for an unknown team.
        capacity: Returns the slots of a service that this entry may use now.
        queues: Queues by service.
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
        """Returns the queue of a service, created on first use."""
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
            service: Service requested.
            request: The request.
            avoided: VMs that the request has already tried, to be used only
                if no other has a free slot; not empty for a retry, which goes
                to the front of its queue.

        Returns:
            The granted slot; `leave` must be called when the attempt has ended.

        Raises:
            OverloadedError: The request was refused and not sent.
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
            self.check_expected_wait(queue, request, team)
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
        """Returns the name of the queue and the weight of a request's team.

        Teams that no template names share one queue, so that invented names
        bring no extra share.
        """
        weight = self.team_weight(request.organisation, request.team)
        if weight is None:
            return f"{request.organisation}/", DEFAULT_WEIGHT
        return f"{request.organisation}/{request.team}", weight

    def check_expected_wait(
        self, queue: ServiceQueue, request: CallerRequest, team: str
    ) -> None:
        """Refuses a request that is not expected to be answered in time.

        Raises:
            OverloadedError: Expected wait and hold time exceed the maximum wait.
        """
        wait_s = queue.expected_wait_s(request.request_class, team)
        max_wait_s = self.max_wait_s(request)
        if wait_s + (queue.mean_hold_s or 0.0) <= max_wait_s:
            return
        raise OverloadedError(
            f"the expected wait of {wait_s:.1f} s exceeds the deadline",
            retry_after_s=retry_after_s(wait_s - max_wait_s),
        )

    def max_wait_s(self, request: CallerRequest) -> float:
        """Returns the longest time that a request may wait for a slot."""
        remaining_s = max(request.deadline_s - self.clock.now(), 0.0)
        if request.request_class is RequestClass.URGENT:
            return min(remaining_s, URGENT_MAX_WAIT_S)
        return remaining_s

    def make_room(
        self,
        queue: ServiceQueue,
        request_class: RequestClass,
        team: str,
        weight: float,
    ) -> None:
        """Evicts a waiting request if the queue has no room for one more.

        Raises:
            OverloadedError: The queue is full, and the team has its share of it.
        """
        if queue.has_room(request_class):
            return
        classes = queue.classes[request_class]
        evicted = classes.eviction_candidate(team, weight)
        wait_s = queue.expected_wait_s(request_class, team)
        error = OverloadedError(
            "the queue is full", retry_after_s=retry_after_s(wait_s)
        )
        if evicted is None:
            raise error
        classes.remove(evicted)
        evicted.granted.set_exception(error)

    async def wait(
        self, service: ServiceSpec, queue: ServiceQueue, waiter: Waiter
    ) -> Grant:
        """Waits until a slot is granted; raises an error after the maximum wait."""
        request = waiter.request
        max_wait_s = self.max_wait_s(request)
        try:
            async with self.clock.timeout(max_wait_s):
                return await asyncio.shield(waiter.granted)
        except TimeoutError as error:
            if waiter.granted.done():
                return waiter.granted.result()
            raise self.wait_timeout_error(queue, waiter, max_wait_s) from error
        except asyncio.CancelledError:
            self.return_unused_slot(service, waiter)
            raise
        finally:
            queue.classes[request.request_class].remove(waiter)

    def wait_timeout_error(
        self, queue: ServiceQueue, waiter: Waiter, max_wait_s: float
    ) -> OverloadedError:
        """Returns the error for a request that got no slot in time."""
        request_class = waiter.request.request_class
        wait_s = queue.expected_wait_s(request_class, waiter.team)
        error = OverloadedError(
            f"no slot within {max_wait_s:.1f} s", retry_after_s=retry_after_s(wait_s)
        )
        if not queue.in_use:
            error.status = UNAVAILABLE
        return error

    def return_unused_slot(self, service: ServiceSpec, waiter: Waiter) -> None:
        """Releases a slot that was granted just as its request was cancelled."""
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
        """Records that a request holds a slot, and charges the expected time."""
        charged_s = queue.mean_hold_s or 0.0
        queue.in_use += 1
        queue.charge(request_class, team, charged_s)
        return Grant(endpoint, request_class, team, self.clock.now(), charged_s)

    def leave(
        self, service: ServiceSpec, grant: Grant, *, unused: bool = False
    ) -> None:
        """Records that a request no longer holds its slot.

        Args:
            service: Service of the slot.
            grant: Slot that `enter` returned.
            unused: Whether nothing was sent.
        """
        queue = self.queue(service)
        held_s = 0.0 if unused else self.clock.now() - grant.granted_s
        queue.in_use -= 1
        queue.charge(grant.request_class, grant.team, held_s - grant.charged_s)
        if not unused:
            queue.observe_hold(held_s)

    def reserves_last_slot(self, service: ServiceSpec, queue: ServiceQueue) -> bool:
        """Returns whether the last free slot is reserved for urgent requests.

        Where requests hold slots for a long time, slots are released too rarely
        for an urgent request to start in time.
        """
        if queue.mean_hold_s is None:
            return False
        if queue.mean_hold_s <= LONG_RELEASE_INTERVAL_S * max(queue.in_use, 1):
            return False
        capacity = self.capacity(service)
        return capacity >= MIN_SLOTS_TO_RESERVE_ONE and queue.in_use >= capacity - 1

    def may_start(
        self, service: ServiceSpec, queue: ServiceQueue, request_class: RequestClass
    ) -> bool:
        """Returns whether a new request may take a free slot without waiting."""
        if request_class is not RequestClass.URGENT:
            return not len(queue) and not self.reserves_last_slot(service, queue)
        if queue.classes[RequestClass.URGENT].waiting:
            return False
        return not len(queue) or self.reserves_last_slot(service, queue)

    def next_waiter(self, service: ServiceSpec, queue: ServiceQueue) -> Waiter | None:
        """Returns the request to serve next, or None if none may start."""
        chosen = queue.next_class()
        if chosen is None:
            return None
        urgent = queue.classes[RequestClass.URGENT]
        if chosen is not urgent and self.reserves_last_slot(service, queue):
            return urgent.head() if urgent.waiting else None
        return chosen.head()

    def grant_free_slots(self, service: ServiceSpec) -> None:
        """Grants free slots to waiting requests."""
        queue = self.queues.get(service.name)
        if queue is None:
            return
        for _ in range(MAX_GRANTS_PER_CALL):
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
    """Returns the seconds after which a refused caller may retry."""
    return min(max(wait_s, RETRY_AFTER_MIN_S), RETRY_AFTER_MAX_S)
