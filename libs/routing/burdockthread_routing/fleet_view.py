"""This entry's view of the fleet: services, VM records and leaving signals."""

from collections.abc import Callable

from burdockthread_model.clock import Clock
from burdockthread_model.errors import PlatformError, TemplateError
from burdockthread_model.events import EventLog
from burdockthread_model.intended import (
    AcceptedTemplate,
    OrganisationSpec,
    PoolSpec,
    ServiceSpec,
)
from burdockthread_model.records import RecordError, decode_record
from burdockthread_model.rendering import render
from burdockthread_model.vm import VmListing, VmRecord, VmState, VmStatus
from burdockthread_store.applied import AppliedConfiguration
from burdockthread_store.prefix_cache import PrefixCache
from burdockthread_store.store import KeyValue

from burdockthread_routing.endpoint_client import Endpoint
from burdockthread_routing.vm_directory import VmDirectory

VM_PREFIX = "vm/"

LeavingListener = Callable[[str, str], None]


class FleetView:
    """Merges the state reported by the store, the platform, peers and endpoints.

    Attributes:
        organisations: Rendered templates in force, by template and organisation.
        services: Services in force, by name.
        pools: Pools in force, by name.
        records: VM records, by VM.
        listings: VMs as the platform last listed them, by VM.
        leaving: Boot id of each VM that was reported as leaving, by VM.
        weights: Weight of each team, by organisation and team.
        leaving_listeners: Called with VM and boot id when a VM is first
            reported as leaving, by any source.
        endpoints_by_pool: Cached endpoints for new requests; None if outdated.
    """

    def __init__(
        self,
        applied: AppliedConfiguration,
        vm_cache: PrefixCache,
        directory: VmDirectory,
        clock: Clock,
        log: EventLog,
    ) -> None:
        self.directory = directory
        self.clock = clock
        self.log = log
        self.organisations: dict[tuple[str, str], OrganisationSpec] = {}
        self.services: dict[str, ServiceSpec] = {}
        self.pools: dict[str, PoolSpec] = {}
        self.records: dict[str, VmRecord] = {}
        self.listings: dict[str, VmListing] = {}
        self.leaving: dict[str, str] = {}
        self.weights: dict[tuple[str, str], float] = {}
        self.leaving_listeners: list[LeavingListener] = []
        self.endpoints_by_pool: dict[str, list[Endpoint]] | None = None
        applied.listeners.append(self.on_template)
        vm_cache.listeners.append(self.on_record)

    def on_template(self, accepted: AcceptedTemplate) -> None:
        """Applies a new version of a template; logs one that cannot be rendered."""
        try:
            specs = render(accepted.document, accepted.version)
        except TemplateError as error:
            self.log.error("template_refused", template=accepted.name, reason=error)
            return
        old = [key for key in self.organisations if key[0] == accepted.name]
        for key in old:
            del self.organisations[key]
        for spec in specs:
            self.organisations[accepted.name, spec.organisation] = spec
        self.rebuild_index()

    def rebuild_index(self) -> None:
        """Rebuilds the tables of services, pools and team weights."""
        specs = self.organisations.values()
        self.services = {s.name: s for spec in specs for s in spec.services}
        self.pools = {p.name: p for spec in specs for p in spec.pools}
        self.weights = {
            (team.organisation, team.name): team.weight
            for spec in specs
            for team in spec.teams
        }

    def team_weight(self, organisation: str, team: str) -> float | None:
        """Returns the weight of a team, or None if no template names it."""
        return self.weights.get((organisation, team))

    def on_record(self, key: str, item: KeyValue | None) -> None:
        """Applies a change of a VM record."""
        name = key.removeprefix(VM_PREFIX)
        self.endpoints_by_pool = None
        if item is None:
            self.records.pop(name, None)
            return
        try:
            self.records[name] = decode_record(item.value, VmRecord)
        except RecordError as error:
            self.log.error("vm_record_refused", vm=name, reason=error)

    async def run(self, interval_s: float) -> None:
        """Reads the platform's list periodically until cancelled."""
        while True:
            try:
                self.on_listings(await self.directory.list())
            except PlatformError as error:
                self.log.warning("vm_directory_unavailable", reason=error)
            await self.clock.sleep(interval_s)

    def on_listings(self, listings: tuple[VmListing, ...]) -> None:
        """Replaces the platform's list and marks the VMs that it lists as leaving."""
        before, self.listings = self.listings, {item.name: item for item in listings}
        if self.listings != before:
            self.endpoints_by_pool = None
        self.clear_stale_signals(before)
        for listing in listings:
            if listing.status is VmStatus.LEAVING:
                self.mark_leaving(listing.name)

    def clear_stale_signals(self, before: dict[str, VmListing]) -> None:
        """Clears the mark of VMs that have rebooted or are listed as live again.

        Args:
            before: The previous list.
        """
        for name, boot_id in list(self.leaving.items()):
            listing = self.listings.get(name)
            if listing is None:
                continue
            was_leaving = name in before and before[name].status is VmStatus.LEAVING
            stays = was_leaving and listing.status is VmStatus.LIVE
            if stays or listing.boot_id != boot_id:
                del self.leaving[name]
                self.endpoints_by_pool = None

    def mark_leaving(self, vm: str, boot_id: str = "") -> bool:
        """Marks a VM as leaving, as reported by the VM, a peer or the list.

        Args:
            vm: Name of the VM.
            boot_id: Boot id of the leaving VM; empty for the one in the list.

        Returns:
            Whether the VM was not marked before.
        """
        listing = self.listings.get(vm)
        if listing is None or self.leaving.get(vm) == listing.boot_id:
            return False
        if boot_id not in ("", listing.boot_id):
            return False
        self.leaving[vm] = listing.boot_id
        self.endpoints_by_pool = None
        for listener in self.leaving_listeners:
            listener(vm, listing.boot_id)
        return True

    def is_leaving(self, listing: VmListing) -> bool:
        """Returns whether any source reports a VM as leaving."""
        if listing.status is VmStatus.LEAVING:
            return True
        return self.leaving.get(listing.name) == listing.boot_id

    def endpoints(self, service: ServiceSpec) -> list[Endpoint]:
        """Returns the endpoints that may receive new requests of a service."""
        if self.endpoints_by_pool is None:
            self.endpoints_by_pool = self.find_endpoints()
        return self.endpoints_by_pool.get(service.pool, [])

    def find_endpoints(self) -> dict[str, list[Endpoint]]:
        """Returns the endpoints that serve and are not leaving, by pool."""
        found: dict[str, list[Endpoint]] = {}
        for record in self.records.values():
            if record.state is not VmState.SERVING:
                continue
            listing = self.listings.get(record.name)
            if listing is not None and not self.is_leaving(listing):
                found.setdefault(record.pool, []).append(endpoint_of(listing, record))
        return found


def endpoint_of(listing: VmListing, record: VmRecord) -> Endpoint:
    """Returns the endpoint of a VM from its listing and its record."""
    return Endpoint(
        vm=record.name,
        host=listing.host,
        port=listing.port,
        availability_zone=listing.availability_zone,
        pool=record.pool,
        generation=record.generation,
        region=listing.region,
    )
