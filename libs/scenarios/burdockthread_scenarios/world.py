"""A small system in one process: entries, store and VMs on a test clock."""

import asyncio
import itertools
import json
from collections import Counter
from collections.abc import AsyncIterator, Coroutine
from contextlib import asynccontextmanager
from typing import Any, TypeVar

from burdockthread.entry import Entry
from burdockthread.external_clients import ExternalClients
from burdockthread_model.clock import MemoryClock, settle
from burdockthread_model.errors import BurdockthreadError, RequestError
from burdockthread_model.intended import TemplateDocument
from burdockthread_model.job import Job, JobState
from burdockthread_model.records import decode_record
from burdockthread_model.request import CallerRequest, RequestClass
from burdockthread_model.settings import EntrySettings, parse_settings
from burdockthread_model.steps import MemorySteps
from burdockthread_model.vm import VmListing, VmRecord, VmState, VmStatus
from burdockthread_peers.memory_mesh import MemoryNetwork
from burdockthread_routing.job_ledger import decode_jobs
from burdockthread_store.faults import FaultSettings, StoreFaults
from burdockthread_store.faulty_store import FaultyStore
from burdockthread_store.memory_store import MemoryStore
from burdockthread_store.store import ConfigurationStore

from burdockthread_scenarios.endings import end_tasks
from burdockthread_scenarios.gate import Gate, GatedClock, GatedMesh, GatedStore
from burdockthread_scenarios.ledger import Outcome, RequestLedger, new_key
from burdockthread_scenarios.memory_vms import MemoryVms

ORGANISATION = "trinacria"
SERVICE = "bookings"
TEMPLATE = "yard"
ZONES = ("palermo", "catania", "trapani")
DEADLINE_S = 5.0
JOB_DEADLINE_S = 10.0
TICK_S = 0.5
SHORT_TICK_S = 0.1
START_S = 15.0
POOL_VMS = 3
SPARE_VMS = 1
MIN_AVAILABLE = 1


Result = TypeVar("Result")


def template_document(parameters: dict[str, float] | None = None) -> TemplateDocument:
    """Returns the template of the world, with parameters changed."""
    values = parameters or {}
    return {
        "name": TEMPLATE,
        "organisations": {
            ORGANISATION: {
                "vms": int(values.get("vms", POOL_VMS)),
                "floor": int(values.get("floor", MIN_AVAILABLE)),
                "spare": int(values.get("spare", SPARE_VMS)),
            }
        },
        "pools": {
            "bookings": {"vms": "$vms", "min_available": "$floor"},
            "yard-misc": {"vms": "$spare", "min_available": 0, "spare": True},
        },
        "services": {
            "bookings": {
                "pool": "bookings",
                "deadline_s": values.get("deadline_s", DEADLINE_S),
            },
            "inspections": {"pool": "yard-misc", "deadline_s": DEADLINE_S},
        },
        "maintenance": {
            "period_days": values.get("period_days", 35),
            "drain_timeout_s": 20,
            "return_timeout_s": 20,
        },
    }


def encode_template(parameters: dict[str, float]) -> bytes:
    """Returns the template of the world as JSON text."""
    return json.dumps(template_document(parameters)).encode()


def entry_settings(name: str, entries: list[str]) -> EntrySettings:
    """Returns the settings of one entry of the world."""
    address = {"host": "127.0.0.1", "port": 0}
    settings: dict[str, Any] = {
        "name": name,
        "availability_zone": ZONES[entries.index(name) % len(ZONES)],
        "region": "sicily",
        "callers": address,
        "operators": address,
        "peers": address,
        "peer_key": "a-key-for-scenarios",
        "entries": [
            {
                "name": other,
                **address,
                "availability_zone": ZONES[index % len(ZONES)],
                "region": "sicily",
            }
            for index, other in enumerate(entries)
        ],
        "platform": {"store_url": "memory", "vm_directory_url": "memory"},
        "operator_tokens": [],
    }
    return parse_settings(json.dumps(settings).encode())


def vm_listings(count: int) -> tuple[VmListing, ...]:
    """Returns the VMs of the world, spread over the availability zones."""
    return tuple(
        VmListing(
            name=f"vm-{number:03d}",
            host="127.0.0.1",
            port=0,
            availability_zone=ZONES[number % len(ZONES)],
            region="sicily",
            rack=f"rack-{number % len(ZONES)}",
            cores=16,
            memory_gb=64,
            accelerators=0,
            status=VmStatus.LIVE,
            boot_id=f"vm-{number:03d}-boot-1",
        )
        for number in range(count)
    )


