"""Jobs from acceptance to their end, with faults at every step."""

import asyncio
from contextlib import suppress

import pytest
from burdockthread_fleet.job_runner import JobRunner
from burdockthread_fleet.job_segments import JobSegments
from burdockthread_fleet.memory_workers import MemoryWorkerClient
from burdockthread_model.errors import StoreUnknownError
from burdockthread_model.intended import PoolSpec, ServiceSpec
from burdockthread_model.job import Job, JobState
from burdockthread_model.request import RequestClass
from burdockthread_model.steps import MemorySteps, Step
from burdockthread_model.vm import VmListing, VmRecord, VmState, VmStatus
from burdockthread_peers.memory_mesh import MemoryNetwork
from burdockthread_routing.fleet_view import FleetView
from burdockthread_routing.job_ledger import JOB_PREFIX, decode_jobs, encode_jobs
from burdockthread_routing.vm_directory import MemoryVmDirectory
from burdockthread_store.applied import AppliedConfiguration
from burdockthread_store.prefix_cache import PrefixCache
from burdockthread_store.store import Change

SERVICE = "org/ledger"
JOB_STEPS = (Step.JOB_CLAIMED, Step.JOB_STARTED, Step.JOB_ENDED)


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


class Node:
    """One entry's job side."""

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
        self.runner = JobRunner(
            self.mesh,
            self.segments,
            site.store,
            self.view,
            site.workers,
            site.clock,
            site.metrics,
            site.log,
            self.steps,
        )
        self.tasks = []

    def start(self):
        self.tasks = [
            asyncio.create_task(self.cache.run()),
            asyncio.create_task(self.runner.run()),
        ]

    async def kill(self):
        """Ends the entry as SIGKILL does, seen from outside."""
        self.site.network.meshes.pop(self.mesh.name, None)
        for task in self.tasks:
            task.cancel()
        for task in self.tasks:
            with suppress(asyncio.CancelledError):
                await task

    def pause(self):
        """Hides the entry from the others; resumed, it still acts as the owner."""
        self.site.network.meshes.pop(self.mesh.name, None)
        self.runner.owned = lambda: {"org"}


class Site:
    """Workers, store and entries of one organisation."""

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
        """Returns the started entry that places the jobs."""
        for name in ("entry-a", "entry-b"):
            node = self.node(name)
            if node.runner.owned() or (self.pools and "org" in node.runner.owned()):
                node.start()
                return node
        raise AssertionError("no owner")

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


@pytest.fixture
async def site(clock, store, metrics, log):
    site = Site(clock, store, metrics, log)
    site.add_pool("ledger", 2)
    yield site
    for node in site.nodes:
        await node.kill()


async def test_jobs_run_to_their_end(site):
    node = site.owner()
    await site.submit(new_job("a"), new_job("b"))
    await site.wait(5)
    assert set((await site.states()).values()) == {JobState.CLAIMED}
    await site.wait(25)
    jobs = await site.jobs()
    assert {job.state for job in jobs.values()} == {JobState.DONE}
    assert jobs["a"].attempt == 1
    assert jobs["a"].ended_s > jobs["a"].claimed_s
    assert site.workers.starts() == {"a": 1, "b": 1}
    assert [s for s in JOB_STEPS if s in node.steps.reached] == list(JOB_STEPS)


async def test_the_claim_is_recorded_before_the_dispatch(site):
    node = site.owner()
    seen = []

    async def look():
        seen.append((await site.states(), dict(site.workers.starts())))

    node.steps.actions[Step.JOB_CLAIMED] = look
    await site.submit(new_job("a"))
    await site.wait(2)
    assert seen == [({"a": JobState.CLAIMED}, {})]


async def test_many_jobs_take_few_writes(site):
    site.add_pool("big", 4, cores=64, memory_gb=512)
    site.owner()
    for segment in range(4):
        jobs = [
            new_job(f"{segment}-{n}", service="org/big", run_time_s=5.0)
            for n in range(50)
        ]
        await site.submit(*jobs, segment=f"s{segment}", service="org/big")
    before = site.store.revision
    await site.wait(15)
    assert set((await site.states()).values()) == {JobState.DONE}
    assert site.store.revision - before <= 4


@pytest.mark.parametrize("idempotent", [True, False])
@pytest.mark.parametrize("step", JOB_STEPS)
async def test_a_killed_runner_is_replaced(site, step, idempotent):
    first = site.owner()
    stop = asyncio.Event()

    async def hang():
        stop.set()
        await asyncio.Event().wait()

    first.steps.actions[step] = hang
    await site.submit(*(new_job(str(n), idempotent=idempotent) for n in range(6)))
    await site.wait(30)
    assert stop.is_set()
    await first.kill()
    site.node("entry-c").start()
    await site.wait(60)
    assert set((await site.states()).values()) == {JobState.DONE}
    assert site.most_starts() == 1


@pytest.mark.parametrize("reboot", [False, True])
@pytest.mark.parametrize("idempotent", [True, False])
@pytest.mark.parametrize("step", JOB_STEPS)
async def test_a_paused_runner_does_no_harm(site, step, idempotent, reboot):
    first = site.owner()
    resume = asyncio.Event()
    first.steps.actions[step] = resume.wait
    await site.submit(*(new_job(str(n), idempotent=idempotent) for n in range(6)))
    await site.wait(23)
    first.pause()
    site.node("entry-c").start()
    await site.wait(5)
    if reboot:
        site.reboot("ledger-0")
    await site.wait(15)
    resume.set()
    await site.wait(90)
    jobs = await site.jobs()
    allowed = {JobState.DONE} if idempotent else {JobState.DONE, JobState.UNKNOWN}
    assert {job.state for job in jobs.values()} <= allowed
    assert site.most_starts() <= (1 if not (idempotent and reboot) else 2)


