"""Orders the jobs of a pool by whether they can still meet their objective."""

from collections.abc import Callable, Container
from typing import NamedTuple

from burdockthread_model.clock import Clock

from burdockthread_scheduling.admission import (
    MARGIN_SHARE,
    Lateness,
    lateness_of,
    service_cost,
)
from burdockthread_scheduling.board import JobRun, StepRun
from burdockthread_scheduling.estimates import DurationEstimates
from burdockthread_scheduling.pool_backlog import ArrivedWork

MILLI = 1_000
# Margin where jobs are ranked without their values.
WIDE_MARGIN_SHARE = 0.1
# Runs report their progress about five times a second.
OUTLOOK_MAX_AGE_S = 0.1
# The outlook of a job without runs changes only with the mean of its queue.
IDLE_OUTLOOK_MAX_AGE_S = 0.5


class JobOutlook(NamedTuple):
    """The expected course of a job that has not ended.

    Attributes:
        computed_s: Clock time at which the outlook was computed.
        chain_s: Remaining seconds of its critical path.
        objective_ms: Milliseconds allowed from its acceptance to its end.
        work: Remaining work in thousandths of a core times seconds.
        waiting: Part of `work` whose tasks could run now and have no run.
        running_milli: Processors that its runs use, in thousandths.
        total: Work of the whole job, done or not, in the unit of `work`.
    """

    computed_s: float
    chain_s: float
    objective_ms: float
    work: float
    waiting: float
    running_milli: int
    total: float = 0.0


class StepOutlook(NamedTuple):
    """The expected course of one step, in the units of `JobOutlook`."""

    longest_s: float
    work: float
    waiting: float
    running_milli: int


class JobRank(NamedTuple):
    """The place of a job in the order; the lowest is served first.

    Attributes:
        lasting: 0 for a long-running job, which goes first; else 1.
        useless: Whether it earns nothing any more.
        priority: Urgency of its queue.
        lateness: Whether it can still end in time.
        waiting: Whether none of its tasks has started; only without values.
        cost: Remaining work, for each unit of its value if jobs are ranked by it.
        accepted_ms: Unix time of its acceptance.
    """

    lasting: int
    useless: bool
    priority: int
    lateness: Lateness
    waiting: bool
    cost: float
    accepted_ms: int


