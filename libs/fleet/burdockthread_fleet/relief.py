"""Relieves VMs that real usage has overcommitted, the least urgent jobs first."""

from collections.abc import Mapping
from enum import StrEnum
from typing import NamedTuple

from burdockthread_model.job import Job

from burdockthread_fleet.displacement import by_urgency
from burdockthread_fleet.job_outcomes import task_id_of
from burdockthread_fleet.placement import Room
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
    """What is done to a task."""

    THROTTLE = "throttle"
    CHECKPOINT = "checkpoint"
    STOP = "stop"


class Relief(NamedTuple):
    """An order about one task.

    Attributes:
        kind: What is done.
        job: Its job.
        share: Share of its processors, for a throttle.
    """

    kind: ReliefKind
    job: Job
    share: float = 1.0


class OvercommitRules:
    """Decides for one VM after the other, with hysteresis.

    Memory above the VM's own is freed at once, down to 90 %. Processors may be
    above for 2 s; then the least urgent jobs are throttled in favour of more
    urgent ones, and checkpointed if that is not enough. Throttles are lifted
    one by one after 5 s below 70 %.

    Attributes:
        shares: Share of its processors of each throttled task, by task id.
    """

    def __init__(self, shares: dict[str, float]) -> None:
        self.shares = shares
        self.hot_since_s: dict[str, float] = {}
        self.cool_since_s: dict[str, float] = {}
        self.checkpointed_s: dict[str, float] = {}

    def decide(
        self, room: Room, observed: Mapping[str, Size], now: float
    ) -> list[Relief]:
        """Returns the orders for a VM.

        Args:
            room: The VM with its jobs.
            observed: What each job was last seen to use, by id.
            now: Clock time in seconds.
        """
        orders = self.free_memory(room, observed, now)
        if not orders:
            orders = self.free_cores(room, observed, now)
        return orders

    def forget_loads(self) -> None:
        """Forgets for how long VMs were above or below, when no job is left."""
        self.hot_since_s.clear()
        self.cool_since_s.clear()

    def free_memory(
        self, room: Room, observed: Mapping[str, Size], now: float
    ) -> list[Relief]:
        """Checkpoints the least urgent jobs of a VM whose memory is exceeded."""
        capacity_gb = room.capacity.memory_gb
        used_gb = sum(size.memory_gb for size in observed.values())
        orders: list[Relief] = []
        if used_gb <= capacity_gb * MEMORY_HIGH_SHARE:
            return orders
        for job in by_urgency(room):
            if used_gb <= capacity_gb * MEMORY_LOW_SHARE:
                break
            size = observed.get(job.job_id)
            if size is not None and size.memory_gb > 0:
                used_gb -= size.memory_gb
                orders.append(self.end(job, now))
        return orders

    def end(self, job: Job, now: float) -> Relief:
        """Checkpoints a task, or stops it if that does not come about.

        Only a task whose job may run twice is stopped.
        """
        asked_s = self.checkpointed_s.setdefault(task_id_of(job), now)
        if job.idempotent and now - asked_s > STOP_AFTER_S:
            return Relief(ReliefKind.STOP, job)
        return Relief(ReliefKind.CHECKPOINT, job)

    def free_cores(
        self, room: Room, observed: Mapping[str, Size], now: float
    ) -> list[Relief]:
        """Throttles or checkpoints once the processors were exceeded for a while."""
        used = sum(size.cores for size in observed.values())
        share = used / room.capacity.cores if room.capacity.cores else 0.0
        if share <= CORES_HIGH_SHARE:
            self.hot_since_s.pop(room.vm, None)
            return self.lift_throttle(room, share, now)
        self.cool_since_s.pop(room.vm, None)
        if now - self.hot_since_s.setdefault(room.vm, now) < HOT_S:
            return []
        self.hot_since_s[room.vm] = now
        jobs = [j for j in by_urgency(room) if observed.get(j.job_id, Size()).cores > 0]
        if not jobs:
            return []
        least = URGENCY[jobs[0].request_class]
        if all(URGENCY[job.request_class] == least for job in jobs):
            return self.end_newest(jobs, share, now)
        excess = used - room.capacity.cores * CORES_LOW_SHARE
        return self.throttle(jobs, observed, excess, now)

    def throttle(
        self, jobs: list[Job], observed: Mapping[str, Size], excess: float, now: float
    ) -> list[Relief]:
        """Throttles the least urgent jobs until an excess of processors is gone."""
        orders: list[Relief] = []
        most_urgent = min(URGENCY[job.request_class] for job in jobs)
        less_urgent = [j for j in jobs if URGENCY[j.request_class] > most_urgent]
        for job in less_urgent:
            if excess <= 0:
                break
            task_id = task_id_of(job)
            share = self.shares.get(task_id, 1.0)
            cores = observed[job.job_id].cores
            lower = max(share * (1 - excess / cores), MIN_THROTTLE_SHARE)
            if lower < share:
                excess -= cores * (1 - lower / share)
                self.shares[task_id] = lower
                orders.append(Relief(ReliefKind.THROTTLE, job, lower))
        if not orders:
            orders.append(self.end(less_urgent[0], now))
        return orders

    def end_newest(self, jobs: list[Job], share: float, now: float) -> list[Relief]:
        """Checkpoints one of several equally urgent jobs that crowd a VM."""
        if share <= CORES_EXCESS_SHARE or len(jobs) < 2:
            return []
        return [self.end(jobs[0], now)]

    def lift_throttle(self, room: Room, share: float, now: float) -> list[Relief]:
        """Lifts the throttle of the most urgent throttled job of a cool VM."""
        throttled = [j for j in by_urgency(room) if task_id_of(j) in self.shares]
        if share >= CORES_IDLE_SHARE or not throttled:
            self.cool_since_s.pop(room.vm, None)
            return []
        if now - self.cool_since_s.setdefault(room.vm, now) < COOL_S:
            return []
        self.cool_since_s[room.vm] = now
        job = throttled[-1]
        del self.shares[task_id_of(job)]
        return [Relief(ReliefKind.THROTTLE, job, 1.0)]

    def forget(self, task_id: str) -> None:
        """Drops what is kept for one task."""
        self.checkpointed_s.pop(task_id, None)
