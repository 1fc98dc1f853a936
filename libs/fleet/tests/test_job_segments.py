import pytest
from burdockthread_fleet.job_segments import JobSegments, JobUpdate
from burdockthread_model.job import Job, JobState
from burdockthread_model.request import RequestClass
from burdockthread_routing.job_ledger import JOB_PREFIX, decode_jobs, encode_jobs
from burdockthread_store.prefix_cache import PrefixCache
from burdockthread_store.store import Change, KeyValue

KEY = f"{JOB_PREFIX}org/ledger/s1"


def new_job(job_id):
    return Job(
        job_id,
        "org/ledger",
        "org",
        "desk",
        RequestClass.STANDARD,
        cores=1.0,
        memory_gb=1.0,
        accelerators=0,
        run_time_s=1.0,
        idempotent=False,
        state=JobState.QUEUED,
    )


@pytest.fixture
async def segments(clock, store, log):
    cache = PrefixCache(store, JOB_PREFIX, clock)
    segments = JobSegments(store, cache, log)
    value = encode_jobs([new_job("a"), new_job("b")])
    cache.put(KeyValue(KEY, value, await store.write([Change(KEY, value, 0)])))
    return segments


async def claim(segments, job_id):
    job = segments.jobs[job_id]
    update = JobUpdate(job, job._replace(state=JobState.CLAIMED, attempt=1))
    (batch,) = segments.batches([update])
    await segments.commit(batch.changes)


async def test_unchanged_jobs_are_not_encoded_again(segments):
    await claim(segments, "a")
    _, text = segments.encoded["b"]
    await claim(segments, "a")
    assert segments.encoded["b"][1] is text
    assert segments.jobs["a"].state is JobState.CLAIMED


async def test_encoded_text_of_removed_jobs_is_dropped(segments):
    await claim(segments, "a")
    await segments.commit([segments.replacement(KEY, [segments.jobs["b"]])])
    assert segments.jobs.keys() == segments.encoded.keys() == {"b"}


async def test_segment_encoding_matches_the_job_ledger(segments):
    jobs = [new_job("a"), new_job('b"\n')._replace(submitted_s=1764838585.123456)]
    assert segments.encode(jobs) == encode_jobs(jobs)
    others = [new_job("perché")._replace(run_time_s=1e-7)]
    assert decode_jobs(segments.encode(others)) == others
