"""Renews the lease of one worker and polls its reports."""

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

# A poll waits this long for an ended run; a quarter of the lease of the runs.
HOLD_WAIT_MS = 700
# While another entry may hold the pool, each worker is polled at least this often.
DOUBT_WAIT_MS = 300
DOUBT_POLL_INTERVAL_S = 0.3
CALL_TIMEOUT_S = 0.5
RETRY_FIRST_S = 0.05
RETRY_MAX_S = 0.4
# Ended runs are listed again until they are stored, so polls wait meanwhile.
SETTLE_WAIT_S = 0.25
# Or until a start is answered, which another life of the worker may have got.
DOUBT_WAIT_S = 0.1


class ReportListener(ABC):
    """Receives the results of the polls of a session."""

    @abstractmethod
    def on_report(self, worker: WorkerState, report: HoldReport, sent_s: float) -> None:
        """Handles a worker's report, requested at clock time `sent_s`."""

    @abstractmethod
    def on_fenced(self, worker: WorkerState) -> None:
        """Handles a worker that has seen a higher fencing token."""

    @abstractmethod
    def on_replaced(self, worker: WorkerState) -> None:
        """Handles another worker's answer at the address."""

    @abstractmethod
    def on_restarted(self, worker: WorkerState, born_ms: int) -> None:
        """Handles a restart of the worker at a Unix time in milliseconds."""


class WorkerSession:
    """Polls one worker while it has runs or its state is unknown."""

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
        pause_s: Callable[[], float],
    ) -> None:
        self.pause_s = pause_s
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
        """Polls the worker until cancelled, or until it is fenced or replaced.

        An error with one worker never ends the session, nor the duty of the pool.
        """
        retry_s = RETRY_FIRST_S
        while not self.worker.replaced:
            await self.wait_for_need()
            try:
                await self.poll()
                retry_s = RETRY_FIRST_S
                if self.pause_s() > 0:
                    await self.clock.sleep(self.pause_s())
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
            except Exception as error:
                # The leases of this worker expire; the others go on.
                self.log.error(
                    "worker_report_failed",
                    worker=self.worker.worker_id,
                    reason=repr(error),
                )
                self.note_failure(error)
                await self.clock.sleep(retry_s)
                retry_s = min(retry_s * 2, RETRY_MAX_S)

    def has_need(self) -> bool:
        """Returns whether there is a reason to poll the worker."""
        worker = self.worker
        unsettled = worker.seen_end > worker.acknowledged_end
        stale = worker.is_clock_stale(self.clock.now())
        unsure = not worker.contacted or worker.failed_calls > 0 or stale
        return unsure or bool(worker.placements) or unsettled or self.is_poll_due()

    def is_poll_due(self) -> bool:
        """Returns whether another holder may have contacted the worker since."""
        if self.is_certain():
            return False
        return self.clock.now() - self.worker.polled_s >= DOUBT_POLL_INTERVAL_S

    async def wait_for_need(self) -> None:
        """Waits until there is a reason to poll, and for ended runs to be stored."""
        worker = self.worker
        if worker.seen_end > worker.settled_end:
            with suppress(TimeoutError):
                async with self.clock.timeout(SETTLE_WAIT_S):
                    await self.stored.wait()
        elif self.is_acknowledgement_delayed():
            await self.clock.sleep(DOUBT_WAIT_S)
        self.stored.clear()
        while not self.has_need():
            worker.wake.clear()
            await worker.wake.wait()

    def is_acknowledgement_delayed(self) -> bool:
        """Returns whether ends wait for a start that another life may have got."""
        worker = self.worker
        waiting = worker.settled_end > worker.acknowledged_end
        return waiting and not worker.due_acknowledgement()

    async def poll(self) -> None:
        """Polls the worker once and renews its lease if it is reachable."""
        worker = self.worker
        sent_s = self.clock.now()
        wait_ms = 0
        lease_until_ms = 0
        # The lease of an unreachable worker is left to expire; its tasks wait for that.
        if worker.contacted and not worker.failed_calls:
            lease_until_ms = worker.next_lease_ms(sent_s)
            if worker.seen_end <= worker.acknowledged_end and worker.placements:
                wait_ms = self.wait_ms(sent_s)
        end = worker.due_acknowledgement()
        order = HoldOrder(self.fence, end, lease_until_ms, wait_ms)
        timeout_s = wait_ms / 1000 + CALL_TIMEOUT_S
        with worker.acknowledging(end):
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
        worker.acknowledged_end = max(worker.acknowledged_end, end)
        self.listener.on_report(worker, report, sent_s)

    def wait_ms(self, now: float) -> int:
        """Returns how long a poll may wait, so that it ends with a pending stop."""
        longest_ms = HOLD_WAIT_MS if self.is_certain() else DOUBT_WAIT_MS
        pending_ms = self.worker.pending_stop_ms(now)
        if not pending_ms:
            return longest_ms
        return min(longest_ms, math.ceil(pending_ms * CLOCK_RATE_BOUND))

    def note_failure(self, error: Exception) -> None:
        """Counts a call without an answer, and logs the first in a row."""
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
