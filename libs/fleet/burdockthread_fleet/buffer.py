"""Buffer policies: where the VMs wait that replace lost ones."""

from abc import ABC, abstractmethod
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from burdockthread_model.intended import PoolSpec, WeightsSpec

from burdockthread_fleet.fleet_state import PoolState

MAINTENANCE_VMS = 1


class BufferSizes(NamedTuple):
    """VMs that a policy asks for.

    Attributes:
        pools: VMs of each pool but the spare one, by name.
        spare: VMs of the spare pool.
    """

    pools: Mapping[str, int]
    spare: int

    def idle_vms(self, specs: Sequence[PoolSpec]) -> int:
        """Returns the VMs held on purpose above the minimum of each pool."""
        floors = sum(spec.min_available for spec in specs)
        return sum(self.pools.values()) + self.spare - floors


class BufferPolicy(ABC):
    """Decides how large pools are and who gives VMs to a pool that lacks some."""

    name: str

    @abstractmethod
    def sizes(
        self, specs: Sequence[PoolSpec], losses: Mapping[str, int], repairs: int
    ) -> BufferSizes:
        """Returns the VMs that keep all budgets while lost VMs are awaited.

        Args:
            specs: Pools as intended, the spare one among them.
            losses: VMs that the worst failure takes from each pool.
            repairs: VMs that are lost and not yet replaced by the platform at
                the same time, anywhere in the fleet.
        """

    @abstractmethod
    def sources(
        self, surplus: list[PoolState], spare: list[PoolState]
    ) -> list[PoolState]:
        """Returns the pools that give VMs to one that lacks some, best first."""


class PerPoolBuffer(BufferPolicy):
    """Each pool holds what replaces its own lost VMs; no VM moves for it."""

    name = "per_pool"

    def sizes(
        self, specs: Sequence[PoolSpec], losses: Mapping[str, int], repairs: int
    ) -> BufferSizes:
        """Returns pools that can each lose all repairs at once."""
        pools = {
            spec.name: needed(spec, losses) + repairs
            for spec in specs
            if not spec.spare
        }
        return BufferSizes(pools, spare_floor(specs, losses))

    def sources(
        self, surplus: list[PoolState], spare: list[PoolState]
    ) -> list[PoolState]:
        """Returns the pools that have too many."""
        return surplus


class SharedSpareBuffer(BufferPolicy):
    """The spare pool holds what replaces lost VMs of all pools."""

    name = "shared_spare"

    def sizes(
        self, specs: Sequence[PoolSpec], losses: Mapping[str, int], repairs: int
    ) -> BufferSizes:
        """Returns one spare pool that can replace all repairs."""
        pools = {spec.name: needed(spec, losses) for spec in specs if not spec.spare}
        return BufferSizes(pools, spare_floor(specs, losses) + repairs)

    def sources(
        self, surplus: list[PoolState], spare: list[PoolState]
    ) -> list[PoolState]:
        """Returns the pools that have too many, then the spare pool."""
        return surplus + spare


def needed(spec: PoolSpec, losses: Mapping[str, int]) -> int:
    """Returns the VMs that hold a budget with one VM in maintenance.

    A failure strikes before any VM could move, so every policy holds these.
    """
    return spec.min_available + losses[spec.name] + MAINTENANCE_VMS


def spare_floor(specs: Sequence[PoolSpec], losses: Mapping[str, int]) -> int:
    """Returns the VMs that the spare pool needs for its own budget."""
    return sum(needed(spec, losses) for spec in specs if spec.spare)


class PolicyMeasures(NamedTuple):
    """The four measures of one policy; smaller is better for each.

    Attributes:
        buffer: Cores idle on purpose.
        rollout: Seconds until a pool has a VM more that its template asks for.
        moves: Moves in a day.
        flood: Share of the other work that is not served during a flood.
    """

    buffer: float
    rollout: float
    moves: float
    flood: float


def score(
    measures: PolicyMeasures, reference: PolicyMeasures, weights: WeightsSpec
) -> float:
    """Returns the weighted sum of the measures, each as a share of a reference.

    The reference does not depend on the policies that are compared: against
    the worse of two, one move a year would weigh as much as a thousand a day.
    """
    return sum(
        weight * value / limit if limit else 0.0
        for value, limit, weight in zip(measures, reference, weights, strict=True)
    )


def better_policy(
    measures: Mapping[str, PolicyMeasures],
    reference: PolicyMeasures,
    weights: WeightsSpec,
) -> tuple[str, Mapping[str, float]]:
    """Returns the policy with the smallest score, and all scores."""
    scores = {name: score(m, reference, weights) for name, m in measures.items()}
    return min(scores, key=scores.__getitem__), scores


DEFAULT_POLICY: BufferPolicy = SharedSpareBuffer()
