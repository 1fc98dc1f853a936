"""The form in which measurements are printed."""

from typing import NamedTuple


class Measure(NamedTuple):
    """One measured figure against its baseline and target.

    Attributes:
        name: What was measured.
        site: Site whose sizes were used, or ``target`` for the target size.
        value: Figure measured.
        unit: Its unit.
        baseline: The same figure of the baseline in the same run, or None.
        target: Target from the stated need, as text such as ``<=8``, or empty.
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
        """Returns the line that is printed."""
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
    """Returns a measure that holds up to a target."""
    holds = value <= target
    return Measure(name, site, value, unit, baseline, f"<={target:g}", holds)


def at_least(
    name: str, site: str, value: float, unit: str, target: float, baseline: float | None
) -> Measure:
    """Returns a measure that holds from a target on."""
    holds = value >= target
    return Measure(name, site, value, unit, baseline, f">={target:g}", holds)
