"""Rate limits for the calls of one entry to the key-value service."""

import asyncio

from burdockthread_model.clock import Clock
from burdockthread_model.errors import StoreBudgetError
from burdockthread_model.settings import Limits

BURST_FRACTION = 0.2
URGENT_RESERVE_FRACTION = 0.25
BUDGET_WAIT_S = 2.0
MIN_SLEEP_S = 0.001


class TokenBucket:
    """Rate limiter that admits at most `rate_per_s` calls in any second.

    The burst capacity is a fifth of the rate and the refill rate is the other
    four fifths, so that their sum in any second does not exceed the rate. A
    quarter of the burst capacity is reserved for urgent calls.

    Attributes:
        capacity: Largest number of calls in a burst.
        refill_per_s: Tokens added per second.
        reserve: Tokens that only urgent calls may use.
        tokens: Calls that may be made now, as of `refilled_s`.
        refilled_s: Clock time of the last refill.
        queue: Lock that makes calls that are not urgent wait in order.
    """

    def __init__(self, rate_per_s: float, clock: Clock) -> None:
        self.clock = clock
        self.capacity = max(rate_per_s * BURST_FRACTION, 1.0)
        self.refill_per_s = max(rate_per_s - self.capacity, rate_per_s * BURST_FRACTION)
        self.reserve = min(self.capacity * URGENT_RESERVE_FRACTION, self.capacity - 1.0)
        self.tokens = self.capacity
        self.refilled_s = clock.now()
        self.queue = asyncio.Lock()

    async def take(self, what: str, *, urgent: bool = False) -> None:
        """Waits for a token and takes it; urgent calls skip the queue.

        Args:
            what: Description of the call, for the error message.
            urgent: Whether the reserve may be used.

        Raises:
            StoreBudgetError: No token was available within `BUDGET_WAIT_S`.
        """
        try:
            async with self.clock.timeout(BUDGET_WAIT_S):
                if urgent:
                    await self.take_above(0.0)
                    return
                async with self.queue:
                    await self.take_above(self.reserve)
        except TimeoutError:
            raise StoreBudgetError(
                f"{what}: call budget exhausted for {BUDGET_WAIT_S:g} s"
            ) from None

    async def take_above(self, floor: float) -> None:
        """Takes a token once at least `floor` tokens remain after it."""
        while True:
            self.refill()
            missing = floor + 1.0 - self.tokens
            if missing <= 0:
                self.tokens -= 1.0
                return
            await self.clock.sleep(max(missing / self.refill_per_s, MIN_SLEEP_S))

    def refill(self) -> None:
        """Adds the tokens for the time since the last refill."""
        now = self.clock.now()
        gained = (now - self.refilled_s) * self.refill_per_s
        self.tokens = min(self.tokens + gained, self.capacity)
        self.refilled_s = now


class CallBudget:
    """Separate rate limits for the reads and the writes of one entry.

    Attributes:
        reads: Limits reads; opening a watch counts as one read.
        writes: Limits writes and lease calls; lease calls are urgent.
    """

    def __init__(self, reads_per_s: float, writes_per_s: float, clock: Clock) -> None:
        self.reads = TokenBucket(reads_per_s, clock)
        self.writes = TokenBucket(writes_per_s, clock)

    @classmethod
    def from_limits(cls, limits: Limits, clock: Clock) -> "CallBudget":
        """Returns the budget for the rates in the settings."""
        return cls(limits.store_reads_per_s, limits.store_writes_per_s, clock)
