"""Tasks that fill are slowed before they harm the tasks that serve."""

import pytest
from burdockthread_scheduling.memory_runs import TaskNature
from burdockthread_scheduling.workers import Capacity, WorkerSilentError
from pool_site import POOL, step

FOREVER = TaskNature(duration_s=float("inf"))
TARGET_MS = 100.0
HARM_S = 4.0


@pytest.fixture
async def holder(site):
    site.park.add("w1", POOL, Capacity(8_000, 65_536))
    found = await site.holder()
    await site.pass_time(0.5)
    return found


class Neighbours:
    """Tails that grow with the pace of the tasks that fill beside."""

    def __init__(self, site, harm):
        self.site = site
        self.harm = harm
        self.over_s = 0.0
        self.longest_s = 0.0

    def measure(self, worker, run):
        """The tail of a task that serves; processors of another."""
        filling = self.pace(worker)
        return 40.0 + self.harm * filling if run.order.task.step == 0 else 0.0

    def pace(self, worker):
        """The paces of all tasks that fill."""
        return sum(
            run.percent_allowed
            for run in worker.runs.values()
            if run.order.task.step == 1
        )

    def watch(self, seconds):
        """Counts how long the target is broken on end."""
        for worker in self.site.park.by_key.values():
            over = 40.0 + self.harm * self.pace(worker) > TARGET_MS
            self.over_s = self.over_s + seconds if over else 0.0
            self.longest_s = max(self.longest_s, self.over_s)


async def run_beside(site, harm):
    neighbours = Neighbours(site, harm)
    site.park.measure = neighbours.measure
    await site.submit(
        step(2, lasting=True, target_ms=TARGET_MS),
        step(3, lasting=True, fills=True),
        nature=FOREVER,
    )
    for _ in range(300):
        await site.pass_time(0.05)
        neighbours.watch(0.05)
    return neighbours


async def test_filling_tasks_are_slowed_well_before_they_harm(site, holder):
    neighbours = await run_beside(site, harm=1.0)
    assert neighbours.longest_s < HARM_S / 2
    assert len(site.park.running()) == 5


async def test_filling_tasks_that_do_no_harm_run_at_full_pace(site, holder):
    neighbours = await run_beside(site, harm=0.0)
    (worker,) = site.park.by_key.values()
    assert neighbours.pace(worker) == 300


async def test_run_whose_pace_cannot_be_set_is_stopped(site, holder):
    async def unanswered(*_):
        raise WorkerSilentError("no answer")

    site.park.pace = unanswered
    neighbours = Neighbours(site, 1.0)
    site.park.measure = neighbours.measure
    await site.submit(
        step(1, lasting=True, target_ms=TARGET_MS),
        step(1, lasting=True, fills=True),
        nature=FOREVER,
    )
    await site.until(lambda: site.metrics.counters["runs.stopped"] > 0, seconds=HARM_S)


# Guards against runs ended for their pace without regard to those missing already.
async def test_runs_whose_pace_cannot_be_set_are_stopped_within_what_may_be_missing(
    site, holder
):
    async def unanswered(*_):
        raise WorkerSilentError("no answer")

    site.park.stop_s = 0.9
    for number in range(2, 5):
        site.park.add(f"w{number}", POOL, Capacity(8_000, 65_536))
    neighbours = Neighbours(site, 1.0)
    site.park.measure = neighbours.measure
    site.park.pace = unanswered
    await site.submit(
        step(3, lasting=True, target_ms=TARGET_MS, max_per_worker=1),
        step(3, lasting=True, fills=True, max_per_worker=1, max_unavailable=1),
        nature=FOREVER._replace(startup_s=0.5),
    )
    await site.until(lambda: site.metrics.counters["runs.stopped"] > 1, seconds=15.0)
    assert site.park.violations == []


# Guards against a task that was slowed by an earlier holder and stays slow alone.
async def test_next_holder_speeds_up_what_its_predecessor_has_slowed(site, holder):
    neighbours = Neighbours(site, 1.0)
    site.park.measure = neighbours.measure
    serving = await site.submit(
        step(1, lasting=True, target_ms=TARGET_MS), nature=FOREVER
    )
    await site.submit(step(1, lasting=True, fills=True), nature=FOREVER)
    (worker,) = site.park.by_key.values()
    await site.until(lambda: any(r.percent_allowed < 100 for r in worker.runs.values()))
    await site.kill(holder)
    await site.intake.cancel(serving)
    await site.holder("entry-2", "process-2")
    await site.until(lambda: len(worker.runs) == 1)
    await site.until(
        lambda: all(r.percent_allowed == 100 for r in worker.runs.values()),
        seconds=2.0,
    )
