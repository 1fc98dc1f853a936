"""How much work of duties an entry can carry."""

# Bytes that a holder sends and receives in a second of processor time of one core.
LINK_BYTES_PER_CORE_S = 2_000_000


def entry_weight(cores: float, link_bytes_per_s: float) -> float:
    """Returns the weight of an entry in the distribution of duties, in cores.

    An entry whose link is full before its processor weighs as much as its link.

    Args:
        cores: Processing power in cores.
        link_bytes_per_s: Rate of the link.
    """
    return min(cores, link_bytes_per_s / LINK_BYTES_PER_CORE_S)
