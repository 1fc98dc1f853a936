"""The exception tree of the workspace."""

from burdockthread_model.verdict import Verdict


class BurdockthreadError(Exception):
    """Base of every error that the workspace raises on purpose.

    Attributes:
        verdict: Whether the operation that failed may have run.
    """

    verdict: Verdict = Verdict.NOT_RUN


class SettingsError(BurdockthreadError):
    """Settings that cannot be used.

    Attributes:
        path: JSON path of the value at fault, such as ``$.callers.port``.
    """

    def __init__(self, path: str, reason: str) -> None:
        super().__init__(f"{path}: {reason}")
        self.path = path


class TemplateError(BurdockthreadError):
    """A template that is malformed or that the fleet cannot satisfy."""


class ConflictError(BurdockthreadError):
    """A conditional write that lost to another writer; it took no effect."""


class NotFoundError(BurdockthreadError):
    """A named thing that does not exist."""


class ForbiddenError(BurdockthreadError):
    """An operator without the right to do what was asked."""


class StoreError(BurdockthreadError):
    """Base of the errors of the platform's key-value service."""


class StoreUnavailableError(StoreError):
    """The service could not be asked; the write certainly did not run."""


class StoreUnknownError(StoreError):
    """The answer to a write was lost and could not be settled in time."""

    verdict = Verdict.UNKNOWN


class StoreBudgetError(StoreUnavailableError):
    """The call budget of this entry is spent; nothing was sent."""


class WatchCompactedError(StoreError):
    """The revision asked for is gone; the watcher has to list again."""


class LeaseLostError(StoreError):
    """A lease that has lapsed or was revoked."""


class PeerError(BurdockthreadError):
    """Base of the errors between entries."""


class PeerUnavailableError(PeerError):
    """No stream to the peer; the message was not sent."""


class PeerTimeoutError(PeerError):
    """No answer in time; the peer may have acted on the message."""

    verdict = Verdict.UNKNOWN


class PeerProtocolError(PeerError):
    """A frame that is malformed, too large or not authenticated."""


class RequestError(BurdockthreadError):
    """Base of the errors of the caller's path.

    Attributes:
        status: HTTP status for the caller.
        verdict: Whether the request may have run.
        retry_after_s: Seconds after which a retry makes sense, or None.
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
    """A request with a missing or malformed field, named in the message."""

    status = 400


class OverloadedError(RequestError):
    """A request refused by admission."""

    status = 429


class EndpointError(RequestError):
    """An attempt at an endpoint that gave no whole answer."""

    status = 502


class PlatformError(BurdockthreadError):
    """The platform's list of VMs or a worker could not be asked."""

    verdict = Verdict.UNKNOWN
