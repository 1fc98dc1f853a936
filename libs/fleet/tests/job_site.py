"""In-memory site for the job tests: entries, workers and a store."""

import asyncio
from contextlib import suppress

from burdockthread_fleet.job_rounds import JobDependencies
from burdockthread_fleet.job_runner import JobRunner
from burdockthread_fleet.job_segments import JobSegments
from burdockthread_fleet.memory_workers import MemoryWorkerClient
from burdockthread_model.intended import (
    MaintenanceSpec,
    OrganisationSpec,
    PoolSpec,
    ServiceSpec,
    TeamSpec,
    WeightsSpec,
)
from burdockthread_model.job import Job, JobState
from burdockthread_model.request import RequestClass
from burdockthread_model.steps import MemorySteps
from burdockthread_model.vm import VmListing, VmRecord, VmState, VmStatus
from burdockthread_peers.memory_mesh import MemoryNetwork
from burdockthread_routing.fleet_view import FleetView
from burdockthread_routing.job_ledger import JOB_PREFIX, decode_jobs, encode_jobs
from burdockthread_routing.vm_directory import MemoryVmDirectory
from burdockthread_store.applied import AppliedConfiguration
from burdockthread_store.prefix_cache import PrefixCache
from burdockthread_store.store import Change

SERVICE = "org/ledger"


def new_job(job_id, **fields):
    base = Job(
        job_id=job_id,
        service=SERVICE,
        organisation="org",
        team="desk",
        request_class=RequestClass.STANDARD,
        cores=1.0,
        memory_gb=1.0,
        accelerators=0,
        run_time_s=20.0,
        idempotent=False,
        state=JobState.QUEUED,
        payload="{}",
    )
    return base._replace(**fields)


def urgent(job_id, **fields):
    return new_job(job_id, request_class=RequestClass.URGENT, **fields)


class Node:
    """The job placement components of one entry."""

    def __init__(self, site, name):
        self.site = site
        self.steps = MemorySteps()
        self.mesh = site.network.join(name)
        self.cache = PrefixCache(site.store, JOB_PREFIX, site.clock)
        self.segments = JobSegments(site.store, self.cache, site.log)
        vm_cache = PrefixCache(site.store, "vm/", site.clock)
        applied = AppliedConfiguration(site.log)
        directory = MemoryVmDirectory()
        self.view = FleetView(applied, vm_cache, directory, site.clock, site.log)
        self.view.pools = site.pools
        self.view.services = site.services
        self.view.records = site.records
        self.view.listings = site.listings
        parts = JobDependencies(
            name=name,
            segments=self.segments,
            store=site.store,
            view=self.view,
            workers=site.workers,
            clock=site.clock,
            metrics=site.metrics,
            log=site.log,
            steps=self.steps,
        )
        self.runner = JobRunner(self.mesh, parts)
        self.tasks = []

    def start(self):
        self.tasks = [
            asyncio.create_task(self.cache.run()),
            asyncio.create_task(self.runner.run()),
        ]

    async def kill(self):
        """Stops the entry without cleanup visible to others, as SIGKILL does."""
        self.site.network.meshes.pop(self.mesh.name, None)
        for task in self.tasks:
            task.cancel()
        for task in self.tasks:
            with suppress(asyncio.CancelledError):
                await task

    def pause(self):
        """Removes the entry from the mesh while it still acts as the owner."""
        self.site.network.meshes.pop(self.mesh.name, None)
        self.runner.owned = lambda: {"org"}


class Site:
    """Workers, store and entries that serve one organisation."""

    def __init__(self, clock, store, metrics, log):
        self.clock = clock
        self.store = store
        self.metrics = metrics
        self.log = log
        self.network = MemoryNetwork()
        self.workers = MemoryWorkerClient(clock)
        self.pools = {}
        self.services = {}
        self.records = {}
        self.listings = {}
        self.nodes = []

    def add_pool(self, name, vms, cores=8, memory_gb=16, *, spare=False):
        pool = f"org/{name}"
        self.pools[pool] = PoolSpec(pool, "org", vms, vms - 1, spare=spare)
        self.services[pool] = ServiceSpec(pool, "org", pool)
        for number in range(vms):
            vm = f"{name}-{number}"
            self.workers.add(vm, cores, pool)
            self.records[vm] = VmRecord(vm, pool, VmState.SERVING, 1)
            self.listings[vm] = VmListing(
                name=vm,
                host="127.0.0.1",
                port=1,
                availability_zone="zone",
                region="region",
                rack="rack",
                cores=cores,
                memory_gb=memory_gb,
                accelerators=0,
                status=VmStatus.LIVE,
                boot_id="boot-1",
            )

    def reboot(self, vm, boot_id="boot-2"):
        self.workers.workers[vm].reboot(boot_id)
        self.listings[vm] = self.listings[vm]._replace(boot_id=boot_id)

    def node(self, name):
        node = Node(self, name)
        self.nodes.append(node)
        return node

    def owner(self):
        """Starts and returns the entry that places the jobs."""
        for name in ("entry-a", "entry-b"):
            node = self.node(name)
            if node.runner.owned() or (self.pools and "org" in node.runner.owned()):
                node.start()
                return node
        raise AssertionError("neither entry-a nor entry-b owns the organisation")

    async def submit(self, *jobs, segment="s1", service=SERVICE):
        key = f"{JOB_PREFIX}{service}/{segment}"
        await self.store.write([Change(key, encode_jobs(jobs), 0)])

    async def jobs(self):
        listing = await self.store.list(JOB_PREFIX)
        jobs = [job for item in listing.items for job in decode_jobs(item.value)]
        return {job.job_id: job for job in jobs}

    async def states(self):
        return {name: job.state for name, job in (await self.jobs()).items()}

    async def wait(self, seconds):
        for _ in range(int(seconds * 2)):
            await self.clock.advance(0.5)

    def most_starts(self):
        return max(self.workers.starts().values(), default=0)


async def start_delays(site, jobs, seconds):
    """Submits jobs and returns the delay until each was started.

    Jobs that were not started within ``seconds`` get an infinite delay.
    """
    submitted_s = site.clock.now()
    await site.submit(*jobs, segment="urgent")
    delays = {}
    while site.clock.now() < submitted_s + seconds:
        await site.clock.advance(0.5)
        for job_id in site.workers.starts():
            delays.setdefault(job_id, site.clock.now() - submitted_s)
    return [delays.get(job.job_id, float("inf")) for job in jobs]


async def fill(site, service, count, **fields):
    """Fills a pool with jobs of 300 s from four teams and waits 30 s."""
    jobs = [
        new_job(
            f"{service}-{n}",
            service=service,
            team=f"team-{n % 4}",
            run_time_s=300.0,
            **fields,
        )
        for n in range(count)
    ]
    await site.submit(*jobs, service=service, segment="fill")
    await site.wait(30)


def desk_with_cores(cores):
    teams = (TeamSpec("desk", "org", 1.0, cores, 64),)
    maintenance = MaintenanceSpec()
    return OrganisationSpec(
        "org", "template", 1, (), (), teams, WeightsSpec(), maintenance
    )
