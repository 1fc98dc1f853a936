from collections import Counter

import pytest
from burdockthread_fleet.memory_fleet import MemoryFleet, rack_listings
from burdockthread_model.vm import VmState

from .job_site import Site

ZONES = ("palermo", "catania", "trapani")
PERIOD_DAYS = 35.0


def small_template(**pools):
    """Returns a template of organisation ``o`` with the pools given by keyword."""
    return {
        "name": "t",
        "organisations": {"o": {}},
        "pools": pools,
        "services": {},
        "maintenance": {
            "period_days": PERIOD_DAYS,
            "drain_timeout_s": 60,
            "return_timeout_s": 60,
        },
    }


def make_due(fleet):
    """Shortens the maintenance period so that every VM is due."""
    document = {**fleet.template.document}
    document["maintenance"] = {**document["maintenance"], "period_days": 0.02}
    fleet.accept(document)


def check_invariants(fleet):
    """Checks that no boot was ended twice and that serving VMs have their pool."""
    per_boot = Counter(fleet.control.reboots)
    assert max(per_boot.values(), default=0) <= 1
    for name, record in fleet.records().items():
        if record.state is VmState.SERVING and name in fleet.directory.listings:
            assert fleet.control.pools.get(name) == record.pool


@pytest.fixture
def document():
    return small_template(
        a={"vms": 6, "min_available": 4},
        b={"vms": 4, "min_available": 2, "survives": "rack"},
        s={"vms": 4, "min_available": 1, "spare": True},
    )


@pytest.fixture
async def fleet(document):
    fleet = MemoryFleet(rack_listings(ZONES, 14))
    fleet.add_node("first")
    fleet.accept(document)
    await fleet.run(5)
    return fleet


@pytest.fixture
async def site(clock, store, metrics, log):
    site = Site(clock, store, metrics, log)
    site.add_pool("ledger", 2)
    yield site
    for node in site.nodes:
        await node.kill()
