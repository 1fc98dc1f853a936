import pytest
from burdockthread_fleet.buffer import (
    DEFAULT_POLICY,
    PerPoolBuffer,
    PolicyMeasures,
    SharedSpareBuffer,
    better_policy,
)
from burdockthread_model.intended import PoolSpec, WeightsSpec

SPECS = [
    PoolSpec("o/a", "o", 6, 4),
    PoolSpec("o/b", "o", 6, 4),
    PoolSpec("o/s", "o", 6, 2, spare=True),
]
LOSSES = {"o/a": 1, "o/b": 1, "o/s": 1}


def test_both_policies_hold_the_budget_through_maintenance_and_failure():
    for policy in (PerPoolBuffer(), SharedSpareBuffer()):
        sizes = policy.sizes(SPECS, LOSSES, repairs=2)
        assert min(sizes.pools.values()) >= 4 + 1 + 1


def test_shared_spare_pool_reserves_the_repairs_only_once():
    own = PerPoolBuffer().sizes(SPECS, LOSSES, repairs=2)
    shared = SharedSpareBuffer().sizes(SPECS, LOSSES, repairs=2)
    assert (own.idle_vms(SPECS), shared.idle_vms(SPECS)) == (10, 8)


@pytest.mark.parametrize(
    ("policy", "moves"), [(PerPoolBuffer(), 0), (SharedSpareBuffer(), 2)]
)
async def test_policy_decides_whether_the_spare_pool_replaces_lost_vms(
    fleet, policy, moves
):
    node = fleet.nodes[0]
    node.planner.policy = policy
    gone = [r.name for r in fleet.records().values() if r.pool == "o/a"][:2]
    fleet.lose(*gone)
    await fleet.run(360)
    assert node.metrics.counters["planner.moves"] == moves
    assert fleet.available("o/a") == 4 + moves


def test_weights_decide_which_policy_is_better():
    measures = {
        "lean": PolicyMeasures(buffer=1, rollout=10, moves=1, flood=0),
        "fast": PolicyMeasures(buffer=10, rollout=1, moves=1, flood=0),
    }
    reference = PolicyMeasures(buffer=10, rollout=10, moves=100, flood=1)
    lean = better_policy(measures, reference, WeightsSpec(buffer=3))
    fast = better_policy(measures, reference, WeightsSpec(rollout=3))
    assert (lean[0], fast[0]) == ("lean", "fast")


def test_shared_spare_is_the_default(fleet):
    assert isinstance(DEFAULT_POLICY, SharedSpareBuffer)
    assert fleet.nodes[0].planner.policy is DEFAULT_POLICY
