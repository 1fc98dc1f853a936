"""Segments: store values that hold many jobs, updated by compare-and-swap."""

from collections import defaultdict
from collections.abc import Sequence
from typing import NamedTuple

import msgspec
from burdockthread_model.events import EventLog
from burdockthread_model.job import FINAL_JOB_STATES, Job, JobState
from burdockthread_routing.job_ledger import JOB_PREFIX, decode_jobs
from burdockthread_store.prefix_cache import PrefixCache
from burdockthread_store.store import Change, ConfigurationStore, KeyValue

MAX_SEGMENTS_PER_WRITE = 64
MAX_BYTES_PER_WRITE = 1_000_000
ENDED_RETENTION_S = {
    JobState.DONE: 900.0,
    JobState.CANCELLED: 900.0,
    JobState.FAILED: 86_400.0,
    JobState.UNKNOWN: 86_400.0,
}
SMALL_SEGMENT_JOBS = 32
SMALL_SEGMENTS_TO_MERGE = 8
MAX_MERGED_JOBS = 400


class JobUpdate(NamedTuple):
    """A job as it was at the decision, and the job that shall replace it."""

    before: Job
    after: Job


class Batch(NamedTuple):
    """Updates that are written in one transaction.

    Attributes:
        changes: One conditional write for each segment.
        updates: The updates that the writes contain.
    """

    changes: tuple[Change, ...]
    updates: tuple[JobUpdate, ...]


