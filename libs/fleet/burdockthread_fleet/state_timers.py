"""Timers for VM states and repeated orders, by this process's own clock."""

from collections.abc import Collection

from burdockthread_model.clock import Clock

Key = tuple[str, str]


class StateTimers:
    """Records when VM states were first seen and when orders were last due.

    A key consists of the name of a VM and a text that changes with its state.

    Attributes:
        first_seen_s: Clock time at which each key was first seen.
        last_due_s: Clock time at which `due` last returned true for each key.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.first_seen_s: dict[Key, float] = {}
        self.last_due_s: dict[Key, float] = {}

    def waited_s(self, key: Key) -> float:
        """Returns the seconds since a key was first seen; registers a new key."""
        now = self.clock.now()
        return now - self.first_seen_s.setdefault(key, now)

    def due(self, key: Key, interval_s: float) -> bool:
        """Returns whether an interval has passed since the key was last due.

        If so, the interval starts again.
        """
        now = self.clock.now()
        if now - self.last_due_s.get(key, float("-inf")) < interval_s:
            return False
        self.last_due_s[key] = now
        return True

    def prune(self, keys: Collection[Key]) -> None:
        """Drops all keys except those given."""
        for times in (self.first_seen_s, self.last_due_s):
            for key in set(times) - set(keys):
                del times[key]
