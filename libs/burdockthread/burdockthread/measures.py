"""Format in which benchmark results are printed."""

from typing import NamedTuple


class Measure(NamedTuple):
    """One measured figure against its baseline and target.

    Attributes:
        name: What was measured.
        site: Site whose sizes were used, or ``target`` for the target size.
        value: Figure measured.
        unit: Its unit.
        baseline: The same figure of the baseline in the same run, or None.
        target: Required bound as text, such as ``<=8``, or empty.
        holds: Whether the target is met, or None without a target.
    """

    name: str
    site: str
    value: float
    unit: str
    baseline: float | None = None
    target: str = ""
    holds: bool | None = None

    def line(self) -> str:
        """Returns the output line with all fields as ``name=value`` pairs."""
        baseline = "-" if self.baseline is None else f"{self.baseline:.6g}"
        holds = "-" if self.holds is None else ("yes" if self.holds else "no")
        return (
            f"measure={self.name} site={self.site} value={self.value:.6g}"
            f" unit={self.unit} baseline={baseline} target={self.target or '-'}"
            f" holds={holds}"
        )


def at_most(
    name: str, site: str, value: float, unit: str, target: float, baseline: float | None
) -> Measure:
    """Returns a measure whose target is an upper bound."""
    holds = value <= target
    return Measure(name, site, value, unit, baseline, f"<={target:g}", holds)


def at_least(
    name: str, site: str, value: float, unit: str, target: float, baseline: float | None
) -> Measure:
    """Returns a measure whose target is a lower bound."""
    holds = value >= target
    return Measure(name, site, value, unit, baseline, f">={target:g}", holds)
