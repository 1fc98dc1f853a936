"""Lasting tasks that are moved while the pool passes to another holder."""

import random

import pytest
from burdockthread_model.events import EventLog
from burdockthread_scheduling.memory_runs import TaskNature
from burdockthread_scheduling.worker_state import PlacementPhase
from burdockthread_scheduling.workers import Capacity
from pool_site import POOL, step

STOP_S = 0.9
SERVING = TaskNature(duration_s=float("inf"), startup_s=0.5)
SEEDS = range(4)
# Contact with all workers, the planner's first wish and a round.
SETTLE_S = 0.3


class KeptLog(EventLog):
    """Keeps the events."""

    def __init__(self):
        super().__init__("test")
        self.kept = []

    def info(self, name, **fields):
        """Keeps an event."""
        self.kept.append((name, fields))

    def of(self, name):
        """Returns the fields of the events of a name."""
        return [fields for kept, fields in self.kept if kept == name]


@pytest.fixture
async def log(site):
    found = KeptLog()
    site.log = found
    return found


@pytest.fixture
async def holder(site, log):
    """A holder with five lasting tasks, one of which may be missing."""
    site.park.stop_s = STOP_S
    for number in range(6):
        site.park.add(f"w{number}", POOL, Capacity(2_000, 8_192))
    found = await site.holder()
    lasting = step(5, lasting=True, max_unavailable=1, max_per_worker=1)
    await site.submit(lasting, nature=SERVING)
    await site.until(lambda: len(site.park.running()) == 5)
    await site.pass_time(1.5)
    for number in range(6, 9):
        site.park.add(f"w{number}", POOL, Capacity(2_000, 8_192))
    return found


def serving(site):
    """The workers with runs."""
    return [key for key, worker in site.park.by_key.items() if worker.runs]


def is_empty(site, keys):
    """Whether some workers have no runs."""
    return not any(site.park.by_key[key].runs for key in keys)


def is_stopping(holder):
    """Whether a holder has ordered a stop that has not ended."""
    return any(
        placement.phase is PlacementPhase.STOPPING
        for worker in holder.core.workers.values()
        for placement in worker.placements.values()
    )


async def leave_in_order(site, holder):
    await holder.hand_over()
    await site.kill(holder)


async def be_killed(site, holder):
    await site.kill(holder)


async def lose_the_store(site, holder):
    """The holder goes on without knowing of its successor."""


def answer_in_time(worker, luck):
    """The stop is under way on the worker."""


def lose_the_answer(worker, luck):
    worker.lost_answers = 1


def carry_out_late(worker, luck):
    """The stop is on its way, and tried again."""
    worker.late_orders_s = [luck.uniform(0.05, 1.5)]


def break_the_order(worker, luck):
    """Each try of the stop is on its way for long."""
    worker.late_orders_s = [luck.uniform(0.3, 3.0) for _ in range(4)]


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(
    "trouble", [answer_in_time, lose_the_answer, carry_out_late, break_the_order]
)
@pytest.mark.parametrize("leave", [leave_in_order, be_killed, lose_the_store])
# Guards against a holder that took a run for one at work while the stop of its
# predecessor was under way, and took out another task of the step.
async def test_next_holder_counts_what_its_predecessor_takes_out(
    site, holder, leave, trouble, seed
):
    luck = random.Random(seed)
    candidates = serving(site)
    leaving = luck.sample(candidates, 3)
    for key in leaving:
        trouble(site.park.by_key[key], luck)
    site.vacate = tuple(key.worker_id for key in leaving)
    await site.until(lambda: is_stopping(holder))
    await site.pass_time(luck.uniform(0.0, STOP_S))
    await leave(site, holder)
    # The planner's wishes may have changed, so that another task comes first.
    leaving = luck.sample(candidates, 3)
    site.vacate = tuple(key.worker_id for key in leaving)
    await site.holder("entry-2", "process-2")
    await site.until(lambda: is_empty(site, leaving), seconds=40.0)
    await site.until(lambda: len(site.park.running()) == 5)
    assert site.park.violations == []


@pytest.mark.parametrize("seed", SEEDS)
async def test_holders_that_follow_each_other_quickly_take_out_no_more_than_allowed(
    site, holder, seed
):
    luck = random.Random(seed)
    candidates = serving(site)
    leaves = [leave_in_order, be_killed, lose_the_store]
    for number in range(6):
        leaving = luck.sample(candidates, 3)
        site.vacate = tuple(key.worker_id for key in leaving)
        await site.pass_time(luck.uniform(0.2, 2.0))
        await luck.choice(leaves)(site, holder)
        holder = await site.holder(f"entry-{number}", f"process-{number}")
    await site.until(lambda: is_empty(site, leaving), seconds=40.0)
    assert site.park.violations == []


# Guards against stops whose decision no log shows.
@pytest.mark.parametrize("leave", [leave_in_order, be_killed, lose_the_store])
async def test_each_stop_has_its_line_through_a_takeover(site, holder, log, leave):
    leaving = serving(site)[:3]
    site.vacate = tuple(key.worker_id for key in leaving)
    await site.until(lambda: is_stopping(holder))
    await leave(site, holder)
    await site.holder("entry-2", "process-2")
    await site.until(lambda: is_empty(site, leaving), seconds=40.0)
    stopping = {(line["task"], line["run"]) for line in log.of("run_stopping")}
    assert stopping == site.park.disruptions.ordered
    assert all(line["away"] < line["allowed"] for line in log.of("run_stopping"))
    ended = {line["task"]: line["stopped_here"] for line in log.of("run_ended")}
    first = log.of("run_stopping")[0]["task"]
    assert ended == {task: task != first for task, _ in stopping}


async def test_next_holder_goes_on_once_a_stop_would_have_ended(site, holder):
    await leave_in_order(site, holder)
    await site.holder("entry-2", "process-2")
    site.vacate = tuple(key.worker_id for key in serving(site)[:1])
    await site.until(
        lambda: len(site.park.disruptions.ordered) == 1, seconds=STOP_S + SETTLE_S
    )
