"""Waiting jobs of one pool, and job sizes that fit no VM of the pool."""

from collections import defaultdict, deque
from collections.abc import Collection

from burdockthread_model.job import Job
from burdockthread_model.request import RequestClass

from burdockthread_fleet.usage import Size

MAX_UNPLACED_PER_QUEUE = 4


class PoolQueue:
    """Waiting jobs of one pool by class and team, the oldest first.

    Attributes:
        jobs: Queues by class and team; empty queues are removed.
        unplaced_counts: Jobs per queue that fitted no VM in this round.
    """

    def __init__(self) -> None:
        self.jobs: dict[RequestClass, dict[str, deque[Job]]] = {}
        self.unplaced_counts: defaultdict[tuple[RequestClass, str], int] = defaultdict(
            int
        )

    def put(self, job: Job) -> None:
        """Adds a job; jobs must be added oldest first."""
        by_team = self.jobs.setdefault(job.request_class, {})
        by_team.setdefault(job.team, deque()).append(job)

    def classes(self) -> Collection[RequestClass]:
        """Returns the classes with waiting jobs."""
        return self.jobs.keys()

    def teams(self, request_class: RequestClass) -> Collection[str]:
        """Returns the teams with waiting jobs of a class."""
        return self.jobs[request_class].keys()

    def take(self, request_class: RequestClass, team: str) -> Job:
        """Removes and returns the oldest job of a class and team."""
        jobs = self.jobs[request_class][team]
        job = jobs.popleft()
        if not jobs:
            self.drop(request_class, team)
        return job

    def record_unplaced(self, job: Job) -> None:
        """Counts a job that was not placed.

        After ``MAX_UNPLACED_PER_QUEUE`` such jobs the rest of the queue waits for
        the next round.
        """
        key = (job.request_class, job.team)
        self.unplaced_counts[key] += 1
        if self.unplaced_counts[key] >= MAX_UNPLACED_PER_QUEUE:
            self.drop(*key)

    def drop(self, request_class: RequestClass, team: str) -> None:
        """Drops the queue of a class and team."""
        by_team = self.jobs.get(request_class, {})
        by_team.pop(team, None)
        if not by_team:
            self.jobs.pop(request_class, None)


class UnplaceableSizes:
    """Sizes of jobs that fitted no VM of one pool in this round.

    Within a round the usage of VMs only grows, unless jobs are displaced.
    Therefore a job that is no smaller and no more urgent than one that fitted no
    VM needs no search.

    Attributes:
        sizes: The smallest such sizes, by rank; a lower rank is more urgent.
    """

    def __init__(self) -> None:
        self.sizes: dict[int, list[Size]] = {}

    def add(self, rank: int, size: Size) -> None:
        """Records the size and rank of a job that fitted no VM."""
        known = self.sizes.setdefault(rank, [])
        known[:] = [other for other in known if not size.fits(other)]
        known.append(size)

    def covers(self, rank: int, size: Size) -> bool:
        """Returns whether a job of this size and rank certainly fits no VM."""
        for known_rank, sizes in self.sizes.items():
            if known_rank <= rank and any(known.fits(size) for known in sizes):
                return True
        return False
