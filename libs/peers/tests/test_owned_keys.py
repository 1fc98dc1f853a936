import asyncio
import uuid

import pytest
from burdockthread_model.request import CallerResponse
from burdockthread_model.verdict import Verdict
from burdockthread_peers import owned_keys
from burdockthread_peers.idempotency import KeyState
from burdockthread_peers.key_handover import holder_key
from burdockthread_peers.key_records import KeyRecord

NAMES = ("a", "b", "c", "d")
ANSWER = CallerResponse(200, b"pole 7", "text/plain", Verdict.RAN)


@pytest.fixture
async def four(cluster):
    await cluster.started(*NAMES)
    return cluster


def holders(cluster, key):
    view = next(iter(cluster.nodes.values())).membership.view
    return [holder.name for holder in view.holders(holder_key("org", key))]


def others(cluster, key):
    return [name for name in cluster.nodes if name not in holders(cluster, key)]


def timed_key(wall_s, number=1):
    """Returns a UUID of version 7 that contains a time."""
    value = int(wall_s * 1000) << 80 | 7 << 76 | 2 << 62 | number
    return str(uuid.UUID(int=value))


async def begin(cluster, name, key, body="body", timeout_s=5.0, wait_s=None):
    """Begins a key at an entry and advances the clock until the decision."""
    deadline_s = cluster.clock.now() + timeout_s
    keys = cluster.nodes[name].keys
    task = asyncio.create_task(keys.begin("org", key, body, deadline_s))
    wait_s = timeout_s + 5.0 if wait_s is None else wait_s
    for _ in range(int(wait_s / 0.1)):
        await cluster.clock.advance(0.1 if not task.done() else 0.0)
        if task.done():
            break
    return await task


async def finish(cluster, name, key, verdict=Verdict.RAN, answer=ANSWER):
    await cluster.nodes[name].keys.finish("org", key, verdict, answer)


async def test_a_key_runs_once_and_is_answered_everywhere(four):
    assert (await begin(four, "a", "k")).state is KeyState.RUN
    assert (await begin(four, "b", "k")).state is KeyState.IN_PROGRESS
    await finish(four, "a", "k")
    decision = await begin(four, "c", "k")
    assert decision == (KeyState.ANSWERED, ANSWER)


async def test_another_body_is_a_conflict(four):
    await begin(four, "a", "k")
    assert (await begin(four, "b", "k", "other")).state is KeyState.CONFLICT


async def test_a_key_that_did_not_run_is_free_again(four):
    await begin(four, "a", "k")
    await finish(four, "a", "k", Verdict.NOT_RUN, None)
    assert (await begin(four, "b", "k")).state is KeyState.RUN


async def test_an_owner_killed_and_restarted_runs_nothing_twice(four):
    owner, _ = holders(four, "k")
    first, second = others(four, "k")
    assert (await begin(four, first, "k")).state is KeyState.RUN
    await finish(four, first, "k")
    four.kill(owner)
    four.start(owner)
    decision = await begin(four, second, "k")
    assert decision == (KeyState.ANSWERED, ANSWER)


async def test_an_owner_killed_while_a_request_runs(four):
    owner, _ = holders(four, "k")
    first, second = others(four, "k")
    await begin(four, first, "k")
    four.kill(owner)
    assert (await begin(four, second, "k", timeout_s=8)).state is KeyState.IN_PROGRESS
    await finish(four, first, "k")
    assert (await begin(four, second, "k")).state is KeyState.ANSWERED


async def test_answers_outlive_one_holder_after_the_other(four):
    await begin(four, others(four, "k")[0], "k")
    await finish(four, others(four, "k")[0], "k")
    for _ in range(2):
        four.kill(holders(four, "k")[0])
        await four.clock.advance(8.0)
    assert (await begin(four, next(iter(four.nodes)), "k")).state is KeyState.ANSWERED


async def test_answers_outlive_a_replacement_of_every_entry(four):
    await begin(four, "a", "k")
    await finish(four, "a", "k")
    for name in NAMES:
        four.kill(name)
        four.start(name)
        await four.clock.advance(8.0)
    assert (await begin(four, "a", "k")).state is KeyState.ANSWERED
    assert (await begin(four, "a", "fresh")).state is KeyState.RUN


