"""Relief of VMs overcommitted by actual usage, the least urgent jobs first."""

from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple

from burdockthread_model.job import Job

from burdockthread_fleet.displacement import by_urgency
from burdockthread_fleet.job_outcomes import task_id_of
from burdockthread_fleet.placement import VmAllocation
from burdockthread_fleet.quotas import URGENCY
from burdockthread_fleet.usage import Size

MEMORY_HIGH_SHARE = 1.0
MEMORY_LOW_SHARE = 0.9
CORES_HIGH_SHARE = 1.0
CORES_LOW_SHARE = 0.9
CORES_IDLE_SHARE = 0.7
CORES_EXCESS_SHARE = 1.5
HOT_S = 2.0
COOL_S = 5.0
MIN_THROTTLE_SHARE = 0.1
STOP_AFTER_S = 6.0


class ReliefKind(StrEnum):
    """Order that is sent for a task to relieve its VM."""

    THROTTLE = "throttle"
    CHECKPOINT = "checkpoint"
    STOP = "stop"


class Relief(NamedTuple):
    """An order for one task.

    Attributes:
        kind: The order.
        job: Job of the task.
        share: Share of its processors that a throttled task may use.
    """

    kind: ReliefKind
    job: Job
    share: float = 1.0


class OvercommitRules:
    """Decides the relief orders of each VM, with hysteresis.

    If memory usage exceeds the VM's capacity, it is reduced to 90 % at once.
    Processor usage may exceed the capacity for 2 s; then the least urgent jobs
    are throttled in favour of more urgent ones, and checkpointed if throttling is
    not enough. Throttles are lifted one by one after 5 s below 70 %.

    Attributes:
        shares: Share of its processors of each throttled task, by task id.
        hot_since_s: Clock time since which processors are overcommitted, by VM.
        cool_since_s: Clock time since which usage is below 70 %, by VM.
        checkpointed_s: Clock time of the first checkpoint order, by task id.
    """

    def __init__(self, shares: dict[str, float]) -> None:
        self.shares = shares
        self.hot_since_s: dict[str, float] = {}
        self.cool_since_s: dict[str, float] = {}
        self.checkpointed_s: dict[str, float] = {}

    def decide(
        self, allocation: VmAllocation, observed: Mapping[str, Size], now: float
    ) -> list[Relief]:
        """Returns the orders for a VM.

        Args:
            allocation: The VM with its jobs.
            observed: Usage in each job's newest report, by job id.
            now: Clock time in seconds.
        """
        orders = self.free_memory(allocation, observed, now)
        if not orders:
            orders = self.free_cores(allocation, observed, now)
        return orders

    def reset_load_timers(self) -> None:
        """Drops the load timers of all VMs; called when no open job is left."""
        self.hot_since_s.clear()
        self.cool_since_s.clear()

    def free_memory(
        self, allocation: VmAllocation, observed: Mapping[str, Size], now: float
    ) -> list[Relief]:
        """Checkpoints the least urgent jobs of a VM that uses too much memory."""
        capacity_gb = allocation.capacity.memory_gb
        used_gb = sum(size.memory_gb for size in observed.values())
        orders: list[Relief] = []
        if used_gb <= capacity_gb * MEMORY_HIGH_SHARE:
            return orders
        for job in by_urgency(allocation):
            if used_gb <= capacity_gb * MEMORY_LOW_SHARE:
                break
            size = observed.get(job.job_id)
            if size is not None and size.memory_gb > 0:
                used_gb -= size.memory_gb
                orders.append(self.checkpoint_or_stop(job, now))
        return orders

    def checkpoint_or_stop(self, job: Job, now: float) -> Relief:
        """Checkpoints a task, or stops it if it was not checkpointed in time.

        Only a task of an idempotent job is stopped, ``STOP_AFTER_S`` after the
        first checkpoint order.
        """
        asked_s = self.checkpointed_s.setdefault(task_id_of(job), now)
        if job.idempotent and now - asked_s > STOP_AFTER_S:
            return Relief(ReliefKind.STOP, job)
        return Relief(ReliefKind.CHECKPOINT, job)

    def free_cores(
        self, allocation: VmAllocation, observed: Mapping[str, Size], now: float
    ) -> list[Relief]:
        """Throttles or checkpoints jobs after ``HOT_S`` of processor overcommitment.

        Below the capacity, lifts a throttle if the VM has been cool long enough.
        """
        used = sum(size.cores for size in observed.values())
        share = used / allocation.capacity.cores if allocation.capacity.cores else 0.0
        if share <= CORES_HIGH_SHARE:
            self.hot_since_s.pop(allocation.vm, None)
            return self.lift_throttle(allocation, share, now)
        self.cool_since_s.pop(allocation.vm, None)
        if now - self.hot_since_s.setdefault(allocation.vm, now) < HOT_S:
            return []
        self.hot_since_s[allocation.vm] = now
        jobs = [
            j
            for j in by_urgency(allocation)
            if observed.get(j.job_id, Size()).cores > 0
        ]
        if not jobs:
            return []
        lowest_urgency = URGENCY[jobs[0].request_class]
        if all(URGENCY[job.request_class] == lowest_urgency for job in jobs):
            return self.checkpoint_newest(jobs, share, now)
        excess = used - allocation.capacity.cores * CORES_LOW_SHARE
        return self.throttle(jobs, observed, excess, now)

    def throttle(
        self, jobs: list[Job], observed: Mapping[str, Size], excess: float, now: float
    ) -> list[Relief]:
        """Throttles the least urgent jobs until the processor excess is removed.

        If no job can be throttled further, the least urgent one is checkpointed.
        """
        orders: list[Relief] = []
        most_urgent = min(URGENCY[job.request_class] for job in jobs)
        less_urgent = [j for j in jobs if URGENCY[j.request_class] > most_urgent]
        for job in less_urgent:
            if excess <= 0:
                break
            task_id = task_id_of(job)
            share = self.shares.get(task_id, 1.0)
            cores = observed[job.job_id].cores
            new_share = max(share * (1 - excess / cores), MIN_THROTTLE_SHARE)
            if new_share < share:
                excess -= cores * (1 - new_share / share)
                self.shares[task_id] = new_share
                orders.append(Relief(ReliefKind.THROTTLE, job, new_share))
        if not orders:
            orders.append(self.checkpoint_or_stop(less_urgent[0], now))
        return orders

    def checkpoint_newest(
        self, jobs: list[Job], share: float, now: float
    ) -> list[Relief]:
        """Checkpoints the newest of several equally urgent jobs.

        Equally urgent jobs may use up to ``CORES_EXCESS_SHARE`` of the processors.
        """
        if share <= CORES_EXCESS_SHARE or len(jobs) < 2:
            return []
        return [self.checkpoint_or_stop(jobs[0], now)]

    def lift_throttle(
        self, allocation: VmAllocation, share: float, now: float
    ) -> list[Relief]:
        """Lifts the throttle of a VM's most urgent throttled job after ``COOL_S``."""
        throttled = [j for j in by_urgency(allocation) if task_id_of(j) in self.shares]
        if share >= CORES_IDLE_SHARE or not throttled:
            self.cool_since_s.pop(allocation.vm, None)
            return []
        if now - self.cool_since_s.setdefault(allocation.vm, now) < COOL_S:
            return []
        self.cool_since_s[allocation.vm] = now
        job = throttled[-1]
        del self.shares[task_id_of(job)]
        return [Relief(ReliefKind.THROTTLE, job, 1.0)]

    def forget(self, task_id: str) -> None:
        """Drops the time of a task's first checkpoint order."""
        self.checkpointed_s.pop(task_id, None)
