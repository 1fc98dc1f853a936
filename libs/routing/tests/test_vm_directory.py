import pytest
from aiohttp import web
from burdockthread_model.errors import PlatformError
from burdockthread_model.rendering import to_plain
from burdockthread_routing.vm_directory import HttpVmDirectory
from burdockthread_standins.processes import listening


class Platform:
    """Serves a list of VMs, with an entity tag if `tag` is set."""

    def __init__(self):
        self.items = []
        self.tag = ""
        self.answers = []
        self.status = 200

    async def get_list(self, request):
        if self.tag and request.headers.get("If-None-Match") == self.tag:
            self.answers.append(304)
            return web.Response(status=304)
        self.answers.append(200)
        headers = {"ETag": self.tag}
        return web.json_response(self.items, status=self.status, headers=headers)


@pytest.fixture
def platform():
    return Platform()


@pytest.fixture
async def directory(platform):
    app = web.Application()
    app.router.add_get("/vms", platform.get_list)
    async with listening(app, "127.0.0.1", 0) as port:
        http_directory = HttpVmDirectory(f"http://127.0.0.1:{port}")
        yield http_directory
        await http_directory.close()


@pytest.mark.parametrize("tag", ["", '"1"'])
async def test_a_list_that_has_not_changed_is_not_decoded_again(
    directory, platform, add_vm, tag
):
    platform.items = [to_plain(add_vm("vm-0"))]
    platform.tag = tag
    first = await directory.list()
    assert [listing.name for listing in first] == ["vm-0"]
    assert await directory.list() is first
    assert platform.answers[-1] == (304 if tag else 200)
    platform.items = [to_plain(add_vm("vm-1"))]
    platform.tag = tag and '"2"'
    assert [listing.name for listing in await directory.list()] == ["vm-1"]


@pytest.mark.parametrize("tag", ["", '"1"'])
async def test_a_malformed_list_is_an_error_each_time(directory, platform, tag):
    platform.tag = tag
    platform.items = [{"name": 7}]
    for _ in range(2):
        with pytest.raises(PlatformError):
            await directory.list()


async def test_a_list_with_an_error_status_is_not_used(directory, platform, add_vm):
    platform.items = [to_plain(add_vm("vm-0"))]
    platform.status = 503
    with pytest.raises(PlatformError):
        await directory.list()
    assert directory.listings == ()
