"""Capacity and usage of VMs, and the policies that choose a VM for a job."""

from abc import ABC, abstractmethod
from collections.abc import Collection, Sequence

from burdockthread_model.job import Job
from burdockthread_model.vm import VmListing, VmRecord

from burdockthread_fleet.usage import Size, UsageEstimates, declared_size, sum_sizes

TARGET_SHARE = 0.95
MAX_CLAIMS_PER_VM = 32
NOT_RESERVED = float("inf")


class VmAllocation:
    """Capacity of a VM and the usage of the jobs placed on it.

    Attributes:
        vm: Name of the VM.
        pool: Pool of the VM.
        generation: Generation of the VM's record.
        boot_id: Current boot of the VM.
        capacity: Resources of the VM.
        limit: Part of the capacity that may be allocated.
        used: Sum of the estimated usage of the VM's jobs.
        free_size: Cached result of `free`, or None.
        jobs: Jobs placed on the VM, by id.
        sizes: Estimated usage of each job, by id.
        in_service: Whether the VM may get jobs.
        unconfirmed_jobs: Number of jobs that no report has shown running.
        claims_left: Number of jobs that the VM may still get in this round.
        reserved_rank: Least urgent rank of job that the VM may still get.
    """

    def __init__(self, listing: VmListing, record: VmRecord) -> None:
        self.vm = record.name
        self.pool = record.pool
        self.generation = record.generation
        self.boot_id = listing.boot_id
        self.capacity = Size(listing.cores, listing.memory_gb, listing.accelerators)
        self.limit = Size(
            listing.cores * TARGET_SHARE,
            listing.memory_gb * TARGET_SHARE,
            listing.accelerators,
        )
        self.used = Size()
        self.free_size: Size | None = None
        self.jobs: dict[str, Job] = {}
        self.sizes: dict[str, Size] = {}
        self.in_service = True
        self.unconfirmed_jobs = 0
        self.claims_left = MAX_CLAIMS_PER_VM
        self.reserved_rank = NOT_RESERVED

    def add(self, job: Job, used: Size) -> None:
        """Adds a job with its estimated usage."""
        self.jobs[job.job_id] = job
        self.sizes[job.job_id] = used
        self.used = self.used.plus(used)
        self.free_size = None

    def assign_jobs(self, tasks: dict[str, Job], sizes: dict[str, Size]) -> None:
        """Sets the jobs of an empty VM.

        Args:
            tasks: Jobs by id.
            sizes: Estimated usage of each job, in the same order.
        """
        self.jobs = tasks
        self.sizes = sizes
        self.used = sum_sizes(sizes.values())

    def remove(self, job: Job) -> None:
        """Removes a job and its usage; an unknown job is ignored."""
        if self.jobs.pop(job.job_id, None) is not None:
            self.used = self.used.minus(self.sizes.pop(job.job_id))
            self.free_size = None

    def declared(self) -> Size:
        """Returns the sum of the sizes that the VM's jobs declare."""
        return sum_sizes(declared_size(job) for job in self.jobs.values())

    def share_after_adding(self, size: Size) -> float:
        """Returns the largest share of any resource in use with one more job."""
        used, whole = self.used, self.capacity
        share = (used.cores + size.cores) / whole.cores if whole.cores > 0 else 0.0
        if whole.memory_gb > 0:
            share = max(share, (used.memory_gb + size.memory_gb) / whole.memory_gb)
        if whole.accelerators > 0:
            accelerators = used.accelerators + size.accelerators
            share = max(share, accelerators / whole.accelerators)
        return share

    def free(self) -> Size:
        """Returns the size that may still be allocated."""
        if self.free_size is None:
            self.free_size = self.limit.minus(self.used)
        return self.free_size


class PlacementPolicy(ABC):
    """Estimates the sizes of jobs and chooses their VMs."""

    @abstractmethod
    def size(self, job: Job) -> Size:
        """Returns the expected size of a queued job."""

    @abstractmethod
    def choose(
        self,
        job: Job,
        allocations: Sequence[VmAllocation],
        excluded: Collection[str] = (),
    ) -> VmAllocation | None:
        """Chooses a VM.

        Args:
            job: Job to place.
            allocations: Candidate VMs.
            excluded: VMs that the job should not run on.

        Returns:
            A VM that the job fits, or None.
        """


class FirstFit(PlacementPolicy):
    """Uses declared sizes and takes the first VM with enough capacity."""

    def size(self, job: Job) -> Size:
        """Returns the size that the job declares."""
        return declared_size(job)

    def choose(
        self,
        job: Job,
        allocations: Sequence[VmAllocation],
        excluded: Collection[str] = (),
    ) -> VmAllocation | None:
        """Returns the first VM that the job fits by declared sizes, or None."""
        size = declared_size(job)
        for allocation in allocations:
            if allocation.vm in excluded or allocation.claims_left <= 0:
                continue
            if size.fits(allocation.capacity.minus(allocation.declared())):
                return allocation
        return None


class ObservedFit(PlacementPolicy):
    """Uses observed usage and takes the VM whose fullest resource stays lowest.

    Attributes:
        estimates: Expected sizes of jobs, learned from reports.
    """

    def __init__(self, estimates: UsageEstimates) -> None:
        self.estimates = estimates

    def size(self, job: Job) -> Size:
        """Returns the size expected from observed usage."""
        return self.estimates.expected(job)

    def choose(
        self,
        job: Job,
        allocations: Sequence[VmAllocation],
        excluded: Collection[str] = (),
    ) -> VmAllocation | None:
        """Returns the fitting VM with the lowest peak share after placement."""
        size = self.size(job)
        best: VmAllocation | None = None
        best_share = float("inf")
        for allocation in allocations:
            if (
                allocation.claims_left <= 0
                or not size.fits(allocation.free())
                or allocation.vm in excluded
            ):
                continue
            share = allocation.share_after_adding(size)
            if share < best_share:
                best, best_share = allocation, share
        return best
