"""Explains the course of one job from the logs of all entries."""

import re
from collections import Counter
from collections.abc import Iterable, Iterator
from typing import NamedTuple

PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
# An entry logs an outage at most this time after the first request that failed.
OUTAGE_WINDOW_S = 2.0
# Waits above this are reported: callers notice them. Shorter ones are normal.
LONG_WAIT_S = 1.0
# Events that affect every open job of a pool, of an entry or on a worker.
POOL_EVENTS = frozenset({"pool_taken_over", "pool_released", "takeover_waits"})
DUTY_EVENTS = frozenset({"duty_taken", "duty_dropped", "duty_handed_over"})
STORE_EVENTS = frozenset(
    {"store_lost", "store_regained", "lease_lost", "progress_not_stored"}
)
WORKER_EVENTS = frozenset(
    {
        "worker_lost",
        "worker_reached",
        "worker_rested",
        "worker_replaced",
        "worker_leases_lapsed",
        "worker_draining",
    }
)
ENDS = frozenset({"job_ended", "job_failed", "job_cancelled"})


class LogLine(NamedTuple):
    """One event logged by one entry.

    Attributes:
        time_s: Unix time in seconds.
        node: Entry that logged the event.
        event: Name of the event.
        fields: All fields by name.
    """

    time_s: float
    node: str
    event: str
    fields: dict[str, str]

    def text(self, start_s: float) -> str:
        """Formats the line for display, with the seconds since a start time."""
        left_out = {"time", "node", "event", "level"}
        rest = " ".join(f"{k}={v}" for k, v in self.fields.items() if k not in left_out)
        return f"{self.time_s - start_s:+9.3f} {self.node:20} {self.event:22} {rest}"


class Explanation(NamedTuple):
    """The course of a job according to the logs.

    Attributes:
        job: Id of the job.
        start_s: Unix time of the first line of the job.
        lines: Lines of the job, and of its pool, entries and workers while the job was
            open, by time.
        findings: Sentences that say what delayed or ended the job.
        missing: Sentences that name expected lines that no log contains.
    """

    job: str
    start_s: float
    lines: list[LogLine]
    findings: list[str]
    missing: list[str]


def parse_line(text: str) -> LogLine | None:
    """Parses a log line; returns None for text that is not an event."""
    fields = {key: value.strip('"') for key, value in PAIR.findall(text)}
    try:
        time_s = float(fields["time"])
        return LogLine(time_s, fields["node"], fields["event"], fields)
    except (KeyError, ValueError):
        return None


def read_lines(texts: Iterable[str]) -> list[LogLine]:
    """Parses the lines of several logs and sorts the events by time."""
    found = (parse_line(text) for text in texts)
    return sorted((line for line in found if line is not None), key=lambda x: x.time_s)


def explain(job: str, lines: list[LogLine]) -> Explanation:
    """Explains the course of a job.

    Args:
        job: Id of the job.
        lines: All lines of all entries, by time.
    """
    job_lines = [line for line in lines if names_job(line, job)]
    if not job_lines:
        return Explanation(job, 0.0, [], [], [f"no line names {job}"])
    trace = JobTrace(job, job_lines, lines)
    kept = {id(line): line for line in trace.relevant_lines()}
    return Explanation(
        job,
        job_lines[0].time_s,
        sorted(kept.values(), key=lambda line: line.time_s),
        list(dict.fromkeys(trace.findings())),
        list(trace.missing()),
    )


def names_job(line: LogLine, job: str) -> bool:
    """Returns whether a line names a job or one of its tasks."""
    named = line.fields.get("job") == job
    return named or line.fields.get("task", "").startswith(f"{job}.")


