"""Job listing and report for operators, and the cancel and release commands."""

import asyncio
from collections import Counter
from collections.abc import Callable, Iterable, Mapping, Sequence
from typing import NamedTuple

from burdockthread_model.clock import Clock
from burdockthread_model.errors import (
    ConflictError,
    NotFoundError,
    StoreError,
    StoreUnavailableError,
    StoreUnknownError,
)
from burdockthread_model.events import EventLog
from burdockthread_model.job import Job, JobState
from burdockthread_model.metrics import Metrics
from burdockthread_store.store import KeyValue

from burdockthread_fleet.job_outcomes import WAITING_STATES, cancelled, unassigned
from burdockthread_fleet.job_segments import Batch, JobSegments, JobUpdate

GROUP_INTERVAL_S = 0.05
MAX_TRIES = 10
RETRY_INTERVAL_S = 0.1
MAX_REPORTED_JOBS = 100
RELEASED_REASON = "released by an operator"

Decision = Callable[[Job], Job]


class JobCount(NamedTuple):
    """Number of jobs that share a service, team, class and state."""

    service: str
    team: str
    request_class: str
    state: str
    jobs: int


class ReportedJob(NamedTuple):
    """A parked job, or one of unknown outcome, that needs an operator's decision."""

    job_id: str
    service: str
    team: str
    vm: str
    attempt: int
    reason: str


class JobsReport(NamedTuple):
    """The job section of an entry's status report.

    Attributes:
        counts: Jobs by service, team, class and state.
        parked: Jobs that cannot run, with the reason; at most
            ``MAX_REPORTED_JOBS``.
        unknown: Jobs that may or may not have run; at most ``MAX_REPORTED_JOBS``.
        quarantined_workers: Reason for each worker that this entry gives no jobs.
        oldest_queued_s: Age in seconds of the oldest waiting job by class.
        places: Organisations whose jobs this entry places.
    """

    counts: tuple[JobCount, ...]
    parked: tuple[ReportedJob, ...]
    unknown: tuple[ReportedJob, ...]
    quarantined_workers: dict[str, str]
    oldest_queued_s: dict[str, float]
    places: tuple[str, ...]


def jobs_report(
    jobs: Iterable[Job],
    wall_s: float,
    quarantined_workers: Mapping[str, str],
    places: Iterable[str],
) -> JobsReport:
    """Builds the report from the jobs in an entry's index.

    Args:
        jobs: All jobs.
        wall_s: Unix time in seconds.
        quarantined_workers: Reason for the quarantine of each worker.
        places: Organisations whose jobs this entry places.
    """
    counts: Counter[tuple[str, str, str, str]] = Counter()
    oldest: dict[str, float] = {}
    jobs_by_state: dict[JobState, list[ReportedJob]] = {
        JobState.PARKED: [],
        JobState.UNKNOWN: [],
    }
    for job in jobs:
        request_class = job.request_class.value
        counts[job.service, job.team, request_class, job.state.value] += 1
        if job.state in WAITING_STATES:
            age_s = wall_s - job.submitted_s
            oldest[request_class] = max(oldest.get(request_class, 0.0), age_s)
        reported_jobs = jobs_by_state.get(job.state)
        if reported_jobs is not None and len(reported_jobs) < MAX_REPORTED_JOBS:
            reported_jobs.append(reported_job(job))
    return JobsReport(
        counts=tuple(JobCount(*key, n) for key, n in sorted(counts.items())),
        parked=tuple(jobs_by_state[JobState.PARKED]),
        unknown=tuple(jobs_by_state[JobState.UNKNOWN]),
        quarantined_workers=dict(quarantined_workers),
        oldest_queued_s=oldest,
        places=tuple(sorted(places)),
    )


def reported_job(job: Job) -> ReportedJob:
    """Returns the fields of a job that the report shows."""
    return ReportedJob(
        job.job_id, job.service, job.team, job.vm, job.attempt, job.reason
    )


class Order:
    """An operator's command for one job that waits to be written.

    Attributes:
        job_id: The job.
        decide: Returns the job as the command leaves it.
        result: Resolves to the recorded job, or to the error of the command.
    """

    def __init__(self, job_id: str, decide: Decision) -> None:
        self.job_id = job_id
        self.decide = decide
        self.result: asyncio.Future[Job] = asyncio.get_running_loop().create_future()


