"""Paces repeated orders and measures waits by this process's own clock."""

from collections.abc import Collection

from burdockthread_model.clock import Clock

Key = tuple[str, str]


class StateTimers:
    """Remembers when VMs entered a state and when they were last asked.

    A key is a VM's name and a text that changes with its state.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.first_s: dict[Key, float] = {}
        self.asked_s: dict[Key, float] = {}

    def waited_s(self, key: Key) -> float:
        """Returns the seconds since a key was first seen by this process."""
        now = self.clock.now()
        return now - self.first_s.setdefault(key, now)

    def due(self, key: Key, interval_s: float) -> bool:
        """Returns whether an interval has passed since it was last due."""
        now = self.clock.now()
        if now - self.asked_s.get(key, float("-inf")) < interval_s:
            return False
        self.asked_s[key] = now
        return True

    def prune(self, keys: Collection[Key]) -> None:
        """Forgets all keys but those given."""
        for times in (self.first_s, self.asked_s):
            for key in set(times) - set(keys):
                del times[key]
