"""HTTP client for orders to workers."""

from typing import NoReturn

import aiohttp
from burdockthread_http.http_calls import NOT_SENT, HttpCalls
from burdockthread_model.errors import PlatformError
from burdockthread_scheduling.specs import TaskId
from burdockthread_scheduling.workers import (
    EndKind,
    EndPage,
    EndReport,
    HoldOrder,
    HoldReport,
    OrderAnswer,
    Refusal,
    RunReport,
    StartOrder,
    WorkerFencedError,
    WorkerGateway,
    WorkerListing,
    WorkerRefusedError,
    WorkerReplacedError,
    WorkerSilentError,
)

from burdockthread_platform import wire

CONNECT_TIMEOUT_S = 0.5
MISDIRECTED = 421
CONFLICT = 409
BAD_REQUEST = 400
UNHEALTHY = (429, 503)
TASK_PARTS = 4
# Workers list this many ends at a time; their list of runs is not cut off.
ENDS_PER_ANSWER = 500
REFUSALS = {
    "fence": Refusal.FENCED,
    "old": Refusal.STALE_RUN,
    "late": Refusal.TOO_LATE,
    "room": Refusal.NO_ROOM,
    "ticket": Refusal.NO_TICKET,
}
END_KINDS = {
    "done": EndKind.SUCCEEDED,
    "failed": EndKind.FAILED,
    "stopped": EndKind.STOPPED,
    "lapsed": EndKind.LEASE_LAPSED,
    "broken": EndKind.GANG_BROKEN,
    "alone": EndKind.GANG_INCOMPLETE,
}


class HttpWorkerGateway(WorkerGateway):
    """Sends orders to workers over persistent connections."""

    def __init__(self, calls: HttpCalls) -> None:
        self.calls = calls

    async def call(
        self, worker: WorkerListing, path: str, body: wire.JsonObject, timeout_s: float
    ) -> tuple[int, wire.JsonObject]:
        """Sends a request and returns status and body.

        Raises:
            WorkerReplacedError: Another instance listens at the address.
            WorkerRefusedError: No connection; the worker did not get the request.
            WorkerSilentError: No complete answer; the outcome is unknown.
        """
        url = f"http://{worker.host}:{worker.port}{path}"
        headers = {"Expected-Instance": worker.key.worker_id}
        try:
            answer = await self.calls.send(
                f"worker.{path[1:]}",
                "POST",
                url,
                timeout_s,
                min(CONNECT_TIMEOUT_S, timeout_s),
                wire.encode(body),
                {**wire.BODY_HEADERS, **headers},
            )
        except NOT_SENT as error:
            raise WorkerRefusedError(f"{path}: {error}") from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise WorkerSilentError(f"{path}: {type(error).__name__}") from error
        if answer.status == MISDIRECTED:
            raise WorkerReplacedError(
                f"{path}: answered by an instance other than {worker.key.worker_id}"
            )
        try:
            data = wire.parse_object(answer.data) if answer.data else {}
        except wire.WireError as error:
            raise WorkerSilentError(f"{path}: {error}") from error
        return answer.status, data

    async def order(
        self, worker: WorkerListing, path: str, body: wire.JsonObject, timeout_s: float
    ) -> OrderAnswer:
        """Sends an order; a refusal is returned in the answer.

        Raises:
            WorkerReplacedError, WorkerRefusedError, WorkerSilentError: See `call`.
        """
        status, answer = await self.call(worker, path, body, timeout_s)
        shown_ms = answer.get("clockMs")
        clock_ms = shown_ms if isinstance(shown_ms, int) else None
        if status == 200:
            return OrderAnswer(None, clock_ms)
        if status == CONFLICT:
            reason = str(answer.get("reason", ""))
            return OrderAnswer(REFUSALS.get(reason, Refusal.INVALID), clock_ms)
        if status in UNHEALTHY:
            return OrderAnswer(Refusal.UNHEALTHY, clock_ms)
        if status == BAD_REQUEST:
            return OrderAnswer(Refusal.INVALID, clock_ms)
        raise WorkerSilentError(f"{path} answered {status}")

    async def start(
        self, worker: WorkerListing, order: StartOrder, timeout_s: float
    ) -> OrderAnswer:
        """Orders the start of a run."""
        body: wire.JsonObject = {
            "task": str(order.task),
            "run": order.run,
            "specification": order.payload,
            "deadlineMs": order.lease_until_ms,
            "fencingToken": order.fence,
        }
        if order.checkpoint:
            body["checkpoint"] = order.checkpoint
        if order.ticket:
            body["ticket"] = order.ticket
        return await self.order(worker, "/run-start", body, timeout_s)

    async def stop(
        self,
        worker: WorkerListing,
        task: TaskId,
        run: int,
        fence: int,
        timeout_s: float,
    ) -> OrderAnswer:
        """Orders a run to stop."""
        body = {"task": str(task), "run": run, "fencingToken": fence}
        return await self.order(worker, "/run-stop", body, timeout_s)

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
        body = {
            "task": str(task),
            "run": run,
            "percent": percent,
            "fencingToken": fence,
        }
        return await self.order(worker, "/pace", body, timeout_s)

    async def hold(
        self, worker: WorkerListing, order: HoldOrder, timeout_s: float
    ) -> HoldReport:
        """Renews the lease of the worker and returns its running and ended runs.

        Raises:
            WorkerFencedError: The worker has seen a later fencing token.
            WorkerRefusedError: No connection, or the worker is unhealthy.
            WorkerSilentError: No complete answer.
            PlatformError: An unexpected status.
        """
        path = "/hold"
        body: wire.JsonObject = {
            "fencingToken": order.fence,
            "lastSeen": order.settled_end,
        }
        if order.lease_until_ms:
            body["deadlineMs"] = order.lease_until_ms
        if order.wait_ms:
            body["waitMs"] = order.wait_ms
        status, answer = await self.call(worker, path, body, timeout_s)
        if status != 200:
            raise_hold_refusal(worker, status, answer)
        try:
            return parse_report(answer)
        except wire.WireError as error:
            raise WorkerSilentError(f"{path}: {error}") from error

    async def close(self) -> None:
        """Does nothing; the owner of the session closes the connections."""


