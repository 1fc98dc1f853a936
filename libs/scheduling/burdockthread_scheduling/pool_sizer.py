"""Decides which machines move between pools, by the pools' demand."""

from collections.abc import Iterator
from typing import NamedTuple

from burdockthread_model.clock import Clock
from burdockthread_model.events import EventLog

from burdockthread_scheduling.demand_peaks import DemandPeaks
from burdockthread_scheduling.demand_trend import DemandTrend
from burdockthread_scheduling.machine_ledger import Intent, MachineLedger, Purpose
from burdockthread_scheduling.machines import Machine
from burdockthread_scheduling.pool_status import PoolStatus

# Work that waits should have run within this time.
DRAIN_TARGET_S = 1.5
# Pools whose work waits longer also get machines that other pools keep for their
# next peak.
LATE_WAIT_S = 1.5
# A pool gives up machines only while its supply exceeds its demand by this factor.
SURPLUS_FACTOR = 1.3
# A move costs about as much as a machine that idles for a second.
IDLE_BEFORE_RELEASE_S = 1.2
IDLE_BEFORE_LOAN_S = 0.4
# Part of an even share of all machines that a pool keeps while it has no demand.
FLOOR_SHARE = 0.8
MIN_WORKERS = 2
LOG_INTERVAL_S = 1.0


class Need(NamedTuple):
    """Demand and supply of a pool, in thousandths of a core.

    Attributes:
        status: Status of the pool.
        wanted_milli: Processors that the pool needs.
        supply_milli: Processors that the pool has or is about to get.
    """

    status: PoolStatus
    wanted_milli: float
    supply_milli: float

    def wait_s(self) -> float:
        """Returns the seconds that waiting work takes with the current supply."""
        return self.status.waiting / max(self.supply_milli, 1.0)


