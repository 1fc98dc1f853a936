"""Whether this process holds the share of slots that belongs to its name."""

from burdockthread_peers.membership import Membership
from burdockthread_peers.view import CLOCK_SKEW_S, PARTITION_S, SILENT_S, SilentMember

CHECK_S = 0.1


class ShareOwnership:
    """Lets one process of a name at a time use the fixed share of slots.

    A process holds the share while the store confirms the member list. With
    the store out it goes on while most members report the same list; cut off
    with a few of them, for `PARTITION_S`; alone, not at all. A process at the
    address of the listed one has taken its place. One at a new address waits
    until it is a member and its predecessor has surely stopped.

    Attributes:
        membership: The member list of this entry.
        checked_until_s: Clock time up to which the last check holds.
        checked_until_wall_s: The same by the wall clock.
        stopped: Predecessors that are known to have stopped.
    """

    def __init__(self, membership: Membership) -> None:
        self.membership = membership
        self.clock = membership.clock
        self.checked_until_s = float("-inf")
        self.checked_until_wall_s = float("-inf")
        self.stopped: set[SilentMember] = set()

    def holds(self) -> bool:
        """Returns whether the share may be used now."""
        now_s, wall_s = self.clock.now(), self.clock.wall()
        if now_s < self.checked_until_s and wall_s < self.checked_until_wall_s:
            return True
        if not self.is_mine(wall_s):
            return False
        self.checked_until_s = now_s + CHECK_S
        self.checked_until_wall_s = wall_s + CHECK_S
        return True

    def is_mine(self, wall_s: float) -> bool:
        """Returns whether no other process of this name may use the share."""
        membership = self.membership
        view, me = membership.view, membership.me
        if membership.superseded or me.seat not in {m.seat for m in view.members}:
            return False
        if not self.is_free(wall_s):
            return False
        return membership.confirmed() or self.holds_in_outage(wall_s)

    def is_free(self, wall_s: float) -> bool:
        """Returns whether every predecessor has surely stopped.

        One that was cut off may still hear a member that has not taken the new
        list over; it goes on with that member for `PARTITION_S` at most.
        """
        membership = self.membership
        view = membership.view
        for item in view.predecessors(membership.me):
            stopped_s = item.stopped_s + CLOCK_SKEW_S
            if item in self.stopped or wall_s >= stopped_s + PARTITION_S:
                continue
            if wall_s < stopped_s or self.same_list() < len(view.members):
                return False
            self.stopped.add(item)
        return True

    def same_list(self) -> int:
        """Returns how many members go by the list of this entry, itself included."""
        membership = self.membership
        view = membership.view
        others = [m for m in view.members if m.name != membership.me.name]
        return 1 + sum(membership.reports.goes_by(m, view.version) for m in others)

    def holds_in_outage(self, wall_s: float) -> bool:
        """Returns whether enough members go by the same list."""
        membership = self.membership
        same = self.same_list()
        if 2 * same > len(membership.view.members):
            return True
        end_s = PARTITION_S - SILENT_S
        by_clock = self.clock.now() < membership.confirmed_until_s + end_s
        by_wall = wall_s < membership.confirmed_until_wall_s + end_s
        return same > 1 and by_clock and by_wall
