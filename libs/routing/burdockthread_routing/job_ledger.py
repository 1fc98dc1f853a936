"""Records of deferred jobs in the key-value store."""

import asyncio
import secrets
from collections import defaultdict, deque
from collections.abc import Sequence
from typing import NamedTuple

import msgspec
from burdockthread_model.clock import Clock
from burdockthread_model.errors import (
    BadRequestError,
    BurdockthreadError,
    OverloadedError,
    RequestError,
)
from burdockthread_model.job import Job
from burdockthread_model.rendering import canonical_json, to_plain
from burdockthread_model.steps import Step, Steps
from burdockthread_model.verdict import Verdict
from burdockthread_store.store import Change, ConfigurationStore

JOB_PREFIX = "job/"
BATCH_DELAY_S = 0.02
COMMIT_INTERVAL_S = 0.25
MAX_JOBS_PER_SEGMENT = 500
MAX_SEGMENT_BYTES = 200_000
MAX_WRITE_BYTES = 800_000
MAX_SEGMENTS_PER_WRITE = 32
MAX_JOB_BYTES = 100_000
MAX_WAITING_JOBS = 5_000
RETRY_AFTER_S = 1.0


def segment_key(service: str, segment_id: str) -> str:
    """Returns the store key of a segment of jobs."""
    return f"{JOB_PREFIX}{service}/{segment_id}"


def encode_jobs(jobs: Sequence[Job]) -> bytes:
    """Encodes jobs as the JSON text of a segment."""
    return canonical_json([to_plain(job) for job in jobs])


def decode_jobs(data: bytes) -> list[Job]:
    """Decodes the jobs of a segment."""
    items = msgspec.json.decode(data, type=list[dict[str, object]])
    return [msgspec.convert(list(item.values()), Job) for item in in_field_order(items)]


def in_field_order(items: Sequence[dict[str, object]]) -> list[dict[str, object]]:
    """Returns objects with their fields in the order of `Job`."""
    return [{name: item[name] for name in Job._fields} for item in items]


class LateRecordError(RequestError):
    """A job whose record was not confirmed before the caller's deadline."""

    status = 504


class Submission:
    """A job that waits for its record to be confirmed.

    Attributes:
        job: The job.
        size: Size of the job's record in bytes.
        sent: Whether the record may have been sent to the store.
        abandoned: Whether the submitter stopped waiting before the record was
            sent.
        confirmed: Future that is done once the record is confirmed or has failed.
    """

    def __init__(self, job: Job) -> None:
        self.job = job
        self.size = len(canonical_json(to_plain(job))) + 1
        self.sent = False
        self.abandoned = False
        self.confirmed: asyncio.Future[None]
        self.confirmed = asyncio.get_running_loop().create_future()


class Segment(NamedTuple):
    """Submissions that are recorded under one store key."""

    key: str
    submissions: list[Submission]


