"""The configuration in force at an entry; older versions are never applied."""

import asyncio

from burdockthread_model.clock import Clock
from burdockthread_model.errors import StoreError
from burdockthread_model.events import EventLog
from burdockthread_model.metrics import Metrics
from burdockthread_store.prefix_cache import PrefixCache

from burdockthread_scheduling.specs import FleetConfiguration

# A copy that the store has not confirmed for this time is read again before use.
# The watch confirms the copy every second, and a new version has to be in force
# within two seconds.
MAX_AGE_S = 1.2
REFRESH_TIMEOUT_S = 0.3
REFRESH_PAUSE_S = 0.5


class ConfigurationView:
    """The newest configuration that this entry has read.

    Attributes:
        current: The configuration, or None before the first one.
        applied_s: Clock time at which the configuration was applied.
        failed_s: Clock time at which a read last failed or was not waited for.
        reading: Read in progress, shared by all callers of `fresh`.
        doubted: Whether a request has named something that this copy lacks, while the
            copy may have been out of date, and it has not been confirmed since.
        least_version: Version by which another entry has answered a caller for this
            one; an older copy must not be used after that.
    """

    def __init__(
        self, cache: PrefixCache, clock: Clock, metrics: Metrics, log: EventLog
    ) -> None:
        self.cache = cache
        self.clock = clock
        self.metrics = metrics
        self.log = log
        self.current: FleetConfiguration | None = None
        self.applied_s = float("-inf")
        self.failed_s = float("-inf")
        self.reading: asyncio.Task[None] | None = None
        self.doubted = False
        self.least_version = -1

    def apply(self, found: FleetConfiguration, revision: int) -> None:
        """Applies a configuration, unless it is not newer than the one in force.

        Args:
            found: The configuration.
            revision: Store revision that contained it.
        """
        known = -1 if self.current is None else self.current.version
        if found.version < known:
            self.log.info(
                "configuration_old",
                version=found.version,
                known=known,
                revision=revision,
            )
        if found.version <= known:
            return
        self.current = found
        self.applied_s = self.clock.now()
        self.log.info(
            "configuration_applied",
            version=found.version,
            before=known,
            revision=revision,
            queues=len(found.queues),
            pools=len(found.pools),
        )

    def age_s(self) -> float:
        """Returns the seconds since the store last confirmed the copy."""
        return self.clock.now() - self.cache.contact_s

    async def fresh(self) -> FleetConfiguration | None:
        """Returns the configuration, read again if it may be out of date.

        If the store does not answer in time, the one in force is returned. The read
        goes on: a large configuration takes seconds on a slow link, and one that is
        cut off and begun again would fill the link for good.

        While the copy is doubted, a read in progress is waited for again: the request
        that was not answered here may get its answer by a newer version elsewhere.
        """
        if (self.is_stale() or self.is_outdated()) and self.may_read():
            if self.reading is None:
                self.reading = asyncio.create_task(self.read())
            await self.wait_for(self.reading)
        elif self.doubted and self.is_stale() and self.reading is not None:
            await self.wait_for(self.reading)
        return self.current

    async def wait_for(self, reading: asyncio.Task[None]) -> None:
        """Waits for a read for `REFRESH_TIMEOUT_S` at most."""
        try:
            async with self.clock.timeout(REFRESH_TIMEOUT_S):
                await asyncio.shield(reading)
        except TimeoutError:
            self.failed_s = self.clock.now()

    def doubt(self) -> None:
        """Records that a newer version may have what a request has named."""
        self.doubted = True

    def is_stale(self) -> bool:
        """Returns whether the copy may be out of date."""
        return self.age_s() > MAX_AGE_S

    def seen_version(self) -> int:
        """Returns the newest version by which callers may have been answered here."""
        current = -1 if self.current is None else self.current.version
        return max(self.least_version, current)

    def expect_version(self, version: int) -> None:
        """Records a version by which callers of this entry have been answered."""
        self.least_version = max(self.least_version, version)

    def is_outdated(self) -> bool:
        """Returns whether the copy is older than what callers have seen here."""
        return self.current is None or self.current.version < self.least_version

    def may_read(self) -> bool:
        """Returns whether no read has failed or was slow for `REFRESH_PAUSE_S`."""
        return self.clock.now() - self.failed_s > REFRESH_PAUSE_S

    async def read(self) -> None:
        """Compares the copy with the store once; logs and swallows store errors."""
        age_s = self.age_s()
        outcome = "read"
        try:
            await self.cache.confirm()
            self.doubted = False
        except StoreError as error:
            outcome = type(error).__name__
            self.failed_s = self.clock.now()
        finally:
            self.reading = None
        self.metrics.count("configuration.readings")
        self.log.info("configuration_read", age_s=round(age_s, 3), outcome=outcome)
