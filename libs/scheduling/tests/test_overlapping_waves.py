"""Upkeep of a machine counts for the wave that it was ordered for, and for no other."""

import pytest
from burdockthread_model.errors import PlatformError
from burdockthread_scheduling.machines import Wave
from planned_site import planned_site
from pool_site import POOL

WAVES = {
    1: ("m0", "m1", "m2", "m3", "m6", "m7"),
    2: ("m2", "m3", "m4", "m5", "m7", "m8"),
    3: ("m0", "m2", "m4", "m6", "m8", "m9"),
}
DURATION_S = 60.0
LIMIT_S = 90.0
STEP_S = 0.1


@pytest.fixture
async def site():
    async with planned_site() as found:
        yield found


def ask(site, number, most=3):
    """Requests a wave."""
    site.waves.asked.append(Wave(number, WAVES[number], DURATION_S, most))


def check(site):
    """No wave is said to be completed while a machine that stays is left."""
    for number, completed in site.waves.told.items():
        staying = set(WAVES[number]) & site.machines.by_name.keys()
        if completed:
            assert staying <= set(site.machines.maintained.get(number, ())), number


async def finish(site, numbers, seconds=LIMIT_S):
    """Lets time pass until some waves are completed, and checks every report."""
    for _ in range(int(seconds / STEP_S)):
        await site.pass_time(STEP_S)
        check(site)
        if all(site.waves.told.get(number) for number in numbers):
            return
    raise AssertionError(f"not completed: {site.waves.told}")


# Guards against a machine in upkeep for one wave that is counted for another, which is
# then said to be completed.
async def test_overlapping_waves_maintain_all_their_machines(site):
    for number in WAVES:
        ask(site, number)
        await site.pass_time(0.5)
        check(site)
    await finish(site, WAVES)


# The same where the planner is killed: before, during and after orders and upkeep.
@pytest.mark.parametrize("after_s", [0.1, 0.3, 0.6, 1.0, 1.5, 2.1, 2.7, 3.5, 5.0])
async def test_waves_are_whole_after_a_planner_is_killed(site, after_s):
    site.machines.delay_s = 0.1
    for number in WAVES:
        ask(site, number)
    for turn in range(3):
        await site.pass_time(after_s)
        check(site)
        await site.kill(site.planners[-1])
        await site.planner(f"entry-{turn}")
    await finish(site, WAVES)


# The same where orders take effect without an answer.
async def test_unanswered_upkeep_counts_for_its_wave_alone(site):
    maintain = site.machines.maintain
    lost = []

    async def lose_answers(machine, wave, holder, fence):
        await maintain(machine, wave, holder, fence)
        if (machine, wave) not in lost:
            lost.append((machine, wave))
            raise PlatformError("the answer was lost")

    site.machines.maintain = lose_answers
    for number in WAVES:
        ask(site, number)
    await finish(site, WAVES)
    orders = [order for order in site.machines.orders if order.purpose == "upkeep"]
    assert len(orders) == sum(len(names) for names in WAVES.values())


async def test_machine_that_leaves_and_comes_back_is_maintained(site):
    ask(site, 2, most=1)
    del site.machines.by_name["m8"]
    await finish(site, [2])
    site.machines.add("m8", POOL)
    await site.pass_time(2.0)
    await finish(site, [2])
    assert "m8" in site.machines.maintained[2]
