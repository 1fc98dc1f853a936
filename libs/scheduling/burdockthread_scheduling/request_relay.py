"""Passes callers' requests to another entry while the store is out of reach here.

The store may turn some entries away, or a partition may separate them from it, while
it serves the others. A job's id makes its submission idempotent, so a request whose
outcome here is open may be sent to another entry.
"""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import xxhash
from burdockthread_model.clock import Clock
from burdockthread_model.errors import PeerTimeoutError, PeerUnavailableError
from burdockthread_model.events import EventLog
from burdockthread_model.metrics import Metrics
from burdockthread_model.verdict import Verdict

from burdockthread_scheduling.desk import (
    ANSWER_MARGIN_S,
    RETRY_AFTER_S,
    UnsettledError,
)
from burdockthread_scheduling.intake import consume_error
from burdockthread_scheduling.store_contact import StoreContact

READ_METHOD = "GET"
CANCEL_METHOD = "DELETE"
# Status of a request that had no effect and may be sent elsewhere.
NOT_EXECUTED = 503
# Status of a request that may have had an effect, or may have one later.
UNSETTLED = 504
# Status for a job that does not exist and, as the store records, never will.
GONE = 410
# Longest wait for one entry, which may write to a slow store.
RELAY_TIMEOUT_S = 1.0
MAX_RELAYS = 3
# After no entry could serve a request, none is asked for this time.
FUTILE_PAUSE_S = 0.5
# An entry that did not answer is asked last for this time.
AVOID_S = 2.0
CHECK_INTERVAL_S = 0.2


class CallerRequest(NamedTuple):
    """A caller's request.

    Attributes:
        method: HTTP method.
        host: Name of the host without a port.
        path: Path.
        body: Body as sent by the caller.
        timeout_s: Seconds that the sender waits for the answer.
        least_version: Version of the configuration by which callers of the sending
            entry have been answered; an older one must not decide.
        key: Digest of the caller's key, or empty without one.
        is_open: Whether an entry that had the request before may still execute it. It
            must not be refused then as one that has no effect.
    """

    method: str
    host: str
    path: str
    body: bytes
    timeout_s: float
    least_version: int = -1
    key: bytes = b""
    is_open: bool = False

    def message(self) -> tuple[object, ...]:
        """Returns the fields to send to another entry, without trailing defaults.

        Earlier versions of the software, which lack these fields, can read that.
        """
        if self.is_open:
            return self
        return self[:-1] if self.key else self[:-2]


class CallerAnswer(NamedTuple):
    """The answer to a caller's request.

    Attributes:
        status: HTTP status.
        body: Body.
        retry_after_s: Seconds after which the caller may retry, or None.
        version: Version of the configuration that the answering entry had.
    """

    status: int
    body: bytes
    retry_after_s: float | None = None
    version: int = -1

    def verdict(self) -> Verdict:
        """Returns what the answer tells of the effect of a request to change a job.

        The store has on record what a successful answer and `GONE` tell, so that these
        hold whatever becomes of other attempts.
        """
        if self.status == UNSETTLED:
            return Verdict.UNKNOWN
        is_recorded = self.status < 300 or self.status == GONE
        return Verdict.RAN if is_recorded else Verdict.NOT_RUN


def is_certain(request: CallerRequest, answer: CallerAnswer) -> bool:
    """Returns whether another entry's answer holds whatever becomes of open attempts.

    A read may miss a job that this entry is storing.
    """
    if request.method == READ_METHOD:
        return answer.status != GONE or not request.is_open
    return answer.verdict() is Verdict.RAN


class RelayOutcome(NamedTuple):
    """What has come of asking other entries.

    Attributes:
        answer: Answer to the request, or None if no entry could serve it.
        is_open: Whether an entry that was asked may still execute the request.
    """

    answer: CallerAnswer | None
    is_open: bool


RequestHandler = Callable[[CallerRequest], Awaitable[CallerAnswer]]


class RelayLink(ABC):
    """Sends callers' requests to other entries."""

    @abstractmethod
    async def relay(self, address: str, request: CallerRequest) -> CallerAnswer:
        """Has another entry answer a request from its own store.

        Raises:
            PeerUnavailableError: The request was not sent.
            PeerTimeoutError: No answer; the entry may have handled the request.
        """


