import asyncio

from burdockthread_peers.registration import ENTRY_PREFIX

NAMES = ("a", "b", "c")
REACHED_S = 4.0


async def test_a_resumed_process_does_not_replace_its_successor(cluster, clock, store):
    await cluster.started(*NAMES)
    old = cluster.nodes.pop("b")
    for task in old.tasks:
        task.cancel()
    new = cluster.start("b", host="new-address")
    await clock.advance(12.0)
    woken = asyncio.create_task(old.membership.run())
    await clock.advance(12.0)
    woken.cancel()
    registration = await store.get(f"{ENTRY_PREFIX}b")
    assert new.membership.me.incarnation.encode() in registration.value
    assert old.membership.superseded
    assert new.membership.may_decide()
    assert len(cluster.views()) == 1


async def test_a_superseded_process_replaces_no_list(cluster, clock):
    await cluster.started(*NAMES)
    old = cluster.nodes.pop("b")
    for task in old.tasks:
        task.cancel()
    cluster.start("b", host="new-address")
    await clock.advance(0.4)
    proposed = []

    async def propose():
        proposed.append(old.membership.view)

    old.membership.propose = propose
    await old.membership.registration.store.revoke_lease(
        old.membership.registration.lease
    )
    await cluster.nodes["b"].membership.registration.register()
    old.membership.confirm_at_s = 0.0
    await old.membership.round()
    assert old.membership.superseded
    assert not proposed


async def test_a_superseded_process_sends_no_reports(cluster, clock):
    await cluster.started(*NAMES)
    old = cluster.nodes["b"]
    sent = []
    old.mesh.broadcast = sent.append
    cluster.nodes.pop("b")
    cluster.start("b", host="new-address")
    await clock.advance(8.0)
    sent.clear()
    await clock.advance(4.0)
    assert old.membership.superseded
    assert not sent
    for task in old.tasks:
        task.cancel()


async def test_a_registered_address_overrides_the_list(cluster, clock):
    await cluster.started(*NAMES)
    learned = []
    cluster.nodes["a"].mesh.add_peer = learned.append
    cluster.kill("b")
    cluster.start("b", host="new-address")
    cluster.start("z")
    await clock.advance(REACHED_S)
    hosts = [peer["host"] for peer in learned if peer["name"] == "b"]
    assert set(hosts) == {"new-address"}


async def test_a_relayed_list_carries_the_address(cluster, clock):
    await cluster.started(*NAMES)
    learned = {}
    cut_off = cluster.nodes["a"]
    cut_off.mesh.add_peer = lambda peer: learned.update({peer["name"]: peer["host"]})
    cut_off.store.cut = True
    cluster.kill("b")
    cluster.start("b", host="new-address")
    await clock.advance(REACHED_S)
    assert learned["b"] == "new-address"
