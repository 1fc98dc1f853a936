"""Messages by which entries tell which endpoints fail for them."""

from typing import NamedTuple

from burdockthread_peers.mesh import PeerMesh

from burdockthread_routing.outliers import EndpointReport, OutlierDetector

MAX_FAILING = 64


class ListFailures(NamedTuple):
    """Asks for the endpoints that are ejected or on probation.

    Attributes:
        vms: VMs that fail for another entry; asks what the receiver saw of them.
    """

    vms: tuple[str, ...]


class Failures(NamedTuple):
    """Answer to `ListFailures`."""

    reports: tuple[EndpointReport, ...]


class FailureReporter:
    """Answers what this entry saw of failing endpoints.

    An entry for which very many fail takes the fault for its own, or for one of
    the network, and names none.
    """

    def __init__(self, mesh: PeerMesh, outliers: OutlierDetector) -> None:
        self.outliers = outliers
        mesh.register(ListFailures, Failures, self.on_list)

    async def on_list(self, sender: str, message: ListFailures) -> Failures:
        """Answers an entry."""
        failing = self.outliers.failing()
        if len(failing) > MAX_FAILING:
            return Failures(())
        vms = dict.fromkeys((*failing, *message.vms))
        return Failures(tuple(self.outliers.reports(vms)))
