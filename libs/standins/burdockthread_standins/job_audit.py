"""Compares what callers were told with what really ran."""

from collections import defaultdict
from collections.abc import Callable

from burdockthread_scheduling.memory_runs import RunRecord
from burdockthread_scheduling.memory_workers import MemoryWorkers
from burdockthread_scheduling.workers import EndKind

from burdockthread_standins.job_load import CallerRecord

CANCEL_BOUND_S = 3.0


def audit(
    records: list[CallerRecord],
    park: MemoryWorkers,
    is_out_of_touch: Callable[[RunRecord], bool] = lambda _: False,
) -> list[str]:
    """Returns the broken promises, as texts.

    Args:
        records: What the callers were told.
        park: What really ran.
        is_out_of_touch: Whether the entry that started a run was cut off then, and
            could not learn of a cancel.
    """
    runs: defaultdict[str, list[RunRecord]] = defaultdict(list)
    for run in park.audit.records:
        runs[run.task.job_id].append(run)
    broken = list(park.audit.violations)
    for record in records:
        found = runs[record.job]
        if record.refused and not record.accepted and found:
            broken.append(f"{record.job} was refused and ran")
        if record.accepted and not record.state:
            broken.append(f"{record.job} was accepted and never ended")
        if record.state == "completed" and not all_succeeded(found):
            broken.append(f"{record.job} is shown as completed and is not")
        if record.cancelled_s is not None:
            late = record.cancelled_s + CANCEL_BOUND_S
            if any(run.started_s > late and not is_out_of_touch(run) for run in found):
                broken.append(f"{record.job} was cancelled and started")
    return broken


def all_succeeded(runs: list[RunRecord]) -> bool:
    """Returns whether each task that ran has a run that succeeded."""
    tasks = {run.task for run in runs}
    done = {run.task for run in runs if run.kind is EndKind.SUCCEEDED}
    return bool(tasks) and tasks == done
