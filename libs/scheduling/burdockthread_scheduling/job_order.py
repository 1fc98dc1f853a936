"""Orders the jobs of a pool by what can still be done in time."""

from collections.abc import Container
from typing import NamedTuple

from burdockthread_model.clock import Clock

from burdockthread_scheduling.board import JobRun, StepRun
from burdockthread_scheduling.estimates import DurationEstimates

# A job that would end this close to its objective is taken as late.
MARGIN_SHARE = 0.1
RANK_MAX_AGE_S = 0.1


class JobRank(NamedTuple):
    """The place of a job in the order; the lowest is served first.

    Attributes:
        lasting: 0 for a job that lasts, which is to be kept up.
        priority: Urgency of its queue.
        late: Whether it can no longer end in time.
        waiting: Whether none of its tasks has started.
        work: Work that is left in thousandths of a core times seconds.
        accepted_ms: Unix time of its acceptance.
    """

    lasting: int
    priority: int
    late: bool
    waiting: bool
    work: float
    accepted_ms: int


class JobOrder:
    """Ranks jobs: those that can end in time first, the smaller ones before.

    Attributes:
        known: Ranks by job, with the clock time at which they were worked out.
    """

    def __init__(self, estimates: DurationEstimates, clock: Clock) -> None:
        self.estimates = estimates
        self.clock = clock
        self.known: dict[str, tuple[JobRank, float]] = {}

    def rank(self, job: JobRun) -> JobRank:
        """Returns the rank of a job, worked out anew now and then."""
        now = self.clock.now()
        job_id = job.spec.job_id
        known = self.known.get(job_id)
        if known is not None and now - known[1] < RANK_MAX_AGE_S:
            return known[0]._replace(waiting=not job.begun)
        rank = self.work_out(job, self.clock.wall() * 1000)
        self.known[job_id] = (rank, now)
        return rank

    def keep_only(self, job_ids: Container[str]) -> None:
        """Drops what is known of other jobs."""
        self.known = {
            job_id: rank for job_id, rank in self.known.items() if job_id in job_ids
        }

    def work_out(self, job: JobRun, wall_ms: float) -> JobRank:
        """Returns the rank of a job at a Unix time in milliseconds."""
        spec, queue = job.spec, job.queue
        if spec.is_lasting():
            return JobRank(0, queue.priority, False, False, 0.0, spec.accepted_ms)
        work = 0.0
        chain_s = 0.0
        for steps in job.occurrences.values():
            ends_s: list[float] = []
            for step in steps:
                before_s = max((ends_s[n] for n in step.spec.after), default=0.0)
                longest_s, step_work = self.left(step)
                ends_s.append(before_s + longest_s)
                work += step_work
            chain_s = max(chain_s, *ends_s) if ends_s else chain_s
        return JobRank(
            1,
            queue.priority,
            self.is_late(job, chain_s, wall_ms),
            not job.begun,
            work,
            spec.accepted_ms,
        )

    def left(self, step: StepRun) -> tuple[float, float]:
        """Returns the longest time and the work that a step still takes."""
        longest_s = work = 0.0
        for task in step.open_tasks.values():
            left_s = self.estimates.left_s(task)
            longest_s = max(longest_s, left_s)
            work += left_s * task.size.cpu_milli
        return longest_s, work

    def is_late(self, job: JobRun, chain_s: float, wall_ms: float) -> bool:
        """Returns whether a job can no longer end in time."""
        spec = job.spec
        if spec.repetitions:
            return False
        total_ms = self.total_chain_ms(job)
        allowed_ms = job.queue.stretch * total_ms + job.queue.latency_target_ms
        end_ms = wall_ms + chain_s * 1000
        return end_ms > spec.accepted_ms + allowed_ms * (1 - MARGIN_SHARE)

    def total_chain_ms(self, job: JobRun) -> float:
        """Returns the expected length of a job's longest chain of work."""
        ends_s: list[float] = []
        for number, step in enumerate(job.spec.steps):
            before_s = max((ends_s[n] for n in step.after), default=0.0)
            ends_s.append(before_s + self.step_s(job, number))
        return max(ends_s, default=0.0) * 1000

    def step_s(self, job: JobRun, number: int) -> float:
        """Returns the expected duration of the longest task of a step."""
        run = job.step_run(0, number)
        if run is not None:
            seen_s = self.estimates.seen_s(run)
            if seen_s:
                return max(seen_s)
        return self.estimates.told_s(job.spec.steps[number], job.spec.queue)
