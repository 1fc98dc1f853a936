import asyncio

import pytest
from burdockthread_model.clock import SystemClock, settle


async def test_sleepers_wake_in_order_of_their_times(clock):
    woken = []

    async def sleeper(seconds):
        await clock.sleep(seconds)
        woken.append((seconds, clock.now()))

    start_s = clock.now()
    tasks = [asyncio.create_task(sleeper(s)) for s in (3, 1, 2)]
    await clock.advance(2.5)
    assert woken == [(1, start_s + 1), (2, start_s + 2)]
    await clock.advance(1)
    await asyncio.gather(*tasks)
    assert woken[-1] == (3, start_s + 3)


async def test_memory_timeout_ends_a_block(clock):
    async def block():
        async with clock.timeout(2.0):
            await asyncio.Event().wait()

    task = asyncio.create_task(block())
    await clock.advance(1.9)
    assert not task.done()
    await clock.advance(0.2)
    with pytest.raises(TimeoutError):
        await task


async def test_memory_timeout_lets_a_quick_block_pass(clock):
    async with clock.timeout(2.0):
        await settle()
    await clock.advance(5.0)


async def test_system_timeout_ends_a_block():
    with pytest.raises(TimeoutError):
        async with SystemClock().timeout(0.0):
            await asyncio.Event().wait()