class JobDirectory:
    """Lists, cancels and releases jobs.

    Orders that arrive within ``GROUP_INTERVAL_S`` are written together.
    """

    def __init__(
        self, segments: JobSegments, clock: Clock, metrics: Metrics, log: EventLog
    ) -> None:
        self.segments = segments
        self.clock = clock
        self.metrics = metrics
        self.log = log
        self.waiting: list[Order] = []
        self.flush: asyncio.Task[None] | None = None

    async def list(self, state: str, limit: int) -> Sequence[Job]:
        """Returns jobs in the order of submission.

        Args:
            state: Only jobs in this state are returned; all jobs if empty.
            limit: Maximum number of jobs to return.

        Raises:
            NotFoundError: ``state`` is not the name of a job state.
        """
        if state and state not in set(JobState):
            raise NotFoundError(f"no job state {state}")
        found = [job for job in self.segments.jobs.values() if state in ("", job.state)]
        found.sort(key=lambda job: (job.submitted_s, job.job_id))
        return found[:limit]

    async def cancel(self, job_id: str) -> Job:
        """Cancels a job; a job that has ended is not changed.

        Returns:
            The job as recorded.

        Raises:
            NotFoundError: There is no such job.
            StoreUnavailableError: The job was not cancelled.
            StoreUnknownError: The job may have been cancelled.
        """
        return await self.order(job_id, lambda job: cancelled(job, self.clock.wall()))

    async def cancel_all(self, job_ids: Sequence[str]) -> Sequence[Job]:
        """Cancels many jobs, grouped into few writes; see `cancel`."""
        return await asyncio.gather(*(self.cancel(job_id) for job_id in job_ids))

    async def release(self, job_id: str) -> Job:
        """Queues a parked job again; raises the same errors as `cancel`."""
        return await self.order(job_id, released)

    async def order(self, job_id: str, decide: Decision) -> Job:
        """Queues an order for the next write and waits for its result."""
        order = Order(job_id, decide)
        self.waiting.append(order)
        if self.flush is None:
            self.flush = asyncio.create_task(self.write_soon())
        return await order.result

    async def write_soon(self) -> None:
        """Writes the queued orders in groups until none is left."""
        while self.waiting:
            await self.clock.sleep(GROUP_INTERVAL_S)
            orders, self.waiting = self.waiting, []
            await self.settle(orders)
        self.flush = None

    async def settle(self, orders: Sequence[Order]) -> None:
        """Writes orders, with up to ``MAX_TRIES`` attempts on conflicts.

        Orders that are not settled then get the last error as their result.
        """
        error: Exception = StoreUnavailableError("every write conflicted with another")
        for _ in range(MAX_TRIES):
            try:
                await self.write(orders)
            except ConflictError:
                await self.clock.sleep(RETRY_INTERVAL_S)
            except (StoreUnavailableError, StoreUnknownError) as failure:
                error = failure
                if isinstance(failure, StoreUnknownError) and self.resolve(orders):
                    return
                break
            except Exception as failure:
                self.log.error("job_orders_failed", reason=repr(failure))
                error = StoreUnknownError(f"write of job orders failed: {failure!r}")
                break
            if self.resolve(orders):
                return
        for order in orders:
            if not order.result.done():
                order.result.set_exception(error)

    async def write(self, orders: Sequence[Order]) -> None:
        """Writes the jobs that the orders change.

        Raises:
            ConflictError: Another writer was first. The segments have been read
                again, so the orders must be decided again.
        """
        updates = []
        for order in orders:
            job = self.segments.jobs.get(order.job_id)
            if job is not None and order.decide(job) != job:
                updates.append(JobUpdate(job, order.decide(job)))
        unique = {update.before.job_id: update for update in updates}
        for batch in self.segments.batches(list(unique.values())):
            try:
                await self.segments.commit(batch.changes)
            except (ConflictError, StoreUnknownError):
                await self.read_again(batch)
                raise
            self.metrics.count("jobs.order_writes")
            self.record_batch(batch)

    async def read_again(self, batch: Batch) -> None:
        """Reads segments again after a conflict or a write of unknown outcome."""
        for change in batch.changes:
            try:
                found = await self.segments.store.get(change.key)
            except StoreError:
                return
            if found is None:
                self.segments.cache.remove(change.key, change.expected_revision)
            else:
                self.segments.cache.put(KeyValue(*found))

    def record_batch(self, batch: Batch) -> None:
        """Counts and logs the recorded changes."""
        for update in batch.updates:
            self.metrics.count(f"jobs.{update.after.state.value}")
        first = batch.updates[0].after
        self.log.info(
            "jobs_ordered", state=first.state, jobs=len(batch.updates), first=first[0]
        )

    def resolve(self, orders: Sequence[Order]) -> bool:
        """Resolves the orders that need no further write.

        Returns:
            Whether all orders are resolved.
        """
        for order in orders:
            if order.result.done():
                continue
            job = self.segments.jobs.get(order.job_id)
            if job is None:
                missing = NotFoundError(f"no job {order.job_id}")
                order.result.set_exception(missing)
            elif order.decide(job) == job:
                order.result.set_result(job)
        return all(order.result.done() for order in orders)


def released(job: Job) -> Job:
    """Returns a parked job as queued; any other job is returned unchanged."""
    if job.state is not JobState.PARKED:
        return job
    return unassigned(job, JobState.QUEUED, RELEASED_REASON)
