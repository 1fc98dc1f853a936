"""Client interface to the workers that run jobs as tasks, and its HTTP client."""

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
    """State of a task in a worker's report."""

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
        cores: Requested processors.
        memory_gb: Requested memory in gigabytes.
        accelerators: Requested accelerators.
        run_time_s: Declared run time in seconds.
        lease_s: Seconds without renewal after which the worker stops the task.
        payload: Body of the job.
        boot_id: Boot in which the worker may start the task; a worker in any
            other boot refuses the task.
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
    """A worker's observation of a task, which may be some seconds old.

    Attributes:
        task_id: The task.
        vm: Worker that runs the task.
        state: State of the task.
        cores_used: Processors in use.
        memory_gb_used: Memory in use in gigabytes.
        reason: Reason of a failure, or empty.
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
    """The worker refused or never received a start; the task did not start."""

    verdict = Verdict.NOT_RUN


class WorkerClient(ABC):
    """Sends orders to workers; each order is idempotent per task id.

    A worker refuses to start a task for another pool, an older generation or
    another boot, and remembers every task id that it started until it reboots.
    """

    @abstractmethod
    async def start(self, vm: str, task: Task) -> None:
        """Starts a task unless the worker has started its id before.

        Raises:
            PlatformError: The start failed; the error's verdict shows whether the
                task may have started.
        """

    @abstractmethod
    async def renew(self, vm: str, task_ids: tuple[str, ...], lease_s: float) -> None:
        """Renews the leases of tasks on one worker for ``lease_s`` seconds.

        Raises:
            PlatformError: The worker did not answer.
        """

    @abstractmethod
    async def checkpoint(self, vm: str, task_id: str) -> None:
        """Stops a task and saves its progress, so that it can resume elsewhere.

        Raises:
            PlatformError: The worker did not answer; the order may have taken
                effect.
        """

    @abstractmethod
    async def throttle(self, vm: str, task_id: str, share: float) -> None:
        """Limits a task to a share, 0 to 1, of its processors.

        Raises:
            PlatformError: The worker did not answer; the order may have taken
                effect.
        """

    @abstractmethod
    async def stop(self, vm: str, task_id: str) -> None:
        """Stops a task without a checkpoint.

        Raises:
            PlatformError: The worker did not answer; the order may have taken
                effect.
        """

    @abstractmethod
    async def reports(self, pool: str) -> tuple[TaskReport, ...]:
        """Reads the reports of all workers in a pool with one call.

        Raises:
            PlatformError: There was no answer, or the answer is malformed.
        """

    @abstractmethod
    async def close(self) -> None:
        """Closes the connections of the client."""


class HttpWorkerClient(WorkerClient):
    """Sends orders to workers through the platform's HTTP API."""

    def __init__(self, base_url: str) -> None:
        self.base_url = base_url.rstrip("/")
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        self.session = aiohttp.ClientSession(timeout=timeout)

    async def order(self, vm: str, name: str, body: object) -> None:
        """Posts an order to a worker.

        Raises:
            PlatformError: The worker did not answer or returned an error.
        """
        url = f"{self.base_url}/workers/{vm}/{name}"
        with platform_errors(f"{name} at {vm}"):
            async with self.session.post(url, json=body) as answer:
                answer.raise_for_status()

    async def start(self, vm: str, task: Task) -> None:
        """Starts a task; status 409 and a failed connection mean not started."""
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
        """Renews leases; see `WorkerClient.renew`."""
        await self.order(vm, "renew", {"tasks": list(task_ids), "lease_s": lease_s})

    async def checkpoint(self, vm: str, task_id: str) -> None:
        """Checkpoints a task; see `WorkerClient.checkpoint`."""
        await self.order(vm, "checkpoint", {"task": task_id})

    async def throttle(self, vm: str, task_id: str, share: float) -> None:
        """Throttles a task; see `WorkerClient.throttle`."""
        await self.order(vm, "throttle", {"task": task_id, "share": share})

    async def stop(self, vm: str, task_id: str) -> None:
        """Stops a task; see `WorkerClient.stop`."""
        await self.order(vm, "stop", {"task": task_id})

    async def reports(self, pool: str) -> tuple[TaskReport, ...]:
        """Reads the reports of a pool; see `WorkerClient.reports`."""
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
        """Closes the HTTP session."""
        await self.session.close()
