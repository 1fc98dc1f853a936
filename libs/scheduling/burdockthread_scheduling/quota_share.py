"""The part of each organisation's quota that the holder of a pool may use."""

import asyncio
from collections import defaultdict
from collections.abc import Iterable, Sequence
from operator import gt

from burdockthread_scheduling.board import JobRun, StepRun, TaskRun
from burdockthread_scheduling.organisations import UNLIMITED
from burdockthread_scheduling.pool_core import PoolCore
from burdockthread_scheduling.pool_workers import PoolWorkers
from burdockthread_scheduling.quota_messages import (
    OrganisationUse,
    QuotaAnswer,
    QuotaReport,
)
from burdockthread_scheduling.specs import TaskId
from burdockthread_scheduling.workers import Capacity

# At most one line a second tells of an organisation that is at its limit.
LOG_INTERVAL_S = 1.0
NOTHING_GRANTED = Capacity()

Amounts = list[int]


def no_amounts() -> Amounts:
    """Returns zero of each resource."""
    return [0] * len(Capacity())


def add(amounts: Amounts, size: Sequence[int]) -> None:
    """Adds a size to amounts."""
    # Called for each run in each round; a loop over the resources takes twice as long.
    amounts[0] += size[0]
    amounts[1] += size[1]
    amounts[2] += size[2]


def bounded(amounts: Amounts) -> Capacity:
    """Returns amounts that fit into a message, whatever sizes callers have given."""
    return Capacity(*(min(amount, UNLIMITED) for amount in amounts))


