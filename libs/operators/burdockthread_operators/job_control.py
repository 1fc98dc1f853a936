"""What the operators' port asks of the jobs."""

from collections.abc import Sequence
from typing import Protocol

from burdockthread_model.job import Job


class JobControl(Protocol):
    """Lists, cancels and releases jobs; implemented where jobs are kept."""

    async def list(self, state: str, limit: int) -> Sequence[Job]:
        """Returns jobs, those submitted first at the head.

        Args:
            state: Only jobs in this state; all if empty.
            limit: Most jobs to return.

        Raises:
            NotFoundError: There is no such state.
        """

    async def cancel(self, job_id: str) -> Job:
        """Cancels a job; one that has ended stays as it is.

        Raises:
            NotFoundError: There is no such job.
            StoreUnavailableError: It was not cancelled.
            StoreUnknownError: It may have been cancelled.
        """

    async def release(self, job_id: str) -> Job:
        """Lets a parked job wait for a VM again; see `cancel`."""
