import pytest
from burdockthread_peers.lent_permits import LentPermits
from burdockthread_peers.loans import AskSlots, SlotRow
from burdockthread_peers.memory_mesh import MemoryNetwork
from burdockthread_peers.share_ownership import ShareOwnership
from burdockthread_peers.static_permits import StaticPermits
from burdockthread_peers.view import (
    PARTITION_STOP_S,
    SILENT_STOP_S,
    MembersView,
    ViewMember,
)

NAMES = ("a", "b", "c")
STEP_S = 0.1
HELD_S = 20.0


def holds(node):
    return ShareOwnership(node.membership).holds()


async def hold_times(clock, old, new):
    """Returns when the old process last held the share, and the new one first did.

    Fails if both hold the share at the same time.
    """
    started_s, last_s, first_s = clock.now(), 0.0, None
    ownerships = [ShareOwnership(node.membership) for node in (old, new)]
    while clock.now() < started_s + HELD_S:
        await clock.advance(STEP_S)
        old_holds, new_holds = (ownership.holds() for ownership in ownerships)
        assert not (old_holds and new_holds)
        if old_holds:
            last_s = clock.now() - started_s
        if new_holds and first_s is None:
            first_s = clock.now() - started_s
    return last_s, first_s


@pytest.mark.parametrize("cut", [False, True])
async def test_one_process_of_a_name_holds_the_share(cluster, clock, cut):
    await cluster.started(*NAMES)
    old = cluster.nodes.pop("b")
    assert holds(old)
    old.store.cut = cut
    new = cluster.start("b", host="new-address")
    last_s, first_s = await hold_times(clock, old, new)
    assert last_s < first_s <= 15.0
    assert not holds(old)
    for task in old.tasks:
        task.cancel()


async def test_a_resumed_process_holds_no_share(cluster, clock):
    await cluster.started(*NAMES)
    old = cluster.nodes.pop("b")
    ownership = ShareOwnership(old.membership)
    assert ownership.holds()
    for task in old.tasks:
        task.cancel()
    new = cluster.start("b", host="new-address")
    await clock.advance(HELD_S)
    assert not ownership.holds()
    assert not old.membership.may_decide()
    assert holds(new)


async def test_a_share_is_kept_in_an_outage_without_one_member(cluster, clock, store):
    await cluster.started(*NAMES)
    with store.outage():
        cluster.kill("b")
        await clock.advance(3_600.0)
        assert holds(cluster.nodes["a"])
        assert not cluster.nodes["a"].membership.may_decide()


async def test_an_entry_cut_off_from_all_holds_no_share(cluster, clock):
    await cluster.started(*NAMES)
    lone = cluster.nodes["a"]
    lone.store.cut = True
    cluster.network.partition({"a"}, {"b", "c"})
    await clock.advance(6.0)
    assert not holds(lone)


@pytest.mark.parametrize("host", ["b", "new-address"])
async def test_a_replacement_at_a_new_address_waits_for_the_store(
    cluster, clock, store, host
):
    await cluster.started(*NAMES)
    with store.outage():
        await clock.advance(HELD_S)
        cluster.kill("b")
        new = cluster.start("b", host=host)
        await clock.advance(HELD_S)
        assert holds(new) == (host == "b")
        assert not new.membership.may_decide()
    await clock.advance(2 * HELD_S)
    assert holds(new)
    assert new.membership.may_decide()


async def test_a_replacement_does_not_wait_for_a_member_that_left(cluster, clock):
    await cluster.started(*NAMES)
    await cluster.nodes["b"].membership.leave()
    cluster.kill("b")
    new = cluster.start("b", host="new-address")
    await clock.advance(3.0)
    assert holds(new)


def test_members_lost_together_may_run_for_longer():
    members = [ViewMember(name, "1", name, 1, "z", "r") for name in NAMES]
    view = MembersView(1, tuple(members))
    one = view.successor(members[:2], 100.0, 106.0)
    assert [item.stopped_s for item in one.silent] == [100.0 + SILENT_STOP_S]
    both = one.successor(members[:1], 101.0, 107.0)
    assert [item.stopped_s for item in both.silent] == [101.0 + PARTITION_STOP_S] * 2
    moved = ViewMember("c", "2", "new-address", 1, "z", "r")
    assert both.successor([members[0], moved], 102.0, 108.0).predecessors(moved)
    in_place = members[2]._replace(incarnation="2")
    back = both.successor([members[0], in_place], 102.0, 108.0)
    assert not back.predecessors(in_place)
    assert MembersView.from_bytes(back.to_bytes()) == back


async def test_without_the_share_no_slot_is_taken_or_lent(clock):
    network = MemoryNetwork()
    permits = {}
    for name in ("a", "b"):
        static = StaticPermits(name, ("a", "b"), lambda service: 8)
        mesh = network.join(name)
        permits[name] = LentPermits(
            mesh, static, lambda service: ("vm",), name, clock, may_use=lambda: False
        )
        permits[name].unanswered.clear()
    assert not permits["a"].try_acquire("s", "vm")
    assert permits["a"].limit("s", "vm") == 0
    ask = AskSlots("b", 1, (SlotRow("s", "vm", 0, 2),))
    assert (await permits["a"].on_ask("b", ask)).grants == ()
