"""The store lease to which an entry's record and duties are bound."""

import secrets

from burdockthread_model.clock import Clock
from burdockthread_model.errors import LeaseLostError, StoreError
from burdockthread_model.events import EventLog
from burdockthread_store.store import ConfigurationStore, Lease

LEASE_TTL_S = 2.0
# Short compared with the time that a stop allows for the hand-over.
END_RETRY_S = 0.15
TERM_BYTES = 8


class EntryLease:
    """Grants, renews and revokes this entry's lease.

    Attributes:
        lease: The lease, or None before the first grant and after a loss.
        term: Random id of the lease, unique for each lease granted.
    """

    def __init__(self, store: ConfigurationStore, clock: Clock, log: EventLog) -> None:
        self.store = store
        self.clock = clock
        self.log = log
        self.lease: Lease | None = None
        self.term = ""

    def remaining_s(self) -> float:
        """Returns the seconds until the lease may expire; negative after that."""
        if self.lease is None:
            return 0.0
        return self.lease.expires_s - self.clock.now()

    def remaining_in_term_s(self, term: str) -> float:
        """Returns the seconds left if the lease is still that of the term, else 0."""
        return self.remaining_s() if term == self.term else 0.0

    async def keep(self) -> bool:
        """Renews the lease, or requests a new one if it was lost.

        Returns:
            Whether the existing lease was renewed.

        Raises:
            StoreError: The store did not answer.
        """
        if self.lease is not None:
            try:
                self.lease = await self.store.renew_lease(self.lease)
                return True
            except LeaseLostError:
                self.log.warning("lease_lost", lease=self.lease.lease_id)
                self.lease = None
        self.lease = await self.store.grant_lease(LEASE_TTL_S)
        self.term = secrets.token_hex(TERM_BYTES)
        self.log.info("lease_granted", lease=self.lease.lease_id)
        return False

    async def end(self) -> None:
        """Revokes the lease; retries until it has expired by itself."""
        lease, self.lease = self.lease, None
        while lease is not None and lease.expires_s > self.clock.now():
            try:
                await self.store.revoke_lease(lease)
                return
            except LeaseLostError:
                return
            except StoreError as error:
                self.log.info("lease_not_ended", lease=lease.lease_id, reason=error)
                await self.clock.sleep(END_RETRY_S)
