"""Keeps one worker's lease and takes its lists in."""

import asyncio
import math
from abc import ABC, abstractmethod
from collections.abc import Callable
from contextlib import suppress

from burdockthread_model.clock import Clock
from burdockthread_model.errors import PlatformError
from burdockthread_model.events import EventLog
from burdockthread_model.metrics import Metrics

from burdockthread_scheduling.worker_state import CLOCK_RATE_BOUND, WorkerState
from burdockthread_scheduling.workers import (
    HoldOrder,
    HoldReport,
    WorkerFencedError,
    WorkerGateway,
    WorkerReplacedError,
    WorkerRestartedError,
)

# An answer waits this long for an end; a quarter of the lease of the runs.
HOLD_WAIT_MS = 700
# While another entry may have the pool, a look at each worker is at most this old.
DOUBT_WAIT_MS = 300
DOUBT_LOOK_S = 0.3
CALL_TIMEOUT_S = 0.5
RETRY_FIRST_S = 0.05
RETRY_MAX_S = 0.4
# Ends are listed again until they are stored; asked less often meanwhile.
SETTLE_WAIT_S = 0.25


class ReportListener(ABC):
    """Takes in what a session learns."""

    @abstractmethod
    def on_report(self, worker: WorkerState, report: HoldReport, sent_s: float) -> None:
        """Takes in a worker's lists, asked for at a clock time."""

    @abstractmethod
    def on_fenced(self, worker: WorkerState) -> None:
        """Takes in that a worker obeys a later holder."""

    @abstractmethod
    def on_replaced(self, worker: WorkerState) -> None:
        """Takes in that another worker answers."""

    @abstractmethod
    def on_restarted(self, worker: WorkerState, born_ms: int) -> None:
        """Takes in that the worker has started again, and when."""


class WorkerSession:
    """Asks one worker for its lists as long as there is anything on it."""

    def __init__(
        self,
        worker: WorkerState,
        fence: int,
        gateway: WorkerGateway,
        listener: ReportListener,
        clock: Clock,
        metrics: Metrics,
        log: EventLog,
        is_certain: Callable[[], bool],
    ) -> None:
        self.is_certain = is_certain
        self.worker = worker
        self.fence = fence
        self.gateway = gateway
        self.listener = listener
        self.clock = clock
        self.metrics = metrics
        self.log = log
        self.stored = asyncio.Event()

    async def run(self) -> None:
        """Looks at the worker until cancelled or until it is replaced."""
        retry_s = RETRY_FIRST_S
        while not self.worker.replaced:
            await self.wait_for_need()
            try:
                await self.look()
                retry_s = RETRY_FIRST_S
            except WorkerFencedError:
                self.listener.on_fenced(self.worker)
                return
            except WorkerRestartedError as error:
                self.listener.on_restarted(self.worker, error.born_ms)
                return
            except WorkerReplacedError:
                self.listener.on_replaced(self.worker)
                return
            except PlatformError as error:
                self.note_failure(error)
                await self.clock.sleep(retry_s)
                retry_s = min(retry_s * 2, RETRY_MAX_S)

    def has_need(self) -> bool:
        """Returns whether there is a reason to look at the worker."""
        worker = self.worker
        unsettled = worker.seen_end > worker.settled_end
        unsure = not worker.contacted or worker.failed_calls > 0
        return unsure or bool(worker.placements) or unsettled or self.is_look_due()

    def is_look_due(self) -> bool:
        """Returns whether the worker may obey another holder since the last look."""
        if self.is_certain():
            return False
        return self.clock.now() - self.worker.polled_s >= DOUBT_LOOK_S

    async def wait_for_need(self) -> None:
        """Waits until there is a reason to look, and for ends to be stored."""
        worker = self.worker
        if worker.seen_end > worker.settled_end:
            with suppress(TimeoutError):
                async with self.clock.timeout(SETTLE_WAIT_S):
                    await self.stored.wait()
        self.stored.clear()
        while not self.has_need():
            worker.wake.clear()
            await worker.wake.wait()

    async def look(self) -> None:
        """Asks for the lists once."""
        worker = self.worker
        sent_s = self.clock.now()
        wait_ms = 0
        lease_until_ms = 0
        # A silent worker's lease is left to lapse; its tasks wait for that.
        if worker.contacted and not worker.failed_calls:
            lease_until_ms = worker.next_lease_ms(sent_s)
            if worker.seen_end <= worker.settled_end and worker.placements:
                wait_ms = self.wait_ms(sent_s)
        order = HoldOrder(self.fence, worker.settled_end, lease_until_ms, wait_ms)
        timeout_s = wait_ms / 1000 + CALL_TIMEOUT_S
        report = await self.gateway.hold(worker.listing, order, timeout_s)
        now = self.clock.now()
        if report.born_ms and worker.listing.key.born_ms not in (0, report.born_ms):
            message = f"{worker.worker_id} has started again"
            raise WorkerRestartedError(message, report.born_ms)
        self.metrics.timing("worker.look", now - sent_s)
        if worker.failed_calls:
            self.log.info("worker_reached", worker=worker.worker_id)
        worker.read_clock(report.clock_ms, now)
        worker.polled_s = sent_s
        self.listener.on_report(worker, report, sent_s)

    def wait_ms(self, now: float) -> int:
        """Returns how long an answer may wait, to be in time to end a doubt."""
        longest_ms = HOLD_WAIT_MS if self.is_certain() else DOUBT_WAIT_MS
        doubtful_ms = self.worker.doubtful_ms(now)
        if not doubtful_ms:
            return longest_ms
        return min(longest_ms, math.ceil(doubtful_ms * CLOCK_RATE_BOUND))

    def note_failure(self, error: PlatformError) -> None:
        """Counts a call without an answer."""
        worker = self.worker
        worker.failed_calls += 1
        self.metrics.count("worker.calls_failed")
        if worker.failed_calls == 1:
            self.log.info(
                "worker_lost",
                worker=worker.worker_id,
                reason=error,
                contact_age_s=round(self.clock.now() - worker.contact_s, 3),
            )
