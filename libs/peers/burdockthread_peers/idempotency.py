"""Interface of the idempotency keys that all entries share."""

from abc import ABC, abstractmethod
from enum import StrEnum
from typing import NamedTuple

from burdockthread_model.request import CallerResponse
from burdockthread_model.verdict import Verdict


class KeyState(StrEnum):
    """Decision of the owner of a key; see `KeyDecision`."""

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
            first request. IN_PROGRESS: the first request is still in progress.
            CONFLICT: the key was used with another body. UNKNOWN: the key may
            have run. UNAVAILABLE: no decision was possible; the request is not
            run, and earlier requests with the key may have run or not.
        response: Response of the first request, or None.
    """

    state: KeyState
    response: CallerResponse | None = None


class KeyOwnership(ABC):
    """Records keys before their dispatch, so that no key is dispatched twice."""

    @abstractmethod
    async def begin(
        self, organisation: str, key: str, fingerprint: str, deadline_s: float
    ) -> KeyDecision:
        """Asks whether a request may be dispatched.

        Args:
            organisation: Organisation that the key belongs to.
            key: The caller's key.
            fingerprint: Hash of the service, method, path and body.
            deadline_s: Clock time after which the decision is not needed.

        Returns:
            The decision; after RUN, the caller must call `finish`.
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
            response: Response to repeat, or None.
        """
