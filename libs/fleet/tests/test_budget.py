import pytest
from burdockthread_fleet.budget import failure_margin, may_disrupt, worst_loss
from burdockthread_fleet.memory_fleet import rack_listings
from burdockthread_model.intended import FailureDomain, PoolSpec
from hypothesis import given
from hypothesis import strategies as st

ZONES = ("palermo", "catania", "trapani")
VMS = rack_listings(ZONES, 24)


def pool(vms, floor, survives):
    return PoolSpec("o/p", "o", vms, floor, FailureDomain(survives))


@pytest.mark.parametrize(("survives", "loss"), [("vm", 1), ("rack", 4), ("zone", 8)])
def test_worst_loss_by_domain(survives, loss):
    assert worst_loss(VMS, FailureDomain(survives)) == loss


@pytest.mark.parametrize(
    ("survives", "floor", "allowed"),
    [("vm", 22, True), ("vm", 23, False), ("rack", 19, True), ("rack", 20, False)],
)
def test_vm_may_be_disrupted_only_if_the_worst_failure_keeps_the_minimum(
    survives, floor, allowed
):
    spec = pool(24, floor, survives)
    assert may_disrupt(spec, VMS, VMS[0].name) is allowed


@given(
    st.lists(st.sampled_from(VMS), unique=True, min_size=1),
    st.integers(0, 24),
    st.sampled_from(list(FailureDomain)),
)
def test_minimum_survives_any_failure_after_all_allowed_disruptions(
    available, floor, survives
):
    spec = pool(len(available), floor, survives)
    left = list(available)
    for listing in available:
        if may_disrupt(spec, left, listing.name):
            left.remove(listing)
    if len(left) == len(available):
        return
    for zone, rack in {(v.availability_zone, v.rack) for v in left}:
        failed = {
            FailureDomain.VM: [left[0]],
            FailureDomain.RACK: [v for v in left if v.rack == rack],
            FailureDomain.ZONE: [v for v in left if v.availability_zone == zone],
        }[survives]
        assert len(left) - len(failed) >= floor
    assert failure_margin(spec, left) >= 0
