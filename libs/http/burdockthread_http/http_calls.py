"""HTTP calls with time-outs that disregard the delays of this process."""

import asyncio
import sys
from collections.abc import AsyncIterator, Callable, Iterator, Mapping
from contextlib import asynccontextmanager, contextmanager
from contextvars import ContextVar
from typing import NamedTuple
from urllib.parse import urlsplit
from weakref import WeakValueDictionary

import aiohttp
from burdockthread_model.errors import AnswerTooLargeError
from burdockthread_model.load import LoadMonitor

from burdockthread_http.connections import (
    ConnectionUse,
    HostPort,
    TrackedConnector,
    current_use,
)

# The event loop may fire timers before it reads sockets, and an answer passes through
# some callbacks; these short waits let one that has arrived be read.
READ_PASSES = 4
READ_PASS_S = 0.001
# A call that waits for its own process or link ends after this many time-outs at most.
MAX_TIMEOUT_FACTOR = 4.0
MAX_URL_CHARS = 200
# A call that was given up without an answer after a shorter time tells nothing of its
# connection.
SILENCE_S = 0.3
# Headers that the library would add and that no callee uses.
OMITTED_HEADERS = ("User-Agent", "Accept", "Accept-Encoding")


class NoFreeConnectionError(aiohttp.ClientError):
    """All connections to the address were in use; nothing was sent."""


class InvalidCallError(aiohttp.ClientError):
    """The address or a header cannot be encoded; nothing was sent."""


# Errors of calls of which nothing was sent.
NOT_SENT = (
    aiohttp.ClientConnectorError,
    aiohttp.ConnectionTimeoutError,
    aiohttp.InvalidURL,
    InvalidCallError,
    NoFreeConnectionError,
)


class HttpAnswer(NamedTuple):
    """Status and body of an answer."""

    status: int
    data: bytes


class LateTimeout:
    """Ends a block after a time in which its calls could be answered.

    The time in which this process did not run, its link was full or a call of the
    block waited for a free connection does not count.

    Attributes:
        queued: Number of calls of the block that wait for a free connection.
        limit: Cancels the block once it is rescheduled to now.
        left_passes: Waits left for answers that have arrived.
    """

    def __init__(self, load: LoadMonitor, seconds: float) -> None:
        self.load = load
        self.loop = asyncio.get_running_loop()
        self.started_s = load.clock.now()
        self.hindered_s = load.hindered_s()
        self.seconds = seconds
        self.queued = 0
        self.limit = asyncio.timeout(None)
        self.left_passes = READ_PASSES
        self.handle = self.loop.call_later(seconds, self.on_expiry)

    def restart(self) -> None:
        """Counts the time anew, since part of the answer has arrived."""
        self.started_s = self.load.clock.now()
        self.hindered_s = self.load.hindered_s()
        self.left_passes = READ_PASSES

    def on_expiry(self) -> None:
        """Ends the block, or waits on for the time in which the call was hindered."""
        if self.queued:
            self.handle = self.loop.call_later(self.seconds, self.on_expiry)
            return
        passed_s = self.load.clock.now() - self.started_s
        hindered_s = self.load.hindered_s() - self.hindered_s
        most_s = self.seconds * (MAX_TIMEOUT_FACTOR - 1)
        left_s = self.seconds - (passed_s - min(hindered_s, most_s))
        if left_s > READ_PASS_S:
            self.handle = self.loop.call_later(left_s, self.on_expiry)
        elif self.left_passes:
            self.left_passes -= 1
            self.handle = self.loop.call_later(READ_PASS_S, self.on_expiry)
        else:
            self.limit.reschedule(self.loop.time())


# Time-outs around the current call, the outermost first.
enclosing_timeouts: ContextVar[tuple[LateTimeout, ...]] = ContextVar(
    "enclosing_timeouts", default=()
)


