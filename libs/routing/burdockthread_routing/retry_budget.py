"""Budget of retries, so that they cannot amplify an overload."""

from burdockthread_model.clock import Clock

RETRY_FRACTION = 0.1
RETRIES_PER_S = 1.0
MAX_SAVED_RETRIES = 20.0


class RetryBudget:
    """Allows a fraction of the recent successes, and a few a second besides.

    Attributes:
        saved: Retries that may be made now.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.saved = MAX_SAVED_RETRIES
        self.updated_s = clock.now()

    def succeeded(self) -> None:
        """Notes a request that was answered."""
        self.save(RETRY_FRACTION)

    def try_spend(self) -> bool:
        """Takes one retry if the budget allows."""
        now = self.clock.now()
        self.save((now - self.updated_s) * RETRIES_PER_S)
        self.updated_s = now
        if self.saved < 1.0:
            return False
        self.saved -= 1.0
        return True

    def save(self, amount: float) -> None:
        """Adds to the budget up to its bound."""
        self.saved = min(self.saved + amount, MAX_SAVED_RETRIES)
