"""The callers' HTTP form of jobs, and the readiness of an entry."""

import json
import re
import traceback
from collections.abc import Callable

from aiohttp import web
from burdockthread_model.clock import Clock
from burdockthread_model.errors import BadRequestError, RequestError
from burdockthread_model.events import EventLog
from burdockthread_model.http_server import GracefulServer
from burdockthread_model.verdict import Verdict
from burdockthread_scheduling.desk import (
    RETRY_AFTER_S,
    JobDesk,
    NotReadyError,
    UnsettledError,
)
from burdockthread_scheduling.specs import JobSpec, QueueSpec, StepSpec

from burdockthread_platform import wire

DEADLINE_HEADER = "Deadline-Ms"
BAD_REQUEST = 400
# The caller sends the same request again.
UNSETTLED = 504
JOB_ID = re.compile(r"[0-9a-fA-F]{16}")
MAX_PAYLOAD_BYTES = 4_000
MAX_STEPS = 256
MAX_TASKS = 10_000
MAX_REPETITIONS = 100_000
MAX_MILLISECONDS = 10**14
DEFAULT_WAIT_S = 3.0
# Whether a request may have had an effect, kept with it.
VERDICT = web.RequestKey("verdict", Verdict)


class CallersServer(GracefulServer):
    """Serves callers; those that are given up are told what became of it."""

    def aborted_response(self, request: web.BaseRequest) -> web.StreamResponse:
        """Returns the answer to a request that is given up."""
        verdict = request.get(VERDICT, Verdict.NOT_RUN)
        reason = "this entry is stopping"
        if verdict is Verdict.NOT_RUN:
            return refusal(NotReadyError(reason, retry_after_s=RETRY_AFTER_S))
        return refusal(
            UnsettledError(reason, verdict=verdict, retry_after_s=RETRY_AFTER_S)
        )


