"""Client of the endpoints: one HTTP exchange for each attempt."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from typing import Any, NamedTuple

import aiohttp
from aiohttp.connector import Connection
from burdockthread_model.errors import EndpointError
from burdockthread_model.verdict import Verdict
from multidict import CIMultiDictProxy
from yarl import URL

ATTEMPT_HEADER = "Burdockthread-Attempt"
POOL_HEADER = "Burdockthread-Pool"
GENERATION_HEADER = "Burdockthread-Generation"
ORGANISATION_HEADER = "Burdockthread-Organisation"
DRAINING_HEADER = "Burdockthread-Draining"
NOT_RUN_HEADER = "Burdockthread-Not-Run"
CONNECT_TIMEOUT_S = 1.0
KEEPALIVE_S = 4.0
DEFAULT_CONTENT_TYPE = "application/octet-stream"
SWITCHING_PROTOCOLS = 101
BODILESS_STATUSES = frozenset({204, 304})


class Endpoint(NamedTuple):
    """A serving VM, with its address and what attempts have to state.

    Attributes:
        vm: Name of the VM.
        host: IP address.
        port: TCP port.
        availability_zone: Availability zone of the VM.
        pool: Pool that the VM belongs to.
        generation: Generation of the VM's record.
        region: Region of the VM, or empty if unknown.
    """

    vm: str
    host: str
    port: int
    availability_zone: str
    pool: str
    generation: int
    region: str = ""


class Attempt(NamedTuple):
    """One attempt to run a request at one endpoint.

    Attributes:
        attempt_id: Unique id that the answer must echo.
        endpoint: Endpoint to send to.
        organisation: Organisation of the caller.
        method: HTTP method.
        path: Path at the endpoint.
        body: Complete body.
        content_type: Media type of the body.
        timeout_s: Seconds until the attempt is aborted.
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
    """A complete answer of an endpoint.

    Attributes:
        status: HTTP status.
        body: Complete body.
        content_type: Media type of the body.
        draining: Whether the endpoint states that its VM is leaving.
        not_run: Whether the endpoint states that it did not run the request.
    """

    status: int
    body: bytes
    content_type: str
    draining: bool = False
    not_run: bool = False


class ExchangeCutError(EndpointError):
    """An exchange that got a connection but failed before any answer.

    The endpoint may still be running the attempt, so its slot is not free.
    """


class EndpointClient(ABC):
    """Sends attempts to endpoints."""

    @abstractmethod
    async def send(self, attempt: Attempt) -> EndpointAnswer:
        """Sends one attempt.

        Args:
            attempt: Attempt to send.

        Returns:
            The complete answer, whose attempt id was checked.

        Raises:
            EndpointError: There is no complete answer; the verdict says
                whether the attempt may have run.
            ExchangeCutError: The endpoint may even be running the attempt
                still.
        """

    @abstractmethod
    async def close(self) -> None:
        """Closes all connections."""


Behaviour = Callable[[Attempt], Awaitable[EndpointAnswer]]


class MemoryEndpointClient(EndpointClient):
    """Client that calls a function instead of endpoints, for tests.

    Attributes:
        attempts: All attempts in the order in which they were sent.
    """

    def __init__(self, behaviour: Behaviour) -> None:
        self.behaviour = behaviour
        self.attempts: list[Attempt] = []

    async def send(self, attempt: Attempt) -> EndpointAnswer:
        """Records the attempt and calls the function."""
        self.attempts.append(attempt)
        return await self.behaviour(attempt)

    async def close(self) -> None:
        """Does nothing."""


class Exchange:
    """Progress of the exchange of one attempt.

    Attributes:
        connected: Whether the exchange got a connection, so that the first byte
            may have been written.
        answered: Whether the head of an answer was read.
    """

    def __init__(self) -> None:
        self.connected = False
        self.answered = False


class AttemptResponse(aiohttp.ClientResponse):
    """An answer whose connection can be closed after its return to the pool.

    Attributes:
        transport: Transport of the connection that delivered the answer.
    """

    transport: asyncio.Transport | None = None

    async def start(self, connection: Connection) -> aiohttp.ClientResponse:
        """Reads the head of the answer."""
        self.transport = connection.transport
        return await super().start(connection)

    def abort(self) -> None:
        """Closes the connection, so that it is not reused."""
        self.close()
        if self.transport is not None:
            self.transport.abort()


