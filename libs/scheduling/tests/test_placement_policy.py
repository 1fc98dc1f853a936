"""Decisions of the placement policy: their validity, and the line in front of it."""

import asyncio

import pytest
from burdockthread_model.clock import MemoryClock
from burdockthread_model.events import EventLog
from burdockthread_model.metrics import MemoryMetrics
from burdockthread_scheduling.memory_runs import TaskNature
from burdockthread_scheduling.placement_policy import (
    MAX_REQUESTS,
    PolicyAnswer,
    PolicyService,
    PolicyTickets,
    StepId,
)
from burdockthread_scheduling.records import JobPhase
from burdockthread_scheduling.specs import PlacementPolicyTimes, TaskId
from burdockthread_scheduling.workers import OrderAnswer, Refusal, WorkerGateway
from pool_site import CONFIGURATION, POOL, QUEUE, step

VALID_S = 3.0
WORKERS = ("w1", "w2", "w3", "w4", "w5", "w6")


class LineService(PolicyService):
    """Handles one call at a time and allows each step on every second worker.

    Attributes:
        call_s: Seconds that the service takes for a call.
        until_s: Clock time until which a ticket is valid.
    """

    def __init__(self, clock, call_s=0.1, valid_s=VALID_S):
        self.clock = clock
        self.call_s = call_s
        self.valid_s = valid_s
        self.until_s = {}
        self.line = asyncio.Lock()

    async def ask(self, step, workers):
        async with self.line:
            sent_s = self.clock.now()
            await self.clock.sleep(self.call_s)
            now = self.clock.now()
            allowed = workers[::2]
            tickets = {w: f"{step}-{w}-{now}" for w in allowed}
            for text in tickets.values():
                self.until_s[text] = now + self.valid_s
            return PolicyAnswer(tickets, self.valid_s, now - sent_s)


class TicketGateway(WorkerGateway):
    """Workers that reject starts without a valid ticket.

    Attributes:
        rejected: Number of starts rejected.
    """

    def __init__(self, gateway, service):
        self.gateway = gateway
        self.service = service
        self.rejected = 0

    async def start(self, worker, order, timeout_s):
        if self.service.clock.now() > self.service.until_s.get(order.ticket, 0.0):
            self.rejected += 1
            return OrderAnswer(Refusal.NO_TICKET, 1)
        return await self.gateway.start(worker, order, timeout_s)

    async def stop(self, *order):
        return await self.gateway.stop(*order)

    async def pace(self, *order):
        return await self.gateway.pace(*order)

    async def hold(self, *order):
        return await self.gateway.hold(*order)

    async def close(self):
        await self.gateway.close()


@pytest.fixture
def policed(site):
    """Returns a function that starts a holder whose queue has a placement policy."""

    async def start(**times):
        queue = CONFIGURATION.queues[QUEUE]._replace(
            placement_policy=PlacementPolicyTimes(70, 5, VALID_S * 1000)
        )
        site.configuration = CONFIGURATION._replace(queues={QUEUE: queue})
        site.policy = LineService(site.clock, **times)
        for worker_id in WORKERS:
            site.park.add(worker_id, POOL)
        gateway = TicketGateway(site.park, site.policy)
        await site.holder(gateway=gateway)
        await site.pass_time(0.5)
        return gateway

    return start


async def burst(site, jobs):
    """Submits jobs side by side; returns their ids."""
    nature = TaskNature(duration_s=0.8)
    step_ = step(6, cpu_milli=1_100)
    submitting = [
        asyncio.create_task(site.submit(step_, nature=nature)) for _ in range(jobs)
    ]
    await site.pass_time(0.3)
    return [await task for task in submitting]


# Guards against a line in front of the policy service whose wait counts against the
# tickets: once it was longer than their validity, no accepted job ever started.
@pytest.mark.parametrize("valid_s", [VALID_S, 0.8, 0.25])
async def test_burst_on_a_queue_with_a_policy_is_worked_off(site, policed, valid_s):
    gateway = await policed(valid_s=valid_s)
    jobs = await burst(site, 60)
    await site.until(
        lambda: all(site.phase(job) is JobPhase.COMPLETED for job in jobs), seconds=40.0
    )
    assert gateway.rejected <= len(jobs)


# The same where the service itself takes longer than its tickets are said to last.
async def test_tickets_that_arrive_late_are_tried(site, policed):
    await policed(call_s=VALID_S + 0.5)
    jobs = await burst(site, 1)
    await site.until(lambda: site.phase(jobs[0]) is JobPhase.COMPLETED)


@pytest.fixture
def clock():
    return MemoryClock()


@pytest.fixture
def tickets(clock):
    return PolicyTickets(LineService(clock), clock, MemoryMetrics(), EventLog("test"))


def steps(count):
    """Ids of the first steps of some jobs."""
    return [StepId(f"job-{number}", 0, 0) for number in range(count)]


def test_few_requests_are_in_progress_and_urgent_steps_come_first(tickets):
    for wanted in steps(9):
        tickets.want(wanted, WORKERS)
    assert [s for s, _ in tickets.begin_requests()] == steps(9)[:MAX_REQUESTS]
    for wanted in steps(9):
        tickets.want(wanted, WORKERS)
    assert tickets.begin_requests() == []


# Guards against urgent steps that ask again and again while others never do.
async def test_step_asked_longest_ago_comes_first(tickets, clock):
    asked = []
    for _ in range(6):
        for wanted in steps(6):
            tickets.want(wanted, WORKERS)
        for wanted, workers in tickets.begin_requests():
            asked.append(wanted)
            asking = asyncio.create_task(tickets.ask(wanted, workers))
            await clock.advance(0.2)
            await asking
    assert asked == steps(6) * 2


async def test_decisions_of_ended_jobs_are_removed(tickets, clock):
    first, second = steps(2)
    for wanted in (first, second):
        asking = asyncio.create_task(tickets.ask(wanted, WORKERS))
        await clock.advance(0.2)
        await asking
    tickets.keep_only([second.job_id])
    assert set(tickets.asked_s) == set(tickets.tickets) == {second}
    assert tickets.ticket(TaskId(first.job_id, 0, 0, 0), "w1") == ""
