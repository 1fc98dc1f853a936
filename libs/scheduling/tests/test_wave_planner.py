"""Choice of the machines that a maintenance wave takes out, and when."""

import pytest
from burdockthread_model.clock import MemoryClock
from burdockthread_model.events import EventLog
from burdockthread_scheduling.machine_ledger import MachineLedger
from burdockthread_scheduling.machines import Machine, MachineState, Wave
from burdockthread_scheduling.memory_machines import MemoryWaves
from burdockthread_scheduling.pool_status import PoolStatus, WorkerStatus
from burdockthread_scheduling.specs import FleetConfiguration, PoolSpec, QueueSpec
from burdockthread_scheduling.wave_planner import Urgency, WavePlanner
from burdockthread_scheduling.workers import Capacity
from burdockthread_store.store import Guard

POOLS = ("busy", "idle")
CONFIGURATION = FleetConfiguration(
    1,
    {pool: QueueSpec(pool, pool, "/", pool) for pool in POOLS},
    {pool: PoolSpec(pool) for pool in POOLS},
)


@pytest.fixture
def ledger(clock: MemoryClock):
    found = MachineLedger(lambda: CONFIGURATION, clock)
    machines = [
        Machine(
            f"{pool}-{n}",
            pool,
            MachineState.UP,
            "z",
            (),
            Capacity(1000),
            f"{pool}-w{n}",
        )
        for pool in POOLS
        for n in range(4)
    ]
    found.update_list(tuple(machines), clock.now())
    for pool, running in zip(POOLS, (2_000, 0), strict=True):
        workers = tuple(
            WorkerStatus(f"{pool}-w{n}", 1000, 0, 0, 0, False, True, 0.0)
            for n in range(4)
        )
        found.update_status(PoolStatus(pool, 1, 0, running, 0.0, 0.0, workers, {}))
    return found


@pytest.fixture
def planner(ledger, clock):
    guard = Guard("duty", 1)
    return WavePlanner(ledger, MemoryWaves(), guard, 2.0, clock, EventLog("test"))


def chosen(planner, ledger, duration_s):
    """The pools whose machines a wave of all machines takes out first."""
    names = tuple(sorted(ledger.machines))
    wave = Wave(1, names, duration_s, 8)
    planner.seen_s[1] = planner.clock.now()
    planner.choose(wave, [ledger.machines[name] for name in names])
    return {ledger.machines[name].pool for name in ledger.intents}


@pytest.mark.parametrize("duration_s", [5.0, 100.0])
def test_pool_at_its_peak_keeps_its_machines_while_there_is_time(
    planner, ledger, duration_s
):
    assert chosen(planner, ledger, duration_s) == {"idle"}


def test_urgent_wave_takes_machines_of_every_pool(planner, ledger):
    assert chosen(planner, ledger, 4.0) == {"busy", "idle"}


def test_half_of_a_pool_stays_in_service(planner, ledger):
    chosen(planner, ledger, 4.0)
    assert len(ledger.intents) == 4


@pytest.mark.parametrize(
    ("duration_s", "hurry"),
    [(8.1, Urgency.CALM), (7.9, Urgency.HURRIED), (4.6, Urgency.PRESSED)],
)
def test_urgency_grows_with_the_share_of_time_that_is_needed(
    planner, ledger, duration_s, hurry
):
    wave = Wave(1, tuple(ledger.machines), duration_s, 8)
    planner.seen_s[1] = planner.clock.now()
    assert planner.urgency(wave, list(ledger.machines.values())) is hurry