class PoolSizer:
    """Plans moves of machines to the pools in which work waits longest."""

    def __init__(
        self,
        ledger: MachineLedger,
        demand: DemandPeaks,
        trend: DemandTrend,
        clock: Clock,
        log: EventLog,
    ) -> None:
        self.ledger = ledger
        self.demand = demand
        self.trend = trend
        self.clock = clock
        self.log = log
        self.logged_s = float("-inf")

    def plan(self, needs_extra_worker: set[str]) -> None:
        """Plans moves between the pools.

        Args:
            needs_extra_worker: Pools that need one more worker before another worker
                can be taken out for upkeep.
        """
        pools = self.ledger.fresh_pools()
        floors = self.floors(pools)
        for pool in needs_extra_worker & floors.keys():
            floors[pool] += 1
        for status in pools:
            if status.lacks_room:
                # More than those that are to be vacated and the others together.
                usable = sum(worker.usable for worker in status.workers)
                floors[status.pool] = max(floors[status.pool], usable + 1)
        needs = {status.pool: self.need(status) for status in pools}
        self.log_needs(needs, floors)
        self.cover_demand(needs, floors)
        self.restore_floors(needs, floors)
        self.release(needs, floors)

    def floors(self, pools: list[PoolStatus]) -> dict[str, int]:
        """Returns how many machines each pool keeps when its demand is lower.

        Pools have their peaks in turn: after its peak a pool keeps only
        `MIN_WORKERS` machines until all other pools have had theirs.
        """
        share = len(self.ledger.machines) / (len(pools) + 1) * FLOOR_SHARE
        ranks = self.demand.ranks([status.pool for status in pools])
        return {
            pool: max(round(share), MIN_WORKERS) if rank >= 1 else MIN_WORKERS
            for pool, rank in ranks.items()
        }

    def need(self, status: PoolStatus) -> Need:
        """Returns the demand and supply of a pool."""
        busy = max(status.inflow_milli, status.running_milli)
        wanted = status.lasting_milli + busy + status.waiting / DRAIN_TARGET_S
        supply = sum(worker.cpu_milli for worker, _ in self.ledger.staying(status))
        supply += sum(
            machine.capacity.cpu_milli for machine in self.ledger.arriving(status.pool)
        )
        if self.ledger.configuration().organisations.by_name:
            now = self.clock.now()
            wanted += self.trend.expected_rise(status.pool, supply, now)
        return Need(status, wanted, supply)

    def cover_demand(self, needs: dict[str, Need], floors: dict[str, int]) -> None:
        """Moves machines one by one to the pool where work waits longest."""
        lacking = {
            pool
            for pool, need in needs.items()
            if need.wanted_milli > need.supply_milli
        }
        sources = {pool: self.sources(pool, needs, floors) for pool in lacking}
        while lacking:
            pool = max(lacking, key=lambda pool: needs[pool].wait_s())
            machine = next(sources[pool], None)
            if machine is None:
                lacking.discard(pool)
                continue
            if not self.ledger.is_free(machine):
                continue
            self.move(machine, needs, pool)
            if needs[pool].supply_milli >= needs[pool].wanted_milli:
                lacking.discard(pool)

    def sources(
        self, pool: str, needs: dict[str, Need], floors: dict[str, int]
    ) -> Iterator[Machine]:
        """Yields the machines that a pool may get, the cheapest first.

        First machines that are switched off, then idle ones of other pools, and if
        work waits longer than `LATE_WAIT_S` also their reserves.
        """
        spare = self.ledger.spare_pool()
        for machine in tuple(self.ledger.machines.values()):
            if machine.pool == spare and self.ledger.is_free(machine):
                yield machine
        lenders = sorted((p for p in needs if p != pool), key=lambda p: floors[p])
        for lender in lenders:
            yield from self.idle(lender, needs, floors[lender], IDLE_BEFORE_LOAN_S)
        if needs[pool].wait_s() > LATE_WAIT_S:
            for lender in lenders:
                yield from self.idle(lender, needs, MIN_WORKERS, IDLE_BEFORE_LOAN_S)

    def idle(
        self, pool: str, needs: dict[str, Need], floor: int, idle_s: float
    ) -> Iterator[Machine]:
        """Yields idle machines that a pool does not need.

        Args:
            pool: The pool.
            needs: Demand and supply of the pools.
            floor: Number of machines that stay in the pool.
            idle_s: Seconds for which a worker must have been idle.
        """
        staying = self.ledger.staying(needs[pool].status)
        for worker, machine in staying:
            need = needs[pool]
            count = len(self.ledger.staying(need.status))
            left = need.supply_milli - worker.cpu_milli
            if count <= floor or left < need.wanted_milli * SURPLUS_FACTOR:
                return
            if worker.runs or worker.idle_s < idle_s:
                continue
            if self.ledger.is_free(machine):
                yield machine

    def restore_floors(self, needs: dict[str, Need], floors: dict[str, int]) -> None:
        """Refills pools to their floors with machines that are switched off."""
        spare = self.ledger.spare_pool()
        off = [
            machine
            for machine in self.ledger.machines.values()
            if machine.pool == spare and self.ledger.is_free(machine)
        ]
        for pool, need in needs.items():
            count = len(self.ledger.staying(need.status))
            count += sum(1 for _ in self.ledger.arriving(pool))
            while off and count < floors[pool]:
                self.move(off.pop(), needs, pool)
                count += 1

    def release(self, needs: dict[str, Need], floors: dict[str, int]) -> None:
        """Moves idle machines to the spare pool, which switches them off."""
        spare = self.ledger.spare_pool()
        if not spare:
            return
        for pool in needs:
            idle = self.idle(pool, needs, floors[pool], IDLE_BEFORE_RELEASE_S)
            for machine in idle:
                self.move(machine, needs, spare)

    def move(self, machine: Machine, needs: dict[str, Need], pool: str) -> None:
        """Plans the move of one machine and updates the supplies in `needs`."""
        cpu_milli = machine.capacity.cpu_milli
        intent = Intent(Purpose.MOVE, self.clock.now(), pool=pool)
        self.ledger.intents[machine.name] = intent
        for name, change in ((machine.pool, -cpu_milli), (pool, cpu_milli)):
            if name in needs:
                need = needs[name]
                supply = need.supply_milli + change
                needs[name] = need._replace(supply_milli=supply)
        target = needs.get(pool)
        self.log.info(
            "move_chosen",
            machine=machine.name,
            worker=machine.worker_id,
            pool=machine.pool,
            to=pool,
            wanted_milli=int(target.wanted_milli) if target else 0,
            supply_milli=int(target.supply_milli) if target else 0,
            wait_s=round(target.wait_s(), 3) if target else 0,
        )

    def log_needs(self, needs: dict[str, Need], floors: dict[str, int]) -> None:
        """Logs demand and supply of all pools, at most once per `LOG_INTERVAL_S`."""
        now = self.clock.now()
        if now - self.logged_s < LOG_INTERVAL_S:
            return
        self.logged_s = now
        for pool, need in needs.items():
            status = need.status
            self.log.info(
                "pool_demand",
                pool=pool,
                workers=sum(1 for worker in status.workers if worker.usable),
                floor=floors[pool],
                lasting_milli=status.lasting_milli,
                running_milli=status.running_milli,
                waiting=int(status.waiting),
                inflow_milli=int(status.inflow_milli),
                supply_milli=int(need.supply_milli),
                staying=len(self.ledger.staying(status)),
                intents=len(self.ledger.intents),
                orders=len(self.ledger.orders),
                ended=len(self.ledger.ended),
                resting=len(self.ledger.backoff_until_s),
            )
