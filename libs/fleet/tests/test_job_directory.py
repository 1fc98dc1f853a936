import asyncio

import pytest
from burdockthread_fleet.job_directory import JobDirectory, jobs_report
from burdockthread_fleet.job_segments import JobSegments
from burdockthread_model.errors import (
    NotFoundError,
    StoreUnavailableError,
    StoreUnknownError,
)
from burdockthread_model.job import Job, JobState
from burdockthread_model.request import RequestClass
from burdockthread_routing.job_ledger import JOB_PREFIX, decode_jobs, encode_jobs
from burdockthread_store.prefix_cache import PrefixCache
from burdockthread_store.store import Change


def new_job(job_id, state=JobState.QUEUED, **fields):
    job = Job(
        job_id,
        "org/ledger",
        "org",
        "desk",
        RequestClass.DEFERRED,
        cores=1.0,
        memory_gb=1.0,
        accelerators=0,
        run_time_s=5.0,
        idempotent=False,
        state=state,
    )
    return job._replace(**fields)


async def write_segment(store, name, *jobs, revision=0):
    key = f"{JOB_PREFIX}org/ledger/{name}"
    await store.write([Change(key, encode_jobs(jobs), revision)])


@pytest.fixture
async def cache(store, clock):
    cache = PrefixCache(store, JOB_PREFIX, clock)
    task = asyncio.create_task(cache.run())
    yield cache
    task.cancel()


@pytest.fixture
async def directory(store, clock, cache, metrics, log):
    return JobDirectory(JobSegments(store, cache, log), clock, metrics, log)


async def run_orders(clock, *work):
    tasks = [asyncio.ensure_future(item) for item in work]
    await clock.advance(3.0)
    return await asyncio.gather(*tasks)


async def stored(store):
    listing = await store.list(JOB_PREFIX)
    jobs = [job for item in listing.items for job in decode_jobs(item.value)]
    return {job.job_id: job.state for job in jobs}


async def test_repeated_cancel_returns_the_same_job_without_a_write(
    store, clock, directory
):
    await write_segment(store, "s", new_job("a"), new_job("b"))
    await clock.advance(0.1)
    first, second = await run_orders(
        clock, directory.cancel("a"), directory.cancel("a")
    )
    assert first == second
    assert first.state is JobState.CANCELLED
    before = store.revision
    (third,) = await run_orders(clock, directory.cancel("a"))
    assert third == first
    assert store.revision == before
    assert await stored(store) == {"a": JobState.CANCELLED, "b": JobState.QUEUED}


async def test_cancel_leaves_an_ended_job_unchanged(store, clock, directory):
    await write_segment(store, "s", new_job("a", JobState.DONE, ended_s=1.0))
    await clock.advance(0.1)
    (job,) = await run_orders(clock, directory.cancel("a"))
    assert job.state is JobState.DONE


async def test_five_thousand_cancellations_take_few_writes(store, clock, directory):
    names = [[f"{s}-{n}" for n in range(500)] for s in range(10)]
    for segment, ids in enumerate(names):
        await write_segment(store, f"s{segment}", *map(new_job, ids))
    await clock.advance(0.1)
    before = store.revision
    ids = [job_id for segment in names for job_id in segment]
    (jobs,) = await run_orders(clock, directory.cancel_all(ids))
    assert {job.state for job in jobs} == {JobState.CANCELLED}
    assert set((await stored(store)).values()) == {JobState.CANCELLED}
    assert store.revision - before <= 5


async def test_cancel_is_decided_again_after_a_conflict(store, clock, directory, cache):
    await write_segment(store, "s", new_job("a"), new_job("b"))
    await clock.advance(0.1)
    key = f"{JOB_PREFIX}org/ledger/s"
    stale = cache.values[key].revision
    cache.put = lambda item: None
    done = [new_job("a", JobState.DONE, ended_s=1.0), new_job("b")]
    await store.write([Change(key, encode_jobs(done), stale)])
    del cache.put
    a, b = await run_orders(clock, directory.cancel("a"), directory.cancel("b"))
    assert (a.state, b.state) == (JobState.DONE, JobState.CANCELLED)


@pytest.mark.parametrize("down_after", [False, True])
async def test_cancel_with_a_lost_answer_is_settled_or_unknown(
    store, clock, directory, down_after
):
    await write_segment(store, "s", new_job("a"))
    await clock.advance(0.1)
    write = store.write

    async def write_without_answer(changes, guards=()):
        await write(changes, guards)
        store.down = down_after
        raise StoreUnknownError("lost")

    store.write = write_without_answer
    if down_after:
        with pytest.raises(StoreUnknownError):
            await run_orders(clock, directory.cancel("a"))
        return
    (job,) = await run_orders(clock, directory.cancel("a"))
    assert job.state is JobState.CANCELLED


async def test_cancel_fails_during_a_store_outage(store, clock, directory):
    await write_segment(store, "s", new_job("a"))
    await clock.advance(0.1)
    with store.outage(), pytest.raises(StoreUnavailableError):
        await run_orders(clock, directory.cancel("a"))
    assert await stored(store) == {"a": JobState.QUEUED}


async def test_unknown_job_or_state_is_not_found(store, clock, directory):
    with pytest.raises(NotFoundError):
        await run_orders(clock, directory.cancel("nobody"))
    with pytest.raises(NotFoundError):
        await directory.list("sleeping", 5)


async def test_a_parked_job_is_released(store, clock, directory):
    await write_segment(
        store, "s", new_job("a", JobState.PARKED, reason="x"), new_job("b")
    )
    await clock.advance(0.1)
    parked = await directory.list("parked", 5)
    assert [job.job_id for job in parked] == ["a"]
    (job,) = await run_orders(clock, directory.release("a"))
    assert job.state is JobState.QUEUED
    assert len(await directory.list("", 1)) == 1


def test_report_contains_counts_and_parked_and_unknown_jobs(snapshot):
    jobs = [
        new_job("a", submitted_s=10.0),
        new_job("b", submitted_s=20.0, request_class=RequestClass.URGENT),
        new_job("c", JobState.PARKED, reason="larger than any VM"),
        new_job("d", JobState.UNKNOWN, reason="worker lost", vm="vm-1", attempt=1),
        new_job("e", JobState.DONE),
    ]
    assert jobs_report(jobs, 100.0, {"vm-2": "3 jobs failed"}, ["org"]) == snapshot


# Guards against an unexpected write error that ends the writer task: its orders
# and all later ones would never be answered.
async def test_order_whose_write_fails_unexpectedly_is_answered(
    store, clock, directory
):
    await write_segment(store, "s", new_job("a"))
    await clock.advance(0.1)
    commit = directory.segments.commit

    async def broken(changes):
        directory.segments.commit = commit
        raise ValueError("broken")

    directory.segments.commit = broken
    waiting = asyncio.create_task(directory.cancel("a"))
    await clock.advance(3.0)
    assert waiting.done()
    with pytest.raises(StoreUnknownError):
        await waiting
    (job,) = await run_orders(clock, directory.cancel("a"))
    assert job.state is JobState.CANCELLED