class JobTrace:
    """The lines of a job among the lines of all entries.

    Attributes:
        job_lines: Lines that name the job or one of its tasks.
        first_s: Unix time of the first of these.
        last_s: Unix time at which the job ended, or else of its last line.
        pool: Pool of the job; empty if no line names it.
        workers: Workers that the job's runs were sent to.
    """

    def __init__(
        self, job: str, job_lines: list[LogLine], lines: list[LogLine]
    ) -> None:
        self.job = job
        self.job_lines = job_lines
        self.lines = lines
        ends = [line.time_s for line in job_lines if line.event in ENDS]
        self.first_s = job_lines[0].time_s
        self.last_s = max(ends, default=job_lines[-1].time_s)
        self.pool = self.value("job_submitted", "pool")
        self.workers = {
            line.fields["worker"] for line in job_lines if line.event.startswith("run_")
        }

    def events(self, event: str) -> list[LogLine]:
        """Returns the job's lines with an event name."""
        return [line for line in self.job_lines if line.event == event]

    def value(self, event: str, field: str) -> str:
        """Returns a field of the first line of an event, or an empty text."""
        return next((line.fields.get(field, "") for line in self.events(event)), "")

    def concurrent_lines(self) -> Iterator[LogLine]:
        """Yields all lines from `OUTAGE_WINDOW_S` before the job until its end."""
        for line in self.lines:
            if self.first_s - OUTAGE_WINDOW_S <= line.time_s <= self.last_s:
                yield line

    def relevant_lines(self) -> Iterator[LogLine]:
        """Yields the job's lines, and those of its pool, entries and workers."""
        yield from self.job_lines
        holders = {line.node for line in self.job_lines if line.event == "job_taken"}
        nodes = holders | {line.node for line in self.events("job_submitted")}
        for line in self.concurrent_lines():
            pool = line.fields.get("pool") or line.fields.get("duty", "")[5:]
            of_pool = bool(self.pool) and pool == self.pool
            if (
                (line.event in POOL_EVENTS | DUTY_EVENTS and of_pool)
                or (line.event in STORE_EVENTS and line.node in nodes)
                or (
                    line.event in WORKER_EVENTS
                    and line.fields.get("worker") in self.workers
                )
            ):
                yield line

    def findings(self) -> Iterator[str]:
        """Yields a sentence for each cause that delayed or ended the job."""
        yield from self.acceptance_findings()
        yield from self.takeover_findings()
        yield from self.worker_findings()
        yield from self.wait_findings()
        yield from self.end_findings()

    def acceptance_findings(self) -> Iterator[str]:
        """Yields refusals and stale reads, and the store outage behind them."""
        for line in self.events("job_submitted"):
            outcome = line.fields.get("outcome", "")
            if outcome != "accepted":
                yield f"{line.node} answered its submission as {outcome}"
                yield from self.store_findings(line)
        for line in self.events("job_not_read"):
            yield f"{line.node} showed a state that was not read anew"
            yield from self.store_findings(line)

    def store_findings(self, line: LogLine) -> Iterator[str]:
        """Yields the reason if the store was unavailable to the entry of a line."""
        last: LogLine | None = None
        for found in self.lines:
            if found.time_s > line.time_s + OUTAGE_WINDOW_S:
                break
            if found.node != line.node or found.event not in STORE_EVENTS:
                continue
            if found.event != "store_regained":
                last = found
            elif found.time_s < line.time_s:
                last = None
        if last is not None:
            reason = last.fields.get("reason", "")
            yield f"the store did not serve {line.node}: {reason}"

    def takeover_findings(self) -> Iterator[str]:
        """Yields each change of the pool's holder while the job was open."""
        duty = f"pool:{self.pool}"
        holder = ""
        last_line_s: dict[str, float] = {}
        for line in self.lines:
            if line.time_s > self.last_s:
                return
            takes_pool = line.event == "duty_taken" and line.fields.get("duty") == duty
            if takes_pool and line.time_s > self.first_s:
                silent_s = line.time_s - last_line_s.get(
                    holder or line.node, line.time_s
                )
                yield (
                    f"{line.node} took the pool over from {holder or 'nobody'}, whose "
                    f"last line was {silent_s:.1f} s old"
                )
            if takes_pool:
                holder = line.node
            last_line_s[line.node] = line.time_s

    def worker_findings(self) -> Iterator[str]:
        """Yields the workers on which runs failed, were too slow or were lost."""
        failed: Counter[str] = Counter()
        for line in self.events("run_ended"):
            if line.fields.get("how") == "failed":
                failed[line.fields["worker"]] += 1
        for worker, count in failed.items():
            yield f"{count} of its runs failed on worker {worker}"
        for worker in sorted(
            {x.fields["worker"] for x in self.events("run_overtaken")}
        ):
            yield f"worker {worker} was too slow for its runs"
        for worker in sorted(
            {x.fields["worker"] for x in self.events("run_unanswered")}
        ):
            yield f"worker {worker} did not answer an order"
        for line in self.concurrent_lines():
            if line.fields.get("worker") not in self.workers:
                continue
            if line.event in {"worker_lost", "worker_leases_lapsed", "worker_replaced"}:
                yield f"worker {line.fields['worker']}: {line.event}"

    def wait_findings(self) -> Iterator[str]:
        """Yields the wait for the first run if it exceeds `LONG_WAIT_S`."""
        taken, started = self.events("job_taken"), self.events("run_started")
        if not taken or not started:
            return
        waited_s = started[0].time_s - taken[0].time_s
        if waited_s > LONG_WAIT_S:
            yield f"it waited {waited_s:.1f} s for a worker with room"

    def end_findings(self) -> Iterator[str]:
        """Yields why the job failed or when it was cancelled."""
        for line in self.events("job_failed"):
            yield f"task {line.fields.get('task')} failed as often as its queue allows"
        for line in self.events("job_cancelled")[:1]:
            yield f"it was cancelled {line.time_s - self.first_s:.1f} s after its start"

    def missing(self) -> Iterator[str]:
        """Yields a sentence for each expected line that is missing."""
        accepted = any(
            line.fields.get("outcome") == "accepted"
            for line in self.events("job_submitted")
        )
        if not self.events("job_submitted"):
            yield "no entry tells of its submission"
        if accepted and not self.events("job_taken"):
            yield "it was accepted, and no holder took it"
        if self.events("job_taken") and not any(map(self.events, ENDS)):
            yield "its end is not told"
        ended = {(x.fields["task"], x.fields["run"]) for x in self.events("run_ended")}
        for line in self.events("run_started"):
            if (line.fields["task"], line.fields["run"]) not in ended:
                yield f"no end of run {line.fields['run']} of {line.fields['task']}"


def render(found: Explanation) -> str:
    """Formats an explanation as text for display."""
    parts = [line.text(found.start_s) for line in found.lines]
    for title, entries in (("findings", found.findings), ("missing", found.missing)):
        parts.append(f"{title}:")
        parts.extend(f"  - {entry}" for entry in entries or ["nothing"])
    return "\n".join(parts)
