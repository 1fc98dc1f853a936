"""Names of faults in scenarios and the switches they stand for."""

from burdockthread_store.faults import FaultSettings

from burdockthread_scenarios.driver import ScenarioError


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
