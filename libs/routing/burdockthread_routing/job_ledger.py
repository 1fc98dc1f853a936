"""Records of deferred jobs in the key-value service."""

import asyncio
import secrets
from collections.abc import Sequence

import msgspec
from burdockthread_model.clock import Clock
from burdockthread_model.errors import StoreError
from burdockthread_model.job import Job
from burdockthread_model.rendering import canonical_json, to_plain
from burdockthread_model.steps import Step, Steps
from burdockthread_store.store import Change, ConfigurationStore

JOB_PREFIX = "job/"
GROUP_COMMIT_S = 0.02
MAX_JOBS_PER_SEGMENT = 500


def segment_key(service: str, segment_id: str) -> str:
    """Returns the key of a segment of jobs."""
    return f"{JOB_PREFIX}{service}/{segment_id}"


def encode_jobs(jobs: Sequence[Job]) -> bytes:
    """Returns jobs as the JSON text of a segment."""
    return canonical_json([to_plain(job) for job in jobs])


def decode_jobs(data: bytes) -> list[Job]:
    """Reads the jobs of a segment."""
    items = msgspec.json.decode(data, type=list[dict[str, object]])
    return [msgspec.convert(list(item.values()), Job) for item in ordered(items)]


def ordered(items: Sequence[dict[str, object]]) -> list[dict[str, object]]:
    """Returns objects with their fields in the order of `Job`."""
    return [{name: item[name] for name in Job._fields} for item in items]


class Submission:
    """A job that waits for its record to be confirmed."""

    def __init__(self, job: Job) -> None:
        self.job = job
        self.confirmed: asyncio.Future[None]
        self.confirmed = asyncio.get_running_loop().create_future()


class JobLedger:
    """Confirms jobs by group commit: many jobs in one value."""

    def __init__(self, store: ConfigurationStore, clock: Clock, steps: Steps) -> None:
        self.store = store
        self.clock = clock
        self.steps = steps
        self.waiting: dict[str, list[Submission]] = {}
        self.arrived = asyncio.Event()

    async def submit(self, job: Job) -> None:
        """Records a job.

        Args:
            job: Job to record.

        Raises:
            StoreUnavailableError: It was not recorded.
            StoreUnknownError: It may have been recorded.
        """
        await self.steps.reach(Step.JOB_READ)
        submission = Submission(job)
        self.waiting.setdefault(job.service, []).append(submission)
        self.arrived.set()
        await submission.confirmed

    async def run(self) -> None:
        """Commits waiting jobs until cancelled."""
        while True:
            await self.arrived.wait()
            await self.clock.sleep(GROUP_COMMIT_S)
            self.arrived.clear()
            groups, self.waiting = self.waiting, {}
            for service, submissions in groups.items():
                for start in range(0, len(submissions), MAX_JOBS_PER_SEGMENT):
                    end = start + MAX_JOBS_PER_SEGMENT
                    await self.commit(service, submissions[start:end])

    async def commit(self, service: str, group: Sequence[Submission]) -> None:
        """Writes one segment and tells each of its submitters."""
        key = segment_key(service, secrets.token_hex(8))
        value = encode_jobs([submission.job for submission in group])
        try:
            await self.store.write([Change(key, value, 0)])
        except StoreError as error:
            for submission in group:
                if not submission.confirmed.done():
                    submission.confirmed.set_exception(error)
            return
        await self.steps.reach(Step.JOB_RECORDED)
        for submission in group:
            if not submission.confirmed.done():
                submission.confirmed.set_result(None)
