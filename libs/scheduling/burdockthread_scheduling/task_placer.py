"""Decides which waiting tasks start now, and on which workers."""

from collections.abc import Callable, Sequence

from burdockthread_scheduling.board import JobRun, StepRun, TaskRun
from burdockthread_scheduling.evacuation import Evacuation
from burdockthread_scheduling.fair_shares import ShareRound
from burdockthread_scheduling.placement import (
    SizesWithoutRoom,
    choose_worker,
    racks_by_room,
)
from burdockthread_scheduling.placement_policy import PolicyTickets, StepId
from burdockthread_scheduling.pool_core import PoolCore
from burdockthread_scheduling.pool_shares import PoolShares
from burdockthread_scheduling.pool_workers import PoolWorkers
from burdockthread_scheduling.quota_share import QuotaShare
from burdockthread_scheduling.run_orders import RunOrders
from burdockthread_scheduling.stragglers import Straggler, StragglerFinder
from burdockthread_scheduling.worker_state import WorkerState

RESCUE_INTERVAL_S = 0.1


class TaskPlacer:
    """Starts tasks in the order of their jobs, and handles stragglers.

    Attributes:
        shares: Shares of organisations that bound the starts, or None.
        rescued_s: Clock time of the last search for stragglers.
    """

    def __init__(
        self,
        core: PoolCore,
        workers: PoolWorkers,
        orders: RunOrders,
        evacuation: Evacuation,
        tickets: PolicyTickets,
        quotas: QuotaShare,
    ) -> None:
        self.core = core
        self.quotas = quotas
        self.pool_shares = PoolShares(core, quotas)
        self.shares: ShareRound | None = None
        self.workers = workers
        self.orders = orders
        self.evacuation = evacuation
        self.tickets = tickets
        self.stragglers = StragglerFinder(core.estimates, core.clock)
        self.rescued_s = float("-inf")

    def step(self) -> None:
        """Starts the tasks that can be placed; runs once per scheduling round."""
        core = self.core
        core.order.keep_only(core.board.jobs)
        self.quotas.begin_round()
        self.tickets.keep_only(core.board.jobs)
        jobs = self.jobs_in_order()
        ready = self.workers.ready()
        if not ready:
            return
        full = SizesWithoutRoom()
        for job in jobs:
            if job.spec.is_lasting():
                self.place_job(job, ready, full)
        ready = self.evacuation.without_reserved(ready)
        finite = [job for job in jobs if not job.spec.is_lasting()]
        self.shares = self.pool_shares.begin_round(ready)
        if self.shares is not None:
            for job in finite:
                self.place_job(job, ready, full)
            # What remains goes to surplus jobs too, by the order of the jobs alone. The
            # others have been placed as far as room and quotas allow.
            self.shares = None
            finite = [job for job in finite if job.surplus]
        for job in finite:
            self.place_job(job, ready, full)
        for request in self.tickets.begin_requests():
            core.spawn(self.ask(*request))
        if core.clock.now() - self.rescued_s >= RESCUE_INTERVAL_S:
            self.rescued_s = core.clock.now()
            self.rescue(ready, full)

    def jobs_in_order(self) -> list[JobRun]:
        """Returns the jobs with tasks that may start, in the order of their ranks."""
        core = self.core
        wall_ms = core.clock.wall() * 1000
        jobs = []
        for job in core.board.jobs.values():
            if job.end is not None or job.held_back:
                continue
            job.open_due(wall_ms)
            if any(
                self.is_waiting(task)
                for step in job.runnable_steps()
                for task in step.open_tasks.values()
            ):
                jobs.append(job)
        return sorted(jobs, key=core.order.rank)

    def is_waiting(self, task: TaskRun) -> bool:
        """Returns whether a task has no run and may get one.

        Runs of earlier holders may exist on workers that have not answered. Once no
        other entry can hold the pool, none has held it since the holder's lease began,
        so that a lost run has really ended.
        """
        if self.workers.assignment.unreached and not task.job.is_located(task):
            return False
        if task.unaccounted and self.core.is_certain():
            task.unaccounted = False
        return not task.placements and not task.unaccounted

    def place_job(
        self, job: JobRun, ready: list[WorkerState], full: SizesWithoutRoom
    ) -> None:
        """Starts the tasks of a job for which there is room."""
        for step in job.runnable_steps():
            if not self.orders.window.has_room():
                return
            allowed = self.allowed(job, step, ready)
            if step.spec.gang:
                self.place_gang(step, allowed)
            else:
                self.place_step(step, allowed, full)

    def place_step(
        self, step: StepRun, allowed: list[WorkerState], full: SizesWithoutRoom
    ) -> None:
        """Starts the tasks of a step until one gets no worker; all have one size."""
        for task in step.open_tasks.values():
            if not self.is_waiting(task):
                continue
            if full.covers(task) or not self.orders.window.has_room():
                return
            if not self.is_admitted([task]):
                return
            worker = choose_worker(task, allowed, self.core.health)
            if worker is None:
                if task.job.queue.placement_policy is None:
                    full.note(task, allowed)
                return
            self.start(task, worker)

    def start(self, task: TaskRun, worker: WorkerState, run: int = 0) -> None:
        """Starts a run of a task, and counts it against quota and share."""
        self.quotas.note(task)
        if self.shares is not None:
            self.shares.note(task.job.spec.organisation, task.size)
        self.orders.start(task, worker, run)

    def is_admitted(self, tasks: Sequence[TaskRun]) -> bool:
        """Returns whether quota and share allow the start of tasks of one job."""
        job = tasks[0].job
        if self.shares is not None and job.surplus:
            size = [
                sum(amounts) for amounts in zip(*(t.size for t in tasks), strict=True)
            ]
            if not self.shares.allows(job.spec.organisation, size):
                return False
        return self.quotas.admits(tasks)

    def allowed(
        self, job: JobRun, step: StepRun, ready: list[WorkerState]
    ) -> list[WorkerState]:
        """Returns the workers that the policy of the job's queue allows."""
        if job.queue.placement_policy is None:
            return ready
        step_id = StepId(job.spec.job_id, step.occurrence, step.number)
        waiting = [t for t in step.open_tasks.values() if self.is_waiting(t)]
        if not waiting:
            return []
        found = [w for w in ready if self.tickets.ticket(waiting[0].task, w.worker_id)]
        room = sum(w.fits(waiting[0].size, fills=step.spec.fills) for w in found)
        if room < len(waiting):
            by_room = sorted(ready, key=lambda worker: worker.used_cpu)
            names = [worker.worker_id for worker in by_room]
            self.tickets.want(step_id, self.tickets.without_answer(step_id, names))
        return found

    async def ask(self, step: StepId, workers: Sequence[str]) -> None:
        """Asks the policy service, then wakes the scheduler."""
        await self.tickets.ask(step, workers)
        self.core.wake.set()

    def place_gang(self, step: StepRun, ready: list[WorkerState]) -> None:
        """Starts all members of a gang together, or none."""
        members = list(step.open_tasks.values())
        if not all(self.is_waiting(member) for member in members):
            return
        if not self.is_admitted(members):
            return
        for rack in racks_by_room(ready) if step.spec.same_rack else ():
            among = [worker for worker in ready if rack in worker.listing.labels]
            if self.start_gang(members, among):
                return
        self.start_gang(members, ready)

    def start_gang(self, members: list[TaskRun], ready: list[WorkerState]) -> bool:
        """Starts a gang if all members have room; returns whether they started."""
        chosen: list[tuple[TaskRun, WorkerState]] = []
        undo: list[Callable[[], None]] = []
        for member in members:
            worker = choose_worker(member, ready, self.core.health)
            if worker is None:
                break
            chosen.append((member, worker))
            undo.append(worker.hold_room(member))
        for release in undo:
            release()
        if len(chosen) < len(members):
            return False
        run = max(self.orders.next_run(member) for member in members)
        checkpoint = max((member.checkpoint for member in members), key=len)
        for member, worker in chosen:
            member.checkpoint = checkpoint
            self.start(member, worker, run)
        return True

    def rescue(self, ready: list[WorkerState], full: SizesWithoutRoom) -> None:
        """Duplicates or restarts stragglers for which a worker has room."""
        for found in tuple(self.stragglers.find(self.core.board.jobs.values())):
            if not self.orders.window.has_room():
                return
            if full.covers(found.task):
                continue
            if found.task.step.duplicates_allowed and not self.quotas.admits(
                [found.task]
            ):
                continue
            slow = found.placement.worker
            others = [worker for worker in ready if worker is not slow]
            worker = choose_worker(found.task, others, self.core.health)
            if worker is None:
                full.note(found.task, ready)
            else:
                self.overtake(found, worker)

    def overtake(self, found: Straggler, worker: WorkerState) -> None:
        """Starts a duplicate of a straggler, or stops it so that the task restarts."""
        core, slow = self.core, found.placement.worker
        core.health.stall(slow, found.task, len(core.workers))
        core.metrics.count("runs.rescued")
        core.log.info(
            "run_overtaken",
            task=found.task.task,
            run=found.placement.run,
            worker=slow.worker_id,
            percent=found.placement.percent,
            left_s=round(min(found.left_s, 1e6), 3),
            fresh_s=round(found.fresh_s, 3),
            copied=found.task.step.duplicates_allowed,
            restarts=len(found.task.foreseen_s),
        )
        if found.task.step.duplicates_allowed:
            self.start(found.task, worker)
        else:
            ran_s = core.clock.now() - found.placement.ordered_s
            found.task.foreseen_s.append(ran_s + found.left_s)
            self.orders.stop(found.placement, "too slow")
