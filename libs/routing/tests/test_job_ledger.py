import asyncio

import pytest
from burdockthread_model.clock import settle
from burdockthread_model.errors import (
    BadRequestError,
    ConflictError,
    OverloadedError,
    StoreUnavailableError,
    StoreUnknownError,
)
from burdockthread_model.verdict import Verdict
from burdockthread_routing.job_ledger import (
    MAX_JOB_BYTES,
    MAX_WAITING_JOBS,
    MAX_WRITE_BYTES,
)


@pytest.fixture
def submit(ledger, clock):
    def start(job, patience_s=10.0):
        return asyncio.create_task(ledger.submit(job, clock.now() + patience_s))

    return start


async def ended(tasks):
    all_ended = asyncio.gather(*tasks, return_exceptions=True)
    results = await asyncio.wait_for(all_ended, 10.0)
    return [None if r is None else r.verdict for r in results]


async def test_a_job_is_accepted_only_once_recorded(
    submit, slow_store, clock, new_job, recorded
):
    slow_store.write_time_s = 1.0
    task = submit(new_job())
    await clock.advance(0.9)
    assert not task.done()
    await clock.advance(0.2)
    assert task.done()
    assert [job.job_id for job in await recorded()] == ["job-1"]


async def test_many_jobs_share_few_writes(submit, slow_store, clock, new_job, recorded):
    tasks = []
    for _ in range(20):
        tasks += [submit(new_job(service=f"org/s{n % 5}")) for n in range(100)]
        await clock.advance(0.05)
    await clock.advance(2.0)
    assert await ended(tasks) == [None] * 2000
    assert len(await recorded()) == 2000
    assert len(slow_store.writes) <= 6


async def test_a_write_stays_within_its_bounds(submit, slow_store, clock, new_job):
    tasks = [submit(new_job("x" * 50_000)) for _ in range(60)]
    await clock.advance(5.0)
    assert await ended(tasks) == [None] * 60
    sizes = [sum(len(c.value) for c in changes) for changes in slow_store.writes]
    assert max(sizes) <= MAX_WRITE_BYTES
    assert len(sizes) == 4


@pytest.mark.parametrize(
    ("error", "verdict"),
    [
        (StoreUnavailableError("down"), Verdict.NOT_RUN),
        (ConflictError("exists"), Verdict.NOT_RUN),
        (StoreUnknownError("lost"), Verdict.UNKNOWN),
        (ZeroDivisionError(), Verdict.UNKNOWN),
    ],
)
async def test_a_failed_write_is_reported_and_the_next_succeeds(
    submit, slow_store, clock, new_job, recorded, error, verdict
):
    slow_store.error = error
    tasks = [submit(new_job()) for _ in range(3)]
    await clock.advance(0.1)
    assert await ended(tasks) == [verdict] * 3
    slow_store.error = None
    task = submit(new_job())
    await clock.advance(1.0)
    assert await ended([task]) == [None]
    assert len(await recorded()) == 1


async def test_a_deadline_before_the_write_is_not_run(
    submit, slow_store, clock, new_job, recorded
):
    slow_store.write_time_s = 5.0
    sent = submit(new_job(), patience_s=2.0)
    await clock.advance(0.1)
    waiting = submit(new_job(), patience_s=2.0)
    await clock.advance(3.0)
    assert await ended([sent, waiting]) == [Verdict.UNKNOWN, Verdict.NOT_RUN]
    await clock.advance(20.0)
    assert [job.job_id for job in await recorded()] == ["job-1"]


async def test_waiting_submissions_are_bounded(submit, slow_store, clock, new_job):
    slow_store.write_time_s = 60.0
    first = submit(new_job())
    await clock.advance(0.1)
    tasks = [submit(new_job()) for _ in range(MAX_WAITING_JOBS + 1)]
    await settle()
    assert isinstance(tasks[-1].exception(), OverloadedError)
    assert tasks[-1].exception().verdict is Verdict.NOT_RUN
    for task in [first, *tasks]:
        task.cancel()


async def test_a_job_that_is_too_large_is_refused(submit, new_job):
    task = submit(new_job("x" * MAX_JOB_BYTES))
    await settle()
    assert isinstance(task.exception(), BadRequestError)
