"""State of the machine planner: machines, pool statuses and planned orders."""

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

# A worker's registration expires within three heartbeats of the worker's end.
REGISTRATION_LAPSE_S = 8.0
# A machine list read this long after an order shows whether the worker has ended.
SETTLED_S = 0.5


class Purpose(StrEnum):
    """Why a machine is to be vacated."""

    UPKEEP = "upkeep"
    MOVE = "move"


class Intent(NamedTuple):
    """A planned order to a machine, sent once the machine is empty.

    Attributes:
        purpose: Upkeep or a move.
        since_s: Clock time of the decision.
        wave: Number of the wave; 0 for a move.
        pool: Pool that the machine moves to; empty for upkeep.
    """

    purpose: Purpose
    since_s: float
    wave: int = 0
    pool: str = ""


class GivenOrder(NamedTuple):
    """An order that was sent to a machine and may not have been carried out yet.

    Attributes:
        intent: The order.
        until_s: Clock time before which the machine cannot be up again.
    """

    intent: Intent
    until_s: float


class MachineLedger:
    """The known machines and pool statuses, and planned and pending orders.

    Attributes:
        machines: Machines of the newest list, by name.
        listed_s: Clock time at which the list was read.
        intents: Planned orders by machine.
        orders: Orders sent and pending, by machine.
        backoff_until_s: Clock time until which a machine gets no order, by machine.
        ended: Workers that an order has ended, with the clock time of the order.
        statuses: Newest status of each pool, with the clock time of its arrival.
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
        """Replaces the list of machines.

        Workers that are still listed as up some time after the order that ended
        them are no longer regarded as ended.

        Args:
            found: All machines.
            read_s: Clock time at which the list was requested.
        """
        self.machines = {machine.name: machine for machine in found}
        self.listed_s = read_s
        for machine in found:
            ended_s = self.ended.get(machine.worker_id)
            up = machine.state is MachineState.UP
            if up and ended_s is not None and read_s - ended_s >= SETTLED_S:
                del self.ended[machine.worker_id]

    def update_status(self, status: PoolStatus) -> None:
        """Records a pool's status, unless an earlier holder sent it."""
        known = self.statuses.get(status.pool)
        if known is None or status.fence >= known[0].fence:
            self.statuses[status.pool] = (status, self.clock.now())

    def remove_expired(self) -> None:
        """Removes completed orders, expired back-offs and entries of gone machines."""
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
        """Returns the status of a pool, or None if it is older than allowed."""
        known = self.statuses.get(pool)
        if known is None or self.clock.now() - known[1] > STATUS_MAX_AGE_S:
            return None
        return known[0]

    def fresh_pools(self) -> list[PoolStatus]:
        """Returns the statuses that are not too old, sorted by pool.

        Pools that no queue uses any more are included; they may still have jobs.
        """
        found = (self.fresh(pool) for pool in sorted(self.statuses))
        return [status for status in found if status is not None]

    def spare_pool(self) -> str:
        """Returns the pool whose machines are switched off, or an empty string."""
        pools = self.configuration().pools.values()
        return next((pool.name for pool in pools if pool.spare), "")

    def is_off(self, machine: Machine) -> bool:
        """Returns whether a machine is in a spare pool, and so switched off."""
        pool = self.configuration().pools.get(machine.pool)
        return pool is not None and pool.spare

    def is_free(self, machine: Machine) -> bool:
        """Returns whether a machine is up, without plans, orders or back-off."""
        return (
            machine.state is MachineState.UP
            and machine.name not in self.intents
            and machine.name not in self.orders
            and machine.name not in self.backoff_until_s
        )

    def worker_of(self, machine: Machine) -> WorkerStatus | None:
        """Returns the status of a machine's worker as its pool's holder reports it.

        None if the status is too old, or the worker has ended or is not in it.
        """
        status = self.fresh(machine.pool)
        if status is None or machine.worker_id in self.ended:
            return None
        for worker in status.workers:
            if worker.worker_id == machine.worker_id:
                return worker
        return None

    def is_empty(self, machine: Machine) -> bool:
        """Returns whether an order to a machine would interrupt no run."""
        if self.is_off(machine):
            return True
        worker = self.worker_of(machine)
        return (
            worker is not None and worker.vacating and worker.known and not worker.runs
        )

    def staying(self, status: PoolStatus) -> list[tuple[WorkerStatus, Machine]]:
        """Returns the usable workers of a pool whose machines stay in it."""
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
        """Yields the machines that will move to a pool or come back to it."""
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
        """Returns the workers of a pool that have to be vacated or have ended."""
        unwanted = {
            self.machines[name].worker_id
            for name in self.intents
            if name in self.machines
        }
        present = {worker.worker_id for worker in status.workers}
        return tuple((unwanted | self.ended.keys()) & present)

    def ended_among(self, status: PoolStatus) -> tuple[str, ...]:
        """Returns the workers in a pool's status that an order has ended."""
        present = (worker.worker_id for worker in status.workers)
        return tuple(worker_id for worker_id in present if worker_id in self.ended)

    def gone_among(self, status: PoolStatus) -> tuple[str, ...]:
        """Returns the unreached workers of a pool that no machine runs any more.

        A worker is one life of its machine, so one that a list lacks has ended if
        the list was read after the holder had learnt of it. While a machine is down
        without a worker named, its worker may come back under the same id.
        """
        machines = self.machines.values()
        if not machines or self.listed_s < self.clock.now() - status.held_s:
            return ()
        if any(m.state is MachineState.DOWN and not m.worker_id for m in machines):
            return ()
        running = {machine.worker_id for machine in machines}
        return tuple(name for name in status.unreached if name not in running)
