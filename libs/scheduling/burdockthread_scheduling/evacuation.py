"""Moves tasks off workers that are draining or that the machine planner vacates."""

from burdockthread_scheduling.board import TaskRun
from burdockthread_scheduling.disruption_budget import DisruptionBudget
from burdockthread_scheduling.placement import choose_worker
from burdockthread_scheduling.pool_core import PoolCore
from burdockthread_scheduling.pool_workers import PoolWorkers
from burdockthread_scheduling.run_orders import RunOrders
from burdockthread_scheduling.worker_state import (
    Placement,
    PlacementPhase,
    WorkerState,
)

# An order to a machine may still be in flight after the planner's last request.
VACATE_HOLD_S = 3.0
# Time for finite tasks to finish before they are stopped.
FINISH_TIMEOUT_S = 3.0
# Time for a stop and the transfer of its checkpoint before a worker leaves.
LEAVE_MARGIN_S = 0.5
# Room may be lacking for a moment: until all workers have answered a new holder, or a
# task that is being moved has started elsewhere.
LACK_OF_ROOM_S = 1.0
# With fewer workers, none is reserved for a long-running task.
MIN_SERVING_WORKERS = 2


class Evacuation:
    """Empties workers within the disruption budget of each long-running step.

    Attributes:
        since_s: Clock time of the first request to vacate a worker, by worker.
        waiting: Whether a long-running task has no room on other workers.
        waiting_since_s: Clock time since which one has had none, or None.
    """

    def __init__(self, core: PoolCore, workers: PoolWorkers, orders: RunOrders) -> None:
        self.core = core
        self.clock = core.clock
        self.log = core.log
        self.workers = workers
        self.orders = orders
        self.since_s: dict[str, float] = {}
        self.waiting = False
        self.waiting_since_s: float | None = None

    def update_vacate_requests(self, worker_ids: tuple[str, ...]) -> None:
        """Records the workers that the machine planner wants vacated; others expire."""
        now = self.clock.now()
        until_s = self.workers.vacating_until_s
        for worker_id in worker_ids:
            if worker_id not in until_s:
                self.since_s[worker_id] = now
                self.log.info("worker_vacating", worker=worker_id, pool=self.core.pool)
            until_s[worker_id] = now + VACATE_HOLD_S
        for worker_id in [w for w, end_s in until_s.items() if now >= end_s]:
            del until_s[worker_id]
            self.since_s.pop(worker_id, None)
            self.log.info("worker_kept", worker=worker_id, pool=self.core.pool)
        self.core.wake.set()

    def step(self) -> None:
        """Stops the tasks on workers to be emptied that may be stopped now.

        Draining workers come first: their tasks are stopped in any case, and count as
        away for the budgets of the others.
        """
        self.waiting = False
        workers = self.core.workers.values()
        for worker in sorted(workers, key=lambda worker: not worker.listing.draining):
            since_s = self.emptying_since_s(worker)
            if since_s is None:
                continue
            for placement in tuple(worker.placements.values()):
                task = placement.task
                if task is None or placement.phase is not PlacementPhase.CONFIRMED:
                    continue
                if task.step.lasting:
                    self.move_lasting(placement, task)
                elif self.is_to_stop(worker, placement, task, since_s):
                    self.orders.stop(placement, "worker is to be emptied")
        if not self.waiting:
            self.waiting_since_s = None
        elif self.waiting_since_s is None:
            self.waiting_since_s = self.clock.now()

    def lacks_room(self) -> bool:
        """Returns whether a long-running task has had no room elsewhere for long."""
        since_s = self.waiting_since_s
        return since_s is not None and self.clock.now() - since_s >= LACK_OF_ROOM_S

    def emptying_since_s(self, worker: WorkerState) -> float | None:
        """Returns the clock time since which a worker is being emptied, or None."""
        if worker.listing.draining:
            return worker.draining_since_s
        return self.since_s.get(worker.worker_id)

    def is_to_stop(
        self, worker: WorkerState, placement: Placement, task: TaskRun, since_s: float
    ) -> bool:
        """Returns whether a finite task is stopped before its end."""
        now = self.clock.now()
        if not worker.listing.draining:
            return now - since_s > FINISH_TIMEOUT_S
        leaves_s = since_s + worker.listing.remaining_ms / 1000 - LEAVE_MARGIN_S
        left_s = placement.left_s(now)
        if left_s is None:
            left_s = self.core.estimates.total_s(task)
        return now + left_s > leaves_s and (task.step.checkpointing or now > leaves_s)

    def move_lasting(self, placement: Placement, task: TaskRun) -> None:
        """Stops a long-running task if it has room elsewhere and its budget allows."""
        if choose_worker(task, self.workers.ready(), self.core.health) is None:
            self.waiting = True
            return
        budget = DisruptionBudget.excluding(task)
        if placement.worker.listing.draining or budget.allows_another():
            self.orders.stop(placement, "worker is to be emptied", **budget._asdict())

    def without_reserved(self, ready: list[WorkerState]) -> list[WorkerState]:
        """Returns the workers but the emptiest one while a long-running task waits."""
        if not self.waiting or len(ready) < MIN_SERVING_WORKERS:
            return ready
        emptiest = min(ready, key=lambda worker: worker.used_cpu)
        return [worker for worker in ready if worker is not emptiest]
