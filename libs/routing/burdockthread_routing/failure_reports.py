"""Messages in which entries report the endpoints that fail for them."""

from typing import NamedTuple

from burdockthread_peers.mesh import PeerMesh

from burdockthread_routing.outliers import EndpointReport, OutlierDetector

MAX_FAILING = 64


class ListFailures(NamedTuple):
    """Asks for the endpoints that are ejected or on probation.

    Attributes:
        vms: VMs that fail for another entry; the receiver reports on these too.
    """

    vms: tuple[str, ...]


class Failures(NamedTuple):
    """Answer to `ListFailures`."""

    reports: tuple[EndpointReport, ...]


class FailureReporter:
    """Answers requests of other entries for reports on failing endpoints.

    An entry that sees more than `MAX_FAILING` endpoints fail assumes a fault of
    its own or of the network, and reports none.
    """

    def __init__(self, mesh: PeerMesh, outliers: OutlierDetector) -> None:
        self.outliers = outliers
        mesh.register(ListFailures, Failures, self.on_list)

    async def on_list(self, sender: str, message: ListFailures) -> Failures:
        """Returns the reports on the failing endpoints and on the VMs asked for."""
        failing = self.outliers.failing()
        if len(failing) > MAX_FAILING:
            return Failures(())
        vms = dict.fromkeys((*failing, *message.vms))
        return Failures(tuple(self.outliers.reports(vms)))
