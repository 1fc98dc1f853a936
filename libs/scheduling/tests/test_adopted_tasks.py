"""Tasks of a new holder while a worker of the earlier one is out of reach."""

import pytest
from burdockthread_scheduling.memory_runs import TaskNature
from burdockthread_scheduling.records import JobPhase
from pool_site import POOL, step

FOREVER = TaskNature(duration_s=float("inf"))
# Two tasks of this size do not fit on one worker.
HALF = 10_000
PROMPT_S = 1.5


@pytest.fixture
async def lone_holder(site):
    """Returns a function that has another entry take over without one worker.

    It takes the id of the worker that stays out of reach, and whether the other entry
    learns that the process of the earlier holder has ended.
    """
    first = await start(site)

    async def take_over(worker_id, *, is_ended=True):
        site.park.worker_by_id(worker_id).silent = True
        await site.kill(first)
        if is_ended:
            site.processes["entry-1"] = None
        second = await site.holder("entry-2", "process-2")
        await site.pass_time(0.3)
        assert [key.worker_id for key in second.workers.assignment.unreached] == [
            worker_id
        ]
        return second

    return take_over


async def start(site):
    for name in ("w1", "w2"):
        site.park.add(name, POOL)
    holder = await site.holder()
    await site.pass_time(0.5)
    return holder


def drain(site, worker_id):
    worker = site.park.worker_by_id(worker_id)
    worker.listing = worker.listing._replace(draining=True, remaining_ms=60_000)


# Guards against a lasting task that stands still: the new holder stops it on one worker
# and starts it on no other, because it still waits for a third.
async def test_lasting_task_moves_while_another_worker_is_out_of_reach(
    site, lone_holder
):
    job = await site.submit(step(2, cpu_milli=HALF, lasting=True), nature=FOREVER)
    await site.until(lambda: len(site.runs(job)) == 2)
    await site.pass_time(0.5)
    await lone_holder("w1")
    site.park.add("w3", POOL)
    await site.pass_time(0.5)
    drain(site, "w2")
    await site.until(lambda: len(site.runs(job)) == 3, seconds=PROMPT_S)
    assert site.runs(job)[-1].worker.worker_id == "w3"


# The step after tasks that the new holder has seen at work was not begun before.
async def test_next_step_starts_while_another_worker_is_out_of_reach(site, lone_holder):
    first = step(1, cpu_milli=HALF)
    job = await site.submit(first, step(1, after=(0,)))
    other = await site.submit(step(1, cpu_milli=HALF, lasting=True), nature=FOREVER)
    await site.until(lambda: len(site.park.running()) == 2)
    await site.pass_time(0.2)
    await lone_holder(site.runs(other)[0].worker.worker_id)
    await site.until(lambda: site.phase(job) is JobPhase.COMPLETED, seconds=3.5)


# A task that no worker has listed may run on the one that is out of reach.
async def test_unlisted_task_waits_for_the_worker_out_of_reach(site, lone_holder):
    job = await site.submit(step(2, cpu_milli=HALF, lasting=True), nature=FOREVER)
    await site.until(lambda: len(site.runs(job)) == 2)
    await site.pass_time(0.5)
    await lone_holder("w1")
    site.park.add("w3", POOL)
    await site.pass_time(5.0)
    assert len(site.runs(job)) == 2


# A holder that nobody reaches may be at work, and may know more than the next one: a
# cut-off one learnt of an end and restarted the task on the worker out of reach.
async def test_lasting_task_waits_while_the_earlier_holder_may_be_at_work(
    site, lone_holder
):
    job = await site.submit(step(2, cpu_milli=HALF, lasting=True), nature=FOREVER)
    await site.until(lambda: len(site.runs(job)) == 2)
    await site.pass_time(0.5)
    await lone_holder("w1", is_ended=False)
    site.park.add("w3", POOL)
    await site.pass_time(0.5)
    drain(site, "w2")
    await site.pass_time(3.0)
    assert len(site.runs(job)) == 2
    # By then the lease of the other task has run out too.
    site.park.worker_by_id("w1").silent = False
    await site.until(lambda: len(site.runs(job)) == 4, seconds=PROMPT_S)


# A listing that was requested before the earlier holder had sent its last order tells
# nothing of what that holder started after it.
async def test_tasks_listed_before_the_last_order_wait_for_a_later_list(
    site, lone_holder
):
    job = await site.submit(step(2, cpu_milli=HALF, lasting=True), nature=FOREVER)
    await site.until(lambda: len(site.runs(job)) == 2)
    await site.pass_time(0.5)
    second = await lone_holder("w1", is_ended=False)
    listed = next(
        task
        for task in second.core.board.jobs[job].open_tasks()
        if any(placement.worker.worker_id == "w2" for placement in task.placements)
    )
    assert not listed.located
    site.processes["entry-1"] = None
    await site.until(lambda: listed.located, seconds=PROMPT_S)
