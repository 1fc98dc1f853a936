import aiohttp
import pytest
from aiohttp import web
from burdockthread_model.rendering import to_plain
from burdockthread_model.vm import VmListing, VmStatus
from burdockthread_routing.vm_directory import HttpVmDirectory
from burdockthread_standins.platform_vms import PlatformVms
from burdockthread_standins.processes import listening

HOST = "http://127.0.0.1:1"
LISTING = VmListing("vm-0", "127.0.0.1", 1, "z", "r", "k", 4, 8, 0, VmStatus.LIVE, "b")
CHANGES = {
    "host": "127.0.0.2",
    "port": 2,
    "availability_zone": "y",
    "region": "q",
    "rack": "l",
    "cores": 5,
    "memory_gb": 9,
    "accelerators": 1,
    "status": VmStatus.LEAVING,
    "boot_id": "c",
}


@pytest.fixture
async def platform():
    async with aiohttp.ClientSession() as session:
        vms = PlatformVms(session)
        vms.publish(HOST, [to_plain(LISTING)])
        yield vms


@pytest.fixture
async def port(platform):
    app = web.Application()
    platform.add_routes(app)
    async with listening(app, "127.0.0.1", 0) as chosen:
        yield chosen


async def test_list_that_has_not_changed_is_not_sent_again(platform, port):
    async with aiohttp.ClientSession(f"http://127.0.0.1:{port}") as session:
        async with session.get("/vms") as answer:
            headers = {"If-None-Match": answer.headers["ETag"]}
        platform.publish(HOST, [to_plain(LISTING)])
        async with session.get("/vms", headers=headers) as answer:
            assert (answer.status, await answer.read()) == (304, b"")


@pytest.mark.parametrize("field", VmListing._fields)
async def test_each_change_of_the_list_reaches_its_reader(platform, port, field):
    directory = HttpVmDirectory(f"http://127.0.0.1:{port}")
    first = await directory.list()
    assert await directory.list() is first
    changed = LISTING._replace(**{field: CHANGES.get(field, "vm-1")})
    platform.publish(HOST, [to_plain(changed)])
    assert changed in await directory.list()
    await directory.close()
