"""The edge towards the workers that run deferred jobs as tasks."""

from abc import ABC, abstractmethod
from enum import StrEnum
from typing import NamedTuple

import aiohttp
from burdockthread_model.errors import PlatformError
from burdockthread_model.records import RecordError, record_from_plain
from burdockthread_model.rendering import to_plain
from burdockthread_model.verdict import Verdict

from burdockthread_fleet.vm_control import CALL_TIMEOUT_S, platform_errors

REFUSED_STATUS = 409


class TaskState(StrEnum):
    """State of a task as its worker reports it."""

    RUNNING = "running"
    CHECKPOINTED = "checkpointed"
    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"


class Task(NamedTuple):
    """One attempt of a job on a worker.

    Attributes:
        task_id: ``<job id>.<attempt>``.
        pool: Pool that the worker must belong to.
        generation: Generation of the worker's record.
        cores: Processors asked.
        memory_gb: Memory asked in gigabytes.
        accelerators: Accelerators asked.
        run_time_s: Declared run time in seconds.
        lease_s: Seconds without renewal after which the worker stops the task.
        payload: Body of the job.
        boot_id: Boot of the worker that may start it; any other boot refuses.
    """

    task_id: str
    pool: str
    generation: int
    cores: float
    memory_gb: float
    accelerators: int
    run_time_s: float
    lease_s: float
    payload: str
    boot_id: str = ""


class TaskReport(NamedTuple):
    """What a worker last reported of a task; it lags.

    Attributes:
        task_id: The task.
        vm: Worker that runs it.
        state: State of the task.
        cores_used: Processors in use.
        memory_gb_used: Memory in use in gigabytes.
        reason: Why it failed, or empty.
        observed_s: Unix time of the observation.
    """

    task_id: str
    vm: str
    state: TaskState
    cores_used: float
    memory_gb_used: float
    reason: str
    observed_s: float


class TaskRefusedError(PlatformError):
    """A start that the worker refused or never got; the task did not start."""

    verdict = Verdict.NOT_RUN


class WorkerClient(ABC):
    """Orders to workers; each is idempotent for a task id.

    A worker refuses to start a task of another pool, of an older generation or
    of another boot, and remembers within one boot every task id that it saw.
    """

    @abstractmethod
    async def start(self, vm: str, task: Task) -> None:
        """Starts a task unless the worker has seen its id before.

        Raises:
            PlatformError: Its verdict says whether the task may have started.
        """

    @abstractmethod
    async def renew(self, vm: str, task_ids: tuple[str, ...], lease_s: float) -> None:
        """Prolongs the leases of tasks on one worker.

        Raises:
            PlatformError: No answer.
        """

    @abstractmethod
    async def checkpoint(self, vm: str, task_id: str) -> None:
        """Stops a task so that it can go on elsewhere.

        Raises:
            PlatformError: No answer; the order may have taken effect.
        """

    @abstractmethod
    async def throttle(self, vm: str, task_id: str, share: float) -> None:
        """Limits a task to a share, 0 to 1, of its processors.

        Raises:
            PlatformError: No answer; the order may have taken effect.
        """

    @abstractmethod
    async def stop(self, vm: str, task_id: str) -> None:
        """Ends a task.

        Raises:
            PlatformError: No answer; the order may have taken effect.
        """

    @abstractmethod
    async def reports(self, pool: str) -> tuple[TaskReport, ...]:
        """Reads the lagging reports of all workers of a pool, in one call.

        Raises:
            PlatformError: No answer, or one that is malformed.
        """

    @abstractmethod
    async def close(self) -> None:
        """Releases connections."""


class HttpWorkerClient(WorkerClient):
    """Workers through the platform's HTTP address."""

    def __init__(self, base_url: str) -> None:
        self.base_url = base_url.rstrip("/")
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        self.session = aiohttp.ClientSession(timeout=timeout)

    async def order(self, vm: str, name: str, body: object) -> None:
        """Posts an order to a worker."""
        url = f"{self.base_url}/workers/{vm}/{name}"
        with platform_errors(f"{name} at {vm}"):
            async with self.session.post(url, json=body) as answer:
                answer.raise_for_status()

    async def start(self, vm: str, task: Task) -> None:
        """Starts a task."""
        url = f"{self.base_url}/workers/{vm}/start"
        try:
            async with self.session.post(url, json=to_plain(task)) as answer:
                if answer.status == REFUSED_STATUS:
                    raise TaskRefusedError(f"{vm}: {await answer.text()}")
                answer.raise_for_status()
        except aiohttp.ClientConnectorError as error:
            raise TaskRefusedError(f"start at {vm}: {error}") from error
        except (aiohttp.ClientError, TimeoutError) as error:
            raise PlatformError(f"start at {vm}: {type(error).__name__}") from error

    async def renew(self, vm: str, task_ids: tuple[str, ...], lease_s: float) -> None:
        """Prolongs leases."""
        await self.order(vm, "renew", {"tasks": list(task_ids), "lease_s": lease_s})

    async def checkpoint(self, vm: str, task_id: str) -> None:
        """Checkpoints a task."""
        await self.order(vm, "checkpoint", {"task": task_id})

    async def throttle(self, vm: str, task_id: str, share: float) -> None:
        """Throttles a task."""
        await self.order(vm, "throttle", {"task": task_id, "share": share})

    async def stop(self, vm: str, task_id: str) -> None:
        """Stops a task."""
        await self.order(vm, "stop", {"task": task_id})

    async def reports(self, pool: str) -> tuple[TaskReport, ...]:
        """Reads reports."""
        url = f"{self.base_url}/reports"
        with platform_errors(f"reports of {pool}"):
            async with self.session.get(url, params={"pool": pool}) as answer:
                answer.raise_for_status()
                items = await answer.json()
        try:
            return tuple(record_from_plain(item, TaskReport) for item in items)
        except (RecordError, TypeError) as error:
            raise PlatformError(f"reports of {pool}: {error}") from error

    async def close(self) -> None:
        """Closes the connections."""
        await self.session.close()
