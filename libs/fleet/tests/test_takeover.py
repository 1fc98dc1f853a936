from collections import Counter

import pytest
from burdockthread_fleet.leadership import LEASE_TTL_S
from burdockthread_fleet.vm_control import MemoryVmControl
from burdockthread_fleet.waves import read_wave
from burdockthread_model.clock import MemoryClock
from burdockthread_model.steps import Step
from burdockthread_model.vm import VmState, VmStatus

from .conftest import check_invariants, make_due

VM_STEPS = [step for step in Step if step.startswith("vm.")]
ORDERS = ("assign", "drain", "reboot")
PAUSE_S = 2 * LEASE_TTL_S + 30


class Pause:
    """Pauses one planner, once, until another has taken over."""

    def __init__(self, fleet, node):
        self.fleet = fleet
        self.node = node
        self.done = False

    async def __call__(self):
        if self.done:
            return
        self.done = True
        self.node.paused = True
        await self.fleet.run(PAUSE_S)
        self.node.paused = False


class PausedControl(MemoryVmControl):
    """Pauses between the record of an order and the order itself."""

    def __init__(self, fleet, order, pause):
        super().__init__(fleet.directory, fleet.clock)
        self.__dict__.update(fleet.control.__dict__)
        self.order = order
        self.pause = pause

    async def drain(self, vm, boot_id):
        if self.order == "drain":
            await self.pause()
        return await super().drain(vm, boot_id)

    async def assign(self, vm, pool, generation):
        if self.order == "assign":
            await self.pause()
        return await super().assign(vm, pool, generation)

    async def reboot(self, vm, boot_id):
        if self.order == "reboot":
            await self.pause()
        return await super().reboot(vm, boot_id)


@pytest.fixture(params=["own clock", "stopped clock"])
async def pair(request, fleet):
    """Returns a fleet and its lease holder, whose clock may be a stopped one."""
    fleet.nodes.clear()
    await fleet.clock.advance(LEASE_TTL_S)
    stopped = MemoryClock(fleet.clock.now())
    holder = fleet.add_node("holder", stopped if "stop" in request.param else None)
    await fleet.run(1)
    fleet.add_node("other")
    assert holder.leadership.held()
    return fleet, holder


def is_idle(fleet):
    """Returns whether no VM is disrupted, no wave active and no work planned."""
    node = fleet.nodes[0]
    wave = read_wave(node.pool_cache, fleet.organisations()[0])
    out = any(r.state is not VmState.SERVING for r in fleet.records().values())
    return not out and not wave.active and node.planner.plan().empty()


async def finish(fleet):
    """Runs until idle; checks minima on the way and the final state of all VMs."""
    pools = fleet.nodes[0].view.pools.values()
    for _ in range(240):
        await fleet.tick()
        if fleet.control.reboots and is_idle(fleet):
            break
        for pool in pools:
            assert fleet.available(pool.name) >= pool.min_available
    check_invariants(fleet)
    reboots = Counter(vm for vm, _ in fleet.control.reboots)
    assert max(reboots.values()) == 1
    assert {r.state for r in fleet.records().values()} == {VmState.SERVING}
    assert {v.status for v in fleet.directory.listings.values()} == {VmStatus.LIVE}


@pytest.mark.parametrize("step", [s for s in VM_STEPS if s is not Step.VM_MOVED])
async def test_planner_resumed_after_a_takeover_in_a_wave_breaks_no_invariant(
    pair, step
):
    fleet, holder = pair
    pause = Pause(fleet, holder)
    holder.steps.actions[step] = pause
    make_due(fleet)
    await finish(fleet)
    assert pause.done


@pytest.mark.parametrize("order", ORDERS)
async def test_planner_resumed_with_a_late_order_breaks_no_invariant(pair, order):
    fleet, holder = pair
    pause = Pause(fleet, holder)
    holder.planner.lifecycle.control = PausedControl(fleet, order, pause)
    make_due(fleet)
    await finish(fleet)
    assert pause.done


@pytest.mark.parametrize("step", VM_STEPS)
async def test_planner_resumed_after_a_takeover_in_a_move_breaks_no_invariant(
    pair, step
):
    fleet, holder = pair
    pause = Pause(fleet, holder)
    holder.steps.actions[step] = pause
    document = fleet.template.document
    document["pools"]["a"]["vms"] = 8
    fleet.accept(document)
    if step is Step.VM_RETURNED:
        make_due(fleet)
    await finish(fleet)
    assert pause.done
    assert fleet.available("o/a") == 8
