"""The duty of a pool's holder: runs the jobs of the pool on its workers."""

import asyncio
from contextlib import suppress

from burdockthread_model.errors import (
    ConflictError,
    LeaseLostError,
    StoreError,
)
from burdockthread_model.records import RecordError
from burdockthread_store.prefix_cache import PrefixCache
from burdockthread_store.store import ANY_REVISION, Change, KeyValue

from burdockthread_scheduling.board import JobEnd, JobRun
from burdockthread_scheduling.duty import Duty, Tenure
from burdockthread_scheduling.evacuation import Evacuation
from burdockthread_scheduling.pacing import Pacing
from burdockthread_scheduling.placement_policy import PolicyTickets
from burdockthread_scheduling.planner_link import PlannerLink
from burdockthread_scheduling.pool_core import PoolCore, PoolParts
from burdockthread_scheduling.pool_workers import PoolWorkers
from burdockthread_scheduling.progress_writer import ProgressWriter
from burdockthread_scheduling.quota_link import QuotaLink
from burdockthread_scheduling.quota_share import QuotaShare
from burdockthread_scheduling.records import (
    JobPhase,
    JobProgress,
    decode,
    decode_job,
    progress_prefix,
    work_prefix,
)
from burdockthread_scheduling.run_orders import RunOrders
from burdockthread_scheduling.run_reports import RunReports
from burdockthread_scheduling.task_placer import TaskPlacer

TICK_S = 0.1
# The pause after a round lets reports that arrive close together share one round,
# and leaves other tasks of the process at least as much time as the round took.
ROUND_PAUSE_S = 0.01
MAX_ROUND_PAUSE_S = 0.1
RETRY_S = 0.1
REMOVE_RETRY_S = 1.0
STORE_RETRY_MAX_S = 0.3
HAND_OVER_TIMEOUT_S = 0.8
HAND_OVER_POLL_S = 0.01


