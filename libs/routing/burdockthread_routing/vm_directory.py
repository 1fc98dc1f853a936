"""The platform's list of live and leaving VMs, which may be out of date."""

import json
from abc import ABC, abstractmethod

import aiohttp
from burdockthread_model.errors import PlatformError
from burdockthread_model.records import RecordError, record_from_plain
from burdockthread_model.vm import VmListing

CALL_TIMEOUT_S = 2.0
NOT_MODIFIED = 304


class VmDirectory(ABC):
    """Interface to the platform's list of VMs."""

    @abstractmethod
    async def list(self) -> tuple[VmListing, ...]:
        """Reads the list.

        Returns:
            All VMs that the platform knows; it may be out of date.

        Raises:
            PlatformError: The platform is unavailable, or the list malformed.
        """

    @abstractmethod
    async def close(self) -> None:
        """Closes the connections."""


class MemoryVmDirectory(VmDirectory):
    """List in memory that tests and simulations set."""

    def __init__(self, listings: tuple[VmListing, ...] = ()) -> None:
        self.listings = {listing.name: listing for listing in listings}
        self.down = False

    async def list(self) -> tuple[VmListing, ...]:
        """Reads the list."""
        if self.down:
            raise PlatformError("the list of VMs is unavailable")
        return tuple(self.listings.values())

    async def close(self) -> None:
        """Does nothing."""


class HttpVmDirectory(VmDirectory):
    """Reads the list over HTTP: ``GET <base>/vms`` answers a JSON array of objects.

    An unchanged list is not decoded again, and not sent again if the platform
    supports entity tags.

    Attributes:
        listings: The last decoded list.
        body: JSON text of that list.
        entity_tag: Entity tag of that list, or empty.
    """

    def __init__(self, base_url: str) -> None:
        self.base_url = base_url.rstrip("/")
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        self.session = aiohttp.ClientSession(timeout=timeout)
        self.listings: tuple[VmListing, ...] = ()
        self.body = b""
        self.entity_tag = ""

    async def list(self) -> tuple[VmListing, ...]:
        """Reads the list."""
        headers = {"If-None-Match": self.entity_tag} if self.entity_tag else {}
        try:
            async with self.session.get(
                f"{self.base_url}/vms", headers=headers
            ) as answer:
                answer.raise_for_status()
                if answer.status != NOT_MODIFIED:
                    self.update(await answer.read())
                    self.entity_tag = answer.headers.get("ETag", "")
        except (aiohttp.ClientError, TimeoutError) as error:
            raise PlatformError(f"list of VMs: {error}") from error
        return self.listings

    def update(self, body: bytes) -> None:
        """Decodes a list unless it equals the last one.

        Raises:
            PlatformError: The list is malformed.
        """
        if body == self.body:
            return
        try:
            items = json.loads(body)
            listings = tuple(record_from_plain(item, VmListing) for item in items)
        except (ValueError, TypeError, RecordError) as error:
            raise PlatformError(f"list of VMs: {error}") from error
        self.listings = listings
        self.body = body

    async def close(self) -> None:
        """Closes the connections."""
        await self.session.close()
