"""Deferred jobs on the callers' port: submit, look up, cancel."""

import json
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from aiohttp import web
from burdockthread_model.clock import Clock
from burdockthread_model.errors import (
    BurdockthreadError,
    NotFoundError,
    RequestError,
)
from burdockthread_model.intended import ServiceSpec
from burdockthread_model.job import Job, JobState
from burdockthread_model.metrics import Metrics
from burdockthread_model.rendering import canonical_json
from burdockthread_model.request import CallerRequest, CallerResponse
from burdockthread_model.verdict import Verdict

from burdockthread_routing.caller_headers import (
    ORGANISATION_HEADER,
    TEAM_HEADER,
    read_body,
    read_class,
    read_deadline_s,
    read_key,
    read_name,
    read_number,
    read_object,
)
from burdockthread_routing.fleet_view import FleetView
from burdockthread_routing.job_ledger import JobLedger
from burdockthread_routing.router import Progress, Router
from burdockthread_routing.verdicts import ServiceNotFoundError

ACCEPTED = 202
JSON = "application/json"
RETRY_AFTER_S = 1.0


class JobNotFoundError(RequestError):
    """A job that is unknown to this entry or belongs to another service."""

    status = 404


class NeverRunnableError(RequestError):
    """A job that no eligible VM is large enough to run."""

    status = 422


class JobAccess(NamedTuple):
    """Functions that look up and cancel recorded jobs.

    Attributes:
        find: Returns a job by its id, or None.
        cancel: Cancels a job and returns its record; cancellations requested
            at the same time share a batch, and an ended job is not changed.
    """

    find: Callable[[str], Job | None]
    cancel: Callable[[str], Awaitable[Job]]


class JobsApi:
    """Answers requests about deferred jobs.

    Attributes:
        access: Access to recorded jobs, or None if there is none yet.
    """

    def __init__(
        self,
        router: Router,
        ledger: JobLedger,
        new_id: Callable[[], str],
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.router = router
        self.ledger = ledger
        self.new_id = new_id
        self.clock = clock
        self.metrics = metrics
        self.access: JobAccess | None = None

    def add_routes(self, app: web.Application) -> None:
        """Adds the routes of deferred jobs."""
        app.router.add_post("/jobs/{service}", self.post_job)
        app.router.add_get("/jobs/{service}/{job}", self.get_job)
        app.router.add_delete("/jobs/{service}/{job}", self.delete_job)

    async def post_job(self, request: web.Request) -> web.Response:
        """Accepts a deferred job once its record is confirmed."""
        spec = self.service(request)
        caller_request = await self.read_submission(request, spec)
        job = self.read_job(request, caller_request)
        check_runnable(self.router.view, spec, job)

        async def perform(progress: Progress) -> CallerResponse:
            await self.ledger.submit(job, caller_request.deadline_s)
            body = canonical_json({"job": job.job_id, "verdict": Verdict.RAN})
            return CallerResponse(ACCEPTED, body, JSON, Verdict.RAN)

        response = await self.router.perform(caller_request, perform)
        self.metrics.count("callers.jobs_accepted")
        return web.Response(
            status=response.status,
            body=response.body,
            content_type=JSON,
            headers={"Burdockthread-Verdict": response.verdict.value},
        )

    def service(self, request: web.Request) -> ServiceSpec:
        """Returns the service named by the path and the organisation header.

        Raises:
            ServiceNotFoundError: No accepted template names the service.
        """
        organisation = read_name(request, ORGANISATION_HEADER, required=True)
        name = f"{organisation}/{request.match_info['service']}"
        spec = self.router.view.services.get(name)
        if spec is None:
            raise ServiceNotFoundError(f"no service {name}")
        return spec

    async def read_submission(
        self, request: web.Request, spec: ServiceSpec
    ) -> CallerRequest:
        """Parses a submission as a request, so that its key is handled like one's."""
        deadline_s = read_deadline_s(request, spec, self.clock)
        return CallerRequest(
            request_id=self.new_id(),
            service=spec.name,
            organisation=spec.organisation,
            team=read_name(request, TEAM_HEADER, required=False),
            request_class=read_class(request),
            method=request.method,
            path="/jobs",
            content_type=JSON,
            deadline_s=deadline_s,
            idempotent=False,
            idempotency_key=read_key(request),
            body=await read_body(request, deadline_s, self.clock),
        )

    def read_job(self, request: web.Request, submission: CallerRequest) -> Job:
        """Parses and checks the job of a submission."""
        fields = read_object(submission.body)
        return Job(
            job_id=submission.request_id,
            service=submission.service,
            organisation=submission.organisation,
            team=submission.team,
            request_class=submission.request_class,
            cores=read_number(fields, "cores", 1.0),
            memory_gb=read_number(fields, "memory_gb", 1.0),
            accelerators=int(read_number(fields, "accelerators", 0)),
            run_time_s=read_number(fields, "run_time_s", 60.0),
            idempotent=fields.get("idempotent") is True,
            state=JobState.QUEUED,
            submitted_s=self.clock.wall(),
            payload=json.dumps(fields.get("payload")),
        )

    async def get_job(self, request: web.Request) -> web.Response:
        """Answers the state of a job of the caller's organisation."""
        return job_response(self.find(request))

    async def delete_job(self, request: web.Request) -> web.Response:
        """Cancels a job; a repeated cancellation has no effect."""
        job = self.find(request)
        assert self.access is not None
        try:
            return job_response(await self.access.cancel(job.job_id))
        except NotFoundError:
            raise JobNotFoundError(f"no job {job.job_id}") from None
        except BurdockthreadError as error:
            raise RequestError(
                f"job {job.job_id} could not be cancelled: {error}",
                verdict=error.verdict,
                retry_after_s=RETRY_AFTER_S,
            ) from error

    def find(self, request: web.Request) -> Job:
        """Returns the job named by the path.

        Raises:
            JobNotFoundError: The job is unknown or belongs to another service.
        """
        spec = self.service(request)
        job_id = request.match_info["job"]
        job = self.access.find(job_id) if self.access is not None else None
        if job is None or job.service != spec.name:
            raise JobNotFoundError(f"no job {job_id}")
        return job


def job_response(job: Job) -> web.Response:
    """Returns the answer that shows the state of a job."""
    fields = {
        "job": job.job_id,
        "state": job.state,
        "reason": job.reason,
        "attempt": job.attempt,
        "submitted_s": job.submitted_s,
        "ended_s": job.ended_s,
    }
    headers = {"Burdockthread-Verdict": Verdict.RAN.value}
    return web.json_response(fields, headers=headers)


def check_runnable(view: FleetView, spec: ServiceSpec, job: Job) -> None:
    """Refuses a job for which no VM of the service's or a spare pool is large enough.

    Raises:
        NeverRunnableError: The job could never run; the message gives the reason.
    """
    if spec.pool not in view.pools:
        raise NeverRunnableError(f"no pool {spec.pool}")
    pools = {spec.pool} | {
        pool.name
        for pool in view.pools.values()
        if pool.spare and pool.organisation == spec.organisation
    }
    names = [r.name for r in view.records.values() if r.pool in pools]
    vms = [view.listings[name] for name in names if name in view.listings]
    fitting = (
        vm.cores >= job.cores
        and vm.memory_gb >= job.memory_gb
        and vm.accelerators >= job.accelerators
        for vm in vms
    )
    if vms and not any(fitting):
        raise NeverRunnableError(
            f"the job asks for {job.cores:g} cores, {job.memory_gb:g} GB and"
            f" {job.accelerators} accelerators, more than any VM of {spec.pool} has"
        )
