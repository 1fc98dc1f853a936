"""Interface through which the operators' API controls jobs."""

from collections.abc import Sequence
from typing import Protocol

from burdockthread_model.job import Job


class JobControl(Protocol):
    """Lists, cancels and releases jobs; implemented by the classes that store jobs."""

    async def list(self, state: str, limit: int) -> Sequence[Job]:
        """Returns jobs in the order of submission.

        Args:
            state: Only jobs in this state; all if empty.
            limit: Maximum number of jobs.

        Raises:
            NotFoundError: There is no such state.
        """

    async def cancel(self, job_id: str) -> Job:
        """Cancels a job; a job that has ended is not changed.

        Raises:
            NotFoundError: There is no such job.
            StoreUnavailableError: The job was not cancelled.
            StoreUnknownError: The job may have been cancelled.
        """

    async def release(self, job_id: str) -> Job:
        """Queues a parked job again; raises the same errors as `cancel`."""
