"""The call budget of one entry at the key-value service."""

import asyncio

from burdockthread_model.clock import Clock
from burdockthread_model.errors import StoreBudgetError
from burdockthread_model.settings import Limits

BURST_SHARE = 0.2
RESERVE_SHARE = 0.25
BUDGET_WAIT_S = 2.0
MIN_SLEEP_S = 0.001


class TokenBucket:
    """Bounds the calls of one kind; no second sees more than the rate.

    A fifth of the rate may be spent at once and the rest flows in evenly, so
    that any second holds at the most the rate itself. Part of the burst is
    kept for urgent calls.

    Attributes:
        capacity: Calls that may be made at once.
        refill_per_s: Calls that flow in each second.
        reserve: Calls at the bottom of the bucket kept for urgent ones.
        tokens: Calls that may be made now.
    """

    def __init__(self, rate_per_s: float, clock: Clock) -> None:
        self.clock = clock
        self.capacity = max(rate_per_s * BURST_SHARE, 1.0)
        self.refill_per_s = max(rate_per_s - self.capacity, rate_per_s * BURST_SHARE)
        self.reserve = min(self.capacity * RESERVE_SHARE, self.capacity - 1.0)
        self.tokens = self.capacity
        self.refilled_s = clock.now()
        self.queue = asyncio.Lock()

    async def take(self, what: str, *, urgent: bool = False) -> None:
        """Waits for a call's turn; urgent calls pass the waiting ones.

        Args:
            what: Name of the call, for the error.
            urgent: Whether the reserve may be used.

        Raises:
            StoreBudgetError: The turn did not come in time.
        """
        try:
            async with self.clock.timeout(BUDGET_WAIT_S):
                if urgent:
                    await self.take_above(0.0)
                    return
                async with self.queue:
                    await self.take_above(self.reserve)
        except TimeoutError:
            raise StoreBudgetError(f"{what}: the call budget is spent") from None

    async def take_above(self, floor: float) -> None:
        """Waits until a call leaves at least `floor` in the bucket."""
        while True:
            self.refill()
            missing = floor + 1.0 - self.tokens
            if missing <= 0:
                self.tokens -= 1.0
                return
            await self.clock.sleep(max(missing / self.refill_per_s, MIN_SLEEP_S))

    def refill(self) -> None:
        """Adds what has flowed in since the last time."""
        now = self.clock.now()
        gained = (now - self.refilled_s) * self.refill_per_s
        self.tokens = min(self.tokens + gained, self.capacity)
        self.refilled_s = now


class CallBudget:
    """Reads and writes that one entry may ask of the store.

    Attributes:
        reads: Reads; a watch is counted as one when it is opened.
        writes: Writes and calls about leases; the latter are urgent.
    """

    def __init__(self, reads_per_s: float, writes_per_s: float, clock: Clock) -> None:
        self.reads = TokenBucket(reads_per_s, clock)
        self.writes = TokenBucket(writes_per_s, clock)

    @classmethod
    def from_limits(cls, limits: Limits, clock: Clock) -> "CallBudget":
        """Returns the budget that the settings give."""
        return cls(limits.store_reads_per_s, limits.store_writes_per_s, clock)
