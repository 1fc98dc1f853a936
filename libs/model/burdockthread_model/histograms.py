"""Counters, gauges and latency histograms in the Prometheus text format."""

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
    """Histogram of durations with the buckets of `BOUNDS_S`.

    Attributes:
        counts: Number of durations in each bucket; the last is for longer ones.
        total_s: Sum of all durations in seconds.
    """

    __slots__ = ("counts", "total_s")

    def __init__(self) -> None:
        self.counts = [0] * (len(BOUNDS_S) + 1)
        self.total_s = 0.0

    def add(self, seconds: float) -> None:
        """Adds a duration in seconds."""
        self.counts[bisect_left(BOUNDS_S, seconds)] += 1
        self.total_s += seconds


class HistogramMetrics(MemoryMetrics):
    """Keeps counters and gauges, and a histogram for each timing."""

    def __init__(self) -> None:
        super().__init__()
        self.histograms: dict[str, Histogram] = {}

    def timing(self, name: str, seconds: float) -> None:
        """Adds a duration to the histogram of this name."""
        histogram = self.histograms.get(name)
        if histogram is None:
            histogram = self.histograms[name] = Histogram()
        histogram.add(seconds)

    def text(self) -> str:
        """Returns all metrics in the Prometheus text format."""
        lines = values_text(self.counters, "counter")
        lines += values_text(self.gauges, "gauge")
        for name, histogram in sorted(self.histograms.items()):
            lines += histogram_text(metric_name(name) + "_seconds", histogram)
        return "\n".join(lines) + "\n"


def metric_name(name: str) -> str:
    """Returns a metric name that is valid in Prometheus."""
    return PREFIX + "".join(c if c.isalnum() else "_" for c in name)


def values_text(values: Counter[str] | dict[str, float], kind: str) -> list[str]:
    """Returns the lines for counters or gauges, sorted by name."""
    lines = []
    for name, value in sorted(values.items()):
        lines.append(f"# TYPE {metric_name(name)} {kind}")
        lines.append(f"{metric_name(name)} {value:g}")
    return lines


def histogram_text(name: str, histogram: Histogram) -> list[str]:
    """Returns the lines for one histogram, with cumulative buckets."""
    lines = [f"# TYPE {name} histogram"]
    count = 0
    for bound, found in zip((*BOUNDS_S, "+Inf"), histogram.counts, strict=True):
        count += found
        lines.append(f'{name}_bucket{{le="{bound}"}} {count}')
    lines.append(f"{name}_sum {histogram.total_s:g}")
    lines.append(f"{name}_count {count}")
    return lines
