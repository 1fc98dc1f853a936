"""Refuses submitted jobs that could earn nothing, before anything is written."""

from burdockthread_model.clock import Clock
from burdockthread_model.errors import RequestError, StoreError
from burdockthread_model.events import EventLog
from burdockthread_model.metrics import Metrics

from burdockthread_scheduling.admission import (
    SPARE_SHARE,
    Candidate,
    PoolRoom,
    Refusal,
    decide,
)
from burdockthread_scheduling.intake import JobIntake
from burdockthread_scheduling.job_index import JobIndex
from burdockthread_scheduling.job_order import MILLI
from burdockthread_scheduling.records import PoolReport
from burdockthread_scheduling.specs import JobSpec, QueueSpec

# A holder reports a backlogged pool each second, and the copy of the store lags.
REPORT_MAX_AGE_S = 3.0
# A refusal is answered within 50 ms, most of which a look at the store may take.
READ_TIMEOUT_S = 0.04


class NotServedError(RequestError):
    """The job was not accepted, since it would earn nothing; it never runs."""

    status = 429


class AdmissionGate:
    """Decides on submitted jobs by the last reports of the pools' holders."""

    def __init__(
        self,
        index: JobIndex,
        intake: JobIntake,
        clock: Clock,
        metrics: Metrics,
        log: EventLog,
    ) -> None:
        self.index = index
        self.intake = intake
        self.clock = clock
        self.metrics = metrics
        self.log = log

    async def check(self, queue: QueueSpec, job: JobSpec) -> None:
        """Lets a job pass, or refuses it.

        Raises:
            NotServedError: The job is refused; no earlier attempt was accepted.
        """
        report = self.index.reports.get(queue.pool)
        if report is None or report.room is None or self.is_old(report):
            return
        candidate = candidate_of(queue, job)
        if candidate is None:
            return
        # Without machines, as at a holder that has not read them yet, no wait is known.
        if report.room.cores <= 0:
            return
        room, elsewhere = report.room, self.elsewhere(queue.pool)
        refusal = decide(candidate, room, elsewhere)
        if refusal is None or await self.may_be_stored(job.job_id):
            return
        self.note(queue, job, refusal, room, elsewhere)
        raise NotServedError(
            f"job {job.job_id} was not accepted: {refusal.reason.value}",
            retry_after_s=refusal.retry_after_s,
        )

    def note(
        self,
        queue: QueueSpec,
        job: JobSpec,
        refusal: Refusal,
        room: PoolRoom,
        elsewhere: float,
    ) -> None:
        """Counts and logs a refusal with the values that decided it."""
        self.metrics.count(f"desk.not_served.{refusal.reason.value}")
        self.log.info(
            "job_not_served",
            job=job.job_id,
            queue=queue.name,
            pool=queue.pool,
            organisation=job.organisation,
            reason=refusal.reason.value,
            wait_s=round(refusal.wait_s, 1),
            retry_after_s=round(refusal.retry_after_s, 1),
            cores=room.cores,
            elsewhere=round(elsewhere, 1),
            queued=round(room.queued(), 1),
            inflow=room.inflow,
        )

    def is_old(self, report: PoolReport) -> bool:
        """Returns whether a report may no longer describe its pool.

        The age of one that comes from the future is not known.
        """
        age_s = self.clock.wall() - report.written_ms / 1000
        return abs(age_s) > REPORT_MAX_AGE_S

    def elsewhere(self, pool: str) -> float:
        """Returns the cores of machines that may come to a pool from others.

        All cores of a pool count whose room is not known, or not known any more: the
        refusal must be certain. Without any known, the pool itself stands for them.
        """
        own = self.index.reports[pool].room
        own_cores = own.cores if own is not None else 0.0
        cores = idle = 0.0
        for name, report in self.index.reports.items():
            if name == pool:
                continue
            if report.room is None:
                cores += own_cores
                idle += own_cores
                continue
            cores += report.room.cores
            idle += report.room.cores if self.is_old(report) else report.room.idle
        return idle + SPARE_SHARE * (own_cores + cores)

    async def may_be_stored(self, job_id: str) -> bool:
        """Returns whether another attempt of the same job may have been accepted.

        The store is asked, since the copy of this entry lags. Another attempt may pass
        here meanwhile, after the store has been read.
        """
        if self.is_known(job_id):
            return True
        try:
            async with self.clock.timeout(READ_TIMEOUT_S):
                found = await self.index.read(job_id)
        except (StoreError, TimeoutError):
            return True
        return found is not None or self.is_known(job_id)

    def is_known(self, job_id: str) -> bool:
        """Returns whether a job is stored, or is being written by this entry."""
        return job_id in self.index.jobs or self.intake.is_unsettled(job_id)


def candidate_of(queue: QueueSpec, job: JobSpec) -> Candidate | None:
    """Returns what the decision needs of a job; None if it is never refused.

    Jobs with lasting tasks or repetitions have no objective. A step without a declared
    duration leaves the job's work unknown.
    """
    if job.is_lasting() or job.repetitions or not job.steps:
        return None
    is_declared = all(step.estimated_ms > 0 for step in job.steps)
    ends_s: list[float] = []
    work = 0.0
    for step in job.steps:
        before_s = max((ends_s[number] for number in step.after), default=0.0)
        ends_s.append(before_s + step.estimated_ms / 1000)
        work += step.tasks * step.cpu_milli * step.estimated_ms / 1000 / MILLI
    return Candidate(
        job.job_id,
        queue.name,
        queue.priority,
        max(ends_s) if is_declared else 0.0,
        work,
        queue.stretch,
        queue.latency_target_ms / 1000,
    )
