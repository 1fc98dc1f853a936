"""Records of deferred jobs and their states."""

from enum import StrEnum
from typing import NamedTuple

from burdockthread_model.request import RequestClass


class JobState(StrEnum):
    """State of a job, as stored in its record."""

    QUEUED = "queued"
    CLAIMED = "claimed"
    RUNNING = "running"
    CHECKPOINTED = "checkpointed"
    DONE = "done"
    FAILED = "failed"
    CANCELLED = "cancelled"
    PARKED = "parked"
    UNKNOWN = "unknown"


FINAL_JOB_STATES = frozenset(
    {JobState.DONE, JobState.FAILED, JobState.CANCELLED, JobState.UNKNOWN}
)


class Job(NamedTuple):
    """Record of a job with its current state.

    Attributes:
        job_id: Unique id.
        service: Service whose pool runs the job.
        organisation: Organisation that submitted the job.
        team: Team whose quota the job uses.
        request_class: Urgency.
        cores: Declared processor cores.
        memory_gb: Declared memory in gigabytes.
        accelerators: Declared accelerators.
        run_time_s: Declared run time in seconds.
        idempotent: Whether the job may safely run twice.
        state: Current state.
        vm: VM to which the job is assigned, or empty.
        attempt: Number that increases with every claim.
        reason: Why the job is parked, failed or unknown.
        submitted_s: Unix time at which the job was accepted.
        claimed_s: Unix time of the last claim, or 0.
        ended_s: Unix time of the end, or 0.
        payload: Body that is sent to the worker.
        boot_id: Boot id of the VM for which the claim is valid, or empty.
    """

    job_id: str
    service: str
    organisation: str
    team: str
    request_class: RequestClass
    cores: float
    memory_gb: float
    accelerators: int
    run_time_s: float
    idempotent: bool
    state: JobState
    vm: str = ""
    attempt: int = 0
    reason: str = ""
    submitted_s: float = 0.0
    claimed_s: float = 0.0
    ended_s: float = 0.0
    payload: str = ""
    boot_id: str = ""
