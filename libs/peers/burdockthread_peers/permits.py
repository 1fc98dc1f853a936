"""Permits for the slots and connections of endpoints."""

from abc import ABC, abstractmethod


class SlotPermits(ABC):
    """Bounds what this entry has in flight at each endpoint.

    All entries together never exceed the slots of an endpoint.
    """

    @abstractmethod
    def try_acquire(self, service: str, endpoint: str) -> bool:
        """Takes one slot if this entry may use one more.

        Args:
            service: Name of the service.
            endpoint: Name of the VM.

        Returns:
            Whether the slot was taken; if so, `release` must follow.
        """

    @abstractmethod
    def release(self, service: str, endpoint: str) -> None:
        """Gives a slot back after the exchange has ended."""

    @abstractmethod
    def limit(self, service: str, endpoint: str) -> int:
        """Returns how many slots this entry may use now."""