class HttpEndpointClient(EndpointClient):
    """Client over HTTP that closes a connection whose exchange has failed."""

    def __init__(self, connections_per_endpoint: int) -> None:
        connector = aiohttp.TCPConnector(
            limit=0,
            limit_per_host=connections_per_endpoint,
            keepalive_timeout=KEEPALIVE_S,
        )
        self.session = aiohttp.ClientSession(
            connector=connector,
            cookie_jar=aiohttp.DummyCookieJar(),
            auto_decompress=False,
            response_class=AttemptResponse,
            trace_configs=[trace_connections()],
        )
        # By default, aiohttp itself resends idempotent requests (GET, PUT and
        # the like) when a reused connection turns out to be closed.
        self.session._retry_connection = False

    async def send(self, attempt: Attempt) -> EndpointAnswer:
        """Sends one attempt."""
        exchange = Exchange()
        try:
            return await self.exchange(attempt, exchange)
        except EndpointError:
            raise
        except (aiohttp.ClientError, OSError, ValueError) as error:
            raise exchange_error(attempt, exchange, error) from error

    async def exchange(self, attempt: Attempt, exchange: Exchange) -> EndpointAnswer:
        """Writes the request and reads the answer; on failure closes the connection."""
        endpoint = attempt.endpoint
        address = f"http://{endpoint.host}:{endpoint.port}{attempt.path}"
        timeout = aiohttp.ClientTimeout(
            total=attempt.timeout_s, sock_connect=CONNECT_TIMEOUT_S
        )
        async with self.session.request(
            attempt.method,
            URL(address, encoded=True),
            data=attempt.body or None,
            headers=request_headers(attempt),
            timeout=timeout,
            allow_redirects=False,
            trace_request_ctx=exchange,
        ) as answer:
            exchange.answered = True
            assert isinstance(answer, AttemptResponse)
            try:
                return await read_answer(attempt, answer)
            except BaseException:
                answer.abort()
                raise

    async def close(self) -> None:
        """Closes all connections."""
        await self.session.close()


def trace_connections() -> aiohttp.TraceConfig:
    """Returns hooks that mark an exchange as connected."""

    async def on_connected(session: object, context: Any, params: object) -> None:
        context.trace_request_ctx.connected = True

    config = aiohttp.TraceConfig()
    config.on_connection_create_end.append(on_connected)
    config.on_connection_reuseconn.append(on_connected)
    return config


def exchange_error(
    attempt: Attempt, exchange: Exchange, error: Exception
) -> EndpointError:
    """Returns the error for an exchange that failed."""
    vm = attempt.endpoint.vm
    kind = type(error).__name__
    if not exchange.connected:
        return EndpointError(f"{vm}: no connection: {kind}")
    reason = f"{vm}: no complete answer: {kind}"
    if exchange.answered:
        return EndpointError(reason, verdict=Verdict.UNKNOWN)
    return ExchangeCutError(reason, verdict=Verdict.UNKNOWN)


def request_headers(attempt: Attempt) -> dict[str, str]:
    """Returns the HTTP headers of an attempt."""
    return {
        ATTEMPT_HEADER: attempt.attempt_id,
        POOL_HEADER: attempt.endpoint.pool,
        GENERATION_HEADER: str(attempt.endpoint.generation),
        ORGANISATION_HEADER: attempt.organisation,
        "Accept-Encoding": "identity",
        "Content-Type": attempt.content_type,
    }


async def read_answer(
    attempt: Attempt, answer: aiohttp.ClientResponse
) -> EndpointAnswer:
    """Reads a complete answer and checks that it belongs to the attempt.

    Raises:
        EndpointError: The answer belongs to another attempt, is too large, or
            does not show whether it is complete.
    """
    fault = head_fault(attempt, answer)
    if fault:
        raise EndpointError(f"{attempt.endpoint.vm} {fault}", verdict=Verdict.UNKNOWN)
    return EndpointAnswer(
        status=answer.status,
        body=await read_body(attempt, answer),
        content_type=answer.headers.get("Content-Type", DEFAULT_CONTENT_TYPE),
        draining=is_true(answer.headers, DRAINING_HEADER),
        not_run=is_true(answer.headers, NOT_RUN_HEADER),
    )


def head_fault(attempt: Attempt, answer: aiohttp.ClientResponse) -> str:
    """Returns why the head of an answer is invalid, or an empty string."""
    if answer.headers.get(ATTEMPT_HEADER) != attempt.attempt_id:
        return "answered another attempt"
    if answer.status == SWITCHING_PROTOCOLS:
        return "wants another protocol"
    if answer.headers.get("Content-Encoding", "identity") != "identity":
        return "answered in an encoding that was not asked for"
    bodiless = attempt.method == "HEAD" or answer.status in BODILESS_STATUSES
    chunked = answer.headers.get("Transfer-Encoding", "").lower() == "chunked"
    if not bodiless and not chunked and "Content-Length" not in answer.headers:
        return "answered without a length"
    return ""


async def read_body(attempt: Attempt, answer: aiohttp.ClientResponse) -> bytes:
    """Reads a complete body.

    Raises:
        EndpointError: The body is too large.
    """
    limit = attempt.max_answer_bytes
    body = bytearray()
    async for chunk in answer.content.iter_any():
        body += chunk
        if len(body) > limit:
            reason = f"{attempt.endpoint.vm} answered more than {limit} bytes"
            raise EndpointError(reason, verdict=Verdict.UNKNOWN)
    return bytes(body)


def is_true(headers: CIMultiDictProxy[str], name: str) -> bool:
    """Returns whether a header has the value true."""
    return headers.get(name, "").lower() == "true"