class RunningEntry:
    """One entry of the world with its tasks and its gate."""

    def __init__(self, entry: Entry, gate: Gate, steps: MemorySteps) -> None:
        self.entry = entry
        self.gate = gate
        self.steps = steps
        self.tasks: set[asyncio.Task[None]] = set()

    def start_task(self, work: Coroutine[Any, Any, None]) -> None:
        """Runs a coroutine that ends with the entry."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def cancel_tasks(self) -> None:
        """Ends all tasks of the entry, those that outlive a caller included.

        Raises:
            ScenarioError: A task does not end.
        """
        tasks = {*self.tasks, *self.entry.router.tasks, *self.entry.keys.tasks}
        await end_tasks(tasks)


class World:
    """Entries, store, VMs and callers on one test clock.

    Attributes:
        entries: Running entries by name.
        ledger: Requests and how they ended.
        jobs: Ids of the jobs whose acceptance was told.
        pool_vms: VMs of the pool by the first template.
        lowest_available: Fewest VMs of the pool ever available at a tick.
    """

    def __init__(self, entries: int, vms: int, pool_vms: int) -> None:
        self.pool_vms = pool_vms
        self.clock = MemoryClock()
        self.store = MemoryStore(self.clock)
        self.store_faults: FaultSettings = {}
        self.faulty_stores: dict[str, FaultyStore] = {}
        self.network = MemoryNetwork()
        self.vms = MemoryVms(self.clock, vm_listings(vms))
        self.vms.recorded_pool = self.recorded_pool
        self.names = [f"entry-{number + 1}" for number in range(entries)]
        self.entries: dict[str, RunningEntry] = {}
        self.ledger = RequestLedger()
        self.jobs: set[str] = set()
        self.jobs_refused: set[str] = set()
        self.versions_seen: dict[str, int] = {}
        self.reverted = 0
        self.lowest_available = pool_vms
        self.fresh_answered = 0
        self.numbers = itertools.count(1)

    def start(self, name: str) -> RunningEntry:
        """Starts an entry."""
        gate = Gate()
        clock = GatedClock(self.clock, gate)
        index = self.names.index(name)
        zone = ZONES[index % len(ZONES)]
        incarnation = f"start-{next(self.numbers)}"
        joined = self.network.join(name, zone, "sicily", incarnation)
        mesh = GatedMesh(joined, gate)
        edges = self.edges(self.store_of(name, gate), clock)
        steps = MemorySteps()
        entry = Entry(entry_settings(name, self.names), edges, mesh, steps)
        entry.callers_api.ready = True
        running = RunningEntry(entry, gate, steps)
        for work in entry.background():
            running.start_task(work)
        self.entries[name] = running
        return running

    def store_of(self, name: str, gate: Gate) -> ConfigurationStore:
        """Returns the store as one entry reaches it."""
        faulty = FaultyStore(self.store, self.clock)
        faulty.set_faults(self.store_faults)
        self.faulty_stores[name] = faulty
        return GatedStore(faulty, gate)

    def faults_of(self, name: str) -> StoreFaults:
        """Returns the switches of one entry's way to the store."""
        return self.faulty_stores[name].faults

    def set_store_faults(self, settings: FaultSettings) -> None:
        """Sets switches of the store for all entries."""
        self.store_faults.update(settings)
        for faulty in self.faulty_stores.values():
            faulty.set_faults(settings)

    def clear_store_faults(self) -> None:
        """Takes all switches of the store back."""
        self.store_faults = {}
        for faulty in self.faulty_stores.values():
            faulty.faults.clear()

    def edges(self, store: ConfigurationStore, clock: GatedClock) -> ExternalClients:
        """Returns the edges of one entry."""
        workers = self.vms.workers
        return ExternalClients(store, self.vms, self.vms, workers, self.vms, clock)

    async def kill(self, name: str) -> None:
        """Ends an entry at once; nothing that it still does has an effect."""
        running = self.entries.pop(name)
        await settle()
        running.gate.kill()
        self.network.meshes.pop(name)
        await running.cancel_tasks()

    async def stop(self, name: str) -> None:
        """Stops an entry gracefully, letting time pass."""
        await self.passing(self.stop_alone(name))

    async def passing(self, work: Coroutine[Any, Any, Result]) -> Result:
        """Lets time pass until a coroutine has ended; returns its result."""
        task = asyncio.create_task(work)
        await settle()
        while not task.done():
            await self.advance(SHORT_TICK_S)
        return await task

    async def stop_alone(self, name: str) -> None:
        """Stops an entry gracefully while the caller lets time pass."""
        running = self.entries[name]
        await running.entry.drain()
        await running.entry.leadership.resign()
        del self.entries[name]
        self.network.meshes.pop(name)
        await running.cancel_tasks()

    async def advance(self, seconds: float) -> None:
        """Lets time pass, watching the invariants at each tick."""
        end_s = self.clock.now() + seconds
        while self.clock.now() < end_s:
            await self.clock.advance(min(TICK_S, end_s - self.clock.now()))
            self.observe()

    def observe(self) -> None:
        """Notes what must hold at every moment."""
        self.lowest_available = min(self.lowest_available, self.available())
        for name, running in self.entries.items():
            version = running.entry.applied.versions().get(TEMPLATE, 0)
            self.reverted += version < self.versions_seen.get(name, 0)
            self.versions_seen[name] = version

    def available(self) -> int:
        """Returns the VMs of the pool that can serve now."""
        if not any(r.entry.view.pools for r in self.entries.values()):
            return self.pool_vms
        records = self.records()
        if len(records) < len(self.vms.vms):
            return self.pool_vms
        return sum(
            record.state is VmState.SERVING and self.vms.vms[record.name].up
            for record in records
            if record.pool == f"{ORGANISATION}/bookings"
        )

    def records(self) -> list[VmRecord]:
        """Returns the VM records as the store holds them."""
        return [
            decode_record(found.value, VmRecord)
            for key, found in self.store.values.items()
            if key.startswith("vm/")
        ]

    def recorded_pool(self, vm: str) -> str:
        """Returns the pool in the store's record of a VM."""
        found = self.store.values.get(f"vm/{vm}")
        return "" if found is None else decode_record(found.value, VmRecord).pool

    def send(self, amount: int, keyed: bool, request_class: str, name: str) -> None:
        """Sends requests at once."""
        for _ in range(amount):
            body = new_key(self.clock.wall())
            self.send_one(body, keyed, RequestClass(request_class), name)

    def send_one(
        self, body: str, keyed: bool, request_class: RequestClass, name: str
    ) -> None:
        """Sends one request to an entry."""
        self.ledger.sent += 1
        running = self.entries[name or next(iter(self.entries))]
        clock = running.entry.clock
        request = CallerRequest(
            request_id=f"{name}-{body}-{self.ledger.sent}",
            service=f"{ORGANISATION}/{SERVICE}",
            organisation=ORGANISATION,
            team="",
            request_class=request_class,
            method="POST",
            path="/order",
            body=body.encode(),
            content_type="text/plain",
            deadline_s=clock.now() + DEADLINE_S,
            idempotent=False,
            idempotency_key=body if keyed else "",
        )
        running.start_task(self.ask(running, request))

    async def ask(self, running: RunningEntry, request: CallerRequest) -> None:
        """Sends one request and notes how it ended."""
        body = request.body.decode()
        keyed = bool(request.idempotency_key)
        urgency = request.request_class
        outcome = Outcome(body, keyed, 0, "unknown", "", urgency)
        try:
            response = await running.entry.router.handle(request)
            echo = response.body.decode()
            outcome = Outcome(
                body, keyed, response.status, response.verdict.value, echo, urgency
            )
        except RequestError as error:
            verdict = error.verdict.value
            outcome = Outcome(body, keyed, error.status, verdict, "", urgency)
        finally:
            ran_before = sum(run.body == body for run in self.vms.runs)
            self.ledger.outcomes.append(outcome._replace(ran_before=ran_before))

    def repeat(self, name: str) -> None:
        """Sends every keyed request that was not answered once more."""
        for body in self.ledger.unanswered_keyed():
            self.send_one(body, True, RequestClass.URGENT, name)

    def submit(self, amount: int, name: str) -> None:
        """Submits deferred jobs to an entry."""
        for _ in range(amount):
            job = new_job(f"job-{next(self.numbers)}", self.clock.wall())
            running = self.entries[name or next(iter(self.entries))]
            running.start_task(self.submit_one(running, job))

    async def submit_one(self, running: RunningEntry, job: Job) -> None:
        """Submits one job and notes whether it was accepted."""
        try:
            deadline_s = self.clock.now() + JOB_DEADLINE_S
            await running.entry.ledger.submit(job, deadline_s)
            self.jobs.add(job.job_id)
        except BurdockthreadError as error:
            if error.verdict.value == "not_run":
                self.jobs_refused.add(job.job_id)

    def stored_jobs(self) -> dict[str, Job]:
        """Returns the jobs as the store holds them."""
        jobs: dict[str, Job] = {}
        for key, found in self.store.values.items():
            if key.startswith("job/"):
                jobs |= {job.job_id: job for job in decode_jobs(found.value)}
        return jobs

    def counts(self) -> dict[str, int]:
        """Returns all counts that a scenario may expect."""
        stored = self.stored_jobs()
        return {
            **self.ledger.counts(run.body for run in self.vms.runs),
            "jobs_accepted": len(self.jobs),
            "jobs_lost": len(self.jobs - stored.keys()),
            "jobs_refused_but_stored": len(self.jobs_refused & stored.keys()),
            "jobs_doubled": self.jobs_doubled(),
            "jobs_done": sum(job.state is JobState.DONE for job in stored.values()),
            "wrong_pool": self.vms.wrong_pool,
            "cut": self.vms.cut_by_reboot,
            "late_work": self.vms.late_work,
            "lowest_available": self.lowest_available,
            "available": self.available(),
            "draining": sum(r.state is VmState.DRAINING for r in self.records()),
            "reverted": self.reverted,
            "reboots": sum(vm.reboots.total() for vm in self.vms.vms.values()),
            "repeated_reboots": self.repeated_reboots(),
            "highest_in_flight": max(
                vm.highest_in_flight for vm in self.vms.vms.values()
            ),
            "planners": sum(
                r.entry.leadership.held() and r.gate.opened.is_set()
                for r in self.entries.values()
            ),
        }

    def jobs_doubled(self) -> int:
        """Returns the jobs started more often than checkpoints explain."""
        workers = self.vms.workers
        orders = [order.split() for order in workers.orders]
        resumed = Counter(
            task_id.rpartition(".")[0]
            for name, task_id, *_ in orders
            if name == "checkpoint"
        )
        starts = workers.starts().items()
        return sum(count > 1 + resumed[job_id] for job_id, count in starts)

    def repeated_reboots(self) -> int:
        """Returns how often a boot was ended more than once."""
        return sum(
            count - 1 for vm in self.vms.vms.values() for count in vm.reboots.values()
        )