def raise_hold_refusal(
    worker: WorkerListing, status: int, answer: wire.JsonObject
) -> NoReturn:
    """Raises the error for a refused call of /hold."""
    name = worker.key.worker_id
    if status == CONFLICT and answer.get("reason") == "fence":
        raise WorkerFencedError(f"worker {name} has seen a later fencing token")
    if status in UNHEALTHY:
        raise WorkerRefusedError(f"worker {name} answered {status} to /hold")
    raise PlatformError(f"worker {name} answered {status} to /hold")


def parse_report(body: wire.JsonObject) -> HoldReport:
    """Decodes a worker's report of its running and ended runs."""
    return HoldReport(
        clock_ms=wire.integer(body, "clockMs", default=None),
        born_ms=wire.integer(body, "born"),
        running=tuple(parse_run(row) for row in rows(body, "running")),
        ended=EndPage.from_oldest(
            tuple(parse_end(row) for row in rows(body, "ended")), ENDS_PER_ANSWER
        ),
    )


def rows(body: wire.JsonObject, name: str) -> list[list[object]]:
    """Returns a field that must be a list of lists; an absent one is empty."""
    values = body.get(name, [])
    if not isinstance(values, list):
        raise wire.WireError(name, "expected a list")
    if not all(isinstance(row, list) for row in values):
        raise wire.WireError(name, "expected a list of rows")
    return values


def parse_run(row: list[object]) -> RunReport:
    """Decodes a run from its row: task, run, checkpoint, percent, measure."""
    match row:
        case [str(task), int(run), str(checkpoint), int() | float() as percent, *rest]:
            measure = rest[0] if rest and isinstance(rest[0], int | float) else 0.0
            return RunReport(
                parse_task(task), run, checkpoint, int(percent), float(measure)
            )
    raise wire.WireError("running", "unexpected row")


def parse_end(row: list[object]) -> EndReport:
    """Decodes an ended run from its row: number, task, run, how, checkpoint."""
    match row:
        case [int(number), str(task), int(run), str(how), *rest] if how in END_KINDS:
            checkpoint = rest[0] if rest and isinstance(rest[0], str) else ""
            return EndReport(number, parse_task(task), run, END_KINDS[how], checkpoint)
    raise wire.WireError("ended", "unexpected row")


def parse_task(name: str) -> TaskId:
    """Parses the name of a task: job, occurrence, step and index, with dots.

    Raises:
        WireError: The name is not a job id and three numbers.
    """
    parts = name.rsplit(".", TASK_PARTS - 1)
    if len(parts) != TASK_PARTS or not all(p.isdecimal() for p in parts[1:]):
        raise wire.WireError("task", f"unexpected name {name[:64]}")
    return TaskId(parts[0], int(parts[1]), int(parts[2]), int(parts[3]))
