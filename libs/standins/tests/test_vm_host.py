import asyncio

import aiohttp
import pytest
from burdockthread_model.vm import VmListing, VmStatus
from burdockthread_standins.processes import listening
from burdockthread_standins.vm_host import VmHost

HEADERS = {"Burdockthread-Attempt": "a.1", "Burdockthread-Pool": ""}


@pytest.fixture
async def host():
    vm_host = VmHost()
    listing = VmListing(
        "vm-0", "127.0.0.1", 0, "z", "r", "k", 4, 8, 0, VmStatus.LIVE, ""
    )
    await vm_host.add(listing)
    yield vm_host
    await vm_host.stop()


@pytest.fixture
async def call(host):
    async with (
        listening(host.application(), "127.0.0.1", 0) as port,
        aiohttp.ClientSession(f"http://127.0.0.1:{port}") as control,
        aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(force_close=True)
        ) as session,
    ):
        url = f"http://127.0.0.1:{host.listings['vm-0'].port}/order"

        async def send(*faults):
            async with control.post("/vms/vm-0/faults", json=faults) as answer:
                assert answer.status == 200, await answer.text()
            async with session.post(url, data=b"body", headers=HEADERS) as answer:
                return answer.status, await answer.read()

        yield send


async def test_faults_are_set_and_cleared_over_http(host, call):
    assert (await call({"kind": "error"}))[0] == 500
    with pytest.raises(aiohttp.ClientConnectorError):
        await call({"kind": "refuse"})
    with pytest.raises(aiohttp.ServerDisconnectedError):
        await call({"kind": "drop"})
    with pytest.raises(aiohttp.ClientPayloadError):
        await call({"kind": "cut"})
    assert (await call())[0] == 200
    assert [run.body for run in host.endpoints["vm-0"].runs] == ["body"] * 3


async def test_held_requests_count_until_released(host, call):
    endpoint = host.endpoints["vm-0"]
    held = asyncio.create_task(call({"kind": "hold"}))
    async with asyncio.timeout(10.0):
        await endpoint.started.wait()
    assert endpoint.in_flight == 1
    endpoint.release()
    assert (await held)[0] == 200
    assert (endpoint.in_flight, endpoint.highest_in_flight) == (0, 1)
