"""What the planner of machines knows and intends."""

from collections.abc import Callable, Iterator
from enum import StrEnum
from typing import NamedTuple

from burdockthread_model.clock import Clock

from burdockthread_scheduling.machines import Machine, MachineState
from burdockthread_scheduling.pool_status import (
    STATUS_MAX_AGE_S,
    PoolStatus,
    WorkerStatus,
)
from burdockthread_scheduling.specs import FleetConfiguration

# A worker's registration lapses within three heartbeats of its end.
REGISTRATION_LAPSE_S = 8.0
# A list that is read this long after an order shows whether it ended the worker.
SETTLED_S = 0.5


class Purpose(StrEnum):
    """Why a machine is to be emptied."""

    UPKEEP = "upkeep"
    MOVE = "move"


class Intent(NamedTuple):
    """What is to be done with a machine once it is empty.

    Attributes:
        purpose: Upkeep or a move.
        since_s: Clock time of the decision.
        wave: Number of the wave.
        pool: Pool that it moves to.
    """

    purpose: Purpose
    since_s: float
    wave: int = 0
    pool: str = ""


class GivenOrder(NamedTuple):
    """An order to a machine that may not be carried out yet.

    Attributes:
        intent: What was ordered.
        until_s: Clock time before which the machine cannot be back.
    """

    intent: Intent
    until_s: float


class MachineLedger:
    """The machines, the pools' statuses, and what is under way.

    Attributes:
        machines: Newest list, by name.
        listed_s: Clock time at which the list was read.
        intents: Machines that are to be emptied, or ordered at once.
        orders: Machines with an order under way.
        resting: Machines that get no order until a clock time.
        ended: Workers that an order has ended, with the clock time of it.
    """

    def __init__(
        self, configuration: Callable[[], FleetConfiguration], clock: Clock
    ) -> None:
        self.configuration = configuration
        self.clock = clock
        self.machines: dict[str, Machine] = {}
        self.listed_s = float("-inf")
        self.intents: dict[str, Intent] = {}
        self.orders: dict[str, GivenOrder] = {}
        self.backoff_until_s: dict[str, float] = {}
        self.ended: dict[str, float] = {}
        self.statuses: dict[str, tuple[PoolStatus, float]] = {}

    def update_list(self, found: tuple[Machine, ...], read_s: float) -> None:
        """Takes in the list of machines as read at a clock time."""
        self.machines = {machine.name: machine for machine in found}
        self.listed_s = read_s
        for machine in found:
            ended_s = self.ended.get(machine.worker_id)
            up = machine.state is MachineState.UP
            if up and ended_s is not None and read_s - ended_s >= SETTLED_S:
                del self.ended[machine.worker_id]

    def update_status(self, status: PoolStatus) -> None:
        """Takes in a status unless it is of an earlier holder."""
        known = self.statuses.get(status.pool)
        if known is None or status.fence >= known[0].fence:
            self.statuses[status.pool] = (status, self.clock.now())

    def remove_expired(self) -> None:
        """Drops what is over."""
        now = self.clock.now()
        for name, order in tuple(self.orders.items()):
            machine = self.machines.get(name)
            back = machine is not None and machine.state is MachineState.UP
            if machine is None or (back and now >= order.until_s):
                del self.orders[name]
        for name in self.intents.keys() - self.machines.keys():
            del self.intents[name]
        for name, until_s in tuple(self.backoff_until_s.items()):
            if now >= until_s:
                del self.backoff_until_s[name]
        for worker_id, ended_s in tuple(self.ended.items()):
            if now - ended_s >= REGISTRATION_LAPSE_S:
                del self.ended[worker_id]

    def fresh(self, pool: str) -> PoolStatus | None:
        """Returns the status of a pool unless it is old."""
        known = self.statuses.get(pool)
        if known is None or self.clock.now() - known[1] > STATUS_MAX_AGE_S:
            return None
        return known[0]

    def fresh_pools(self) -> list[PoolStatus]:
        """Returns the statuses that are not old, of pools that run jobs.

        A pool to which no queue leads any more may still have jobs.
        """
        found = (self.fresh(pool) for pool in sorted(self.statuses))
        return [status for status in found if status is not None]

    def spare_pool(self) -> str:
        """Returns the pool whose machines are off, or an empty text."""
        pools = self.configuration().pools.values()
        return next((pool.name for pool in pools if pool.spare), "")

    def is_off(self, machine: Machine) -> bool:
        """Returns whether a machine is in a spare pool."""
        pool = self.configuration().pools.get(machine.pool)
        return pool is not None and pool.spare

    def is_free(self, machine: Machine) -> bool:
        """Returns whether nothing is planned with a machine that is up."""
        return (
            machine.state is MachineState.UP
            and machine.name not in self.intents
            and machine.name not in self.orders
            and machine.name not in self.backoff_until_s
        )

    def worker_of(self, machine: Machine) -> WorkerStatus | None:
        """Returns what the holder of its pool says of a machine's worker."""
        status = self.fresh(machine.pool)
        if status is None or machine.worker_id in self.ended:
            return None
        for worker in status.workers:
            if worker.worker_id == machine.worker_id:
                return worker
        return None

    def is_empty(self, machine: Machine) -> bool:
        """Returns whether an order to a machine ends nothing that runs."""
        if self.is_off(machine):
            return True
        worker = self.worker_of(machine)
        return worker is not None and worker.vacating and not worker.runs

    def staying(self, status: PoolStatus) -> list[tuple[WorkerStatus, Machine]]:
        """Returns the workers of a pool that serve and are to go on."""
        by_worker = {machine.worker_id: machine for machine in self.machines.values()}
        return [
            (worker, machine)
            for worker in status.workers
            if worker.usable
            and worker.worker_id not in self.ended
            and (machine := by_worker.get(worker.worker_id)) is not None
            and machine.name not in self.intents
            and machine.name not in self.orders
        ]

    def arriving(self, pool: str) -> Iterator[Machine]:
        """Yields the machines that are on their way to a pool, or will be back."""
        planned = dict(self.intents)
        planned.update((name, order.intent) for name, order in self.orders.items())
        for name, intent in planned.items():
            machine = self.machines.get(name)
            if machine is None:
                continue
            target = intent.pool if intent.purpose is Purpose.MOVE else machine.pool
            if target == pool:
                yield machine

    def to_vacate(self, status: PoolStatus) -> tuple[str, ...]:
        """Returns the workers of a pool that are to get no tasks."""
        unwanted = {
            self.machines[name].worker_id
            for name in self.intents
            if name in self.machines
        }
        present = {worker.worker_id for worker in status.workers}
        return tuple((unwanted | self.ended.keys()) & present)

    def ended_among(self, status: PoolStatus) -> tuple[str, ...]:
        """Returns the workers of a pool that orders have ended."""
        present = (worker.worker_id for worker in status.workers)
        return tuple(worker_id for worker_id in present if worker_id in self.ended)
