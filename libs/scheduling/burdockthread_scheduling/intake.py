"""Accepts and cancels jobs; accepted jobs are written to the store in batches."""

import asyncio
from collections.abc import Sequence
from typing import Any

from burdockthread_model.clock import Clock
from burdockthread_model.errors import (
    ConflictError,
    NotFoundError,
    StoreUnavailableError,
    StoreUnknownError,
    WriteLostError,
)
from burdockthread_model.events import EventLog
from burdockthread_model.metrics import Metrics
from burdockthread_store.store import ANY_REVISION, Change, ConfigurationStore

from burdockthread_scheduling.job_index import JobIndex, KnownJob
from burdockthread_scheduling.records import (
    CANCELLED,
    JobPhase,
    JobRecord,
    encode,
    job_key,
    work_prefix,
)
from burdockthread_scheduling.specs import JobSpec
from burdockthread_scheduling.store_contact import StoreContact

# A job takes three of the 32 entries of a write; the write's marker takes two.
MAX_JOBS_PER_WRITE = 9
MAX_WRITES_AT_ONCE = 4
MAX_CANCEL_TRIES = 5
# Longest time assumed after which the store executes a write that it has not answered.
LATE_WRITE_S = 30.0
# A batch whose write was lost is sent again within this time, about half of the time
# that callers wait.
RESEND_TIMEOUT_S = 1.5


class Submission:
    """A submitted job whose write has not been confirmed.

    Attributes:
        stored: Completes once the job is stored, or with the error.
    """

    def __init__(self, job: JobSpec, pool: str) -> None:
        self.job = job
        self.pool = pool
        self.stored: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self.stored.add_done_callback(consume_error)

    def fail(self, error: Exception) -> None:
        """Completes `stored` with an error, unless it is completed already."""
        if not self.stored.done():
            self.stored.set_exception(error)

    def succeed(self) -> None:
        """Completes `stored`, unless it is completed already."""
        if not self.stored.done():
            self.stored.set_result(None)


def consume_error(future: asyncio.Future[Any]) -> None:
    """Retrieves a future's error, so that asyncio does not log it as unhandled.

    The caller that awaited the future may have been cancelled.
    """
    if not future.cancelled():
        future.exception()


def expect_not_withdrawn(job_id: str, known: KnownJob) -> None:
    """Checks that a job was not cancelled before it was stored.

    Raises:
        NotFoundError: It was; there is no such job, and none will be.
    """
    if known.record.phase is JobPhase.WITHDRAWN:
        raise NotFoundError(f"job {job_id} was cancelled before it was stored")


