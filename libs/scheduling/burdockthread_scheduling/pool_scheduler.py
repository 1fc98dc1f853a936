"""Runs the jobs of one pool on its workers, as the holder of the pool."""

import asyncio
from collections.abc import Awaitable, Callable, Coroutine
from contextlib import suppress
from typing import NamedTuple

from burdockthread_model.clock import Clock
from burdockthread_model.errors import (
    ConflictError,
    LeaseLostError,
    PeerUnavailableError,
    PlatformError,
    StoreError,
)
from burdockthread_model.events import EventLog
from burdockthread_model.metrics import Metrics
from burdockthread_model.records import RecordError
from burdockthread_store.prefix_cache import PrefixCache
from burdockthread_store.store import ANY_REVISION, Change, ConfigurationStore, KeyValue

from burdockthread_scheduling.board import Board, JobEnd, JobRun, TaskRun
from burdockthread_scheduling.duties import DOUBT_LIMIT_S, Duty, Tenure
from burdockthread_scheduling.estimates import DurationEstimates, Inflow
from burdockthread_scheduling.job_index import JobIndex
from burdockthread_scheduling.job_order import JobOrder
from burdockthread_scheduling.placement import choose_worker
from burdockthread_scheduling.pool_status import (
    PlannerAnswer,
    PoolStatus,
    WorkerStatus,
)
from burdockthread_scheduling.progress_writer import ProgressWriter
from burdockthread_scheduling.records import (
    JobPhase,
    JobProgress,
    decode,
    decode_job,
    encode,
    progress_prefix,
    work_prefix,
)
from burdockthread_scheduling.rescue import LaggardFinder
from burdockthread_scheduling.roster import WorkerRoster
from burdockthread_scheduling.sessions import (
    CALL_TIMEOUT_S,
    ReportListener,
    WorkerSession,
)
from burdockthread_scheduling.specs import FleetConfiguration, QueueSpec, TaskId
from burdockthread_scheduling.worker_health import WorkerHealth
from burdockthread_scheduling.worker_state import (
    CLOCK_RATE_BOUND,
    LAPSE_MARGIN_S,
    RUN_LEASE_MS,
    Placement,
    PlacementPhase,
    WorkerState,
)
from burdockthread_scheduling.workers import (
    Capacity,
    EndKind,
    EndReport,
    HoldReport,
    Refusal,
    RunReport,
    StartOrder,
    WorkerGateway,
    WorkerKey,
    WorkerRefusedError,
    WorkerReplacedError,
)

TICK_S = 0.1
STOP_RETRY_S = 0.2
FULL_PAUSE_S = 0.3
REFUSED_PAUSE_S = 0.5
STARTS_AT_ONCE = 4
# By then every lease has lapsed that a worker was given before.
LEASE_BOUND_S = RUN_LEASE_MS / 1000 * CLOCK_RATE_BOUND + LAPSE_MARGIN_S
ASSIGN_INTERVAL_S = 0.5
# Runs of one holder are numbered from its fencing token times this.
RUNS_PER_FENCE = 1_000
FULL_LIST = 500
STATUS_INTERVAL_S = 0.1
# An order to a machine may still be on its way after the planner's last word.
VACATE_HOLD_S = 3.0
# Tasks may take this long to end by themselves before they are stopped.
VACATE_PATIENCE_S = 3.0
AT_WORK_PERCENT = 100
# With fewer workers none is kept free for a lasting task.
MIN_SERVING_WORKERS = 2
# Work that ends late anyway draws fewer machines than work in time.
LATE_WORK_WEIGHT = 0.3
HAND_OVER_TIMEOUT_S = 0.8
HAND_OVER_POLL_S = 0.01


class AssignedWorkers(NamedTuple):
    """Workers on which runs of a pool may exist, kept at ``assigned/<pool>``.

    Attributes:
        workers: The workers.
        address: Address of the holder for other entries.
        process: Id of the holder's process.
        released: Whether the holder has given its last order.
    """

    workers: tuple[WorkerKey, ...]
    address: str
    process: str
    released: bool


