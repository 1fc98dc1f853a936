"""Calls to an address that accepts no new connection.

The pattern: on a full link the opening packets of connections are lost, so that calls
end before anything of them was sent; such a call has had no effect.
"""

import socket
from contextlib import ExitStack

import aiohttp
import pytest
from burdockthread_http.connections import TrackedConnector
from burdockthread_http.http_calls import HttpCalls
from burdockthread_model.clock import SystemClock
from burdockthread_model.errors import (
    PeerEndedError,
    PeerUnavailableError,
    StoreUnavailableError,
)
from burdockthread_model.events import EventLog
from burdockthread_model.load import LoadMonitor
from burdockthread_model.metrics import MemoryMetrics
from burdockthread_platform.kv_store import PlatformStore
from burdockthread_platform.worker_http import HttpWorkerGateway
from burdockthread_scheduling.entry_link import HttpEntryLink
from burdockthread_scheduling.pool_status import ReleaseOrder
from burdockthread_scheduling.request_relay import CallerRequest
from burdockthread_scheduling.specs import TaskId
from burdockthread_scheduling.workers import (
    Capacity,
    WorkerKey,
    WorkerListing,
    WorkerRefusedError,
)
from burdockthread_store.store import Change

HOST = "127.0.0.1"
# More than a port with the shortest queue holds.
QUEUED_CONNECTIONS = 8
TIMEOUT_S = 2.0


@pytest.fixture
def full_port():
    """Yields a port whose queue of new connections is full."""
    with ExitStack() as stack:
        listening = stack.enter_context(socket.socket())
        listening.bind((HOST, 0))
        listening.listen(0)
        address = listening.getsockname()
        for _ in range(QUEUED_CONNECTIONS):
            queued = stack.enter_context(socket.socket())
            queued.setblocking(False)
            queued.connect_ex(address)
        yield address[1]


@pytest.fixture
async def session():
    connector = TrackedConnector(limit_per_host=16, keepalive_timeout=60.0)
    async with aiohttp.ClientSession(connector=connector) as found:
        yield found


@pytest.fixture
def calls(session):
    load = LoadMonitor(SystemClock(), MemoryMetrics(), EventLog("test"))
    return HttpCalls(session, load)


async def test_write_without_a_connection_has_no_effect(full_port, calls):
    store = PlatformStore(f"{HOST}:{full_port}", calls, SystemClock(), {})
    with pytest.raises(StoreUnavailableError):
        await store.write([Change("a", b"1", 0)])


async def test_order_without_a_connection_has_no_effect(full_port, calls):
    worker = WorkerListing(
        WorkerKey("w1", 1), "pool", HOST, full_port, "zone", (), Capacity()
    )
    with pytest.raises(WorkerRefusedError):
        await HttpWorkerGateway(calls).stop(
            worker, TaskId("job", 0, 0, 0), 1, 1, TIMEOUT_S
        )


async def test_relay_without_a_connection_has_no_effect(full_port, calls):
    link = HttpEntryLink(calls, None, None, None, None, None)
    request = CallerRequest("POST", "a.example", "/a/1", b"", TIMEOUT_S)
    with pytest.raises(PeerUnavailableError):
        await link.relay(f"{HOST}:{full_port}", request)


# A process that is gone is told from one that is cut off: only the latter may act.
async def test_address_without_a_process_shows_that_it_has_ended(calls):
    link = HttpEntryLink(calls, None, None, None, None, None)
    with socket.socket() as free:
        free.bind((HOST, 0))
        address = f"{HOST}:{free.getsockname()[1]}"
    with pytest.raises(PeerEndedError):
        await link.release(address, ReleaseOrder("pool", 2))


async def test_full_port_does_not_show_that_its_process_has_ended(full_port, calls):
    link = HttpEntryLink(calls, None, None, None, None, None)
    with pytest.raises(PeerUnavailableError) as caught:
        await link.release(f"{HOST}:{full_port}", ReleaseOrder("pool", 2))
    assert not isinstance(caught.value, PeerEndedError)


# Guards against errors of the HTTP library for hosts and ids of another writer, which
# are not errors of a connection.
@pytest.mark.parametrize(
    ("host", "worker_id"),
    [
        (f"{'a' * 64}.localhost", "w1"),
        (".localhost", "w1"),
        ("a b", "w1"),
        (HOST, "w\n1"),
    ],
)
async def test_order_that_cannot_be_encoded_has_no_effect(calls, host, worker_id):
    worker = WorkerListing(
        WorkerKey(worker_id, 1), "pool", host, 1, "zone", (), Capacity()
    )
    with pytest.raises(WorkerRefusedError):
        await HttpWorkerGateway(calls).stop(
            worker, TaskId("job", 0, 0, 0), 1, 1, TIMEOUT_S
        )
