"""Plans the moves of VMs between pools, as few as are needed."""

from collections.abc import Mapping, Set
from typing import NamedTuple

from burdockthread_model.vm import VmListing

from burdockthread_fleet.assignment import Spread, rack_of, spread_of, zone_allowed
from burdockthread_fleet.budget import may_disrupt
from burdockthread_fleet.buffer import DEFAULT_POLICY, BufferPolicy
from burdockthread_fleet.fleet_state import FleetState, Member, PoolState
from burdockthread_fleet.waves import disruption_limit

SURPLUS_DELAY_S = 60.0


class Move(NamedTuple):
    """A change of a VM's pool.

    Attributes:
        vm: Name of the VM.
        source: Pool that it leaves.
        target: Pool that it enters.
        reason: Why it moves.
    """

    vm: str
    source: str
    target: str
    reason: str


def organisation_of(pool: str) -> str:
    """Returns the organisation part of a pool's name."""
    return pool.partition("/")[0]


def plan_moves(
    state: FleetState, settled: Set[str], policy: BufferPolicy = DEFAULT_POLICY
) -> list[Move]:
    """Plans the moves that bring every pool nearer to its intended size.

    Demand is not considered: it rises for seconds, while a move takes minutes.
    Free VMs must have been assigned before.

    Args:
        state: The fleet.
        settled: Pools whose surplus has lasted for `SURPLUS_DELAY_S`.
        policy: Decides which pools give VMs to a pool with too few.

    Returns:
        Moves that all budgets allow to be started together.
    """
    organisations = sorted({organisation_of(name) for name in state.pools})
    return [
        move
        for organisation in organisations
        for move in MovePlan(state, organisation, settled, policy).plan()
    ]