class PoolParts(NamedTuple):
    """What the scheduler of a pool is built from.

    Attributes:
        entry: Name of this entry.
        address: Address of this entry for others.
        process: Id of this process.
        store: The store.
        jobs: States of all jobs.
        roster: Registered workers.
        gateway: Orders to workers.
        configuration: Returns the configuration in force.
        clock: Source of time.
        metrics: Counters.
        log: Events.
        report: Tells the planner of machines a status; returns its wishes, or
            None if it cannot be reached.
        release: Asks the entry at an address to give no more orders for a pool
            under fencing tokens below one; returns the id of its process.
    """

    entry: str
    address: str
    process: str
    store: ConfigurationStore
    jobs: JobIndex
    roster: WorkerRoster
    gateway: WorkerGateway
    configuration: Callable[[], FleetConfiguration]
    clock: Clock
    metrics: Metrics
    log: EventLog
    report: Callable[[PoolStatus], Awaitable[PlannerAnswer | None]]
    release: Callable[[str, str, int], Awaitable[str]]


class PoolScheduler(Duty, ReportListener):
    """The holder's work for one pool.

    Attributes:
        board: Jobs of the pool.
        workers: Workers by life.
        unreached: Workers of earlier holders that have not answered yet; tasks
            of theirs may run there until the clock time given.
    """

    def __init__(self, pool: str, tenure: Tenure, parts: PoolParts) -> None:
        self.pool = pool
        self.tenure = tenure
        self.parts = parts
        self.clock = parts.clock
        self.log = parts.log
        self.metrics = parts.metrics
        self.board = Board()
        self.workers: dict[WorkerKey, WorkerState] = {}
        self.sessions: dict[WorkerKey, tuple[WorkerSession, asyncio.Task[None]]] = {}
        self.unreached: dict[WorkerKey, float] = {}
        self.assigned: set[WorkerKey] = set()
        self.assigned_dirty = False
        self.assigned_s = float("-inf")
        self.assigning = False
        self.starting = 0
        self.reserved: Capacity | None = None
        self.cache = PrefixCache(parts.store, work_prefix(pool), self.clock)
        self.cache.listeners.append(self.on_work)
        self.progress: dict[str, JobProgress] = {}
        self.wake = asyncio.Event()
        self.tasks: set[asyncio.Task[None]] = set()
        self.vacating_until_s: dict[str, float] = {}
        self.vacating_since_s: dict[str, float] = {}
        self.estimates = DurationEstimates(self.clock)
        self.order = JobOrder(self.estimates, self.clock)
        self.laggards = LaggardFinder(self.estimates, self.clock)
        self.health = WorkerHealth(self.clock, self.metrics, self.log)
        self.inflow = Inflow()
        self.turn_ages_s: dict[str, float] = {}
        self.turn_ages_read_s = 0.0
        self.lost = ""
        self.closing = False
        self.loaded = False
        self.writer = ProgressWriter(
            parts.entry,
            tenure,
            pool,
            self.board,
            parts.store,
            self.clock,
            self.metrics,
            self.log,
            self.mark_ends,
            parts.jobs.note,
        )

    async def run(self) -> None:
        """Works until cancelled or until the duty is lost."""
        try:
            await self.take_over()
            self.spawn(self.cache.run())
            self.spawn(self.talk_to_planner())
            writer = self.spawn(self.writer.run())
            while not self.lost and not writer.done():
                self.wake.clear()
                self.round()
                with suppress(TimeoutError):
                    async with self.clock.timeout(TICK_S):
                        await self.wake.wait()
            self.log.info("pool_released", pool=self.pool, reason=self.lost)
        finally:
            for task in self.tasks:
                task.cancel()

    def spawn(self, work: Coroutine[None, None, None]) -> asyncio.Task[None]:
        """Starts work that ends with the duty."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.finished)
        return task

    def finished(self, task: asyncio.Task[None]) -> None:
        """Drops work that has ended; an error ends the duty."""
        self.tasks.discard(task)
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            self.lost = repr(error)
            self.log.error("pool_work_failed", pool=self.pool, reason=repr(error))
            self.wake.set()

    async def take_over(self) -> None:
        """Reads what earlier holders left, until the store has answered."""
        while True:
            try:
                await self.read_records()
                return
            except StoreError as error:
                self.log.info("takeover_waits", pool=self.pool, reason=error)
                await self.clock.sleep(TICK_S)

    async def read_records(self) -> None:
        """Reads the jobs, their progress and the workers assigned."""
        store = self.parts.store
        assigned = await store.get(f"assigned/{self.pool}")
        listing = await store.list(progress_prefix(self.pool))
        for item in listing.items:
            job_id = item.key.removeprefix(progress_prefix(self.pool))
            self.progress[job_id] = decode(item.value, JobProgress)
        await self.cache.refresh()
        if assigned is not None:
            self.expect_workers(decode(assigned.value, AssignedWorkers))
        self.assigned_dirty = True
        self.loaded = True
        self.log.info(
            "pool_taken_over",
            pool=self.pool,
            fence=self.tenure.fence,
            jobs=len(self.board.jobs),
            workers_expected=len(self.unreached),
        )

    def expect_workers(self, left: AssignedWorkers) -> None:
        """Notes the workers on which runs of an earlier holder may exist."""
        silent_s = 0.0 if left.released else DOUBT_LIMIT_S
        lapsed_s = self.clock.now() + silent_s + LEASE_BOUND_S
        for key in left.workers:
            self.unreached[WorkerKey(*key)] = lapsed_s
        if not left.released and self.unreached:
            self.spawn(self.ask_predecessor(left))

    async def ask_predecessor(self, left: AssignedWorkers) -> None:
        """Makes sure that the last holder gives no more orders.

        A process that answers under another id is its successor, so that the
        holder has ended.
        """
        while self.unreached:
            if left.process == self.parts.process:
                break
            try:
                fence = self.tenure.fence
                process = await self.parts.release(left.address, self.pool, fence)
                self.log.info(
                    "predecessor_silent",
                    pool=self.pool,
                    address=left.address,
                    restarted=process != left.process,
                )
                break
            except PeerUnavailableError:
                await self.clock.sleep(STOP_RETRY_S)
        lapsed_s = self.clock.now() + LEASE_BOUND_S
        for key, until_s in self.unreached.items():
            self.unreached[key] = min(until_s, lapsed_s)

    # Jobs

    def on_work(self, key: str, item: KeyValue | None) -> None:
        """Takes in a job that was accepted or cancelled."""
        job_id = key.removeprefix(work_prefix(self.pool))
        if item is None:
            return
        try:
            spec = decode_job(item.value)
        except RecordError as error:
            self.log.error("job_unreadable", job=job_id, reason=error)
            return
        if spec is None:
            self.on_cancelled(job_id)
        elif job_id not in self.board.jobs:
            queue = self.queue_of(spec.queue)
            job = JobRun(spec, queue, item.revision, adopted=not self.loaded)
            known = self.parts.jobs.jobs.get(job_id)
            if known is not None and known.record.phase is JobPhase.ACCEPTED:
                job.revision = known.revision
            self.add_job(job)
        self.wake.set()

    def queue_of(self, name: str) -> QueueSpec:
        """Returns a queue; one that is gone from the configuration gets defaults."""
        queue = self.parts.configuration().queues.get(name)
        return queue or QueueSpec(name, "", "", self.pool)

    def add_job(self, job: JobRun) -> None:
        """Puts a job on the board."""
        progress = self.progress.pop(job.spec.job_id, None)
        if progress is not None:
            job.restore(progress)
        self.board.jobs[job.spec.job_id] = job
        if not job.adopted:
            work = sum(
                task.size.cpu_milli * self.estimates.left_s(task)
                for task in job.open_tasks()
                if not task.step.lasting
            )
            self.inflow.add(work, self.clock.now())
        if job.end is not None:
            self.writer.mark(job)
        self.log.info(
            "job_taken",
            job=job.spec.job_id,
            queue=job.spec.queue,
            revision=job.revision,
            steps=" ".join(step.summary() for step in job.spec.steps),
            age_ms=int(self.clock.wall() * 1000) - job.spec.accepted_ms,
        )

    def on_cancelled(self, job_id: str) -> None:
        """Takes in that a job was cancelled."""
        job = self.board.jobs.get(job_id)
        if job is None:
            self.progress.pop(job_id, None)
            self.spawn(self.remove_cancelled(job_id))
            return
        if job.end is JobEnd.CANCELLED:
            return
        job.end = JobEnd.CANCELLED
        self.log.info("job_cancelled", job=job_id)
        self.stop_job(job)
        self.writer.clear(job)

    async def remove_cancelled(self, job_id: str) -> None:
        """Removes the keys of a cancelled job that this holder never ran."""
        changes = [
            Change(work_prefix(self.pool) + job_id, None, ANY_REVISION),
            Change(progress_prefix(self.pool) + job_id, None, ANY_REVISION),
        ]
        with suppress(StoreError, PlatformError):
            await self.parts.store.write(changes, [self.tenure.guard])

    def stop_job(self, job: JobRun) -> None:
        """Stops all runs of a job."""
        for worker in self.workers.values():
            for placement in tuple(worker.placements.values()):
                if placement.task_id.job_id == job.spec.job_id:
                    self.stop(placement, "job ended")

    # Workers

    def sync_workers(self) -> None:
        """Follows the registrations."""
        now = self.clock.now()
        listings = self.parts.roster.workers(self.pool)
        for key, listing in listings.items():
            worker = self.workers.get(key)
            if worker is None:
                self.add_worker(WorkerState(listing, now))
            else:
                worker.listing = listing
                worker.listed = True
                if listing.draining and worker.draining_since_s is None:
                    worker.draining_since_s = now
                    self.log.info("worker_draining", worker=worker.worker_id)
                if worker.placements:
                    worker.busy_s = now
        for key, worker in tuple(self.workers.items()):
            if key not in listings:
                self.on_unlisted(worker)

    def add_worker(self, worker: WorkerState) -> None:
        """Starts the session of a worker."""
        key = worker.listing.key
        self.workers[key] = worker
        session = WorkerSession(
            worker,
            self.tenure.fence,
            self.parts.gateway,
            self,
            self.clock,
            self.metrics,
            self.log,
        )
        self.sessions[key] = (session, self.spawn(session.run()))
        self.log.info("worker_seen", worker=worker.worker_id, pool=self.pool)

    def on_unlisted(self, worker: WorkerState) -> None:
        """Drops a worker that is no longer registered, once nothing is on it."""
        worker.listed = False
        if not worker.placements:
            self.drop_worker(worker, "not registered")

    def drop_worker(self, worker: WorkerState, reason: str) -> None:
        """Forgets a worker."""
        key = worker.listing.key
        if self.workers.pop(key, None) is None:
            return
        _, task = self.sessions.pop(key)
        task.cancel()
        self.assigned_dirty = True
        self.log.info("worker_dropped", worker=worker.worker_id, reason=reason)

    def on_fenced(self, worker: WorkerState) -> None:
        """Takes in that a worker obeys a later holder."""
        self.lost = f"fenced by {worker.worker_id}"
        self.wake.set()

    def on_replaced(self, worker: WorkerState) -> None:
        """Takes in that a worker has ended; all its runs have ended with it."""
        self.log.info("worker_replaced", worker=worker.worker_id)
        worker.replaced = True
        self.unreached.pop(worker.listing.key, None)
        self.lose_runs(worker)
        self.wake.set()

    def lose_runs(self, worker: WorkerState) -> None:
        """Takes all runs of a worker as ended."""
        now = self.clock.now()
        for placement in tuple(worker.placements.values()):
            worker.remove(placement)
            if placement.task is not None:
                placement.task.waiting_since_s = now

    def expire_leases(self) -> None:
        """Takes the runs on unreachable workers as ended once leases lapsed."""
        now = self.clock.now()
        for worker in self.workers.values():
            if worker.placements and worker.failed_calls and now > worker.lapse_s():
                self.log.warning(
                    "worker_leases_lapsed",
                    worker=worker.worker_id,
                    runs=len(worker.placements),
                    lasting=worker.lasting(),
                    contact_age_s=round(now - worker.contact_s, 3),
                )
                worker.contacted = False
                self.lose_runs(worker)
        for key, lapsed_s in tuple(self.unreached.items()):
            if now > lapsed_s:
                del self.unreached[key]
                self.log.warning("unreached_worker_lapsed", worker=key.worker_id)

    # Reports

    def on_report(self, worker: WorkerState, report: HoldReport, sent_s: float) -> None:
        """Takes in a worker's lists."""
        if not worker.contacted:
            worker.contacted = True
            self.unreached.pop(worker.listing.key, None)
        listed = set()
        for run in report.running:
            listed.add((run.task, run.run))
            self.on_running(worker, run)
        for end in report.ended:
            listed.add((end.task, end.run))
            if end.number > worker.seen_end:
                worker.seen_end = end.number
                self.on_end(worker, end)
        if len(report.ended) < FULL_LIST and len(report.running) < FULL_LIST:
            self.drop_missing(worker, listed, sent_s)
        if worker.seen_end > worker.settled_end:
            self.writer.work.set()
        self.wake.set()

    def on_running(self, worker: WorkerState, run: RunReport) -> None:
        """Takes in a run that goes on."""
        now = self.clock.now()
        placement = worker.placements.get((run.task, run.run))
        if placement is None:
            placement = self.adopt(worker, run)
        placement.confirm(now)
        if placement.task is not None and placement.task.step.lasting:
            placement.percent = run.percent
            if run.percent >= AT_WORK_PERCENT:
                self.health.succeed(worker)
        else:
            placement.advance(run.percent, now)
        placement.measure = run.measure
        if placement.task is not None and run.checkpoint:
            placement.task.checkpoint = run.checkpoint

    def adopt(self, worker: WorkerState, run: RunReport) -> Placement:
        """Takes over a run that an earlier holder has started."""
        now = self.clock.now()
        task = self.board.find(run.task)
        wanted = task is not None and not task.placements
        size = task.size if task is not None else Capacity()
        placement = Placement(
            task if wanted else None, run.task, run.run, worker, size, now
        )
        worker.add(placement)
        if task is not None and wanted:
            task.placements.append(placement)
            task.last_run = max(task.last_run, run.run)
            task.job.begun = True
        else:
            self.stop(placement, "not wanted")
        self.log.info(
            "run_adopted",
            task=run.task,
            run=run.run,
            worker=worker.worker_id,
            wanted=wanted,
        )
        return placement

    def on_end(self, worker: WorkerState, end: EndReport) -> None:
        """Takes in a run that has ended."""
        placement = worker.placements.get((end.task, end.run))
        if placement is not None:
            worker.remove(placement)
        job = self.board.jobs.get(end.task.job_id)
        task = self.board.find(end.task)
        self.metrics.count(f"runs.{end.kind.value}")
        self.log.info(
            "run_ended",
            task=end.task,
            run=end.run,
            worker=worker.worker_id,
            how=end.kind.value,
            number=end.number,
        )
        if job is None or task is None:
            return
        task.waiting_since_s = self.clock.now()
        if end.kind is EndKind.SUCCEEDED:
            self.health.succeed(worker)
            if placement is not None:
                self.estimates.learn(task, placement)
            self.succeed(job, end.task)
        elif end.kind is EndKind.FAILED:
            self.fail(job, task, worker, end.run)
        elif end.checkpoint:
            task.checkpoint = end.checkpoint

    def succeed(self, job: JobRun, task_id: TaskId) -> None:
        """Notes that a task has succeeded."""
        for task in job.succeed(task_id):
            for placement in tuple(task.placements):
                self.stop(placement, "task succeeded")
        self.writer.mark(job)

    def fail(self, job: JobRun, task: TaskRun, worker: WorkerState, run: int) -> None:
        """Notes that a run has failed."""
        task.failed_on.add(worker.worker_id)
        self.health.fail(worker, task, len(self.workers))
        if task.step.lasting:
            return
        task.failures.add(run)
        job.dirty = True
        self.writer.mark(job)
        if len(task.failures) < job.queue.max_attempts:
            return
        job.end = JobEnd.FAILED
        self.log.info("job_failed", job=job.spec.job_id, task=task.task)
        self.stop_job(job)

    def drop_missing(
        self, worker: WorkerState, listed: set[tuple[TaskId, int]], sent_s: float
    ) -> None:
        """Drops the runs that a worker knew of and no longer has."""
        for key, placement in tuple(worker.placements.items()):
            if key not in listed and placement.certain_s < sent_s:
                worker.remove(placement)
                if placement.task is not None:
                    placement.task.waiting_since_s = self.clock.now()

    def mark_ends(self) -> Callable[[], None]:
        """Returns what lets the workers forget the ends seen until now."""
        seen = [(worker, worker.seen_end) for worker in self.workers.values()]

        def settle() -> None:
            for worker, number in seen:
                if number > worker.settled_end:
                    worker.settled_end = number
                    entry = self.sessions.get(worker.listing.key)
                    if entry is not None:
                        entry[0].stored.set()
                        worker.wake.set()

        return settle

    # Machines

    async def talk_to_planner(self) -> None:
        """Tells the planner of machines the demand, until cancelled."""
        while True:
            await self.clock.sleep(STATUS_INTERVAL_S)
            if not self.loaded:
                continue
            answer = await self.parts.report(self.status())
            if answer is not None:
                self.turn_ages_s = answer.turn_ages_s
                self.turn_ages_read_s = self.clock.now()
                self.take_wishes(answer)

    def take_wishes(self, answer: PlannerAnswer) -> None:
        """Takes in which workers the planner wants empty."""
        now = self.clock.now()
        for worker_id in answer.vacate:
            if worker_id not in self.vacating_until_s:
                self.log.info("worker_vacating", worker=worker_id, pool=self.pool)
            self.vacating_since_s.setdefault(worker_id, now)
            self.vacating_until_s[worker_id] = now + VACATE_HOLD_S
        for worker_id, until_s in tuple(self.vacating_until_s.items()):
            if now >= until_s:
                del self.vacating_until_s[worker_id]
                del self.vacating_since_s[worker_id]
                self.log.info("worker_kept", worker=worker_id, pool=self.pool)
        self.wake.set()

    def status(self) -> PoolStatus:
        """Returns the demand and the workers of the pool."""
        now = self.clock.now()
        workers = tuple(
            WorkerStatus(
                worker_id=worker.worker_id,
                cpu_milli=worker.listing.capacity.cpu_milli,
                used_milli=worker.used_cpu,
                runs=len(worker.placements),
                lasting=worker.lasting(),
                vacating=worker.worker_id in self.vacating_until_s,
                usable=self.is_reachable(worker),
                idle_s=now - worker.busy_s,
            )
            for worker in self.workers.values()
        )
        demand = self.demand()
        passed_s = now - self.turn_ages_read_s
        turn_ages_s = {
            pool: age_s + passed_s for pool, age_s in self.turn_ages_s.items()
        }
        return PoolStatus(self.pool, self.tenure.fence, *demand, workers, turn_ages_s)

    def demand(self) -> tuple[int, int, float, float]:
        """Returns lasting and running processors, waiting work and inflow."""
        lasting = running = 0
        waiting = 0.0
        for job in self.board.jobs.values():
            if job.end is not None:
                continue
            late = not job.spec.is_lasting() and self.order.rank(job).late
            weight = LATE_WORK_WEIGHT if late else 1.0
            for task in job.open_tasks():
                if task.step.fills:
                    continue
                if task.step.lasting:
                    lasting += task.size.cpu_milli
                    continue
                if task.placements:
                    running += task.size.cpu_milli
                else:
                    work = task.size.cpu_milli * self.estimates.left_s(task)
                    waiting += work * weight
        return lasting, running, waiting, self.inflow.per_s(self.clock.now())

    def vacate(self) -> Capacity | None:
        """Moves tasks off the workers that are to be emptied or are leaving.

        Returns:
            Room that a lasting task needs elsewhere and does not find, if any.
        """
        now = self.clock.now()
        needed: Capacity | None = None
        for worker in self.workers.values():
            since_s = self.vacating_since_s.get(worker.worker_id)
            if worker.listing.draining:
                since_s = worker.draining_since_s
            if since_s is None or not worker.placements:
                continue
            for placement in tuple(worker.placements.values()):
                task = placement.task
                if task is None or placement.phase is not PlacementPhase.CONFIRMED:
                    continue
                if task.step.lasting:
                    if not self.move_lasting(placement, task):
                        needed = task.size
                elif now - since_s > VACATE_PATIENCE_S:
                    self.stop(placement, "worker is to be emptied")
        return needed

    def move_lasting(self, placement: Placement, task: TaskRun) -> bool:
        """Moves a lasting task if so many of its step may be missing.

        Returns:
            Whether there is room for it elsewhere.
        """
        step = task.job.step_run(task.task.occurrence, task.task.step)
        if step is None:
            return True
        missing = sum(1 for other in step.open_tasks.values() if not is_at_work(other))
        leaving = placement.worker.listing.draining
        ready = [w for w in self.workers.values() if self.is_ready(w)]
        if choose_worker(task, ready, self.health) is None:
            return False
        if missing < max(task.step.max_unavailable, 1) or leaving:
            self.stop(placement, "worker is to be emptied")
        return True

    # Decisions

    def round(self) -> None:
        """Starts what can be started."""
        self.sync_workers()
        self.expire_leases()
        self.assign_workers()
        self.reserved = self.vacate()
        if self.closing or not self.loaded:
            return
        self.order.keep_only(self.board.jobs)
        wall_ms = self.clock.wall() * 1000
        ready = [worker for worker in self.workers.values() if self.is_ready(worker)]
        if not ready:
            return
        jobs = self.jobs_in_order(wall_ms)
        for job in jobs:
            if job.spec.is_lasting():
                self.place_job(job, ready)
        ready = self.without_reserved(ready)
        for job in jobs:
            if not job.spec.is_lasting():
                self.place_job(job, ready)
        self.rescue(ready)

    def without_reserved(self, ready: list[WorkerState]) -> list[WorkerState]:
        """Leaves out the emptiest worker while a lasting task waits for room."""
        if self.reserved is None or len(ready) < MIN_SERVING_WORKERS:
            return ready
        emptiest = min(ready, key=lambda worker: worker.used_cpu)
        return [worker for worker in ready if worker is not emptiest]

    def jobs_in_order(self, wall_ms: float) -> list[JobRun]:
        """Returns the jobs whose tasks may start, the first to be served first."""
        jobs = []
        for job in self.board.jobs.values():
            if job.end is not None or (job.adopted and self.unreached):
                continue
            job.open_due(wall_ms)
            if any(not task.placements for task in job.open_tasks()):
                jobs.append(job)
        return sorted(jobs, key=self.order.rank)

    def rescue(self, ready: list[WorkerState]) -> None:
        """Copies or restarts runs that a fresh one would overtake."""
        for found in tuple(self.laggards.find(self.board.jobs.values())):
            slow = found.placement.worker
            others = [worker for worker in ready if worker is not slow]
            worker = choose_worker(found.task, others, self.health)
            if worker is None:
                continue
            self.health.stall(slow, found.task, len(self.workers))
            self.metrics.count("runs.rescued")
            self.log.info(
                "run_overtaken",
                task=found.task.task,
                run=found.placement.run,
                worker=slow.worker_id,
                percent=found.placement.percent,
                left_s=round(min(found.left_s, 1e6), 3),
                fresh_s=round(found.fresh_s, 3),
                copied=found.task.step.duplicates_allowed,
            )
            if found.task.step.duplicates_allowed:
                self.start(found.task, worker)
            elif not slow.failed_calls:
                self.stop(found.placement, "too slow")

    def is_reachable(self, worker: WorkerState) -> bool:
        """Returns whether a worker may get tasks, unless it is full or vacating."""
        return (
            worker.listed
            and worker.contacted
            and not worker.replaced
            and not worker.listing.draining
            and not worker.failed_calls
            and worker.listing.key in self.assigned
        )

    def is_ready(self, worker: WorkerState) -> bool:
        """Returns whether a worker takes orders now."""
        return (
            self.is_reachable(worker)
            and not self.health.is_rested(worker)
            and worker.worker_id not in self.vacating_until_s
            and self.clock.now() >= worker.full_until_s
        )

    def assign_workers(self) -> None:
        """Records the workers that may get orders before they get any."""
        now = self.clock.now()
        missing = self.workers.keys() - self.assigned
        stale = self.assigned_dirty and now - self.assigned_s >= ASSIGN_INTERVAL_S
        if (missing or stale) and not self.assigning:
            self.assigning = True
            self.spawn(self.record_assigned(set(self.workers)))

    async def record_assigned(self, workers: set[WorkerKey]) -> None:
        """Writes the workers that may get orders."""
        self.assigned_dirty = False
        try:
            await self.write_assigned(workers, released=False)
        except (StoreError, ConflictError) as error:
            self.assigned_dirty = True
            self.log.info("workers_not_assigned", pool=self.pool, reason=error)
            await self.clock.sleep(TICK_S)
            return
        finally:
            self.assigning = False
        self.assigned = workers
        self.assigned_s = self.clock.now()
        self.wake.set()

    async def write_assigned(self, workers: set[WorkerKey], *, released: bool) -> None:
        """Writes the workers on which runs may exist."""
        kept = workers | self.unreached.keys()
        record = AssignedWorkers(
            tuple(sorted(kept)), self.parts.address, self.parts.process, released
        )
        change = Change(f"assigned/{self.pool}", encode(record), ANY_REVISION)
        await self.parts.store.write([change], [self.tenure.guard])

    def place_job(self, job: JobRun, ready: list[WorkerState]) -> None:
        """Starts the tasks of a job that have room."""
        for step in job.runnable_steps():
            for task in step.open_tasks.values():
                if task.placements:
                    continue
                worker = choose_worker(task, ready, self.health)
                if worker is None:
                    continue
                self.start(task, worker)

    def start(self, task: TaskRun, worker: WorkerState) -> None:
        """Orders a run of a task."""
        first = self.tenure.fence * RUNS_PER_FENCE
        task.last_run = max(task.last_run + 1, first)
        now = self.clock.now()
        placement = Placement(task, task.task, task.last_run, worker, task.size, now)
        task.placements.append(placement)
        worker.add(placement)
        worker.wake.set()
        self.spawn(self.send_start(placement, task))

    async def send_start(self, placement: Placement, task: TaskRun) -> None:
        """Sends the order of a run and takes in the answer."""
        self.starting += 1
        try:
            await self.try_start(placement, task)
        finally:
            self.starting -= 1

    async def try_start(self, placement: Placement, task: TaskRun) -> None:
        """Sends the order of a run once."""
        worker = placement.worker
        order = StartOrder(
            task=task.task,
            run=placement.run,
            payload=task.job.spec.payload,
            lease_until_ms=worker.next_lease_ms(self.clock.now()),
            fence=self.tenure.fence,
            checkpoint=task.checkpoint,
        )
        sent_s = self.clock.now()
        try:
            answer = await self.parts.gateway.start(
                worker.listing, order, CALL_TIMEOUT_S
            )
        except WorkerReplacedError:
            self.on_replaced(worker)
            return
        except WorkerRefusedError as error:
            self.on_refused(placement, str(error))
            worker.full_until_s = self.clock.now() + REFUSED_PAUSE_S
            return
        except PlatformError as error:
            self.on_no_answer(placement, error)
            return
        now = self.clock.now()
        self.metrics.timing("worker.start", now - sent_s)
        if answer.refusal is None:
            placement.confirm(now)
            self.begin(task)
            self.log.info(
                "run_started",
                task=task.task,
                run=placement.run,
                worker=worker.worker_id,
                fence=self.tenure.fence,
            )
        elif answer.refusal is Refusal.FENCED:
            self.on_fenced(worker)
        else:
            self.on_refused(placement, answer.refusal.value)
            worker.full_until_s = now + FULL_PAUSE_S

    def begin(self, task: TaskRun) -> None:
        """Notes that a task of a job has started."""
        task.job.begun = True

    def on_refused(self, placement: Placement, reason: str) -> None:
        """Takes in that a run was not started."""
        placement.worker.remove(placement)
        self.metrics.count("runs.refused")
        self.log.info(
            "run_refused",
            task=placement.task_id,
            run=placement.run,
            worker=placement.worker.worker_id,
            reason=reason,
        )
        self.wake.set()

    def on_no_answer(self, placement: Placement, error: PlatformError) -> None:
        """Takes in that an order was not answered; it may take effect later."""
        self.metrics.count("runs.unanswered")
        self.log.info(
            "run_unanswered",
            task=placement.task_id,
            run=placement.run,
            worker=placement.worker.worker_id,
            reason=error,
        )
        if placement.phase is PlacementPhase.ORDERED:
            placement.phase = PlacementPhase.DOUBTFUL
            self.stop(placement, "no answer to its order")

    def stop(self, placement: Placement, reason: str) -> None:
        """Stops a run, or keeps one from starting later."""
        if placement.phase is PlacementPhase.STOPPING:
            return
        placement.phase = PlacementPhase.STOPPING
        placement.certain_s = float("inf")
        self.log.info(
            "run_stopping",
            task=placement.task_id,
            run=placement.run,
            worker=placement.worker.worker_id,
            reason=reason,
        )
        self.spawn(self.send_stop(placement))

    async def send_stop(self, placement: Placement) -> None:
        """Repeats a stop until the worker has answered or the run has ended."""
        worker = placement.worker
        key = (placement.task_id, placement.run)
        while worker.placements.get(key) is placement and not worker.replaced:
            try:
                answer = await self.parts.gateway.stop(
                    worker.listing, *key, self.tenure.fence, CALL_TIMEOUT_S
                )
            except WorkerReplacedError:
                self.on_replaced(worker)
                return
            except PlatformError as error:
                self.log.info(
                    "stop_unanswered",
                    task=placement.task_id,
                    run=placement.run,
                    worker=worker.worker_id,
                    reason=error,
                )
                await self.clock.sleep(STOP_RETRY_S)
                continue
            if answer.refusal is Refusal.FENCED:
                self.on_fenced(worker)
                return
            if answer.refusal is None:
                placement.certain_s = self.clock.now()
                worker.wake.set()
                return
            await self.clock.sleep(STOP_RETRY_S)

    async def hand_over(self) -> None:
        """Gives no more orders, then stores what has ended and what runs where."""
        self.closing = True
        with suppress(StoreError, ConflictError, TimeoutError, LeaseLostError):
            async with self.clock.timeout(HAND_OVER_TIMEOUT_S):
                while self.starting:
                    await self.clock.sleep(HAND_OVER_POLL_S)
                for _, session in self.sessions.values():
                    session.cancel()
                await self.writer.flush()
                busy = {key for key, w in self.workers.items() if w.placements}
                await self.write_assigned(busy, released=True)
        self.log.info("pool_handed_over", pool=self.pool, jobs=len(self.board.jobs))


def is_at_work(task: TaskRun) -> bool:
    """Returns whether a lasting task works and is not about to be stopped."""
    return any(
        placement.phase is PlacementPhase.CONFIRMED
        and placement.percent >= AT_WORK_PERCENT
        for placement in task.placements
    )
