"""HTTP API for callers' jobs."""

import re
import traceback
from collections.abc import Callable
from functools import partial

from aiohttp import web
from burdockthread_http.connection_guard import ConnectionGuard
from burdockthread_http.connection_limits import PortLimits
from burdockthread_http.guarded_server import has_client_left
from burdockthread_http.http_server import GracefulServer
from burdockthread_model.clock import Clock
from burdockthread_model.errors import BadRequestError, RequestError
from burdockthread_model.verdict import Verdict
from burdockthread_scheduling.caller_answers import (
    error_answer,
    error_response,
    json_answer,
    web_response,
)
from burdockthread_scheduling.desk import (
    RETRY_AFTER_S,
    Caller,
    JobDesk,
    NotReadyError,
    UnsettledError,
)
from burdockthread_scheduling.organisations import key_digest
from burdockthread_scheduling.request_relay import (
    CallerAnswer,
    CallerRequest,
    RequestRelay,
)
from burdockthread_scheduling.specs import JobSpec, StepSpec

from burdockthread_platform import wire

DEADLINE_HEADER = "Deadline-Ms"
KEY_HEADER = "Api-Key"
BAD_REQUEST = 400
# The outcome is unknown; the caller may send the same request again.
UNSETTLED = 504
CHANGING_METHODS = ("POST", "DELETE")
JOB_ID_LENGTH = 16
JOB_ID = re.compile(rf"[0-9a-fA-F]{{{JOB_ID_LENGTH}}}")
MAX_PAYLOAD_BYTES = 4_000
MAX_STEPS = 256
MAX_TASKS = 10_000
MAX_REPETITIONS = 100_000
MAX_MILLISECONDS = 10**14
DEFAULT_TIMEOUT_S = 3.0
# Key of the request attribute that says whether the request may have had an effect.
VERDICT = web.RequestKey("verdict", Verdict)


class CallerServer(GracefulServer):
    """Serves callers; aborted requests get an answer that states their verdict."""

    def aborted_response(self, request: web.BaseRequest) -> web.StreamResponse:
        """Returns the answer to a request aborted because the port closes.

        503 if the request had no effect, else 504 with the verdict unknown.
        """
        verdict = request.get(VERDICT, Verdict.NOT_RUN)
        reason = "this entry is stopping"
        if verdict is Verdict.NOT_RUN:
            return error_response(NotReadyError(reason, retry_after_s=RETRY_AFTER_S))
        return error_response(
            UnsettledError(reason, verdict=verdict, retry_after_s=RETRY_AFTER_S)
        )


