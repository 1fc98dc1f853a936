"""Messages between the holders of pools and the allocator of quotas."""

from typing import NamedTuple

from burdockthread_scheduling.workers import Capacity


class OrganisationUse(NamedTuple):
    """What an organisation uses and needs in one pool.

    Attributes:
        limit: What the holder starts tasks within.
        used: Size of the runs that may exist.
        waiting: Size of the tasks that could start now and have no run.
        largest: Greatest amount of each resource that one waiting task needs, or a gang
            within the quota.
    """

    limit: Capacity
    used: Capacity = Capacity()
    waiting: Capacity = Capacity()
    largest: Capacity = Capacity()


class QuotaReport(NamedTuple):
    """What the organisations use in a pool.

    Attributes:
        pool: The pool.
        fence: Fencing token of its holder; reports of an earlier holder are ignored.
        number: Number of the report; grows with each report of a holder, which sends
            one only after it has given up waiting for the answer to the last.
        uses: Use by organisation; an organisation without any is left out.
        allocator: Fencing token of the allocator that it is sent to. One that was late
            could tell the next allocator of lower limits than were granted since.
    """

    pool: str
    fence: int
    number: int
    uses: dict[str, OrganisationUse]
    allocator: int = -1


class QuotaAnswer(NamedTuple):
    """The limits of a pool by organisation.

    Attributes:
        fence: Fencing token of the allocator; answers of an earlier one are ignored.
        limits: Limit by organisation.
    """

    fence: int
    limits: dict[str, Capacity]
