"""Interface of the permits that limit requests to endpoints."""

from abc import ABC, abstractmethod


class SlotPermits(ABC):
    """Limits the requests that this entry has in flight at each endpoint.

    All entries together never exceed the number of slots of an endpoint.
    """

    @abstractmethod
    def try_acquire(self, service: str, endpoint: str) -> bool:
        """Acquires one slot if this entry may use one more.

        Args:
            service: Name of the service.
            endpoint: Name of the VM.

        Returns:
            Whether the slot was acquired; if so, the caller must call `release`.
        """

    @abstractmethod
    def release(self, service: str, endpoint: str) -> None:
        """Releases a slot after the request has ended."""

    @abstractmethod
    def limit(self, service: str, endpoint: str) -> int:
        """Returns the number of slots that this entry may use at present."""
