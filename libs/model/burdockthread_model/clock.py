"""Clocks: the system clock, and one that tests advance manually."""

import asyncio
import heapq
import itertools
import time
from abc import ABC, abstractmethod
from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager, asynccontextmanager


class Clock(ABC):
    """Source of time for all code that waits or handles expiry times."""

    @abstractmethod
    def now(self) -> float:
        """Returns monotonic seconds; only differences are meaningful."""

    @abstractmethod
    def wall(self) -> float:
        """Returns seconds since the Unix epoch."""

    @abstractmethod
    async def sleep(self, seconds: float) -> None:
        """Waits.

        Args:
            seconds: Time to wait; zero or less only yields to other tasks.
        """

    @abstractmethod
    def timeout(self, seconds: float) -> AbstractAsyncContextManager[None]:
        """Cancels a block that takes too long.

        Args:
            seconds: Longest time for the block.

        Raises:
            TimeoutError: The block took longer and was cancelled.
        """


class SystemClock(Clock):
    """Clock of the operating system."""

    def now(self) -> float:
        """Returns monotonic seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Returns seconds since the Unix epoch."""
        return time.time()

    async def sleep(self, seconds: float) -> None:
        """Waits; a negative time counts as zero."""
        await asyncio.sleep(max(seconds, 0.0))

    @asynccontextmanager
    async def timeout(self, seconds: float) -> AsyncIterator[None]:
        """Cancels a block that takes too long; see `Clock.timeout`."""
        async with asyncio.timeout(max(seconds, 0.0)):
            yield


class MemoryClock(Clock):
    """A clock that only moves when a test calls `advance`.

    Attributes:
        time_s: Current time in seconds.
        sleepers: Heap of wake-up time, sequence number and future of each sleeper.
        order: Sequence numbers, so that sleepers of equal time wake in order.
    """

    def __init__(self, start_s: float = 1_000_000.0) -> None:
        self.time_s = start_s
        self.sleepers: list[tuple[float, int, asyncio.Future[None]]] = []
        self.order = itertools.count()

    def now(self) -> float:
        """Returns the current time of this clock in seconds."""
        return self.time_s

    def wall(self) -> float:
        """Returns the same seconds as `now`."""
        return self.time_s

    async def sleep(self, seconds: float) -> None:
        """Waits until a test has advanced the clock by this time."""
        if seconds <= 0:
            await asyncio.sleep(0)
            return
        woken: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        wake_at = self.time_s + seconds
        heapq.heappush(self.sleepers, (wake_at, next(self.order), woken))
        await woken

    @asynccontextmanager
    async def timeout(self, seconds: float) -> AsyncIterator[None]:
        """Cancels a block that takes too long by this clock."""
        async with asyncio.timeout(None) as limit:
            expiry = asyncio.ensure_future(self.expire(limit, seconds))
            try:
                yield
            finally:
                expiry.cancel()

    async def expire(self, limit: asyncio.Timeout, seconds: float) -> None:
        """Makes a timeout expire once a test has advanced the clock by this time."""
        await self.sleep(seconds)
        limit.reschedule(asyncio.get_running_loop().time())

    async def advance(self, seconds: float) -> None:
        """Advances the time and wakes the sleepers that are due, in order.

        Before and after each wake-up, ready tasks run until they wait again.

        Args:
            seconds: Time to add.
        """
        target = self.time_s + seconds
        await settle()
        while self.sleepers and self.sleepers[0][0] <= target:
            self.time_s = max(self.time_s, self.sleepers[0][0])
            self.wake_due()
            await settle()
        self.time_s = target

    def wake_due(self) -> None:
        """Wakes every sleeper whose wake-up time is reached."""
        while self.sleepers and self.sleepers[0][0] <= self.time_s:
            _, _, woken = heapq.heappop(self.sleepers)
            if not woken.done():
                woken.set_result(None)


SETTLE_ROUNDS = 20


async def settle() -> None:
    """Runs the event loop for `SETTLE_ROUNDS` iterations.

    This lets tasks that are ready run until they wait again.
    """
    for _ in range(SETTLE_ROUNDS):
        await asyncio.sleep(0)
