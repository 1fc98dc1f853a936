"""Calls between entries: msgpack bodies over HTTP."""

import asyncio
import inspect
from abc import abstractmethod
from collections.abc import Awaitable, Callable
from typing import Any, TypeVar

import aiohttp
import msgspec
from aiohttp import web
from burdockthread_http.connection_guard import ConnectionGuard
from burdockthread_http.connection_limits import PortLimits
from burdockthread_http.http_calls import NOT_SENT, HttpCalls
from burdockthread_http.http_server import GracefulServer
from burdockthread_model.clock import Clock
from burdockthread_model.errors import (
    PeerEndedError,
    PeerTimeoutError,
    PeerUnavailableError,
)
from burdockthread_model.events import EventLog

from burdockthread_scheduling.duty import DutyOffer
from burdockthread_scheduling.pool_status import (
    LINK_TIMEOUT_S,
    PlannerAnswer,
    PoolStatus,
    ReleaseAnswer,
    ReleaseOrder,
)
from burdockthread_scheduling.quota_messages import QuotaAnswer, QuotaReport
from burdockthread_scheduling.request_relay import (
    CallerAnswer,
    CallerRequest,
    RelayLink,
    RequestHandler,
)

STATUS_PATH = "/pool-status"
RELEASE_PATH = "/pool-release"
OFFER_PATH = "/duty-offer"
RELAY_PATH = "/caller-request"
QUOTA_PATH = "/quota-report"
# The entry does not hold the duty that answers the message.
NOT_HOLDER = 409
# A request that found no connection within this time is passed on to another entry.
CONNECT_TIMEOUT_S = 0.5

StatusHandler = Callable[[PoolStatus], PlannerAnswer | None]
ReleaseHandler = Callable[[ReleaseOrder], ReleaseAnswer]
OfferHandler = Callable[[DutyOffer], Awaitable[bool]]
QuotaHandler = Callable[[QuotaReport], QuotaAnswer | None]
Answer = TypeVar("Answer")


class EntryLink(RelayLink):
    """Calls to other entries."""

    @abstractmethod
    async def report(self, address: str, status: PoolStatus) -> PlannerAnswer:
        """Reports the status of a pool to the machine planner.

        Args:
            address: IP address and port of the planner's entry.
            status: The status.

        Raises:
            PeerUnavailableError: No answer, or the entry is not the planner.
        """

    @abstractmethod
    async def release(self, address: str, order: ReleaseOrder) -> ReleaseAnswer:
        """Asks an earlier holder of a pool to send no more orders.

        Raises:
            PeerUnavailableError: No answer.
        """

    @abstractmethod
    async def offer(self, address: str, offer: DutyOffer) -> bool:
        """Offers a duty; returns whether another entry than the caller now holds it.

        Raises:
            PeerUnavailableError: No answer; the entry may have accepted the duty.
        """

    @abstractmethod
    async def report_quota(self, address: str, report: QuotaReport) -> QuotaAnswer:
        """Reports the use of quotas in a pool to their allocator.

        Raises:
            PeerUnavailableError: No answer, or the entry is not the allocator.
        """


