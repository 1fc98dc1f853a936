"""Status of the fleet for operators: intended and actual state."""

from collections import Counter
from typing import NamedTuple

from burdockthread_fleet.planner import Planner
from burdockthread_fleet.planner_report import PlannerReport, planner_report
from burdockthread_model.vm import VmState
from burdockthread_peers.mesh import Member, PeerMesh
from burdockthread_peers.relay import ConfigurationRelay
from burdockthread_routing.fleet_view import FleetView
from burdockthread_store.applied import AppliedConfiguration


class PoolStatus(NamedTuple):
    """Intended and actual state of one pool."""

    pool: str
    intended_vms: int
    actual_vms: int
    serving: int
    min_available: int
    budget_left: int
    states: dict[str, int]


class EntryStatus(NamedTuple):
    """Status of the fleet as known to one entry."""

    entry: str
    planner: bool
    versions: dict[str, int]
    peer_versions: dict[str, dict[str, int]]
    members: tuple[Member, ...]
    pools: tuple[PoolStatus, ...]
    planning: PlannerReport


class FleetStatus:
    """Builds the status from the state in memory, without calls to others."""

    def __init__(
        self,
        name: str,
        applied: AppliedConfiguration,
        mesh: PeerMesh,
        relay: ConfigurationRelay,
        view: FleetView,
        planner: Planner,
    ) -> None:
        self.name = name
        self.applied = applied
        self.mesh = mesh
        self.relay = relay
        self.view = view
        self.planner = planner

    def report(self) -> EntryStatus:
        """Returns the status of this entry and of all pools."""
        return EntryStatus(
            entry=self.name,
            planner=self.planner.leadership.held(),
            versions=self.applied.versions(),
            peer_versions=self.relay.peer_versions,
            members=self.mesh.members(),
            pools=tuple(self.pool(name) for name in sorted(self.view.pools)),
            planning=planner_report(self.planner),
        )

    def pool(self, name: str) -> PoolStatus:
        """Returns the status of one pool."""
        spec = self.view.pools[name]
        states = Counter(
            record.state for record in self.view.records.values() if record.pool == name
        )
        serving = states[VmState.SERVING]
        return PoolStatus(
            pool=name,
            intended_vms=spec.vms,
            actual_vms=states.total(),
            serving=serving,
            min_available=spec.min_available,
            budget_left=serving - spec.min_available,
            states={state.value: count for state, count in states.items()},
        )