class JobsPort:
    """Answers callers' requests.

    Attributes:
        server: What serves the connections.
        answered_s: Clock time of the last answer.
    """

    def __init__(self, desk: JobDesk, clock: Clock) -> None:
        self.desk = desk
        self.clock = clock
        self.answered_s = float("-inf")
        self.server = CallersServer("callers", self.answer, clock, desk.log)

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers one request."""
        try:
            response = await self.dispatch(request)
        except RequestError as error:
            response = refusal(error)
        except ConnectionError as error:
            self.desk.log.info("caller_gone", path=request.path, reason=repr(error))
            response = web.Response(status=BAD_REQUEST)
            response.force_close()
        except Exception as error:
            trace = "".join(traceback.format_exception(error))
            self.desk.log.error(
                "request_failed", path=request.path, reason=repr(error), trace=trace
            )
            response = web.json_response(
                {"error": "the request failed here", "verdict": Verdict.UNKNOWN.value},
                status=UNSETTLED,
            )
        finally:
            self.answered_s = self.clock.now()
        return response

    async def dispatch(self, request: web.BaseRequest) -> web.Response:
        """Passes a request on by method and path."""
        host = request.headers.get("Host", "").partition(":")[0]
        queue = await self.desk.queue(host, request.path)
        job_id = request.path[len(queue.path) :]
        wait_s = wait_of(request)
        if request.method == "GET" and not job_id:
            return web.json_response({"waiting": self.desk.waiting(queue)})
        if not JOB_ID.fullmatch(job_id):
            raise BadRequestError("the path does not end with an id of 16 digits")
        if request.method == "POST":
            job = await self.read_job(request, queue, job_id)
            request[VERDICT] = Verdict.UNKNOWN
            await self.desk.submit(queue, job, wait_s)
            return web.json_response({})
        if request.method == "GET":
            state = await self.desk.state(job_id, wait_s)
            return web.json_response({"state": state.value})
        if request.method == "DELETE":
            request[VERDICT] = Verdict.UNKNOWN
            await self.desk.cancel(job_id, wait_s)
            return web.json_response({})
        raise BadRequestError(f"method {request.method} is not known here")

    async def read_job(
        self, request: web.BaseRequest, queue: QueueSpec, job_id: str
    ) -> JobSpec:
        """Reads the body of a submission."""
        try:
            body = wire.parse_object(await request.read())
            job = parse_job(body, queue.name, job_id)
        except wire.WireError as error:
            raise BadRequestError(str(error)) from error
        return job._replace(accepted_ms=int(self.clock.wall() * 1000))


def wait_of(request: web.BaseRequest) -> float:
    """Returns the seconds that the caller waits for the answer."""
    value = request.headers.get(DEADLINE_HEADER, "")
    if not value:
        return DEFAULT_WAIT_S
    if not value.isdecimal() or len(value) > 9:
        raise BadRequestError(f"{DEADLINE_HEADER}: expected milliseconds")
    return int(value) / 1000


def refusal(error: RequestError) -> web.Response:
    """Returns the answer for a request that was not served."""
    body = {"error": str(error), "verdict": error.verdict.value}
    headers = {}
    if error.retry_after_s is not None:
        headers["Retry-After"] = str(max(round(error.retry_after_s), 1))
    return web.json_response(body, status=error.status, headers=headers)


def parse_job(body: wire.JsonObject, queue: str, job_id: str) -> JobSpec:
    """Reads a job.

    Args:
        body: Body of the submission.
        queue: Name of its queue.
        job_id: Its id.

    Raises:
        WireError: A field is missing, out of range or of another type.
    """
    payload = wire.text(body, "specification")
    if len(payload.encode()) > MAX_PAYLOAD_BYTES:
        raise wire.WireError("specification", f"over {MAX_PAYLOAD_BYTES} bytes")
    steps = wire.objects(body, "steps")
    if not 0 < len(steps) <= MAX_STEPS:
        raise wire.WireError("steps", f"not between 1 and {MAX_STEPS}")
    return JobSpec(
        job_id=job_id,
        queue=queue,
        payload=payload,
        steps=tuple(parse_step(step, number) for number, step in enumerate(steps)),
        repetitions=wire.integer(body, "repetitions", most=MAX_REPETITIONS),
        first_run_ms=wire.integer(body, "firstRunMs", most=MAX_MILLISECONDS),
        interval_ms=wire.integer(body, "intervalMs", most=MAX_MILLISECONDS),
    )


def parse_step(step: wire.JsonObject, number: int) -> StepSpec:
    """Reads one step of a job."""
    path = f"steps[{number}]"
    after = step.get("after", [])
    if not isinstance(after, list) or not all(
        isinstance(n, int) and not isinstance(n, bool) and 0 <= n < number
        for n in after
    ):
        raise wire.WireError(f"{path}.after", "expected numbers of earlier steps")
    return StepSpec(
        tasks=wire.integer(step, "count", path, default=1, least=1, most=MAX_TASKS),
        cpu_milli=wire.integer(step, "cpu", path),
        memory_mb=wire.integer(step, "memMb", path),
        accelerators=wire.integer(step, "gpu", path),
        estimated_ms=wire.integer(step, "estimatedMs", path),
        after=tuple(after),
        checkpointing=wire.flag(step, "checkpointing", path),
        gang=wire.flag(step, "gang", path),
        same_rack=wire.flag(step, "sameRack", path),
        label=wire.text(step, "requirements", path),
        # A preference for the rack with the data, no condition.
        data_rack=wire.text(step, "affinity", path),
        max_per_worker=wire.integer(step, "antiAffinity", path),
        duplicates_allowed=wire.flag(step, "allowDuplicates", path),
        lasting=wire.flag(step, "longRunning", path),
        image=wire.text(step, "image", path),
        target_ms=wire.number(step, "targetMs", path),
        fills=wire.flag(step, "fills", path),
        max_unavailable=wire.integer(step, "mayMiss", path),
    )


def readiness_server(
    is_ready: Callable[[], bool], clock: Clock, log: EventLog
) -> GracefulServer:
    """Returns what tells the platform whether to send callers here."""

    async def answer(request: web.BaseRequest) -> web.Response:
        status = 200 if is_ready() else 503
        return web.Response(status=status, text=json.dumps({"ready": status == 200}))

    return GracefulServer("readiness", answer, clock, log)


def text_server(text: Callable[[], str], clock: Clock, log: EventLog) -> GracefulServer:
    """Returns what answers every request with the same kind of text."""

    async def answer(request: web.BaseRequest) -> web.Response:
        return web.Response(text=text())

    return GracefulServer("metrics", answer, clock, log)