class HttpEntryLink(EntryLink):
    """Calls other entries over HTTP, and serves their calls.

    Attributes:
        calls: Sends calls. Messages about duties have connections of their own, so
            that they don't wait for callers' requests that are passed on.
        handlers: Type and handler of the messages by path.
    """

    def __init__(
        self,
        calls: HttpCalls,
        on_status: StatusHandler,
        on_release: ReleaseHandler,
        on_offer: OfferHandler,
        on_request: RequestHandler,
        on_quota: QuotaHandler,
    ) -> None:
        """Creates the link.

        Args:
            calls: Sends calls.
            on_status: Handles a pool's status; returns None if this entry is not the
                planner.
            on_release: Drops a pool that another entry now holds.
            on_offer: Handles an offered duty; returns whether the offering entry no
                longer holds it.
            on_request: Answers a caller's request that another entry passes on.
            on_quota: Handles a report on quotas; returns None if this entry is not
                the allocator.
        """
        self.calls = calls
        self.handlers: dict[str, tuple[type, Callable[[Any], object]]] = {
            STATUS_PATH: (PoolStatus, on_status),
            RELEASE_PATH: (ReleaseOrder, on_release),
            OFFER_PATH: (DutyOffer, on_offer),
            RELAY_PATH: (CallerRequest, on_request),
            QUOTA_PATH: (QuotaReport, on_quota),
        }

    async def call(
        self, address: str, path: str, message: object, kind: type[Answer]
    ) -> Answer:
        """Posts a message and returns the decoded answer.

        Raises:
            PeerEndedError: No process listens at the address.
            PeerUnavailableError: No answer in time, another status than 200, or a
                malformed answer.
        """
        url = f"http://{address}{path}"
        body = msgspec.msgpack.encode(message)
        try:
            answer = await self.calls.send(
                f"link.{path.rpartition('/')[2]}",
                "POST",
                url,
                LINK_TIMEOUT_S,
                body=body,
                waits=True,
            )
            if answer.status != 200:
                raise PeerUnavailableError(f"{address} answered {answer.status}")
            return msgspec.msgpack.decode(answer.data, type=kind)
        except aiohttp.ClientConnectorError as error:
            ended = isinstance(error.os_error, ConnectionRefusedError)
            kind_of_error = PeerEndedError if ended else PeerUnavailableError
            raise kind_of_error(f"{address}: {error}") from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            reason = f"{address}: {type(error).__name__}"
            raise PeerUnavailableError(reason) from error
        except msgspec.MsgspecError as error:
            raise PeerUnavailableError(f"{address}: {error}") from error

    async def report(self, address: str, status: PoolStatus) -> PlannerAnswer:
        """Reports the status of a pool to the machine planner."""
        return await self.call(address, STATUS_PATH, status, PlannerAnswer)

    async def release(self, address: str, order: ReleaseOrder) -> ReleaseAnswer:
        """Asks an earlier holder of a pool to send no more orders."""
        return await self.call(address, RELEASE_PATH, order, ReleaseAnswer)

    async def offer(self, address: str, offer: DutyOffer) -> bool:
        """Offers a duty; returns whether another entry than the caller now holds it."""
        return await self.call(address, OFFER_PATH, offer, bool)

    async def report_quota(self, address: str, report: QuotaReport) -> QuotaAnswer:
        """Reports the use of quotas in a pool to their allocator."""
        return await self.call(address, QUOTA_PATH, report, QuotaAnswer)

    async def relay(self, address: str, request: CallerRequest) -> CallerAnswer:
        """Has another entry answer a caller's request from its own store."""
        url = f"http://{address}{RELAY_PATH}"
        body = msgspec.msgpack.encode(request.message())
        try:
            async with asyncio.timeout(request.timeout_s):
                answer = await self.calls.send(
                    "link.relay",
                    "POST",
                    url,
                    request.timeout_s,
                    CONNECT_TIMEOUT_S,
                    body,
                )
        except NOT_SENT as error:
            raise PeerUnavailableError(f"{address}: {error}") from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise PeerTimeoutError(f"{address}: {type(error).__name__}") from error
        try:
            return msgspec.msgpack.decode(answer.data, type=CallerAnswer)
        except msgspec.MsgspecError as error:
            reason = f"{address} answered {answer.status}: {error}"
            raise PeerTimeoutError(reason) from error

    async def answer(self, request: web.BaseRequest) -> web.Response:
        """Handles a request of another entry by its path."""
        body = await request.read()
        found = self.handlers.get(request.path)
        if found is None:
            return web.Response(status=404)
        kind, handle = found
        try:
            answer = handle(msgspec.msgpack.decode(body, type=kind))
        except msgspec.MsgspecError as error:
            return web.Response(status=400, text=str(error))
        return encoded(await answer if inspect.isawaitable(answer) else answer)

    def server(
        self,
        clock: Clock,
        log: EventLog,
        guard: ConnectionGuard | None = None,
        limits: Callable[[], PortLimits] = PortLimits,
    ) -> GracefulServer:
        """Returns the HTTP server for the calls of other entries."""
        return GracefulServer("entries", self.answer, clock, log, guard, limits)


def encoded(message: object) -> web.Response:
    """Returns the encoded message, or `NOT_HOLDER` for None."""
    if message is None:
        return web.Response(status=NOT_HOLDER)
    return web.Response(body=msgspec.msgpack.encode(message))
