"""The platform's lagging list of live and leaving VMs."""

from abc import ABC, abstractmethod

import aiohttp
from burdockthread_model.errors import PlatformError
from burdockthread_model.records import RecordError, record_from_plain
from burdockthread_model.vm import VmListing

CALL_TIMEOUT_S = 2.0


class VmDirectory(ABC):
    """Edge towards the platform's list."""

    @abstractmethod
    async def list(self) -> tuple[VmListing, ...]:
        """Reads the list.

        Returns:
            All VMs that the platform knows; it may be out of date.

        Raises:
            PlatformError: No answer, or one that is malformed.
        """

    @abstractmethod
    async def close(self) -> None:
        """Releases connections."""


class MemoryVmDirectory(VmDirectory):
    """A list set by a test."""

    def __init__(self, listings: tuple[VmListing, ...] = ()) -> None:
        self.listings = {listing.name: listing for listing in listings}
        self.down = False

    async def list(self) -> tuple[VmListing, ...]:
        """Reads the list."""
        if self.down:
            raise PlatformError("the list of VMs is out")
        return tuple(self.listings.values())

    async def close(self) -> None:
        """Does nothing."""


class HttpVmDirectory(VmDirectory):
    """The list over HTTP: ``GET <base>/vms`` answers a JSON array of objects."""

    def __init__(self, base_url: str) -> None:
        self.base_url = base_url.rstrip("/")
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        self.session = aiohttp.ClientSession(timeout=timeout)

    async def list(self) -> tuple[VmListing, ...]:
        """Reads the list."""
        try:
            async with self.session.get(f"{self.base_url}/vms") as answer:
                answer.raise_for_status()
                items = await answer.json()
                return tuple(record_from_plain(item, VmListing) for item in items)
        except (aiohttp.ClientError, TimeoutError, TypeError, RecordError) as error:
            raise PlatformError(f"list of VMs: {error}") from error

    async def close(self) -> None:
        """Closes the connections."""
        await self.session.close()
