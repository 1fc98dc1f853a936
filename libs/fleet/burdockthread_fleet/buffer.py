"""Buffer policies: which pools hold the VMs that replace lost ones."""

from abc import ABC, abstractmethod
from collections.abc import Mapping, Sequence
from typing import NamedTuple

from burdockthread_model.intended import PoolSpec, WeightsSpec

from burdockthread_fleet.fleet_state import PoolState

MAINTENANCE_VMS = 1


class BufferSizes(NamedTuple):
    """Pool sizes that a policy requires.

    Attributes:
        pools: Size of each pool except the spare one, by name.
        spare: Size of the spare pool.
    """

    pools: Mapping[str, int]
    spare: int

    def idle_vms(self, specs: Sequence[PoolSpec]) -> int:
        """Returns how many VMs are held above the minimum sizes of all pools."""
        floors = sum(spec.min_available for spec in specs)
        return sum(self.pools.values()) + self.spare - floors


class BufferPolicy(ABC):
    """Decides on pool sizes and on the pools that give VMs to one with too few."""

    name: str

    @abstractmethod
    def sizes(
        self, specs: Sequence[PoolSpec], losses: Mapping[str, int], repairs: int
    ) -> BufferSizes:
        """Returns the sizes that keep all budgets until lost VMs are replaced.

        Args:
            specs: Pools as intended, including the spare one.
            losses: Number of VMs that the worst failure takes from each pool.
            repairs: Number of VMs in the fleet that are lost at the same time
                and not yet replaced by the platform.
        """

    @abstractmethod
    def sources(
        self, surplus: list[PoolState], spare: list[PoolState]
    ) -> list[PoolState]:
        """Returns the pools that give VMs to a pool with too few, best first."""


class PerPoolBuffer(BufferPolicy):
    """Each pool holds replacements for its own lost VMs, so that none has to move."""

    name = "per_pool"

    def sizes(
        self, specs: Sequence[PoolSpec], losses: Mapping[str, int], repairs: int
    ) -> BufferSizes:
        """Returns sizes with which each pool can lose `repairs` VMs at once."""
        pools = {
            spec.name: needed(spec, losses) + repairs
            for spec in specs
            if not spec.spare
        }
        return BufferSizes(pools, spare_floor(specs, losses))

    def sources(
        self, surplus: list[PoolState], spare: list[PoolState]
    ) -> list[PoolState]:
        """Returns the pools that have too many VMs."""
        return surplus


class SharedSpareBuffer(BufferPolicy):
    """The spare pool holds the replacements for lost VMs of all pools."""

    name = "shared_spare"

    def sizes(
        self, specs: Sequence[PoolSpec], losses: Mapping[str, int], repairs: int
    ) -> BufferSizes:
        """Returns sizes with which the spare pool can replace `repairs` VMs."""
        pools = {spec.name: needed(spec, losses) for spec in specs if not spec.spare}
        return BufferSizes(pools, spare_floor(specs, losses) + repairs)

    def sources(
        self, surplus: list[PoolState], spare: list[PoolState]
    ) -> list[PoolState]:
        """Returns the pools that have too many VMs, then the spare pool."""
        return surplus + spare


def needed(spec: PoolSpec, losses: Mapping[str, int]) -> int:
    """Returns the size that keeps a pool's budget with one VM in maintenance.

    A failure takes effect before any VM could move, so every policy needs it.
    """
    return spec.min_available + losses[spec.name] + MAINTENANCE_VMS


def spare_floor(specs: Sequence[PoolSpec], losses: Mapping[str, int]) -> int:
    """Returns the size that the spare pool needs for its own budget."""
    return sum(needed(spec, losses) for spec in specs if spec.spare)


class PolicyMeasures(NamedTuple):
    """Four measurements of one policy; smaller is better for each.

    Attributes:
        buffer: Cores kept idle as a reserve.
        rollout: Seconds until a pool has got an additional VM that its template
            requires.
        moves: Moves per day.
        flood: Share of other work that is not served during a flood of requests.
    """

    buffer: float
    rollout: float
    moves: float
    flood: float


def score(
    measures: PolicyMeasures, reference: PolicyMeasures, weights: WeightsSpec
) -> float:
    """Returns the weighted sum of the measures, each as a share of a reference.

    The reference must not depend on the compared policies: relative to the worse
    of two, one move per year would weigh as much as a thousand per day.
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
