"""Load of this process: lateness of its event loop, processor time and traffic."""

import resource
from collections import Counter

from burdockthread_model.clock import Clock
from burdockthread_model.events import EventLog
from burdockthread_model.metrics import Metrics

TICK_S = 0.1
REPORT_INTERVAL_S = 5.0
# A tick that is late by less is on time: timers fire slightly late.
MIN_LATENESS_S = 0.02
# A link that carries this share of its rate has a queue of packets.
FULL_LINK_SHARE = 0.8
# Kinds of calls that a report names, most bytes first.
MAX_REPORTED_KINDS = 6


class LoadMonitor:
    """Measures how late the event loop is and what crosses the link.

    Attributes:
        link_bytes_per_s: Rate of the link to this process.
        late_s: Total time in seconds by which ticks were late since the start;
            differences tell for how long the process did not run.
        full_s: Total time in seconds for which the link was full since the start.
        longest_s: Greatest lateness of a tick since the last report.
        received: Bytes received since the last tick.
        traffic: Bytes sent and received since the last report, by kind of call.
        calls: Calls since the last report, by kind.
    """

    def __init__(
        self,
        clock: Clock,
        metrics: Metrics,
        log: EventLog,
        link_bytes_per_s: float = float("inf"),
    ) -> None:
        self.clock = clock
        self.metrics = metrics
        self.log = log
        self.link_bytes_per_s = link_bytes_per_s
        self.late_s = 0.0
        self.full_s = 0.0
        self.longest_s = 0.0
        self.received = 0
        self.due_s = float("inf")
        self.traffic: Counter[str] = Counter()
        self.calls: Counter[str] = Counter()

    def note_call(self, kind: str, sent: int, received: int) -> None:
        """Counts a call with the bytes of its bodies.

        Args:
            kind: Kind of the call, such as ``worker.start``.
            sent: Bytes of the request's body.
            received: Bytes of the answer's body.
        """
        self.calls[kind] += 1
        self.traffic[kind] += sent + received
        self.metrics.count(f"calls.{kind}")
        self.metrics.count(f"sent_bytes.{kind}", sent)
        self.metrics.count(f"received_bytes.{kind}", received)

    def note_silence(self, address: str, silent_s: float, dropped: int) -> None:
        """Logs a connection without an answer.

        Args:
            address: Host and port of the callee.
            silent_s: Seconds for which the call had the connection.
            dropped: Number of idle connections to the address that were closed.
        """
        self.metrics.count("calls.silent_connections")
        if dropped:
            self.log.info(
                "connections_dropped",
                address=address,
                silent_s=round(silent_s, 3),
                n=dropped,
            )

    def note_received(self, size: int) -> None:
        """Counts bytes of an answer as they arrive."""
        self.received += size

    def hindered_s(self) -> float:
        """Returns the total time in which calls waited for this process or its link.

        It includes the lateness of a tick that is overdue now.
        """
        return self.late_s + self.full_s + max(self.clock.now() - self.due_s, 0.0)

    async def run(self) -> None:
        """Measures until cancelled."""
        reported_s, used_s = self.clock.now(), processor_s()
        while True:
            started_s = self.clock.now()
            self.due_s = started_s + TICK_S
            await self.clock.sleep(TICK_S)
            now = self.clock.now()
            self.note_lateness(now - self.due_s)
            self.note_link(now - started_s)
            if now - reported_s >= REPORT_INTERVAL_S:
                spent_s = processor_s() - used_s
                self.report(now - reported_s, spent_s)
                reported_s, used_s = now, used_s + spent_s

    def note_lateness(self, late_s: float) -> None:
        """Adds the lateness of a tick."""
        self.metrics.timing("process.late", max(late_s, 0.0))
        if late_s >= MIN_LATENESS_S:
            self.late_s += late_s
            self.longest_s = max(self.longest_s, late_s)

    def note_link(self, passed_s: float) -> None:
        """Adds the time of a tick if the link was full all the while.

        The lateness of the tick counts already.
        """
        received, self.received = self.received, 0
        if received >= FULL_LINK_SHARE * self.link_bytes_per_s * passed_s:
            self.full_s += min(passed_s, TICK_S)
            self.metrics.count("link.full_ticks")

    def report(self, passed_s: float, spent_s: float) -> None:
        """Logs the load since the last report, and forgets it."""
        most = self.traffic.most_common(MAX_REPORTED_KINDS)
        self.log.info(
            "load",
            cores=round(spent_s / passed_s, 3),
            longest_late_s=round(self.longest_s, 3),
            late_s=round(self.late_s, 3),
            link_full_s=round(self.full_s, 3),
            bytes_per_s=round(self.traffic.total() / passed_s),
            calls_per_s=round(self.calls.total() / passed_s, 1),
            most=" ".join(
                f"{kind}:{round(size / passed_s)}B/s,"
                f"{round(self.calls[kind] / passed_s, 1)}/s"
                for kind, size in most
            ),
        )
        self.longest_s = 0.0
        self.traffic.clear()
        self.calls.clear()


def processor_s() -> float:
    """Returns the processor time in seconds that this process has used."""
    used = resource.getrusage(resource.RUSAGE_SELF)
    return used.ru_utime + used.ru_stime
