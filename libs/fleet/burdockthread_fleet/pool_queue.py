"""Waiting jobs of one pool, and the sizes that found no room in it."""

from collections import defaultdict, deque
from collections.abc import Collection

from burdockthread_model.job import Job
from burdockthread_model.request import RequestClass

from burdockthread_fleet.usage import Size

MAX_MISSES_PER_QUEUE = 4


class PoolQueue:
    """Waiting jobs of one pool by class and team, the oldest first."""

    def __init__(self) -> None:
        self.jobs: dict[RequestClass, dict[str, deque[Job]]] = {}
        self.misses: defaultdict[tuple[RequestClass, str], int] = defaultdict(int)

    def put(self, job: Job) -> None:
        """Adds a job; jobs are to be added oldest first."""
        by_team = self.jobs.setdefault(job.request_class, {})
        by_team.setdefault(job.team, deque()).append(job)

    def classes(self) -> Collection[RequestClass]:
        """Returns the classes that have jobs."""
        return self.jobs.keys()

    def teams(self, request_class: RequestClass) -> Collection[str]:
        """Returns the teams that have jobs of a class."""
        return self.jobs[request_class].keys()

    def take(self, request_class: RequestClass, team: str) -> Job:
        """Removes and returns the oldest job of a class and team."""
        jobs = self.jobs[request_class][team]
        job = jobs.popleft()
        if not jobs:
            self.drop(request_class, team)
        return job

    def miss(self, job: Job) -> None:
        """Notes a job without room; after some, its queue waits for a round."""
        key = (job.request_class, job.team)
        self.misses[key] += 1
        if self.misses[key] >= MAX_MISSES_PER_QUEUE:
            self.drop(*key)

    def drop(self, request_class: RequestClass, team: str) -> None:
        """Leaves out a class and team."""
        by_team = self.jobs.get(request_class, {})
        by_team.pop(team, None)
        if not by_team:
            self.jobs.pop(request_class, None)


class KnownMisses:
    """Sizes that have found no room in one pool within a round.

    VMs only get fuller within a round, unless jobs are displaced: what is no
    smaller, and no more urgent, needs no search of its own.
    """

    def __init__(self) -> None:
        self.sizes: dict[int, list[Size]] = {}

    def note(self, rank: int, size: Size) -> None:
        """Notes a size that a job of some urgency found no room for."""
        known = self.sizes.setdefault(rank, [])
        known[:] = [other for other in known if not size.fits(other)]
        known.append(size)

    def covers(self, rank: int, size: Size) -> bool:
        """Returns whether a job certainly finds no room."""
        for known_rank, sizes in self.sizes.items():
            if known_rank <= rank and any(known.fits(size) for known in sizes):
                return True
        return False