class RequestRelay:
    """Answers callers' requests here, or by another entry that reaches the store.

    Attributes:
        link: Sends requests to other entries.
        peers: Returns the addresses of the other entries.
        contact: Tells whether this entry reaches the store.
        least_version: Returns the version by which callers have been answered here.
        expect_version: Called with the version by which an entry has answered.
        refuse_unsent: Refuses the submissions that were not sent to the store.
        is_open: Returns whether this entry may still execute a request.
        futile_until_s: Clock time until which no entry is asked.
        avoided: Clock time by address until which an entry is asked last.
    """

    def __init__(
        self,
        link: RelayLink,
        peers: Callable[[], list[str]],
        contact: StoreContact,
        least_version: Callable[[], int],
        expect_version: Callable[[int], None],
        refuse_unsent: Callable[[], None],
        is_open: Callable[[CallerRequest], bool],
        clock: Clock,
        metrics: Metrics,
        log: EventLog,
    ) -> None:
        self.link = link
        self.peers = peers
        self.contact = contact
        self.least_version = least_version
        self.expect_version = expect_version
        self.refuse_unsent = refuse_unsent
        self.is_open = is_open
        self.clock = clock
        self.metrics = metrics
        self.log = log
        self.futile_until_s = float("-inf")
        self.avoided: dict[str, float] = {}

    async def answer(
        self,
        request: CallerRequest,
        handle: RequestHandler,
        is_abandoned: Callable[[], bool] = lambda: False,
    ) -> CallerAnswer:
        """Answers a request.

        Args:
            request: The request.
            handle: Answers it from this entry's store.
            is_abandoned: Returns whether the caller has left. Nothing but a cancel is
                passed on for it then.

        Raises:
            UnsettledError: An entry that did not answer may have handled it.
        """
        deadline_s = self.clock.now() + request.timeout_s
        if not self.contact.is_recent() and not self.is_open(request):
            passed = await self.pass_on(request, deadline_s, is_abandoned)
            if passed.answer is not None and not passed.is_open:
                return passed.answer
            return await self.settled(request, lambda: handle(request), passed)
        own = asyncio.ensure_future(handle(request))
        own.add_done_callback(consume_error)
        try:
            if await self.is_answered_here(own):
                answer = own.result()
                if answer.status not in (NOT_EXECUTED, UNSETTLED):
                    return answer
            else:
                self.refuse_unsent()
                # Completes the submissions that have just been refused.
                await asyncio.sleep(0)
            request = request._replace(is_open=self.is_open(request))
            passed = await self.pass_on(request, deadline_s, is_abandoned)
            return await self.settled(request, lambda: own, passed)
        finally:
            own.cancel()

    async def settled(
        self,
        request: CallerRequest,
        answer_here: Callable[[], Awaitable[CallerAnswer]],
        passed: RelayOutcome,
    ) -> CallerAnswer:
        """Returns the answer that holds whatever the entries asked still do.

        Args:
            request: The request.
            answer_here: Returns this entry's own answer; not called without need.
            passed: What has come of asking other entries.

        Raises:
            UnsettledError: There is none, as an entry may still execute the request.
        """
        answer = passed.answer
        if answer is not None and is_certain(request, answer):
            return answer
        here = await answer_here()
        if request.method == READ_METHOD or here.verdict() is not Verdict.NOT_RUN:
            return here
        if passed.is_open:
            raise UnsettledError(
                "another entry may have handled the request",
                verdict=Verdict.UNKNOWN,
                retry_after_s=RETRY_AFTER_S,
            )
        return answer or here

    async def is_answered_here(self, own: asyncio.Future[CallerAnswer]) -> bool:
        """Waits for this entry's answer; returns False if contact is lost before it."""
        while not own.done() and self.contact.is_recent():
            try:
                async with self.clock.timeout(CHECK_INTERVAL_S):
                    await asyncio.shield(own)
            except TimeoutError:
                # The handler's own TimeoutError ends the loop by `done`.
                continue
        return own.done()

    async def pass_on(
        self,
        request: CallerRequest,
        deadline_s: float,
        is_abandoned: Callable[[], bool],
    ) -> RelayOutcome:
        """Asks other entries in turn until one of them serves or refuses."""
        is_open = was_asked = False
        if self.clock.now() < self.futile_until_s:
            return RelayOutcome(None, is_open)
        for address in self.candidates(request.path):
            left_s = deadline_s - self.clock.now() - ANSWER_MARGIN_S
            if left_s <= ANSWER_MARGIN_S:
                break
            if is_abandoned() and request.method != CANCEL_METHOD:
                self.note_abandoned(request)
                return RelayOutcome(None, is_open)
            passed = request._replace(
                timeout_s=min(left_s, RELAY_TIMEOUT_S),
                least_version=self.least_version(),
                is_open=request.is_open or is_open,
            )
            was_asked = True
            try:
                answer = await self.link.relay(address, passed)
            except PeerUnavailableError as error:
                self.note_silence(address, request, error)
                continue
            except PeerTimeoutError as error:
                self.note_silence(address, request, error)
                is_open = True
                continue
            if answer.status == NOT_EXECUTED:
                continue
            self.expect_version(answer.version)
            self.note_relayed(address, request, answer)
            if answer.status != UNSETTLED:
                return RelayOutcome(answer, is_open)
            is_open = True
        if was_asked and (not is_open or request.method == READ_METHOD):
            self.futile_until_s = self.clock.now() + FUTILE_PAUSE_S
        return RelayOutcome(None, is_open)

    def candidates(self, path: str) -> list[str]:
        """Returns the entries to ask: repeats of a request ask the same ones."""
        now = self.clock.now()

        def rank(address: str) -> tuple[bool, int]:
            avoided = self.avoided.get(address, now) > now
            return avoided, xxhash.xxh64_intdigest(f"{path}\0{address}".encode())

        return sorted(self.peers(), key=rank)[:MAX_RELAYS]

    def note_abandoned(self, request: CallerRequest) -> None:
        """Records a request whose caller left before another entry was asked."""
        self.metrics.count("relay.abandoned")
        self.log.info(
            "request_abandoned",
            path=request.path,
            method=request.method,
            is_open=request.is_open,
        )

    def note_silence(
        self, address: str, request: CallerRequest, error: Exception
    ) -> None:
        """Records an entry that did not answer, so that others are asked first."""
        self.avoided[address] = self.clock.now() + AVOID_S
        self.metrics.count("relay.unanswered")
        self.log.info(
            "request_not_relayed",
            path=request.path,
            method=request.method,
            address=address,
            reason=error,
        )

    def note_relayed(
        self, address: str, request: CallerRequest, answer: CallerAnswer
    ) -> None:
        """Records a request that another entry has answered."""
        self.metrics.count("relay.answered")
        self.log.info(
            "request_relayed",
            path=request.path,
            method=request.method,
            address=address,
            status=answer.status,
            is_open=request.is_open,
            store_silent_s=round(self.contact.age_s(), 3),
        )