class JobsPort:
    """Handles the requests of callers.

    Attributes:
        relay: Passes requests on to other entries, or None if there are none.
        server: HTTP server of the callers' connections.
        answered_s: Clock time of the last answer.
    """

    def __init__(
        self,
        desk: JobDesk,
        clock: Clock,
        relay: RequestRelay | None = None,
        guard: ConnectionGuard | None = None,
        limits: Callable[[], PortLimits] = PortLimits,
    ) -> None:
        self.desk = desk
        self.clock = clock
        self.relay = relay
        self.last_answer_s = float("-inf")
        self.server = CallerServer(
            "callers", self.answer, clock, desk.log, guard, limits
        )

    async def answer(self, request: web.BaseRequest) -> web.StreamResponse:
        """Handles one request; every failure is turned into an error response."""
        try:
            response = web_response(await self.dispatch(request))
        except RequestError as error:
            response = error_response(error)
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
            self.last_answer_s = self.clock.now()
        return response

    async def dispatch(self, request: web.BaseRequest) -> CallerAnswer:
        """Reads a request and has it answered here or by another entry.

        Raises:
            RequestError: The request is malformed, or its outcome is unknown.
        """
        received = CallerRequest(
            method=request.method,
            host=request.headers.get("Host", "").partition(":")[0],
            path=request.path,
            body=await request.read(),
            timeout_s=caller_timeout_s(request),
            key=key_digest(request.headers.get(KEY_HEADER, "")),
        )
        if request.method in CHANGING_METHODS:
            request[VERDICT] = Verdict.UNKNOWN
        if self.relay is None:
            return await self.handle(received)
        return await self.relay.answer(
            received, self.handle, partial(has_client_left, request)
        )

    async def handle(self, request: CallerRequest) -> CallerAnswer:
        """Answers a request from this entry's store."""
        try:
            return json_answer(await self.run(request))
        except RequestError as error:
            return error_answer(error)

    async def run(self, request: CallerRequest) -> wire.JsonObject:
        """Routes a request to the desk by method and path; returns the body.

        Raises:
            RequestError: The request is malformed or the desk refused it.
        """
        caller = await self.desk.identify(request.host, request.path, request.key)
        queue = caller.queue
        job_id = request.path[len(queue.path) :]
        if request.method == "GET" and not job_id:
            return {"waiting": self.desk.waiting(queue)}
        if not JOB_ID.fullmatch(job_id):
            raise BadRequestError(
                "the path does not end with a job id of 16 hexadecimal digits"
            )
        if request.method == "POST":
            job = self.read_job(request, caller, job_id)
            await self.desk.submit(
                queue, job, request.timeout_s, is_open=request.is_open
            )
            return {}
        if request.method == "GET":
            state = await self.desk.state(job_id, request.timeout_s)
            return {"state": state.value}
        if request.method == "DELETE":
            await self.desk.cancel(job_id, request.timeout_s)
            return {}
        raise BadRequestError(f"method {request.method} is not supported")

    def read_job(self, request: CallerRequest, caller: Caller, job_id: str) -> JobSpec:
        """Decodes the body of a submission and adds its organisation and time."""
        try:
            job = parse_job(wire.parse_object(request.body), caller.queue.name, job_id)
        except wire.WireError as error:
            raise BadRequestError(str(error)) from error
        accepted_ms = int(self.clock.wall() * 1000)
        return job._replace(accepted_ms=accepted_ms, organisation=caller.organisation)


def job_id_at_end(path: str) -> str:
    """Returns what is the id of a job if the path belongs to one."""
    return path[-JOB_ID_LENGTH:]


def caller_timeout_s(request: web.BaseRequest) -> float:
    """Returns the seconds for which the caller waits for the answer.

    Raises:
        BadRequestError: The header is not a number of milliseconds.
    """
    value = request.headers.get(DEADLINE_HEADER, "")
    if not value:
        return DEFAULT_TIMEOUT_S
    if not value.isdecimal() or len(value) > 9:
        raise BadRequestError(f"{DEADLINE_HEADER}: expected milliseconds")
    return int(value) / 1000


def parse_job(body: wire.JsonObject, queue: str, job_id: str) -> JobSpec:
    """Decodes a job.

    Args:
        body: Body of the submission.
        queue: Name of the queue of the job.
        job_id: Id of the job.

    Raises:
        WireError: A field is missing, out of range or of another type.
    """
    payload = wire.text(body, "specification")
    if len(payload.encode()) > MAX_PAYLOAD_BYTES:
        raise wire.WireError("specification", f"longer than {MAX_PAYLOAD_BYTES} bytes")
    steps = wire.objects(body, "steps")
    if not 0 < len(steps) <= MAX_STEPS:
        raise wire.WireError(
            "steps", f"number of steps is not between 1 and {MAX_STEPS}"
        )
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
    """Decodes one step of a job.

    Raises:
        WireError: A field is malformed, or the step follows a later one.
    """
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
        # A preference for the rack that holds the data, not a requirement.
        data_rack=wire.text(step, "affinity", path),
        max_per_worker=wire.integer(step, "antiAffinity", path),
        duplicates_allowed=wire.flag(step, "allowDuplicates", path),
        lasting=wire.flag(step, "longRunning", path),
        image=wire.text(step, "image", path),
        target_ms=wire.number(step, "targetMs", path),
        fills=wire.flag(step, "fills", path),
        max_unavailable=wire.integer(step, "mayMiss", path),
    )
