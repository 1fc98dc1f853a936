"""Names of faults in scenarios and the switches they stand for."""

from burdockthread_fleet.memory_workers import WorkerFaults
from burdockthread_store.faults import FaultSettings

from burdockthread_scenarios.driver import ScenarioError


def worker_faults(name: str, amount: float) -> WorkerFaults:
    """Returns the switches for a fault of workers in memory.

    Args:
        name: Name in a scenario.
        amount: Seconds or a factor.

    Raises:
        ScenarioError: No such fault.
    """
    faults = WorkerFaults()
    match name:
        case "fails":
            faults.fails_everything = True
        case "reports_late":
            faults.report_lag_s = amount
        case "lies":
            faults.size_factor = amount
        case "loses_answers":
            faults.loses_answers = True
        case "paused":
            faults.paused = True
        case _:
            raise ScenarioError(f"no fault {name} of workers")
    return faults


def store_fault(name: str, amount: float) -> FaultSettings:
    """Returns the switches for a fault of the store.

    Args:
        name: Name in a scenario.
        amount: Seconds, or how many calls are hit.

    Raises:
        ScenarioError: No such fault.
    """
    switches: dict[str, FaultSettings] = {
        "down": {"down": True},
        "slow": {"slow_s": amount},
        "flapping": {"flap_s": amount},
        "lagging": {"lag_s": amount},
        "reordered": {"reorder": True, "duplicate": True},
        "lose_answers": {"lose_answers": int(amount)},
        "drop_requests": {"drop_requests": int(amount)},
        "late_write": {"late_write_s": amount},
        "close_watches": {"close_watches": True},
        "silence_watches": {"silence_watches": True},
        "compact": {"compact": True},
    }
    if name not in switches:
        raise ScenarioError(f"no fault {name} of the store")
    return switches[name]
