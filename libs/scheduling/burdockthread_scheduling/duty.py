"""Work that one entry does at a time, and how it passes from one to another."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from burdockthread_store.store import Guard


def unbounded() -> float:
    """Returns the time left of a duty that no lease bounds."""
    return float("inf")


class Tenure(NamedTuple):
    """A duty as held.

    Attributes:
        duty: Name of the duty.
        fence: Fencing token; grows from one holder to the next.
        guard: Condition that fences a write to the store.
        term: Term of the lease under which it was taken.
        inherited: What its last holder passed on with its offer, or empty.
        lease_left_s: Returns the seconds for which the lease that it was taken
            under surely lasts; zero or less once that is in doubt.
    """

    duty: str
    fence: int
    guard: Guard
    term: str = ""
    inherited: bytes = b""
    lease_left_s: Callable[[], float] = unbounded


class Duty(ABC):
    """Work that one entry does at a time."""

    @abstractmethod
    async def run(self) -> None:
        """Works until cancelled."""

    @abstractmethod
    async def hand_over(self) -> None:
        """Ends all orders under way, so that a successor may start at once."""

    @abstractmethod
    async def pause(self) -> bytes:
        """Stops what a successor must not overlap with.

        Returns:
            What the successor has to know.
        """

    @abstractmethod
    def resume(self) -> None:
        """Goes on after a pause, since no other entry has the duty."""


class DutyOffer(NamedTuple):
    """Asks another entry to take a duty over.

    Attributes:
        duty: Name of the duty.
        fence: Fencing token of the holder that offers it.
        state: What the successor has to know.
    """

    duty: str
    fence: int
    state: bytes


OfferSender = Callable[[str, DutyOffer], Awaitable[bool]]
DutyFactory = Callable[[Tenure], Duty]


class HeldDuty:
    """A duty that this entry does.

    Attributes:
        offering: Whether it is being offered to another entry.
        paused: Whether it waits for certainty that no other entry has it.
        unanswered: Whether another entry may have taken it without an answer.
    """

    def __init__(self, tenure: Tenure, duty: Duty) -> None:
        self.tenure = tenure
        self.duty = duty
        self.offering = False
        self.paused = False
        self.unanswered = False
        self.work = asyncio.create_task(duty.run())
