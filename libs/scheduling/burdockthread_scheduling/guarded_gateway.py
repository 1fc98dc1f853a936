"""Keeps an unexpected error of a call to one worker from ending the whole duty."""

from collections.abc import Awaitable
from typing import TypeVar

from burdockthread_model.errors import PlatformError
from burdockthread_model.events import EventLog

from burdockthread_scheduling.specs import TaskId
from burdockthread_scheduling.workers import (
    HoldOrder,
    HoldReport,
    OrderAnswer,
    StartOrder,
    WorkerCallFailedError,
    WorkerGateway,
    WorkerListing,
)

Answer = TypeVar("Answer")


class GuardedGateway(WorkerGateway):
    """Passes orders on, and treats unexpected errors as calls without an answer.

    Attributes:
        gateway: Sends the orders.
        failed: Ids of the workers whose last call failed unexpectedly.
    """

    def __init__(self, gateway: WorkerGateway, log: EventLog) -> None:
        self.gateway = gateway
        self.log = log
        self.failed: set[str] = set()

    async def guard(self, worker: WorkerListing, call: Awaitable[Answer]) -> Answer:
        """Awaits a call; logs the first of a row of unexpected errors.

        Raises:
            PlatformError: The call failed; WorkerCallFailedError if unexpectedly.
        """
        worker_id = worker.key.worker_id
        try:
            answer = await call
        except PlatformError:
            raise
        except Exception as error:
            if worker_id not in self.failed:
                self.failed.add(worker_id)
                self.log.error(
                    "worker_call_failed", worker=worker_id, reason=repr(error)
                )
            raise WorkerCallFailedError(f"{worker_id}: {error!r}") from error
        self.failed.discard(worker_id)
        return answer

    async def start(
        self, worker: WorkerListing, order: StartOrder, timeout_s: float
    ) -> OrderAnswer:
        """Orders the start of a run."""
        return await self.guard(worker, self.gateway.start(worker, order, timeout_s))

    async def stop(
        self,
        worker: WorkerListing,
        task: TaskId,
        run: int,
        fence: int,
        timeout_s: float,
    ) -> OrderAnswer:
        """Orders a run to stop."""
        call = self.gateway.stop(worker, task, run, fence, timeout_s)
        return await self.guard(worker, call)

    async def pace(
        self,
        worker: WorkerListing,
        task: TaskId,
        run: int,
        percent: int,
        fence: int,
        timeout_s: float,
    ) -> OrderAnswer:
        """Sets the percentage of full speed at which a task may work."""
        call = self.gateway.pace(worker, task, run, percent, fence, timeout_s)
        return await self.guard(worker, call)

    async def hold(
        self, worker: WorkerListing, order: HoldOrder, timeout_s: float
    ) -> HoldReport:
        """Renews the lease of the worker and returns its running and ended runs."""
        return await self.guard(worker, self.gateway.hold(worker, order, timeout_s))

    async def close(self) -> None:
        """Closes the connections."""
        await self.gateway.close()
