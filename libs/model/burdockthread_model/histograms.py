"""Counters and latency histograms as text for a scraper."""

from bisect import bisect_left
from collections import Counter

from burdockthread_model.metrics import MemoryMetrics

BOUNDS_S = (
    0.001,
    0.0025,
    0.005,
    0.01,
    0.025,
    0.05,
    0.1,
    0.25,
    0.5,
    1.0,
    2.5,
    5.0,
    10.0,
)
PREFIX = "burdockthread_"


class Histogram:
    """Durations counted by size.

    Attributes:
        counts: Number of durations up to each bound, and beyond the last.
        total_s: Sum of all durations in seconds.
    """

    __slots__ = ("counts", "total_s")

    def __init__(self) -> None:
        self.counts = [0] * (len(BOUNDS_S) + 1)
        self.total_s = 0.0

    def add(self, seconds: float) -> None:
        """Counts a duration."""
        self.counts[bisect_left(BOUNDS_S, seconds)] += 1
        self.total_s += seconds


class HistogramMetrics(MemoryMetrics):
    """Keeps counters, gauges and a histogram of each timing."""

    def __init__(self) -> None:
        super().__init__()
        self.histograms: dict[str, Histogram] = {}

    def timing(self, name: str, seconds: float) -> None:
        """Counts a duration in its histogram."""
        histogram = self.histograms.get(name)
        if histogram is None:
            histogram = self.histograms[name] = Histogram()
        histogram.add(seconds)

    def text(self) -> str:
        """Returns all values in the text form of Prometheus."""
        lines = values_text(self.counters, "counter")
        lines += values_text(self.gauges, "gauge")
        for name, histogram in sorted(self.histograms.items()):
            lines += histogram_text(metric_name(name) + "_seconds", histogram)
        return "\n".join(lines) + "\n"


def metric_name(name: str) -> str:
    """Returns a name that scrapers accept."""
    return PREFIX + "".join(c if c.isalnum() else "_" for c in name)


def values_text(values: Counter[str] | dict[str, float], kind: str) -> list[str]:
    """Returns the lines of counters or gauges."""
    lines = []
    for name, value in sorted(values.items()):
        lines.append(f"# TYPE {metric_name(name)} {kind}")
        lines.append(f"{metric_name(name)} {value:g}")
    return lines


def histogram_text(name: str, histogram: Histogram) -> list[str]:
    """Returns the lines of a histogram."""
    lines = [f"# TYPE {name} histogram"]
    count = 0
    for bound, found in zip((*BOUNDS_S, "+Inf"), histogram.counts, strict=True):
        count += found
        lines.append(f'{name}_bucket{{le="{bound}"}} {count}')
    lines.append(f"{name}_sum {histogram.total_s:g}")
    lines.append(f"{name}_count {count}")
    return lines
