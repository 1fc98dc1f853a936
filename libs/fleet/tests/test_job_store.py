"""Jobs during store failures, and the retention of ended jobs."""

from burdockthread_model.errors import StoreUnknownError
from burdockthread_model.job import JobState
from burdockthread_routing.job_ledger import JOB_PREFIX, decode_jobs

from .job_site import new_job


async def test_lost_answers_of_the_store_start_nothing_twice(site):
    site.owner()
    write = site.store.write
    lost = []

    async def write_without_answer(changes, guards=()):
        revision = await write(changes, guards)
        if len(lost) < 3:
            lost.append(revision)
            raise StoreUnknownError("the answer was lost")
        return revision

    await site.submit(*(new_job(str(n)) for n in range(6)))
    site.store.write = write_without_answer
    await site.wait(60)
    assert len(lost) == 3
    assert set((await site.states()).values()) == {JobState.DONE}
    assert site.most_starts() == 1


async def test_running_tasks_continue_during_a_store_outage(site):
    site.owner()
    await site.submit(*(new_job(str(n), run_time_s=100.0) for n in range(4)))
    await site.wait(3)
    await site.submit(new_job("late"), segment="s2")
    started = dict(site.workers.starts())
    with site.store.outage():
        await site.wait(150)
        assert dict(site.workers.starts()) == started
    await site.wait(40)
    assert set((await site.states()).values()) == {JobState.DONE}
    assert site.most_starts() == 1


async def test_no_claim_is_made_during_a_store_outage(site):
    site.owner()
    await site.wait(1)
    await site.submit(new_job("a"))
    with site.store.outage():
        await site.wait(20)
        assert not site.workers.starts()
    await site.wait(30)
    assert await site.states() == {"a": JobState.DONE}


async def test_ended_jobs_are_deleted_after_their_retention(site):
    site.owner()
    for number in range(30):
        job = new_job(str(number), run_time_s=1.0)
        await site.submit(job, segment=f"s{number}")
    await site.wait(120)
    keys = (await site.store.list(JOB_PREFIX)).items
    assert len(keys) < 8
    assert len(await site.jobs()) == 30
    unknown = new_job("x", state=JobState.UNKNOWN, ended_s=site.clock.wall())
    await site.submit(unknown, segment="unknown")
    site.clock.time_s += 1_000
    await site.wait(70)
    assert await site.states() == {"x": JobState.UNKNOWN}
    site.clock.time_s += 86_400
    await site.wait(70)
    assert (await site.store.list(JOB_PREFIX)).items == ()


async def test_open_jobs_are_not_merged_with_ended_ones(site):
    site.owner()
    await site.submit(new_job("open", run_time_s=600.0), segment="open")
    for number in range(10):
        await site.submit(new_job(str(number), run_time_s=1.0), segment=f"s{number}")
    await site.wait(120)
    listing = await site.store.list(JOB_PREFIX)
    (segment,) = [i for i in listing.items if b'"open"' in i.value]
    assert [job.job_id for job in decode_jobs(segment.value)] == ["open"]
    assert len(listing.items) == 2
    assert len(await site.jobs()) == 11
