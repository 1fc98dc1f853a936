"""Machines on which workers run, and the orders to move and maintain them."""

from abc import ABC, abstractmethod
from enum import StrEnum
from typing import NamedTuple

from burdockthread_model.errors import PlatformError
from burdockthread_model.verdict import Verdict
from burdockthread_store.store import Guard

from burdockthread_scheduling.workers import Capacity


class MachineState(StrEnum):
    """State of a machine in the platform's list."""

    UP = "up"
    MOVING = "moving"
    UPKEEP = "upkeep"
    DOWN = "down"


class Machine(NamedTuple):
    """A machine as the platform lists it.

    Attributes:
        name: Unique name.
        pool: Pool that it belongs to.
        state: State of the machine.
        availability_zone: Availability zone.
        labels: Labels, with kind and rack among them.
        capacity: Processors, memory and accelerators of the machine.
        worker_id: Id of the worker that runs on the machine, or empty.
    """

    name: str
    pool: str
    state: MachineState
    availability_zone: str
    labels: tuple[str, ...]
    capacity: Capacity
    worker_id: str


class Wave(NamedTuple):
    """A wave of upkeep that operators have requested.

    Attributes:
        number: Number of the wave.
        machines: Machines to maintain.
        duration_s: Seconds within which the upkeep of all machines has to begin.
        max_at_once: Most machines that may be out of service for the wave at once.
    """

    number: int
    machines: tuple[str, ...]
    duration_s: float
    max_at_once: int


class MachineRefusal(StrEnum):
    """Why an order to a machine was refused."""

    FENCED = "fenced"
    BUSY = "busy"
    NOT_IN_WAVE = "not_in_wave"
    INVALID = "invalid"
    OVER_RATE = "over_rate"


class MachineRefusedError(PlatformError):
    """An order was refused and had no effect.

    Attributes:
        refusal: The reason.
    """

    verdict = Verdict.NOT_RUN

    def __init__(self, machine: str, refusal: MachineRefusal) -> None:
        super().__init__(f"machine {machine}: {refusal.value}")
        self.refusal = refusal


class MachineControl(ABC):
    """Lists machines and sends them orders.

    Each call raises `PlatformError` if there is no answer; an order may have been
    carried out nevertheless. An order to a machine ends all runs on it.
    """

    @abstractmethod
    async def machines(self) -> tuple[Machine, ...]:
        """Returns all machines."""

    @abstractmethod
    async def move(self, machine: str, pool: str, holder: str, fence: int) -> None:
        """Moves a machine to another pool.

        Args:
            machine: Name of the machine.
            pool: Pool to move to.
            holder: Entry that sends the order.
            fence: Fencing token of the holder.

        Raises:
            MachineRefusedError: The machine was not moved.
        """

    @abstractmethod
    async def maintain(self, machine: str, wave: int, holder: str, fence: int) -> None:
        """Takes a machine out of service for the upkeep of a wave.

        Args:
            machine: Name of the machine.
            wave: Number of the wave.
            holder: Entry that sends the order.
            fence: Fencing token of the holder.

        Raises:
            MachineRefusedError: The upkeep was not started.
        """


class WaveBoard(ABC):
    """The waves that operators have requested, and the reports of their progress."""

    @abstractmethod
    def waves(self) -> tuple[Wave, ...]:
        """Returns the requested waves."""

    @abstractmethod
    async def report_status(self, wave: int, guard: Guard, *, completed: bool) -> None:
        """Reports the progress of a wave to the operators.

        Args:
            wave: Number of the wave.
            guard: Condition that rejects the report of an earlier planner.
            completed: Whether the upkeep of all machines of the wave has begun.

        Raises:
            StoreError: The report may not have been recorded.
        """
