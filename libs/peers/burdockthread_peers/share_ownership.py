"""Decides whether this process may use the share of slots of its name."""

from burdockthread_peers.membership import Membership
from burdockthread_peers.view import (
    CLOCK_SKEW_S,
    PARTITION_STOP_S,
    SILENT_STOP_S,
    SilentMember,
)

CHECK_S = 0.1


class ShareOwnership:
    """Lets at most one process of a name use the fixed share of slots.

    A process holds the share while the store confirms the member list. While
    the store is unavailable, it keeps the share as long as most members report
    the same list; in a partition with a minority of them, for
    `PARTITION_STOP_S`; without any other member, not at all. A process at the
    address of the listed one has replaced it. A process at a new address waits
    until it is a member and its predecessor has certainly stopped.

    Attributes:
        membership: Supplies the member list and the reports of other members.
        checked_until_s: Clock time up to which the last check is valid.
        checked_until_wall_s: The same by the wall clock.
        stopped_predecessors: Predecessors that are known to have stopped.
    """

    def __init__(self, membership: Membership) -> None:
        self.membership = membership
        self.clock = membership.clock
        self.checked_until_s = float("-inf")
        self.checked_until_wall_s = float("-inf")
        self.stopped_predecessors: set[SilentMember] = set()

    def holds(self) -> bool:
        """Returns whether the share may be used; a yes is cached for `CHECK_S`."""
        now_s, wall_s = self.clock.now(), self.clock.wall()
        if now_s < self.checked_until_s and wall_s < self.checked_until_wall_s:
            return True
        if not self.owns_share(wall_s):
            return False
        self.checked_until_s = now_s + CHECK_S
        self.checked_until_wall_s = wall_s + CHECK_S
        return True

    def owns_share(self, wall_s: float) -> bool:
        """Returns whether no other process of this name may use the share."""
        membership = self.membership
        view, me = membership.view, membership.me
        if membership.superseded or me.named_address not in {
            m.named_address for m in view.members
        }:
            return False
        if not self.predecessors_stopped(wall_s):
            return False
        return membership.is_confirmed() or self.holds_in_outage(wall_s)

    def predecessors_stopped(self, wall_s: float) -> bool:
        """Returns whether every predecessor has certainly stopped.

        A predecessor in a partition may still receive reports of a member that
        has not adopted the new list. With that member it may use the share for
        `PARTITION_STOP_S` at most.
        """
        membership = self.membership
        view = membership.view
        for item in view.predecessors(membership.me):
            stopped_s = item.stopped_s + CLOCK_SKEW_S
            if (
                item in self.stopped_predecessors
                or wall_s >= stopped_s + PARTITION_STOP_S
            ):
                continue
            if wall_s < stopped_s or self.agreeing_members() < len(view.members):
                return False
            self.stopped_predecessors.add(item)
        return True

    def agreeing_members(self) -> int:
        """Returns how many members use the same list, this entry included."""
        membership = self.membership
        view = membership.view
        others = [m for m in view.members if m.name != membership.me.name]
        return 1 + sum(
            membership.reports.confirms_version(m, view.version) for m in others
        )

    def holds_in_outage(self, wall_s: float) -> bool:
        """Returns whether the share may be used while the store is unavailable.

        A majority with the same list suffices without a limit of time; a
        minority of at least two does so for a limited time.
        """
        membership = self.membership
        same = self.agreeing_members()
        if 2 * same > len(membership.view.members):
            return True
        end_s = PARTITION_STOP_S - SILENT_STOP_S
        by_clock = self.clock.now() < membership.confirmed_until_s + end_s
        by_wall = wall_s < membership.confirmed_until_wall_s + end_s
        return same > 1 and by_clock and by_wall
