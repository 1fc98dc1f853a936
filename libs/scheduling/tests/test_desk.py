"""Log lines of the job desk for requests that are cancelled before their answer."""

import asyncio
from contextlib import suppress

import pytest
from burdockthread_scheduling.desk import JobDesk
from burdockthread_scheduling.specs import JobSpec, QueueSpec

QUEUE = QueueSpec("quotes", "jobs.example", "/quotes/", "pool-a")


class SilentIntake:
    """An intake whose store never answers."""

    async def submit(self, job, pool):
        await asyncio.Event().wait()

    async def cancel(self, job_id):
        await asyncio.Event().wait()


@pytest.fixture
def desk(clock, metrics, log):
    return JobDesk(None, None, SilentIntake(), clock, metrics, log)


async def give_up(work):
    """Cancels work after it has begun."""
    task = asyncio.create_task(work)
    await asyncio.sleep(0.01)
    task.cancel()
    with suppress(asyncio.CancelledError):
        await task


# Guards against a cancelled submission that is logged as accepted.
async def test_cancelled_submission_is_logged_as_given_up(desk, caplog):
    caplog.set_level("INFO")
    job = JobSpec(job_id="a" * 16, queue="quotes", payload="", steps=())
    await give_up(desk.submit(QUEUE, job, 3.0))
    assert 'outcome="given up"' in caplog.text
    assert "outcome=accepted" not in caplog.text


# Guards against a cancel request that is cut off and logged as done.
async def test_cancel_request_that_is_cut_off_is_logged_as_given_up(desk, caplog):
    caplog.set_level("INFO")
    await give_up(desk.cancel("a" * 16, 3.0))
    assert 'outcome="given up"' in caplog.text


# Guards against jobs stored without the terms of their queue, which operators may
# remove before the job ends.
async def test_accepted_job_is_stored_with_the_terms_of_its_queue(desk):
    stored = []

    async def submit(job, pool):
        stored.append(job)

    desk.intake.submit = submit
    queue = QUEUE._replace(max_attempts=4, priority=2)
    await desk.submit(queue, JobSpec("a" * 16, queue.name, "", ()), 3.0)
    assert [job.terms for job in stored] == [queue.terms()]