class JobSegments:
    """Indexes the jobs of the cached segments and builds writes to segments.

    Attributes:
        jobs: Every job, by id.
        keys: Segment key of each job, by job id.
        segments: Jobs of each segment, by key.
        encoded: Each job that was encoded here with its JSON text, by job id.
        written: Value and jobs of the last write built for each segment, by key;
            saves decoding the value when the cache delivers that same object.
        open: Jobs that have not ended, by organisation and id.
    """

    def __init__(
        self, store: ConfigurationStore, cache: PrefixCache, log: EventLog
    ) -> None:
        self.store = store
        self.cache = cache
        self.log = log
        self.jobs: dict[str, Job] = {}
        self.keys: dict[str, str] = {}
        self.segments: dict[str, tuple[Job, ...]] = {}
        self.encoded: dict[str, tuple[Job, bytes]] = {}
        self.written: dict[str, tuple[bytes, tuple[Job, ...]]] = {}
        self.open: defaultdict[str, dict[str, Job]] = defaultdict(dict)
        cache.listeners.append(self.on_item)
        for key, item in cache.values.items():
            self.on_item(key, item)

    def on_item(self, key: str, item: KeyValue | None) -> None:
        """Updates the index when the cache reports a change of a segment."""
        removed_ids = set()
        for job in self.segments.pop(key, ()):
            if self.keys.get(job.job_id) == key:
                self.forget(job)
                removed_ids.add(job.job_id)
        jobs = self.read(key, item)
        if jobs is not None:
            self.segments[key] = jobs
            self.index(key, jobs)
        for job_id in removed_ids - self.keys.keys():
            self.encoded.pop(job_id, None)

    def index(self, key: str, jobs: Sequence[Job]) -> None:
        """Adds the jobs of a segment to the index."""
        for job in jobs:
            self.keys[job.job_id] = key
            self.jobs[job.job_id] = job
            if job.state not in FINAL_JOB_STATES:
                self.open[job.organisation][job.job_id] = job
            else:
                self.open[job.organisation].pop(job.job_id, None)

    def read(self, key: str, item: KeyValue | None) -> tuple[Job, ...] | None:
        """Returns the jobs of a segment, or None if deleted or malformed."""
        value, jobs = self.written.pop(key, (b"", ()))
        if item is None:
            return None
        if item.value is value:
            return jobs
        try:
            return tuple(decode_jobs(item.value))
        except (msgspec.DecodeError, KeyError) as error:
            self.log.error("job_segment_refused", segment=key, reason=error)
            return None

    def forget(self, job: Job) -> None:
        """Removes a job from the index."""
        del self.keys[job.job_id]
        del self.jobs[job.job_id]
        self.open[job.organisation].pop(job.job_id, None)

    def batches(self, updates: Sequence[JobUpdate]) -> list[Batch]:
        """Groups updates into few writes.

        Args:
            updates: Updates; those whose job has changed since the decision are
                left out.

        Returns:
            Batches within ``MAX_SEGMENTS_PER_WRITE`` and, unless one segment is
            larger, ``MAX_BYTES_PER_WRITE``.
        """
        by_key: defaultdict[str, list[JobUpdate]] = defaultdict(list)
        for update in updates:
            if self.jobs.get(update.before.job_id) == update.before:
                by_key[self.keys[update.before.job_id]].append(update)
        batches: list[Batch] = []
        changes: list[Change] = []
        batch_updates: list[JobUpdate] = []
        size = 0
        for key, items in by_key.items():
            change = self.change(key, items)
            added = len(change.value or b"")
            full = len(changes) >= MAX_SEGMENTS_PER_WRITE
            if changes and (full or size + added > MAX_BYTES_PER_WRITE):
                batches.append(Batch(tuple(changes), tuple(batch_updates)))
                changes, batch_updates, size = [], [], 0
            changes.append(change)
            batch_updates.extend(items)
            size += added
        if changes:
            batches.append(Batch(tuple(changes), tuple(batch_updates)))
        return batches

    def change(self, key: str, updates: Sequence[JobUpdate]) -> Change:
        """Returns the conditional write that applies updates to one segment."""
        after = {update.after.job_id: update.after for update in updates}
        jobs = [after.get(job.job_id, job) for job in self.segments[key]]
        return self.replacement(key, jobs)

    def encode(self, jobs: Sequence[Job]) -> bytes:
        """Returns the JSON text of a segment; unchanged jobs are not re-encoded."""
        return b"[" + b",".join(self.encode_one(job) for job in jobs) + b"]"

    def encode_one(self, job: Job) -> bytes:
        """Returns the JSON text of one job, cached until the job changes."""
        known = self.encoded.get(job.job_id)
        if known is not None and known[0] is job:
            return known[1]
        text = msgspec.json.encode(job._asdict(), order="sorted")
        self.encoded[job.job_id] = (job, text)
        return text

    async def commit(self, changes: Sequence[Change], *others: Change) -> int:
        """Writes changes of segments and puts them into the cache and the index.

        Args:
            changes: Conditional writes of segments.
            *others: Further conditional writes of the same transaction.

        Returns:
            The revision of the write.

        Raises:
            ConflictError: Another writer changed a key first; nothing was written.
            StoreError: See `ConfigurationStore.write`.
        """
        revision = await self.store.write([*changes, *others])
        for change in changes:
            if change.value is None:
                self.cache.remove(change.key, revision)
            else:
                self.cache.put(KeyValue(change.key, change.value, revision))
        return revision

    def compaction(self, organisation: str, wall_s: float) -> list[tuple[Change, ...]]:
        """Returns transactions that delete ended jobs past their retention.

        Small segments of ended jobs are merged to bound the number of keys.
        Segments with open jobs are not merged, because every change of an open
        job would then rewrite many other jobs.

        Args:
            organisation: Organisation whose segments are compacted.
            wall_s: Unix time in seconds.
        """
        writes: list[tuple[Change, ...]] = []
        small: defaultdict[str, list[str]] = defaultdict(list)
        for key, jobs in self.segments.items():
            if not key.startswith(f"{JOB_PREFIX}{organisation}/"):
                continue
            kept = [job for job in jobs if not expired(job, wall_s)]
            if len(kept) * 2 <= len(jobs):
                writes.append((self.replacement(key, kept),))
            elif len(kept) < SMALL_SEGMENT_JOBS and all_ended(kept):
                small[key.rpartition("/")[0]].append(key)
        for keys in small.values():
            if len(keys) >= SMALL_SEGMENTS_TO_MERGE:
                writes.append(self.merge(keys))
        return writes

    def replacement(self, key: str, jobs: Sequence[Job]) -> Change:
        """Returns the write that replaces a segment's jobs; no jobs delete it."""
        value = self.encode(jobs) if jobs else None
        if value is not None:
            self.written[key] = (value, tuple(jobs))
        return Change(key, value, self.cache.values[key].revision)

    def merge(self, keys: Sequence[str]) -> tuple[Change, ...]:
        """Returns the writes that move the jobs of small segments into the first.

        At most ``MAX_SEGMENTS_PER_WRITE`` segments and ``MAX_MERGED_JOBS`` jobs
        are merged.
        """
        jobs: list[Job] = []
        merged: list[str] = []
        for key in keys[:MAX_SEGMENTS_PER_WRITE]:
            if len(jobs) + len(self.segments[key]) > MAX_MERGED_JOBS:
                break
            jobs.extend(self.segments[key])
            merged.append(key)
        target = self.replacement(merged[0], jobs)
        return (target, *(self.replacement(key, ()) for key in merged[1:]))


def expired(job: Job, wall_s: float) -> bool:
    """Returns whether an ended job's retention period has passed."""
    kept_s = ENDED_RETENTION_S.get(job.state, float("inf"))
    return wall_s - job.ended_s > kept_s


def all_ended(jobs: Sequence[Job]) -> bool:
    """Returns whether every job is in a final state."""
    return all(job.state in FINAL_JOB_STATES for job in jobs)
