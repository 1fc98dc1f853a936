"""Determines the shares of organisations in a pool for each scheduling round."""

from collections import defaultdict
from collections.abc import Sequence

from burdockthread_scheduling.board import JobRun
from burdockthread_scheduling.fair_shares import (
    ArrivalCounter,
    OrganisationDemand,
    ShareRound,
    dominant_part,
    fair_shares,
)
from burdockthread_scheduling.pool_core import PoolCore
from burdockthread_scheduling.quota_share import Amounts, QuotaShare, add, no_amounts
from burdockthread_scheduling.worker_state import WorkerState

LOG_INTERVAL_S = 1.0


class PoolShares:
    """Compares the demand of organisations with the room of the pool.

    Attributes:
        arrivals: Jobs that have arrived lately.
        logged_s: Clock time of the last log line.
    """

    def __init__(self, core: PoolCore, quotas: QuotaShare) -> None:
        self.core = core
        self.quotas = quotas
        self.arrivals = ArrivalCounter()
        self.logged_s = float("-inf")

    def note_arrival(self, job: JobRun) -> None:
        """Marks a new job that is beyond what its organisation is owed."""
        name = job.spec.organisation
        if name and not job.spec.is_lasting():
            weight = self.core.parts.configuration().organisations.weight(name)
            now = self.core.clock.now()
            job.surplus = self.arrivals.is_surplus(name, weight, now)

    def begin_round(self, ready: Sequence[WorkerState]) -> ShareRound | None:
        """Returns the shares of this round; None if there is room for all.

        Args:
            ready: Workers that accept tasks.
        """
        organisations = self.core.parts.configuration().organisations
        if not organisations.by_name:
            return None
        waiting: defaultdict[str, Amounts] = defaultdict(no_amounts)
        for name, _, size in self.quotas.waiting_tasks():
            add(waiting[name], size)
        if not waiting:
            return None
        room = self.room(ready)
        demands = {
            name: OrganisationDemand(
                organisations.weight(name),
                dominant_part(self.quotas.used.get(name, no_amounts()), room),
                dominant_part(waiting.get(name, no_amounts()), room),
            )
            for name in {*self.quotas.used, *waiting}
        }
        shares = fair_shares(demands)
        if shares is None:
            return None
        self.log(demands, shares)
        return ShareRound(room, shares, demands)

    def room(self, ready: Sequence[WorkerState]) -> list[int]:
        """Returns what is free or used by organisations on the workers."""
        room = no_amounts()
        for worker in ready:
            add(room, worker.listing.capacity)
            used = worker.used_cpu, worker.used_memory, worker.used_accelerators
            add(room, [-amount for amount in used])
        for amounts in self.quotas.used.values():
            add(room, amounts)
        return room

    def log(
        self, demands: dict[str, OrganisationDemand], shares: dict[str, float]
    ) -> None:
        """Logs what the organisations are due and use, once a second at most."""
        now = self.core.clock.now()
        if now - self.logged_s < LOG_INTERVAL_S:
            return
        self.logged_s = now
        over = {
            name: f"{demand.used:.3f}/{shares[name]:.3f}"
            for name, demand in sorted(demands.items())
            if demand.used > shares[name]
        }
        self.core.metrics.count("shares.contended")
        self.core.log.info(
            "pool_contended",
            pool=self.core.pool,
            organisations=len(demands),
            over=" ".join(f"{name}={parts}" for name, parts in over.items()),
        )
