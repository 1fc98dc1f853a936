"""Client of the operators' port."""

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
    """No whole answer; the entry may have acted on the request."""

    verdict = Verdict.UNKNOWN


class OperatorsClient:
    """Asks one entry, one method for each action of an operator."""

    def __init__(self, session: aiohttp.ClientSession, base_url: str) -> None:
        self.session = session
        self.base_url = base_url.rstrip("/")

    async def call(self, method: str, path: str, **options: object) -> object:
        """Sends a request and returns the decoded answer.

        Raises:
            BurdockthreadError: The entry refused or could not be reached.
            OperatorsAnswerError: No whole answer; repeating is safe, because
                an action that was done is answered with what it did.
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
        """Reads the intended against the actual state."""
        return await self.call("GET", "/v1/status")

    async def dump(self) -> object:
        """Reads the state of the process."""
        return await self.call("GET", "/v1/dump")

    async def vms(self) -> object:
        """Reads the VMs."""
        return await self.call("GET", "/v1/vms")

    async def templates(self) -> object:
        """Reads the templates in force at the entry."""
        return await self.call("GET", "/v1/templates")

    async def jobs(self, state: str = "", limit: int = DEFAULT_JOBS) -> object:
        """Reads jobs, those submitted first at the head.

        Args:
            state: Only jobs in this state; all if empty.
            limit: Most jobs to read.
        """
        params = {"state": state, "limit": str(limit)}
        return await self.call("GET", "/v1/jobs", params=params)

    async def cancel_job(self, job: str) -> object:
        """Cancels a job."""
        return await self.call("POST", f"/v1/jobs/{path_segment(job)}/cancel")

    async def release_job(self, job: str) -> object:
        """Lets a parked job wait for a VM again."""
        return await self.call("POST", f"/v1/jobs/{path_segment(job)}/release")

    async def change(self, change: str) -> object:
        """Reads a change and its document."""
        return await self.call("GET", f"/v1/changes/{path_segment(change)}")

    async def propose(self, template: bytes, base_version: int) -> object:
        """Proposes a template."""
        params = {"base_version": str(base_version)}
        return await self.call("POST", "/v1/changes", params=params, data=template)

    async def review(self, change: str, content_hash: str, *, approve: bool) -> object:
        """Reviews a change."""
        body = {"content_hash": content_hash, "approve": approve}
        return await self.call(
            "POST", f"/v1/changes/{path_segment(change)}/review", json=body
        )

    async def accept(self, change: str, content_hash: str) -> object:
        """Accepts a change."""
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
            before: ``before`` of the page read last; 0 for the newest.
        """
        path = f"/v1/templates/{path_segment(template)}/history"
        return await self.call("GET", path, params={"before": str(before)})


def path_segment(text: str) -> str:
    """Returns text as one segment of a path."""
    return quote(text, safe="")


@asynccontextmanager
async def operators_client(base_url: str, token: str) -> AsyncIterator[OperatorsClient]:
    """Connects within the block.

    Args:
        base_url: Address of the operators' port of an entry.
        token: Bearer token of the operator.
    """
    headers = {"Authorization": f"Bearer {token}"}
    timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
    async with aiohttp.ClientSession(headers=headers, timeout=timeout) as session:
        yield OperatorsClient(session, base_url)
