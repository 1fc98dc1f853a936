"""Clocks: the real one, and one that a test moves by hand."""

import asyncio
import heapq
import itertools
import time
from abc import ABC, abstractmethod
from collections.abc import AsyncIterator
from contextlib import AbstractAsyncContextManager, asynccontextmanager


class Clock(ABC):
    """Source of time for everything that waits or expires."""

    @abstractmethod
    def now(self) -> float:
        """Returns monotonic seconds."""

    @abstractmethod
    def wall(self) -> float:
        """Returns seconds since the Unix epoch."""

    @abstractmethod
    async def sleep(self, seconds: float) -> None:
        """Waits.

        Args:
            seconds: How long to wait; zero or less only yields.
        """

    @abstractmethod
    def timeout(self, seconds: float) -> AbstractAsyncContextManager[None]:
        """Bounds the time of a block.

        Args:
            seconds: Longest time.

        Raises:
            TimeoutError: The block took longer; it was cancelled.
        """


class SystemClock(Clock):
    """The clock of the machine."""

    def now(self) -> float:
        """Returns monotonic seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Returns seconds since the Unix epoch."""
        return time.time()

    async def sleep(self, seconds: float) -> None:
        """Waits for real."""
        await asyncio.sleep(max(seconds, 0.0))

    @asynccontextmanager
    async def timeout(self, seconds: float) -> AsyncIterator[None]:
        """Bounds the time of a block."""
        async with asyncio.timeout(max(seconds, 0.0)):
            yield


class MemoryClock(Clock):
    """A clock that stands still until a test advances it."""

    def __init__(self, start_s: float = 1_000_000.0) -> None:
        self.time_s = start_s
        self.sleepers: list[tuple[float, int, asyncio.Future[None]]] = []
        self.order = itertools.count()

    def now(self) -> float:
        """Returns the seconds set by the test."""
        return self.time_s

    def wall(self) -> float:
        """Returns the same seconds as `now`."""
        return self.time_s

    async def sleep(self, seconds: float) -> None:
        """Waits until the clock has been advanced far enough."""
        if seconds <= 0:
            await asyncio.sleep(0)
            return
        woken: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        wake_at = self.time_s + seconds
        heapq.heappush(self.sleepers, (wake_at, next(self.order), woken))
        await woken

    @asynccontextmanager
    async def timeout(self, seconds: float) -> AsyncIterator[None]:
        """Bounds the time of a block by this clock."""
        async with asyncio.timeout(None) as limit:
            expiry = asyncio.ensure_future(self.expire(limit, seconds))
            try:
                yield
            finally:
                expiry.cancel()

    async def expire(self, limit: asyncio.Timeout, seconds: float) -> None:
        """Ends a block once the clock has been advanced far enough."""
        await self.sleep(seconds)
        limit.reschedule(asyncio.get_running_loop().time())

    async def advance(self, seconds: float) -> None:
        """Moves time forward, waking sleepers in order.

        Args:
            seconds: How far to move.
        """
        target = self.time_s + seconds
        await settle()
        while self.sleepers and self.sleepers[0][0] <= target:
            self.time_s = max(self.time_s, self.sleepers[0][0])
            self.wake_due()
            await settle()
        self.time_s = target

    def wake_due(self) -> None:
        """Wakes every sleeper whose time has come."""
        while self.sleepers and self.sleepers[0][0] <= self.time_s:
            _, _, woken = heapq.heappop(self.sleepers)
            if not woken.done():
                woken.set_result(None)


SETTLE_ROUNDS = 20


async def settle() -> None:
    """Lets every task that is ready run until it waits again."""
    for _ in range(SETTLE_ROUNDS):
        await asyncio.sleep(0)
