"""The verdict on whether an operation may have run."""

from enum import StrEnum


class Verdict(StrEnum):
    """What is known about the effect of an operation.

    Attributes:
        NOT_RUN: It certainly had no effect.
        RAN: It ran and its whole answer was seen.
        UNKNOWN: It may have run.
    """

    NOT_RUN = "not_run"
    RAN = "ran"
    UNKNOWN = "unknown"
