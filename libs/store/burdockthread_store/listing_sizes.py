"""Whether a prefix is listed rather than followed change by change."""

from collections.abc import Sequence

from burdockthread_store.store import KeyValue

# Changes of this size are read whatever a listing takes.
SMALL_ANSWER_BYTES = 65_536
# A listing has only the newest of several versions of a key, so changes of which one
# part is as large may be the more to read.
LISTING_SHARE = 0.5


class ListingSizes:
    """Remembers the sizes of listings.

    Attributes:
        listed_bytes: Size of the values in the last listing of each prefix.
    """

    def __init__(self) -> None:
        self.listed_bytes: dict[str, int] = {}

    def note(self, prefix: str, items: Sequence[KeyValue]) -> None:
        """Records the size of a complete listing."""
        self.listed_bytes[prefix] = sum(len(item.value) for item in items)

    def most_bytes(self, prefix: str) -> float:
        """Returns the largest size of changes that are read instead of a listing."""
        listed = self.listed_bytes.get(prefix, 0)
        return max(SMALL_ANSWER_BYTES, LISTING_SHARE * listed)
