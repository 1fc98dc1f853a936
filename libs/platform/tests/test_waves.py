"""Status of upkeep waves as written for operators."""

import pytest
from burdockthread_model.clock import MemoryClock
from burdockthread_model.errors import StoreError
from burdockthread_model.events import EventLog
from burdockthread_model.metrics import MemoryMetrics
from burdockthread_platform.waves import STATUS_PREFIX, WAVE_PREFIX, StoredWaves
from burdockthread_scheduling.duty import Tenure
from burdockthread_scheduling.machine_planner import (
    MachinePlanner,
    MachineTimes,
    PlannerParts,
)
from burdockthread_scheduling.records import duty_key
from burdockthread_scheduling.specs import FleetConfiguration
from burdockthread_store.memory_store import MemoryStore
from burdockthread_store.store import ANY_REVISION, Change, Guard, KeyValue

STATUS_KEY = f"{STATUS_PREFIX}1"
WAVE = b'{"wave": 1, "machines": ["m1"], "durationS": 20, "maxCount": 1}'


class Planners:
    """Planners that succeed one another at one store."""

    def __init__(self):
        self.clock = MemoryClock()
        self.store = MemoryStore(self.clock)

    async def planner(self):
        """Builds the next planner, which has read one wave."""
        log = EventLog("test")
        waves = StoredWaves(self.store, log)
        waves.on_change(f"{WAVE_PREFIX}1", KeyValue(f"{WAVE_PREFIX}1", WAVE, 1))
        parts = PlannerParts(
            entry="entry-1",
            store=self.store,
            control=None,
            waves=waves,
            lease=None,
            configuration=lambda: FleetConfiguration(1, {}, {}),
            times=MachineTimes(1.5, 2.0, 3.0),
            clock=self.clock,
            metrics=MemoryMetrics(),
            log=log,
        )
        key = duty_key("machines")
        fence = await self.store.write([Change(key, b"holder", ANY_REVISION)])
        return MachinePlanner(Tenure("machines", fence, Guard(key, fence)), parts)

    async def status(self):
        """Returns the status that operators read."""
        found = await self.store.get(STATUS_KEY)
        return found.value


@pytest.fixture
def planners():
    return Planners()


async def test_running_wave_is_reported(planners):
    planner = await planners.planner()
    await planner.waves.plan()
    assert await planners.status() == b'{"state": "running"}'


# A planner that had lost its duty wrote its first status after the last status of
# its successor, which left a completed wave as running.
async def test_late_status_of_an_earlier_planner_is_refused(planners):
    earlier = await planners.planner()
    later = await planners.planner()
    change = Change(STATUS_KEY, b'{"state": "completed"}', ANY_REVISION)
    await planners.store.write([change], [later.tenure.guard])
    with pytest.raises(StoreError):
        await earlier.waves.plan()
    assert await planners.status() == b'{"state": "completed"}'
