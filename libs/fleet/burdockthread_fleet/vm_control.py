"""The edge by which the platform drains, reboots and assigns VMs."""

from abc import ABC, abstractmethod
from collections.abc import Iterator
from contextlib import contextmanager

import aiohttp
from burdockthread_model.errors import PlatformError

CALL_TIMEOUT_S = 2.0


class VmControl(ABC):
    """Orders to the platform; each is idempotent."""

    @abstractmethod
    async def assign(self, vm: str, pool: str, generation: int) -> None:
        """Makes a VM serve a pool; requests of older generations are refused.

        Raises:
            PlatformError: No answer; the order may have taken effect.
        """

    @abstractmethod
    async def drain(self, vm: str) -> int:
        """Makes a VM take no new work.

        Returns:
            Requests and tasks still in flight on it.

        Raises:
            PlatformError: No answer; the order may have taken effect.
        """

    @abstractmethod
    async def reboot(self, vm: str, boot_id: str) -> None:
        """Reboots a VM unless it has left the given boot already.

        Args:
            vm: Name of the VM.
            boot_id: Boot that is to end; makes a repeated order harmless.

        Raises:
            PlatformError: No answer; the order may have taken effect.
        """

    @abstractmethod
    async def close(self) -> None:
        """Releases connections."""


class MemoryVmControl(VmControl):
    """Orders recorded for a test.

    Attributes:
        orders: All orders as text, in the order given.
        in_flight: Work in flight by VM.
    """

    def __init__(self) -> None:
        self.orders: list[str] = []
        self.in_flight: dict[str, int] = {}

    async def assign(self, vm: str, pool: str, generation: int) -> None:
        """Records the order."""
        self.orders.append(f"assign {vm} {pool} {generation}")

    async def drain(self, vm: str) -> int:
        """Records the order."""
        self.orders.append(f"drain {vm}")
        return self.in_flight.get(vm, 0)

    async def reboot(self, vm: str, boot_id: str) -> None:
        """Records the order."""
        self.orders.append(f"reboot {vm} {boot_id}")

    async def close(self) -> None:
        """Does nothing."""


class HttpVmControl(VmControl):
    """Orders over HTTP: ``POST <base>/vms/<name>/<order>`` with a JSON object."""

    def __init__(self, base_url: str) -> None:
        self.base_url = base_url.rstrip("/")
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        self.session = aiohttp.ClientSession(timeout=timeout)

    async def order(self, vm: str, name: str, body: dict[str, object]) -> object:
        """Posts an order and returns the decoded answer."""
        url = f"{self.base_url}/vms/{vm}/{name}"
        with platform_errors(f"{name} of {vm}"):
            async with self.session.post(url, json=body) as answer:
                answer.raise_for_status()
                return await answer.json()

    async def assign(self, vm: str, pool: str, generation: int) -> None:
        """Makes a VM serve a pool."""
        await self.order(vm, "assign", {"pool": pool, "generation": generation})

    async def drain(self, vm: str) -> int:
        """Makes a VM take no new work."""
        answer = await self.order(vm, "drain", {})
        if not isinstance(answer, dict) or not isinstance(answer.get("in_flight"), int):
            raise PlatformError(f"drain of {vm}: answer without in_flight")
        in_flight: int = answer["in_flight"]
        return in_flight

    async def reboot(self, vm: str, boot_id: str) -> None:
        """Reboots a VM."""
        await self.order(vm, "reboot", {"boot_id": boot_id})

    async def close(self) -> None:
        """Closes the connections."""
        await self.session.close()


@contextmanager
def platform_errors(what: str) -> Iterator[None]:
    """Turns errors of the HTTP client into `PlatformError`."""
    try:
        yield
    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
        raise PlatformError(f"{what}: {type(error).__name__}") from error
