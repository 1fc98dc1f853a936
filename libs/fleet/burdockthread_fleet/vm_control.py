"""Client of the platform's orders to drain, reboot and assign VMs."""

import itertools
from abc import ABC, abstractmethod
from collections.abc import Iterator
from contextlib import contextmanager

import aiohttp
from burdockthread_model.clock import Clock, MemoryClock
from burdockthread_model.errors import PlatformError
from burdockthread_model.vm import VmListing, VmStatus
from burdockthread_routing.vm_directory import MemoryVmDirectory

CALL_TIMEOUT_S = 2.0


class VmControl(ABC):
    """Orders to the platform; each is idempotent."""

    @abstractmethod
    async def assign(self, vm: str, pool: str, generation: int) -> None:
        """Makes a VM serve a pool and refuse requests of older generations.

        An order with a generation below the VM's own is refused without effect.

        Raises:
            PlatformError: No answer; the order may have taken effect.
        """

    @abstractmethod
    async def drain(self, vm: str, boot_id: str) -> int:
        """Makes a VM accept no new work, if it still runs the given boot.

        Args:
            vm: Name of the VM.
            boot_id: Boot to be drained; a delayed order to another boot has no effect.

        Returns:
            Number of requests and tasks still in flight on the VM.

        Raises:
            PlatformError: No answer; the order may have taken effect.
        """

    @abstractmethod
    async def reboot(self, vm: str, boot_id: str) -> None:
        """Reboots a VM, if it still runs the given boot.

        Args:
            vm: Name of the VM.
            boot_id: Boot to be ended; a repeated order has no effect.

        Raises:
            PlatformError: No answer; the order may have taken effect.
        """

    @abstractmethod
    async def close(self) -> None:
        """Releases connections."""


class MemoryVmControl(VmControl):
    """Carries out orders on an in-memory list of VMs.

    Attributes:
        orders: All orders as text, in the order received.
        in_flight: Number of requests and tasks in flight, by VM.
        pools: Pool that each VM serves.
        generations: Generation of each VM.
        reboots: Boots that were ended, as VM and boot id.
        cut: Boots that were ended with work in flight.
        stuck: VMs whose reboots never finish.
        silent: VMs that answer no order.
        booting: Clock time at which the reboot of each rebooting VM ends.
        reboot_s: Seconds that a reboot takes.
    """

    def __init__(
        self,
        directory: MemoryVmDirectory | None = None,
        clock: Clock | None = None,
        reboot_s: float = 1.0,
    ) -> None:
        self.directory = directory or MemoryVmDirectory()
        self.clock = clock or MemoryClock()
        self.reboot_s = reboot_s
        self.orders: list[str] = []
        self.in_flight: dict[str, int] = {}
        self.pools: dict[str, str] = {}
        self.generations: dict[str, int] = {}
        self.reboots: list[tuple[str, str]] = []
        self.cut: list[tuple[str, str]] = []
        self.stuck: set[str] = set()
        self.silent: set[str] = set()
        self.booting: dict[str, float] = {}
        self.boots = itertools.count(1)

    def answer(self, order: str, vm: str) -> VmListing:
        """Records an order and returns the listing of its VM.

        Raises:
            PlatformError: The VM is not listed or does not answer.
        """
        self.orders.append(order)
        listing = self.directory.listings.get(vm)
        if listing is None or vm in self.silent:
            raise PlatformError(f"no answer: {order}")
        return listing

    async def assign(self, vm: str, pool: str, generation: int) -> None:
        """Assigns a VM, unless the generation is below the VM's own."""
        order = f"assign {vm} {pool} {generation}"
        self.answer(order, vm)
        if generation < self.generations.get(vm, 0):
            raise PlatformError(f"refused, generation below the one of {vm}: {order}")
        self.pools[vm] = pool
        self.generations[vm] = generation

    async def drain(self, vm: str, boot_id: str) -> int:
        """Lists the VM as leaving if it runs the boot; returns its work in flight."""
        listing = self.answer(f"drain {vm} {boot_id}", vm)
        if listing.boot_id == boot_id:
            leaving = listing._replace(status=VmStatus.LEAVING)
            self.directory.listings[vm] = leaving
        return self.in_flight.get(vm, 0)

    async def reboot(self, vm: str, boot_id: str) -> None:
        """Starts a reboot, which `finish_reboots` ends."""
        listing = self.answer(f"reboot {vm} {boot_id}", vm)
        if listing.boot_id == boot_id and vm not in self.booting:
            self.reboots.append((vm, boot_id))
            if self.in_flight.get(vm, 0):
                self.cut.append((vm, boot_id))
            self.booting[vm] = self.clock.now() + self.reboot_s

    def finish_reboots(self) -> None:
        """Lists VMs as live, with a new boot id, whose reboot time has passed."""
        now = self.clock.now()
        for vm in [vm for vm, ends_s in self.booting.items() if ends_s <= now]:
            if vm in self.stuck or vm not in self.directory.listings:
                continue
            del self.booting[vm]
            self.directory.listings[vm] = self.directory.listings[vm]._replace(
                status=VmStatus.LIVE, boot_id=f"{vm}-boot-{next(self.boots)}"
            )

    async def close(self) -> None:
        """Does nothing."""


class HttpVmControl(VmControl):
    """Sends orders over HTTP: ``POST <base>/vms/<name>/<order>`` with a JSON object."""

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

    async def drain(self, vm: str, boot_id: str) -> int:
        """Makes a VM take no new work."""
        answer = await self.order(vm, "drain", {"boot_id": boot_id})
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
    """Converts errors of the HTTP client, and bad JSON, into `PlatformError`."""
    try:
        yield
    except (aiohttp.ClientError, TimeoutError, ValueError) as error:
        raise PlatformError(f"{what}: {type(error).__name__}") from error
