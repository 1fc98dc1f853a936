"""Chooses the VM for a job."""

from abc import ABC, abstractmethod
from collections.abc import Collection, Sequence

from burdockthread_model.job import Job
from burdockthread_model.vm import VmListing, VmRecord

from burdockthread_fleet.usage import Size, UsageEstimates, declared_size, sum_sizes

TARGET_SHARE = 0.95
MAX_CLAIMS_PER_VM = 32
NOT_RESERVED = float("inf")


class VmAllocation:
    """What a VM has and what is used of it.

    Attributes:
        vm: Name of the VM.
        pool: Its pool.
        generation: Generation of its record.
        boot_id: Its boot.
        capacity: What it has.
        limit: What may be filled of it.
        used: Sum of what its jobs are taken to use.
        free_size: What may still be filled, once asked for.
        tasks: Jobs placed on it, by id.
        sizes: What each of its jobs is taken to use, by id.
        in_service: Whether it may get jobs.
        unconfirmed: Jobs that no report has shown at work.
        claims: Jobs that it may still get in this round.
        reserved: Least urgent rank that may still get it.
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
        self.tasks: dict[str, Job] = {}
        self.sizes: dict[str, Size] = {}
        self.in_service = True
        self.unconfirmed = 0
        self.claims = MAX_CLAIMS_PER_VM
        self.reserved = NOT_RESERVED

    def add(self, job: Job, used: Size) -> None:
        """Counts a job."""
        self.tasks[job.job_id] = job
        self.sizes[job.job_id] = used
        self.used = self.used.plus(used)
        self.free_size = None

    def fill(self, tasks: dict[str, Job], sizes: dict[str, Size]) -> None:
        """Counts the jobs of an empty VM.

        Args:
            tasks: Jobs by id.
            sizes: What each of them is taken to use, in the same order.
        """
        self.tasks = tasks
        self.sizes = sizes
        self.used = sum_sizes(sizes.values())

    def remove(self, job: Job) -> None:
        """Counts a job no longer."""
        if self.tasks.pop(job.job_id, None) is not None:
            self.used = self.used.minus(self.sizes.pop(job.job_id))
            self.free_size = None

    def declared(self) -> Size:
        """Returns the sum of what its jobs declare."""
        return sum_sizes(declared_size(job) for job in self.tasks.values())

    def share_with(self, size: Size) -> float:
        """Returns the largest share of any resource in use with one job more."""
        used, whole = self.used, self.capacity
        share = (used.cores + size.cores) / whole.cores if whole.cores > 0 else 0.0
        if whole.memory_gb > 0:
            share = max(share, (used.memory_gb + size.memory_gb) / whole.memory_gb)
        if whole.accelerators > 0:
            accelerators = used.accelerators + size.accelerators
            share = max(share, accelerators / whole.accelerators)
        return share

    def free(self) -> Size:
        """Returns what may still be filled."""
        if self.free_size is None:
            self.free_size = self.limit.minus(self.used)
        return self.free_size


class PlacementPolicy(ABC):
    """Sizes jobs and chooses among rooms."""

    @abstractmethod
    def size(self, job: Job) -> Size:
        """Returns the size that a queued job is counted with."""

    @abstractmethod
    def choose(
        self, job: Job, rooms: Sequence[VmAllocation], excluded: Collection[str] = ()
    ) -> VmAllocation | None:
        """Chooses a room.

        Args:
            job: Job to place.
            rooms: Candidates.
            excluded: VMs that the job should not run on.

        Returns:
            A room that the job fits, or None.
        """


class FirstFit(PlacementPolicy):
    """Believes what jobs declare and takes the first room that has that much."""

    def size(self, job: Job) -> Size:
        """Returns the declared size."""
        return declared_size(job)

    def choose(
        self, job: Job, rooms: Sequence[VmAllocation], excluded: Collection[str] = ()
    ) -> VmAllocation | None:
        """Returns the first room that fits."""
        size = declared_size(job)
        for room in rooms:
            if room.vm in excluded or room.claims <= 0:
                continue
            if size.fits(room.capacity.minus(room.declared())):
                return room
        return None


class ObservedFit(PlacementPolicy):
    """Counts with observed usage and takes the room that is left most even.

    Attributes:
        estimates: Expected sizes.
    """

    def __init__(self, estimates: UsageEstimates) -> None:
        self.estimates = estimates

    def size(self, job: Job) -> Size:
        """Returns the expected size."""
        return self.estimates.expected(job)

    def choose(
        self, job: Job, rooms: Sequence[VmAllocation], excluded: Collection[str] = ()
    ) -> VmAllocation | None:
        """Returns the room whose fullest resource stays emptiest."""
        size = self.size(job)
        best: VmAllocation | None = None
        best_share = float("inf")
        for room in rooms:
            if room.claims <= 0 or not size.fits(room.free()) or room.vm in excluded:
                continue
            share = room.share_with(size)
            if share < best_share:
                best, best_share = room, share
        return best
