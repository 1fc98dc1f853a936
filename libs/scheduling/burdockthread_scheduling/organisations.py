"""Organisations: the keys of their callers, their weights and their quotas."""

import hashlib
from collections.abc import Iterable
from typing import NamedTuple

# Amount of a resource that stands for no limit.
UNLIMITED = 2**53


def key_digest(key: str) -> bytes:
    """Returns the digest by which a caller's key is looked up and passed on.

    Only digests are kept and sent to other entries, so that no log, error or dump can
    show a key. A look-up by digest takes the same time for each key.
    """
    # Bytes of a header that are not UTF-8 arrive as surrogates.
    data = key.encode(errors="surrogateescape")
    return hashlib.sha256(data).digest() if key else b""


class Quota(NamedTuple):
    """What an organisation may have running across all pools; `UNLIMITED` if unbounded.

    Attributes:
        cpu_milli: Processors in thousandths of a core.
        memory_mb: Memory in megabytes.
        accelerators: Accelerators.
    """

    cpu_milli: int = UNLIMITED
    memory_mb: int = UNLIMITED
    accelerators: int = UNLIMITED

    def is_limited(self) -> bool:
        """Returns whether any resource is bounded."""
        return self != NO_QUOTA


NO_QUOTA = Quota()


class OrganisationSpec(NamedTuple):
    """An organisation as configured.

    Attributes:
        name: Unique name.
        key_digests: Digests of the keys of its callers.
        weight: Its share when a pool is full, relative to others; also the number of
            jobs a second that it may expect to have served.
        quota: What it may have running.
    """

    name: str
    key_digests: tuple[bytes, ...] = ()
    weight: float = 0.0
    quota: Quota = Quota()


class Organisations:
    """The organisations of a configuration.

    Attributes:
        by_name: Organisations by name.
        by_key: Organisations by the digest of a key.
    """

    def __init__(self, found: Iterable[OrganisationSpec] = ()) -> None:
        self.by_name = {organisation.name: organisation for organisation in found}
        self.by_key = {
            digest: organisation
            for organisation in self.by_name.values()
            for digest in organisation.key_digests
        }

    def has_quotas(self) -> bool:
        """Returns whether any organisation has a quota."""
        return any(found.quota.is_limited() for found in self.by_name.values())

    def quota(self, name: str) -> Quota:
        """Returns the quota of an organisation; unlimited for an unknown one."""
        found = self.by_name.get(name)
        return NO_QUOTA if found is None else found.quota

    def weight(self, name: str) -> float:
        """Returns the weight of an organisation; 0 for an unknown one."""
        found = self.by_name.get(name)
        return 0.0 if found is None else found.weight
