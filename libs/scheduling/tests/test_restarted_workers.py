"""What a holder knows of one life of a worker does not count for the next life."""

import pytest
from burdockthread_scheduling.memory_runs import TaskNature
from burdockthread_scheduling.records import JobPhase
from burdockthread_scheduling.roster import WorkerRoster
from pool_site import POOL, step

SHORT = TaskNature(duration_s=0.1)


class DelayedRoster(WorkerRoster):
    """Roster that returns the registrations in `known`, unless None."""

    def __init__(self, park):
        self.park = park
        self.known = None

    def workers(self, pool):
        return self.park.workers(pool) if self.known is None else self.known

    def changed(self):
        return self.park.changed()


@pytest.fixture
def roster(site):
    return DelayedRoster(site.park)


@pytest.fixture
async def seasoned(site, roster):
    """A worker with 20 acknowledged ends, and another one without any."""
    site.park.add("w1", POOL)
    await site.holder(roster=roster)
    await site.pass_time(0.5)
    job = await site.submit(step(20, cpu_milli=700), nature=SHORT)
    await site.until(lambda: site.phase(job) is JobPhase.COMPLETED)
    await site.pass_time(1.0)
    site.park.add("w2", POOL)
    await site.pass_time(1.0)


# Guards against a second run after a success: a poll told the worker's next life to
# forget as many ends as the last life had, and its report was lost.
@pytest.mark.parametrize("lost_reports", [0, 1, 2])
async def test_ends_of_the_next_life_are_not_acknowledged_unseen(
    site, roster, seasoned, lost_reports
):
    roster.known = dict(roster.workers(POOL))
    restarted = site.park.add("w1", POOL, born_ms=2)
    restarted.lost_reports = lost_reports
    jobs = [await site.submit(step(1), nature=SHORT) for _ in range(5)]
    await site.pass_time(0.6)
    roster.known = None
    await site.until(lambda: all(site.phase(j) is JobPhase.COMPLETED for j in jobs))
    assert [len(site.runs(job)) for job in jobs] == [1] * 5
    assert site.park.violations == []


# The worker deletes its ends once no start is outstanding.
async def test_ends_are_acknowledged_beside_a_start_without_an_answer(site, seasoned):
    worker = site.park.worker_by_id("w1")
    long = TaskNature(duration_s=60.0)
    await site.submit(*[step(4)], nature=long)
    worker.lost_answers = 1
    job = await site.submit(step(8), nature=SHORT)
    await site.until(lambda: site.phase(job) is JobPhase.COMPLETED)
    await site.pass_time(1.0)
    assert all(not worker.ended for worker in site.park.by_key.values())
