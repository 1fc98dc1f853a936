"""What a job has used up and saved survives every change of the holder."""

import pytest
from burdockthread_scheduling.board import JobRun
from burdockthread_scheduling.memory_runs import TaskNature
from burdockthread_scheduling.records import JobPhase, JobProgress, decode, encode
from burdockthread_scheduling.specs import JobSpec
from pool_site import CONFIGURATION, POOL, QUEUE, step

ATTEMPTS = CONFIGURATION.queues[QUEUE].max_attempts
SLOW_STORE_S = 0.3
SAVED_S = 3.0
KINDS = {
    "plain": ({}, {}),
    "scheduled": ({}, {"repetitions": 2}),
    "gang": ({"gang": True}, {}),
}
LASTING = {**KINDS, "lasting": ({"lasting": True}, {})}


async def stop_as_planned(site, first):
    await first.hand_over()
    await site.kill(first)


async def be_killed(site, first):
    await site.kill(first)


async def lose_the_lease(site, first):
    first.core.lose("the lease was lost")
    await site.pass_time(0.3)


async def meet_a_slow_store(site, first):
    site.faulty.set_faults({"slow_s": SLOW_STORE_S})
    await site.kill(first)


CHANGES = (stop_as_planned, be_killed, lose_the_lease, meet_a_slow_store)


@pytest.fixture
def submit(site):
    """Submits a job of a kind that is due at once; returns its id."""

    async def submit(kind, nature, tasks=1):
        fields, times = LASTING[kind]
        if times:
            times = {
                **times,
                "first_run_ms": int(site.clock.wall() * 1000),
                "interval_ms": 3_600_000,
            }
        if fields.get("gang"):
            nature = nature._replace(gang=tasks)
        steps = step(tasks, checkpointing=True, **fields)
        return await site.submit(steps, nature=nature, **times)

    return submit


async def settle_ends(site):
    """Lets the workers' ends be stored and acknowledged."""
    await site.until(lambda: not any(w.ended for w in site.park.by_key.values()))


# Guards against attempts that a new holder forgets: those of scheduled jobs were lost
# once the worker had forgotten the ends, and a failing task was started again.
@pytest.mark.parametrize("change", CHANGES, ids=lambda change: change.__name__)
@pytest.mark.parametrize("kind", KINDS)
async def test_attempts_survive_a_change_of_the_holder(site, submit, kind, change):
    site.park.add("w1", POOL)
    first = await site.holder()
    # Another job keeps the worker polled, so that ends are acknowledged.
    await site.submit(step(1), nature=TaskNature(duration_s=60.0))
    job = await submit(kind, TaskNature(fails=True))
    await site.until(lambda: len(site.runs(job)) == ATTEMPTS - 1)
    await site.until(lambda: site.runs(job)[-2].kind is not None)
    await site.pass_time(0.2)
    await change(site, first)
    await site.holder("entry-2", "process-2")
    await site.until(lambda: site.phase(job) is JobPhase.FAILED)
    failed = [run for run in site.runs(job) if run.kind == "failed"]
    assert len(failed) == ATTEMPTS


# The same for saved progress, also that of a run that was stopped and acknowledged.
@pytest.mark.parametrize("change", CHANGES, ids=lambda change: change.__name__)
@pytest.mark.parametrize("kind", LASTING)
async def test_saved_progress_survives_a_change_of_the_holder(
    site, submit, kind, change
):
    worker = site.park.add("w1", POOL)
    first = await site.holder()
    await site.submit(step(1), nature=TaskNature(duration_s=60.0))
    job = await submit(kind, TaskNature(duration_s=60.0, checkpointing=True))
    await site.until(lambda: site.runs(job))
    await site.pass_time(SAVED_S + 0.5)
    (run,) = site.runs(job)
    first.closing = True
    worker.stop(run.task, run.run, first.core.tenure.fence)
    await site.until(lambda: site.runs(job)[0].kind == "stopped")
    await settle_ends(site)
    await change(site, first)
    orders = []
    start = worker.try_start

    def record_start(order):
        orders.append(order)
        return start(order)

    worker.try_start = record_start
    await site.holder("entry-2", "process-2")
    await site.until(lambda: any(o.task == run.task for o in orders))
    again = next(order for order in orders if order.task == run.task)
    assert int(again.checkpoint or 0) >= SAVED_S


def test_progress_of_an_occurrence_is_restored_before_it_is_opened():
    spec = JobSpec("1" * 16, QUEUE, "", (step(2),), 3, 10**15, 1_000)
    stored = JobProgress(True, {}, {"1.0.0": (7, 8)}, {"1.0.1": "saved"})
    job = JobRun(spec, CONFIGURATION.queues[QUEUE], 1, adopted=True)
    job.restore(decode(encode(stored), JobProgress))
    first, second = job.occurrences[1][0].open_tasks.values()
    assert first.failures == {7, 8}
    assert second.checkpoint == "saved"
    assert job.progress() == stored
