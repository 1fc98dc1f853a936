"""The contract of the platform's key-value service."""

from abc import ABC, abstractmethod
from collections.abc import AsyncIterator, Sequence
from typing import NamedTuple

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


class Change(NamedTuple):
    """One conditional write.

    Attributes:
        key: Key to write.
        value: New value, or None to delete.
        expected_revision: Revision the key must have; 0 if it must not exist,
            `ANY_REVISION` if that does not matter.
        lease_id: Lease that the key is bound to, or 0.
    """

    key: str
    value: bytes | None
    expected_revision: int
    lease_id: int = 0


class Guard(NamedTuple):
    """A condition without a write; fences a write by a lease's key.

    Attributes:
        key: Key to check.
        expected_revision: Revision the key must have; 0 if it must not exist.
    """

    key: str
    expected_revision: int


class WatchEvent(NamedTuple):
    """A change that a watch saw; `value` is None for a deletion."""

    key: str
    value: bytes | None
    revision: int


class Lease(NamedTuple):
    """A lease as its holder may trust it.

    Attributes:
        lease_id: Id given by the platform.
        ttl_s: Time to live in seconds.
        expires_s: Own clock time (`Clock.now`), counted from before the call
            was sent, after which the holder must act as if it had lapsed.
    """

    lease_id: int
    ttl_s: float
    expires_s: float


class ConfigurationStore(ABC):
    """Client of the key-value service; the only place of lasting state."""

    @abstractmethod
    async def get(self, key: str) -> KeyValue | None:
        """Reads one key.

        Args:
            key: Key to read.

        Returns:
            The key with its value, or None if it does not exist.

        Raises:
            StoreUnavailableError: No answer, or the call budget is spent.
        """

    @abstractmethod
    async def list(self, prefix: str) -> Listing:
        """Reads all keys below a prefix.

        Raises:
            StoreUnavailableError: No answer, or the call budget is spent.
        """

    @abstractmethod
    async def write(
        self, changes: Sequence[Change], guards: Sequence[Guard] = ()
    ) -> int:
        """Applies conditional writes, all or none.

        A lost answer is settled by reading back before this returns.

        Args:
            changes: Writes to distinct keys.
            guards: Conditions on other keys.

        Returns:
            The revision of the write.

        Raises:
            ConflictError: A key had another revision; nothing was written.
            StoreUnavailableError: Nothing was written.
            StoreUnknownError: The answer was lost and could not be settled.
        """

    @abstractmethod
    async def grant_lease(self, ttl_s: float) -> Lease:
        """Takes a new lease.

        Raises:
            StoreUnavailableError: No answer.
        """

    @abstractmethod
    async def renew_lease(self, lease: Lease) -> Lease:
        """Prolongs a lease.

        Raises:
            LeaseLostError: The lease has lapsed.
            StoreUnavailableError: No answer.
        """

    @abstractmethod
    async def revoke_lease(self, lease: Lease) -> None:
        """Ends a lease and deletes the keys bound to it."""

    @abstractmethod
    def watch(
        self, prefix: str, after_revision: int
    ) -> AsyncIterator[tuple[WatchEvent, ...]]:
        """Follows the changes below a prefix.

        Args:
            prefix: Prefix of the keys.
            after_revision: First revision not yet seen, less one.

        Yields:
            Batches of events in the order of their revisions.

        Raises:
            WatchCompactedError: `after_revision` is too old; list again.
            StoreUnavailableError: The stream broke.
        """

    @abstractmethod
    async def close(self) -> None:
        """Releases connections."""
