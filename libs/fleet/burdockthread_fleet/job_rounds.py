"""The rounds by which one entry places and follows an organisation's jobs."""

import asyncio
from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping, Sequence
from typing import NamedTuple

from burdockthread_model.clock import Clock
from burdockthread_model.errors import ConflictError, PlatformError, StoreError
from burdockthread_model.events import EventLog
from burdockthread_model.job import FINAL_JOB_STATES, Job, JobState
from burdockthread_model.metrics import Metrics
from burdockthread_model.records import encode_record
from burdockthread_model.steps import Step, Steps
from burdockthread_routing.fleet_view import FleetView
from burdockthread_store.store import Change, ConfigurationStore

from burdockthread_fleet.job_outcomes import (
    CLAIMED_STATES,
    LOST_REASON,
    WAITING_STATES,
    apply_loss,
    apply_report,
    task_id_of,
    unassigned,
)
from burdockthread_fleet.job_placer import JobPlacer
from burdockthread_fleet.job_segments import JobSegments, JobUpdate
from burdockthread_fleet.placement import ObservedFit, Room
from burdockthread_fleet.quarantine import WorkerQuarantine
from burdockthread_fleet.relief import OvercommitRules, ReliefKind
from burdockthread_fleet.rooms import RoomBuilder
from burdockthread_fleet.task_orders import TaskOrders
from burdockthread_fleet.task_table import TASK_LEASE_S, TaskTable
from burdockthread_fleet.usage import REPORT_MAX_AGE_S, UsageEstimates
from burdockthread_fleet.worker_client import (
    Task,
    TaskReport,
    TaskState,
    WorkerClient,
)

PLACER_PREFIX = "placer/"
REPORTS_TIMEOUT_S = 1.5
COMPACTION_INTERVAL_S = 60.0
FAILED_REASON = "failed on several workers"
POLL_LINGER_S = TASK_LEASE_S + 10.0


class Placer(NamedTuple):
    """Value of the key that orders the claims of an organisation."""

    name: str


class JobParts(NamedTuple):
    """What placing jobs works with.

    Attributes:
        name: Name of the entry.
        segments: Jobs as the store holds them.
        store: Where claims are written.
        view: VMs and services.
        workers: Orders to workers and their reports.
        clock: Time.
        metrics: Counters.
        log: Events.
        steps: Steps at which tests may interfere.
    """

    name: str
    segments: JobSegments
    store: ConfigurationStore
    view: FleetView
    workers: WorkerClient
    clock: Clock
    metrics: Metrics
    log: EventLog
    steps: Steps


