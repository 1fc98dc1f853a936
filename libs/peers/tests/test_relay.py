import asyncio

import pytest
from burdockthread_model.events import EventLog
from burdockthread_model.intended import AcceptedTemplate
from burdockthread_model.rendering import content_hash
from burdockthread_peers.leaving_relay import LeavingRelay, LeavingVm
from burdockthread_peers.memory_mesh import MemoryMesh, MemoryNetwork
from burdockthread_peers.relay import ConfigurationRelay, TemplateReply
from burdockthread_store.applied import AppliedConfiguration

NAMES = ("a", "b", "c")


class Relays:
    """Relays of several entries on one network."""

    def __init__(self, clock):
        self.clock = clock
        self.network = MemoryNetwork()
        self.relays = {}
        self.tasks = []

    def start(self, name):
        log = EventLog(name)
        applied = AppliedConfiguration(log)
        mesh = self.network.join(name)
        self.relays[name] = ConfigurationRelay(mesh, applied, self.clock, log)
        self.tasks.append(asyncio.create_task(self.relays[name].run()))

    def versions(self, name):
        return self.relays[name].applied.versions()


@pytest.fixture
async def relays(clock):
    relays = Relays(clock)
    for name in NAMES:
        relays.start(name)
    yield relays
    for task in relays.tasks:
        task.cancel()


@pytest.fixture
def accept(template):
    def accept(version, name="site"):
        return AcceptedTemplate(
            name=name,
            version=version,
            content_hash=content_hash(template),
            change_id=f"change-{version}",
            accepted_s=0.0,
            document=template,
        )

    return accept


async def test_a_new_version_is_sent_at_once(relays, accept, clock):
    await clock.advance(0.1)
    relays.relays["a"].applied.apply(accept(1), "store")
    await clock.advance(0.0)
    assert relays.versions("b") == relays.versions("c") == {"site": 1}


async def test_a_lost_version_is_found_within_seconds(relays, accept, clock):
    relays.network.partition({"a"}, {"b", "c"})
    relays.relays["a"].applied.apply(accept(2), "store")
    await clock.advance(5.0)
    relays.network.heal()
    await clock.advance(2.0)
    assert relays.versions("c") == {"site": 2}


async def test_an_old_version_does_not_come_back(relays, accept, clock):
    relays.network.partition({"a"}, {"b", "c"})
    relays.relays["a"].applied.apply(accept(3), "store")
    relays.relays["b"].applied.apply(accept(2), "store")
    relays.network.heal()
    await clock.advance(3.0)
    assert {relays.versions(name)["site"] for name in NAMES} == {3}


async def test_a_starting_entry_fetches_all_versions(relays, accept, clock):
    for number in range(44):
        relays.relays["a"].applied.apply(accept(number + 1, f"site-{number}"), "store")
    await clock.advance(1.0)
    relays.start("d")
    await clock.advance(2.0)
    assert relays.versions("d") == relays.versions("a")
    assert len(relays.versions("d")) == 44


async def test_only_a_hash_is_sent_while_nothing_changes(
    relays, accept, clock, monkeypatch
):
    relays.relays["a"].applied.apply(accept(1), "store")
    await clock.advance(2.0)
    sent = []
    monkeypatch.setattr(MemoryMesh, "broadcast", lambda m, item: sent.append(item))
    monkeypatch.setattr(MemoryMesh, "call", None)
    await clock.advance(10.0)
    assert {type(item).__name__ for item in sent} == {"ConfigurationDigest"}
    assert len(sent) <= 11 * len(NAMES)


async def test_a_wrong_content_hash_is_refused(relays, accept, clock, monkeypatch):
    broken = accept(1)._replace(content_hash="0" * 64)
    relays.relays["a"].applied.templates["site"] = broken
    relays.relays["a"].on_applied(broken)
    await clock.advance(3.0)
    assert relays.versions("b") == {}


async def test_a_version_is_fetched_once_by_each_entry(relays, accept, clock):
    fetched = []
    for relay in relays.relays.values():
        registration = relay.mesh.table.registrations["FetchTemplate"]

        async def counted(sender, message, handler=registration.handler):
            fetched.append(sender)
            await clock.sleep(0.1)
            return await handler(sender, message)

        relay.mesh.table.registrations["FetchTemplate"] = registration._replace(
            handler=counted
        )
    relays.relays["a"].applied.apply(accept(1), "store")
    await clock.advance(5.0)
    assert sorted(fetched) == ["b", "c"]


async def test_a_slow_entry_does_not_delay_the_others(
    relays, accept, clock, monkeypatch
):
    async def never(sender, message):
        await clock.sleep(1_000.0)
        return TemplateReply(b"")

    slow = relays.relays["a"]
    slow.mesh.table.registrations["FetchTemplate"] = slow.mesh.table.registrations[
        "FetchTemplate"
    ]._replace(handler=never)
    slow.applied.apply(accept(5), "store")
    relays.relays["b"].applied.apply(accept(6, "other"), "store")
    await clock.advance(1.0)
    assert relays.versions("c")["other"] == 6


async def test_a_leaving_signal_is_repeated_after_a_lost_message(clock):
    network = MemoryNetwork()
    heard = []
    relay = LeavingRelay(network.join("a"), heard.append, clock)
    LeavingRelay(network.join("b"), heard.append, clock)
    task = asyncio.create_task(relay.run())
    network.partition({"a"}, {"b"})
    relay.announce("vm-1", "boot-1")
    network.heal()
    await clock.advance(2.0)
    task.cancel()
    assert set(heard) == {LeavingVm("vm-1", "boot-1")}
    assert not relay.pending


async def test_a_signal_of_another_entry_is_not_announced_again(clock):
    network = MemoryNetwork()
    first = LeavingRelay(network.join("a"), lambda signal: None, clock)
    second = LeavingRelay(
        network.join("b"), lambda signal: second.announce(*signal), clock
    )
    first.announce("vm-1", "boot-1")
    await clock.advance(0.0)
    assert second.known
    assert not second.pending
