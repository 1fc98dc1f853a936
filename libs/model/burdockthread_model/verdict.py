"""Whether an operation has or may have taken effect."""

from enum import StrEnum


class Verdict(StrEnum):
    """What is known about the effect of an operation.

    Attributes:
        NOT_RUN: The operation had no effect.
        RAN: The operation ran and its complete answer was received.
        UNKNOWN: The operation may have run.
    """

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"
