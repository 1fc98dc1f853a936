"""Throttles best-effort tasks before they harm latency-sensitive ones.

A best-effort task (`fills`) uses the processors that the others leave idle. A
latency-sensitive task has a target for its tail latency (`target_ms`).
"""

from burdockthread_scheduling.disruption_budget import DisruptionBudget
from burdockthread_scheduling.pool_core import PoolCore
from burdockthread_scheduling.run_orders import RunOrders
from burdockthread_scheduling.worker_state import (
    Placement,
    PlacementPhase,
    WorkerState,
)

# Shares of the latency target at which best-effort tasks on the same worker are
# slowed, paused or sped up.
SLOW_SHARE = 0.75
STOP_SHARE = 0.95
CALM_SHARE = 0.55
SLOW_FACTOR = 0.5
RAISE_STEP = 15
FULL_PERCENT = 100
# A best-effort task starts at full pace; beside a latency-sensitive one at this.
FIRST_PERCENT = 30
MIN_PERCENT = 5
# The measure covers the last 0.5 s, and a pace takes 0.1 s to apply.
SETTLE_S = 0.7
# A run whose pace is not confirmed within this time is stopped instead.
UNCERTAIN_S = 1.5


class Pacing:
    """Sets the pace of best-effort tasks, worker by worker.

    Attributes:
        changed_s: Clock time of the last change of pace, by worker.
        uncertain_s: Clock time since which a run's pace is not confirmed.
    """

    def __init__(self, core: PoolCore, orders: RunOrders) -> None:
        self.core = core
        self.clock = core.clock
        self.orders = orders
        self.changed_s: dict[str, float] = {}
        self.uncertain_s: dict[Placement, float] = {}
        self.sending: set[Placement] = set()

    def step(self) -> None:
        """Sets the paces on each worker with best-effort tasks."""
        for worker in self.core.workers.values():
            filling = [p for p in worker.placements.values() if is_filling(p)]
            if filling:
                self.pace_worker(worker, filling)
            else:
                self.changed_s.pop(worker.worker_id, None)

    def pace_worker(self, worker: WorkerState, filling: list[Placement]) -> None:
        """Sets the paces of the best-effort tasks on one worker."""
        now = self.clock.now()
        serving = [p for p in worker.placements.values() if is_serving(p)]
        for placement in filling:
            fresh = now - placement.ordered_s < SETTLE_S
            if serving and fresh and placement.pace in (FULL_PERCENT, None):
                self.set(placement, FIRST_PERCENT)
        changed_s = self.changed_s.get(worker.worker_id, float("-inf"))
        load = max((self.load(p, changed_s) for p in serving), default=0.0)
        if load < SLOW_SHARE and now - changed_s < SETTLE_S:
            return
        for placement in filling:
            percent = self.next_percent(placement.pace, load, alone=not serving)
            if percent != placement.pace:
                self.set(placement, percent)

    def load(self, placement: Placement, since_s: float) -> float:
        """Returns a run's latency as a share of its target, 0 if it is too old."""
        if placement.task is None or placement.measured_s < since_s:
            return 0.0
        return placement.measure / placement.task.step.target_ms

    def next_percent(self, percent: int | None, load: float, *, alone: bool) -> int:
        """Returns the next pace, in percent, for a load of latency-sensitive tasks."""
        if alone:
            return FULL_PERCENT
        if load >= STOP_SHARE:
            return 0
        if percent is None:
            return FIRST_PERCENT
        if load >= SLOW_SHARE:
            slower = int(percent * SLOW_FACTOR)
            return slower if slower >= MIN_PERCENT else 0
        if load <= CALM_SHARE:
            return min(percent + RAISE_STEP, FULL_PERCENT)
        return percent

    def set(self, placement: Placement, percent: int) -> None:
        """Sends a pace, or stops the run if earlier ones were not confirmed."""
        now = self.clock.now()
        if placement in self.sending:
            return
        since_s = self.uncertain_s.setdefault(placement, now)
        if now - since_s > UNCERTAIN_S and self.stop(placement):
            self.uncertain_s.pop(placement, None)
            return
        self.sending.add(placement)
        self.changed_s[placement.worker.worker_id] = now
        self.core.log.info(
            "run_paced",
            task=placement.task_id,
            run=placement.run,
            worker=placement.worker.worker_id,
            before=placement.pace,
            percent=percent,
        )
        self.core.spawn(self.send(placement, percent))

    def stop(self, placement: Placement) -> bool:
        """Stops a run whose pace cannot be confirmed; returns whether it did.

        A long-running task at full pace counts as available, so it is only stopped
        within the disruption budget of its step.
        """
        task, reason = placement.task, "its pace cannot be set"
        slowed = is_slowed(placement)
        if task is None or not task.step.lasting or slowed:
            self.orders.stop(placement, reason)
            return True
        budget = DisruptionBudget.excluding(task)
        if budget.allows_another():
            self.orders.stop(placement, reason, **budget._asdict())
        return budget.allows_another()

    async def send(self, placement: Placement, percent: int) -> None:
        """Sends a pace and records it if the worker confirms it."""
        try:
            certain = await self.orders.pace(placement, percent)
        finally:
            self.sending.discard(placement)
        if certain:
            placement.pace = percent
            self.uncertain_s.pop(placement, None)


def is_filling(placement: Placement) -> bool:
    """Returns whether a confirmed run is of a best-effort task."""
    task = placement.task
    confirmed = placement.phase is PlacementPhase.CONFIRMED
    return confirmed and task is not None and task.step.fills


def is_slowed(placement: Placement) -> bool:
    """Returns whether a run was slowed and its worker reports the lower pace."""
    told = placement.pace is not None and placement.pace < FULL_PERCENT
    return told and placement.percent < FULL_PERCENT


def is_serving(placement: Placement) -> bool:
    """Returns whether a run is of a latency-sensitive task."""
    task = placement.task
    return task is not None and task.step.target_ms > 0 and not task.step.fills
