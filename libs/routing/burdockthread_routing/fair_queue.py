"""Queues of one service: classes with guaranteed minima, teams with weights.

All shares are counted in slot-seconds, the time that requests hold slots. A
request is charged the expected time when it is granted a slot, and the charge
is corrected when the slot is released.
"""

import asyncio
from collections import OrderedDict
from typing import NamedTuple

from burdockthread_model.intended import ServiceSpec
from burdockthread_model.request import CallerRequest, RequestClass

from burdockthread_routing.endpoint_client import Endpoint

CLASS_ORDER = tuple(RequestClass)
DEFAULT_MINIMA = {
    RequestClass.URGENT: 0.5,
    RequestClass.STANDARD: 0.25,
    RequestClass.DEFERRED: 0.1,
}
HOLD_SMOOTHING = 0.05
MAX_LAG_HOLDS = 4.0
MIN_SHARE = 0.01


class Grant(NamedTuple):
    """A slot that a request holds.

    Attributes:
        endpoint: Endpoint of the slot.
        request_class: Class that is charged.
        team: Team that is charged.
        granted_s: Clock time of the grant.
        charged_s: Slot-seconds charged in advance.
    """

    endpoint: Endpoint
    request_class: RequestClass
    team: str
    granted_s: float
    charged_s: float


class Waiter(NamedTuple):
    """A request that waits for a slot.

    Attributes:
        order: Unique sequence number.
        request: The request.
        team: Name of the team queue.
        avoided: VMs that the request has already tried.
        granted: Future of the granted slot, or of the refusal.
    """

    order: int
    request: CallerRequest
    team: str
    avoided: frozenset[str]
    granted: "asyncio.Future[Grant]"


class TeamQueue:
    """Requests of one team within one class, first come first served.

    Attributes:
        weight: Weight relative to the other teams.
        waiting: Waiting requests by sequence number.
        virtual_s: Slot-seconds charged, divided by the weight.
    """

    def __init__(self, weight: float) -> None:
        self.weight = weight
        self.waiting: OrderedDict[int, Waiter] = OrderedDict()
        self.virtual_s = 0.0

    def load(self, more: int = 0) -> float:
        """Returns the number of waiting requests plus `more`, divided by the weight."""
        return (len(self.waiting) + more) / self.weight


class ClassQueue:
    """Requests of one class, with weighted max-min fairness between teams.

    Attributes:
        share: Guaranteed share of the service's slot-seconds, 0 to 1.
        lag_s: Slot-seconds by which the class is behind its share.
        teams: Queues by team.
        waiting: Number of waiting requests.
    """

    def __init__(self, share: float) -> None:
        self.share = share
        self.lag_s = 0.0
        self.teams: dict[str, TeamQueue] = {}
        self.active: set[str] = set()
        self.waiting = 0

    def team(self, name: str, weight: float) -> TeamQueue:
        """Returns the queue of a team and sets its current weight."""
        queue = self.teams.get(name)
        if queue is None:
            queue = self.teams[name] = TeamQueue(weight)
        queue.weight = weight
        return queue

    def add(self, waiter: Waiter, weight: float) -> None:
        """Adds a request; a retry goes to the front."""
        queue = self.team(waiter.team, weight)
        if waiter.team not in self.active:
            queue.virtual_s = max(queue.virtual_s, self.lowest_virtual_s())
            self.active.add(waiter.team)
        queue.waiting[waiter.order] = waiter
        if waiter.avoided:
            queue.waiting.move_to_end(waiter.order, last=False)
        self.waiting += 1

    def lowest_virtual_s(self) -> float:
        """Returns the virtual time of the team that is served next."""
        times = (self.teams[name].virtual_s for name in self.active)
        return min(times, default=0.0)

    def remove(self, waiter: Waiter) -> bool:
        """Removes a request; returns whether it was waiting."""
        queue = self.teams[waiter.team]
        if queue.waiting.pop(waiter.order, None) is None:
            return False
        self.waiting -= 1
        if not queue.waiting:
            self.active.discard(waiter.team)
        return True

    def head(self) -> Waiter:
        """Returns the request to serve next; at least one must be waiting."""
        name = min(self.active, key=lambda name: (self.teams[name].virtual_s, name))
        return next(iter(self.teams[name].waiting.values()))

    def eviction_candidate(self, team: str, weight: float) -> Waiter | None:
        """Returns the request to evict for a new request of a team, if any.

        Args:
            team: Team of the new request.
            weight: Weight of that team.

        Returns:
            The newest request of the team with the most waiting requests by
            weight, or None if the new request would give its team as many.
        """
        if not self.active:
            return None
        longest = max(self.active, key=lambda name: (self.teams[name].load(), name))
        arriving = self.team(team, weight)
        if self.teams[longest].load() <= arriving.load(more=1):
            return None
        return next(reversed(self.teams[longest].waiting.values()))


