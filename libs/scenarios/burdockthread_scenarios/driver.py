"""What a scenario is run against."""

from abc import ABC, abstractmethod
from collections.abc import Coroutine
from typing import Any, NamedTuple

from burdockthread_model.errors import BurdockthreadError

ALL_VMS = "vms"


class ScenarioError(BurdockthreadError):
    """A statement that cannot be carried out."""


class NamedChange(NamedTuple):
    """A change that a scenario has named."""

    change_id: str
    content_hash: str


class Driver(ABC):
    """A running system that statements act on."""

    @abstractmethod
    async def start(self, entry: str) -> None:
        """Starts an entry that does not run."""

    @abstractmethod
    async def stop(self, entry: str) -> None:
        """Stops an entry gracefully and waits for its end."""

    @abstractmethod
    async def kill(self, entry: str) -> None:
        """Ends an entry at once."""

    @abstractmethod
    async def freeze(self, entry: str) -> None:
        """Holds all tasks of an entry."""

    @abstractmethod
    async def resume(self, entry: str) -> None:
        """Lets a frozen entry go on."""

    @abstractmethod
    async def cut(self, source: str, target: str) -> None:
        """Cuts the link from an entry to another, or to ``store``."""

    @abstractmethod
    async def heal(self) -> None:
        """Mends all links."""

    @abstractmethod
    async def set_fault(self, target: str, name: str, amount: float) -> None:
        """Sets a fault of ``store``, of ``workers``, of a VM or of all ``vms``.

        Raises:
            ScenarioError: No such target or fault.
        """

    @abstractmethod
    async def clear_faults(self, target: str) -> None:
        """Clears all faults of ``store``, ``workers``, a VM or all ``vms``."""

    @abstractmethod
    async def send(
        self, amount: int, keyed: bool, request_class: str, entry: str
    ) -> None:
        """Sends requests at once without waiting for answers."""

    @abstractmethod
    async def repeat(self, entry: str) -> None:
        """Sends keyed requests that were not answered once more."""

    @abstractmethod
    async def submit(self, amount: int, entry: str) -> None:
        """Submits deferred jobs without waiting for answers."""

    @abstractmethod
    async def advance(self, seconds: float) -> None:
        """Lets time pass."""

    async def passing(self, work: Coroutine[Any, Any, None]) -> None:
        """Lets time pass until a coroutine has ended.

        Args:
            work: Coroutine that may wait for the driver's clock.
        """
        await work

    @abstractmethod
    async def propose(
        self, change: str, base_version: int | None, parameters: dict[str, float]
    ) -> None:
        """Proposes the world's template under a name for later statements.

        Args:
            change: Name used by `review` and `accept`.
            base_version: Version to change; None for the accepted one.
            parameters: Values that differ from the world's template.

        Raises:
            BurdockthreadError: The proposal was refused.
        """

    @abstractmethod
    async def review(self, change: str) -> None:
        """Reviews a proposed change by its hash.

        Raises:
            BurdockthreadError: The review was refused.
        """

    @abstractmethod
    async def accept(self, change: str) -> None:
        """Accepts a reviewed change.

        Raises:
            BurdockthreadError: The acceptance was refused.
        """

    @abstractmethod
    async def versions(self) -> list[int]:
        """Returns the template's version in force on each running entry."""

    @abstractmethod
    async def counts(self) -> dict[str, int]:
        """Returns all counts that a scenario may expect."""
