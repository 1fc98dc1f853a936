"""Sums up the room and the backlog of a pool for the entries that accept its jobs."""

from collections import defaultdict

from burdockthread_scheduling.admission import (
    PEAK_S,
    Lateness,
    PoolRoom,
    cost_class,
    cost_of,
)
from burdockthread_scheduling.board import JobRun
from burdockthread_scheduling.job_order import MILLI
from burdockthread_scheduling.pool_backlog import (
    OwnedKey,
    usable_share,
    within_quotas,
)
from burdockthread_scheduling.pool_core import PoolCore

# The backlog is published while the work of jobs that can still end in time takes
# longer than a peak of demand, or while lasting demand exceeds the capacity.
BACKLOG_S = 4.0


def pool_room(core: PoolCore) -> PoolRoom | None:
    """Returns the room of a pool, or None without organisations.

    Published values are rounded, so that an idle pool is not reported again. For the
    same reason a pool that keeps up publishes no backlog: none of its jobs is refused.
    """
    order, now = core.order, core.clock.now()
    means = order.arrived.mean_works
    organisations = core.parts.configuration().organisations
    if not organisations.by_name:
        return None
    owned: defaultdict[OwnedKey, float] = defaultdict(float)
    lasting_milli = 0
    for job in core.board.jobs.values():
        if job.end is not None:
            continue
        if job.spec.is_lasting():
            lasting_milli += running_lasting_milli(job)
        elif not job.surplus and order.lateness(job) is Lateness.IN_TIME:
            outlook = order.outlook(job)
            left, total = outlook.work / MILLI, outlook.total / MILLI
            cost = cost_of(left, total, means.get(job.spec.queue, 0.0))
            key = job.queue.priority, cost_class(cost), job.spec.organisation
            owned[key] += left * usable_share(outlook.chain_s, PEAK_S)
    workers = core.workers.values()
    all_milli = sum(worker.listing.capacity.cpu_milli for worker in workers)
    used_milli = sum(worker.used_cpu for worker in workers)
    cores = round(max(all_milli - lasting_milli, 0) / MILLI, 1)
    idle = round(max(all_milli - used_milli, 0) / MILLI, 1)

    def quota_cores(name: str) -> float:
        return organisations.quota(name).cpu_milli / MILLI

    queued = within_quotas(owned, lambda name: quota_cores(name) * PEAK_S)
    classes = order.arrived.classes(queued, now, quota_cores)
    is_backlogged = 0 < cores * BACKLOG_S < sum(owned.values())
    if not is_backlogged and sum(found.sustained for found in classes) <= cores:
        return PoolRoom(cores, idle, 0.0, (), {})
    inflow = round(order.arrived.inflow(now), 1)
    mean_works = {queue: round(mean, 2) for queue, mean in means.items()}
    return PoolRoom(cores, idle, inflow, classes, mean_works)


def running_lasting_milli(job: JobRun) -> int:
    """Returns the processors that the runs of a long-running job use, in thousandths.

    Waiting tasks use none, and may be larger than any machine.
    """
    return sum(
        task.size.cpu_milli
        for task in job.open_tasks()
        if task.placements and task.step.lasting and not task.step.fills
    )
