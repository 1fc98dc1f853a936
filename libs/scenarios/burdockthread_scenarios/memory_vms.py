"""VMs of a scenario held in memory: list, orders and endpoints."""

import asyncio
from collections import Counter
from collections.abc import Callable, Coroutine
from typing import NamedTuple

from burdockthread_fleet.memory_workers import MemoryWorkerClient
from burdockthread_fleet.vm_control import VmControl
from burdockthread_model.clock import Clock
from burdockthread_model.errors import EndpointError, PlatformError
from burdockthread_model.verdict import Verdict
from burdockthread_model.vm import VmListing, VmStatus
from burdockthread_routing.endpoint_client import (
    Attempt,
    EndpointAnswer,
    EndpointClient,
)
from burdockthread_routing.vm_directory import VmDirectory

WORK_TIME_S = 0.05
REBOOT_TIME_S = 2.0
LIST_LAG_S = 1.0
LEAVING_BOUND_S = 3.0
ENDPOINT_FAULTS = ("refuse", "drop", "cut", "late", "crossed", "error")


class VmRun(NamedTuple):
    """A request that a VM ran."""

    body: str
    vm: str
    pool: str
    started_s: float


class MemoryVm:
    """One VM with its endpoint.

    Attributes:
        listing: What the platform knows of it.
        pool: Pool that it was assigned to.
        generation: Newest generation that it was assigned.
        draining_since_s: Clock time of the drain, or None.
        in_flight: Requests under way.
        faults: Amount of each fault that is set, by name.
    """

    def __init__(self, listing: VmListing) -> None:
        self.listing = listing
        self.pool = ""
        self.generation = 0
        self.draining_since_s: float | None = None
        self.in_flight = 0
        self.highest_in_flight = 0
        self.reboots: Counter[str] = Counter()
        self.faults: dict[str, float] = {}
        self.up = True


