"""Lasting tasks that are moved while the pool passes to another holder."""

import random

import pytest
from burdockthread_scheduling.memory_runs import TaskNature
from burdockthread_scheduling.worker_state import PlacementPhase
from burdockthread_scheduling.workers import Capacity
from pool_site import POOL, step

STOP_S = 0.9
SERVING = TaskNature(duration_s=float("inf"), startup_s=0.5)
SEEDS = range(4)


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
    site, leave, trouble, seed
):
    luck = random.Random(seed)
    site.park.stop_s = STOP_S
    for number in range(6):
        site.park.add(f"w{number}", POOL, Capacity(2_000, 8_192))
    holder = await site.holder()
    lasting = step(5, lasting=True, max_unavailable=1, max_per_worker=1)
    await site.submit(lasting, nature=SERVING)
    await site.until(lambda: len(site.park.running()) == 5)
    await site.pass_time(1.5)
    serving = [key for key, worker in site.park.by_key.items() if worker.runs]
    leaving = luck.sample(serving, 3)
    for key in leaving:
        trouble(site.park.by_key[key], luck)
    for number in range(6, 9):
        site.park.add(f"w{number}", POOL, Capacity(2_000, 8_192))
    site.vacate = tuple(key.worker_id for key in leaving)
    await site.until(lambda: is_stopping(holder))
    await site.pass_time(luck.uniform(0.0, STOP_S))
    await leave(site, holder)
    # The planner's wishes may have changed, so that another task comes first.
    leaving = luck.sample(serving, 3)
    site.vacate = tuple(key.worker_id for key in leaving)
    await site.holder("entry-2", "process-2")
    await site.until(
        lambda: not any(site.park.by_key[key].runs for key in leaving), seconds=40.0
    )
    await site.until(lambda: len(site.park.running()) == 5)
    assert site.park.violations == []
