"""The requests in progress on the connections of a server."""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator, Callable, Iterator
from contextlib import asynccontextmanager, contextmanager

from aiohttp import web
from aiohttp.web_protocol import RequestHandler
from burdockthread_model.errors import BurdockthreadError

PARSING_POLL_S = 0.005


class ServerClosingError(BurdockthreadError):
    """The server closes before a request has been answered."""


class OpenRequests:
    """The requests in progress on the connections of a server.

    Attributes:
        by_connection: Number of requests in progress by connection.
        idle: Set while no request is in progress.
        timeouts: Timeouts of the requests in progress; none expires before the
            requests are aborted.
        abort_at_s: Event loop time at which these timeouts expire, or None.
    """

    def __init__(self) -> None:
        self.by_connection: Counter[RequestHandler] = Counter()
        self.idle = asyncio.Event()
        self.idle.set()
        self.timeouts: set[asyncio.Timeout] = set()
        self.abort_at_s: float | None = None

    @contextmanager
    def tracked(self, request: web.BaseRequest) -> Iterator[None]:
        """Counts a request on its connection within the block."""
        connection = request.protocol
        self.by_connection[connection] += 1
        self.idle.clear()
        try:
            yield
        finally:
            self.by_connection[connection] -= 1
            if not self.by_connection[connection]:
                del self.by_connection[connection]
            if not self.by_connection:
                self.idle.set()

    @asynccontextmanager
    async def aborted_on_close(self) -> AsyncIterator[None]:
        """Aborts the block if the requests are aborted.

        Raises:
            ServerClosingError: The block was aborted.
        """
        limit = asyncio.timeout_at(self.abort_at_s)
        try:
            async with limit:
                self.timeouts.add(limit)
                yield
        except TimeoutError as error:
            if limit.expired():
                raise ServerClosingError(
                    "the port closed before the request was answered"
                ) from error
            raise
        finally:
            self.timeouts.discard(limit)

    async def wait_until_idle(
        self, timeout_s: float, has_waiting: Callable[[], bool]
    ) -> bool:
        """Waits for the requests in progress, and for those that have not begun.

        Args:
            timeout_s: Longest time in seconds.
            has_waiting: Returns whether received data waits for its turn to be parsed.

        Returns:
            Whether they ended in time.
        """
        try:
            async with asyncio.timeout(timeout_s):
                await self.idle.wait()
                while has_waiting():
                    await asyncio.sleep(PARSING_POLL_S)
                    await self.idle.wait()
        except TimeoutError:
            return False
        return True

    def abort(self) -> None:
        """Aborts all requests in progress, and those that begin later."""
        self.abort_at_s = asyncio.get_running_loop().time()
        for limit in self.timeouts:
            limit.reschedule(self.abort_at_s)

    def total(self) -> int:
        """Returns the number of requests in progress."""
        return self.by_connection.total()

    def __contains__(self, connection: object) -> bool:
        """Returns whether a connection has a request in progress."""
        return connection in self.by_connection

    def __len__(self) -> int:
        """Returns the number of connections with a request in progress."""
        return len(self.by_connection)
