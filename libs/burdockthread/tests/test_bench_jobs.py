import pytest
from burdockthread import bench_jobs
from burdockthread.job_trial import KLOOFSIG, TRINACRIA


@pytest.mark.parametrize("site", [TRINACRIA, KLOOFSIG])
async def test_targets_hold_on_generated_demand(site):
    found = await bench_jobs.measure_urgent(site, seed=7)
    found.append(await bench_jobs.measure_failing_worker(site, seed=7))
    for measure in found:
        assert measure.holds, measure.line()
        assert measure.baseline > measure.value


@pytest.mark.parametrize("seed", [1, 4])
async def test_a_worker_that_fails_everything_gets_few_jobs(seed):
    measure = await bench_jobs.measure_failing_worker(KLOOFSIG, seed)
    assert measure.holds, measure.line()


async def test_many_cancellations_take_few_writes():
    writes, _ = await bench_jobs.measure_cancellations(seed=7)
    assert writes.value <= 5
