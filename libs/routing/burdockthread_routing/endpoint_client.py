"""The edge towards endpoints: one exchange for each attempt."""

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import aiohttp
from burdockthread_model.errors import EndpointError
from burdockthread_model.verdict import Verdict
from multidict import CIMultiDictProxy

ATTEMPT_HEADER = "Burdockthread-Attempt"
POOL_HEADER = "Burdockthread-Pool"
GENERATION_HEADER = "Burdockthread-Generation"
ORGANISATION_HEADER = "Burdockthread-Organisation"
DRAINING_HEADER = "Burdockthread-Draining"
NOT_RUN_HEADER = "Burdockthread-Not-Run"
CONNECT_TIMEOUT_S = 1.0


class Endpoint(NamedTuple):
    """A VM that serves, with what a request has to carry.

    Attributes:
        vm: Name of the VM.
        host: IP address.
        port: TCP port.
        availability_zone: Its availability zone.
        pool: Pool it belongs to.
        generation: Generation of its pool record.
    """

    vm: str
    host: str
    port: int
    availability_zone: str
    pool: str
    generation: int


class Attempt(NamedTuple):
    """One try of a request at one endpoint.

    Attributes:
        attempt_id: Unique id that the answer must echo.
        endpoint: Endpoint to send to.
        organisation: Organisation of the caller.
        method: HTTP method.
        path: Path at the endpoint.
        body: Whole body.
        content_type: Media type of the body.
        timeout_s: Seconds until the attempt is given up.
        max_answer_bytes: Largest answer accepted.
    """

    attempt_id: str
    endpoint: Endpoint
    organisation: str
    method: str
    path: str
    body: bytes
    content_type: str
    timeout_s: float
    max_answer_bytes: int


class EndpointAnswer(NamedTuple):
    """A whole answer of an endpoint.

    Attributes:
        status: HTTP status.
        body: Whole body.
        content_type: Media type of the body.
        draining: Whether the endpoint says that it is leaving.
        not_run: Whether the endpoint refused before it did anything.
    """

    status: int
    body: bytes
    content_type: str
    draining: bool = False
    not_run: bool = False


class EndpointClient(ABC):
    """Sends attempts to endpoints."""

    @abstractmethod
    async def send(self, attempt: Attempt) -> EndpointAnswer:
        """Sends one attempt.

        Args:
            attempt: Attempt to send.

        Returns:
            The whole answer, proved to belong to this attempt.

        Raises:
            EndpointError: No whole answer; its verdict says whether the
                attempt may have run.
        """

    @abstractmethod
    async def close(self) -> None:
        """Closes all connections."""


Behaviour = Callable[[Attempt], Awaitable[EndpointAnswer]]


class MemoryEndpointClient(EndpointClient):
    """Endpoints played by a function of the test.

    Attributes:
        attempts: All attempts in the order sent.
    """

    def __init__(self, behaviour: Behaviour) -> None:
        self.behaviour = behaviour
        self.attempts: list[Attempt] = []

    async def send(self, attempt: Attempt) -> EndpointAnswer:
        """Calls the function."""
        self.attempts.append(attempt)
        return await self.behaviour(attempt)

    async def close(self) -> None:
        """Does nothing."""


class HttpEndpointClient(EndpointClient):
    """Endpoints over HTTP; a connection whose exchange was cut is closed."""

    def __init__(self, connections_per_endpoint: int) -> None:
        connector = aiohttp.TCPConnector(
            limit=0, limit_per_host=connections_per_endpoint
        )
        self.session = aiohttp.ClientSession(connector=connector, auto_decompress=False)

    async def send(self, attempt: Attempt) -> EndpointAnswer:
        """Sends one attempt."""
        endpoint = attempt.endpoint
        url = f"http://{endpoint.host}:{endpoint.port}{attempt.path}"
        timeout = aiohttp.ClientTimeout(
            total=attempt.timeout_s, sock_connect=CONNECT_TIMEOUT_S
        )
        try:
            async with self.session.request(
                attempt.method,
                url,
                data=attempt.body or None,
                headers=request_headers(attempt),
                timeout=timeout,
                allow_redirects=False,
            ) as answer:
                return await read_answer(attempt, answer)
        except aiohttp.ClientConnectorError as error:
            raise EndpointError(f"{endpoint.vm} refused the connection") from error
        except (aiohttp.ClientError, TimeoutError) as error:
            reason = f"{endpoint.vm} gave no whole answer: {type(error).__name__}"
            raise EndpointError(reason, verdict=Verdict.UNKNOWN) from error

    async def close(self) -> None:
        """Closes all connections."""
        await self.session.close()


def request_headers(attempt: Attempt) -> dict[str, str]:
    """Returns the headers that an attempt carries."""
    return {
        ATTEMPT_HEADER: attempt.attempt_id,
        POOL_HEADER: attempt.endpoint.pool,
        GENERATION_HEADER: str(attempt.endpoint.generation),
        ORGANISATION_HEADER: attempt.organisation,
        "Content-Type": attempt.content_type,
    }


async def read_answer(
    attempt: Attempt, answer: aiohttp.ClientResponse
) -> EndpointAnswer:
    """Reads a whole answer and checks that it belongs to the attempt.

    Raises:
        EndpointError: The answer is another attempt's, or too large.
    """
    vm = attempt.endpoint.vm
    if answer.headers.get(ATTEMPT_HEADER) != attempt.attempt_id:
        answer.close()
        reason = f"{vm} answered another attempt"
        raise EndpointError(reason, verdict=Verdict.UNKNOWN)
    body = await answer.content.read(attempt.max_answer_bytes + 1)
    while len(body) <= attempt.max_answer_bytes:
        more = await answer.content.read(attempt.max_answer_bytes + 1 - len(body))
        if not more:
            break
        body += more
    if len(body) > attempt.max_answer_bytes:
        answer.close()
        reason = f"{vm} answered more than {attempt.max_answer_bytes} bytes"
        raise EndpointError(reason, verdict=Verdict.UNKNOWN)
    return EndpointAnswer(
        status=answer.status,
        body=body,
        content_type=answer.content_type,
        draining=flag(answer.headers, DRAINING_HEADER),
        not_run=flag(answer.headers, NOT_RUN_HEADER),
    )


def flag(headers: CIMultiDictProxy[str], name: str) -> bool:
    """Returns whether a header says true."""
    return headers.get(name, "").lower() == "true"
