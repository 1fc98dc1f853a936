"""Simulation of one site's jobs on in-memory workers, with a simulated clock."""

import json
import random
from collections import Counter
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from burdockthread_fleet.job_placer import JobPlacer, Plan
from burdockthread_fleet.job_rounds import JobDependencies, JobRounds
from burdockthread_fleet.job_runner import ROUND_INTERVAL_S
from burdockthread_fleet.job_segments import JobSegments, JobUpdate
from burdockthread_fleet.memory_workers import (
    ActualSize,
    MemoryWorker,
    MemoryWorkerClient,
    job_id_of,
)
from burdockthread_fleet.placement import FirstFit, VmAllocation
from burdockthread_fleet.relief import OvercommitRules, Relief
from burdockthread_fleet.usage import Size
from burdockthread_fleet.worker_client import Task
from burdockthread_model.clock import MemoryClock
from burdockthread_model.events import EventLog
from burdockthread_model.intended import (
    MaintenanceSpec,
    OrganisationSpec,
    PoolSpec,
    ServiceSpec,
    TeamSpec,
    WeightsSpec,
)
from burdockthread_model.job import Job, JobState
from burdockthread_model.metrics import MemoryMetrics
from burdockthread_model.request import RequestClass
from burdockthread_model.steps import Steps
from burdockthread_model.vm import VmListing, VmRecord, VmState, VmStatus
from burdockthread_routing.fleet_view import FleetView
from burdockthread_routing.job_ledger import JOB_PREFIX, encode_jobs
from burdockthread_routing.vm_directory import MemoryVmDirectory
from burdockthread_store.applied import AppliedConfiguration
from burdockthread_store.memory_store import MemoryStore
from burdockthread_store.prefix_cache import PrefixCache
from burdockthread_store.store import Change, KeyValue

REPORT_LAG_S = 2.0
TEAMS = ("desk", "yard", "night", "ledger")
DECLARED_FACTORS = (0.1, 0.3, 1.0, 10.0)
MAX_DECLARED_SHARE = 0.9


class SiteSize(NamedTuple):
    """Pools and worker sizes of a site.

    Attributes:
        name: Name of the site.
        pools: Its pools, the spare pool last.
        workers: Workers of each pool.
        cores: Processors of each worker.
        memory_gb: Memory of each worker in gigabytes.
    """

    name: str
    pools: tuple[str, ...]
    workers: int
    cores: int
    memory_gb: int


TRINACRIA = SiteSize(
    "trinacria",
    ("bookings", "releases", "hauliers", "transfers", "yard-misc"),
    6,
    64,
    128,
)
KLOOFSIG = SiteSize(
    "kloofsig", ("pricing", "inventory", "resellers", "dispatch", "admin"), 6, 16, 64
)


class TrialWorker(MemoryWorker):
    """A worker whose tasks carry their actual sizes in their payload."""

    def actual(self, task: Task) -> ActualSize:
        """Returns the actual size of a task, decoded from its payload."""
        return ActualSize(**json.loads(task.payload))


class NoRelief(OvercommitRules):
    """Never orders that a job be moved off an overcommitted VM."""

    def decide(
        self, room: VmAllocation, observed: Mapping[str, Size], now: float
    ) -> list[Relief]:
        """Returns an empty list."""
        return []


class FirstComePlacer(JobPlacer):
    """Baseline: first come, first fit by declared sizes.

    Displaces no job and quarantines no worker.
    """

    async def plan(
        self,
        waiting_jobs: Sequence[Job],
        parked: Sequence[Job],
        rooms: Mapping[str, VmAllocation],
    ) -> Plan:
        """Returns the claims of one round; a job that does not fit blocks its pool."""
        policy = FirstFit()
        updates = []
        blocked: set[str] = set()
        for job in sorted(waiting_jobs, key=lambda job: job.submitted_s):
            pool = self.view.services[job.service].pool
            if pool in blocked:
                continue
            own = [r for r in rooms.values() if r.pool == pool and r.in_service]
            room = policy.choose(job, own)
            if room is None:
                blocked.add(pool)
                continue
            room.add(job, policy.size(job))
            claimed = job._replace(
                state=JobState.CLAIMED,
                vm=room.vm,
                boot_id=room.boot_id,
                attempt=job.attempt + 1,
                claimed_s=self.clock.wall(),
            )
            updates.append(JobUpdate(job, claimed))
        return Plan(tuple(updates), ())


