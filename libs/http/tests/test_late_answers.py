"""Answers that arrive while the process does not run.

The pattern: a busy or frozen process finds the time-outs of its calls and their answers
due at the same moment; no callee may be suspected for that.
"""

import asyncio
import time
from contextlib import asynccontextmanager

import pytest
from burdockthread_http.http_calls import running_timeout
from burdockthread_model.clock import SystemClock
from burdockthread_model.events import EventLog
from burdockthread_model.load import LoadMonitor
from burdockthread_model.metrics import MemoryMetrics

TIMEOUT_S = 0.2
BLOCKED_S = 0.4
CALLS = 50


@asynccontextmanager
async def measured_load():
    load = LoadMonitor(SystemClock(), MemoryMetrics(), EventLog("test"))
    measuring = asyncio.create_task(load.run())
    await asyncio.sleep(0)
    yield load
    measuring.cancel()


async def answer_of(load, answer):
    """Waits for an answer within the time-out of a call."""
    async with running_timeout(load, TIMEOUT_S):
        return await answer


async def test_answers_that_arrive_while_the_loop_is_blocked_are_read():
    loop = asyncio.get_running_loop()
    async with measured_load() as load:
        answers = [loop.create_future() for _ in range(CALLS)]
        calls = [asyncio.create_task(answer_of(load, a)) for a in answers]
        loop.call_later(0.01, time.sleep, BLOCKED_S)
        for number, answer in enumerate(answers):
            # Half of them are due before the time-out and half after it.
            loop.call_later(0.15 + 0.002 * number, answer.set_result, number)
        results = await asyncio.gather(*calls, return_exceptions=True)
        assert results == list(range(CALLS))
        assert load.late_s >= BLOCKED_S / 2


async def test_call_without_an_answer_ends_in_time():
    async with measured_load() as load:
        started_s = time.monotonic()
        with pytest.raises(TimeoutError):
            await answer_of(load, asyncio.get_running_loop().create_future())
        assert TIMEOUT_S <= time.monotonic() - started_s < TIMEOUT_S + 0.3


# Guards against a large answer on a slow link that is cut off and asked for again.
async def test_answer_that_arrives_in_parts_is_waited_for():
    async with measured_load() as load, running_timeout(load, TIMEOUT_S) as limit:
        for _ in range(5):
            await asyncio.sleep(TIMEOUT_S * 0.7)
            limit.restart()


async def test_blocked_time_is_added_to_the_time_out():
    async with measured_load() as load:
        started_s = time.monotonic()
        asyncio.get_running_loop().call_later(0.01, time.sleep, BLOCKED_S)
        with pytest.raises(TimeoutError):
            await answer_of(load, asyncio.get_running_loop().create_future())
        assert time.monotonic() - started_s >= BLOCKED_S + TIMEOUT_S / 2


def test_report_names_the_calls_with_the_most_bytes(clock, metrics, log, caplog):
    caplog.set_level("INFO")
    load = LoadMonitor(clock, metrics, log)
    load.note_call("worker.start", 100, 50)
    load.note_call("worker.start", 100, 50)
    load.note_call("store.write", 10, 0)
    load.report(2.0, 0.5)
    assert "cores=0.25" in caplog.text
    assert 'most="worker.start:150B/s,1.0/s store.write:5B/s,0.5/s"' in caplog.text
    assert metrics.counters["sent_bytes.worker.start"] == 200
    assert load.calls.total() == 0