class PoolScheduler(Duty):
    """The holder's work for one pool.

    Attributes:
        core: State that the components share.
        workers: The workers of the pool.
        progress: Progress of jobs that have not been read yet, by job.
        held_back: Jobs that arrived while another entry may have held the pool.
        loaded: Whether the records of earlier holders have been read.
        closing: Whether the hand-over has begun.
    """

    def __init__(self, pool: str, tenure: Tenure, parts: PoolParts) -> None:
        core = PoolCore(pool, tenure, parts)
        self.core = core
        self.clock = core.clock
        self.log = core.log
        tickets = PolicyTickets(parts.policy, core.clock, core.metrics, core.log)
        self.reports = RunReports(core)
        self.workers = PoolWorkers(core, self.reports)
        self.orders = RunOrders(core, tickets, self.workers.replaced)
        self.writer = ProgressWriter(core, self.reports.snapshot_ends)
        self.reports.workers = self.workers
        self.reports.orders = self.orders
        self.reports.writer = self.writer
        self.evacuation = Evacuation(core, self.workers, self.orders)
        self.quotas = QuotaShare(core, self.workers)
        self.quota_link = QuotaLink(core, self.quotas)
        self.placer = TaskPlacer(
            core, self.workers, self.orders, self.evacuation, tickets, self.quotas
        )
        self.pacing = Pacing(core, self.orders)
        self.planner = PlannerLink(core, self.workers, self.evacuation)
        self.cache = PrefixCache(
            parts.store, work_prefix(pool), core.clock, STORE_RETRY_MAX_S
        )
        self.cache.listeners.append(self.on_work)
        self.progress: dict[str, JobProgress] = {}
        self.held_back: list[JobRun] = []
        self.loaded = False
        self.closing = False

    async def run(self) -> None:
        """Works until cancelled or until the duty is lost."""
        core = self.core
        try:
            await self.take_over()
            core.spawn(self.cache.run())
            core.spawn(self.planner.run())
            core.spawn(self.quota_link.run())
            writer = core.spawn(self.writer.run())
            while not core.lost and not writer.done():
                core.wake.clear()
                started_s = self.clock.now()
                self.step()
                took_s = self.clock.now() - started_s
                core.metrics.timing("pool.round", took_s)
                pause_s = min(max(took_s, ROUND_PAUSE_S), MAX_ROUND_PAUSE_S)
                await self.clock.sleep(pause_s)
                with suppress(TimeoutError):
                    async with self.clock.timeout(TICK_S):
                        await core.wake.wait()
            self.log.info("pool_released", pool=core.pool, reason=core.lost)
        finally:
            core.cancel_all()

    def step(self) -> None:
        """Runs one round: updates workers, then assigns, vacates and places."""
        self.workers.sync()
        self.workers.expire_leases()
        if self.closing:
            return
        self.release_held_back()
        self.workers.wake_sessions()
        self.workers.assignment.assign()
        self.evacuation.step()
        self.placer.step()
        self.pacing.step()

    def release_held_back(self) -> None:
        """Lets held-back jobs start once no other entry can hold the pool.

        No other entry has held the pool since this entry's lease began, so none
        can have started these jobs.
        """
        if self.held_back and self.core.is_certain():
            self.log.info("jobs_released", pool=self.core.pool, n=len(self.held_back))
            for job in self.held_back:
                job.held_back = False
            self.held_back.clear()

    async def take_over(self) -> None:
        """Reads the records of earlier holders; retries until that succeeds."""
        while True:
            try:
                await self.read_records()
                return
            except (StoreError, RecordError) as error:
                self.log.info("takeover_waits", pool=self.core.pool, reason=error)
                await self.clock.sleep(RETRY_S)

    async def read_records(self) -> None:
        """Reads the jobs, their progress and the assigned workers.

        An entry that held no duty has not followed the registrations meanwhile, so
        these are confirmed too.

        Raises:
            StoreError: The store did not answer.
            RecordError: A record is malformed.
        """
        # Side by side: earlier holders can change none of these records any more.
        _, assigned, _ = await asyncio.gather(
            self.read_jobs(),
            self.workers.assignment.read_assigned(),
            self.core.parts.roster.confirm(),
        )
        if assigned is not None:
            self.workers.assignment.expect(assigned)
        self.loaded = True
        self.log.info(
            "pool_taken_over",
            pool=self.core.pool,
            fence=self.core.tenure.fence,
            jobs=len(self.core.board.jobs),
            workers_expected=len(self.workers.assignment.unreached),
        )

    async def read_jobs(self) -> None:
        """Reads the progress of jobs, then the jobs.

        Raises:
            StoreError: The store did not answer.
            RecordError: A record is malformed.
        """
        prefix = progress_prefix(self.core.pool)
        listing = await self.core.parts.store.list(prefix)
        for item in listing.items:
            job_id = item.key.removeprefix(prefix)
            self.progress[job_id] = decode(item.value, JobProgress)
        await self.cache.refresh()

    def on_work(self, key: str, item: KeyValue | None) -> None:
        """Handles a job that was accepted or cancelled; None is ignored."""
        if item is None:
            return
        job_id = key.removeprefix(work_prefix(self.core.pool))
        try:
            spec = decode_job(item.value)
        except RecordError as error:
            self.log.error("job_unreadable", job=job_id, reason=error)
            return
        if spec is None:
            self.on_cancelled(job_id)
        elif job_id not in self.core.board.jobs:
            queue = self.core.queue_of(spec)
            self.add(JobRun(spec, queue, item.revision, adopted=not self.loaded))
        self.core.wake.set()

    def add(self, job: JobRun) -> None:
        """Adds a job to the board, with the progress that earlier holders stored."""
        job_id = job.spec.job_id
        known = self.core.parts.jobs.jobs.get(job_id)
        if known is not None and known.record.phase is JobPhase.ACCEPTED:
            job.revision = known.revision
        progress = self.progress.pop(job_id, None)
        if progress is not None:
            job.restore(progress)
        self.core.board.jobs[job_id] = job
        self.reports.claim(job)
        if not self.core.is_certain():
            job.held_back = True
            self.held_back.append(job)
        if not job.adopted:
            self.placer.pool_shares.note_arrival(job)
            self.planner.record_arrival(job)
        if job.end is not None:
            self.writer.queue_progress(job)
        self.log.info(
            "job_taken",
            job=job_id,
            queue=job.spec.queue,
            revision=job.revision,
            steps=" ".join(step.summary() for step in job.spec.steps),
            age_ms=int(self.clock.wall() * 1000) - job.spec.accepted_ms,
            held_back=job.held_back,
        )

    def on_cancelled(self, job_id: str) -> None:
        """Stops a cancelled job, or removes its keys if it never ran here."""
        job = self.core.board.jobs.get(job_id)
        if job is None:
            self.progress.pop(job_id, None)
            self.core.spawn(self.remove_cancelled(job_id))
            return
        if job.end is JobEnd.CANCELLED:
            return
        job.end = JobEnd.CANCELLED
        self.log.info("job_cancelled", job=job_id)
        self.reports.stop_job(job)
        self.writer.queue_removal(job)

    async def remove_cancelled(self, job_id: str) -> None:
        """Removes the keys of a cancelled job that this holder never ran.

        If the duty is lost, the next holder finds the keys again and removes them.
        """
        core = self.core
        changes = [
            Change(work_prefix(core.pool) + job_id, None, ANY_REVISION),
            Change(progress_prefix(core.pool) + job_id, None, ANY_REVISION),
        ]
        while True:
            try:
                await core.parts.store.write(changes, [core.tenure.guard])
                return
            except ConflictError as error:
                self.log.info("cancelled_job_not_removed", job=job_id, reason=error)
                return
            except StoreError as error:
                self.log.info("cancelled_job_not_removed", job=job_id, reason=error)
                await self.clock.sleep(REMOVE_RETRY_S)

    async def pause(self) -> bytes:
        """Marks the pool as offered; returns no state for the successor.

        Jobs that the successor will find in the store continue. Workers that the
        successor has reached refuse this holder's orders.
        """
        self.core.offered = True
        return b""

    def resume(self) -> None:
        """Continues as the only holder after an offer that nobody accepted."""
        self.core.offered = False
        self.core.wake.set()

    async def hand_over(self) -> None:
        """Sends no more orders, then stores ended runs and the workers with runs.

        A holder that has not read all records yet has sent no orders, and leaves
        the stored records unchanged for its successor.
        """
        self.closing = True
        if not self.loaded:
            self.log.info("pool_handed_over", pool=self.core.pool, jobs=0)
            return
        try:
            async with self.clock.timeout(HAND_OVER_TIMEOUT_S):
                while self.orders.window.in_flight:
                    await self.clock.sleep(HAND_OVER_POLL_S)
                self.workers.end_sessions()
                await self.writer.flush()
                await self.workers.assignment.release()
        except (StoreError, ConflictError, TimeoutError, LeaseLostError) as error:
            self.log.info(
                "hand_over_incomplete", pool=self.core.pool, reason=repr(error)
            )
        jobs = len(self.core.board.jobs)
        self.log.info("pool_handed_over", pool=self.core.pool, jobs=jobs)
