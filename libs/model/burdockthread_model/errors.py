"""The exception hierarchy of all burdockthread libraries."""

from burdockthread_model.verdict import Verdict


class BurdockthreadError(Exception):
    """Base class of the errors that burdockthread raises itself.

    Attributes:
        verdict: Whether the operation that failed may have run.
    """

    verdict: Verdict = Verdict.NOT_RUN


class SettingsError(BurdockthreadError):
    """Settings that are malformed or inconsistent.

    Attributes:
        path: JSON path of the invalid value, such as ``$.callers.port``.
    """

    def __init__(self, path: str, reason: str) -> None:
        super().__init__(f"{path}: {reason}")
        self.path = path


class TemplateError(BurdockthreadError):
    """A template that is malformed or that the fleet cannot satisfy."""


class ConflictError(BurdockthreadError):
    """A conditional write whose condition did not hold; nothing was written."""


class NotFoundError(BurdockthreadError):
    """The object with the given name does not exist."""


class ForbiddenError(BurdockthreadError):
    """The operator lacks the right for the requested operation."""


class StoreError(BurdockthreadError):
    """Base class of the errors of the platform's key-value service."""


class StoreUnavailableError(StoreError):
    """The service is unavailable; a write has certainly not taken effect."""


class WriteLostError(StoreUnavailableError):
    """A write was lost on its way and can have no effect any more; others may pass."""


class StoreUnknownError(StoreError):
    """The answer to a write was lost; the write may have taken effect."""

    verdict = Verdict.UNKNOWN


class StoreBudgetError(StoreUnavailableError):
    """The call budget of this entry is exhausted; nothing was sent."""


class WatchCompactedError(StoreError):
    """The start revision of a watch was compacted; list the prefix again."""


class AnswerTooLargeError(BurdockthreadError):
    """An answer is larger than the caller wants; it was not read."""


class LeaseLostError(StoreError):
    """A lease has expired or was revoked."""


class PeerError(BurdockthreadError):
    """Base class of errors in the communication between entries."""


class PeerUnavailableError(PeerError):
    """There is no stream to the peer; the message was not sent."""


class PeerEndedError(PeerUnavailableError):
    """No process listens at the peer's address, so that its process has ended."""


class PeerTimeoutError(PeerError):
    """The peer did not answer in time; it may have handled the message."""

    verdict = Verdict.UNKNOWN


class PeerProtocolError(PeerError):
    """A received frame is malformed, too large or not authenticated."""


class RequestError(BurdockthreadError):
    """Base class of the errors with which a caller's request is answered.

    Attributes:
        status: HTTP status for the caller.
        verdict: Whether the request may have run.
        retry_after_s: Seconds after which the caller may retry, or None.
    """

    status: int = 503

    def __init__(
        self,
        reason: str,
        *,
        verdict: Verdict = Verdict.NOT_RUN,
        retry_after_s: float | None = None,
    ) -> None:
        super().__init__(reason)
        self.verdict = verdict
        self.retry_after_s = retry_after_s


class BadRequestError(RequestError):
    """A field of the request, named in the message, is missing or malformed."""

    status = 400


class OverloadedError(RequestError):
    """The request was refused by admission control."""

    status = 429


class EndpointError(RequestError):
    """An attempt at an endpoint gave no complete response."""

    status = 502


class PlatformError(BurdockthreadError):
    """A call to the platform's list of VMs or to a worker failed."""

    verdict = Verdict.UNKNOWN