class JobLedger:
    """Records jobs by group commit: many jobs in one write.

    One write contains the jobs submitted since the last write, so that the rate
    of writes is bounded and the size of a write grows with the load.

    Attributes:
        waiting: Submissions whose record was not sent yet, oldest first.
    """

    def __init__(self, store: ConfigurationStore, clock: Clock, steps: Steps) -> None:
        self.store = store
        self.clock = clock
        self.steps = steps
        self.waiting: deque[Submission] = deque()
        self.arrived = asyncio.Event()

    async def submit(self, job: Job, deadline_s: float) -> None:
        """Records a job and returns once its record is confirmed.

        Args:
            job: Job to record.
            deadline_s: Clock time at which the submitter stops waiting.

        Raises:
            OverloadedError: Too many jobs are waiting; the job was not recorded.
            BadRequestError: The record is too large.
            RequestError: The job was not recorded, or may have been; the
                verdict says which.
        """
        await self.steps.reach(Step.JOB_READ)
        submission = Submission(job)
        if submission.size > MAX_JOB_BYTES:
            raise BadRequestError(f"body: the job exceeds {MAX_JOB_BYTES} bytes")
        if len(self.waiting) >= MAX_WAITING_JOBS:
            raise OverloadedError(
                "too many jobs are waiting to be recorded",
                retry_after_s=RETRY_AFTER_S,
            )
        self.waiting.append(submission)
        self.arrived.set()
        await self.wait(submission, deadline_s)

    async def wait(self, submission: Submission, deadline_s: float) -> None:
        """Waits until a record is confirmed or the deadline has passed."""
        try:
            async with self.clock.timeout(deadline_s - self.clock.now()):
                await asyncio.shield(submission.confirmed)
        except TimeoutError:
            verdict = Verdict.UNKNOWN if submission.sent else Verdict.NOT_RUN
            raise LateRecordError(
                "the job was not recorded before the deadline",
                verdict=verdict,
                retry_after_s=RETRY_AFTER_S,
            ) from None
        except BurdockthreadError as error:
            raise RequestError(
                f"the job could not be recorded: {error}",
                verdict=error.verdict,
                retry_after_s=RETRY_AFTER_S,
            ) from error
        finally:
            submission.abandoned = not submission.sent

    async def run(self) -> None:
        """Commits waiting jobs in batches until cancelled."""
        while True:
            await self.arrived.wait()
            await self.clock.sleep(BATCH_DELAY_S)
            started_s = self.clock.now()
            await self.commit(self.take_batch())
            if not self.waiting:
                self.arrived.clear()
            elapsed_s = self.clock.now() - started_s
            await self.clock.sleep(COMMIT_INTERVAL_S - elapsed_s)

    def take_batch(self) -> list[Segment]:
        """Removes waiting jobs from the queue, up to the limits of one write."""
        open_segments: dict[str, Segment] = {}
        sizes: defaultdict[str, int] = defaultdict(int)
        segments: list[Segment] = []
        total = 0
        while self.waiting:
            submission = self.waiting[0]
            if submission.abandoned:
                self.waiting.popleft()
                continue
            service = submission.job.service
            segment = open_segments.get(service)
            if segment is None or self.is_full(segment, sizes[segment.key], submission):
                if len(segments) >= MAX_SEGMENTS_PER_WRITE:
                    break
                segment = Segment(segment_key(service, secrets.token_hex(8)), [])
                open_segments[service] = segment
                segments.append(segment)
            total += submission.size
            if total > MAX_WRITE_BYTES:
                break
            submission.sent = True
            segment.submissions.append(self.waiting.popleft())
            sizes[segment.key] += submission.size
        return [segment for segment in segments if segment.submissions]

    def is_full(self, segment: Segment, size: int, submission: Submission) -> bool:
        """Returns whether a segment has no room for one more job."""
        if len(segment.submissions) >= MAX_JOBS_PER_SEGMENT:
            return True
        return size + submission.size > MAX_SEGMENT_BYTES

    async def commit(self, segments: Sequence[Segment]) -> None:
        """Writes segments and passes the result to each submitter."""
        error = await self.write(segments) if segments else None
        for segment in segments:
            for submission in segment.submissions:
                if submission.confirmed.done():
                    continue
                if error is None:
                    submission.confirmed.set_result(None)
                else:
                    submission.confirmed.set_exception(error)
                    # Marks the error as retrieved; the submitter may have left.
                    submission.confirmed.exception()

    async def write(self, segments: Sequence[Segment]) -> BurdockthreadError | None:
        """Writes segments; returns an error whose verdict says if they are stored."""
        changes = [
            Change(segment.key, encode_jobs([s.job for s in segment.submissions]), 0)
            for segment in segments
        ]
        try:
            await self.store.write(changes)
            await self.steps.reach(Step.JOB_RECORDED)
        except BurdockthreadError as error:
            return error
        except Exception as error:
            return RequestError(
                f"unexpected {type(error).__name__}", verdict=Verdict.UNKNOWN
            )
        return None
