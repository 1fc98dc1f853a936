"""Orders to machines from an entry whose process, link or connections are full.

The pattern: the planner's lease outlasts an order by its time-out alone. An order that
waits longer before it is sent may meet the orders of the next planner.
"""

import pytest
from burdockthread_scheduling.machines import Wave
from burdockthread_scheduling.pool_status import MACHINE_ORDER_TIMEOUT_S
from planned_site import planned_site


@pytest.fixture
async def site():
    async with planned_site() as found:
        yield found


async def test_order_that_waits_beyond_its_time_out_is_never_sent(site):
    before = list(site.machines.orders)
    site.machines.delay_s = 3 * MACHINE_ORDER_TIMEOUT_S
    site.waves.asked.append(Wave(1, ("m6", "m7"), 30.0, 2))
    await site.pass_time(8 * MACHINE_ORDER_TIMEOUT_S)
    assert site.machines.orders == before


async def test_order_is_sent_again_once_the_entry_is_prompt(site):
    site.machines.delay_s = 3 * MACHINE_ORDER_TIMEOUT_S
    site.waves.asked.append(Wave(1, ("m6", "m7"), 30.0, 2))
    await site.pass_time(3 * MACHINE_ORDER_TIMEOUT_S)
    site.machines.delay_s = 0.0
    await site.until(lambda: site.waves.told.get(1) is True)
    assert sorted(site.machines.maintained[1]) == ["m6", "m7"]
