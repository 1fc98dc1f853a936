"""Interface to the registered workers of all pools."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Mapping

from burdockthread_scheduling.workers import WorkerKey, WorkerListing


class WorkerRoster(ABC):
    """Looks up registered workers."""

    @abstractmethod
    def workers(self, pool: str) -> Mapping[WorkerKey, WorkerListing]:
        """Returns the registered workers of a pool."""

    @abstractmethod
    def changed(self) -> asyncio.Event:
        """Returns an event that is set when the workers have changed."""

    async def confirm(self) -> None:
        """Brings the registrations up to date; not needed where they always are.

        Raises:
            StoreError: They may be out of date.
        """
        return
