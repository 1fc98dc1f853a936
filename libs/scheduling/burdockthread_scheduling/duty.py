"""Duties: work that exactly one entry does at a time, and its hand-over."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from burdockthread_store.store import Guard


def unbounded() -> float:
    """Returns infinity, the time left of a duty that no lease bounds."""
    return float("inf")


class Tenure(NamedTuple):
    """One holder's period of holding a duty.

    Attributes:
        duty: Name of the duty.
        fence: Fencing token; grows from one holder to the next.
        guard: Condition that fences a write to the store.
        term: Term of the lease under which the duty was acquired.
        inherited: State that the last holder passed on with its offer, or empty.
        lease_left_s: Returns the seconds for which that lease is certain to last;
            zero or less once the lease may have expired.
        replaces_record: Whether the record of the last holder was replaced, whose lease
            need not have ended then.
    """

    duty: str
    fence: int
    guard: Guard
    term: str = ""
    inherited: bytes = b""
    lease_left_s: Callable[[], float] = unbounded
    replaces_record: bool = False


class Duty(ABC):
    """Work that one entry does at a time."""

    @abstractmethod
    async def run(self) -> None:
        """Works until cancelled."""

    @abstractmethod
    async def hand_over(self) -> None:
        """Finishes all orders in progress, so that a successor may start at once."""

    @abstractmethod
    async def pause(self) -> bytes:
        """Stops the work that must not overlap with that of a successor.

        Returns:
            State that the successor needs.
        """

    @abstractmethod
    def resume(self) -> None:
        """Continues after a pause; called once no other entry can hold the duty."""


class DutyOffer(NamedTuple):
    """Asks another entry to take over a duty.

    Attributes:
        duty: Name of the duty.
        fence: Fencing token of the offering holder.
        state: State that the successor needs.
    """

    duty: str
    fence: int
    state: bytes


OfferSender = Callable[[str, DutyOffer], Awaitable[bool]]
DutyFactory = Callable[[Tenure], Duty]


class HeldDuty:
    """A duty that this entry runs.

    Attributes:
        offering: Whether the duty is being offered to other entries.
        paused: Whether the duty is paused until no other entry can hold it.
        unanswered: Whether an offer was not answered, so that another entry may
            have accepted the duty.
    """

    def __init__(self, tenure: Tenure, duty: Duty) -> None:
        self.tenure = tenure
        self.duty = duty
        self.offering = False
        self.paused = False
        self.unanswered = False
        self.work = asyncio.create_task(duty.run())
