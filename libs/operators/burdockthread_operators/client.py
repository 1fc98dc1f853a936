"""Client of the operators' HTTP API."""

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from urllib.parse import quote

import aiohttp
from burdockthread_model.errors import (
    BurdockthreadError,
    ConflictError,
    ForbiddenError,
    NotFoundError,
    TemplateError,
)
from burdockthread_model.verdict import Verdict

CALL_TIMEOUT_S = 35.0
DEFAULT_JOBS = 100

STATUS_ERROR: dict[int, type[BurdockthreadError]] = {
    401: ForbiddenError,
    403: ForbiddenError,
    404: NotFoundError,
    409: ConflictError,
    422: TemplateError,
}


class OperatorsAnswerError(BurdockthreadError):
    """The answer was incomplete; the entry may have executed the request."""

    verdict = Verdict.UNKNOWN


class OperatorsClient:
    """Sends requests to one entry, with a method for each action.

    Each method returns the decoded JSON of the answer; see `call` for errors.
    """

    def __init__(self, session: aiohttp.ClientSession, base_url: str) -> None:
        self.session = session
        self.base_url = base_url.rstrip("/")

    async def call(self, method: str, path: str, **options: object) -> object:
        """Sends a request and returns the decoded answer.

        Raises:
            BurdockthreadError: The entry refused the request or no connection
                could be made.
            OperatorsAnswerError: The answer was incomplete. A retry is safe,
                because an action that was already done is answered with its
                first result.
        """
        url = self.base_url + path
        try:
            async with self.session.request(method, url, **options) as answer:  # type: ignore[arg-type]
                body = await answer.json(content_type=None)
        except aiohttp.ClientConnectorError as error:
            raise BurdockthreadError(f"{self.base_url}: {error}") from error
        except (aiohttp.ClientError, TimeoutError, ValueError) as error:
            reason = str(error) or type(error).__name__
            raise OperatorsAnswerError(f"{self.base_url}: {reason}") from error
        if answer.status < 400:
            return body
        reason = body.get("error", "") if isinstance(body, dict) else str(body)
        raise STATUS_ERROR.get(answer.status, BurdockthreadError)(reason)

    async def status(self) -> object:
        """Reads the intended state next to the actual state."""
        return await self.call("GET", "/v1/status")

    async def dump(self) -> object:
        """Reads the state of the entry's process, by part."""
        return await self.call("GET", "/v1/dump")

    async def vms(self) -> object:
        """Reads all VMs that are recorded or listed by the platform."""
        return await self.call("GET", "/v1/vms")

    async def templates(self) -> object:
        """Reads the accepted templates that the entry has applied."""
        return await self.call("GET", "/v1/templates")

    async def jobs(self, state: str = "", limit: int = DEFAULT_JOBS) -> object:
        """Reads jobs in the order of submission.

        Args:
            state: Only jobs in this state; all if empty.
            limit: Maximum number of jobs.
        """
        params = {"state": state, "limit": str(limit)}
        return await self.call("GET", "/v1/jobs", params=params)

    async def cancel_job(self, job: str) -> object:
        """Cancels a job; a job that has ended is not changed."""
        return await self.call("POST", f"/v1/jobs/{path_segment(job)}/cancel")

    async def release_job(self, job: str) -> object:
        """Queues a parked job again."""
        return await self.call("POST", f"/v1/jobs/{path_segment(job)}/release")

    async def change(self, change: str) -> object:
        """Reads a change with its document."""
        return await self.call("GET", f"/v1/changes/{path_segment(change)}")

    async def propose(self, template: bytes, base_version: int) -> object:
        """Proposes a template.

        Args:
            template: JSON text of the template.
            base_version: Accepted version that the proposal changes; 0 for none.
        """
        params = {"base_version": str(base_version)}
        return await self.call("POST", "/v1/changes", params=params, data=template)

    async def review(self, change: str, content_hash: str, *, approve: bool) -> object:
        """Approves or rejects a change.

        Args:
            change: Id of the change.
            content_hash: Hash of the document that was reviewed.
            approve: Whether the change is approved.
        """
        body = {"content_hash": content_hash, "approve": approve}
        return await self.call(
            "POST", f"/v1/changes/{path_segment(change)}/review", json=body
        )

    async def accept(self, change: str, content_hash: str) -> object:
        """Makes a reviewed change the accepted version.

        Args:
            change: Id of the change.
            content_hash: Hash of the document that was reviewed.
        """
        body = {"content_hash": content_hash}
        return await self.call(
            "POST", f"/v1/changes/{path_segment(change)}/accept", json=body
        )

    async def show(self, template: str) -> object:
        """Reads the accepted version of a template."""
        return await self.call("GET", f"/v1/templates/{path_segment(template)}")

    async def history(self, template: str, before: int = 0) -> object:
        """Reads a page of the changes of a template, newest first.

        Args:
            template: Name of the template.
            before: ``before`` of the previous page; 0 for the newest changes.
        """
        path = f"/v1/templates/{path_segment(template)}/history"
        return await self.call("GET", path, params={"before": str(before)})


def path_segment(text: str) -> str:
    """Quotes text, slashes included, for use as one segment of a URL path."""
    return quote(text, safe="")


@asynccontextmanager
async def operators_client(base_url: str, token: str) -> AsyncIterator[OperatorsClient]:
    """Yields a client whose connections are closed after the block.

    Args:
        base_url: URL of the operators' port of an entry.
        token: Bearer token of the operator.
    """
    headers = {"Authorization": f"Bearer {token}"}
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
    async with aiohttp.ClientSession(headers=headers, timeout=timeout) as session:
        yield OperatorsClient(session, base_url)
