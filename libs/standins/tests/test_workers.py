import pytest
from aiohttp import web
from aiohttp.test_utils import TestServer
from burdockthread_fleet.vm_control import HttpVmControl
from burdockthread_fleet.worker_client import (
    HttpWorkerClient,
    Task,
    TaskRefusedError,
    TaskState,
)
from burdockthread_model.errors import PlatformError
from burdockthread_model.verdict import Verdict
from burdockthread_standins.processes import new_listing
from burdockthread_standins.vm_host import VmHost
from burdockthread_standins.workers import StandinWorkers

VM = "site-000"


def new_task(**fields):
    base = Task("a.1", "org/ledger", 1, 2.0, 4.0, 0, 10.0, 30.0, "{}", "boot-1")
    return base._replace(**fields)


@pytest.fixture
async def workers(clock):
    host = VmHost()
    endpoint = await host.add(new_listing("site", ("zone",), 0, "127.0.0.1"))
    endpoint.pool, endpoint.generation = "org/ledger", 1
    yield StandinWorkers(host, clock)
    await host.stop()


@pytest.fixture
async def client(workers):
    app = web.Application()
    workers.add_routes(app)
    async with TestServer(app) as server:
        client = HttpWorkerClient(str(server.make_url("/")))
        yield client
        await client.close()


async def report(client):
    (found,) = await client.reports("org/ledger")
    return found


async def test_a_task_runs_under_its_lease(client, workers, clock):
    await client.start(VM, new_task())
    await client.start(VM, new_task())
    assert workers.worker(VM).starts == {"a": 1}
    assert (await report(client)).cores_used == 2.0
    await clock.advance(11.0)
    assert (await report(client)).state is TaskState.DONE


async def test_a_lapsed_lease_stops_a_task(client, clock):
    await client.start(VM, new_task(run_time_s=100.0))
    await clock.advance(20.0)
    await client.renew(VM, ("a.1",), 30.0)
    await clock.advance(29.0)
    assert (await report(client)).state is TaskState.RUNNING
    await clock.advance(2.0)
    assert (await report(client)).state is TaskState.STOPPED


@pytest.mark.parametrize(
    "wrong", [{"pool": "org/other"}, {"generation": 0}, {"boot_id": "boot-0"}]
)
async def test_a_stale_start_is_refused(client, workers, wrong):
    with pytest.raises(TaskRefusedError) as caught:
        await client.start(VM, new_task(**wrong))
    assert caught.value.verdict is Verdict.NOT_RUN
    assert not workers.worker(VM).starts


async def test_a_draining_vm_refuses_and_checkpoints(client, workers, clock):
    await client.start(VM, new_task())
    await clock.advance(4.0)
    workers.host.endpoints[VM].draining = True
    with pytest.raises(TaskRefusedError):
        await client.start(VM, new_task(task_id="b.1"))
    await client.checkpoint(VM, "a.1")
    assert workers.running(VM) == 0
    assert workers.checkpoints == {"a": 4.0}


async def test_a_drain_counts_the_tasks(workers):
    app = workers.host.application()
    workers.add_routes(app)
    async with TestServer(app) as server:
        client = HttpWorkerClient(str(server.make_url("/")))
        control = HttpVmControl(str(server.make_url("/")))
        await client.start(VM, new_task())
        assert await control.drain(VM, workers.host.listings[VM].boot_id) == 1
        await client.checkpoint(VM, "a.1")
        assert await control.drain(VM, workers.host.listings[VM].boot_id) == 0
        await client.close()
        await control.close()


async def test_a_lost_answer_is_unknown(client, workers):
    workers.worker(VM).faults.loses_answers = True
    with pytest.raises(PlatformError) as caught:
        await client.start(VM, new_task())
    assert caught.value.verdict is Verdict.UNKNOWN
    assert workers.running(VM) == 1


async def test_a_refused_connection_did_not_start(clock):
    client = HttpWorkerClient("http://127.0.0.1:1")
    with pytest.raises(TaskRefusedError):
        await client.start(VM, new_task())
    await client.close()


async def test_throttled_late_and_oversized(client, workers, clock):
    faults = workers.worker(VM).faults
    faults.size_factor, faults.report_lag_s = 10.0, 3.0
    await client.start(VM, new_task())
    await client.throttle(VM, "a.1", 0.5)
    assert await client.reports("org/ledger") == ()
    await clock.advance(3.0)
    assert (await report(client)).cores_used == 10.0
    assert (await report(client)).memory_gb_used == 40.0


async def test_a_paused_worker_does_not_answer(client, workers):
    workers.worker(VM).faults.paused = True
    with pytest.raises(PlatformError):
        await client.stop(VM, "a.1")
