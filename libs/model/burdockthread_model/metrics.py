"""Metrics: counters, gauges and timings, sent by statsd or kept in memory."""

from abc import ABC, abstractmethod
from collections import Counter

from statsd import StatsClient


class Metrics(ABC):
    """Receiver of counters, gauges and timings."""

    @abstractmethod
    def count(self, name: str, amount: int = 1) -> None:
        """Adds to a counter."""

    @abstractmethod
    def gauge(self, name: str, value: float) -> None:
        """Sets a gauge."""

    @abstractmethod
    def timing(self, name: str, seconds: float) -> None:
        """Records a duration in seconds."""


class MemoryMetrics(Metrics):
    """Keeps counters and gauges in memory, for dumps and tests."""

    def __init__(self) -> None:
        self.counters: Counter[str] = Counter()
        self.gauges: dict[str, float] = {}

    def count(self, name: str, amount: int = 1) -> None:
        """Adds to a counter."""
        self.counters[name] += amount

    def gauge(self, name: str, value: float) -> None:
        """Sets a gauge."""
        self.gauges[name] = value

    def timing(self, name: str, seconds: float) -> None:
        """Counts the sample as ``<name>.samples``; the duration is not kept."""
        self.counters[f"{name}.samples"] += 1


class StatsdMetrics(MemoryMetrics):
    """Keeps the values in memory and also sends each by statsd over UDP."""

    def __init__(self, host: str, port: int, prefix: str) -> None:
        super().__init__()
        self.client = StatsClient(host=host, port=port, prefix=prefix)

    def count(self, name: str, amount: int = 1) -> None:
        """Adds to a counter."""
        super().count(name, amount)
        self.client.incr(name, amount)

    def gauge(self, name: str, value: float) -> None:
        """Sets a gauge."""
        super().gauge(name, value)
        self.client.gauge(name, value)

    def timing(self, name: str, seconds: float) -> None:
        """Records a duration in seconds."""
        super().timing(name, seconds)
        self.client.timing(name, seconds * 1000.0)