async def test_a_key_is_unknown_after_both_holders_are_lost(four):
    asked = others(four, "k")[0]
    await begin(four, asked, "k")
    await finish(four, asked, "k")
    for name in holders(four, "k"):
        four.kill(name)
    assert (await begin(four, asked, "k", timeout_s=9)).state is KeyState.UNKNOWN


async def test_fresh_timed_keys_run_soon_after_both_holders_are_lost(four):
    lost = holders(four, "k")
    for name in lost:
        four.kill(name)
    await four.clock.advance(15.0)
    key = timed_key(four.clock.wall())
    assert (await begin(four, next(iter(four.nodes)), key)).state is KeyState.RUN


async def test_a_fresh_key_waits_seconds_for_a_killed_owner(four):
    key = timed_key(four.clock.wall())
    owner, _ = holders(four, key)
    asked = others(four, key)[0]
    four.kill(owner)
    started_s = four.clock.now()
    assert (await begin(four, asked, key, timeout_s=10)).state is KeyState.RUN
    assert four.clock.now() - started_s <= 5.0


async def test_two_member_lists_never_permit_one_key_twice(four):
    owner, replica = holders(four, "k")
    left, right = {owner, replica}, set(others(four, "k"))
    four.network.partition(left, right)
    for name in left:
        four.nodes[name].store.cut = True
    decisions = [await begin(four, owner, "k"), await begin(four, min(right), "k", "x")]
    decisions.append(await begin(four, min(right), "k", timeout_s=12.0))
    assert [d.state for d in decisions].count(KeyState.RUN) == 1
    await four.clock.advance(3.0)
    fresh = timed_key(four.clock.wall())
    decisions = [await begin(four, name, fresh, timeout_s=4.0) for name in NAMES]
    assert [d.state for d in decisions].count(KeyState.RUN) <= 1


async def test_a_paused_owner_decides_nothing_when_it_resumes(four):
    owner, replica = holders(four, "k")
    paused = four.nodes.pop(owner)
    paused_tasks = paused.tasks
    four.network.partition({owner}, set(four.nodes))
    await four.clock.advance(10.0)
    four.network.heal()
    message = owned_keys.BeginKey(paused.membership.view.version, "org", "k", "b", "t")
    for task in paused_tasks:
        task.cancel()
    paused.membership.confirmed_until_s = four.clock.now() - 4.0
    assert (await paused.keys.on_begin(replica, message)).again


async def test_a_lost_answer_of_begin_still_permits_one_dispatch(four):
    owner, _ = holders(four, "k")
    asked, other = others(four, "k")
    four.network.lost_replies.add((asked, owner))
    task = asyncio.create_task(begin(four, asked, "k", timeout_s=3.0))
    await asyncio.sleep(0)
    four.network.lost_replies.clear()
    assert (await task).state is KeyState.RUN
    assert (await begin(four, other, "k")).state is KeyState.IN_PROGRESS


async def test_a_caller_that_gave_up_leaves_the_key_free(four):
    owner, _ = holders(four, "k")
    asked, other = others(four, "k")
    four.network.lost_replies.add((asked, owner))
    assert (await begin(four, asked, "k", timeout_s=1.0)).state is KeyState.UNAVAILABLE
    four.network.heal()
    await four.clock.advance(15.0)
    assert (await begin(four, other, "k")).state is KeyState.RUN


async def test_a_lost_answer_of_the_replica_permits_one_dispatch(four):
    owner, replica = holders(four, "k")
    asked, other = others(four, "k")
    four.network.lost_replies.add((owner, replica))
    assert (await begin(four, asked, "k", timeout_s=1.0)).state is KeyState.UNAVAILABLE
    four.network.heal()
    assert (await begin(four, other, "k")).state is KeyState.RUN


async def test_a_lost_finish_is_repeated(four):
    asked, other = others(four, "k")
    await begin(four, asked, "k")
    for holder in holders(four, "k"):
        four.network.cut.add((asked, holder))
    await finish(four, asked, "k")
    four.network.heal()
    await four.clock.advance(3.0)
    assert (await begin(four, other, "k")).state is KeyState.ANSWERED


