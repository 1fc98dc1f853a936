"""Joins the log lines of all entries that tell what became of one job."""

import re
from collections import Counter
from collections.abc import Iterable, Iterator
from typing import NamedTuple

PAIR = re.compile(r'(\w+)=("(?:[^"\\]|\\.)*"|\S*)')
# An outage shows at the latest this long after the first request that met it.
OUTAGE_WINDOW_S = 2.0
# A wait that callers notice; below it a job is served as usual.
LONG_WAIT_S = 1.0
# Events that concern every job of a pool, or of an entry, while one is open.
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
    """One event of one entry.

    Attributes:
        time_s: Unix time in seconds.
        node: Entry that wrote it.
        event: Name of the event.
        fields: All fields by name.
    """

    time_s: float
    node: str
    event: str
    fields: dict[str, str]

    def text(self, start_s: float) -> str:
        """Returns the line for people, with the seconds since a time."""
        left_out = {"time", "node", "event", "level"}
        rest = " ".join(f"{k}={v}" for k, v in self.fields.items() if k not in left_out)
        return f"{self.time_s - start_s:+9.3f} {self.node:20} {self.event:22} {rest}"


class Explanation(NamedTuple):
    """What the logs tell of a job.

    Attributes:
        job: Id of the job.
        start_s: Unix time of its first line.
        lines: Its lines, and those of its pool and workers meanwhile, by time.
        findings: What delayed or ended it, in plain words.
        missing: Lines that should be there and are not.
    """

    job: str
    start_s: float
    lines: list[LogLine]
    findings: list[str]
    missing: list[str]


def parse_line(text: str) -> LogLine | None:
    """Reads a line of a log; other lines give None."""
    fields = {key: value.strip('"') for key, value in PAIR.findall(text)}
    try:
        time_s = float(fields["time"])
        return LogLine(time_s, fields["node"], fields["event"], fields)
    except (KeyError, ValueError):
        return None


def read_lines(texts: Iterable[str]) -> list[LogLine]:
    """Reads the lines of some logs in the order of time."""
    found = (parse_line(text) for text in texts)
    return sorted((line for line in found if line is not None), key=lambda x: x.time_s)


def explain(job: str, lines: list[LogLine]) -> Explanation:
    """Tells what became of a job.

    Args:
        job: Its id.
        lines: All lines of all entries, by time.
    """
    own = [line for line in lines if concerns(line, job)]
    if not own:
        return Explanation(job, 0.0, [], [], [f"no line names {job}"])
    story = Story(job, own, lines)
    kept = {id(line): line for line in story.kept()}
    return Explanation(
        job,
        own[0].time_s,
        sorted(kept.values(), key=lambda line: line.time_s),
        list(dict.fromkeys(story.findings())),
        list(story.missing()),
    )


def concerns(line: LogLine, job: str) -> bool:
    """Returns whether a line names a job or one of its tasks."""
    named = line.fields.get("job") == job
    return named or line.fields.get("task", "").startswith(f"{job}.")


