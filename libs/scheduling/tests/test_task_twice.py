"""No task runs twice while two holders overlap."""

import pytest
from burdockthread_scheduling.records import JobPhase
from burdockthread_scheduling.workers import WorkerKey
from pool_site import POOL, step

ONE, TWO, THREE = (WorkerKey(f"w{number}", 1) for number in (1, 2, 3))


@pytest.fixture
def workers(site):
    for key in (ONE, TWO, THREE):
        site.park.add(key.worker_id, POOL)
    return site.park.by_key


# An idle holder that had lost its pool started a job that its successor had, too.
async def test_holder_without_a_lease_starts_no_job_that_came_since(site, workers):
    lease_left_s = 2.0
    await site.holder(lease_left=lambda: lease_left_s)
    await site.pass_time(0.5)
    lease_left_s = -1.0
    workers[ONE].silent = True
    await site.holder("entry-2", "process-2")
    await site.pass_time(0.3)
    workers[ONE].silent = False
    job = await site.submit(step(4))
    await site.until(lambda: site.phase(job) is JobPhase.COMPLETED)
    assert len(site.runs(job)) == 4


# The same, where the entry itself had offered the pool before its lease ended.
async def test_holder_that_offers_its_pool_starts_no_job_that_came_since(site, workers):
    first = await site.holder(lease_left=lambda: 1.0)
    await site.pass_time(0.5)
    await first.pause()
    workers[ONE].silent = True
    await site.holder("entry-2", "process-2")
    await site.pass_time(0.3)
    workers[ONE].silent = False
    job = await site.submit(step(4))
    await site.until(lambda: site.phase(job) is JobPhase.COMPLETED)
    assert len(site.runs(job)) == 4


# Jobs that come while the store is out of reach must not wait for ever.
async def test_holder_starts_what_came_in_doubt_once_it_is_certain(site, workers):
    lease_left_s = -1.0
    await site.holder(lease_left=lambda: lease_left_s)
    job = await site.submit(step(2))
    await site.pass_time(1.0)
    assert site.runs(job) == []
    lease_left_s = 2.0
    await site.until(lambda: site.phase(job) is JobPhase.COMPLETED, seconds=2.0)