class MovePlan:
    """Plans the moves within one organisation.

    Attributes:
        moves: Moves planned so far.
        left: VMs that serve, by pool, without those planned to leave.
        wanted: Number of VMs that each pool lacks, negative for a surplus.
        limit: Number of moves that may still be started.
    """

    def __init__(
        self,
        state: FleetState,
        organisation: str,
        settled: Set[str],
        policy: BufferPolicy,
    ) -> None:
        self.policy = policy
        self.settled = settled
        self.pools = {
            name: pool
            for name, pool in state.pools.items()
            if organisation_of(name) == organisation
        }
        self.orphans = [
            m for m in state.orphans if organisation_of(m.record.pool) == organisation
        ]
        self.moves: list[Move] = []
        self.left = {name: pool.available() for name, pool in self.pools.items()}
        self.wanted = {name: pool.deficit for name, pool in self.pools.items()}
        members = [m for pool in self.pools.values() for m in pool.members]
        moving = sum(m.leaves_pool for m in members)
        self.limit = disruption_limit(len(members)) - moving

    def plan(self) -> list[Move]:
        """Returns the moves; those into the pool nearest its minimum come first."""
        for pool in sorted(self.pools.values(), key=self.urgency):
            if self.wanted[pool.spec.name] > 0 and not pool.spec.spare:
                self.fill(pool, self.sources())
        for pool in self.spare_pools():
            self.fill(pool, self.settled_pools())
            self.give_back(pool)
        return self.moves

    def urgency(self, pool: PoolState) -> tuple[int, str]:
        """Returns a sort key: VMs above the pool's minimum, then its name."""
        above = len(self.left[pool.spec.name]) - pool.spec.min_available
        return above, pool.spec.name

    def sources(self) -> list[PoolState]:
        """Returns the pools that may give VMs to a pool with too few, best first."""
        return self.policy.sources(self.surplus_pools(), self.spare_pools())

    def surplus_pools(self) -> list[PoolState]:
        """Returns the pools that have too many VMs."""
        return [p for n, p in sorted(self.pools.items()) if self.wanted[n] < 0]

    def settled_pools(self) -> list[PoolState]:
        """Returns the pools, without the spare one, whose surplus has lasted."""
        return [
            pool
            for pool in self.surplus_pools()
            if pool.spec.name in self.settled and not pool.spec.spare
        ]

    def spare_pools(self) -> list[PoolState]:
        """Returns the spare pool, if there is one."""
        return [p for n, p in sorted(self.pools.items()) if p.spec.spare]

    def fill(self, target: PoolState, sources: list[PoolState]) -> None:
        """Plans moves into a pool until it has enough VMs or no VM may be moved."""
        name = target.spec.name
        if self.wanted[name] <= 0:
            return
        spread = spread_of(target)
        while self.wanted[name] > 0 and self.limit > 0:
            reason = f"{name} lacks {self.wanted[name]}"
            if not self.move_one(target, sources, spread, reason):
                return

    def give_back(self, spare: PoolState) -> None:
        """Plans moves of lasting surpluses and orphans into the spare pool."""
        settled = self.settled_pools()
        if not settled and not self.orphans:
            return
        spread = spread_of(spare)
        for source in settled:
            name = source.spec.name
            while self.wanted[name] < 0 and self.limit > 0:
                reason = f"{name} has {-self.wanted[name]} too many"
                if not self.move_one(spare, [source], spread, reason):
                    break
        reason = "its pool is in no template"
        while self.orphans and self.limit > 0:
            if not self.move_one(spare, [], spread, reason):
                return

    def move_one(
        self, target: PoolState, sources: list[PoolState], spread: Spread, reason: str
    ) -> bool:
        """Plans one move into a pool, of an orphan if possible.

        Returns:
            False if no VM may be moved.
        """
        orphans = self.allowed_orphans(target)
        if orphans:
            best = min(orphans, key=lambda m: spread_order(spread, m.listing))
            self.orphans.remove(best)
            self.add_move(best, target, spread, reason)
            return True
        for source in sources:
            if source is target:
                continue
            members = [m for m in source.members if self.may_move(source, target, m)]
            if members:
                best = min(members, key=lambda m: spread_order(spread, m.listing))
                self.record_departure(source, best)
                self.add_move(best, target, spread, reason)
                return True
        return False

    def allowed_orphans(self, target: PoolState) -> list[Member]:
        """Returns the serving VMs of removed pools in zones that a pool may use."""
        return [
            m
            for m in self.orphans
            if m.available and m.listing and zone_allowed(target.spec, m.listing)
        ]

    def may_move(self, source: PoolState, target: PoolState, member: Member) -> bool:
        """Returns whether zones and the source's budget allow a VM to move."""
        listing = member.listing
        if listing is None or listing not in self.left[source.spec.name]:
            return False
        if not zone_allowed(target.spec, listing):
            return False
        return may_disrupt(source.spec, self.left[source.spec.name], listing.name)

    def record_departure(self, source: PoolState, member: Member) -> None:
        """Removes a VM that is planned to leave from its pool's counts."""
        name = source.spec.name
        self.left[name] = [v for v in self.left[name] if v != member.listing]
        self.wanted[name] += 1

    def add_move(
        self, member: Member, target: PoolState, spread: Spread, reason: str
    ) -> None:
        """Adds a move to the plan."""
        if member.listing is not None:
            spread.add(rack_of(member.listing))
        record = member.record
        self.moves.append(Move(record.name, record.pool, target.spec.name, reason))
        self.wanted[target.spec.name] -= 1
        self.limit -= 1


def spread_order(spread: Spread, listing: VmListing | None) -> tuple[object, ...]:
    """Returns a sort key: the VM that spreads a pool best comes first."""
    if listing is None:
        return (1,)
    return (0, *spread.cost(rack_of(listing)), listing.name)


def surplus_pools(pools: Mapping[str, PoolState]) -> frozenset[str]:
    """Returns the names of the pools that have too many VMs."""
    return frozenset(name for name, pool in pools.items() if pool.deficit < 0)