async def test_two_runners_at_once_do_no_harm(site):
    first, second = site.node("entry-a"), site.node("entry-b")
    for node in (first, second):
        node.runner.owned = lambda: {"org"}
        node.start()
    for segment in range(5):
        jobs = [new_job(f"{segment}-{n}", run_time_s=3.0) for n in range(10)]
        await site.submit(*jobs, segment=f"s{segment}")
    await site.wait(60)
    assert set((await site.states()).values()) == {JobState.DONE}
    assert site.most_starts() == 1
    assert len(site.workers.starts()) == 50


async def test_lost_answers_of_the_store_start_nothing_twice(site):
    site.owner()
    write = site.store.write
    lost = []

    async def lose(changes, guards=()):
        revision = await write(changes, guards)
        if len(lost) < 3:
            lost.append(revision)
            raise StoreUnknownError("the answer was lost")
        return revision

    await site.submit(*(new_job(str(n)) for n in range(6)))
    site.store.write = lose
    await site.wait(60)
    assert len(lost) == 3
    assert set((await site.states()).values()) == {JobState.DONE}
    assert site.most_starts() == 1


async def test_lost_answers_of_workers_start_nothing_twice(site):
    site.owner()
    for worker in site.workers.workers.values():
        worker.faults.loses_answers = True
    await site.submit(*(new_job(str(n)) for n in range(6)))
    await site.wait(60)
    assert set((await site.states()).values()) == {JobState.DONE}
    assert site.most_starts() == 1


async def test_work_goes_on_while_the_store_is_out(site):
    site.owner()
    await site.submit(*(new_job(str(n), run_time_s=100.0) for n in range(4)))
    await site.wait(3)
    await site.submit(new_job("late"), segment="s2")
    started = dict(site.workers.starts())
    with site.store.outage():
        await site.wait(150)
        assert dict(site.workers.starts()) == started
    await site.wait(40)
    assert set((await site.states()).values()) == {JobState.DONE}
    assert site.most_starts() == 1


async def test_no_claim_is_made_while_the_store_is_out(site):
    site.owner()
    await site.wait(1)
    await site.submit(new_job("a"))
    with site.store.outage():
        await site.wait(20)
        assert not site.workers.starts()
    await site.wait(30)
    assert await site.states() == {"a": JobState.DONE}


async def test_a_lost_worker_gives_up_idempotent_jobs_after_the_lease(site):
    site.owner()
    job = new_job("a", idempotent=True, run_time_s=200.0)
    await site.submit(job, new_job("b", run_time_s=200.0))
    await site.wait(3)
    for name in ("a", "b"):
        vm = (await site.jobs())[name].vm
        site.workers.workers[vm].faults.paused = True
    paused_s = site.clock.now()
    site.add_pool("ledger", 4)
    for vm in ("ledger-0", "ledger-1"):
        site.workers.workers[vm].faults.paused = True
    while (await site.states())["a"] is not JobState.QUEUED:
        await site.clock.advance(0.5)
        assert site.clock.now() < paused_s + 300
        if site.workers.starts()["a"] > 0:
            break
    assert site.clock.now() - paused_s > 30.0
    await site.wait(10)
    states = await site.states()
    assert states["b"] is JobState.UNKNOWN
    assert (await site.jobs())["a"].attempt == 2


async def test_a_reboot_makes_a_job_unknown_that_is_not_idempotent(site):
    site.owner()
    await site.submit(new_job("a", run_time_s=100.0))
    await site.wait(3)
    site.reboot((await site.jobs())["a"].vm)
    await site.wait(30)
    job = (await site.jobs())["a"]
    assert job.state is JobState.UNKNOWN
    assert job.reason
    assert site.most_starts() == 1


async def test_failing_reports_end_no_work(site):
    site.owner()
    await site.submit(*(new_job(str(n), run_time_s=90.0) for n in range(4)))
    await site.wait(3)

    async def fail(pool):
        raise TimeoutError

    reports, site.workers.reports = site.workers.reports, fail
    await site.wait(60)
    site.workers.reports = reports
    await site.wait(40)
    assert set((await site.states()).values()) == {JobState.DONE}
    assert site.most_starts() == 1


async def test_a_cancelled_queued_job_never_runs(site):
    node = site.owner()
    jobs = [new_job(str(n), state=JobState.CANCELLED) for n in range(3)]
    await site.submit(*jobs, new_job("a"))
    await site.wait(30)
    assert site.workers.starts() == {"a": 1}
    assert node.runner.rounds["org"].open_jobs() == []


async def test_a_task_of_a_cancelled_job_is_stopped(site):
    site.owner()
    await site.submit(new_job("a", run_time_s=500.0))
    await site.wait(3)
    found = (await site.store.list(JOB_PREFIX)).items[0]
    job = decode_jobs(found.value)[0]._replace(
        state=JobState.CANCELLED, ended_s=site.clock.wall()
    )
    await site.store.write([Change(found.key, encode_jobs([job]), found.revision)])
    await site.wait(3)
    assert not site.workers.workers[job.vm].running()
    assert (await site.states())["a"] is JobState.CANCELLED


async def test_ended_jobs_leave_the_store_after_their_time(site):
    site.owner()
    for number in range(30):
        job = new_job(str(number), run_time_s=1.0)
        await site.submit(job, segment=f"s{number}")
    await site.wait(120)
    keys = (await site.store.list(JOB_PREFIX)).items
    assert len(keys) < 8
    assert len(await site.jobs()) == 30
    await site.clock.advance(3_700)
    await site.wait(70)
    assert (await site.store.list(JOB_PREFIX)).items == ()
