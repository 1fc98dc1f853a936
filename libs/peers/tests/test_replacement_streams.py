import asyncio
from contextlib import AsyncExitStack

import pytest
from burdockthread_model.events import EventLog
from burdockthread_model.settings import PeerSettings
from burdockthread_peers.membership import Membership
from burdockthread_peers.stream_mesh import StreamMesh

LOOPBACK = "127.0.0.1"
TIMEOUT_S = 20.0
REACHED_S = 4.0


class Process:
    """Mesh and membership of one entry over streams on the loopback interface."""

    def __init__(self, name, addresses, clock, store):
        entries = [peer_settings(other, port) for other, port in addresses.items()]
        settings = {
            "name": name,
            "availability_zone": "z",
            "region": "r",
            "peer_key": "a-key-for-the-tests",
            "peers": {"host": LOOPBACK, "port": 0},
            "entries": [item for item in entries if item["name"] != name],
        }
        settings["entries"].append(peer_settings(name, 0))
        log = EventLog(name)
        self.mesh = StreamMesh(settings, clock, log)
        self.membership = Membership.from_settings(
            settings, self.mesh, store, clock, log
        )

    def is_linked(self, other):
        link = self.mesh.links[other.mesh.name]
        up = link.writer is not None and link.peer["port"] == other.mesh.port
        return up and link.incarnation == other.mesh.incarnation


def peer_settings(name, port):
    return PeerSettings(
        name=name, host=LOOPBACK, port=port, availability_zone="z", region="r"
    )


@pytest.fixture
async def start(clock, store):
    """Returns a function that starts a process with the addresses of others."""
    async with AsyncExitStack() as stack:

        async def start_one(name, addresses):
            process = Process(name, addresses, clock, store)
            await stack.enter_async_context(process.mesh.running())
            me = process.membership.me._replace(port=process.mesh.port)
            process.membership.registration.me = me
            task = asyncio.create_task(process.membership.run())
            stack.callback(task.cancel)
            return process

        yield start_one


async def until(clock, condition):
    """Advances the clock until a condition holds; returns the seconds passed."""
    started_s = clock.now()
    async with asyncio.timeout(TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.001)
            await clock.advance(0.02)
    return clock.now() - started_s


def is_agreed(processes):
    views = {process.membership.view.version for process in processes}
    identities = {process.membership.me.identity for process in processes}
    members = set(processes[0].membership.view.identities())
    return len(views) == 1 and members == identities


async def test_a_replacement_is_reached_while_the_old_process_runs(start, clock):
    processes = []
    for name in ("a", "b", "c"):
        known = {p.mesh.name: p.mesh.port for p in processes}
        processes.append(await start(name, known))
    a, b, c = processes
    await until(clock, lambda: is_agreed(processes))
    addresses = {"a": a.mesh.port, "c": c.mesh.port}
    new = await start("b", addresses)
    reached_s = await until(
        clock,
        lambda: is_agreed((a, new, c)) and a.is_linked(new) and c.is_linked(new),
    )
    assert reached_s <= REACHED_S
    await until(clock, lambda: b.membership.superseded)
    await clock.advance(5.0)
    await until(clock, lambda: a.is_linked(new))
    for other in (a, c):
        assert other.mesh.incoming_processes["b"] == new.mesh.incarnation
    assert not b.membership.may_decide()
    assert new.membership.may_decide()