class QuotaShare:
    """Admits starts within the limits that the allocator has granted to this pool.

    Attributes:
        limits: Limit by organisation; an organisation without one starts nothing.
        used: Size of the runs that may exist, by organisation.
        reports: Number of reports sent.
        allocator_fence: Highest fencing token of an allocator that has answered.
        blocked: Set when a task waits for a higher limit.
        logged_s: Clock time of the last log line by organisation.
        adopted: Jobs of which earlier holders may have started tasks, by id. One that
            ends stays until none of its runs can exist: the board forgets it as soon
            as its end is stored.
    """

    def __init__(self, core: PoolCore, workers: PoolWorkers) -> None:
        self.core = core
        self.workers = workers
        self.limits: dict[str, Capacity] = {}
        self.used: defaultdict[str, Amounts] = defaultdict(no_amounts)
        self.reports = 0
        self.allocator_fence = -1
        self.blocked = asyncio.Event()
        self.logged_s: dict[str, float] = {}
        self.adopted: dict[str, JobRun] = {}

    def is_needed(self) -> bool:
        """Returns whether any organisation has a quota."""
        return self.core.parts.configuration().organisations.has_quotas()

    def begin_round(self) -> None:
        """Adds up the runs that may exist."""
        self.used.clear()
        if not self.core.parts.configuration().organisations.by_name:
            return
        for job in self.core.board.jobs.values():
            if job.adopted and job.spec.organisation:
                self.adopted[job.spec.job_id] = job
        stopping = set()
        for worker in self.core.workers.values():
            for placement in worker.placements.values():
                if placement.task is not None:
                    self.note(placement.task)
                else:
                    stopping.add(placement.task_id.job_id)
                    self.note_unwanted(placement.task_id)
        if not self.core.is_certain():
            self.count_unaccounted()
        if self.workers.assignment.unreached:
            self.count_unlocated()
            return
        for job_id in self.adopted.keys() - self.core.board.jobs.keys() - stopping:
            del self.adopted[job_id]

    def note_unwanted(self, task: TaskId) -> None:
        """Adds a run of an earlier holder that is being stopped."""
        job = self.adopted.get(task.job_id)
        if job is not None and task.step < len(job.spec.steps):
            step = job.spec.steps[task.step]
            size = step.cpu_milli, step.memory_mb, step.accelerators
            add(self.used[job.spec.organisation], size)

    def count_unaccounted(self) -> None:
        """Adds the tasks whose lost runs another holder may keep alive."""
        for job in self.core.board.jobs.values():
            for task in job.open_tasks():
                if task.unaccounted and not task.placements:
                    self.note(task)

    def count_unlocated(self) -> None:
        """Adds the tasks that may run on workers which have not answered.

        Their step is not known for certain: an earlier holder may have begun the next
        one without having stored the end of this one.
        """
        for job in self.adopted.values():
            for task in job.open_tasks():
                if not task.placements and not job.is_located(task):
                    self.note(task)

    def note(self, task: TaskRun) -> None:
        """Adds a run of a task."""
        organisation = task.job.spec.organisation
        if organisation:
            add(self.used[organisation], task.size)

    def admits(self, tasks: Sequence[TaskRun]) -> bool:
        """Returns whether tasks of one job may start together."""
        name = tasks[0].job.spec.organisation
        quota = self.core.parts.configuration().organisations.quota(name)
        if not name or not quota.is_limited():
            return True
        size: Sequence[int] = tasks[0].size
        if len(tasks) > 1:
            size = [
                sum(amounts) for amounts in zip(*(t.size for t in tasks), strict=True)
            ]
        limit = self.limits.get(name, NOTHING_GRANTED)
        for used, amount, most, total in zip(
            self.used[name], size, limit, quota, strict=True
        ):
            # A single task larger than the quota may run alone.
            if used + amount > min(most, max(total, amount)):
                self.note_blocked(name, limit, size)
                return False
        return True

    def note_blocked(self, name: str, limit: Capacity, size: Sequence[int]) -> None:
        """Asks for a higher limit; logs that a task waits for it."""
        self.blocked.set()
        now = self.core.clock.now()
        if now - self.logged_s.get(name, float("-inf")) < LOG_INTERVAL_S:
            return
        self.logged_s[name] = now
        self.core.metrics.count("quotas.blocked")
        self.core.log.info(
            "organisation_at_limit",
            organisation=name,
            pool=self.core.pool,
            limit=tuple(limit),
            used=tuple(self.used[name]),
            needed=tuple(size),
            allocator=self.allocator_fence,
        )

    def report(self) -> QuotaReport:
        """Returns the next report to the allocator."""
        self.begin_round()
        waiting: defaultdict[str, Amounts] = defaultdict(no_amounts)
        largest: defaultdict[str, Amounts] = defaultdict(no_amounts)
        organisations = self.core.parts.configuration().organisations
        for name, step, size in self.waiting_tasks():
            add(waiting[name], size)
            quota = organisations.quota(name)
            whole = step.spec.gang and not any(map(gt, size, quota))
            single = next(iter(step.open_tasks.values())).size
            largest[name] = list(map(max, largest[name], size if whole else single))
        self.reports += 1
        names = {*self.limits, *self.used, *waiting}
        uses = {
            name: OrganisationUse(
                self.limits.get(name, NOTHING_GRANTED),
                bounded(self.used[name]),
                bounded(waiting[name]),
                bounded(largest[name]),
            )
            for name in names
        }
        core = self.core
        return QuotaReport(core.pool, core.tenure.fence, self.reports, uses)

    def waiting_tasks(self) -> Iterable[tuple[str, StepRun, Sequence[int]]]:
        """Yields the tasks of organisations that could start and have no run.

        Yields:
            For each step with such tasks, the organisation, the step, and the size of
            these tasks together; all tasks of a step have one size.
        """
        for job in self.core.board.jobs.values():
            if job.end is not None or job.held_back or not job.spec.organisation:
                continue
            for step in job.runnable_steps():
                tasks = step.open_tasks.values()
                number = sum([not task.placements for task in tasks])
                if number:
                    size = next(iter(tasks)).size
                    total = [number * amount for amount in size]
                    yield job.spec.organisation, step, total

    def apply(self, answer: QuotaAnswer) -> None:
        """Applies the limits that the allocator has answered."""
        if answer.fence < self.allocator_fence:
            return
        self.allocator_fence = answer.fence
        raised = any(
            map(int.__lt__, self.limits.get(name, NOTHING_GRANTED), limit)
            for name, limit in answer.limits.items()
        )
        self.limits = {name: Capacity(*limit) for name, limit in answer.limits.items()}
        if raised:
            self.core.wake.set()
