"""Decides each round which waiting jobs start, and where."""

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
from burdockthread_fleet.placement import NOT_RESERVED, PlacementPolicy, Room
from burdockthread_fleet.pool_queue import KnownMisses, PoolQueue
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
    """What a round decides about waiting jobs.

    Attributes:
        updates: Claims, and jobs parked or released.
        displacements: Room made for more urgent jobs, the pending ones included.
    """

    updates: tuple[JobUpdate, ...]
    displacements: tuple[Displacement, ...]


class JobPlacer:
    """Places the waiting jobs of one organisation.

    Attributes:
        policy: Sizes jobs and chooses among VMs.
        quarantine: Workers and jobs that fail.
        pending: Room that is being made, by job.
        avoided_s: Clock time until which a VM gets no job, by VM.
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
        rooms: Mapping[str, Room],
    ) -> Plan:
        """Decides one round; other tasks run between one pool and the next.

        Args:
            waiting_jobs: Jobs that wait for a VM.
            parked: Parked jobs.
            rooms: VMs of the organisation with their jobs.

        Returns:
            What is to be written and ordered.
        """
        self.rounds += 1
        return await PlacementRound(self, rooms).decide(waiting_jobs, parked)

    def spec(self) -> OrganisationSpec | None:
        """Returns what is intended for the organisation."""
        for spec in self.view.organisations.values():
            if spec.organisation == self.organisation:
                return spec
        return None

    def pools(self) -> list[PoolSpec]:
        """Returns the pools of the organisation, another one first each round."""
        pools = [
            p for p in self.view.pools.values() if p.organisation == self.organisation
        ]
        if not pools:
            return []
        turn = self.rounds % len(pools)
        return pools[turn:] + pools[:turn]

    def avoid(self, vm: str) -> None:
        """Places nothing on a VM that did not take an order."""
        self.avoided_s[vm] = self.clock.now() + AVOID_S


class PlacementRound:
    """The state of one round of a `JobPlacer`."""

    def __init__(self, placer: JobPlacer, rooms: Mapping[str, Room]) -> None:
        self.placer = placer
        self.policy = placer.policy
        self.now = placer.clock.now()
        self.wall_s = placer.clock.wall()
        self.pools = {pool.name: pool for pool in placer.pools()}
        self.spare = next((p.name for p in self.pools.values() if p.spare), "")
        self.members: dict[str, list[Room]] = {name: [] for name in self.pools}
        for room in rooms.values():
            self.members.setdefault(room.pool, []).append(room)
        self.capacities = {
            name: frozenset(room.capacity for room in members)
            for name, members in self.members.items()
        }
        self.usage = {name: self.class_usage(name) for name in self.members}
        self.accounts = self.team_accounts(rooms.values())
        self.charge_running(rooms.values())
        self.sizes: dict[str, Size] = {}
        self.misses: defaultdict[str, KnownMisses] = defaultdict(KnownMisses)
        self.open = {name: self.open_rooms(name) for name in self.members}
        self.updates: list[JobUpdate] = []
        self.displacements: list[Displacement] = []
        self.claims = 0

    def class_usage(self, pool: str) -> ClassUsage:
        """Returns the use of a pool by class, with nothing counted."""
        total = sum_sizes(room.capacity for room in self.members[pool])
        services = self.placer.view.services.values()
        service = next((s for s in services if s.pool == pool), None)
        return ClassUsage(total, class_minima(service))

    def team_accounts(self, rooms: Iterable[Room]) -> TeamAccounts:
        """Returns the accounts of the teams."""
        spec = self.placer.spec()
        total = sum_sizes(room.capacity for room in rooms)
        return TeamAccounts(spec.teams if spec else (), total)

    def charge_running(self, rooms: Iterable[Room]) -> None:
        """Counts what runs, by pool and class and by team."""
        by_class: defaultdict[tuple[str, RequestClass], list[Size]] = defaultdict(list)
        by_team: defaultdict[str, list[Size]] = defaultdict(list)
        for room in rooms:
            for job, size in zip(room.tasks.values(), room.sizes.values(), strict=True):
                by_class[room.pool, job.request_class].append(size)
                by_team[job.team].append(size)
        for (pool, request_class), sizes in by_class.items():
            self.usage[pool].used[request_class] = sum_sizes(sizes)
        for team, sizes in by_team.items():
            self.accounts.charge(team, sum_sizes(sizes))

    def open_rooms(self, pool: str) -> list[Room]:
        """Returns the VMs of a pool that may get jobs."""
        rooms = [room for room in self.members[pool] if room.in_service]
        quarantine = self.placer.quarantine
        closed = quarantine.closed([room.vm for room in rooms], self.now)
        found = []
        for room in rooms:
            avoided = self.placer.avoided_s.get(room.vm, 0.0) > self.now
            if room.vm in closed or avoided:
                continue
            if room.vm in quarantine.until_s:
                room.claims = 0 if room.tasks else 1
            elif room.vm not in quarantine.proven:
                doubts = room.unconfirmed + len(quarantine.failures.get(room.vm, ()))
                at_least = 0 if room.tasks else 1
                room.claims = max(MAX_UNPROVEN_CLAIMS - doubts, at_least)
            found.append(room)
        return found

    async def decide(self, waiting_jobs: Sequence[Job], parked: Sequence[Job]) -> Plan:
        """Decides the round; see `JobPlacer.plan`."""
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
        """Parks the jobs that can never run; returns the others."""
        alike: defaultdict[tuple[str, str, RequestClass], list[Job]] = defaultdict(list)
        for job in jobs:
            alike[job.service, job.team, job.request_class].append(job)
        runnable = []
        for (service, _, _), group in alike.items():
            suspect = bool(self.obstacle(envelope(group)))
            left = self.park_each(group) if suspect else group
            if service in self.placer.view.services:
                runnable.extend(left)
        return runnable

    def park_each(self, jobs: Sequence[Job]) -> list[Job]:
        """Parks those of some jobs that can never run; returns the others."""
        runnable = []
        for job in jobs:
            reason = self.obstacle(job)
            if reason:
                parked = unassigned(job, JobState.PARKED, reason)
                self.updates.append(JobUpdate(job, parked))
            else:
                runnable.append(job)
        return runnable

    def release(self, parked: Sequence[Job]) -> None:
        """Lets parked jobs wait again that a template has made runnable."""
        for job in parked:
            if job.reason.startswith(RELEASABLE_REASONS) and not self.obstacle(job):
                state = JobState.QUEUED
                self.updates.append(JobUpdate(job, unassigned(job, state)))

    def obstacle(self, job: Job) -> str:
        """Returns why a job can never run as things are, or an empty string."""
        service = self.placer.view.services.get(job.service)
        if service is None:
            return NO_SERVICE_REASON if self.placer.spec() is not None else ""
        size = self.policy.size(job)
        if not size.fits(self.accounts.account(job.team).limit):
            return f"{OVER_QUOTA_REASON} of team {job.team or '-'}: {describe(size)}"
        if not self.fits_a_shape(size, job, service):
            return f"{TOO_LARGE_REASON} of {service.pool}: {describe(size)}"
        return ""

    def size(self, job: Job) -> Size:
        """Returns the size that a job is counted with in this round."""
        size = self.sizes.get(job.job_id)
        if size is None:
            size = self.policy.size(job)
            self.sizes[job.job_id] = size
        return size

    def fits_a_shape(self, size: Size, job: Job, service: ServiceSpec) -> bool:
        """Returns whether a job fits a VM that it may get, if there is any."""
        shapes = self.capacities.get(service.pool, frozenset())
        for shape in shapes:
            if size.fits(shape):
                return True
        if job.request_class is RequestClass.URGENT:
            spare_shapes = self.capacities.get(self.spare, frozenset())
            return not (shapes or spare_shapes) or any(map(size.fits, spare_shapes))
        return not shapes

    def finish_displacements(self, jobs: Sequence[Job]) -> list[Job]:
        """Claims the room that was made; holds the room that is being made."""
        if not self.placer.pending:
            return list(jobs)
        by_id = {job.job_id: job for job in jobs}
        pending, self.placer.pending = self.placer.pending, {}
        for made in pending.values():
            job = by_id.get(made.job_id)
            rooms = [r for pool in self.open.values() for r in pool if r.vm == made.vm]
            if job is None or not rooms:
                continue
            room = rooms[0]
            left = [v for v in made.victims if room.sizes.get(v.job_id, Size()).cores]
            if not left and self.try_claim(job, room):
                del by_id[made.job_id]
            elif left and self.now < made.expires_s:
                self.hold(job, room, made)
                del by_id[made.job_id]
            elif left:
                self.placer.avoid(made.vm)
                room.claims = 0
        return list(by_id.values())

    def hold(self, job: Job, room: Room, made: Displacement) -> None:
        """Keeps the room that is being made from other jobs."""
        for victim in made.victims:
            if victim.job_id in room.sizes:
                freed = room.sizes[victim.job_id]
                self.usage[room.pool].remove(victim, freed)
                room.remove(victim)
        room.add(job, made.size)
        self.misses.pop(room.pool, None)
        self.placer.pending[job.job_id] = made
        self.displacements.append(made)

    def fill(self, pool: str, queue: PoolQueue) -> None:
        """Places the waiting jobs of one pool."""
        usage = self.usage[pool]
        shares = usage.shares()
        while queue.jobs and self.claims < MAX_CLAIMS_PER_ROUND:
            chosen = next_class(queue.classes(), shares, usage.minima)
            team = self.accounts.next_team(queue.teams(chosen))
            job = queue.take(chosen, team)
            if self.place(job, pool):
                shares = usage.shares()
            else:
                queue.miss(job)
                self.reserve(job, pool)

    def place(self, job: Job, pool: str) -> bool:
        """Claims a VM for a job if there is room within the team's quota."""
        size = self.size(job)
        if not self.accounts.account(job.team).allows(size):
            return False
        room = self.find_room(job, pool, URGENCY[job.request_class])
        if room is None and self.may_borrow(job, pool):
            room = self.find_room(job, self.spare, BORROWER_RANK)
        if room is not None:
            self.claim(job, room, size)
            return True
        waited_s = self.wall_s - job.submitted_s
        if waited_s < DISPLACE_AFTER_S[job.request_class]:
            return False
        return self.displace(job, pool, size)

    def find_room(self, job: Job, pool: str, rank: int) -> Room | None:
        """Returns the VM of a pool for a job, unless another search tells."""
        size = self.size(job)
        if self.misses[pool].covers(rank, size):
            return None
        avoided = self.placer.quarantine.failed_on.get(job.job_id, ())
        rooms = [room for room in self.open[pool] if rank <= room.reserved]
        room = self.policy.choose(job, rooms, avoided)
        if room is None and not avoided:
            self.misses[pool].note(rank, size)
        return room

    def may_borrow(self, job: Job, pool: str) -> bool:
        """Returns whether a job may take room in the spare pool."""
        urgent = job.request_class is RequestClass.URGENT
        return urgent and bool(self.spare) and self.spare != pool

    def try_claim(self, job: Job, room: Room) -> bool:
        """Claims one VM for a job if it fits there."""
        size = self.size(job)
        if self.policy.choose(job, [room]) is None:
            return False
        self.claim(job, room, size)
        return True

    def claim(self, job: Job, room: Room, size: Size) -> None:
        """Claims a VM for a job."""
        room.add(job, size)
        room.claims -= 1
        self.claims += 1
        self.usage[room.pool].add(job, size)
        self.accounts.charge(job.team, size)
        claimed = job._replace(
            state=JobState.CLAIMED,
            vm=room.vm,
            boot_id=room.boot_id,
            attempt=job.attempt + 1,
            claimed_s=self.wall_s,
            reason="",
        )
        self.updates.append(JobUpdate(job, claimed))

    def displace(self, job: Job, pool: str, size: Size) -> bool:
        """Begins to make room for a job; returns whether it does."""
        if len(self.displacements) >= MAX_DISPLACEMENTS_PER_ROUND:
            return False
        avoided = self.placer.quarantine.failed_on.get(job.job_id, ())
        names = (pool, self.spare) if self.may_borrow(job, pool) else (pool,)
        for name in names:
            rooms = [
                room
                for room in self.open.get(name, [])
                if room.claims > 0 and room.vm not in avoided
            ]
            found = choose_victims(job, size, rooms, self.usage)
            if found is None:
                continue
            room, victims = found
            expires_s = self.now + DISPLACEMENT_TIMEOUT_S
            made = Displacement(job.job_id, room.vm, size, victims, expires_s)
            self.hold(job, room, made)
            self.accounts.charge(job.team, size)
            return True
        return False

    def reserve(self, job: Job, pool: str) -> None:
        """Keeps a VM for a job without room, so that smaller ones do not take it.

        Less urgent jobs are kept off at once, others once the job has waited
        long; at most half of a pool's VMs are kept.
        """
        rooms = self.open[pool]
        kept = sum([room.reserved < NOT_RESERVED for room in rooms])
        if kept + 1 > len(rooms) * MAX_RESERVED_SHARE:
            return
        size = self.size(job)
        fitting = [r for r in rooms if r.claims > 0 and size.fits(r.limit)]
        if not fitting:
            return
        emptiest = min(fitting, key=lambda room: room.used.share_of(room.capacity))
        emptiest.reserved = min(emptiest.reserved, URGENCY[job.request_class])
        if self.wall_s - job.submitted_s > RESERVE_AFTER_S:
            emptiest.claims = 0


def envelope(jobs: Sequence[Job]) -> Job:
    """Returns a job that declares at least as much as each of some that are alike."""
    return jobs[0]._replace(
        cores=max([job.cores for job in jobs]),
        memory_gb=max([job.memory_gb for job in jobs]),
        accelerators=max([job.accelerators for job in jobs]),
    )


def describe(size: Size) -> str:
    """Returns a size as text with its units."""
    accelerators = f", {size.accelerators:g} accelerators" if size.accelerators else ""
    return f"{size.cores:.3g} cores, {size.memory_gb:.3g} GB{accelerators}"