async def test_a_key_of_a_killed_requester_is_unknown(four):
    asked, other = others(four, "k")
    await begin(four, asked, "k")
    four.kill(asked)
    await four.clock.advance(6.0)
    assert (await begin(four, other, "k")).state is KeyState.UNKNOWN


async def test_keys_run_on_through_an_outage_of_the_store(four, store):
    with store.outage():
        await four.clock.advance(60.0)
        assert (await begin(four, "a", "k")).state is KeyState.RUN
        assert (await begin(four, "b", "k")).state is KeyState.IN_PROGRESS


async def test_an_old_key_is_unknown_and_one_from_the_future_is_not_run(four):
    wall_s = four.clock.wall()
    old, future = timed_key(wall_s - 1_000.0), timed_key(wall_s + 60.0)
    assert (await begin(four, "a", old)).state is KeyState.UNKNOWN
    assert (await begin(four, "a", future)).state is KeyState.UNAVAILABLE


async def test_a_forgotten_timed_key_is_unknown(cluster):
    cluster.start("a", keys=2)
    await cluster.clock.advance(2.0)
    keys = [timed_key(cluster.clock.wall(), number) for number in range(4)]
    for key in keys:
        assert (await begin(cluster, "a", key)).state is KeyState.RUN
        await finish(cluster, "a", key)
        await cluster.clock.advance(0.1)
        keys[-1] = timed_key(cluster.clock.wall(), 9)
    assert len(cluster.nodes["a"].keys.records) == 2
    assert (await begin(cluster, "a", keys[0])).state is KeyState.UNKNOWN


async def test_keys_without_a_time_are_refused_when_memory_is_full(cluster):
    cluster.start("a", keys=2)
    await cluster.clock.advance(2.0)
    states = [(await begin(cluster, "a", f"k{n}")).state for n in range(3)]
    assert states == [KeyState.RUN, KeyState.RUN, KeyState.UNAVAILABLE]
    await cluster.clock.advance(1_000.0)
    assert (await begin(cluster, "a", "k3")).state is KeyState.RUN


async def test_no_decision_by_another_version_of_the_list(four):
    owner, replica = holders(four, "k")
    node = four.nodes[owner]
    old = node.membership.view.version - 1
    message = owned_keys.BeginKey(old, "org", "k", "body", "x/i/1")
    assert (await node.keys.on_begin("x", message)).again
    record = KeyRecord("org", "k", "body", "g", "x/i/1", four.clock.wall(), False)
    request = owned_keys.RecordKey(old, record)
    assert not (await four.nodes[replica].keys.on_record(owner, request)).accepted


async def test_an_owner_that_is_not_confirmed_does_not_decide(cluster):
    cluster.start("a")
    await cluster.clock.advance(2.0)
    keys = cluster.nodes["a"].keys
    version = cluster.nodes["a"].membership.view.version
    cluster.clock.time_s += 4_000.0
    message = owned_keys.BeginKey(version, "org", "k", "body", "a/i1/1")
    assert (await keys.on_begin("a", message)).again


async def test_new_holders_wait_for_the_handover_of_records(cluster, monkeypatch):
    await cluster.started("a", "b")
    for number in range(20):
        await begin(cluster, "a", f"k{number}")
        await finish(cluster, "a", f"k{number}")

    async def never(peer, message):
        await cluster.clock.sleep(1_000.0)

    for node in cluster.nodes.values():
        monkeypatch.setattr(node.keys.handover, "deliver", never)
    cluster.start("c")
    cluster.start("d")
    await cluster.clock.advance(4.0)
    assert cluster.nodes["c"].membership.view.names() == ("a", "b", "c", "d")
    moved = [f"k{n}" for n in range(20) if set(holders(cluster, f"k{n}")) == {"c", "d"}]
    decisions = [await begin(cluster, "c", key, timeout_s=1.0) for key in moved]
    assert decisions[0].state is KeyState.UNAVAILABLE
    assert {d.state for d in decisions} <= {KeyState.UNAVAILABLE, KeyState.UNKNOWN}