class JobRounds:
    """Settles, places and follows the jobs of one organisation.

    Every write carries a conditional write of ``placer/<organisation>``, so the
    claims of two entries that both believe to be the placer are made one after
    the other, the later one with the earlier one in sight.
    """

    def __init__(self, organisation: str, parts: JobParts) -> None:
        self.organisation = organisation
        self.name = parts.name
        self.segments = parts.segments
        self.store = parts.store
        self.view = parts.view
        self.workers = parts.workers
        self.clock = parts.clock
        self.metrics = parts.metrics
        self.log = parts.log
        self.steps = parts.steps
        self.table = TaskTable()
        self.estimates = UsageEstimates()
        self.builder = RoomBuilder(organisation, self.view, self.table, self.estimates)
        self.quarantine = WorkerQuarantine()
        self.rules = OvercommitRules(self.estimates.shares)
        policy = ObservedFit(self.estimates)
        self.placer = JobPlacer(
            organisation, self.view, policy, self.quarantine, self.clock
        )
        self.orders = TaskOrders(
            self.workers,
            self.table,
            self.clock,
            self.metrics,
            self.log,
            self.steps,
            self.is_current,
            self.placer.avoid,
        )
        self.placer_revision: int | None = None
        self.must_see_revision = 0
        self.round_s = self.clock.now()
        self.compacted_s = self.clock.now()
        self.polled_until_s: dict[str, float] = {}

    def open_jobs(self) -> list[Job]:
        """Returns the jobs that have not ended."""
        return list(self.segments.open[self.organisation].values())

    def claimed_jobs(self) -> list[Job]:
        """Returns the jobs that are with a worker."""
        return [job for job in self.open_jobs() if job.state in CLAIMED_STATES]

    async def round(self) -> None:
        """Does everything that is due now."""
        if not self.segments.cache.synced:
            return
        await self.read_reports()
        if self.segments.open[self.organisation]:
            await self.follow_jobs()
        else:
            self.rules.forget_loads()
        self.prune(self.claimed_jobs())
        await self.compact()
        self.round_s = self.clock.now()

    async def follow_jobs(self) -> None:
        """Settles and places the jobs that have not ended."""
        claimed = self.claimed_jobs()
        settled = self.settlements(claimed)
        rooms = self.builder.build(claimed, self.clock.wall())
        self.relieve(rooms)
        claims = await self.placements(rooms) if await self.sees_all_claims() else []
        await self.commit([*settled, *claims])
        self.send_orders(self.claimed_jobs())

    async def read_reports(self) -> None:
        """Reads the reports of every pool that has tasks."""
        claimed = self.claimed_jobs()
        for job in claimed:
            self.table.adopt(task_id_of(job), self.clock.now())
        by_pool: defaultdict[str, list[str]] = defaultdict(list)
        for job in claimed:
            record = self.view.records.get(job.vm)
            if record is not None:
                by_pool[record.pool].append(task_id_of(job))
        now = self.clock.now()
        self.polled_until_s.update(dict.fromkeys(by_pool, now + POLL_LINGER_S))
        for pool, until_s in self.polled_until_s.items():
            if now < until_s:
                by_pool[pool] += []
        reads = (self.read_pool(pool, ids) for pool, ids in by_pool.items())
        for reports in await asyncio.gather(*reads):
            self.take_reports(reports)

    async def read_pool(
        self, pool: str, task_ids: Iterable[str]
    ) -> tuple[TaskReport, ...]:
        """Reads the reports of one pool; a failure counts for no silence."""
        try:
            async with self.clock.timeout(REPORTS_TIMEOUT_S):
                return await self.workers.reports(pool)
        except (PlatformError, TimeoutError) as error:
            self.metrics.count("jobs.reports_failed")
            self.log.info("task_reports_failed", pool=pool, reason=error)
            self.table.hold(task_ids, self.clock.now() - self.round_s)
            return ()

    def take_reports(self, reports: Sequence[TaskReport]) -> None:
        """Learns from reports and ends tasks that nobody wants any more."""
        self.table.take(reports, self.clock.now(), self.clock.wall())
        for report in reports:
            job = self.segments.jobs.get(report.task_id.rpartition(".")[0])
            if job is None or report.state is not TaskState.RUNNING:
                continue
            if is_unwanted(job, report):
                if self.orders.stop(report.vm, report.task_id):
                    self.metrics.count("jobs.stopped")
                    self.log.info("task_stopped", task=report.task_id, vm=report.vm)
            else:
                self.estimates.learn(job, report)

    def settlements(self, claimed: Iterable[Job]) -> list[JobUpdate]:
        """Returns what has become of the claimed jobs."""
        updates = []
        for job in claimed:
            after = self.settle(job)
            if after != job:
                updates.append(JobUpdate(job, after))
        return updates

    def settle(self, job: Job) -> Job:
        """Returns a claimed job as it shall be."""
        task_id = task_id_of(job)
        now = self.clock.now()
        report = self.table.report(job)
        if report is not None and report.state is not TaskState.RUNNING:
            return self.settle_ended(job, report)
        if self.is_lost(job, now):
            return apply_loss(job, LOST_REASON, self.clock.wall())
        if report is not None:
            return apply_report(job, report, self.clock.wall())
        refused = self.orders.refused.get((task_id, job.claimed_s))
        if refused is not None:
            return unassigned(job, JobState.QUEUED, refused)
        if self.may_adopt(job):
            return job._replace(claimed_s=self.clock.wall())
        return job

    def settle_ended(self, job: Job, report: TaskReport) -> Job:
        """Returns a job whose task has ended; parks one that fails everywhere."""
        after = apply_report(job, report, self.clock.wall())
        if report.state is not TaskState.FAILED or not job.idempotent:
            return after
        service = self.view.services.get(job.service)
        vms = 0 if service is None else len(self.view.endpoints(service))
        if self.quarantine.fails_everywhere(job.job_id, job.vm, job.attempt, vms):
            reason = f"{FAILED_REASON}: {report.reason}"
            return unassigned(job, JobState.PARKED, reason)
        return after

    def may_adopt(self, job: Job) -> bool:
        """Returns whether to send the start of a claim that another process made."""
        if job.state is not JobState.CLAIMED:
            return False
        if task_id_of(job) in self.orders.dispatched:
            return False
        record = self.view.records.get(job.vm)
        listing = self.view.listings.get(job.vm)
        service = self.view.services.get(job.service)
        if record is None or listing is None or service is None:
            return False
        pool = self.view.pools.get(record.pool)
        may_run_in = record.pool == service.pool or (pool is not None and pool.spare)
        return may_run_in and listing.boot_id == job.boot_id

    def is_current(self, job: Job) -> bool:
        """Returns whether a claim still stands, as far as this entry knows."""
        known = self.segments.jobs.get(job.job_id)
        if known is None or known.attempt != job.attempt:
            return False
        return known.state in CLAIMED_STATES

    def is_lost(self, job: Job, now: float) -> bool:
        """Returns whether a job's task certainly runs no more."""
        task_id = task_id_of(job)
        if self.has_rebooted(job):
            return now - self.table.seen_s[task_id] > REPORT_MAX_AGE_S
        return self.table.is_lapsed(task_id, now)

    def has_rebooted(self, job: Job) -> bool:
        """Returns whether the VM of a claimed job is in another boot."""
        listing = self.view.listings.get(job.vm)
        return listing is not None and listing.boot_id != job.boot_id

    async def sees_all_claims(self) -> bool:
        """Returns whether every claim of another placer is in sight."""
        if self.placer_revision is None:
            try:
                found = await self.store.get(PLACER_PREFIX + self.organisation)
            except StoreError as error:
                self.log.info("placer_unreadable", reason=error)
                return False
            self.placer_revision = 0 if found is None else found.revision
            self.must_see_revision = self.placer_revision
        return self.segments.cache.revision >= self.must_see_revision

    async def placements(self, rooms: Mapping[str, Room]) -> list[JobUpdate]:
        """Returns the claims of this round, and orders the room they need."""
        open_jobs = self.open_jobs()
        queued = [job for job in open_jobs if job.state in WAITING_STATES]
        parked = [job for job in open_jobs if job.state is JobState.PARKED]
        if not queued and not parked:
            return []
        plan = await self.placer.plan(queued, parked, rooms)
        for made in plan.displacements:
            for victim in made.victims:
                if self.orders.checkpoint(made.vm, task_id_of(victim)):
                    self.metrics.count("jobs.displaced")
                    self.log.info(
                        "job_displaced",
                        job=victim.job_id,
                        vm=made.vm,
                        for_job=made.job_id,
                    )
        return list(plan.updates)

    def relieve(self, rooms: Mapping[str, Room]) -> None:
        """Relieves the VMs that real usage has overcommitted."""
        for room in rooms.values():
            if not room.in_service:
                continue
            observed = self.builder.observed(room)
            for kind, job, share in self.rules.decide(room, observed, self.clock.now()):
                if self.send_relief(kind, job, share):
                    self.metrics.count(f"jobs.relief.{kind.value}")
                    self.log.info(
                        "vm_relieved",
                        vm=room.vm,
                        order=kind.value,
                        job=job.job_id,
                        share=share,
                    )

    def send_relief(self, kind: ReliefKind, job: Job, share: float) -> bool:
        """Sends an order of the rules; returns whether it is a new one."""
        task_id = task_id_of(job)
        if kind is ReliefKind.THROTTLE:
            return self.orders.throttle(job.vm, task_id, share)
        if kind is ReliefKind.STOP:
            return self.orders.stop(job.vm, task_id)
        return self.orders.checkpoint(job.vm, task_id)

    async def commit(self, updates: Sequence[JobUpdate]) -> None:
        """Writes updates in few writes; what fails is decided again."""
        if self.placer_revision is None:
            return
        for batch in self.segments.batches(self.worth_a_write(updates)):
            decided_s = self.clock.now()
            try:
                revision = await self.segments.commit(
                    batch.changes, self.placer_change()
                )
            except ConflictError as error:
                self.placer_revision = None
                self.metrics.count("jobs.conflicts")
                self.log.info("job_conflict", reason=error)
                return
            except StoreError as error:
                self.placer_revision = None
                self.metrics.count("jobs.writes_failed")
                self.log.warning("job_write_failed", reason=error)
                return
            self.placer_revision = revision
            self.metrics.count("jobs.writes")
            await self.follow_up(batch.updates, decided_s)

    def worth_a_write(self, updates: Sequence[JobUpdate]) -> list[JobUpdate]:
        """Leaves out tasks seen running whose segment needs no other write."""
        keys = {
            self.segments.keys[update.before.job_id]
            for update in updates
            if update.after.state is not JobState.RUNNING
        }
        return [u for u in updates if self.segments.keys[u.before.job_id] in keys]

    def placer_change(self) -> Change:
        """Returns the conditional write that orders the claims."""
        key = PLACER_PREFIX + self.organisation
        value = encode_record(Placer(self.name))
        return Change(key, value, self.placer_revision or 0)

    async def follow_up(self, updates: Sequence[JobUpdate], decided_s: float) -> None:
        """Logs what was recorded, and starts what was claimed."""
        states = {update.after.state for update in updates}
        if states & FINAL_JOB_STATES:
            await self.steps.reach(Step.JOB_ENDED)
        if JobState.CLAIMED in states:
            await self.steps.reach(Step.JOB_CLAIMED)
        for before, after in updates:
            self.note(before, after)
            if after.state is JobState.CLAIMED:
                alone = before.state in WAITING_STATES
                task = self.task(after)
                if task is not None:
                    self.orders.dispatch(after, task, decided_s, alone=alone)

    def note(self, before: Job, after: Job) -> None:
        """Writes the log line and the counter of a change."""
        if after.state is before.state:
            return
        self.judge(before, after)
        self.metrics.count(f"jobs.{after.state.value}")
        self.log.info(
            f"job_{after.state.value}",
            job=after.job_id,
            vm=after.vm or before.vm,
            attempt=after.attempt,
            reason=after.reason,
        )

    def judge(self, before: Job, after: Job) -> None:
        """Notes what the end of a task says of its worker and its job."""
        report = self.table.report(before)
        if report is None or before.state not in CLAIMED_STATES:
            return
        vm = before.vm
        if report.state is TaskState.DONE:
            if self.quarantine.succeed(vm, before.job_id):
                self.metrics.count("jobs.workers_reinstated")
                self.log.info("worker_reinstated", vm=vm)
        elif report.state is TaskState.FAILED and self.quarantine.fail(
            vm, before.job_id, self.clock.now()
        ):
            self.metrics.count("jobs.workers_quarantined")
            self.log.warning("worker_quarantined", vm=vm, reason=report.reason)
        if after.state is JobState.PARKED:
            self.quarantine.blame_job(before.job_id)
        elif after.state is not JobState.QUEUED:
            self.quarantine.forget_job(before.job_id)

    def task(self, job: Job) -> Task | None:
        """Returns the task of a claimed job, or None if its VM has gone."""
        record = self.view.records.get(job.vm)
        if record is None:
            return None
        return Task(
            task_id=task_id_of(job),
            pool=record.pool,
            generation=record.generation,
            cores=job.cores,
            memory_gb=job.memory_gb,
            accelerators=job.accelerators,
            run_time_s=job.run_time_s,
            lease_s=TASK_LEASE_S,
            payload=job.payload,
            boot_id=job.boot_id,
        )

    def send_orders(self, claimed: Iterable[Job]) -> None:
        """Renews the leases of all tasks that are not given up."""
        now = self.clock.now()
        alive = []
        for job in claimed:
            task_id = task_id_of(job)
            self.table.adopt(task_id, now)
            if self.builder.is_draining(job):
                self.checkpoint_for_drain(job)
            if not self.has_rebooted(job) and not self.table.is_silent(task_id, now):
                alive.append(job)
        self.orders.renew(alive)

    def checkpoint_for_drain(self, job: Job) -> None:
        """Moves a task off a VM that drains."""
        if self.orders.checkpoint(job.vm, task_id_of(job)):
            self.metrics.count("jobs.moved_for_drain")
            self.log.info("job_moved_for_drain", job=job.job_id, vm=job.vm)

    def prune(self, claimed: Iterable[Job]) -> None:
        """Forgets the tasks of jobs that have ended or wait again."""
        kept = {task_id_of(job) for job in claimed}
        for task_id in self.table.prune(kept):
            self.orders.forget(task_id)
            self.estimates.forget(task_id)
            self.rules.forget(task_id)

    async def compact(self) -> None:
        """Drops old ended jobs from the store now and then."""
        now = self.clock.now()
        if now - self.compacted_s < COMPACTION_INTERVAL_S:
            return
        self.compacted_s = now
        for changes in self.compaction_writes():
            try:
                await self.segments.commit(changes)
            except StoreError as error:
                self.log.info("job_compaction_failed", reason=error)
                return
            except ConflictError:
                continue
            self.metrics.count("jobs.compactions")

    def compaction_writes(self) -> Iterator[tuple[Change, ...]]:
        """Yields the writes of one compaction."""
        yield from self.segments.compaction(self.organisation, self.clock.wall())


def is_unwanted(job: Job, report: TaskReport) -> bool:
    """Returns whether a running task belongs to no current attempt."""
    if job.state in FINAL_JOB_STATES:
        return True
    attempt = int(report.task_id.rpartition(".")[2])
    return attempt < job.attempt
