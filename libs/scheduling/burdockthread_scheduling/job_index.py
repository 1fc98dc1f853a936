"""Index of all jobs that every entry keeps from its followed copy of the store."""

from collections import Counter
from enum import StrEnum

from burdockthread_model.clock import Clock
from burdockthread_model.errors import StoreError
from burdockthread_model.events import EventLog
from burdockthread_model.records import RecordError
from burdockthread_store.prefix_cache import PrefixCache
from burdockthread_store.store import ConfigurationStore, KeyValue

from burdockthread_scheduling.records import (
    JOB_PREFIX,
    POOL_PREFIX,
    JobPhase,
    JobRecord,
    PoolReport,
    decode,
    job_key,
)

# After this time-out the known state is used, even if it is some seconds old.
READ_TIMEOUT_S = 0.3


class ShownState(StrEnum):
    """State of a job as shown to callers."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"


class KnownJob:
    """A job's record with the revision of its key."""

    __slots__ = ("record", "revision")

    def __init__(self, record: JobRecord, revision: int) -> None:
        self.record = record
        self.revision = revision


class JobIndex:
    """The states of all jobs, updated from the followed copy of the store.

    Attributes:
        jobs: Known jobs by id.
        open_jobs: Number of known jobs that have not ended, by pool.
        reports: Newest report of each pool.
    """

    def __init__(
        self,
        cache: PrefixCache,
        store: ConfigurationStore,
        clock: Clock,
        log: EventLog,
    ) -> None:
        self.cache = cache
        self.store = store
        self.clock = clock
        self.log = log
        self.jobs: dict[str, KnownJob] = {}
        self.open_jobs: Counter[str] = Counter()
        self.reports: dict[str, PoolReport] = {}
        cache.listeners.append(self.on_change)

    def on_change(self, key: str, item: KeyValue | None) -> None:
        """Applies a changed key; an unreadable record is logged and ignored."""
        try:
            if key.startswith(JOB_PREFIX):
                self.on_job(key.removeprefix(JOB_PREFIX), item)
            elif key.startswith(POOL_PREFIX):
                self.on_report(key.removeprefix(POOL_PREFIX), item)
        except RecordError as error:
            self.log.error("record_unreadable", store_key=key, reason=error)

    def on_job(self, job_id: str, item: KeyValue | None) -> None:
        """Updates the record of a job; None removes the job."""
        if item is None:
            self.forget(job_id)
            return
        self.note(job_id, decode(item.value, JobRecord), item.revision)

    def on_report(self, pool: str, item: KeyValue | None) -> None:
        """Stores the report of a pool; a deleted report is kept."""
        if item is not None:
            self.reports[pool] = decode(item.value, PoolReport)

    def note(self, job_id: str, record: JobRecord, revision: int) -> None:
        """Updates the record of a job, unless a newer revision is known."""
        known = self.jobs.get(job_id)
        if known is None:
            self.jobs[job_id] = KnownJob(record, revision)
            self.count(record, 1)
        elif known.revision < revision:
            self.count(known.record, -1)
            known.record = record
            known.revision = revision
            self.count(record, 1)

    def forget(self, job_id: str) -> None:
        """Removes a job from the index; the next look-up reads the store."""
        known = self.jobs.pop(job_id, None)
        if known is not None:
            self.count(known.record, -1)

    def count(self, record: JobRecord, change: int) -> None:
        """Adds a change to the pool's number of open jobs, if the job is open."""
        if record.phase is JobPhase.ACCEPTED:
            self.open_jobs[record.pool] += change

    def open_pools(self) -> set[str]:
        """Returns the pools with jobs that have not ended."""
        return {pool for pool, number in self.open_jobs.items() if number}

    async def find(self, job_id: str) -> KnownJob | None:
        """Returns a job from the index, or from the store if the index lacks it.

        Raises:
            StoreError: The index lacks the job and the store did not answer.
        """
        return self.jobs.get(job_id) or await self.read(job_id)

    async def find_newest(self, job_id: str) -> KnownJob | None:
        """Returns a job in its current state.

        A job that has ended does not change and is not read again. If the store
        does not answer in time, the indexed state is returned.

        Raises:
            StoreError: The index lacks the job and the store did not answer.
        """
        known = self.jobs.get(job_id)
        if known is None:
            return await self.read(job_id)
        if known.record.phase is not JobPhase.ACCEPTED:
            return known
        try:
            async with self.clock.timeout(READ_TIMEOUT_S):
                await self.read(job_id)
        except (StoreError, TimeoutError) as error:
            age_s = round(self.clock.now() - self.cache.contact_s, 3)
            reason = type(error).__name__
            self.log.info("job_not_read", job=job_id, copy_age_s=age_s, reason=reason)
        return self.jobs.get(job_id, known)

    async def read(self, job_id: str) -> KnownJob | None:
        """Reads a job from the store into the index; returns None if it is not there.

        Raises:
            StoreError: The store did not answer, or the record is malformed.
        """
        item = await self.store.get(job_key(job_id))
        if item is None:
            return None
        try:
            record = decode(item.value, JobRecord)
        except RecordError as error:
            raise StoreError(f"job {job_id}: {error}") from error
        self.note(job_id, record, item.revision)
        return self.jobs[job_id]

    def shown_state(self, job_id: str, known: KnownJob) -> ShownState:
        """Returns the state of a job as shown to callers.

        An open job is running once its pool's holder no longer reports the job as
        unstarted. A report that leaves out jobs of its queue does not tell.
        """
        phase = known.record.phase
        if phase is not JobPhase.ACCEPTED:
            return ShownState(phase.value)
        report = self.reports.get(known.record.pool)
        if report is None or known.record.changed_ms > report.written_ms:
            return ShownState.QUEUED
        if job_id in report.unstarted or report.unlisted_of(known.record.queue):
            return ShownState.QUEUED
        return ShownState.RUNNING

    def waiting(self, queue: str) -> int:
        """Returns how many jobs of a queue have no task that has started."""
        waiting = 0
        unclear: Counter[str] = Counter()
        for job_id, known in self.jobs.items():
            record = known.record
            if record.queue != queue:
                continue
            if self.shown_state(job_id, known) is not ShownState.QUEUED:
                continue
            if self.is_left_out(job_id, record):
                unclear[record.pool] += 1
            else:
                waiting += 1
        for pool, jobs in unclear.items():
            waiting += min(jobs, self.reports[pool].unlisted_of(queue))
        return waiting

    def is_left_out(self, job_id: str, record: JobRecord) -> bool:
        """Returns whether the report of a job's pool does not tell of the job."""
        report = self.reports.get(record.pool)
        return (
            report is not None
            and record.changed_ms <= report.written_ms
            and job_id not in report.unstarted
        )
