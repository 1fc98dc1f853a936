"""The interface of the clients of the platform's key-value service."""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator, Sequence
from typing import NamedTuple

from burdockthread_model.errors import WatchCompactedError

ANY_REVISION = -1


class KeyValue(NamedTuple):
    """A key with its value.

    Attributes:
        key: Key, segments separated by slashes.
        value: JSON text, up to a megabyte.
        revision: Store-wide revision of the last write to this key.
    """

    key: str
    value: bytes
    revision: int


class Listing(NamedTuple):
    """All keys below a prefix at one revision of the store."""

    items: tuple[KeyValue, ...]
    revision: int


class ListingPage(NamedTuple):
    """One page of a listing.

    Attributes:
        items: Keys in order.
        revision: Revision of the store when the page was read.
        is_last: Whether no page follows.
    """

    items: tuple[KeyValue, ...]
    revision: int
    is_last: bool


class Change(NamedTuple):
    """One conditional write.

    Attributes:
        key: Key to write.
        value: New value, or None to delete.
        expected_revision: Revision the key must have; 0 if it must not exist,
            `ANY_REVISION` for an unconditional write.
        lease_id: Lease whose end deletes the key, or 0 for no lease.
    """

    key: str
    value: bytes | None
    expected_revision: int
    lease_id: int = 0


class Guard(NamedTuple):
    """A condition on a key that the transaction does not write.

    A guard on the key of a lease fences off writers that have lost the lease.

    Attributes:
        key: Key to check.
        expected_revision: Revision the key must have; 0 if it must not exist.
    """

    key: str
    expected_revision: int


class WatchEvent(NamedTuple):
    """One change delivered by a watch; `value` is None for a deletion."""

    key: str
    value: bytes | None
    revision: int


class Changes(NamedTuple):
    """Changes below a prefix.

    Attributes:
        events: The changes, in the order of their revisions.
        revision: Store-wide revision up to which the changes are complete.
    """

    events: tuple[WatchEvent, ...]
    revision: int


class Lease(NamedTuple):
    """A lease as its holder may rely on it.

    Attributes:
        lease_id: Id given by the platform.
        ttl_s: Time to live in seconds.
        expires_s: Time on the holder's clock (`Clock.now`) after which the holder
            must treat the lease as expired. Counted from before the call was
            sent, so that the holder stops no later than the store does.
    """

    lease_id: int
    ttl_s: float
    expires_s: float


class ConfigurationStore(ABC):
    """Client of the key-value service, which holds all persistent state."""

    @abstractmethod
    async def get(self, key: str) -> KeyValue | None:
        """Reads one key.

        Args:
            key: Key to read.

        Returns:
            The key with its value, or None if it does not exist.

        Raises:
            StoreUnavailableError: No answer, or the call budget is exhausted.
        """

    @abstractmethod
    async def list(self, prefix: str) -> Listing:
        """Reads all keys below a prefix at one revision.

        Raises:
            StoreUnavailableError: No answer, or the call budget is exhausted.
        """

    @abstractmethod
    async def write(
        self, changes: Sequence[Change], guards: Sequence[Guard] = ()
    ) -> int:
        """Applies all changes in one transaction if every condition holds.

        If the answer was lost, the client finds out by reading whether the write
        took effect before it returns.

        Args:
            changes: Writes; no key may occur twice.
            guards: Conditions on keys that are not written.

        Returns:
            The store-wide revision of the write.

        Raises:
            ConflictError: A condition did not hold; nothing was written.
            StoreUnavailableError: Nothing was written.
            StoreUnknownError: The answer was lost; the write may have taken effect.
        """

    @abstractmethod
    async def grant_lease(self, ttl_s: float) -> Lease:
        """Grants a lease.

        Args:
            ttl_s: Time to live in seconds.

        Raises:
            StoreUnavailableError: No answer.
        """

    @abstractmethod
    async def renew_lease(self, lease: Lease) -> Lease:
        """Renews a lease and returns it with its new expiry time.

        Raises:
            LeaseLostError: The lease has expired.
            StoreUnavailableError: No answer.
        """

    @abstractmethod
    async def revoke_lease(self, lease: Lease) -> None:
        """Revokes a lease, which deletes the keys bound to it."""

    @abstractmethod
    def watch(
        self, prefix: str, after_revision: int
    ) -> AsyncIterator[tuple[WatchEvent, ...]]:
        """Opens a watch for the changes below a prefix.

        Args:
            prefix: Prefix of the keys.
            after_revision: Last revision already seen; later changes are delivered.

        Yields:
            Batches of events in the order of their revisions.

        Raises:
            WatchCompactedError: The history since `after_revision` was compacted;
                the caller has to list the prefix again.
            StoreUnavailableError: The stream could not be opened or broke.
        """

    async def changes(self, prefix: str, after_revision: int) -> Changes:
        """Reads the changes below a prefix without waiting for any.

        A store that has no such call has the caller list the prefix.

        Args:
            prefix: Prefix of the keys.
            after_revision: Last revision already seen.

        Raises:
            WatchCompactedError: The caller has to list the prefix.
            StoreUnavailableError: No answer.
        """
        raise WatchCompactedError(f"changes below {prefix} cannot be read")

    @abstractmethod
    async def close(self) -> None:
        """Closes the connections to the service."""
