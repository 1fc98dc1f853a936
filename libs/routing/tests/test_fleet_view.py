import asyncio

import pytest
from burdockthread_model.vm import VmStatus
from burdockthread_routing.vm_directory import MemoryVmDirectory


@pytest.fixture
def vms(view, service):
    return lambda: {endpoint.vm for endpoint in view.endpoints(service)}


def test_the_first_leaving_signal_stops_new_requests(view, add_vm, vms):
    reported = []
    view.leaving_listeners.append(lambda vm, boot_id: reported.append((vm, boot_id)))
    add_vm("vm-0")
    listing = add_vm("vm-1")
    assert vms() == {"vm-0", "vm-1"}
    assert view.mark_leaving("vm-0")
    assert vms() == {"vm-1"}
    assert not view.mark_leaving("vm-0")
    view.on_listings((view.listings["vm-0"], listing._replace(status=VmStatus.LEAVING)))
    assert not vms()
    assert reported == [("vm-0", "b1"), ("vm-1", "b1")]


def test_a_lagging_list_does_not_undo_a_signal(view, add_vm, vms):
    listing = add_vm("vm-0")
    view.mark_leaving("vm-0")
    view.on_listings((listing,))
    assert not vms()
    view.on_listings((listing._replace(boot_id="b2"),))
    assert vms() == {"vm-0"}


def test_a_vm_that_is_listed_as_live_again_serves_again(view, add_vm, vms):
    listing = add_vm("vm-0")
    view.on_listings((listing._replace(status=VmStatus.LEAVING),))
    assert not vms()
    view.on_listings((listing,))
    assert vms() == {"vm-0"}


def test_a_peers_signal_applies_only_to_the_boot_it_names(view, add_vm, vms):
    add_vm("vm-0")
    assert not view.mark_leaving("vm-0", "b0")
    assert vms() == {"vm-0"}
    assert view.mark_leaving("vm-0", "b1")
    assert not vms()


def test_a_signal_of_an_unknown_vm_is_ignored(view):
    assert not view.mark_leaving("vm-9")


async def test_the_last_list_is_used_while_the_platform_is_unavailable(
    view, add_vm, vms, clock
):
    listing = add_vm("vm-0")
    view.directory = MemoryVmDirectory((listing,))
    reading = asyncio.create_task(view.run(1.0))
    await clock.advance(1.5)
    view.directory.down = True
    await clock.advance(5.0)
    assert vms() == {"vm-0"}
    view.directory.down = False
    view.directory.listings.clear()
    await clock.advance(1.5)
    assert not vms()
    reading.cancel()
