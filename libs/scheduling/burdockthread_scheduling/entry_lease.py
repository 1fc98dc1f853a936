"""The store lease to which an entry's record and duties are bound."""

import asyncio
import secrets
from collections.abc import Callable, Coroutine
from contextlib import suppress

from burdockthread_model.clock import Clock
from burdockthread_model.errors import LeaseLostError, StoreError
from burdockthread_model.events import EventLog
from burdockthread_store.store import ConfigurationStore, Lease

LEASE_TTL_S = 2.0
# Short compared with the time that a stop allows for the hand-over.
END_RETRY_S = 0.15
TERM_BYTES = 8
# A grant or renewal without an answer is sent again after this time, while the earlier
# ones may still be answered: several fit into the time-out of a call.
RESEND_INTERVAL_S = 0.25
# On a slow store it is sent again after this many times the last answer took.
RESEND_FACTOR = 1.5
MAX_ATTEMPTS = 4


class EntryLease:
    """Grants, renews and revokes this entry's lease.

    Attributes:
        lease: The lease, or None before the first grant and after a loss.
        term: Random id of the lease, unique for each lease granted.
        answer_s: Seconds that the last answered grant or renewal took.
    """

    def __init__(self, store: ConfigurationStore, clock: Clock, log: EventLog) -> None:
        self.store = store
        self.clock = clock
        self.log = log
        self.lease: Lease | None = None
        self.term = ""
        self.answer_s = 0.0

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
                self.lease = await self.first_answer(self.renew)
                return True
            except LeaseLostError:
                self.log.warning("lease_lost", lease=self.lease.lease_id)
                self.lease = None
        self.lease = await self.first_answer(self.grant)
        self.term = secrets.token_hex(TERM_BYTES)
        self.log.info("lease_granted", lease=self.lease.lease_id)
        return False

    async def renew(self) -> Lease:
        """Renews the lease once."""
        if self.lease is None:
            raise LeaseLostError("there is no lease to renew")
        sent_s = self.clock.now()
        lease = await self.store.renew_lease(self.lease)
        self.answer_s = self.clock.now() - sent_s
        return lease

    async def grant(self) -> Lease:
        """Requests a new lease once; one that is not used expires by itself."""
        sent_s = self.clock.now()
        lease = await self.store.grant_lease(LEASE_TTL_S)
        self.answer_s = self.clock.now() - sent_s
        return lease

    async def first_answer(
        self, call: Callable[[], Coroutine[None, None, Lease]]
    ) -> Lease:
        """Returns the first outcome of a call that is repeated while unanswered.

        A store that loses answers would let the lease expire while a single call waits
        for its time-out.

        Raises:
            StoreError: The first call that ended has failed.
        """
        attempts: list[asyncio.Task[Lease]] = []
        interval_s = max(RESEND_INTERVAL_S, self.answer_s * RESEND_FACTOR)
        try:
            while True:
                if len(attempts) < MAX_ATTEMPTS:
                    attempts.append(asyncio.create_task(call()))
                with suppress(TimeoutError):
                    async with self.clock.timeout(interval_s):
                        await asyncio.wait(
                            attempts, return_when=asyncio.FIRST_COMPLETED
                        )
                for attempt in attempts:
                    if attempt.done():
                        return attempt.result()
        finally:
            for attempt in attempts:
                attempt.cancel()
            await asyncio.gather(*attempts, return_exceptions=True)

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