class MemoryVms(VmDirectory, VmControl, EndpointClient):
    """All VMs of a scenario, behind the three edges of an entry.

    Attributes:
        vms: VMs by name.
        published: The lagging list.
        runs: Requests that were run.
        cut_by_reboot: Requests and tasks that a reboot ended.
        workers: Workers of the VMs.
        recorded_pool: Returns the pool in the store's record of a VM.
        wrong_pool: Requests run for another pool than the record's.
        late_work: Requests sent to a VM longer than the bound after its drain.
        down: Whether the list and the orders do not answer.
    """

    def __init__(self, clock: Clock, listings: tuple[VmListing, ...]) -> None:
        self.clock = clock
        self.vms = {item.name: MemoryVm(item) for item in listings}
        self.published = {item.name: item for item in listings}
        self.runs: list[VmRun] = []
        self.cut_by_reboot = 0
        self.late_work = 0
        self.down = False
        self.recorded_pool: Callable[[str], str] = lambda vm: ""
        self.wrong_pool = 0
        self.workers = MemoryWorkerClient(clock)
        for item in listings:
            worker = self.workers.add(item.name, item.cores, "")
            worker.boot_id = item.boot_id
        self.tasks: set[asyncio.Task[None]] = set()

    async def list(self) -> tuple[VmListing, ...]:
        """Reads the lagging list."""
        self.check_reachable()
        return tuple(self.published.values())

    def check_reachable(self) -> None:
        """Refuses calls while the platform does not answer."""
        if self.down:
            raise PlatformError("the platform does not answer")

    def publish(self, listing: VmListing) -> None:
        """Changes a listing; readers see it after the lag."""
        self.vms[listing.name].listing = listing
        self.start_task(self.publish_late(listing))

    async def publish_late(self, listing: VmListing) -> None:
        """Shows a listing after the lag."""
        await self.clock.sleep(LIST_LAG_S)
        self.published[listing.name] = listing

    def start_task(self, work: Coroutine[None, None, None]) -> None:
        """Runs a coroutine beside the caller."""
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def assign(self, vm: str, pool: str, generation: int) -> None:
        """Makes a VM serve a pool."""
        self.check_reachable()
        found = self.vms[vm]
        if generation >= found.generation:
            found.pool = pool
            found.generation = generation
            self.workers.workers[vm].pool = pool
            self.workers.workers[vm].generation = generation

    async def drain(self, vm: str, boot_id: str) -> int:
        """Makes a VM take no new work unless it has left the given boot already."""
        self.check_reachable()
        found = self.vms[vm]
        is_current = found.listing.boot_id == boot_id and found.up
        if is_current and found.draining_since_s is None:
            found.draining_since_s = self.clock.now()
            self.workers.workers[vm].draining = True
            self.publish(found.listing._replace(status=VmStatus.LEAVING))
        return self.work_under_way(found)

    def work_under_way(self, vm: MemoryVm) -> int:
        """Returns the requests and tasks under way on a VM."""
        worker = self.workers.workers[vm.listing.name]
        worker.advance()
        return vm.in_flight + len(worker.running())

    async def reboot(self, vm: str, boot_id: str) -> None:
        """Reboots a VM unless it has left the given boot already."""
        self.check_reachable()
        found = self.vms[vm]
        if found.listing.boot_id != boot_id or not found.up:
            return
        found.up = False
        found.reboots[boot_id] += 1
        self.cut_by_reboot += self.work_under_way(found)
        self.start_task(self.boot_again(found))

    async def boot_again(self, vm: MemoryVm) -> None:
        """Brings a VM back with a fresh boot id."""
        await self.clock.sleep(REBOOT_TIME_S)
        vm.up = True
        vm.draining_since_s = None
        boot_id = f"{vm.listing.name}-boot-{vm.reboots.total() + 1}"
        self.workers.workers[vm.listing.name].reboot(boot_id)
        self.publish(vm.listing._replace(status=VmStatus.LIVE, boot_id=boot_id))

    async def send(self, attempt: Attempt) -> EndpointAnswer:
        """Plays one exchange with an endpoint."""
        vm = self.vms[attempt.endpoint.vm]
        if not vm.up or "refuse" in vm.faults:
            raise EndpointError(f"{vm.listing.name} refused the connection")
        if self.refuses(vm, attempt):
            return EndpointAnswer(503, b"", "text/plain", draining=True, not_run=True)
        try:
            async with self.clock.timeout(attempt.timeout_s):
                return await self.run(vm, attempt)
        except TimeoutError as error:
            reason = f"{vm.listing.name} gave no answer in time"
            raise EndpointError(reason, verdict=Verdict.UNKNOWN) from error

    def refuses(self, vm: MemoryVm, attempt: Attempt) -> bool:
        """Returns whether an endpoint refuses before anything ran."""
        if vm.draining_since_s is not None:
            late_s = self.clock.now() - vm.draining_since_s
            self.late_work += late_s > LEAVING_BOUND_S
            return True
        stale = attempt.endpoint.generation < vm.generation
        return stale or attempt.endpoint.pool != vm.pool

    async def run(self, vm: MemoryVm, attempt: Attempt) -> EndpointAnswer:
        """Runs a request and answers, or misbehaves."""
        body = attempt.body.decode()
        recorded = self.recorded_pool(vm.listing.name)
        self.wrong_pool += attempt.endpoint.pool != recorded
        self.runs.append(VmRun(body, vm.listing.name, vm.pool, self.clock.now()))
        vm.in_flight += 1
        vm.highest_in_flight = max(vm.highest_in_flight, vm.in_flight)
        try:
            await self.clock.sleep(WORK_TIME_S + vm.faults.get("late", 0.0))
        finally:
            vm.in_flight -= 1
        if vm.faults.keys() & {"drop", "cut", "crossed"}:
            reason = f"{vm.listing.name} gave no whole answer"
            raise EndpointError(reason, verdict=Verdict.UNKNOWN)
        status = 500 if "error" in vm.faults else 200
        return EndpointAnswer(status, attempt.body, "text/plain")

    async def close(self) -> None:
        """Does nothing; the VMs outlive an entry."""
