"""Messages between entries: bodies of msgpack over HTTP."""

from abc import ABC, abstractmethod
from collections.abc import Callable

import aiohttp
import msgspec
from aiohttp import web
from burdockthread_model.errors import PeerUnavailableError

from burdockthread_scheduling.pool_status import PlannerAnswer, PoolStatus

STATUS_PATH = "/pool-status"
CALL_TIMEOUT_S = 0.5
NOT_PLANNER = 409

StatusHandler = Callable[[PoolStatus], PlannerAnswer | None]


class EntryLink(ABC):
    """Calls to other entries."""

    @abstractmethod
    async def report(self, address: str, status: PoolStatus) -> PlannerAnswer:
        """Tells the planner of machines the status of a pool.

        Args:
            address: IP address and port of the planner's entry.
            status: The status.

        Raises:
            PeerUnavailableError: No answer, or it is not the planner.
        """


class HttpEntryLink(EntryLink):
    """Calls over HTTP, and the server for those of others.

    Attributes:
        on_status: Takes in a status; returns None if this is not the planner.
    """

    def __init__(self, session: aiohttp.ClientSession) -> None:
        self.session = session
        self.on_status: StatusHandler = lambda _: None
        self.timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)

    async def report(self, address: str, status: PoolStatus) -> PlannerAnswer:
        """Tells the planner of machines the status of a pool."""
        url = f"http://{address}{STATUS_PATH}"
        body = msgspec.msgpack.encode(status)
        try:
            async with self.session.post(
                url, data=body, timeout=self.timeout
            ) as answer:
                data = await answer.read()
            if answer.status != 200:
                raise PeerUnavailableError(f"{address} answered {answer.status}")
            return msgspec.msgpack.decode(data, type=PlannerAnswer)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            reason = f"{address}: {type(error).__name__}"
            raise PeerUnavailableError(reason) from error
        except msgspec.MsgspecError as error:
            raise PeerUnavailableError(f"{address}: {error}") from error

    async def answer(self, request: web.BaseRequest) -> web.Response:
        """Answers another entry."""
        if request.path != STATUS_PATH:
            return web.Response(status=404)
        try:
            status = msgspec.msgpack.decode(await request.read(), type=PoolStatus)
        except msgspec.MsgspecError as error:
            return web.Response(status=400, text=str(error))
        answer = self.on_status(status)
        if answer is None:
            return web.Response(status=NOT_PLANNER)
        return web.Response(body=msgspec.msgpack.encode(answer))

    def handler(self) -> web.Server:
        """Returns what serves the connections of other entries."""
        return web.Server(self.answer, access_log=None)
