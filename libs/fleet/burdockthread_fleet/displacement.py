"""Frees capacity for urgent jobs by checkpointing less urgent ones."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from burdockthread_model.job import Job
from burdockthread_model.request import RequestClass

from burdockthread_fleet.placement import VmAllocation
from burdockthread_fleet.quotas import URGENCY
from burdockthread_fleet.usage import Size

DISPLACEMENT_TIMEOUT_S = 2.0


class Displacement(NamedTuple):
    """A pending displacement: capacity of a VM that is freed for a job.

    Attributes:
        job_id: Job that gets the capacity.
        vm: VM on which the capacity is freed.
        size: Expected size of the job.
        victims: Jobs that are checkpointed.
        expires_s: Clock time after which another VM is tried.
    """

    job_id: str
    vm: str
    size: Size
    victims: tuple[Job, ...]
    expires_s: float


class ClassUsage:
    """Usage of one pool by class.

    Attributes:
        total: Capacity of all VMs of the pool.
        used: Estimated usage of the jobs of each class.
        minima: Guaranteed share of each class.
    """

    def __init__(self, total: Size, minima: Mapping[RequestClass, float]) -> None:
        self.total = total
        self.minima = minima
        self.used = dict.fromkeys(RequestClass, Size())

    def add(self, job: Job, size: Size) -> None:
        """Adds a job to the usage of its class."""
        self.used[job.request_class] = self.used[job.request_class].plus(size)

    def remove(self, job: Job, size: Size) -> None:
        """Subtracts a job from the usage of its class."""
        self.used[job.request_class] = self.used[job.request_class].minus(size)

    def shares(self) -> dict[RequestClass, float]:
        """Returns each class's largest share of any resource of the pool."""
        return {c: used.share_of(self.total) for c, used in self.used.items()}

    def may_lose(self, job: Job, size: Size) -> bool:
        """Returns whether a job's class keeps its guaranteed share without it."""
        left = self.used[job.request_class].minus(size).share_of(self.total)
        return left >= self.minima.get(job.request_class, 0.0)


def choose_victims(
    job: Job,
    size: Size,
    allocations: Iterable[VmAllocation],
    usage: Mapping[str, ClassUsage],
) -> tuple[VmAllocation, tuple[Job, ...]] | None:
    """Chooses the VM on which a job displaces the least urgent, then fewest, jobs.

    Args:
        job: Job that fits no VM.
        size: Expected size of the job.
        allocations: VMs that could run the job.
        usage: Usage of each pool by class.

    Returns:
        The VM and the jobs to checkpoint, or None if no displacement frees enough
        capacity.
    """
    best: tuple[VmAllocation, tuple[Job, ...]] | None = None
    best_cost = (float("inf"), float("inf"))
    for allocation in allocations:
        victims = victims_in(job, size, allocation, usage[allocation.pool])
        if not victims:
            continue
        most_urgent = min(URGENCY[v.request_class] for v in victims)
        cost = (-most_urgent, len(victims))
        if cost < best_cost:
            best, best_cost = (allocation, victims), cost
    return best


def victims_in(
    job: Job, size: Size, allocation: VmAllocation, usage: ClassUsage
) -> tuple[Job, ...]:
    """Returns the jobs of a VM to checkpoint for a job, the least urgent first.

    No jobs are returned if the VM's less urgent jobs, as far as their classes may
    lose them, do not free enough capacity. Jobs that turn out not to be needed
    are left out.
    """
    victims: list[Job] = []
    free = allocation.free()
    for candidate in by_urgency(allocation, below=job.request_class):
        if size.fits(free):
            break
        freed = allocation.sizes[candidate.job_id]
        if usage.may_lose(candidate, freed):
            victims.append(candidate)
            free = free.plus(freed)
    if not size.fits(free):
        return ()
    for victim in list(victims):
        without = free.minus(allocation.sizes[victim.job_id])
        if size.fits(without):
            victims.remove(victim)
            free = without
    return tuple(victims)


def by_urgency(
    allocation: VmAllocation, below: RequestClass | None = None
) -> list[Job]:
    """Returns the jobs of a VM, the least urgent and then the newest first.

    Args:
        allocation: The VM with its jobs.
        below: Only jobs less urgent than this class are returned; all if None.
    """
    found = [
        job
        for job in allocation.jobs.values()
        if below is None or URGENCY[job.request_class] > URGENCY[below]
    ]
    found.sort(key=lambda job: (-URGENCY[job.request_class], -job.claimed_s))
    return found
