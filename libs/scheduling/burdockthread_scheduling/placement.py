"""Chooses the worker for a task."""

from collections import Counter
from collections.abc import Iterable

from burdockthread_scheduling.board import TaskRun
from burdockthread_scheduling.worker_health import WorkerHealth
from burdockthread_scheduling.worker_state import WorkerState
from burdockthread_scheduling.workers import Capacity

Rank = tuple[bool, bool, bool, bool, bool, float]


class SizesWithoutRoom:
    """Sizes of tasks that fit on no worker, within one scheduling round.

    Starts only reduce the room, so a task of at least that size does not fit either.
    """

    def __init__(self) -> None:
        self.sizes: list[Capacity] = []

    def note(self, task: TaskRun, workers: Iterable[WorkerState]) -> None:
        """Records the size of a task that got no worker, if none has room for it."""
        fills = task.step.fills
        if not any(worker.fits(task.size, fills=fills) for worker in workers):
            self.sizes.append(effective_size(task))

    def covers(self, task: TaskRun) -> bool:
        """Returns whether a task is known to fit on no worker."""
        size = effective_size(task)
        return any(
            size.cpu_milli >= known.cpu_milli
            and size.memory_mb >= known.memory_mb
            and size.accelerators >= known.accelerators
            for known in self.sizes
        )


def effective_size(task: TaskRun) -> Capacity:
    """Returns the room that a task needs; a best-effort task needs no processors."""
    return task.size._replace(cpu_milli=0) if task.step.fills else task.size


def is_allowed(task: TaskRun, worker: WorkerState) -> bool:
    """Returns whether the label and the limit per worker allow a task on a worker.

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
        workers: Candidates, which accept orders now.
        health: Health of the workers; suspect ones are chosen last.
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
    """Returns the sort key of a worker for a task; the lowest is best."""
    step = task.step
    remote = bool(step.data_rack) and step.data_rack not in worker.listing.labels
    load = worker.used_cpu / max(worker.listing.capacity.cpu_milli, 1)
    return (
        worker.worker_id in task.failed_on,
        health.is_suspect(worker),
        remote,
        step.same_rack and is_elsewhere(task, worker),
        disturbs(task, worker),
        # Fullest workers first, so that others stay empty and can be switched off.
        -load,
    )


def is_elsewhere(task: TaskRun, worker: WorkerState) -> bool:
    """Returns whether the runs of a task's step are all in other racks."""
    step = task.job.step_run(task.task.occurrence, task.task.step)
    if step is None:
        return False
    racks = {
        placement.worker.listing.rack
        for member in step.open_tasks.values()
        for placement in member.placements
    }
    return bool(racks) and worker.listing.rack not in racks


def disturbs(task: TaskRun, worker: WorkerState) -> bool:
    """Returns whether best-effort and latency-sensitive tasks would share a worker."""
    if not task.step.fills and not task.step.target_ms:
        return False
    for placement in worker.placements.values():
        other = placement.task
        if other is None:
            continue
        if task.step.fills and other.step.target_ms:
            return True
        if task.step.target_ms and other.step.fills:
            return True
    return False


def racks_by_room(workers: Iterable[WorkerState]) -> list[str]:
    """Returns the racks of some workers, ordered by free processors, most first."""
    room: Counter[str] = Counter()
    for worker in workers:
        room[worker.listing.rack] += worker.listing.capacity.cpu_milli - worker.used_cpu
    return [rack for rack, _ in room.most_common()]
