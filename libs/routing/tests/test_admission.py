import asyncio

import pytest
from burdockthread_model.clock import settle
from burdockthread_model.errors import OverloadedError
from burdockthread_model.verdict import Verdict
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

FLOOD_S = 5.0
MODEST = {"urgent": 30, "standard": 15, "deferred": 6}


async def run_offers(clock, pool, offers, seconds=FLOOD_S):
    tasks = [asyncio.create_task(offer) for offer in offers]
    await clock.advance(seconds + 20.0)
    await asyncio.gather(*tasks)
    return await asyncio.gather(*pool.tasks, return_exceptions=True)


@pytest.mark.parametrize("flood", ["urgent", "standard", "deferred"])
async def test_a_flood_of_one_class_leaves_the_others_their_minimum(
    clock, new_pool, new_request, flood
):
    pool = new_pool()
    offers = [
        pool.offer(new_request, 400 if name == flood else rate, FLOOD_S, name)
        for name, rate in MODEST.items()
    ]
    await run_offers(clock, pool, offers)
    for name, rate in MODEST.items():
        if name != flood:
            assert pool.served[name, ""] >= 0.99 * rate * FLOOD_S, name
    assert max(pool.waits["urgent", ""]) < 7.1
    assert pool.served.total() >= 0.95 * 80 * FLOOD_S


async def test_a_class_alone_uses_every_slot(clock, new_pool, new_request):
    pool = new_pool()
    await run_offers(
        clock, pool, [pool.offer(new_request, 80, FLOOD_S, "deferred", "")]
    )
    assert pool.served["deferred", ""] == 80 * FLOOD_S


async def test_teams_share_by_weight_and_a_team_below_its_share_is_not_limited(
    clock, new_pool, new_request
):
    pool = new_pool(weights={"heavy": 3.0, "light": 1.0, "modest": 1.0})
    rates = {"heavy": 200, "light": 200, "modest": 10}
    offers = [
        pool.offer(new_request, rate, FLOOD_S, "standard", team)
        for team, rate in rates.items()
    ]
    await run_offers(clock, pool, offers)
    assert pool.served["standard", "modest"] == rates["modest"] * FLOOD_S
    heavy, light = (pool.served["standard", team] for team in ("heavy", "light"))
    assert 2.5 <= heavy / light <= 3.5


async def test_unknown_teams_share_one_queue(clock, new_pool, new_request):
    pool = new_pool(weights={"known": 1.0})
    offers = [
        pool.offer(new_request, 20, FLOOD_S, "standard", f"invented-{number}")
        for number in range(20)
    ]
    offers.append(pool.offer(new_request, 30, FLOOD_S, "standard", "known"))
    await run_offers(clock, pool, offers)
    assert pool.served["standard", "known"] == 30 * FLOOD_S
    teams = pool.admission.queues["org/svc"].classes["standard"].teams
    assert set(teams) == {"org/", "org/known"}


async def test_a_request_that_cannot_meet_its_deadline_is_refused_at_once(
    clock, new_pool, new_request
):
    pool = new_pool(slots=1, hold_s=1.0)
    tasks = [asyncio.create_task(pool.call(new_request())) for _ in range(6)]
    await clock.advance(1.5)
    hopeless = asyncio.create_task(pool.call(new_request(deadline_s=3.0)))
    await settle()
    assert hopeless.done()
    error = hopeless.exception()
    assert isinstance(error, OverloadedError)
    assert error.verdict is Verdict.NOT_RUN
    assert 1.0 <= error.retry_after_s <= 5.0
    in_time = asyncio.create_task(pool.call(new_request(deadline_s=8.0)))
    await clock.advance(8.0)
    await asyncio.gather(in_time, *tasks)


async def test_a_request_waits_no_longer_than_its_deadline(
    clock, new_pool, new_request
):
    pool = new_pool(slots=0)
    urgent = asyncio.create_task(pool.call(new_request("urgent", deadline_s=60.0)))
    standard = asyncio.create_task(pool.call(new_request(deadline_s=2.0)))
    await clock.advance(2.0)
    assert isinstance(standard.exception(), OverloadedError)
    assert standard.exception().status == 503
    await clock.advance(4.9)
    assert not urgent.done()
    await clock.advance(0.2)
    assert isinstance(urgent.exception(), OverloadedError)
    assert not len(pool.admission.queues["org/svc"])


async def test_urgent_work_starts_in_time_when_requests_take_long(
    clock, new_pool, new_request
):
    pool = new_pool(slots=4, hold_s=20.0)
    flood = [
        asyncio.create_task(pool.call(new_request("deferred", deadline_s=300.0)))
        for _ in range(12)
    ]
    await clock.advance(21.0)
    assert pool.free == 1
    urgent = asyncio.create_task(pool.call(new_request("urgent", deadline_s=300.0)))
    await clock.advance(7.1)
    assert pool.waits["urgent", ""] == [0.0]
    await clock.advance(100.0)
    await asyncio.gather(urgent, *flood)
    assert pool.served["deferred", ""] == 12


async def test_a_full_queue_keeps_room_for_other_classes_and_teams(
    clock, new_pool, new_request
):
    pool = new_pool(slots=0, weights={"a": 1.0, "b": 1.0})
    flood = [
        asyncio.create_task(pool.call(new_request("deferred", "a")))
        for _ in range(1000)
    ]
    await settle()
    queue = pool.admission.queues["org/svc"]
    assert len(queue) < queue.limit
    others = [
        asyncio.create_task(pool.call(new_request(name, "b")))
        for name in ("urgent", "standard", "deferred")
    ]
    await settle()
    assert not any(task.done() for task in others)
    refused = [task for task in flood if task.done()]
    assert all(task.exception().verdict is Verdict.NOT_RUN for task in refused)
    for task in flood + others:
        task.cancel()
    await asyncio.gather(*flood, *others, return_exceptions=True)
    assert not len(queue)


async def test_a_slot_granted_to_a_cancelled_request_is_released(
    service, new_pool, new_request
):
    pool = new_pool(slots=0)
    task = asyncio.create_task(pool.call(new_request()))
    await settle()
    pool.free = 1
    pool.admission.grant_free_slots(service)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    assert pool.free == 1
    assert pool.admission.queues["org/svc"].in_use == 0


ACTIONS = st.lists(
    st.tuples(
        st.sampled_from(["enter", "cancel", "advance"]),
        st.sampled_from(["urgent", "standard", "deferred"]),
        st.sampled_from(["a", "b", "unknown"]),
    ),
    max_size=60,
)


@settings(suppress_health_check=[HealthCheck.function_scoped_fixture])
@given(actions=ACTIONS)
def test_slots_and_counts_are_conserved(clock, new_pool, new_request, actions):
    asyncio.run(check_conserved(clock, new_pool, new_request, actions))


async def check_conserved(clock, new_pool, new_request, actions):
    pool = new_pool(slots=2, weights={"a": 2.0, "b": 1.0})
    tasks = []
    for action, request_class, team in actions:
        if action == "enter":
            request = new_request(request_class, team)
            tasks.append(asyncio.create_task(pool.call(request)))
        elif action == "cancel" and tasks:
            tasks.pop(0).cancel()
        else:
            await clock.advance(0.05)
        await settle()
        assert 0 <= pool.free <= 2
        for queue in pool.admission.queues.values():
            for classes in queue.classes.values():
                teams = classes.teams.values()
                assert classes.waiting == sum(len(team.waiting) for team in teams)
    await clock.advance(100.0)
    await asyncio.gather(*tasks, return_exceptions=True)
    assert pool.free == 2