@contextmanager
def suspended_timeouts() -> Iterator[None]:
    """Suspends the time-outs around a call while it waits for a connection.

    Nothing of the call has been sent, so that its end would tell nothing of the callee.
    The wait has a time-out of its own.
    """
    timeouts = enclosing_timeouts.get()
    for timeout in timeouts:
        timeout.queued += 1
    try:
        yield
    finally:
        for timeout in timeouts:
            timeout.queued -= 1
            timeout.restart()


@asynccontextmanager
async def running_timeout(
    load: LoadMonitor, seconds: float
) -> AsyncIterator[LateTimeout]:
    """Ends a block that takes too long while this process can receive answers.

    Args:
        load: Knows how long the process did not run or its link was full.
        seconds: Longest time for the block, or since the last restart.

    Yields:
        The time-out, which the block may restart.

    Raises:
        TimeoutError: The block took longer and was cancelled.
    """
    timeout = LateTimeout(load, seconds)
    enclosing = enclosing_timeouts.get()
    token = enclosing_timeouts.set((*enclosing, timeout))
    try:
        async with timeout.limit:
            yield timeout
    finally:
        timeout.handle.cancel()
        enclosing_timeouts.reset(token)


class ClientSessions(NamedTuple):
    """Connections for the calls of a process.

    Attributes:
        shared: A limited number of connections to each address.
        urgent: Connections on which only urgent calls are sent.
        waiting: Connections for calls that the callee may hold back, as many as
            there are such calls.
    """

    shared: aiohttp.ClientSession
    urgent: aiohttp.ClientSession
    waiting: aiohttp.ClientSession


