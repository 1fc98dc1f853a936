"""Rounds in which one entry settles and places an organisation's jobs."""

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
from burdockthread_fleet.placement import ObservedFit, VmAllocation
from burdockthread_fleet.quarantine import WorkerQuarantine
from burdockthread_fleet.relief import OvercommitRules, ReliefKind
from burdockthread_fleet.task_orders import TaskOrders
from burdockthread_fleet.task_table import TASK_LEASE_S, TaskTable
from burdockthread_fleet.usage import REPORT_MAX_AGE_S, UsageEstimates
from burdockthread_fleet.vm_allocations import VmAllocationBuilder
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
    """Value of the key ``placer/<organisation>``, which serialises the claims.

    Attributes:
        name: Entry that wrote last.
    """

    name: str


class JobDependencies(NamedTuple):
    """Objects that a `JobRunner` and its `JobRounds` depend on.

    Attributes:
        name: Name of the entry.
        segments: Index of the jobs in the store.
        store: Store to which claims are written.
        view: VMs, pools and services.
        workers: Client for orders to workers and for their reports.
        clock: Source of time.
        metrics: Counters.
        log: Event log.
        steps: Named steps at which tests may pause or inject faults.
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
    """Settles and places the jobs of one organisation and renews their leases.

    Every transaction includes a conditional write of ``placer/<organisation>``.
    If two entries both act as the placer, their claims are thereby serialised,
    and the later entry has read the earlier claims before it makes its own.

    Attributes:
        placer_revision: Last known revision of the placer key; None after a failed
            write, until the key is read again.
        required_revision: Revision that the cache must reach before claims are made.
        polled_until_s: Clock time until which a pool's reports are read, by pool.
    """

    def __init__(self, organisation: str, parts: JobDependencies) -> None:
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
        self.builder = VmAllocationBuilder(
            organisation, self.view, self.table, self.estimates
        )
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
        self.required_revision = 0
        self.round_s = self.clock.now()
        self.compacted_s = self.clock.now()
        self.polled_until_s: dict[str, float] = {}

    def open_jobs(self) -> list[Job]:
        """Returns the organisation's jobs that have not ended."""
        return list(self.segments.open[self.organisation].values())

    def claimed_jobs(self) -> list[Job]:
        """Returns the jobs that are claimed or running."""
        return [job for job in self.open_jobs() if job.state in CLAIMED_STATES]

    async def round(self) -> None:
        """Runs one round; does nothing until the cache is synchronised."""
        if not self.segments.cache.synced:
            return
        await self.read_reports()
        if self.segments.open[self.organisation]:
            await self.process_open_jobs()
        else:
            self.rules.reset_load_timers()
        self.prune(self.claimed_jobs())
        await self.compact()
        self.round_s = self.clock.now()

    async def process_open_jobs(self) -> None:
        """Settles and places open jobs, writes the updates and renews leases.

        Claims are made only if the cache includes all claims of other placers.
        """
        claimed = self.claimed_jobs()
        settled = self.settlements(claimed)
        allocations = self.builder.build(claimed, self.clock.wall())
        self.relieve(allocations)
        claims = (
            await self.placements(allocations)
            if await self.cache_has_all_claims()
            else []
        )
        await self.commit([*settled, *claims])
        self.send_orders(self.claimed_jobs())

    async def read_reports(self) -> None:
        """Reads the reports of every pool that has or recently had tasks."""
        claimed = self.claimed_jobs()
        for job in claimed:
            self.table.track(task_id_of(job), self.clock.now())
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
            self.record_reports(reports)

    async def read_pool(
        self, pool: str, task_ids: Iterable[str]
    ) -> tuple[TaskReport, ...]:
        """Reads the reports of one pool.

        After a failure the tasks are not counted as silent for the time without
        reports.
        """
        try:
            async with self.clock.timeout(REPORTS_TIMEOUT_S):
                return await self.workers.reports(pool)
        except (PlatformError, TimeoutError) as error:
            self.metrics.count("jobs.reports_failed")
            self.log.info("task_reports_failed", pool=pool, reason=error)
            self.table.extend_silence_limit(task_ids, self.clock.now() - self.round_s)
            return ()

    def record_reports(self, reports: Sequence[TaskReport]) -> None:
        """Records reports, learns usage and stops tasks of no current attempt."""
        self.table.record_reports(reports, self.clock.now(), self.clock.wall())
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
        """Returns the updates of claimed jobs whose state has changed."""
        updates = []
        for job in claimed:
            after = self.settle(job)
            if after != job:
                updates.append(JobUpdate(job, after))
        return updates

    def settle(self, job: Job) -> Job:
        """Returns a claimed job as it shall be recorded."""
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
        """Returns a job whose task has ended; parks a job that fails everywhere."""
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
        """Returns whether this process shall start a claim made by another one.

        The VM must still be in the same boot and in the service's pool or a spare
        pool.
        """
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
        """Returns whether the index still shows a job's claim as in force."""
        known = self.segments.jobs.get(job.job_id)
        if known is None or known.attempt != job.attempt:
            return False
        return known.state in CLAIMED_STATES

    def is_lost(self, job: Job, now: float) -> bool:
        """Returns whether a job's task has certainly ended without a report."""
        task_id = task_id_of(job)
        if self.has_rebooted(job):
            return now - self.table.last_alive_s[task_id] > REPORT_MAX_AGE_S
        return self.table.is_lease_expired(task_id, now)

    def has_rebooted(self, job: Job) -> bool:
        """Returns whether the VM of a job has rebooted since the claim."""
        listing = self.view.listings.get(job.vm)
        return listing is not None and listing.boot_id != job.boot_id

    async def cache_has_all_claims(self) -> bool:
        """Returns whether the cache includes every claim of other placers.

        Reads the placer key first if its revision is unknown.
        """
        if self.placer_revision is None:
            try:
                found = await self.store.get(PLACER_PREFIX + self.organisation)
            except StoreError as error:
                self.log.info("placer_unreadable", reason=error)
                return False
            self.placer_revision = 0 if found is None else found.revision
            self.required_revision = self.placer_revision
        return self.segments.cache.revision >= self.required_revision

    async def placements(
        self, allocations: Mapping[str, VmAllocation]
    ) -> list[JobUpdate]:
        """Returns the updates of this round and orders its displacements."""
        open_jobs = self.open_jobs()
        queued = [job for job in open_jobs if job.state in WAITING_STATES]
        parked = [job for job in open_jobs if job.state is JobState.PARKED]
        if not queued and not parked:
            return []
        plan = await self.placer.plan(queued, parked, allocations)
        for displacement in plan.displacements:
            for victim in displacement.victims:
                if self.orders.checkpoint(displacement.vm, task_id_of(victim)):
                    self.metrics.count("jobs.displaced")
                    self.log.info(
                        "job_displaced",
                        job=victim.job_id,
                        vm=displacement.vm,
                        for_job=displacement.job_id,
                    )
        return list(plan.updates)

    def relieve(self, allocations: Mapping[str, VmAllocation]) -> None:
        """Sends orders that relieve the VMs overcommitted by actual usage."""
        for allocation in allocations.values():
            if not allocation.in_service:
                continue
            observed = self.builder.observed(allocation)
            for kind, job, share in self.rules.decide(
                allocation, observed, self.clock.now()
            ):
                if self.send_relief(kind, job, share):
                    self.metrics.count(f"jobs.relief.{kind.value}")
                    self.log.info(
                        "vm_relieved",
                        vm=allocation.vm,
                        order=kind.value,
                        job=job.job_id,
                        share=share,
                    )

    def send_relief(self, kind: ReliefKind, job: Job, share: float) -> bool:
        """Sends a relief order; returns whether it was sent for the first time."""
        task_id = task_id_of(job)
        if kind is ReliefKind.THROTTLE:
            return self.orders.throttle(job.vm, task_id, share)
        if kind is ReliefKind.STOP:
            return self.orders.stop(job.vm, task_id)
        return self.orders.checkpoint(job.vm, task_id)

    async def commit(self, updates: Sequence[JobUpdate]) -> None:
        """Writes updates in few transactions.

        After a failed write the remaining updates are dropped; the next round
        decides them again.
        """
        if self.placer_revision is None:
            return
        for batch in self.segments.batches(self.updates_to_write(updates)):
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

    def updates_to_write(self, updates: Sequence[JobUpdate]) -> list[JobUpdate]:
        """Returns the updates to write.

        A change to running alone is not worth a write: it is written only together
        with another change of the same segment.
        """
        keys = {
            self.segments.keys[update.before.job_id]
            for update in updates
            if update.after.state is not JobState.RUNNING
        }
        return [u for u in updates if self.segments.keys[u.before.job_id] in keys]

    def placer_change(self) -> Change:
        """Returns the conditional write of the placer key."""
        key = PLACER_PREFIX + self.organisation
        value = encode_record(Placer(self.name))
        return Change(key, value, self.placer_revision or 0)

    async def follow_up(self, updates: Sequence[JobUpdate], decided_s: float) -> None:
        """Logs the recorded updates and starts the claimed jobs."""
        states = {update.after.state for update in updates}
        if states & FINAL_JOB_STATES:
            await self.steps.reach(Step.JOB_ENDED)
        if JobState.CLAIMED in states:
            await self.steps.reach(Step.JOB_CLAIMED)
        for before, after in updates:
            self.record_change(before, after)
            if after.state is JobState.CLAIMED:
                sole_sender = before.state in WAITING_STATES
                task = self.task(after)
                if task is not None:
                    self.orders.dispatch(
                        after, task, decided_s, sole_sender=sole_sender
                    )

    def record_change(self, before: Job, after: Job) -> None:
        """Logs and counts a change of state and updates the quarantine."""
        if after.state is before.state:
            return
        self.update_quarantine(before, after)
        self.metrics.count(f"jobs.{after.state.value}")
        self.log.info(
            f"job_{after.state.value}",
            job=after.job_id,
            vm=after.vm or before.vm,
            attempt=after.attempt,
            reason=after.reason,
        )

    def update_quarantine(self, before: Job, after: Job) -> None:
        """Records the success or failure of a task in the quarantine."""
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
            self.quarantine.discard_failures_of_job(before.job_id)
        elif after.state is not JobState.QUEUED:
            self.quarantine.forget_job(before.job_id)

    def task(self, job: Job) -> Task | None:
        """Returns the task of a claimed job, or None if its VM has no record."""
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
        """Renews the leases of all tasks that may still run, and drains VMs.

        Tasks that are silent or whose VM has rebooted are not renewed.
        """
        now = self.clock.now()
        alive = []
        for job in claimed:
            task_id = task_id_of(job)
            self.table.track(task_id, now)
            if self.builder.is_draining(job):
                self.checkpoint_for_drain(job)
            if not self.has_rebooted(job) and not self.table.is_silent(task_id, now):
                alive.append(job)
        self.orders.renew(alive)

    def checkpoint_for_drain(self, job: Job) -> None:
        """Checkpoints a task on a draining VM, so that it resumes elsewhere."""
        if self.orders.checkpoint(job.vm, task_id_of(job)):
            self.metrics.count("jobs.moved_for_drain")
            self.log.info("job_moved_for_drain", job=job.job_id, vm=job.vm)

    def prune(self, claimed: Iterable[Job]) -> None:
        """Drops the state of tasks whose jobs are no longer claimed."""
        kept = {task_id_of(job) for job in claimed}
        for task_id in self.table.prune(kept):
            self.orders.forget(task_id)
            self.estimates.forget(task_id)
            self.rules.forget(task_id)

    async def compact(self) -> None:
        """Deletes old ended jobs from the store every ``COMPACTION_INTERVAL_S``."""
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
        """Yields the transactions of one compaction."""
        yield from self.segments.compaction(self.organisation, self.clock.wall())


def is_unwanted(job: Job, report: TaskReport) -> bool:
    """Returns whether a running task's job has ended or has a newer attempt."""
    if job.state in FINAL_JOB_STATES:
        return True
    attempt = int(report.task_id.rpartition(".")[2])
    return attempt < job.attempt
