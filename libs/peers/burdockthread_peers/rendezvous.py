"""Rendezvous hashing: every entry computes the same owner of a key."""

from collections.abc import Iterable

import xxhash


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Orders names by their score for a key, highest first.

    Args:
        key: Key to place.
        names: Candidates.

    Returns:
        The candidates, with the owner first.
    """
    return sorted(names, key=lambda name: (score(key, name), name), reverse=True)


def score(key: str, name: str) -> int:
    """Returns the score of a name for a key, a 64-bit hash."""
    return xxhash.xxh64_intdigest(f"{name}\x00{key}".encode())
