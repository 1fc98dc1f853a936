"""An in-memory fleet with a manual clock, for tests and benchmarks."""

from collections.abc import Sequence

from burdockthread_model.clock import MemoryClock
from burdockthread_model.events import EventLog
from burdockthread_model.intended import (
    AcceptedTemplate,
    OrganisationSpec,
    TemplateDocument,
)
from burdockthread_model.metrics import MemoryMetrics
from burdockthread_model.rendering import content_hash
from burdockthread_model.steps import MemorySteps
from burdockthread_model.vm import VmListing, VmRecord, VmState, VmStatus
from burdockthread_peers.memory_mesh import MemoryNetwork
from burdockthread_routing.failure_reports import FailureReporter
from burdockthread_routing.fleet_view import VM_PREFIX, FleetView
from burdockthread_routing.outliers import OutlierDetector
from burdockthread_routing.vm_directory import MemoryVmDirectory
from burdockthread_store.applied import AppliedConfiguration
from burdockthread_store.memory_store import MemoryStore
from burdockthread_store.prefix_cache import PrefixCache

from burdockthread_fleet.budget import POOL_PREFIX
from burdockthread_fleet.failure_poller import FailurePoller
from burdockthread_fleet.leadership import Leadership
from burdockthread_fleet.planner import STEP_INTERVAL_S, Planner
from burdockthread_fleet.vm_control import MemoryVmControl

VMS_PER_RACK = 4


def rack_listings(
    zones: Sequence[str], vms: int, cores: int = 64, region: str = "sicily"
) -> tuple[VmListing, ...]:
    """Returns VMs in racks of `VMS_PER_RACK`, spread over availability zones.

    Args:
        zones: Availability zones.
        vms: Number of VMs.
        cores: Processors of each VM.
        region: Region of all VMs.
    """
    found = []
    for number in range(vms):
        rack = number // VMS_PER_RACK
        zone = zones[rack % len(zones)]
        found.append(
            VmListing(
                name=f"{zone}-{number:03d}",
                host="127.0.0.1",
                port=1,
                availability_zone=zone,
                region=region,
                rack=f"rack-{rack}",
                cores=cores,
                memory_gb=2 * cores,
                accelerators=0,
                status=VmStatus.LIVE,
                boot_id=f"boot-{number}",
            )
        )
    return tuple(found)


class PlannerNode:
    """A planner with the view and the clients of its process.

    Attributes:
        paused: Whether the process is paused: no planning and no refresh of the view.
        outliers: Detector of endpoints that fail for this process.
    """

    def __init__(self, name: str, fleet: "MemoryFleet", clock: MemoryClock) -> None:
        self.fleet = fleet
        self.clock = clock
        self.log = EventLog(name)
        self.metrics = MemoryMetrics()
        self.steps = MemorySteps()
        self.paused = False
        self.vm_cache = PrefixCache(fleet.store, VM_PREFIX, clock)
        self.pool_cache = PrefixCache(fleet.store, POOL_PREFIX, clock)
        self.applied = AppliedConfiguration(self.log)
        self.view = FleetView(
            self.applied, self.vm_cache, fleet.directory, clock, self.log
        )
        self.leadership = Leadership(name, fleet.store, clock)
        mesh = fleet.network.join(name)
        self.outliers = OutlierDetector(clock)
        self.reporter = FailureReporter(mesh, self.outliers)
        self.failures = FailurePoller(mesh, self.leadership, clock)
        self.planner = Planner(
            self.leadership,
            fleet.store,
            self.view,
            self.vm_cache,
            self.pool_cache,
            fleet.control,
            self.failures,
            clock,
            self.metrics,
            self.log,
            self.steps,
        )

    async def refresh_view(self) -> None:
        """Updates the view from the store and the list of VMs, where they answer."""
        if not self.fleet.store.down:
            await self.refresh(self.vm_cache)
            await self.refresh(self.pool_cache)
        if not self.fleet.directory.down:
            self.view.listings = dict(self.fleet.directory.listings)
        self.outliers.update_listings(self.view.listings)

    async def refresh(self, cache: PrefixCache) -> None:
        """Refreshes a cache, without a read if the store has not changed."""
        if cache.synced and cache.revision == self.fleet.store.revision:
            cache.contact_s = self.clock.now()
        else:
            await cache.refresh()

    async def step(self) -> None:
        """Refreshes the view and plans once, as the process does at each interval."""
        if self.paused:
            return
        if self.clock is not self.fleet.clock:
            await self.clock.advance(STEP_INTERVAL_S)
        await self.refresh_view()
        await self.failures.tick()
        await self.planner.tick()


class MemoryFleet:
    """An in-memory platform and the planners that use it.

    Attributes:
        nodes: Planners, each with its own view.
        network: Connections between the processes of the planners.
    """

    def __init__(self, listings: tuple[VmListing, ...], reboot_s: float = 1.0) -> None:
        self.clock = MemoryClock()
        self.store = MemoryStore(self.clock)
        self.directory = MemoryVmDirectory(listings)
        self.control = MemoryVmControl(self.directory, self.clock, reboot_s)
        self.template: AcceptedTemplate | None = None
        self.nodes: list[PlannerNode] = []
        self.network = MemoryNetwork()

    def add_node(self, name: str, clock: MemoryClock | None = None) -> PlannerNode:
        """Adds a planner, with its own clock if one is given."""
        node = PlannerNode(name, self, clock or self.clock)
        self.nodes.append(node)
        if self.template is not None:
            node.applied.apply(self.template, "test")
        return node

    def accept(self, document: TemplateDocument) -> None:
        """Puts the next version of a template in force at every planner."""
        version = 1 if self.template is None else self.template.version + 1
        self.template = AcceptedTemplate(
            document["name"], version, content_hash(document), "", 0.0, document
        )
        for node in self.nodes:
            node.applied.apply(self.template, "test")

    async def run(self, seconds: float) -> None:
        """Advances the clock in steps; every planner that is not paused plans."""
        for _ in range(round(seconds / STEP_INTERVAL_S)):
            await self.tick()

    async def tick(self, interval_s: float = STEP_INTERVAL_S) -> None:
        """Advances the clock by one interval and steps every planner."""
        await self.clock.advance(interval_s)
        self.control.finish_reboots()
        for node in self.nodes:
            await node.step()

    def lose(self, *vms: str) -> None:
        """Removes VMs from the platform's list."""
        for vm in vms:
            del self.directory.listings[vm]

    def records(self) -> dict[str, VmRecord]:
        """Returns the records as the first planner sees them."""
        return self.nodes[0].view.records

    def organisations(self) -> tuple[OrganisationSpec, ...]:
        """Returns the intended state in force, as the first planner sees it."""
        return tuple(self.nodes[0].view.organisations.values())

    def available(self, pool: str) -> int:
        """Returns how many VMs serve a pool by the platform's state and records."""
        return sum(
            listing.status is VmStatus.LIVE
            and name not in self.control.booting
            and self.control.pools.get(name) == pool
            and self.serving(name, pool)
            for name, listing in self.directory.listings.items()
        )

    def serving(self, vm: str, pool: str) -> bool:
        """Returns whether the record allows entries to send work of a pool to a VM."""
        record = self.records().get(vm)
        return (
            record is not None
            and record.pool == pool
            and record.state is VmState.SERVING
        )