class JobTrial:
    """Simulated organisation with its workers, store and job placer.

    Attributes:
        teams: Teams that submit jobs.
        started_s: Clock time of the first start of each job, by id.
        cores_s: Core seconds used by running tasks.
        memory_gb_s: Gigabyte seconds of memory used by running tasks.
        exceeded_s: VM seconds in which the tasks used more memory than the VM has.
    """

    def __init__(self, site: SiteSize, seed: int, *, first_come: bool = False) -> None:
        self.site = site
        self.teams: tuple[str, ...] = TEAMS
        self.random = random.Random(f"{site.name} {seed}")
        self.clock = MemoryClock()
        self.log = QuietLog("trial")
        self.metrics = MemoryMetrics()
        self.store = MemoryStore(self.clock)
        self.cache = PrefixCache(self.store, JOB_PREFIX, self.clock)
        self.cache.synced = True
        self.segments = JobSegments(self.store, self.cache, self.log)
        self.workers = MemoryWorkerClient(self.clock)
        self.view = self.build_view()
        parts = JobDependencies(
            name="trial",
            segments=self.segments,
            store=self.store,
            view=self.view,
            workers=self.workers,
            clock=self.clock,
            metrics=self.metrics,
            log=self.log,
            steps=Steps(),
        )
        self.rounds = JobRounds(site.name, parts)
        if first_come:
            placer = FirstComePlacer(
                site.name,
                self.view,
                FirstFit(),
                self.rounds.quarantine,
                self.clock,
            )
            self.rounds.placer = placer
            self.rounds.rules = NoRelief({})
        self.started_s: dict[str, float] = {}
        self.submitted: dict[str, Job] = {}
        self.cores_s = 0.0
        self.memory_gb_s = 0.0
        self.exceeded_s = 0.0
        self.numbers = 0

    def build_view(self) -> FleetView:
        """Returns a fleet view with all pools and VMs of the site in service."""
        vm_cache = PrefixCache(self.store, "vm/", self.clock)
        applied = AppliedConfiguration(self.log)
        view = FleetView(applied, vm_cache, MemoryVmDirectory(), self.clock, self.log)
        for number, name in enumerate(self.site.pools):
            pool = f"{self.site.name}/{name}"
            spare = number == len(self.site.pools) - 1
            view.pools[pool] = PoolSpec(
                pool, self.site.name, self.site.workers, 1, spare=spare
            )
            view.services[pool] = ServiceSpec(pool, self.site.name, pool)
            for index in range(self.site.workers):
                self.add_vm(view, pool, f"{name}-{index}")
        return view

    def set_quotas(self, teams: tuple[str, ...], share: float) -> None:
        """Replaces the teams that submit jobs, and gives each a quota.

        Args:
            teams: Names of the teams.
            share: Quota of each team as a share of all workers.
        """
        self.teams = teams
        workers = len(self.workers.workers) * share
        cores = int(workers * self.site.cores)
        memory_gb = int(workers * self.site.memory_gb)
        name = self.site.name
        specs = tuple(TeamSpec(team, name, 1.0, cores, memory_gb) for team in teams)
        self.view.organisations["trial", name] = OrganisationSpec(
            name, "trial", 1, (), (), specs, WeightsSpec(), MaintenanceSpec()
        )

    def add_vm(self, view: FleetView, pool: str, vm: str) -> None:
        """Adds a VM and its in-memory worker."""
        view.records[vm] = VmRecord(vm, pool, VmState.SERVING, 1)
        view.listings[vm] = VmListing(
            name=vm,
            host="127.0.0.1",
            port=0,
            availability_zone="zone",
            region="region",
            rack="rack",
            cores=self.site.cores,
            memory_gb=self.site.memory_gb,
            accelerators=0,
            status=VmStatus.LIVE,
            boot_id="boot-1",
        )
        worker = TrialWorker(vm, self.site.cores, self.clock, pool)
        worker.checkpoints = self.workers.checkpoints
        worker.faults.report_lag_s = REPORT_LAG_S
        self.workers.workers[vm] = worker

    def new_job(self, pool: str, request_class: RequestClass, run_time_s: float) -> Job:
        """Returns a job whose declared size is off by its team's usual factor."""
        self.numbers += 1
        team_number = self.random.randrange(len(self.teams))
        cores = self.random.uniform(0.05, 0.25) * self.site.cores
        memory_gb = cores * self.random.uniform(0.5, 3.0)
        actual = ActualSize(cores, memory_gb, run_time_s)
        factor = DECLARED_FACTORS[team_number % len(DECLARED_FACTORS)]
        wrong = factor * self.random.uniform(0.8, 1.25)
        largest = MAX_DECLARED_SHARE
        return Job(
            job_id=f"job-{self.numbers}",
            service=f"{self.site.name}/{pool}",
            organisation=self.site.name,
            team=self.teams[team_number],
            request_class=request_class,
            cores=min(cores * wrong, self.site.cores * largest),
            memory_gb=min(memory_gb * wrong, self.site.memory_gb * largest),
            accelerators=0,
            run_time_s=run_time_s * wrong,
            idempotent=True,
            state=JobState.QUEUED,
            submitted_s=self.clock.wall(),
            payload=json.dumps(actual._asdict()),
        )

    async def submit(self, jobs: Sequence[Job]) -> None:
        """Writes jobs to the store, one segment for each service."""
        by_service: dict[str, list[Job]] = {}
        for job in jobs:
            self.submitted[job.job_id] = job
            by_service.setdefault(job.service, []).append(job)
        for service, group in by_service.items():
            key = f"{JOB_PREFIX}{service}/{self.store.revision + 1}"
            value = encode_jobs(group)
            revision = await self.store.write([Change(key, value, 0)])
            self.cache.put(KeyValue(key, value, revision))

    async def round(self) -> None:
        """Runs one placement round and advances the clock to the next."""
        await self.rounds.round()
        await self.clock.advance(ROUND_INTERVAL_S)
        self.observe()

    def observe(self) -> None:
        """Adds the use of one round interval to the totals and records first starts."""
        for worker in self.workers.workers.values():
            running = worker.running()
            cores = sum(task.size.cores * task.share for task in running)
            memory_gb = sum(task.size.memory_gb for task in running)
            self.cores_s += min(cores, worker.cores) * ROUND_INTERVAL_S
            self.memory_gb_s += memory_gb * ROUND_INTERVAL_S
            if memory_gb > self.site.memory_gb:
                self.exceeded_s += ROUND_INTERVAL_S
            for task in running:
                job_id = job_id_of(task.task.task_id)
                self.started_s.setdefault(job_id, self.clock.now())

    def delays_s(self, jobs: Sequence[Job]) -> list[float]:
        """Returns the seconds from submission to the first start of each job.

        Jobs that have not started count with the time until now.
        """
        now = self.clock.now()
        return [self.started_s.get(job.job_id, now) - job.submitted_s for job in jobs]

    def done(self) -> Counter[tuple[str, RequestClass]]:
        """Returns the number of completed jobs by service and request class."""
        return Counter(
            (job.service, job.request_class)
            for job in self.segments.jobs.values()
            if job.state is JobState.DONE
        )

    def cores(self) -> float:
        """Returns the total cores of all workers."""
        return float(len(self.workers.workers) * self.site.cores)

    def memory_gb(self) -> float:
        """Returns the total memory of all workers in gigabytes."""
        return float(len(self.workers.workers) * self.site.memory_gb)


class QuietLog(EventLog):
    """Discards events, so that logging does not distort the measured times."""

    def info(self, name: str, **fields: object) -> None:
        """Discards an event."""

    def warning(self, name: str, **fields: object) -> None:
        """Discards an event."""
