import asyncio

import pytest
from burdockthread_scenarios import endings
from burdockthread_scenarios.driver import ScenarioError
from burdockthread_scenarios.endings import end_tasks, within
from burdockthread_scenarios.language import parse_scenario
from burdockthread_scenarios.memory_driver import memory_driver
from burdockthread_scenarios.runner import ExpectationError, Runner


async def test_a_wait_that_takes_too_long_is_named():
    with pytest.raises(ScenarioError, match=r"the end of entry-1: not within 0.01 s"):
        async with within(0.01, "the end of entry-1"):
            await asyncio.Event().wait()


async def clean_up_slowly(rounds):
    for _ in range(rounds):
        try:
            await asyncio.Event().wait()
        except asyncio.CancelledError:
            continue


async def test_a_task_whose_clean_up_waits_is_ended(monkeypatch):
    monkeypatch.setattr(endings, "END_ROUND_S", 0.01)
    task = asyncio.create_task(clean_up_slowly(3))
    await asyncio.sleep(0)
    await end_tasks([task])
    assert task.done()


async def test_a_task_that_does_not_end_is_named(monkeypatch):
    monkeypatch.setattr(endings, "END_ROUND_S", 0.01)
    task = asyncio.create_task(clean_up_slowly(endings.END_ROUNDS + 2))
    await asyncio.sleep(0)
    with pytest.raises(ScenarioError, match="clean_up_slowly"):
        await end_tasks([task])
    monkeypatch.setattr(endings, "END_ROUNDS", 100)
    await end_tasks([task])


async def test_nothing_of_a_killed_entry_goes_on():
    others = asyncio.all_tasks()
    async with memory_driver(3, 4) as driver:
        await driver.set_fault("vms", "late", 3)
        await driver.send(5, True, "urgent", "entry-2")
        await driver.advance(1.0)
        router = driver.world.entries["entry-2"].entry.router
        assert router.tasks
        await driver.kill("entry-2")
        assert not router.tasks
    assert asyncio.all_tasks() <= others


async def test_requests_without_an_end_are_counted():
    lines = parse_scenario(
        "send 2 keyed urgent requests via entry-2\nfreeze entry-2\nawait answers", "x"
    )
    async with memory_driver(3, 4) as driver:
        with pytest.raises(ExpectationError, match="x:3: 2 requests without an end"):
            await Runner(driver, "x").run(lines)
