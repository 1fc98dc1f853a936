"""Makes room for jobs by checkpointing less urgent ones."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from burdockthread_model.job import Job
from burdockthread_model.request import RequestClass

from burdockthread_fleet.placement import VmAllocation
from burdockthread_fleet.quotas import URGENCY
from burdockthread_fleet.usage import Size

DISPLACEMENT_TIMEOUT_S = 2.0


class Displacement(NamedTuple):
    """Room that is being made for a job.

    Attributes:
        job_id: Job that gets the room.
        vm: VM that has it.
        size: Size that the job is counted with.
        victims: Jobs that are checkpointed.
        expires_s: Clock time after which another VM is tried.
    """

    job_id: str
    vm: str
    size: Size
    victims: tuple[Job, ...]
    expires_s: float


class ClassUsage:
    """What each class uses of one pool.

    Attributes:
        total: What the VMs of the pool have.
        used: What the jobs of each class are taken to use.
        minima: Guaranteed share of each class.
    """

    def __init__(self, total: Size, minima: Mapping[RequestClass, float]) -> None:
        self.total = total
        self.minima = minima
        self.used = dict.fromkeys(RequestClass, Size())

    def add(self, job: Job, size: Size) -> None:
        """Counts a job."""
        self.used[job.request_class] = self.used[job.request_class].plus(size)

    def remove(self, job: Job, size: Size) -> None:
        """Counts a job no longer."""
        self.used[job.request_class] = self.used[job.request_class].minus(size)

    def shares(self) -> dict[RequestClass, float]:
        """Returns the share of the pool that each class uses."""
        return {c: used.share_of(self.total) for c, used in self.used.items()}

    def may_lose(self, job: Job, size: Size) -> bool:
        """Returns whether a class keeps its guaranteed share without a job."""
        left = self.used[job.request_class].minus(size).share_of(self.total)
        return left >= self.minima.get(job.request_class, 0.0)


def choose_victims(
    job: Job, size: Size, rooms: Iterable[VmAllocation], usage: Mapping[str, ClassUsage]
) -> tuple[VmAllocation, tuple[Job, ...]] | None:
    """Chooses the VM where a job displaces the least.

    Args:
        job: Job without room.
        size: Size that it is counted with.
        rooms: VMs that could hold it.
        usage: Use of each pool by class.

    Returns:
        The VM and the jobs to checkpoint, or None if nothing helps.
    """
    best: tuple[VmAllocation, tuple[Job, ...]] | None = None
    best_cost = (float("inf"), float("inf"))
    for room in rooms:
        victims = victims_in(job, size, room, usage[room.pool])
        if not victims:
            continue
        most_urgent = min(URGENCY[v.request_class] for v in victims)
        cost = (-most_urgent, len(victims))
        if cost < best_cost:
            best, best_cost = (room, victims), cost
    return best


def victims_in(
    job: Job, size: Size, room: VmAllocation, usage: ClassUsage
) -> tuple[Job, ...]:
    """Returns the least urgent jobs of a VM whose room suffices, or none."""
    victims: list[Job] = []
    free = room.free()
    for candidate in by_urgency(room, below=job.request_class):
        if size.fits(free):
            break
        freed = room.sizes[candidate.job_id]
        if usage.may_lose(candidate, freed):
            victims.append(candidate)
            free = free.plus(freed)
    if not size.fits(free):
        return ()
    for victim in list(victims):
        without = free.minus(room.sizes[victim.job_id])
        if size.fits(without):
            victims.remove(victim)
            free = without
    return tuple(victims)


def by_urgency(room: VmAllocation, below: RequestClass | None = None) -> list[Job]:
    """Returns the jobs of a VM, the least urgent and newest first.

    Args:
        room: The VM.
        below: Only jobs less urgent than this class.
    """
    found = [
        job
        for job in room.tasks.values()
        if below is None or URGENCY[job.request_class] > URGENCY[below]
    ]
    found.sort(key=lambda job: (-URGENCY[job.request_class], -job.claimed_s))
    return found
