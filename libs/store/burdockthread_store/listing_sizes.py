"""Whether a prefix is listed rather than followed change by change."""

from collections.abc import Sequence

from burdockthread_store.store import KeyValue

# Changes of this size are read whatever a listing takes: a value may have grown, and
# what the store has sent crosses the link also if it is not read.
SMALL_CHANGES_BYTES = 524_288
# Larger changes than this many listings have several versions of a value, of which a
# listing has only the newest. Values are base64 in both.
LISTING_FACTOR = 1.75 * 4 / 3


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
        return max(SMALL_CHANGES_BYTES, LISTING_FACTOR * listed)
