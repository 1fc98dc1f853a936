"""Keys and values of jobs in the store.

``shared/job/<job>``
    `JobRecord`: pool, queue and state; written by acceptance, cancel and the
    holder of the pool.
``shared/pool/<pool>``
    `PoolReport`: waiting jobs; written by the holder of the pool.
``cluster/duty/<duty>``, ``cluster/entry/<entry>``
    `DutyRecord` and `EntryRecord`, each bound to the lease of its entry.
``work/<pool>/<job>``
    `JobSpec`, or `CANCELLED`; written by acceptance and cancel.
``progress/<pool>/<job>``
    `JobProgress`; written by the holder of the pool.

All entries watch ``cluster/`` and, with more delay, ``shared/``; only the holder
of a pool watches the pool's work.
"""

from enum import StrEnum
from typing import NamedTuple, TypeVar

import msgspec
from burdockthread_model.records import RecordError

from burdockthread_scheduling.admission import PoolRoom
from burdockthread_scheduling.specs import JobSpec

SHARED_PREFIX = "shared/"
JOB_PREFIX = "shared/job/"
POOL_PREFIX = "shared/pool/"
CLUSTER_PREFIX = "cluster/"
DUTY_PREFIX = "cluster/duty/"
ENTRY_PREFIX = "cluster/entry/"
CANCELLED = b"cancelled"

Record = TypeVar("Record")


class JobPhase(StrEnum):
    """Phase of a job as stored.

    WITHDRAWN: It was cancelled before it was stored. There is no such job for callers,
    and the record keeps submissions that are still under way from storing it.
    """

    ACCEPTED = "accepted"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"
    WITHDRAWN = "withdrawn"


class JobRecord(NamedTuple):
    """The state of a job.

    Attributes:
        pool: Pool whose holder runs the job; empty if it was never stored.
        queue: Name of the job's queue; empty if the job was never stored.
        phase: Phase of the job.
        changed_ms: Unix time in milliseconds of the last change.
    """

    pool: str
    queue: str
    phase: JobPhase
    changed_ms: int


class PoolReport(NamedTuple):
    """Report of a pool's holder to the other entries.

    Attributes:
        entry: The holder.
        written_ms: Unix time in milliseconds of the report.
        waiting: Jobs of which no task has started, by queue.
        unstarted: Ids of these jobs; the first of them if there are many.
        room: Room and backlog of the pool, or None if no entry needs them.
        unlisted: Queues and how many of their waiting jobs are not in `unstarted`.
    """

    entry: str
    written_ms: int
    waiting: dict[str, int]
    unstarted: frozenset[str]
    room: PoolRoom | None = None
    unlisted: tuple[tuple[str, int], ...] = ()

    def unlisted_of(self, queue: str) -> int:
        """Returns how many waiting jobs of a queue are not in `unstarted`."""
        return dict(self.unlisted).get(queue, 0)


class DutyRecord(NamedTuple):
    """The holder of a duty; the revision of the key is the fencing token."""

    entry: str
    term: str


class EntryRecord(NamedTuple):
    """An entry that is alive.

    Attributes:
        availability_zone: Availability zone.
        weight: Share of the duties that the entry can run, relative to others.
        term: Unique for each process.
        address: IP address and port for other entries.
    """

    availability_zone: str
    weight: float
    term: str
    address: str


class JobProgress(NamedTuple):
    """The progress of a job that a new holder has to know.

    Attributes:
        begun: Whether a task has started.
        succeeded: Tasks that have succeeded, as the hexadecimal bits of their
            indices, by ``<occurrence>.<step>``.
        failures: Numbers of the failed runs by ``<occurrence>.<step>.<index>``.
        checkpoints: Saved progress by ``<occurrence>.<step>.<index>``.
    """

    begun: bool
    succeeded: dict[str, str]
    failures: dict[str, tuple[int, ...]]
    checkpoints: dict[str, str]


def job_key(job_id: str) -> str:
    """Returns the key of a job's state."""
    return f"{JOB_PREFIX}{job_id}"


def pool_key(pool: str) -> str:
    """Returns the key of a pool's report."""
    return f"{POOL_PREFIX}{pool}"


def duty_key(duty: str) -> str:
    """Returns the key of a duty."""
    return f"{DUTY_PREFIX}{duty}"


def entry_key(entry: str) -> str:
    """Returns the key of a live entry."""
    return f"{ENTRY_PREFIX}{entry}"


def work_prefix(pool: str) -> str:
    """Returns the prefix of the jobs of a pool."""
    return f"work/{pool}/"


def progress_prefix(pool: str) -> str:
    """Returns the prefix of the progress of a pool's jobs."""
    return f"progress/{pool}/"


def encode(record: tuple[object, ...]) -> bytes:
    """Returns a record as a JSON array in the order of its fields.

    Trailing fields with default values are left out, so that earlier versions of
    the software, which lack these fields, can read the record.
    """
    defaults: dict[str, object] = getattr(record, "_field_defaults", {})
    kept = len(record)
    for value, default in zip(
        reversed(record), reversed(defaults.values()), strict=False
    ):
        if value != default:
            break
        kept -= 1
    return msgspec.json.encode(record[:kept])


def decode(data: bytes, kind: type[Record]) -> Record:
    """Reads a record.

    Args:
        data: JSON array with the fields in order; missing ones take defaults.
        kind: NamedTuple class.

    Raises:
        RecordError: The text is malformed or a field has the wrong type.
    """
    try:
        return msgspec.json.decode(data, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise RecordError(f"{kind.__name__}: {error}") from error


def decode_job(data: bytes) -> JobSpec | None:
    """Reads the work of a job.

    Returns:
        The job, or None if it is cancelled.

    Raises:
        RecordError: The text is malformed.
    """
    if data == CANCELLED:
        return None
    return decode(data, JobSpec)
