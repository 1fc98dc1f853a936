"""Decides in each round which waiting jobs start on which VMs."""

from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from typing import NamedTuple

from burdockthread_model.clock import Clock
from burdockthread_model.intended import OrganisationSpec, PoolSpec, ServiceSpec
from burdockthread_model.job import Job, JobState
from burdockthread_model.request import RequestClass
from burdockthread_routing.fleet_view import FleetView

from burdockthread_fleet.displacement import (
    DISPLACEMENT_TIMEOUT_S,
    ClassUsage,
    Displacement,
    choose_victims,
)
from burdockthread_fleet.job_outcomes import unassigned
from burdockthread_fleet.job_segments import JobUpdate
from burdockthread_fleet.placement import NOT_RESERVED, PlacementPolicy, VmAllocation
from burdockthread_fleet.pool_queue import PoolQueue, UnplaceableSizes
from burdockthread_fleet.quarantine import WorkerQuarantine
from burdockthread_fleet.quotas import URGENCY, TeamAccounts, class_minima, next_class
from burdockthread_fleet.usage import Size, sum_sizes

MAX_CLAIMS_PER_ROUND = 200
MAX_UNPROVEN_CLAIMS = 4
MAX_DISPLACEMENTS_PER_ROUND = 32
RESERVE_AFTER_S = 10.0
MAX_RESERVED_SHARE = 0.5
BORROWER_RANK = -1
AVOID_S = 5.0
DISPLACE_AFTER_S = {
    RequestClass.URGENT: 0.0,
    RequestClass.STANDARD: 3.0,
    RequestClass.DEFERRED: float("inf"),
}
TOO_LARGE_REASON = "larger than any VM"
OVER_QUOTA_REASON = "larger than the quota"
NO_SERVICE_REASON = "unknown service"
RELEASABLE_REASONS = (TOO_LARGE_REASON, OVER_QUOTA_REASON, NO_SERVICE_REASON)


class Plan(NamedTuple):
    """Decisions of one round.

    Attributes:
        updates: Claims, and jobs that are parked or released.
        displacements: Displacements started in this round or still pending.
    """

    updates: tuple[JobUpdate, ...]
    displacements: tuple[Displacement, ...]


class JobPlacer:
    """Places the waiting jobs of one organisation.

    Attributes:
        policy: Estimates job sizes and chooses among VMs.
        quarantine: Workers and jobs that fail.
        pending: Pending displacements, by job id.
        avoided_s: Clock time until which a VM gets no jobs, by VM.
        rounds: Number of rounds so far; rotates the order of the pools.
    """

    def __init__(
        self,
        organisation: str,
        view: FleetView,
        policy: PlacementPolicy,
        quarantine: WorkerQuarantine,
        clock: Clock,
    ) -> None:
        self.organisation = organisation
        self.view = view
        self.policy = policy
        self.quarantine = quarantine
        self.clock = clock
        self.pending: dict[str, Displacement] = {}
        self.avoided_s: dict[str, float] = {}
        self.rounds = 0

    async def plan(
        self,
        waiting_jobs: Sequence[Job],
        parked: Sequence[Job],
        allocations: Mapping[str, VmAllocation],
    ) -> Plan:
        """Decides one round; yields to the event loop after each pool.

        Args:
            waiting_jobs: Jobs that wait for a VM.
            parked: Parked jobs.
            allocations: VMs of the organisation with their jobs.

        Returns:
            The updates to write and the displacements to order.
        """
        self.rounds += 1
        return await PlacementRound(self, allocations).decide(waiting_jobs, parked)

    def spec(self) -> OrganisationSpec | None:
        """Returns the organisation's specification, or None if it has none."""
        for spec in self.view.organisations.values():
            if spec.organisation == self.organisation:
                return spec
        return None

    def pools(self) -> list[PoolSpec]:
        """Returns the organisation's pools, starting with the next in each round."""
        pools = [
            p for p in self.view.pools.values() if p.organisation == self.organisation
        ]
        if not pools:
            return []
        turn = self.rounds % len(pools)
        return pools[turn:] + pools[:turn]

    def avoid(self, vm: str) -> None:
        """Places no jobs for ``AVOID_S`` on a VM that refused or missed an order."""
        self.avoided_s[vm] = self.clock.now() + AVOID_S


