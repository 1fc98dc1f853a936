"""Reports a pool's demand and workers to the machine planner."""

from burdockthread_scheduling.admission import SUSTAINED_S, Lateness
from burdockthread_scheduling.board import JobRun
from burdockthread_scheduling.estimates import ArrivalRate
from burdockthread_scheduling.evacuation import Evacuation
from burdockthread_scheduling.job_order import MILLI
from burdockthread_scheduling.organisations import UNLIMITED
from burdockthread_scheduling.pool_backlog import usable_share
from burdockthread_scheduling.pool_core import PoolCore
from burdockthread_scheduling.pool_status import (
    LINK_TIMEOUT_S,
    MACHINE_ORDER_TIMEOUT_S,
    STATUS_MAX_AGE_S,
    PlannerAnswer,
    PoolStatus,
    WorkerStatus,
)
from burdockthread_scheduling.pool_workers import PoolWorkers
from burdockthread_scheduling.worker_state import WorkerState

STATUS_INTERVAL_S = 0.1
# A new holder has applied the registrations by then.
FIRST_STATUS_S = 0.02
# An order based on a status has ended by then: time to deliver the status, time for
# which the planner acts on it, and time-out of the order.
STATUS_EFFECT_S = LINK_TIMEOUT_S + STATUS_MAX_AGE_S + MACHINE_ORDER_TIMEOUT_S
# Work that will end late anyway counts less in the reported demand.
LATE_WORK_WEIGHTS = {
    Lateness.IN_TIME: 1.0,
    Lateness.LATE: 0.3,
    Lateness.TOO_LATE: 0.1,
}


class PlannerLink:
    """Reports the demand of a pool and applies the planner's answers.

    Attributes:
        inflow: Work that has arrived recently.
        peak_ages_s: Seconds since the last peak of each pool, from the planner's
            last answer.
        peak_ages_read_s: Clock time of that answer.
    """

    def __init__(
        self, core: PoolCore, workers: PoolWorkers, evacuation: Evacuation
    ) -> None:
        self.core = core
        self.clock = core.clock
        self.workers = workers
        self.evacuation = evacuation
        self.inflow = ArrivalRate()
        self.peak_ages_s: dict[str, float] = {}
        self.peak_ages_read_s = 0.0

    async def run(self) -> None:
        """Reports until cancelled."""
        await self.clock.sleep(FIRST_STATUS_S)
        while True:
            status = self.status()
            answer = await self.core.parts.report(status)
            if answer is not None:
                self.apply_answer(status, answer)
            await self.clock.sleep(STATUS_INTERVAL_S)

    def apply_answer(self, status: PoolStatus, answer: PlannerAnswer) -> None:
        """Applies the planner's answer to a status."""
        self.peak_ages_s = answer.peak_ages_s
        self.peak_ages_read_s = self.clock.now()
        self.evacuation.update_vacate_requests(answer.vacate)
        self.workers.vacate_known.update(w.worker_id for w in status.workers)
        self.workers.apply_ended(answer.ended)
        self.workers.assignment.apply_gone(answer.gone)

    def record_arrival(self, job: JobRun) -> None:
        """Adds the work of a new job to the inflow, unless its tasks are lasting."""
        if job.spec.is_lasting():
            return
        now, order = self.clock.now(), self.core.order
        outlook = order.outlook(job)
        self.inflow.add(outlook.work, now)
        # Jobs beyond the share of their organisation do not hold up those of others.
        usable = 0.0 if job.surplus else usable_share(outlook.chain_s, SUSTAINED_S)
        order.arrived.add(
            job.spec.queue,
            job.queue.priority,
            outlook.total / MILLI,
            now,
            organisation=job.spec.organisation,
            usable=usable,
        )

    def status(self) -> PoolStatus:
        """Returns the demand and the workers of the pool."""
        now = self.clock.now()
        core = self.core
        workers = tuple(self.worker(worker, now) for worker in core.workers.values())
        passed_s = now - self.peak_ages_read_s
        ages_s = {pool: age_s + passed_s for pool, age_s in self.peak_ages_s.items()}
        lasting, running, waiting = self.demand()
        return PoolStatus(
            core.pool,
            core.tenure.fence,
            lasting,
            running,
            waiting,
            self.inflow.per_s(now),
            workers,
            ages_s,
            tuple(sorted({key.worker_id for key in self.workers.assignment.unreached})),
            now - self.workers.assignment.read_s,
            self.evacuation.lacks_room(),
        )

    def worker(self, worker: WorkerState, now: float) -> WorkerStatus:
        """Returns the status of a worker for the planner."""
        return WorkerStatus(
            worker_id=worker.worker_id,
            cpu_milli=worker.listing.capacity.cpu_milli,
            used_milli=worker.used_cpu,
            runs=len(worker.placements),
            lasting=worker.lasting(),
            vacating=self.workers.vacating_s(worker) >= STATUS_EFFECT_S,
            usable=self.workers.is_usable(worker),
            idle_s=now - worker.busy_s,
            known=self.workers.are_runs_known(worker),
        )

    def demand(self) -> tuple[int, int, float]:
        """Returns the demand of the pool.

        Returns:
            Processors of lasting tasks and of running tasks, both in thousandths of
            a core, and the waiting work in thousandths of a core times seconds.
        """
        lasting = running = 0
        waiting = 0.0
        core = self.core
        for job in core.board.jobs.values():
            if job.end is not None:
                continue
            if job.spec.is_lasting():
                lasting += job.lasting_milli()
            outlook = core.order.outlook(job)
            running += outlook.running_milli
            waiting += outlook.waiting * LATE_WORK_WEIGHTS[core.order.lateness(job)]
        # Callers may give sizes whose sum does not fit into a message.
        return min(lasting, UNLIMITED), running, waiting