class Story:
    """The lines of a job and of what happened around it."""

    def __init__(self, job: str, own: list[LogLine], lines: list[LogLine]) -> None:
        self.job = job
        self.own = own
        self.lines = lines
        ends = [line.time_s for line in own if line.event in ENDS]
        self.first_s = own[0].time_s
        self.last_s = max(ends, default=own[-1].time_s)
        self.pool = self.value("job_submitted", "pool")
        self.workers = {
            line.fields["worker"] for line in own if line.event.startswith("run_")
        }

    def of(self, event: str) -> list[LogLine]:
        """Returns the job's lines of one event."""
        return [line for line in self.own if line.event == event]

    def value(self, event: str, field: str) -> str:
        """Returns a field of the first line of an event, or an empty text."""
        return next((line.fields.get(field, "") for line in self.of(event)), "")

    def around(self) -> Iterator[LogLine]:
        """Yields the lines of others from shortly before the job to its end."""
        for line in self.lines:
            if self.first_s - OUTAGE_WINDOW_S <= line.time_s <= self.last_s:
                yield line

    def kept(self) -> Iterator[LogLine]:
        """Yields the job's lines and those that bear on it."""
        yield from self.own
        holders = {line.node for line in self.own if line.event == "job_taken"}
        nodes = holders | {line.node for line in self.of("job_submitted")}
        for line in self.around():
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
        """Yields what delayed or ended the job."""
        yield from self.of_acceptance()
        yield from self.of_takeover()
        yield from self.of_workers()
        yield from self.of_waiting()
        yield from self.of_end()

    def of_acceptance(self) -> Iterator[str]:
        """Yields refusals, with the store's silence before them."""
        for line in self.of("job_submitted"):
            outcome = line.fields.get("outcome", "")
            if outcome != "accepted":
                yield f"{line.node} answered its submission as {outcome}"
                yield from self.of_store(line)
        for line in self.of("job_not_read"):
            yield f"{line.node} showed a state that was not read anew"
            yield from self.of_store(line)

    def of_store(self, line: LogLine) -> Iterator[str]:
        """Yields why an entry's store was out when it wrote a line, if it was."""
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

    def of_takeover(self) -> Iterator[str]:
        """Yields each change of the holder while the job was open."""
        duty = f"pool:{self.pool}"
        holder = ""
        last_word: dict[str, float] = {}
        for line in self.lines:
            if line.time_s > self.last_s:
                return
            mine = line.event == "duty_taken" and line.fields.get("duty") == duty
            if mine and line.time_s > self.first_s:
                silent_s = line.time_s - last_word.get(holder or line.node, line.time_s)
                yield (
                    f"{line.node} took the pool over from {holder or 'nobody'}, whose "
                    f"last line was {silent_s:.1f} s old"
                )
            if mine:
                holder = line.node
            last_word[line.node] = line.time_s

    def of_workers(self) -> Iterator[str]:
        """Yields the workers on which its runs failed, stood still or were lost."""
        failed: Counter[str] = Counter()
        for line in self.of("run_ended"):
            if line.fields.get("how") == "failed":
                failed[line.fields["worker"]] += 1
        for worker, count in failed.items():
            yield f"{count} of its runs failed on worker {worker}"
        for worker in sorted({x.fields["worker"] for x in self.of("run_overtaken")}):
            yield f"worker {worker} was too slow for its runs"
        for worker in sorted({x.fields["worker"] for x in self.of("run_unanswered")}):
            yield f"worker {worker} did not answer an order"
        for line in self.around():
            if line.fields.get("worker") not in self.workers:
                continue
            if line.event in {"worker_lost", "worker_leases_lapsed", "worker_replaced"}:
                yield f"worker {line.fields['worker']}: {line.event}"

    def of_waiting(self) -> Iterator[str]:
        """Yields a long wait for the first run."""
        taken, started = self.of("job_taken"), self.of("run_started")
        if not taken or not started:
            return
        waited_s = started[0].time_s - taken[0].time_s
        if waited_s > LONG_WAIT_S:
            yield f"it waited {waited_s:.1f} s for a worker with room"

    def of_end(self) -> Iterator[str]:
        """Yields how it ended, if not by completion."""
        for line in self.of("job_failed"):
            yield f"task {line.fields.get('task')} failed as often as its queue allows"
        for line in self.of("job_cancelled")[:1]:
            yield f"it was cancelled {line.time_s - self.first_s:.1f} s after its start"

    def missing(self) -> Iterator[str]:
        """Yields lines that should be there."""
        accepted = any(
            line.fields.get("outcome") == "accepted"
            for line in self.of("job_submitted")
        )
        if not self.of("job_submitted"):
            yield "no entry tells of its submission"
        if accepted and not self.of("job_taken"):
            yield "it was accepted, and no holder took it"
        if self.of("job_taken") and not any(map(self.of, ENDS)):
            yield "its end is not told"
        ended = {(x.fields["task"], x.fields["run"]) for x in self.of("run_ended")}
        for line in self.of("run_started"):
            if (line.fields["task"], line.fields["run"]) not in ended:
                yield f"no end of run {line.fields['run']} of {line.fields['task']}"


def render(found: Explanation) -> str:
    """Returns an explanation as text for people."""
    parts = [line.text(found.start_s) for line in found.lines]
    for title, entries in (("findings", found.findings), ("missing", found.missing)):
        parts.append(f"{title}:")
        parts.extend(f"  - {entry}" for entry in entries or ["nothing"])
    return "\n".join(parts)