class HttpCalls:
    """Sends calls over the connections of a process.

    Attributes:
        session: Connections that calls share; each waits for a free one.
        urgent_session: Connections on which only urgent calls are sent.
        waiting_session: Connections for calls that the callee may hold back.
        load: Counts the calls and knows the lateness of this process.
        queues: First-come queues for the connections of `session`, by host and port;
            an address without calls has none. The library lets new calls overtake
            those that wait for a connection.
    """

    def __init__(
        self,
        session: aiohttp.ClientSession,
        load: LoadMonitor,
        urgent_session: aiohttp.ClientSession | None = None,
        waiting_session: aiohttp.ClientSession | None = None,
    ) -> None:
        self.session = session
        self.urgent_session = urgent_session or session
        self.waiting_session = waiting_session or session
        self.load = load
        self.queues: WeakValueDictionary[str, asyncio.Semaphore] = WeakValueDictionary()

    @classmethod
    def from_sessions(cls, sessions: ClientSessions, load: LoadMonitor) -> "HttpCalls":
        """Returns an object that sends calls over the connections of a process."""
        return cls(sessions.shared, load, sessions.urgent, sessions.waiting)

    def queue(self, url: str) -> asyncio.Semaphore:
        """Returns the queue for the connections to the address of a URL."""
        address = url.split("/", 3)[2]
        found = self.queues.get(address)
        if found is None:
            connector = self.session.connector
            most = 0 if connector is None else connector.limit_per_host
            found = self.queues[address] = asyncio.Semaphore(most or sys.maxsize)
        return found

    @asynccontextmanager
    async def connection(
        self, session: aiohttp.ClientSession, url: str, timeout_s: float
    ) -> AsyncIterator[None]:
        """Waits for a free connection to an address and reserves it for the block.

        Only calls of the shared session wait.

        Raises:
            NoFreeConnectionError: All were in use for `timeout_s`.
        """
        if session is not self.session:
            yield
            return
        queue = self.queue(url)
        if queue.locked():
            try:
                with suspended_timeouts():
                    async with asyncio.timeout(timeout_s):
                        await queue.acquire()
            except TimeoutError as error:
                raise NoFreeConnectionError(
                    f"no free connection within {timeout_s} s"
                ) from error
        else:
            await queue.acquire()
        try:
            yield
        finally:
            queue.release()

    async def send(
        self,
        kind: str,
        method: str,
        url: str,
        timeout_s: float,
        connect_s: float | None = None,
        body: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        *,
        urgent: bool = False,
        waits: bool = False,
        most_bytes: float = float("inf"),
        on_part: Callable[[int], None] | None = None,
    ) -> HttpAnswer:
        """Sends a call and reads the whole answer.

        Args:
            kind: Kind of the call in metrics.
            method: HTTP method.
            url: Address with path and query.
            timeout_s: Longest time for a free connection, and from then on until a
                part of the answer arrives: a large one may take longer on a slow link.
            connect_s: Longest time to connect; None for no bound of its own.
            body: Body, or None.
            headers: Further headers.
            urgent: Whether the call must not wait for connections that others use.
            waits: Whether the callee may hold the answer back; the call takes no
                connection that others wait for.
            most_bytes: Largest body that is read.
            on_part: Called with the status as headers or a part of the body arrive.

        Raises:
            AnswerTooLargeError: The body has more than `most_bytes`.
            aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError,
            aiohttp.InvalidURL, InvalidCallError, NoFreeConnectionError: No connection;
            nothing was sent.
            aiohttp.ClientError, OSError: No complete answer.
            TimeoutError: No complete answer in time.
        """
        received = 0
        session = self.session
        if urgent or waits:
            session = self.urgent_session if urgent else self.waiting_session
        try:
            async with (
                self.connection(session, url, timeout_s),
                self.noted_silence(url, waits=waits) as use,
                running_timeout(self.load, timeout_s) as limit,
                session.request(
                    method,
                    url,
                    data=body,
                    headers=headers,
                    skip_auto_headers=OMITTED_HEADERS,
                    timeout=aiohttp.ClientTimeout(total=None, sock_connect=connect_s),
                ) as answer,
            ):
                use.hear()
                if on_part is not None:
                    on_part(answer.status)
                if (answer.content_length or 0) > most_bytes:
                    raise AnswerTooLargeError(f"{answer.content_length} bytes")
                parts = []
                async for part in answer.content.iter_any():
                    parts.append(part)
                    received += len(part)
                    self.load.note_received(len(part))
                    if received > most_bytes:
                        raise AnswerTooLargeError(f"more than {received} bytes")
                    if on_part is not None:
                        on_part(answer.status)
                    use.hear()
                    limit.restart()
                return HttpAnswer(answer.status, b"".join(parts))
        finally:
            self.load.note_call(kind, len(body or b""), received)

    @asynccontextmanager
    async def noted_silence(
        self, url: str, *, waits: bool
    ) -> AsyncIterator[ConnectionUse]:
        """Notes if a call ends without an answer on a connection that has worked.

        Args:
            url: Address of the callee.
            waits: Whether only a time-out, and no cancelled call, shows silence.

        Yields:
            The use of the connection by the call.

        Raises:
            InvalidCallError: The address or a header cannot be encoded.
        """
        use = ConnectionUse()
        token = current_use.set(use)
        try:
            yield use
        except TimeoutError:
            self.on_silence(url, use)
            raise
        except asyncio.CancelledError:
            if not waits:
                self.on_silence(url, use)
            raise
        except ValueError as error:
            # The library raises these for hosts and headers that it cannot encode.
            if use.is_answered or isinstance(error, aiohttp.ClientError):
                raise
            raise InvalidCallError(f"{url[:MAX_URL_CHARS]}: {error}") from error
        finally:
            current_use.reset(token)

    def on_silence(self, url: str, use: ConnectionUse) -> None:
        """Handles the end of a call that got no answer on its connection.

        Connections may go silent together and without a sign, while new ones work. The
        next calls would each wait for an answer on one of them, so those that have not
        been answered since the last part of this answer, or since the call got its
        connection, are closed.
        """
        silent_s = use.silent_s()
        if use.heard_s is None or not use.has_worked or silent_s < SILENCE_S:
            return
        target = urlsplit(url)
        address = HostPort(target.hostname, target.port)
        dropped = 0
        for session in {self.session, self.urgent_session, self.waiting_session}:
            if isinstance(session.connector, TrackedConnector):
                dropped += session.connector.drop_idle(address, use.heard_s)
        self.load.note_silence(f"{address.host}:{address.port}", silent_s, dropped)
