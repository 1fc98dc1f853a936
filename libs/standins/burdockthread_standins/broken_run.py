"""Keeps what explains a run of an emulation that broke a promise."""

import shutil
import time
from collections.abc import Iterable
from pathlib import Path

from burdockthread_standins.emulated_site import EmulatedSite

FINDINGS_FILE = "findings.txt"
FAULTS_FILE = "faults.txt"
ORDERS_FILE = "orders.txt"
RUNS_FILE = "runs.txt"


class FaultSpan:
    """A fault with its time.

    Attributes:
        kind: What was done.
        began_s: Unix time at which it began.
        ended_s: Unix time at which it ended; infinity while it lasts.
        target: Entry or worker that it struck, or empty.
        fences: Fencing tokens of the duties that a struck entry held.
    """

    def __init__(self, kind: str, began_s: float) -> None:
        self.kind = kind
        self.began_s = began_s
        self.ended_s = float("inf")
        self.target = ""
        self.fences: tuple[int, ...] = ()

    def line(self) -> str:
        """Returns it as a line of key=value pairs."""
        return (
            f"began={self.began_s:.3f} ended={self.ended_s:.3f} "
            f'fault="{self.kind}" target={self.target or "site"}'
        )


def keep_broken_run(
    folder: Path,
    seed: int,
    site: EmulatedSite,
    faults: Iterable[FaultSpan],
    findings: Iterable[str],
) -> Path:
    """Writes the findings, faults, orders, runs and the entries' logs.

    Args:
        folder: Where the run gets a folder of its own.
        seed: Seed of the run.
        site: The deployment, with its processes still there.
        faults: Faults that were injected.
        findings: Broken promises.

    Returns:
        The folder of the run.
    """
    kept = folder / f"seed-{seed}-{time.time_ns()}"
    kept.mkdir(parents=True)
    park = site.park
    runs = [
        f"started={park.audit.wall_time(run.started_s):.3f} "
        f"ended={park.audit.wall_time(run.ended_s):.3f} task={run.task} run={run.run} "
        f"worker={run.worker.worker_id} born={run.worker.born_ms} how={run.kind}"
        for run in park.audit.records
    ]
    write_lines(kept / FINDINGS_FILE, findings)
    write_lines(kept / FAULTS_FILE, [fault.line() for fault in faults])
    write_lines(kept / ORDERS_FILE, [order.line() for order in park.audit.orders])
    write_lines(kept / RUNS_FILE, runs)
    for entry in site.entries:
        shutil.copy(entry.log, kept / entry.log.name)
    return kept


def write_lines(path: Path, lines: Iterable[str]) -> None:
    """Writes a file of lines."""
    path.write_text("".join(f"{line}\n" for line in lines))