class JobIntake:
    """Accepts jobs and cancels them.

    Attributes:
        waiting: Submissions that are not part of a write yet.
        unsettled: Submissions whose outcome is not known yet, by job.
        open_until_s: Clock time until which the store may execute a write that was
            given up without an outcome, by job.
        writers: Tasks that write batches.
        contact: Tells whether this entry reaches the store.
    """

    def __init__(
        self,
        store: ConfigurationStore,
        index: JobIndex,
        contact: StoreContact,
        clock: Clock,
        metrics: Metrics,
        log: EventLog,
    ) -> None:
        self.store = store
        self.index = index
        self.contact = contact
        self.clock = clock
        self.metrics = metrics
        self.log = log
        self.waiting: list[Submission] = []
        self.unsettled: dict[str, Submission] = {}
        self.open_until_s: dict[str, float] = {}
        self.writers: set[asyncio.Task[None]] = set()

    async def submit(self, job: JobSpec, pool: str) -> None:
        """Stores a job; a job that is already stored is left unchanged.

        Args:
            job: The job.
            pool: Pool whose holder runs the job.

        Raises:
            NotFoundError: The job was cancelled before; it never runs.
            StoreUnavailableError: The job was not stored and will not be.
            StoreUnknownError: The job may be stored.
        """
        known = self.index.jobs.get(job.job_id)
        if known is not None:
            expect_not_withdrawn(job.job_id, known)
            return
        submission = self.unsettled.get(job.job_id)
        try:
            if submission is None:
                self.expect_contact()
                submission = self.enqueue(Submission(job, pool))
            await asyncio.shield(submission.stored)
        except StoreUnavailableError as error:
            if self.is_unsettled(job.job_id):
                reason = f"an earlier write of job {job.job_id} may be executed"
                raise StoreUnknownError(f"{reason}: {error}") from error
            raise

    def is_unsettled(self, job_id: str) -> bool:
        """Returns whether a write of a job by this entry may still be executed."""
        if job_id in self.unsettled:
            return True
        return self.clock.now() < self.open_until_s.get(job_id, float("-inf"))

    def expect_contact(self) -> None:
        """Checks that the store has answered this entry recently.

        Raises:
            StoreUnavailableError: It has not; a write would probably fail.
        """
        if not self.contact.is_recent():
            age_s = self.contact.age_s()
            raise StoreUnavailableError(f"no answer of the store for {age_s:.1f} s")

    def refuse_unsent(self) -> None:
        """Refuses the submissions of which nothing was sent to the store."""
        unsent, self.waiting = self.waiting, []
        if unsent:
            self.log.info("submissions_refused", jobs=len(unsent))
            self.fail(unsent, StoreUnavailableError("the store does not answer"))

    def enqueue(self, submission: Submission) -> Submission:
        """Queues a submission for the next write."""
        job_id = submission.job.job_id
        self.unsettled[job_id] = submission
        submission.stored.add_done_callback(lambda _: self.unsettled.pop(job_id))
        self.waiting.append(submission)
        self.start_writers()
        return submission

    def start_writers(self) -> None:
        """Starts a writer task, unless `MAX_WRITES_AT_ONCE` are running."""
        if len(self.writers) >= MAX_WRITES_AT_ONCE:
            return
        writer = asyncio.create_task(self.write_waiting())
        self.writers.add(writer)
        writer.add_done_callback(self.writers.discard)

    async def write_waiting(self) -> None:
        """Writes batches until no submission is waiting."""
        while self.waiting:
            batch = self.waiting[:MAX_JOBS_PER_WRITE]
            del self.waiting[:MAX_JOBS_PER_WRITE]
            try:
                await self.write(batch)
            except (StoreUnavailableError, StoreUnknownError) as error:
                self.fail(batch, error)
            except Exception as error:
                self.log.error("intake_failed", jobs=len(batch), reason=repr(error))
                self.fail(batch, StoreUnknownError(f"the write failed: {error}"))

    def fail(self, batch: Sequence[Submission], error: Exception) -> None:
        """Completes all submissions of a batch with an error."""
        self.metrics.count("intake.writes_failed")
        if isinstance(error, StoreUnknownError):
            self.note_open(batch)
        for submission in batch:
            submission.fail(error)

    def note_open(self, batch: Sequence[Submission]) -> None:
        """Records jobs whose write was given up and may still be executed."""
        now = self.clock.now()
        for job_id, until_s in tuple(self.open_until_s.items()):
            if now >= until_s:
                del self.open_until_s[job_id]
        for submission in batch:
            if not submission.stored.done():
                self.open_until_s[submission.job.job_id] = now + LATE_WRITE_S

    async def write(self, batch: Sequence[Submission]) -> None:
        """Writes a batch and completes its submissions.

        After a conflict, the batch is written again without the jobs that are
        already stored; after a write that was lost, as it is.

        Raises:
            StoreUnavailableError: The batch was not stored.
            StoreUnknownError: The batch may be stored.
        """
        left = list(batch)
        resend_until_s = self.clock.now() + RESEND_TIMEOUT_S
        while left:
            records = [self.record_of(submission) for submission in left]
            try:
                revision = await self.store.write(self.changes(left, records))
            except WriteLostError:
                if self.clock.now() >= resend_until_s:
                    raise
                self.metrics.count("intake.writes_lost")
                continue
            except ConflictError:
                left = await self.without_stored(left)
                continue
            for submission, record in zip(left, records, strict=True):
                self.index.note(submission.job.job_id, record, revision)
                submission.succeed()
            return

    def record_of(self, submission: Submission) -> JobRecord:
        """Returns the initial record of a job that is being accepted."""
        job = submission.job
        return JobRecord(submission.pool, job.queue, JobPhase.ACCEPTED, job.accepted_ms)

    def changes(
        self, batch: Sequence[Submission], records: Sequence[JobRecord]
    ) -> list[Change]:
        """Returns the changes that store a batch; each job must not exist yet."""
        changes = []
        for submission, record in zip(batch, records, strict=True):
            job = submission.job
            work_key = work_prefix(submission.pool) + job.job_id
            changes.append(Change(job_key(job.job_id), encode(record), 0))
            changes.append(Change(work_key, encode(job), ANY_REVISION))
        return changes

    async def without_stored(self, batch: Sequence[Submission]) -> list[Submission]:
        """Completes the submissions that are stored; returns the others.

        Raises:
            StoreUnknownError: The store did not answer; a job may be stored.
        """
        left = []
        for submission in batch:
            job_id = submission.job.job_id
            try:
                known = await self.index.find(job_id)
            except StoreUnavailableError as error:
                reason = f"job {job_id} may be stored: {error}"
                raise StoreUnknownError(reason) from error
            if known is None:
                left.append(submission)
                continue
            try:
                expect_not_withdrawn(job_id, known)
            except NotFoundError as error:
                submission.fail(error)
            else:
                submission.succeed()
        return left

    async def cancel(self, job_id: str) -> None:
        """Cancels a job; a job that has ended is left unchanged.

        Raises:
            NotFoundError: There is no such job, and none will be stored under the id.
            StoreUnavailableError: The job was not cancelled.
            StoreUnknownError: The job may have been cancelled.
        """
        for _ in range(MAX_CANCEL_TRIES):
            known = await self.index.find(job_id)
            if known is not None and known.record.phase is not JobPhase.ACCEPTED:
                expect_not_withdrawn(job_id, known)
                return
            self.expect_contact()
            try:
                if known is None:
                    await self.write_withdrawal(job_id)
                    raise NotFoundError(f"no job {job_id}")
                await self.write_cancel(job_id, known)
            except ConflictError:
                self.index.forget(job_id)
                continue
            return
        raise StoreUnavailableError(f"job {job_id}: other writers were always first")

    async def write_withdrawal(self, job_id: str) -> None:
        """Records that a job which is not stored was cancelled.

        A submission may be under way at any entry. Its write has the condition that
        there is no record.

        Raises:
            ConflictError: The job has been stored meanwhile.
            StoreError: The store did not answer.
        """
        changed_ms = int(self.clock.wall() * 1000)
        record = JobRecord("", "", JobPhase.WITHDRAWN, changed_ms)
        change = Change(job_key(job_id), encode(record), 0)
        revision = await self.store.write([change])
        self.index.note(job_id, record, revision)
        self.metrics.count("intake.jobs_withdrawn")
        self.log.info("job_withdrawn", job=job_id, revision=revision)

    async def write_cancel(self, job_id: str, known: KnownJob) -> None:
        """Writes the record of a job as cancelled, with its work marked `CANCELLED`.

        Raises:
            ConflictError: The record has changed since `known` was read.
            StoreError: The store did not answer.
        """
        record = known.record._replace(
            phase=JobPhase.CANCELLED, changed_ms=int(self.clock.wall() * 1000)
        )
        work_key = work_prefix(record.pool) + job_id
        revision = await self.store.write(
            [
                Change(job_key(job_id), encode(record), known.revision),
                Change(work_key, CANCELLED, ANY_REVISION),
            ]
        )
        self.index.note(job_id, record, revision)
