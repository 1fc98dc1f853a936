"""The machines behind the workers, and orders to them."""

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
        state: Whether it serves.
        availability_zone: Availability zone.
        labels: Kind and rack among them.
        capacity: What it has.
        worker_id: Id of the worker that it is now, or empty.
    """

    name: str
    pool: str
    state: MachineState
    availability_zone: str
    labels: tuple[str, ...]
    capacity: Capacity
    worker_id: str


class Wave(NamedTuple):
    """A wave of upkeep that operators ask for.

    Attributes:
        number: Number of the wave.
        machines: Machines that are due.
        duration_s: Seconds in which all are to have begun.
        max_at_once: Most machines that may be out for it at once.
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
    """An order that certainly had no effect.

    Attributes:
        refusal: The reason.
    """

    verdict = Verdict.NOT_RUN

    def __init__(self, machine: str, refusal: MachineRefusal) -> None:
        super().__init__(f"machine {machine}: {refusal.value}")
        self.refusal = refusal


class MachineControl(ABC):
    """Lists machines and gives them orders.

    Each call raises `PlatformError` if there is no answer; an order may then be
    in effect. What runs on a machine ends with an order to it.
    """

    @abstractmethod
    async def machines(self) -> tuple[Machine, ...]:
        """Returns all machines."""

    @abstractmethod
    async def move(self, machine: str, pool: str, holder: str, fence: int) -> None:
        """Moves a machine to another pool.

        Raises:
            MachineRefusedError: It was not moved.
        """

    @abstractmethod
    async def maintain(self, machine: str, wave: int, holder: str, fence: int) -> None:
        """Takes a machine out for the upkeep of a wave.

        Raises:
            MachineRefusedError: It was not taken out.
        """


class WaveBoard(ABC):
    """The waves that operators ask for, and what they are told of them."""

    @abstractmethod
    def waves(self) -> tuple[Wave, ...]:
        """Returns the waves that are asked for."""

    @abstractmethod
    async def report_status(self, wave: int, guard: Guard, *, completed: bool) -> None:
        """Tells the operators how far a wave has come.

        Args:
            wave: Its number.
            guard: Condition that keeps out the word of an earlier planner.
            completed: Whether all its machines have been out.

        Raises:
            StoreError: It may not be recorded.
        """