class ServiceQueue:
    """All waiting requests of one service at this entry.

    Attributes:
        limit: Maximum number of waiting requests.
        classes: Queues by class, the most urgent first.
        in_use: Slots that requests hold.
        mean_hold_s: Moving average of the time that a request holds a slot, or
            None before the first.
    """

    def __init__(self, spec: ServiceSpec) -> None:
        self.limit = spec.queue_limit
        shares = class_shares(spec)
        self.classes = {name: ClassQueue(shares[name]) for name in CLASS_ORDER}
        self.in_use = 0
        self.mean_hold_s: float | None = None

    def __len__(self) -> int:
        """Returns the number of waiting requests."""
        return sum(queue.waiting for queue in self.classes.values())

    def configure(self, spec: ServiceSpec) -> None:
        """Applies the limit and the shares of the service's current version."""
        self.limit = spec.queue_limit
        for name, share in class_shares(spec).items():
            self.classes[name].share = share

    def next_class(self) -> ClassQueue | None:
        """Returns the class to serve next, or None if no request is waiting.

        A class that has not exceeded its guaranteed share goes first; the
        remaining slots go to the most urgent class.
        """
        waiting = [queue for queue in self.classes.values() if queue.waiting]
        for queue in waiting:
            if queue.share > 0 and queue.lag_s >= 0:
                return queue
        return waiting[0] if waiting else None

    def has_room(self, request_class: RequestClass) -> bool:
        """Returns whether a class may add a request.

        Room that is guaranteed to other classes but not used stays free.
        """
        kept = 0
        for name, queue in self.classes.items():
            if name is not request_class:
                kept += max(int(self.limit * queue.share) - queue.waiting, 0)
        return len(self) < self.limit - kept

    def charge(self, request_class: RequestClass, team: str, seconds: float) -> None:
        """Charges slot-seconds to a class and a team; a negative charge is a refund."""
        bound_s = MAX_LAG_HOLDS * (self.mean_hold_s or 0.0) + abs(seconds)
        for name, queue in self.classes.items():
            lag_s = queue.lag_s + queue.share * seconds
            if name is request_class:
                lag_s -= seconds
            highest_s = bound_s if queue.waiting else 0.0
            queue.lag_s = min(max(lag_s, -bound_s), highest_s)
        charged = self.classes[request_class].teams[team]
        charged.virtual_s += seconds / charged.weight

    def observe_hold(self, seconds: float) -> None:
        """Adds the time that a request held its slot to the moving average."""
        if self.mean_hold_s is None:
            self.mean_hold_s = seconds
        else:
            self.mean_hold_s += HOLD_SMOOTHING * (seconds - self.mean_hold_s)

    def expected_wait_s(self, request_class: RequestClass, team: str) -> float:
        """Estimates how long a new request would wait.

        Args:
            request_class: Class of the request.
            team: Team of the request; its queue must exist.

        Returns:
            Seconds; 0 if no slot is held or no hold time is known yet.
        """
        if self.mean_hold_s is None or not self.in_use:
            return 0.0
        queue = self.classes[request_class]
        rate = self.in_use / self.mean_hold_s * self.expected_share(request_class)
        own = queue.teams[team]
        weights = sum(queue.teams[name].weight for name in queue.active | {team})
        alone = (len(own.waiting) + 1) * weights / own.weight
        return min(alone, queue.waiting + 1) / rate

    def expected_share(self, request_class: RequestClass) -> float:
        """Returns the share of the slots that a class gets with requests waiting."""
        rivals = [
            (name, queue.share)
            for name, queue in self.classes.items()
            if queue.waiting and name is not request_class
        ]
        left = 1.0 - sum(share for _, share in rivals)
        rank = CLASS_ORDER.index(request_class)
        if all(CLASS_ORDER.index(name) > rank for name, _ in rivals):
            return max(left, MIN_SHARE)
        return max(self.classes[request_class].share, MIN_SHARE)


def class_shares(spec: ServiceSpec) -> dict[RequestClass, float]:
    """Returns the guaranteed share of each class.

    A class that the service does not name gets its default, scaled down if the
    named classes leave less than that.
    """
    named = {RequestClass(name): share for name, share in spec.class_minima}
    missing = [name for name in CLASS_ORDER if name not in named]
    room = max(1.0 - sum(named.values()), 0.0)
    wanted = sum(DEFAULT_MINIMA[name] for name in missing)
    factor = min(room / wanted, 1.0) if wanted else 0.0
    return named | {name: DEFAULT_MINIMA[name] * factor for name in missing}
