"""Chooses the worker for a task."""

from collections.abc import Iterable

from burdockthread_scheduling.board import TaskRun
from burdockthread_scheduling.worker_health import WorkerHealth
from burdockthread_scheduling.worker_state import WorkerState

Rank = tuple[bool, bool, bool, float]


def is_allowed(task: TaskRun, worker: WorkerState) -> bool:
    """Returns whether a task may run on a worker, if that has room.

    Args:
        task: The task.
        worker: The worker.
    """
    step = task.step
    if step.label and step.label not in worker.listing.labels:
        return False
    if step.max_per_worker:
        present = sum(1 for _ in worker.of_step(task))
        if present >= step.max_per_worker:
            return False
    return True


def choose_worker(
    task: TaskRun, workers: Iterable[WorkerState], health: WorkerHealth
) -> WorkerState | None:
    """Returns the best worker with room for a task, or None.

    Args:
        task: The task.
        workers: Workers that take orders now.
        health: Tells which workers are suspect.
    """
    best: WorkerState | None = None
    best_rank: Rank | None = None
    for worker in workers:
        if not worker.fits(task.size, fills=task.step.fills):
            continue
        if not is_allowed(task, worker):
            continue
        rank = rank_of(task, worker, health)
        if best_rank is None or rank < best_rank:
            best, best_rank = worker, rank
    return best


def rank_of(task: TaskRun, worker: WorkerState, health: WorkerHealth) -> Rank:
    """Returns how well a worker suits a task; the lowest is best."""
    rack = task.step.data_rack
    remote = bool(rack) and rack not in worker.listing.labels
    load = worker.used_cpu / max(worker.listing.capacity.cpu_milli, 1)
    failed = worker.worker_id in task.failed_on
    # Full workers first, so that others stay empty and can be switched off.
    return failed, health.is_suspect(worker), remote, -load
