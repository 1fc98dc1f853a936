"""Stores the progress of jobs before ended runs are acknowledged to workers."""

import asyncio
from collections import Counter
from collections.abc import Callable, Iterable
from contextlib import suppress

from burdockthread_model.errors import ConflictError, LeaseLostError, StoreError
from burdockthread_store.store import ANY_REVISION, Change

from burdockthread_scheduling.admission import PoolRoom
from burdockthread_scheduling.board import JobEnd, JobRun
from burdockthread_scheduling.pool_core import PoolCore
from burdockthread_scheduling.records import (
    JobPhase,
    JobRecord,
    PoolReport,
    decode,
    encode,
    job_key,
    pool_key,
    progress_prefix,
    work_prefix,
)
from burdockthread_scheduling.room_report import pool_room

# Changes are collected for this time, so that they share a write.
BATCH_DELAY_S = 0.02
RETRY_S = 0.1
REPORT_INTERVAL_S = 1.0
# Progress is written up to 50 times a second. The room of a pool is computed from all
# of its jobs, so it is computed at most this often.
ROOM_INTERVAL_S = 0.5
MAX_REPORTED_UNSTARTED = 1_000
# A write has at most 32 entries, of which the guard and the marker take three.
MAX_CHANGES = 29
PHASES = {
    JobEnd.COMPLETED: JobPhase.COMPLETED,
    JobEnd.FAILED: JobPhase.FAILED,
}


