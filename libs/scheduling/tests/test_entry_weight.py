"""Weight of entries whose processor and link differ.

The pattern: VMs of uneven size, some with a strong processor behind a slow link.
"""

from math import inf

import pytest
from burdockthread_scheduling.entry_weight import (
    LINK_BYTES_PER_CORE_S,
    entry_weight,
)


@pytest.mark.parametrize(
    ("cores", "link_bytes_per_s", "weight"),
    [
        (2.0, inf, 2.0),
        (0.5, LINK_BYTES_PER_CORE_S, 0.5),
        (2.0, LINK_BYTES_PER_CORE_S / 4, 0.25),
    ],
)
def test_the_scarcer_of_processor_and_link_counts(cores, link_bytes_per_s, weight):
    assert entry_weight(cores, link_bytes_per_s) == weight