class PlacementRound:
    """State of one round of a `JobPlacer`.

    Attributes:
        spare: Name of the organisation's spare pool, or empty.
        members: VMs of each pool.
        capacities: Distinct VM capacities in each pool.
        usage: Usage by class in each pool.
        accounts: Quotas and usage of the teams.
        sizes: Expected sizes of jobs, by job id.
        unplaceable: Sizes that fit no VM in this round, by pool.
        available: VMs of each pool that may get jobs.
        updates: Updates decided so far.
        displacements: Displacements started or still pending.
        claims: Number of claims so far.
    """

    def __init__(
        self, placer: JobPlacer, allocations: Mapping[str, VmAllocation]
    ) -> None:
        self.placer = placer
        self.policy = placer.policy
        self.now = placer.clock.now()
        self.wall_s = placer.clock.wall()
        self.pools = {pool.name: pool for pool in placer.pools()}
        self.spare = next((p.name for p in self.pools.values() if p.spare), "")
        self.members: dict[str, list[VmAllocation]] = {name: [] for name in self.pools}
        for allocation in allocations.values():
            self.members.setdefault(allocation.pool, []).append(allocation)
        self.capacities = {
            name: frozenset(allocation.capacity for allocation in members)
            for name, members in self.members.items()
        }
        self.usage = {name: self.class_usage(name) for name in self.members}
        self.accounts = self.team_accounts(allocations.values())
        self.charge_running(allocations.values())
        self.sizes: dict[str, Size] = {}
        self.unplaceable: defaultdict[str, UnplaceableSizes] = defaultdict(
            UnplaceableSizes
        )
        self.available = {name: self.available_vms(name) for name in self.members}
        self.updates: list[JobUpdate] = []
        self.displacements: list[Displacement] = []
        self.claims = 0

    def class_usage(self, pool: str) -> ClassUsage:
        """Returns a usage count by class for a pool, without any jobs."""
        total = sum_sizes(allocation.capacity for allocation in self.members[pool])
        services = self.placer.view.services.values()
        service = next((s for s in services if s.pool == pool), None)
        return ClassUsage(total, class_minima(service))

    def team_accounts(self, allocations: Iterable[VmAllocation]) -> TeamAccounts:
        """Returns the accounts of the organisation's teams, without any jobs."""
        spec = self.placer.spec()
        total = sum_sizes(allocation.capacity for allocation in allocations)
        return TeamAccounts(spec.teams if spec else (), total)

    def charge_running(self, allocations: Iterable[VmAllocation]) -> None:
        """Adds the claimed jobs to the usage of their pools, classes and teams."""
        by_class: defaultdict[tuple[str, RequestClass], list[Size]] = defaultdict(list)
        by_team: defaultdict[str, list[Size]] = defaultdict(list)
        for allocation in allocations:
            for job, size in zip(
                allocation.jobs.values(), allocation.sizes.values(), strict=True
            ):
                by_class[allocation.pool, job.request_class].append(size)
                by_team[job.team].append(size)
        for (pool, request_class), sizes in by_class.items():
            self.usage[pool].used[request_class] = sum_sizes(sizes)
        for team, sizes in by_team.items():
            self.accounts.charge(team, sum_sizes(sizes))

    def available_vms(self, pool: str) -> list[VmAllocation]:
        """Returns the VMs of a pool that may get jobs, and limits their claims.

        A VM on probation gets one job at a time. A worker without a success gets
        at most ``MAX_UNPROVEN_CLAIMS`` jobs, less its failures and unconfirmed
        starts, but always one when idle.
        """
        allocations = [
            allocation for allocation in self.members[pool] if allocation.in_service
        ]
        quarantine = self.placer.quarantine
        quarantined = quarantine.quarantined(
            [allocation.vm for allocation in allocations], self.now
        )
        found = []
        for allocation in allocations:
            avoided = self.placer.avoided_s.get(allocation.vm, 0.0) > self.now
            if allocation.vm in quarantined or avoided:
                continue
            if allocation.vm in quarantine.until_s:
                allocation.claims_left = 0 if allocation.jobs else 1
            elif allocation.vm not in quarantine.proven:
                unproven_jobs = allocation.unconfirmed_jobs + len(
                    quarantine.failures.get(allocation.vm, ())
                )
                at_least = 0 if allocation.jobs else 1
                allocation.claims_left = max(
                    MAX_UNPROVEN_CLAIMS - unproven_jobs, at_least
                )
            found.append(allocation)
        return found

    async def decide(self, waiting_jobs: Sequence[Job], parked: Sequence[Job]) -> Plan:
        """Makes the decisions of the round; see `JobPlacer.plan`."""
        self.release(parked)
        runnable = self.park(waiting_jobs)
        runnable = self.finish_displacements(runnable)
        queues: defaultdict[str, PoolQueue] = defaultdict(PoolQueue)
        for job in sorted(runnable, key=lambda job: job.submitted_s):
            queues[self.placer.view.services[job.service].pool].put(job)
        for pool in self.pools:
            if pool in queues:
                self.fill(pool, queues[pool])
                await self.placer.clock.sleep(0)
        return Plan(tuple(self.updates), tuple(self.displacements))

    def park(self, jobs: Sequence[Job]) -> list[Job]:
        """Parks the jobs that can never run.

        Jobs of the same service, team and class are checked one by one only if the
        largest demands among them could not run.

        Returns:
            The other jobs, except those of unknown services.
        """
        groups: defaultdict[tuple[str, str, RequestClass], list[Job]] = defaultdict(
            list
        )
        for job in jobs:
            groups[job.service, job.team, job.request_class].append(job)
        runnable = []
        for (service, _, _), group in groups.items():
            may_be_unrunnable = bool(self.reason_not_runnable(largest_demands(group)))
            left = self.park_each(group) if may_be_unrunnable else group
            if service in self.placer.view.services:
                runnable.extend(left)
        return runnable

    def park_each(self, jobs: Sequence[Job]) -> list[Job]:
        """Checks each job and parks those that can never run; returns the others."""
        runnable = []
        for job in jobs:
            reason = self.reason_not_runnable(job)
            if reason:
                parked = unassigned(job, JobState.PARKED, reason)
                self.updates.append(JobUpdate(job, parked))
            else:
                runnable.append(job)
        return runnable

    def release(self, parked: Sequence[Job]) -> None:
        """Queues parked jobs again that a new template has made runnable."""
        for job in parked:
            if job.reason.startswith(
                RELEASABLE_REASONS
            ) and not self.reason_not_runnable(job):
                state = JobState.QUEUED
                self.updates.append(JobUpdate(job, unassigned(job, state)))

    def reason_not_runnable(self, job: Job) -> str:
        """Returns why no VM could ever run a job at present, or an empty string."""
        service = self.placer.view.services.get(job.service)
        if service is None:
            return NO_SERVICE_REASON if self.placer.spec() is not None else ""
        size = self.policy.size(job)
        if not size.fits(self.accounts.account(job.team).limit):
            return f"{OVER_QUOTA_REASON} of team {job.team or '-'}: {describe(size)}"
        if not self.fits_any_vm(size, job, service):
            return f"{TOO_LARGE_REASON} of {service.pool}: {describe(size)}"
        return ""

    def size(self, job: Job) -> Size:
        """Returns the expected size of a job, fixed for this round."""
        size = self.sizes.get(job.job_id)
        if size is None:
            size = self.policy.size(job)
            self.sizes[job.job_id] = size
        return size

    def fits_any_vm(self, size: Size, job: Job, service: ServiceSpec) -> bool:
        """Returns whether a job fits an empty VM of its pool or the spare pool.

        Only urgent jobs may use the spare pool. Without any VM the answer is true.
        """
        capacities = self.capacities.get(service.pool, frozenset())
        for capacity in capacities:
            if size.fits(capacity):
                return True
        if job.request_class is RequestClass.URGENT:
            spare_capacities = self.capacities.get(self.spare, frozenset())
            return not (capacities or spare_capacities) or any(
                map(size.fits, spare_capacities)
            )
        return not capacities

    def finish_displacements(self, jobs: Sequence[Job]) -> list[Job]:
        """Claims freed capacity and keeps unfinished displacements pending.

        Returns:
            The jobs that still have to be placed.
        """
        if not self.placer.pending:
            return list(jobs)
        by_id = {job.job_id: job for job in jobs}
        pending, self.placer.pending = self.placer.pending, {}
        for displacement in pending.values():
            job = by_id.get(displacement.job_id)
            matching = [
                r
                for pool in self.available.values()
                for r in pool
                if r.vm == displacement.vm
            ]
            if job is None or not matching:
                continue
            allocation = matching[0]
            left = [
                v
                for v in displacement.victims
                if allocation.sizes.get(v.job_id, Size()).cores
            ]
            if not left and self.try_claim(job, allocation):
                del by_id[displacement.job_id]
            elif left and self.now < displacement.expires_s:
                self.keep_displacement_pending(job, allocation, displacement)
                del by_id[displacement.job_id]
            elif left:
                self.placer.avoid(displacement.vm)
                allocation.claims_left = 0
        return list(by_id.values())

    def keep_displacement_pending(
        self, job: Job, allocation: VmAllocation, displacement: Displacement
    ) -> None:
        """Keeps the capacity of a pending displacement from other jobs.

        In the VM's usage, the victims are replaced by the job.
        """
        for victim in displacement.victims:
            if victim.job_id in allocation.sizes:
                freed = allocation.sizes[victim.job_id]
                self.usage[allocation.pool].remove(victim, freed)
                allocation.remove(victim)
        allocation.add(job, displacement.size)
        self.unplaceable.pop(allocation.pool, None)
        self.placer.pending[job.job_id] = displacement
        self.displacements.append(displacement)

    def fill(self, pool: str, queue: PoolQueue) -> None:
        """Places the waiting jobs of one pool by class, then team, then age."""
        usage = self.usage[pool]
        shares = usage.shares()
        while queue.jobs and self.claims < MAX_CLAIMS_PER_ROUND:
            chosen = next_class(queue.classes(), shares, usage.minima)
            team = self.accounts.next_team(queue.teams(chosen))
            job = queue.take(chosen, team)
            if self.place(job, pool):
                shares = usage.shares()
            else:
                queue.record_unplaced(job)
                self.reserve_vm(job, pool)

    def place(self, job: Job, pool: str) -> bool:
        """Claims a VM for a job, or starts a displacement once it has waited.

        Returns:
            Whether a claim was made or a displacement started.
        """
        size = self.size(job)
        if not self.accounts.account(job.team).allows(size):
            return False
        allocation = self.find_vm(job, pool, URGENCY[job.request_class])
        if allocation is None and self.may_borrow(job, pool):
            allocation = self.find_vm(job, self.spare, BORROWER_RANK)
        if allocation is not None:
            self.claim(job, allocation, size)
            return True
        waited_s = self.wall_s - job.submitted_s
        if waited_s < DISPLACE_AFTER_S[job.request_class]:
            return False
        return self.displace(job, pool, size)

    def find_vm(self, job: Job, pool: str, rank: int) -> VmAllocation | None:
        """Returns a VM of a pool for a job, or None.

        The search is skipped if a job no larger and no less urgent has found none.
        Searches that exclude VMs on which the job failed are not remembered.
        """
        size = self.size(job)
        if self.unplaceable[pool].covers(rank, size):
            return None
        avoided = self.placer.quarantine.failed_on.get(job.job_id, ())
        candidates = [
            allocation
            for allocation in self.available[pool]
            if rank <= allocation.reserved_rank
        ]
        chosen = self.policy.choose(job, candidates, avoided)
        if chosen is None and not avoided:
            self.unplaceable[pool].add(rank, size)
        return chosen

    def may_borrow(self, job: Job, pool: str) -> bool:
        """Returns whether a job may run in the spare pool."""
        urgent = job.request_class is RequestClass.URGENT
        return urgent and bool(self.spare) and self.spare != pool

    def try_claim(self, job: Job, allocation: VmAllocation) -> bool:
        """Claims a VM for a job if the job fits; returns whether it does."""
        size = self.size(job)
        if self.policy.choose(job, [allocation]) is None:
            return False
        self.claim(job, allocation, size)
        return True

    def claim(self, job: Job, allocation: VmAllocation, size: Size) -> None:
        """Claims a VM for a job and updates the counts of the round."""
        allocation.add(job, size)
        allocation.claims_left -= 1
        self.claims += 1
        self.usage[allocation.pool].add(job, size)
        self.accounts.charge(job.team, size)
        claimed = job._replace(
            state=JobState.CLAIMED,
            vm=allocation.vm,
            boot_id=allocation.boot_id,
            attempt=job.attempt + 1,
            claimed_s=self.wall_s,
            reason="",
        )
        self.updates.append(JobUpdate(job, claimed))

    def displace(self, job: Job, pool: str, size: Size) -> bool:
        """Starts a displacement for a job; returns whether it did."""
        if len(self.displacements) >= MAX_DISPLACEMENTS_PER_ROUND:
            return False
        avoided = self.placer.quarantine.failed_on.get(job.job_id, ())
        names = (pool, self.spare) if self.may_borrow(job, pool) else (pool,)
        for name in names:
            allocations = [
                allocation
                for allocation in self.available.get(name, [])
                if allocation.claims_left > 0 and allocation.vm not in avoided
            ]
            found = choose_victims(job, size, allocations, self.usage)
            if found is None:
                continue
            allocation, victims = found
            expires_s = self.now + DISPLACEMENT_TIMEOUT_S
            displacement = Displacement(
                job.job_id, allocation.vm, size, victims, expires_s
            )
            self.keep_displacement_pending(job, allocation, displacement)
            self.accounts.charge(job.team, size)
            return True
        return False

    def reserve_vm(self, job: Job, pool: str) -> None:
        """Reserves a VM for a job that fits none, so that smaller jobs do not fill it.

        The emptiest suitable VM gets no less urgent jobs at once, and no jobs at
        all once the job has waited ``RESERVE_AFTER_S``. At most
        ``MAX_RESERVED_SHARE`` of a pool's VMs are reserved.
        """
        allocations = self.available[pool]
        kept = sum(
            [allocation.reserved_rank < NOT_RESERVED for allocation in allocations]
        )
        if kept + 1 > len(allocations) * MAX_RESERVED_SHARE:
            return
        size = self.size(job)
        fitting = [r for r in allocations if r.claims_left > 0 and size.fits(r.limit)]
        if not fitting:
            return
        emptiest = min(
            fitting,
            key=lambda allocation: allocation.used.share_of(allocation.capacity),
        )
        emptiest.reserved_rank = min(emptiest.reserved_rank, URGENCY[job.request_class])
        if self.wall_s - job.submitted_s > RESERVE_AFTER_S:
            emptiest.claims_left = 0


def largest_demands(jobs: Sequence[Job]) -> Job:
    """Returns a job that declares the largest amount of each resource in a group."""
    return jobs[0]._replace(
        cores=max([job.cores for job in jobs]),
        memory_gb=max([job.memory_gb for job in jobs]),
        accelerators=max([job.accelerators for job in jobs]),
    )


def describe(size: Size) -> str:
    """Returns a size as text with units, for the reason of a parked job."""
    accelerators = f", {size.accelerators:g} accelerators" if size.accelerators else ""
    return f"{size.cores:.3g} cores, {size.memory_gb:.3g} GB{accelerators}"
