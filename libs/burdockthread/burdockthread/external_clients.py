"""Clients of the systems outside an entry: store, platform, workers and endpoints."""

from typing import NamedTuple

from burdockthread_fleet.vm_control import HttpVmControl, VmControl
from burdockthread_fleet.worker_client import HttpWorkerClient, WorkerClient
from burdockthread_model.clock import Clock
from burdockthread_model.settings import EntrySettings
from burdockthread_routing.endpoint_client import EndpointClient, HttpEndpointClient
from burdockthread_routing.vm_directory import HttpVmDirectory, VmDirectory
from burdockthread_store.etcd_store import EtcdStore
from burdockthread_store.store import ConfigurationStore

ENDPOINT_CONNECTIONS = 64


class ExternalClients(NamedTuple):
    """Clients of the systems outside an entry, and its clock.

    Attributes:
        store: Client of the key-value service.
        directory: The platform's list of VMs.
        control: Orders to VMs.
        workers: Orders to workers.
        endpoints: Exchanges with endpoints.
        clock: Source of time.
    """

    store: ConfigurationStore
    directory: VmDirectory
    control: VmControl
    workers: WorkerClient
    endpoints: EndpointClient
    clock: Clock

    @classmethod
    def from_settings(cls, settings: EntrySettings, clock: Clock) -> "ExternalClients":
        """Returns clients of the real systems; call within a running event loop."""
        platform = settings["platform"]
        return cls(
            store=EtcdStore(platform["store_url"], clock),
            directory=HttpVmDirectory(platform["vm_directory_url"]),
            control=HttpVmControl(platform["vm_directory_url"]),
            workers=HttpWorkerClient(platform["vm_directory_url"]),
            endpoints=HttpEndpointClient(connections_per_endpoint(settings)),
            clock=clock,
        )

    async def close(self) -> None:
        """Closes all connections."""
        await self.endpoints.close()
        await self.workers.close()
        await self.control.close()
        await self.directory.close()
        await self.store.close()


def connections_per_endpoint(settings: EntrySettings) -> int:
    """Returns this entry's share of the connections of one endpoint."""
    return max(ENDPOINT_CONNECTIONS // len(settings["entries"]), 1)
