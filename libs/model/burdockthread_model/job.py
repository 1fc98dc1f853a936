"""Deferred jobs."""

from enum import StrEnum
from typing import NamedTuple

from burdockthread_model.request import RequestClass


class JobState(StrEnum):
    """State of a job."""

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
    """A job and where it stands.

    Attributes:
        job_id: Unique id.
        service: Service whose pool runs it.
        organisation: Organisation that asked.
        team: Team whose quota it uses.
        request_class: Urgency.
        cores: Declared processors.
        memory_gb: Declared memory in gigabytes.
        accelerators: Declared accelerators.
        run_time_s: Declared run time in seconds.
        idempotent: Whether running it twice does no harm.
        state: Where it stands.
        vm: VM that has it, or empty.
        attempt: Grows with every claim.
        reason: Why it is parked, failed or unknown.
        submitted_s: Unix time of acceptance.
        claimed_s: Unix time of the last claim, or 0.
        ended_s: Unix time of the end, or 0.
        payload: Body for the worker.
        boot_id: Boot of the VM that the claim is for, or empty.
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
