import pytest
from burdockthread_fleet.feasibility import check_feasible
from burdockthread_fleet.memory_fleet import rack_listings
from burdockthread_model.errors import TemplateError
from burdockthread_model.rendering import document_from_raw, render
from burdockthread_model.vm import VmStatus

from .conftest import ZONES, small_template

VMS = {v.name: v for v in rack_listings(ZONES, 24)}


def specs(name="t", period_days=35.0, **pools):
    raw = {**small_template(**pools), "name": name}
    raw["maintenance"] = {"period_days": period_days}
    return render(document_from_raw(raw), 1)


@pytest.mark.parametrize(
    ("pools", "reason"),
    [
        ({"a": {"vms": 25, "min_available": 1}}, "need 25 VMs, the fleet has 24"),
        (
            {"a": {"vms": 9, "min_available": 1, "zones": ["palermo"]}},
            "need 9 VMs in palermo, which has 8",
        ),
        (
            {
                "a": {"vms": 8, "min_available": 1, "zones": ["palermo", "catania"]},
                "b": {"vms": 5, "min_available": 1, "zones": ["palermo"]},
                "c": {"vms": 5, "min_available": 1, "zones": ["catania"]},
            },
            "need 18 VMs in catania, palermo, which has 16",
        ),
        (
            {"a": {"vms": 6, "min_available": 5}},
            "one VM of catania out and the worst vm (1 VMs) lost, 4 remain",
        ),
        (
            {"a": {"vms": 6, "min_available": 4, "survives": "zone"}},
            "worst zone (2 VMs) lost, 3 remain",
        ),
        (
            {
                "a": {"vms": 2, "min_available": 0, "spare": True},
                "b": {"vms": 2, "min_available": 0},
            },
            "",
        ),
        ({"a": {"vms": 6, "min_available": 4}}, ""),
        ({"a": {"vms": 6, "min_available": 3, "survives": "zone"}}, ""),
    ],
)
def test_infeasible_template_is_refused_with_the_numbers(pools, reason):
    if not reason:
        check_feasible(specs(**pools), (), VMS)
        return
    with pytest.raises(TemplateError) as caught:
        check_feasible(specs(**pools), (), VMS)
    assert reason in str(caught.value)


def test_pools_of_other_templates_count_against_the_capacity():
    ours = specs(a={"vms": 12, "min_available": 4})
    theirs = specs("u", b={"vms": 13, "min_available": 4})
    with pytest.raises(TemplateError, match="need 25 VMs"):
        check_feasible(ours, theirs, VMS)


def test_two_templates_cannot_both_have_a_spare_pool():
    ours = specs(a={"vms": 1, "min_available": 0, "spare": True})
    theirs = specs("u", b={"vms": 1, "min_available": 0, "spare": True})
    with pytest.raises(TemplateError, match="has 2 spare pools: o/a, o/b"):
        check_feasible(ours, theirs, VMS)


def test_two_templates_cannot_have_the_same_pool():
    ours = specs(a={"vms": 1, "min_available": 0})
    theirs = specs("u", a={"vms": 1, "min_available": 0})
    with pytest.raises(TemplateError, match="o/a is in template u already"):
        check_feasible(ours, theirs, VMS)


def test_maintenance_period_that_is_too_short_is_refused():
    with pytest.raises(TemplateError, match="allows 9 s"):
        check_feasible(
            specs(period_days=0.0001, a={"vms": 9, "min_available": 6}), (), VMS
        )


def test_capacity_is_not_checked_without_a_list_of_vms():
    check_feasible(specs(a={"vms": 900, "min_available": 1}), (), {})


def test_examples_are_feasible(template, site_folder):
    zones = template["pools"][next(iter(template["pools"]))]["zones"]
    vms = {v.name: v for v in rack_listings(zones, 30)}
    check_feasible(render(template, 1), (), vms)


def test_vms_in_maintenance_count_towards_the_capacity():
    leaving = {
        name: listing._replace(status=VmStatus.LEAVING)
        for name, listing in list(VMS.items())[:2]
    }
    listings = VMS | leaving
    check_feasible(specs(a={"vms": 24, "min_available": 20}), (), listings)
