"""Detection of peaks of demand, and the machines a pool keeps for its next peak."""

import pytest
from burdockthread_model.events import EventLog
from burdockthread_scheduling.demand_peaks import DemandPeaks
from burdockthread_scheduling.memory_runs import TaskNature
from burdockthread_scheduling.pool_status import PoolStatus, WorkerStatus
from burdockthread_scheduling.records import JobPhase
from burdockthread_scheduling.workers import Capacity
from planned_site import SPACING_S, planned_site
from pool_site import POOL, step

CONFIRMED_S = 2.0
REPORT_S = 0.1
RESERVE = 4


@pytest.fixture
async def site():
    async with planned_site() as found:
        await found.until(lambda: found.workers() == RESERVE)
        await found.pass_time(SPACING_S)
        yield found


@pytest.fixture
def peaks():
    return DemandPeaks(CONFIRMED_S, EventLog("test"))


def status(inflow_milli, pool=POOL):
    """A pool of ten workers with sixteen cores each."""
    workers = tuple(
        WorkerStatus(f"{pool}-{n}", 16_000, 0, 0, 0, False, True, 0.0)
        for n in range(10)
    )
    return PoolStatus(pool, 1, 0, 0, 0.0, inflow_milli, workers, {})


def note(peaks, inflow_milli, from_s, until_s, pool=POOL):
    """Reports the same inflow for a while."""
    for number in range(round((until_s - from_s) / REPORT_S) + 1):
        peaks.note(status(inflow_milli, pool), from_s + number * REPORT_S)


async def fewest_workers(site, seconds):
    """Lets time pass and returns the fewest workers that the pool had."""
    fewest = site.workers()
    left_s = seconds
    while left_s > 0:
        await site.pass_time(REPORT_S)
        left_s -= REPORT_S
        fewest = min(fewest, site.workers())
    return fewest


# Guards against one wide job that counts as a peak, so that the pool switches its
# reserve off.
async def test_one_wide_job_does_not_switch_the_reserve_off(site):
    nature = TaskNature(duration_s=0.5, size=Capacity(1_000, 256))
    job = await site.submit(step(16, estimated_ms=2_000), nature=nature)
    assert await fewest_workers(site, 6.0) == RESERVE
    assert site.phase(job) is JobPhase.COMPLETED


# Guards against a pool that switches its reserve off as its own peak begins.
async def test_pool_keeps_its_reserve_while_its_peak_begins(site):
    nature = TaskNature(duration_s=0.5, size=Capacity(1_000, 256))
    await site.submit(step(16, estimated_ms=2_000), nature=nature)
    await site.pass_time(0.6)
    fewest = RESERVE
    for _ in range(4):
        await site.submit(step(24, estimated_ms=1_000), nature=nature)
        fewest = min(fewest, await fewest_workers(site, 0.2))
    assert fewest >= RESERVE


def test_peak_counts_once_demand_has_lasted(peaks):
    note(peaks, 100_000, 0.0, CONFIRMED_S - REPORT_S)
    assert POOL not in peaks.last_peak_s
    note(peaks, 100_000, CONFIRMED_S, CONFIRMED_S + 1.0)
    assert peaks.last_peak_s[POOL] == pytest.approx(CONFIRMED_S + 1.0)


def test_short_bursts_far_apart_are_no_peak(peaks):
    for second in range(10):
        note(peaks, 100_000, second, second + 0.3)
        note(peaks, 0, second + 0.4, second + 0.9)
    assert peaks.ranks([POOL]) == {POOL: 1.0}


def test_short_pause_in_demand_does_not_end_a_peak(peaks):
    note(peaks, 100_000, 0.0, 1.0)
    note(peaks, 0, 1.1, 1.3)
    note(peaks, 100_000, 1.4, CONFIRMED_S)
    assert POOL in peaks.last_peak_s
