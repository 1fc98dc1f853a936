"""Rendezvous hashing: the same owner for a key on every entry."""

from collections.abc import Iterable

import xxhash


def rank(key: str, names: Iterable[str]) -> list[str]:
    """Orders names by their score for a key, highest first.

    Args:
        key: Key to place.
        names: Candidates.

    Returns:
        The candidates, the owner first.
    """
    return sorted(names, key=lambda name: (score(key, name), name), reverse=True)


def score(key: str, name: str) -> int:
    """Returns the score of a name for a key."""
    return xxhash.xxh64_intdigest(f"{name}\x00{key}".encode())