class JobOrder:
    """Ranks jobs: those that can end in time first, and smaller ones before larger.

    With organisations, jobs that earn nothing any more go last, and the others by the
    work that they need for their value.

    Attributes:
        by_value: Returns whether jobs are ranked by their value.
        known: Cached outlooks by job.
        arrived: Work that has arrived, in core-seconds.
    """

    def __init__(
        self,
        estimates: DurationEstimates,
        clock: Clock,
        by_value: Callable[[], bool] = lambda: False,
    ) -> None:
        self.estimates = estimates
        self.clock = clock
        self.by_value = by_value
        self.known: dict[str, JobOutlook] = {}
        self.arrived = ArrivedWork()

    def rank(self, job: JobRun) -> JobRank:
        """Returns the sort key of a job; the lowest is served first."""
        spec, queue = job.spec, job.queue
        if spec.is_lasting():
            lateness = Lateness.IN_TIME
            return JobRank(
                0, False, queue.priority, lateness, False, 0.0, spec.accepted_ms
            )
        outlook = self.outlook(job)
        lateness = self.lateness_by(job, outlook)
        if not self.by_value():
            return JobRank(
                1,
                False,
                queue.priority,
                lateness,
                not job.begun,
                outlook.work,
                spec.accepted_ms,
            )
        cost = service_cost(
            outlook.work / MILLI,
            outlook.total / MILLI,
            self.arrived.mean_works.get(spec.queue, 0.0),
            job.begun,
        )
        return JobRank(
            1,
            lateness is Lateness.TOO_LATE,
            queue.priority,
            lateness,
            False,
            cost,
            spec.accepted_ms,
        )

    def keep_only(self, job_ids: Container[str]) -> None:
        """Drops the cached outlooks of other jobs."""
        for job_id in [job_id for job_id in self.known if job_id not in job_ids]:
            del self.known[job_id]

    def outlook(self, job: JobRun) -> JobOutlook:
        """Returns the outlook of a job, cached for a short time."""
        now = self.clock.now()
        known = self.known.get(job.spec.job_id)
        max_age_s = OUTLOOK_MAX_AGE_S if job.begun else IDLE_OUTLOOK_MAX_AGE_S
        if known is not None and now - known.computed_s < max_age_s:
            return known
        outlook = self.compute_outlook(job, now)
        self.known[job.spec.job_id] = outlook
        return outlook

    def compute_outlook(self, job: JobRun, now: float) -> JobOutlook:
        """Computes the outlook of a job."""
        work = waiting = chain_s = 0.0
        running_milli = 0
        for steps in job.occurrences.values():
            ends_s: list[float] = []
            for step in steps:
                before_s = max((ends_s[n] for n in step.spec.after), default=0.0)
                found = self.step_outlook(step, unlocked=job.is_unlocked(steps, step))
                ends_s.append(before_s + found.longest_s)
                work += found.work
                waiting += found.waiting
                running_milli += found.running_milli
            chain_s = max(chain_s, *ends_s) if ends_s else chain_s
        total_chain_s, total = self.whole(job)
        objective_ms = (
            job.queue.stretch * total_chain_s * 1000 + job.queue.latency_target_ms
        )
        return JobOutlook(
            now, chain_s, objective_ms, work, waiting, running_milli, total
        )

    def step_outlook(self, step: StepRun, *, unlocked: bool) -> StepOutlook:
        """Computes the outlook of the open tasks of a step."""
        if not step.open_tasks:
            return StepOutlook(0.0, 0.0, 0.0, 0)
        total_s = self.estimates.step_total_s(step)
        longest_s = work = waiting = 0.0
        running_milli = 0
        for task in step.open_tasks.values():
            left_s = self.estimates.left_s(task, total_s)
            cpu_milli = task.size.cpu_milli
            longest_s = max(longest_s, left_s)
            work += left_s * cpu_milli
            if step.spec.lasting or step.spec.fills:
                continue
            if task.placements:
                running_milli += cpu_milli
            elif unlocked:
                waiting += left_s * cpu_milli
        return StepOutlook(longest_s, work, waiting, running_milli)

    def lateness(self, job: JobRun) -> Lateness:
        """Returns whether a job can still end in time."""
        if job.spec.is_lasting():
            return Lateness.IN_TIME
        return self.lateness_by(job, self.outlook(job))

    def lateness_by(self, job: JobRun, outlook: JobOutlook) -> Lateness:
        """Returns the lateness by an outlook of a job without lasting tasks."""
        if job.spec.repetitions:
            return Lateness.IN_TIME
        end_ms = self.clock.wall() * 1000 + outlook.chain_s * 1000
        passed_ms = end_ms - job.spec.accepted_ms
        margin_share = MARGIN_SHARE if self.by_value() else WIDE_MARGIN_SHARE
        return lateness_of(passed_ms, outlook.objective_ms, margin_share)

    def whole(self, job: JobRun) -> tuple[float, float]:
        """Returns the expected length of a job's critical path and all its work.

        The length is in seconds, the work in the unit of `JobOutlook`.
        """
        ends_s: list[float] = []
        total = 0.0
        for number, step in enumerate(job.spec.steps):
            step_s = self.step_s(job, number)
            before_s = max((ends_s[n] for n in step.after), default=0.0)
            ends_s.append(before_s + step_s)
            total += step.tasks * step.cpu_milli * step_s
        return max(ends_s, default=0.0), total

    def step_s(self, job: JobRun, number: int) -> float:
        """Returns the expected duration of the longest task of a step in seconds."""
        run = job.step_run(0, number)
        if run is not None:
            seen_s = self.estimates.observed_s(run)
            if seen_s:
                return max(seen_s)
        return self.estimates.corrected_estimate_s(
            job.spec.steps[number], job.spec.queue
        )
