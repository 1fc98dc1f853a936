"""Jobs from acceptance to their end, with faults at every step."""

import asyncio
from contextlib import suppress

import pytest
from burdockthread_fleet.job_rounds import JobParts
from burdockthread_fleet.job_runner import JobRunner
from burdockthread_fleet.job_segments import JobSegments
from burdockthread_fleet.memory_workers import MemoryWorkerClient
from burdockthread_fleet.worker_client import TaskRefusedError
from burdockthread_model.errors import StoreUnknownError
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
        parts = JobParts(
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
    big = {"service": "org/big", "run_time_s": 5.0}
    warm = [new_job(f"warm-{n}", **big) for n in range(16)]
    await site.submit(*warm, segment="warm", service="org/big")
    await site.wait(10)
    for segment in range(4):
        team = f"team-{segment}"
        jobs = [new_job(f"{segment}-{n}", team=team, **big) for n in range(50)]
        await site.submit(*jobs, segment=f"s{segment}", service="org/big")
    before = site.store.revision
    await site.wait(15)
    assert set((await site.states()).values()) == {JobState.DONE}
    assert site.store.revision - before <= 4


async def test_a_cold_start_takes_a_few_writes_a_second(site):
    site.add_pool("big", 4, cores=64, memory_gb=512)
    site.owner()
    jobs = [
        new_job(str(n), service="org/big", run_time_s=5.0, team=f"team-{n % 4}")
        for n in range(200)
    ]
    await site.submit(*jobs, service="org/big")
    await site.clock.advance(0.25)
    before = site.store.revision
    for _ in range(15):
        await site.wait(1)
        assert site.store.revision - before <= 2
        before = site.store.revision
    assert set((await site.states()).values()) == {JobState.DONE}


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
    unknown = new_job("x", state=JobState.UNKNOWN, ended_s=site.clock.wall())
    await site.submit(unknown, segment="unknown")
    site.clock.time_s += 1_000
    await site.wait(70)
    assert await site.states() == {"x": JobState.UNKNOWN}
    site.clock.time_s += 86_400
    await site.wait(70)
    assert (await site.store.list(JOB_PREFIX)).items == ()


def urgent(job_id, **fields):
    return new_job(job_id, request_class=RequestClass.URGENT, **fields)


async def start_delays(site, jobs, seconds):
    """Submits jobs and returns after how long each was started."""
    submitted_s = site.clock.now()
    await site.submit(*jobs, segment="urgent")
    delays = {}
    while site.clock.now() < submitted_s + seconds:
        await site.clock.advance(0.5)
        for job_id in site.workers.starts():
            delays.setdefault(job_id, site.clock.now() - submitted_s)
    return [delays.get(job.job_id, float("inf")) for job in jobs]


async def fill(site, service, count, **fields):
    """Fills a pool with long jobs of many teams."""
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


async def test_an_urgent_job_borrows_from_the_spare_pool(site):
    site.add_pool("spare", 1, spare=True)
    site.owner()
    await fill(site, SERVICE, 30, memory_gb=0.1)
    (delay_s,) = await start_delays(site, [urgent("u")], 10)
    assert delay_s <= 7.1
    assert (await site.jobs())["u"].vm == "spare-0"
    assert "checkpoint" not in " ".join(site.workers.orders)


@pytest.mark.parametrize("lag_s", [0.0, 5.0])
async def test_urgent_jobs_displace_when_every_pool_is_full(site, lag_s):
    site.add_pool("spare", 2, spare=True)
    for worker in site.workers.workers.values():
        worker.faults.report_lag_s = lag_s
    site.owner()
    await fill(site, SERVICE, 30, memory_gb=0.1)
    await fill(
        site, "org/spare", 30, memory_gb=0.1, request_class=RequestClass.DEFERRED
    )
    jobs = [urgent(f"u{n}", team=f"team-{n}", run_time_s=60.0) for n in range(4)]
    assert max(await start_delays(site, jobs, 20)) <= 7.1
    states = await site.states()
    displaced = [name for name, s in states.items() if s is JobState.CHECKPOINTED]
    assert displaced
    assert not {JobState.UNKNOWN, JobState.FAILED} & set(states.values())
    await site.wait(1_500)
    assert set((await site.states()).values()) == {JobState.DONE}


async def test_a_job_displaces_nothing_where_it_has_failed(site):
    node = site.owner()
    deferred = RequestClass.DEFERRED
    await fill(site, SERVICE, 30, memory_gb=0.1, request_class=deferred)
    node.runner.rounds["org"].quarantine.failed_on["u"].add("ledger-0")
    (delay_s,) = await start_delays(site, [urgent("u")], 10)
    assert delay_s <= 7.1
    assert (await site.jobs())["u"].vm == "ledger-1"


async def test_failing_jobs_that_are_not_idempotent_stop_no_round(site):
    site.owner()
    for worker in site.workers.workers.values():
        worker.faults.failing_payloads.add("poison")
    jobs = [new_job(str(n), payload="poison") for n in range(6)]
    await site.submit(*jobs, new_job("good"))
    await site.wait(40)
    states = await site.states()
    assert states.pop("good") is JobState.DONE
    assert set(states.values()) == {JobState.FAILED}
    assert site.metrics.counters["jobs.rounds_failed"] == 0


async def test_tasks_leave_a_draining_vm_without_loss(site):
    site.owner()
    await site.submit(*(new_job(str(n), run_time_s=100.0) for n in range(4)))
    await site.wait(50)
    vm = "ledger-0"
    assert site.workers.workers[vm].running()
    site.records[vm] = site.records[vm]._replace(state=VmState.DRAINING)
    await site.wait(5)
    assert not site.workers.workers[vm].running()
    await site.wait(70)
    jobs = await site.jobs()
    assert {job.state for job in jobs.values()} == {JobState.DONE}
    assert {job.vm for job in jobs.values()} == {"ledger-1"}


async def test_a_stale_generation_is_refused_and_placed_again(site):
    site.owner()
    site.workers.workers["ledger-0"].generation = 2
    site.workers.workers["ledger-1"].pool = "org/other"
    await site.submit(new_job("a"))
    await site.wait(20)
    assert not site.workers.starts()
    assert (await site.jobs())["a"].state in (JobState.QUEUED, JobState.CLAIMED)
    site.records["ledger-0"] = site.records["ledger-0"]._replace(generation=2)
    await site.wait(40)
    assert (await site.states())["a"] is JobState.DONE


async def test_a_worker_that_fails_everything_gets_few_jobs(site):
    site.add_pool("many", 4)
    site.workers.workers["many-0"].faults.fails_everything = True
    node = site.owner()
    jobs = [
        new_job(str(n), service="org/many", idempotent=True, run_time_s=10.0)
        for n in range(100)
    ]
    await site.submit(*jobs, service="org/many")
    await site.wait(55)
    assert sum(site.workers.workers["many-0"].starts.values()) <= 4
    assert "many-0" in node.runner.quarantined_workers()
    site.workers.workers["many-0"].faults.fails_everything = False
    await site.wait(10)
    late = [job._replace(job_id=f"late-{job.job_id}") for job in jobs]
    await site.submit(*late, service="org/many", segment="late")
    await site.wait(100)
    assert set((await site.states()).values()) == {JobState.DONE}
    assert node.runner.quarantined_workers() == {}
    assert site.metrics.counters["jobs.workers_reinstated"] == 1


async def test_a_poisonous_job_is_parked_and_quarantines_nobody(site):
    site.add_pool("many", 4)
    for worker in site.workers.workers.values():
        worker.faults.failing_payloads.add("poison")
    node = site.owner()
    jobs = [
        new_job(str(n), service="org/many", idempotent=True, payload=payload)
        for n, payload in enumerate(["poison"] + ["{}"] * 20)
    ]
    await site.submit(*jobs, service="org/many")
    await site.wait(150)
    jobs = await site.jobs()
    assert jobs["0"].state is JobState.PARKED
    assert "several workers" in jobs["0"].reason
    assert jobs["0"].attempt == 3
    assert {job.state for name, job in jobs.items() if name != "0"} == {JobState.DONE}
    assert node.runner.quarantined_workers() == {}


async def test_a_job_that_cannot_run_is_parked_until_it_can(site):
    site.owner()
    await site.submit(new_job("large", cores=20.0), new_job("small"))
    await site.submit(
        new_job("lost", service="org/gone"), segment="s2", service="org/gone"
    )
    await site.wait(5)
    jobs = await site.jobs()
    assert jobs["large"].state is JobState.PARKED
    assert "20 cores" in jobs["large"].reason
    assert jobs["lost"].state is JobState.QUEUED
    site.add_pool("huge", 1, cores=64)
    site.services[SERVICE] = site.services[SERVICE]._replace(pool="org/huge")
    await site.wait(40)
    assert (await site.states())["large"] is JobState.DONE


async def test_memory_is_relieved_when_declarations_are_ten_times_too_small(site):
    for worker in site.workers.workers.values():
        worker.faults.size_factor = 10.0
        worker.faults.report_lag_s = 2.0
    site.owner()
    jobs = [
        new_job(str(n), cores=0.1, memory_gb=0.3, run_time_s=6.0) for n in range(40)
    ]
    await site.submit(*jobs)
    over_s = 0.0
    for _ in range(1_200):
        await site.clock.advance(0.5)
        for worker in site.workers.workers.values():
            used_gb = sum(task.size.memory_gb for task in worker.running())
            over_s += 0.5 * (used_gb > 16)
    assert set((await site.states()).values()) == {JobState.DONE}
    assert over_s <= 10


async def test_a_quota_holds_with_two_runners_at_once(site):
    site.add_pool("wide", 4, cores=32, memory_gb=64)
    for name in ("entry-a", "entry-b"):
        node = site.node(name)
        node.view.organisations = {("template", "org"): desk_with_cores(10)}
        node.runner.owned = lambda: {"org"}
        node.start()
    for segment in range(10):
        service = "org/wide" if segment % 2 else SERVICE
        jobs = [
            new_job(f"{segment}-{n}", service=service, run_time_s=10.0)
            for n in range(5)
        ]
        await site.submit(*jobs, segment=f"s{segment}", service=service)
    most = 0
    for _ in range(180):
        await site.clock.advance(0.5)
        running = [w.running() for w in site.workers.workers.values()]
        most = max(most, sum(len(tasks) for tasks in running))
    assert most == 10
    assert set((await site.states()).values()) == {JobState.DONE}


async def test_the_least_urgent_class_never_starves(site):
    site.owner()
    jobs = [
        new_job(
            f"{request_class}-{n}",
            request_class=request_class,
            team=f"team-{n % 4}",
            run_time_s=4.0,
            memory_gb=0.1,
        )
        for request_class in (RequestClass.URGENT, RequestClass.DEFERRED)
        for n in range(200)
    ]
    await site.submit(*jobs)
    await site.wait(30)
    done = [name for name, s in (await site.states()).items() if s is JobState.DONE]
    urgent_done = sum(name.startswith("urgent") for name in done)
    deferred_done = len(done) - urgent_done
    assert deferred_done >= 0.05 * len(done)
    assert urgent_done >= 0.5 * len(done)


async def test_leases_are_renewed_in_one_order_for_each_worker(site):
    site.owner()
    await site.submit(*(new_job(str(n), run_time_s=90.0) for n in range(10)))
    await site.wait(60)
    renewals = [o for o in site.workers.orders if o.startswith("renew")]
    assert len(renewals) <= 2 * 7
    assert any(order.startswith("renew 4") for order in renewals)


async def test_waiting_work_displaces_less_urgent_work_after_a_while(site):
    site.owner()
    await fill(site, SERVICE, 30, memory_gb=0.1, request_class=RequestClass.DEFERRED)
    job = new_job("s", cores=2.0, submitted_s=site.clock.wall())
    (delay_s,) = await start_delays(site, [job], 10)
    assert 3.0 <= delay_s <= 7.1


async def test_open_jobs_are_not_merged_with_ended_ones(site):
    site.owner()
    await site.submit(new_job("open", run_time_s=600.0), segment="open")
    for number in range(10):
        await site.submit(new_job(str(number), run_time_s=1.0), segment=f"s{number}")
    await site.wait(120)
    listing = await site.store.list(JOB_PREFIX)
    (segment,) = [i for i in listing.items if b'"open"' in i.value]
    assert [job.job_id for job in decode_jobs(segment.value)] == ["open"]
    assert len(listing.items) == 2
    assert len(await site.jobs()) == 11


def desk_with_cores(cores):
    teams = (TeamSpec("desk", "org", 1.0, cores, 64),)
    maintenance = MaintenanceSpec()
    return OrganisationSpec(
        "org", "template", 1, (), (), teams, WeightsSpec(), maintenance
    )


async def test_a_placer_with_an_old_view_claims_nothing(site):
    site.add_pool("ledger", 4)
    first, second = site.node("entry-a"), site.node("entry-b")
    for node in (first, second):
        node.view.organisations = {("template", "org"): desk_with_cores(5)}
        node.runner.owned = lambda: {"org"}
        node.start()
    records = dict(site.records)
    site.records.clear()
    late = [new_job(f"late-{n}", submitted_s=9.0) for n in range(5)]
    await site.submit(*late, segment="late")
    await site.wait(2)
    missed = []
    apply, second.cache.apply = second.cache.apply, missed.append
    await site.submit(*(new_job(f"early-{n}") for n in range(5)), segment="early")
    site.records.update(records)
    await site.wait(10)
    assert set(site.workers.starts()) == {f"early-{n}" for n in range(5)}
    second.cache.apply = apply
    for event in missed:
        apply(event)
    await site.wait(60)
    assert set((await site.states()).values()) == {JobState.DONE}
    assert site.most_starts() == 1


async def test_a_start_delivered_after_a_reboot_is_refused(site):
    first = site.owner()
    start = site.workers.start
    held = []

    async def hold(vm, task):
        held.append((vm, task))
        await asyncio.Event().wait()

    site.workers.start = hold
    await site.submit(new_job("a", run_time_s=100.0))
    await site.wait(2)
    ((vm, task),) = held
    await first.kill()
    site.workers.start = start
    site.node("entry-c").start()
    await site.wait(10)
    assert site.workers.starts() == {"a": 1}
    site.reboot(vm)
    with pytest.raises(TaskRefusedError):
        await start(vm, task)
    await site.wait(60)
    assert site.workers.starts() == {"a": 1}
    assert (await site.states())["a"] is JobState.UNKNOWN


async def test_urgent_work_starts_although_a_worker_does_not_answer(site):
    site.owner()
    await fill(site, SERVICE, 30, memory_gb=0.1)
    site.workers.workers["ledger-0"].faults.paused = True
    jobs = [urgent(f"u{n}", team=f"team-{n}") for n in range(2)]
    assert max(await start_delays(site, jobs, 12)) <= 7.1


async def test_a_job_cancelled_between_claim_and_dispatch_does_not_start(site):
    node = site.owner()
    resume = asyncio.Event()
    node.steps.actions[Step.JOB_CLAIMED] = resume.wait
    await site.submit(new_job("a"))
    await site.wait(2)
    (found,) = (await site.store.list(JOB_PREFIX)).items
    (job,) = decode_jobs(found.value)
    assert job.state is JobState.CLAIMED
    job = job._replace(state=JobState.CANCELLED, ended_s=site.clock.wall())
    await site.store.write([Change(found.key, encode_jobs([job]), found.revision)])
    await site.wait(1)
    resume.set()
    await site.wait(20)
    assert not site.workers.starts()
    assert await site.states() == {"a": JobState.CANCELLED}
