"""Retry budget, so that retries cannot amplify an overload."""

from burdockthread_model.clock import Clock

RETRY_FRACTION = 0.1
RETRIES_PER_S = 1.0
MAX_RETRY_TOKENS = 20.0


class RetryBudget:
    """Token bucket that gains a fraction of each success and a fixed rate.

    Attributes:
        tokens: Retries that are allowed now.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.tokens = MAX_RETRY_TOKENS
        self.updated_s = clock.now()

    def succeeded(self) -> None:
        """Adds the fraction of a retry that an answered request allows."""
        self.add_tokens(RETRY_FRACTION)

    def try_spend(self) -> bool:
        """Takes one retry from the budget; returns whether one was left."""
        now = self.clock.now()
        self.add_tokens((now - self.updated_s) * RETRIES_PER_S)
        self.updated_s = now
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True

    def add_tokens(self, amount: float) -> None:
        """Adds tokens, up to `MAX_RETRY_TOKENS`."""
        self.tokens = min(self.tokens + amount, MAX_RETRY_TOKENS)
