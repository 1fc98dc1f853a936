"""The workers of a pool: registrations, readiness for tasks and expired leases."""

import asyncio
from collections.abc import Iterable

from burdockthread_scheduling.assigned_workers import WorkerAssignment
from burdockthread_scheduling.pool_core import PoolCore
from burdockthread_scheduling.pool_status import STATUS_MAX_AGE_S
from burdockthread_scheduling.sessions import ReportListener, WorkerSession
from burdockthread_scheduling.specs import TaskId
from burdockthread_scheduling.worker_state import (
    Placement,
    WorkerState,
)
from burdockthread_scheduling.workers import WorkerKey

# A poll waits for up to 0.3 s, and the next one is due 0.3 s after it was sent.
TOKEN_CONFIRMED_AGE_S = 0.8
# The planner may act on the last holder's status for this time, with a margin.
VACATE_KNOWN_TIMEOUT_S = STATUS_MAX_AGE_S + 0.2


class PoolWorkers:
    """Tracks the workers of a pool and which of them may get tasks.

    Attributes:
        assignment: Stored record of the workers on which runs may exist.
        sessions: Session and its task by worker.
        ended_by_planner: Workers that an order to their machine has ended.
        doubted_ends: Workers that the planner reports as ended, but that still
            have runs.
        vacate_known: Workers for which the planner has told this holder whether
            they have to be vacated.
        vacate_due_s: Clock time from which the planner no longer acts on what the
            last holder reported.
        vacating_until_s: Clock time until which a worker gets no tasks because
            the planner wants it vacated.
    """

    def __init__(self, core: PoolCore, listener: ReportListener) -> None:
        self.core = core
        self.clock = core.clock
        self.log = core.log
        self.listener = listener
        self.assignment = WorkerAssignment(core)
        self.sessions: dict[WorkerKey, tuple[WorkerSession, asyncio.Task[None]]] = {}
        self.ended_by_planner: set[str] = set()
        self.doubted_ends: set[str] = set()
        self.vacate_known: set[str] = set()
        self.vacate_due_s = core.clock.now() + VACATE_KNOWN_TIMEOUT_S
        self.vacating_until_s: dict[str, float] = {}

    # Registrations

    def sync(self) -> None:
        """Applies the current registrations: adds, updates and drops workers."""
        now = self.clock.now()
        listings = self.core.parts.roster.workers(self.core.pool)
        for key, listing in listings.items():
            worker = self.core.workers.get(key)
            if worker is None:
                self.add(WorkerState(listing, now, self.core.parts.max_lease_s))
                continue
            worker.listing = listing
            worker.listed = True
            if listing.draining and worker.draining_since_s is None:
                worker.draining_since_s = now
                self.log.info("worker_draining", worker=worker.worker_id)
            if worker.placements:
                worker.busy_s = now
        for key, worker in tuple(self.core.workers.items()):
            if key not in listings:
                worker.listed = False
                if not worker.placements:
                    self.drop(worker, "not registered")

    def add(self, worker: WorkerState) -> None:
        """Adds a worker and starts its session."""
        key = worker.listing.key
        core = self.core
        core.workers[key] = worker
        session = WorkerSession(
            worker,
            core.tenure.fence,
            core.gateway,
            self.listener,
            core.clock,
            core.metrics,
            core.log,
            core.is_certain,
            core.window.poll_pause_s,
        )
        self.sessions[key] = (session, core.spawn(session.run()))
        self.move_runs_to_successor(worker)
        self.log.info("worker_seen", worker=worker.worker_id, pool=core.pool)

    def drop(self, worker: WorkerState, reason: str) -> None:
        """Removes a worker and cancels its session."""
        key = worker.listing.key
        del self.core.workers[key]
        _, task = self.sessions.pop(key)
        task.cancel()
        self.assignment.assigned_dirty = True
        self.log.info("worker_dropped", worker=worker.worker_id, reason=reason)

    def replaced(self, worker: WorkerState) -> None:
        """Marks a worker as gone; all its runs have ended."""
        self.log.info("worker_replaced", worker=worker.worker_id)
        worker.replaced = True
        self.assignment.assigned_dirty = True
        self.assignment.unreached.pop(worker.listing.key, None)
        self.lose_runs(worker)
        self.core.wake.set()

    def restarted(self, worker: WorkerState, born_ms: int) -> None:
        """Marks a worker as restarted; its runs have ended.

        A start that is not known to have reached the last life may have been accepted
        by the restarted process, which knows no fencing token yet. Such a run is kept
        until the restarted process lists it or its lease expires.
        """
        key = WorkerKey(worker.worker_id, born_ms)
        self.note_unaccounted(worker.placements.values())
        for placement in tuple(worker.placements.values()):
            if not worker.is_doubtful(placement):
                worker.remove(placement)
        self.log.info(
            "worker_restarted",
            worker=worker.worker_id,
            doubtful=len(worker.placements),
            acknowledged_end=worker.acknowledged_end,
        )
        worker.replaced = True
        self.assignment.assigned_dirty = True
        until_s = self.assignment.unreached.pop(worker.listing.key, None)
        successor = self.core.workers.get(key)
        if until_s is not None and (successor is None or not successor.contacted):
            self.assignment.unreached[key] = until_s
        if successor is not None:
            self.move_runs_to_successor(successor)
        self.core.wake.set()

    def move_runs_to_successor(self, successor: WorkerState) -> None:
        """Moves to a restarted worker the runs that it may have accepted."""
        for worker in self.core.workers.values():
            if worker.worker_id == successor.worker_id and worker.replaced:
                for placement in tuple(worker.placements.values()):
                    worker.move_to_successor(placement, successor)

    def placement(
        self, worker: WorkerState, task: TaskId, run: int
    ) -> Placement | None:
        """Returns a run of a worker, also if it was started before its restart."""
        key = (task, run)
        if key in worker.placements:
            return worker.placements[key]
        for other in self.core.workers.values():
            if other.worker_id == worker.worker_id and key in other.placements:
                other.move_to_successor(other.placements[key], worker)
                return worker.placements[key]
        return None

    def apply_ended(self, worker_ids: tuple[str, ...]) -> None:
        """Marks the workers that the planner has ended with an order as gone.

        Their registrations remain for some heartbeats. If the platform still lists
        a worker, the planner withdraws the report. That worker was empty, so nothing
        was restarted elsewhere; it is dropped here and added again with a new
        session. A worker with runs has restarted since it was reported as empty;
        its own session shows whether it is alive.
        """
        for worker in tuple(self.core.workers.values()):
            worker_id = worker.worker_id
            if worker_id in worker_ids and worker.placements:
                if worker_id not in self.doubted_ends:
                    self.log.info("worker_end_doubted", worker=worker_id)
            elif worker_id in worker_ids and not worker.replaced:
                self.ended_by_planner.add(worker_id)
                self.replaced(worker)
            elif worker_id in self.ended_by_planner and worker_id not in worker_ids:
                self.ended_by_planner.discard(worker_id)
                self.drop(worker, "the planner withdrew its report of the end")
        self.doubted_ends = set(worker_ids) - self.ended_by_planner

    def note_runs_known(self, worker: WorkerState) -> None:
        """Records that a worker has told this holder of all its runs and ends.

        Its earlier lives have ended, and it refuses the orders of earlier holders.
        """
        for key in tuple(self.assignment.unreached):
            if key <= worker.listing.key and key.worker_id == worker.worker_id:
                del self.assignment.unreached[key]

    def lose_runs(self, worker: WorkerState) -> None:
        """Removes all runs of a worker as ended."""
        self.note_unaccounted(worker.placements.values())
        for placement in tuple(worker.placements.values()):
            worker.remove(placement)

    def note_unaccounted(self, placements: Iterable[Placement]) -> None:
        """Marks the tasks of lost runs while another entry may hold the pool.

        That entry may have renewed the leases of the runs, and may have recorded the
        success of runs that this holder only knows to be gone.
        """
        if self.core.is_certain():
            return
        for placement in placements:
            task = placement.task
            if task is None or task.unaccounted:
                continue
            task.unaccounted = True
            self.log.info(
                "run_unaccounted",
                task=placement.task_id,
                run=placement.run,
                worker=placement.worker.worker_id,
                lease_left_s=round(self.core.tenure.lease_left_s(), 3),
                offered=self.core.offered,
            )

    def expire_leases(self) -> None:
        """Removes the runs of unreachable workers once their leases have expired."""
        now = self.clock.now()
        for worker in self.core.workers.values():
            if worker.replaced or worker.failed_calls:
                self.expire_runs(worker, now)
        for key in tuple(self.assignment.unreached):
            if now > self.unreached_until_s(key):
                del self.assignment.unreached[key]
                self.log.warning("unreached_worker_lapsed", worker=key.worker_id)

    def unreached_until_s(self, key: WorkerKey) -> float:
        """Returns the clock time by which runs of earlier holders have expired.

        Infinity for a worker that answers, whose leases this holder renews: its reports
        tell what has become of the runs.
        """
        lapsed_s = self.assignment.unreached[key]
        worker = self.core.workers.get(key)
        if worker is None or not worker.contacted:
            return lapsed_s
        if not worker.failed_calls:
            return float("inf")
        return max(lapsed_s, worker.lapse_s())

    def expire_runs(self, worker: WorkerState, now: float) -> None:
        """Removes the runs of an unreachable worker whose leases have expired."""
        runs = tuple(worker.placements.values())
        lapsed = [run for run in runs if now > worker.run_lapse_s(run)]
        if not lapsed:
            return
        self.log.warning(
            "worker_leases_lapsed",
            worker=worker.worker_id,
            restarted=worker.replaced,
            runs=len(lapsed),
            doubtful=len(runs) - len(lapsed),
            contact_age_s=round(now - worker.contact_s, 3),
        )
        if not worker.replaced:
            worker.contacted = False
        self.note_unaccounted(lapsed)
        for run in lapsed:
            worker.remove(run)

    # Readiness

    def is_usable(self, worker: WorkerState) -> bool:
        """Returns whether a worker is in service; it may still be full or vacating."""
        return (
            worker.listed
            and worker.contacted
            and not worker.replaced
            and not worker.listing.draining
            and not worker.failed_calls
            and worker.listing.key in self.assignment.assigned
        )

    def is_ready(self, worker: WorkerState) -> bool:
        """Returns whether a worker may be sent a task now."""
        return (
            self.is_usable(worker)
            and not self.core.health.is_quarantined(worker)
            and worker.worker_id not in self.vacating_until_s
            and self.is_vacate_known(worker)
            and self.is_token_confirmed(worker)
            and self.clock.now() >= worker.full_until_s
            and (not worker.unknown_runs or self.core.spec().refuses_overload)
        )

    def are_runs_known(self, worker: WorkerState) -> bool:
        """Returns whether this holder knows of all runs on a worker.

        Runs of earlier holders may go on until the worker has answered or their leases
        have expired, and a later holder may keep some alive.
        """
        if any(key.worker_id == worker.worker_id for key in self.assignment.unreached):
            return False
        has_answered = worker.contacted and not worker.failed_calls
        return has_answered or self.core.is_certain()

    def vacating_s(self, worker: WorkerState) -> float:
        """Returns the seconds for which a worker stays vacated for the planner.

        Negative or minus infinity if the worker is not vacating.
        """
        until_s = self.vacating_until_s.get(worker.worker_id, float("-inf"))
        return until_s - self.clock.now()

    def is_vacate_known(self, worker: WorkerState) -> bool:
        """Returns whether no vacate request to the last holder can be outstanding."""
        known = worker.worker_id in self.vacate_known
        return known or self.clock.now() >= self.vacate_due_s

    def is_token_confirmed(self, worker: WorkerState) -> bool:
        """Returns whether no later holder can have reached a worker.

        That holds while this holder is certain of its lease, or for a short time
        after a poll. A restarted worker knows no fencing token; only a poll shows
        the restart.
        """
        age_s = self.clock.now() - worker.polled_s
        return age_s < TOKEN_CONFIRMED_AGE_S or self.core.is_certain()

    def wake_sessions(self) -> None:
        """Polls idle workers where another holder or an old clock makes it needed."""
        now, certain = self.clock.now(), self.core.is_certain()
        for worker in self.core.workers.values():
            if not certain or worker.is_clock_stale(now):
                worker.wake.set()

    def ready(self) -> list[WorkerState]:
        """Returns the workers that may be sent a task now."""
        return [w for w in self.core.workers.values() if self.is_ready(w)]

    def end_sessions(self) -> None:
        """Stops polling all workers."""
        for _, task in self.sessions.values():
            task.cancel()
