from burdockthread_peers.membership import CONFIRM_INTERVAL_S, VIEW_KEY
from burdockthread_peers.registration import ENTRY_PREFIX
from burdockthread_peers.view import MembersView
from burdockthread_store.prefix_cache import RELIST_MIN_S, WATCH_IDLE_TIMEOUTS_S

NAMES = ("a", "b", "c")
PREFIXES_COPIED = 2


async def test_entries_agree_on_one_list(cluster):
    await cluster.started(*NAMES)
    assert len(cluster.views()) == 1
    assert cluster.nodes["a"].membership.view.names() == NAMES


async def test_an_unchanged_list_is_not_written_again(cluster, clock, store):
    await cluster.started(*NAMES)
    revision = (await store.get(VIEW_KEY)).revision
    calls = {name: node.store.calls for name, node in cluster.nodes.items()}
    copied = {name: node.store.copy_calls for name, node in cluster.nodes.items()}
    await clock.advance(60.0)
    assert (await store.get(VIEW_KEY)).revision == revision
    for name, node in cluster.nodes.items():
        assert (node.store.calls - calls[name]) / 60.0 <= 2 / CONFIRM_INTERVAL_S
        copy_calls = node.store.copy_calls - copied[name]
        bound = PREFIXES_COPIED * (1 / min(WATCH_IDLE_TIMEOUTS_S) + 1 / RELIST_MIN_S)
        assert copy_calls / 60.0 <= bound


async def test_a_killed_entry_is_removed_within_seconds(cluster, clock):
    await cluster.started(*NAMES)
    cluster.kill("b")
    await clock.advance(5.0)
    assert cluster.nodes["a"].membership.view.names() == ("a", "c")
    assert len(cluster.views()) == 1


async def test_a_restarted_entry_is_another_member(cluster, clock):
    await cluster.started(*NAMES)
    before = cluster.nodes["a"].membership.view
    cluster.kill("b")
    cluster.start("b")
    await clock.advance(3.0)
    after = cluster.nodes["a"].membership.view
    assert after.names() == NAMES
    assert set(after.identities()) - set(before.identities()) == {
        cluster.nodes["b"].membership.me.identity
    }
    assert cluster.nodes["b"].membership.may_decide()


async def test_an_entry_with_a_new_name_takes_the_place_of_another(cluster, clock):
    await cluster.started(*NAMES)
    cluster.kill("b")
    cluster.start("z")
    await clock.advance(8.0)
    assert cluster.views() == {
        (cluster.nodes["a"].membership.view.version, ("a", "c", "z"))
    }


async def test_a_leaving_entry_is_removed_at_once(cluster, clock):
    await cluster.started(*NAMES)
    await cluster.nodes["b"].membership.leave()
    await clock.advance(0.5)
    assert cluster.nodes["a"].membership.view.names() == ("a", "c")
    assert not cluster.nodes["b"].membership.may_decide()


async def test_the_list_stays_valid_in_a_store_outage(cluster, clock, store):
    await cluster.started(*NAMES)
    views = cluster.views()
    with store.outage():
        await clock.advance(120.0)
        assert cluster.views() == views
        assert all(node.membership.may_decide() for node in cluster.nodes.values())
    await clock.advance(20.0)
    assert cluster.nodes["a"].membership.view.names() == NAMES
    assert len(cluster.views()) == 1


async def test_a_killed_member_in_a_store_outage_stops_decisions(cluster, clock, store):
    await cluster.started(*NAMES)
    with store.outage():
        await clock.advance(20.0)
        cluster.kill("b")
        await clock.advance(4.0)
        assert not cluster.nodes["a"].membership.may_decide()
    await clock.advance(10.0)
    assert cluster.nodes["a"].membership.may_decide()


async def test_an_entry_cut_off_from_all_stops_before_others_act(cluster, clock):
    await cluster.started(*NAMES)
    lone = cluster.nodes["a"]
    lone.store.cut = True
    cluster.network.partition({"a"}, {"b", "c"})
    await clock.advance(6.0)
    assert not lone.membership.may_decide()
    assert cluster.nodes["b"].membership.view.names() == ("b", "c")
    lone.store.cut = False
    cluster.network.heal()
    await clock.advance(10.0)
    assert lone.membership.may_decide()
    assert len(cluster.views()) == 1


async def test_a_resumed_process_does_not_decide(cluster, clock):
    await cluster.started(*NAMES)
    paused = cluster.nodes["a"].membership
    assert paused.may_decide()
    clock.time_s += 30.0
    assert not paused.may_decide()


async def test_a_jump_of_the_wall_clock_alone_stops_decisions(
    cluster, clock, monkeypatch
):
    await cluster.started(*NAMES)
    paused = cluster.nodes["a"].membership
    monkeypatch.setattr(clock, "wall", lambda: clock.time_s + 30.0)
    assert not paused.may_decide()


async def test_a_report_from_a_buffer_does_not_confirm(cluster, clock, store):
    await cluster.started(*NAMES)
    paused = cluster.nodes["a"].membership
    queued = {name: found.report for name, found in paused.reports.last.items()}
    clock.time_s += 30.0
    for name, report in queued.items():
        await paused.on_report(name, report)
    assert not paused.may_decide()


async def test_a_second_process_of_a_name_ends_the_first(cluster, clock):
    await cluster.started(*NAMES)
    first = cluster.nodes.pop("b")
    cluster.start("b")
    await clock.advance(10.0)
    assert not first.membership.may_decide()
    assert cluster.nodes["b"].membership.may_decide()
    for task in first.tasks:
        task.cancel()


async def test_all_entries_killed_together_come_back(cluster, clock):
    await cluster.started(*NAMES)
    for name in NAMES:
        cluster.kill(name)
    await cluster.started(*NAMES)
    await clock.advance(5.0)
    assert len(cluster.views()) == 1
    assert all(node.membership.may_decide() for node in cluster.nodes.values())


async def test_a_malformed_registration_is_ignored(cluster, clock, store):
    from burdockthread_store.store import Change

    await store.write([Change(f"{ENTRY_PREFIX}x", b"[1]", 0)])
    await cluster.started(*NAMES)
    assert cluster.nodes["c"].membership.view.names() == NAMES


def test_a_list_is_the_same_after_encoding_and_decoding():
    view = MembersView(3).successor((), 10.0, 16.0)
    assert MembersView.from_bytes(view.to_bytes()) == view


async def test_a_malformed_list_stops_decisions_but_not_the_entry(
    cluster, clock, store
):
    from burdockthread_store.store import Change

    await cluster.started(*NAMES)
    good = await store.get(VIEW_KEY)
    broken = await store.write([Change(VIEW_KEY, b"{", good.revision)])
    for node in cluster.nodes.values():
        node.membership.reports.last.clear()
    cluster.network.partition({"a"}, {"b", "c"})
    await clock.advance(8.0)
    assert not cluster.nodes["a"].membership.may_decide()
    cluster.network.heal()
    await store.write([Change(VIEW_KEY, good.value, broken)])
    await clock.advance(8.0)
    assert all(node.membership.may_decide() for node in cluster.nodes.values())
