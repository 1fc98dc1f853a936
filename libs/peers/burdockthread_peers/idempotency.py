"""Ownership of idempotency keys across all entries."""

from abc import ABC, abstractmethod
from enum import StrEnum
from typing import NamedTuple

from burdockthread_model.request import CallerResponse
from burdockthread_model.verdict import Verdict


class KeyState(StrEnum):
    """What the owner of a key answers."""

    RUN = "run"
    ANSWERED = "answered"
    IN_PROGRESS = "in_progress"
    CONFLICT = "conflict"
    UNKNOWN = "unknown"
    UNAVAILABLE = "unavailable"


class KeyDecision(NamedTuple):
    """Whether a request with a key may be dispatched.

    Attributes:
        state: RUN permits one dispatch. ANSWERED carries the response of the
            first request. IN_PROGRESS: the first request is still under way.
            CONFLICT: the key came with another body. UNKNOWN: the key may
            have run. UNAVAILABLE: the owner was not reached; not run now,
            and nothing is claimed about earlier requests.
        response: Response of the first request, or None.
    """

    state: KeyState
    response: CallerResponse | None = None


class KeyOwnership(ABC):
    """Records keys before their dispatch."""

    @abstractmethod
    async def begin(
        self, organisation: str, key: str, fingerprint: str, deadline_s: float
    ) -> KeyDecision:
        """Asks whether a request may be dispatched now.

        Args:
            organisation: Organisation that the key belongs to.
            key: The caller's key.
            fingerprint: Hash of the service, method, path and body.
            deadline_s: Clock time after which the answer is useless.

        Returns:
            The decision; after RUN, `finish` must follow.
        """

    @abstractmethod
    async def finish(
        self,
        organisation: str,
        key: str,
        verdict: Verdict,
        response: CallerResponse | None,
    ) -> None:
        """Records how the dispatch ended.

        Args:
            organisation: Organisation that the key belongs to.
            key: The caller's key.
            verdict: NOT_RUN frees the key for another request.
            response: The answer to repeat, or None.
        """