class ProgressWriter:
    """Writes the progress and the end of the jobs of one pool.

    Attributes:
        tenure: Tenure of the duty; its guard rejects writes once the duty is lost.
        snapshot_ends: Takes a snapshot of the ended runs that were processed, and
            returns a function that acknowledges these to the workers.
        dirty: Jobs whose progress is not stored yet.
        cleared: Jobs whose keys are to be removed.
        pending: Set when there is something to write.
        update_index: Called with the recorded state of a job and its revision.
        flushing: Held by a flush; two at once would write the same jobs twice.
        reported: Last stored report for the other entries, or None.
        reported_s: Clock time of that report.
        room: Room and backlog of the pool when last summed up, or None.
        room_s: Clock time at which they were summed up.
    """

    def __init__(
        self, core: PoolCore, snapshot_ends: Callable[[], Callable[[], None]]
    ) -> None:
        self.core = core
        self.entry = core.parts.entry
        self.tenure = core.tenure
        self.pool = core.pool
        self.board = core.board
        self.store = core.parts.store
        self.update_index = core.parts.jobs.note
        self.clock = core.clock
        self.metrics = core.metrics
        self.log = core.log
        self.snapshot_ends = snapshot_ends
        self.dirty: dict[str, JobRun] = {}
        self.cleared: dict[str, JobRun] = {}
        self.pending = asyncio.Event()
        self.flushing = asyncio.Lock()
        self.reported: PoolReport | None = None
        self.reported_s = float("-inf")
        self.room: PoolRoom | None = None
        self.room_s = float("-inf")

    def queue_progress(self, job: JobRun) -> None:
        """Queues the progress of a job for the next write."""
        self.dirty[job.spec.job_id] = job
        self.pending.set()

    def queue_removal(self, job: JobRun) -> None:
        """Queues the removal of a job whose end another entry has recorded."""
        self.cleared[job.spec.job_id] = job
        self.pending.set()

    async def run(self) -> None:
        """Writes queued changes and reports until cancelled.

        Raises:
            LeaseLostError: Another entry holds the duty.
        """
        while True:
            with suppress(TimeoutError):
                async with self.clock.timeout(REPORT_INTERVAL_S / 2):
                    await self.pending.wait()
            if self.pending.is_set():
                await self.clock.sleep(BATCH_DELAY_S)
            self.pending.clear()
            try:
                await self.flush()
                await self.report()
            except StoreError as error:
                self.metrics.count("progress.writes_failed")
                self.log.info("progress_not_stored", pool=self.pool, reason=error)
                self.pending.set()
                await self.clock.sleep(RETRY_S)

    async def flush(self) -> None:
        """Writes all queued changes, then acknowledges the ended runs to workers.

        Raises:
            StoreError: Some changes may not be stored; they stay queued.
            LeaseLostError: Another entry holds the duty.
        """
        async with self.flushing:
            acknowledge_ends = self.snapshot_ends()
            queued = {**self.dirty, **self.cleared}
            for batch in batches(queued.values(), self.change_count):
                await self.write(batch)
            acknowledge_ends()

    def change_count(self, job: JobRun) -> int:
        """Returns how many changes of a write a job may need."""
        return 4 if job.end is not None else 1

    async def write(self, batch: list[JobRun]) -> None:
        """Writes some jobs in one atomic write.

        Raises:
            StoreError: The write failed or may have failed.
            LeaseLostError: Another entry holds the duty.
        """
        ends = {job.spec.job_id: job.end for job in batch}
        changes = [change for job in batch for change in self.changes(job)]
        for job in batch:
            job.dirty = False
        try:
            revision = await self.store.write(changes, [self.tenure.guard])
        except ConflictError:
            await self.explain_conflict(batch)
            raise StoreError("a job's record was changed by another entry") from None
        except StoreError:
            for job in batch:
                job.dirty = True
            raise
        self.metrics.count("progress.writes")
        for job in batch:
            self.record_stored(job, ends[job.spec.job_id], revision)

    def changes(self, job: JobRun) -> list[Change]:
        """Returns the changes to write for one job."""
        job_id = job.spec.job_id
        progress_key = progress_prefix(self.pool) + job_id
        if job.end is None:
            job.has_progress_key = True
            return [Change(progress_key, encode(job.progress()), ANY_REVISION)]
        work_key = work_prefix(self.pool) + job_id
        removed = [Change(work_key, None, ANY_REVISION)]
        if job.has_progress_key:
            removed.append(Change(progress_key, None, ANY_REVISION))
        if job.end is JobEnd.CANCELLED:
            return removed
        record = self.record(job, PHASES[job.end])
        return [Change(job_key(job_id), encode(record), job.revision), *removed]

    def record(self, job: JobRun, phase: JobPhase) -> JobRecord:
        """Returns the record of a job that ends now."""
        wall_ms = int(self.clock.wall() * 1000)
        return JobRecord(self.pool, job.queue.name, phase, wall_ms)

    def record_stored(self, job: JobRun, end: JobEnd | None, revision: int) -> None:
        """Updates the queues, the board and the index after a successful write.

        Args:
            job: The job.
            end: The job's end when the write was made, or None.
            revision: Store revision of the write.
        """
        job_id = job.spec.job_id
        if end is not None:
            self.dirty.pop(job_id, None)
            self.cleared.pop(job_id, None)
            self.board.jobs.pop(job_id, None)
            if end in PHASES:
                record = self.record(job, PHASES[end])
                self.update_index(job_id, record, revision)
            self.metrics.count(f"jobs.{end.name.lower()}")
            self.log.info(
                "job_ended",
                job=job_id,
                end=end.name.lower(),
                revision=revision,
                age_ms=int(self.clock.wall() * 1000) - job.spec.accepted_ms,
            )
        elif not job.dirty and job.end is None:
            self.dirty.pop(job_id, None)

    async def explain_conflict(self, batch: list[JobRun]) -> None:
        """Finds the cause of a conflict and prepares the jobs for another write.

        A job whose record another entry has changed gets the new revision, or ends
        as cancelled if that entry recorded an end.

        Raises:
            LeaseLostError: Another entry holds the duty.
            StoreError: The store did not answer.
        """
        for job in batch:
            job.dirty = True
        guard = self.tenure.guard
        found = await self.store.get(guard.key)
        if found is None or found.revision != guard.expected_revision:
            raise LeaseLostError(f"duty {self.tenure.duty} is held by another entry")
        for job in batch:
            if job.end not in PHASES:
                continue
            item = await self.store.get(job_key(job.spec.job_id))
            if item is None or item.revision == job.revision:
                continue
            if decode(item.value, JobRecord).phase is JobPhase.ACCEPTED:
                job.revision = item.revision
            else:
                job.end = JobEnd.CANCELLED
                self.log.info("job_end_superseded", job=job.spec.job_id)

    async def report(self) -> None:
        """Stores the report of unstarted jobs, if due and changed since the last.

        Raises:
            LeaseLostError: Another entry holds the duty.
        """
        now = self.clock.now()
        if now - self.reported_s < REPORT_INTERVAL_S:
            return
        waiting: Counter[str] = Counter()
        unlisted: Counter[str] = Counter()
        unstarted: set[str] = set()
        for job_id, job in self.board.jobs.items():
            if job.begun or job.end is not None:
                continue
            waiting[job.queue.name] += 1
            if len(unstarted) < MAX_REPORTED_UNSTARTED:
                unstarted.add(job_id)
            else:
                unlisted[job.queue.name] += 1
        written_ms = int(self.clock.wall() * 1000)
        if now - self.room_s >= ROOM_INTERVAL_S:
            self.room, self.room_s = pool_room(self.core), now
        report = PoolReport(
            self.entry,
            written_ms,
            dict(waiting),
            frozenset(unstarted),
            self.room,
            tuple(sorted(unlisted.items())),
        )
        if self.reported == report._replace(
            written_ms=self.reported.written_ms if self.reported else 0
        ):
            return
        change = Change(pool_key(self.pool), encode(report), ANY_REVISION)
        try:
            await self.store.write([change], [self.tenure.guard])
        except ConflictError:
            raise LeaseLostError(
                f"duty {self.tenure.duty} is held by another entry"
            ) from None
        self.reported, self.reported_s = report, now


def batches(
    jobs: Iterable[JobRun], change_count: Callable[[JobRun], int]
) -> list[list[JobRun]]:
    """Divides jobs into groups that fit into one write each."""
    groups: list[list[JobRun]] = []
    free = 0
    for job in jobs:
        needed = change_count(job)
        if needed > free:
            groups.append([])
            free = MAX_CHANGES
        groups[-1].append(job)
        free -= needed
    return groups