def new_job(job_id: str, submitted_s: float) -> Job:
    """Returns a small job of the deferred service."""
    return Job(
        job_id=job_id,
        service=f"{ORGANISATION}/inspections",
        organisation=ORGANISATION,
        team="",
        request_class=RequestClass.DEFERRED,
        cores=1.0,
        memory_gb=1.0,
        accelerators=0,
        run_time_s=2.0,
        idempotent=False,
        state=JobState.QUEUED,
        submitted_s=submitted_s,
    )


@asynccontextmanager
async def running_world(
    entries: int, vms: int, parameters: dict[str, float] | None = None
) -> AsyncIterator[World]:
    """Runs a world within the block; its first template is in force."""
    values = parameters or {}
    world = World(entries, vms, int(values.get("vms", POOL_VMS)))
    others = asyncio.all_tasks()
    try:
        for name in world.names:
            world.start(name)
        await settle()
        await world.passing(accept_template(world, values, 0))
        await world.advance(START_S)
        yield world
    finally:
        for running in world.entries.values():
            running.gate.kill()
        await end_tasks(asyncio.all_tasks() - others)


async def accept_template(
    world: World, parameters: dict[str, float], base_version: int
) -> None:
    """Proposes, reviews and accepts a template through the first entry."""
    changes = next(iter(world.entries.values())).entry.operators_api.changes
    data = encode_template(parameters)
    change = await changes.propose("proposer", data, base_version)
    await changes.review(
        "reviewer", change.change_id, change.content_hash, approve=True
    )
    await changes.accept("accepter", change.change_id, change.content_hash)
