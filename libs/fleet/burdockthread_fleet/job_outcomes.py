"""The state of a claimed job after its task has ended or its worker is lost."""

from burdockthread_model.job import FINAL_JOB_STATES, Job, JobState

from burdockthread_fleet.worker_client import TaskReport, TaskState

CLAIMED_STATES = frozenset({JobState.CLAIMED, JobState.RUNNING})
WAITING_STATES = frozenset({JobState.QUEUED, JobState.CHECKPOINTED})
LOST_REASON = "the worker was lost while it had the job"
STOPPED_REASON = "the worker stopped the task"


def task_id_of(job: Job) -> str:
    """Returns the id of the current attempt of a job."""
    return f"{job.job_id}.{job.attempt}"


def ended(job: Job, state: JobState, reason: str, wall_s: float) -> Job:
    """Returns a job in a final state, with its reason and end time."""
    return job._replace(state=state, reason=reason, ended_s=wall_s)


def unassigned(job: Job, state: JobState, reason: str = "") -> Job:
    """Returns a job without a VM, in a state that waits for another attempt."""
    return job._replace(state=state, vm="", boot_id="", reason=reason)


def apply_report(job: Job, report: TaskReport, wall_s: float) -> Job:
    """Applies the report of a job's current attempt.

    A job that is not idempotent gets another attempt only after a checkpoint,
    which preserves its progress; any other end is final. The record of a job that
    is done is kept without the payload.

    Args:
        job: A claimed or running job.
        report: Report of its current attempt.
        wall_s: Unix time.

    Returns:
        The job to be recorded.
    """
    match report.state:
        case TaskState.RUNNING:
            return job._replace(state=JobState.RUNNING)
        case TaskState.DONE:
            return ended(job._replace(payload=""), JobState.DONE, "", wall_s)
        case TaskState.CHECKPOINTED:
            return unassigned(job, JobState.CHECKPOINTED)
        case TaskState.FAILED if job.idempotent:
            return unassigned(job, JobState.QUEUED, report.reason)
        case TaskState.FAILED:
            return ended(job, JobState.FAILED, report.reason, wall_s)
    return apply_loss(job, report.reason or STOPPED_REASON, wall_s)


def apply_loss(job: Job, reason: str, wall_s: float) -> Job:
    """Returns a job after its task, which may have run, has certainly stopped.

    Args:
        job: A claimed or running job.
        reason: What happened, for operators.
        wall_s: Unix time.

    Returns:
        The job, queued again if it is idempotent, else in state unknown.
    """
    if job.idempotent:
        return unassigned(job, JobState.QUEUED, reason)
    return ended(job, JobState.UNKNOWN, reason, wall_s)


def cancelled(job: Job, wall_s: float) -> Job:
    """Returns a job as cancelled; one in a final state is returned unchanged."""
    if job.state in FINAL_JOB_STATES:
        return job
    reason = "cancelled before it ran"
    if job.state in CLAIMED_STATES:
        reason = "cancelled; it may have run in part"
    elif job.attempt:
        reason = "cancelled after an earlier attempt"
    return ended(job, JobState.CANCELLED, reason, wall_s)
