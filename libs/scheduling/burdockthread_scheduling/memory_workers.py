"""In-memory workers with fault injection, for tests and stand-ins."""

import asyncio
from collections.abc import Callable, Mapping

from burdockthread_model.clock import Clock

from burdockthread_scheduling.memory_audit import RunAudit
from burdockthread_scheduling.memory_runs import (
    MemoryRun,
    TaskNature,
)
from burdockthread_scheduling.roster import WorkerRoster
from burdockthread_scheduling.specs import TaskId
from burdockthread_scheduling.workers import (
    Capacity,
    EndKind,
    EndPage,
    EndReport,
    HoldOrder,
    HoldReport,
    OrderAnswer,
    Refusal,
    RunReport,
    StartOrder,
    WorkerFencedError,
    WorkerGateway,
    WorkerKey,
    WorkerListing,
    WorkerRefusedError,
    WorkerSilentError,
)

MAX_LEASE_S = 6.0
MAX_LISTED = 500
STOP_S = 0.2
GANG_WAIT_S = 3.0
POLL_S = 0.02
DEFAULT_CAPACITY = Capacity(16_000, 65_536)


class MemoryWorker:
    """One life of a worker.

    Attributes:
        listing: Registration of the worker.
        memory_workers: All workers, which keep the audit and the clock.
        runs: Runs in progress by task and run number.
        ended: Ended runs that have not been acknowledged.
        closed_runs: Highest run number by task that is not started any more.
        silent: Whether the worker answers no call, while its runs go on.
        refusing: Whether the worker refuses connections, while its runs go on.
        failing: Whether each run fails shortly after its start.
        speed: Seconds of work done per second.
        clock_rate: Seconds that its clock shows per second.
        lost_answers: Number of next orders that take effect without an answer.
        lost_reports: Number of next polls that take effect without an answer.
        late_orders_s: Delays in seconds of the next orders, which get no answer.
        alive: Whether the worker has not ended.
    """

    def __init__(self, listing: WorkerListing, memory_workers: "MemoryWorkers") -> None:
        self.listing = listing
        self.memory_workers = memory_workers
        self.born_s = memory_workers.clock.now()
        self.runs: dict[tuple[TaskId, int], MemoryRun] = {}
        self.ended: list[EndReport] = []
        self.end_count = 0
        self.fence = 0
        self.lease_until_ms = 0
        self.closed_runs: dict[TaskId, int] = {}
        self.silent = False
        self.refusing = False
        self.failing = False
        self.speed = 1.0
        self.clock_rate = 1.0
        self.lost_answers = 0
        self.lost_reports = 0
        self.late_orders_s: list[float] = []
        self.alive = True

    def clock_ms(self) -> int:
        """Returns the worker's clock in milliseconds since its start."""
        passed_s = self.memory_workers.clock.now() - self.born_s
        return int(passed_s * self.clock_rate * 1000) + 1

    def free(self) -> Capacity:
        """Returns the capacity that no run uses."""
        used = [run.nature.size for run in self.runs.values()]
        capacity = self.listing.capacity
        return Capacity(
            capacity.cpu_milli - sum(size.cpu_milli for size in used),
            capacity.memory_mb - sum(size.memory_mb for size in used),
            capacity.accelerators - sum(size.accelerators for size in used),
        )

    def advance(self) -> None:
        """Advances all runs to the current time and ends those that are due."""
        now = self.memory_workers.clock.now()
        for run in tuple(self.runs.values()):
            if (run.order.task, run.order.run) not in self.runs:
                continue
            waiting = self.memory_workers.is_waiting_gang(run)
            run.advance(now, 0.0 if waiting else self.speed)
            if waiting and now - run.started_s > GANG_WAIT_S:
                self.end(run, EndKind.GANG_INCOMPLETE)
            elif self.clock_ms() >= self.lease_until_ms:
                self.end(run, EndKind.LEASE_LAPSED)
            elif now >= run.stop_s:
                self.end(run, EndKind.STOPPED)
            elif (self.failing or run.nature.fails) and now > run.fails_s:
                self.end(run, EndKind.FAILED)
            elif run.done_s >= run.nature.duration_s:
                self.end(run, EndKind.SUCCEEDED)

    def end(self, run: MemoryRun, kind: EndKind) -> None:
        """Ends a run, reports its end, and ends the other members of its gang."""
        order = run.order
        del self.runs[order.task, order.run]
        self.close_run(order.task, order.run)
        self.end_count += 1
        self.ended.append(
            EndReport(self.end_count, order.task, order.run, kind, run.checkpoint())
        )
        self.memory_workers.audit.record_end(self.listing, run, kind)
        if run.nature.gang:
            self.memory_workers.end_gang(run, kind)

    def close_run(self, task: TaskId, run: int) -> None:
        """Prevents all runs of a task up to a number from starting here."""
        self.closed_runs[task] = max(self.closed_runs.get(task, 0), run)

    def extend(self, until_ms: int) -> None:
        """Renews the lease, for the longest time that workers grant at most."""
        longest_ms = int(self.memory_workers.max_lease_s * 1000)
        bound = min(until_ms, self.clock_ms() + longest_ms)
        self.lease_until_ms = max(self.lease_until_ms, bound)

    def start(self, order: StartOrder) -> Refusal | None:
        """Carries out and records an order to start a run."""
        refusal = self.try_start(order)
        self.memory_workers.audit.record_order(
            self.listing, "start", order.fence, refusal, order.task, order.run
        )
        return refusal

    def try_start(self, order: StartOrder) -> Refusal | None:
        """Starts a run, or returns why the order is rejected."""
        self.memory_workers.running()
        if order.fence < self.fence:
            return Refusal.FENCED
        self.fence = order.fence
        if (order.task, order.run) in self.runs:
            self.extend(order.lease_until_ms)
            return None
        if order.lease_until_ms <= self.clock_ms():
            return Refusal.TOO_LATE
        self.extend(order.lease_until_ms)
        if order.run <= self.closed_runs.get(order.task, 0):
            return Refusal.STALE_RUN
        nature = self.memory_workers.nature(order.task)
        free = self.free()
        if any(need > left for need, left in zip(nature.size, free, strict=True)):
            return Refusal.NO_ROOM
        run = MemoryRun(order, nature, self.memory_workers.clock.now())
        self.runs[order.task, order.run] = run
        self.memory_workers.audit.record_start(self.listing, run)
        return None

    def stop(self, task: TaskId, run: int, fence: int) -> Refusal | None:
        """Carries out and records an order to stop a run."""
        self.advance()
        refusal = Refusal.FENCED if fence < self.fence else None
        self.memory_workers.audit.record_order(
            self.listing, "stop", fence, refusal, task, run
        )
        if refusal is not None:
            return refusal
        self.fence = fence
        self.close_run(task, run)
        found = self.runs.get((task, run))
        if found is not None:
            self.memory_workers.audit.record_disruption(self.listing, found)
            found.stop_s = min(
                found.stop_s,
                self.memory_workers.clock.now() + self.memory_workers.stop_s,
            )
        return None

    def report(self) -> HoldReport:
        """Returns the running and the ended runs."""
        self.advance()
        running = tuple(
            RunReport(
                task,
                number,
                run.checkpoint(),
                run.percent(),
                self.memory_workers.measure(self, run),
            )
            # Newest first, since callers may not rely on any order.
            for (task, number), run in reversed(self.runs.items())
        )
        return HoldReport(
            self.clock_ms(),
            self.listing.key.born_ms,
            running,
            EndPage.from_oldest(tuple(self.ended[:MAX_LISTED]), MAX_LISTED),
        )

    def settle(self, number: int) -> None:
        """Deletes the ended runs up to an acknowledged number."""
        for end in self.ended:
            if end.number <= number and end.kind is EndKind.SUCCEEDED:
                self.memory_workers.audit.settled.add(end.task)
        self.ended = [end for end in self.ended if end.number > number]


class MemoryWorkers(WorkerGateway, WorkerRoster):
    """All in-memory workers, with their gateway, their roster and their audit.

    Attributes:
        nature: Returns the behaviour of a task.
        by_key: Workers that have not ended.
        audit: Records of all runs and orders.
        stop_s: Seconds from a stop order until the run has ended.
        max_lease_s: Longest lease in seconds that a worker grants.
        event: Set when the registered workers have changed.
        late: Delayed orders that have not been carried out yet.
        measure: Returns the reported `measure` of a run on a worker.
    """

    def __init__(
        self, clock: Clock, nature: Callable[[TaskId], TaskNature] | None = None
    ) -> None:
        self.clock = clock
        self.nature = nature or (lambda _: TaskNature())
        self.by_key: dict[WorkerKey, MemoryWorker] = {}
        self.audit = RunAudit(clock)
        self.stop_s = STOP_S
        self.max_lease_s = MAX_LEASE_S
        self.event = asyncio.Event()
        self.late: set[asyncio.Task[None]] = set()
        self.measure: Callable[[MemoryWorker, MemoryRun], float] = lambda *_: 0.0

    def add(
        self,
        worker_id: str,
        pool: str,
        capacity: Capacity = DEFAULT_CAPACITY,
        labels: tuple[str, ...] = (),
        born_ms: int = 1,
    ) -> MemoryWorker:
        """Adds a worker; a worker with the same id ends first."""
        key = WorkerKey(worker_id, born_ms)
        rack = labels[1] if len(labels) > 1 else ""
        listing = WorkerListing(
            key, pool, "127.0.0.1", 1, "zone-a", labels, capacity, rack=rack
        )
        for other in tuple(self.by_key):
            if other.worker_id == worker_id:
                self.remove(other)
        worker = MemoryWorker(listing, self)
        self.by_key[key] = worker
        self.event.set()
        return worker

    def remove(self, key: WorkerKey) -> None:
        """Ends a worker and all runs on it."""
        worker = self.by_key.pop(key)
        worker.alive = False
        worker.advance()
        now = self.clock.now()
        for run in worker.runs.values():
            self.audit.replace_record(worker.listing, run, now, None)
        worker.runs.clear()
        self.event.set()

    def workers(self, pool: str) -> Mapping[WorkerKey, WorkerListing]:
        """Returns the registered workers of a pool."""
        return {
            key: worker.listing
            for key, worker in self.by_key.items()
            if worker.listing.pool == pool
        }

    def changed(self) -> asyncio.Event:
        """Returns an event that is set when the workers have changed."""
        return self.event

    def gang_of(self, run: MemoryRun) -> list[tuple[MemoryWorker, MemoryRun]]:
        """Returns the members of a gang's run that have started and not ended."""
        task, number = run.order.task, run.order.run
        return [
            (worker, other)
            for worker in self.by_key.values()
            for (other_task, other_number), other in tuple(worker.runs.items())
            if other_task[:3] == task[:3] and other_number == number
        ]

    def is_waiting_gang(self, run: MemoryRun) -> bool:
        """Returns whether a gang member waits for members that have not started."""
        return run.nature.gang > 0 and len(self.gang_of(run)) < run.nature.gang

    def end_gang(self, run: MemoryRun, kind: EndKind) -> None:
        """Ends the other members of a gang after one member has ended.

        They succeed with it; otherwise they end as `GANG_BROKEN`.
        """
        together = kind is EndKind.SUCCEEDED
        for worker, other in self.gang_of(run):
            if (other.order.task, other.order.run) in worker.runs:
                worker.end(other, kind if together else EndKind.GANG_BROKEN)

    def running(self) -> list[TaskId]:
        """Advances all workers and returns the running tasks."""
        for worker in self.by_key.values():
            worker.advance()
        return [task for worker in self.by_key.values() for task, _ in worker.runs]

    # Orders

    def worker_by_id(self, worker_id: str) -> MemoryWorker | None:
        """Returns the current worker with an id, or None."""
        lives = (w for key, w in self.by_key.items() if key.worker_id == worker_id)
        return next(lives, None)

    def reach(self, worker: WorkerListing) -> MemoryWorker:
        """Returns the worker that receives a call.

        A call names only the worker id, so a later life with the same id accepts a
        call meant for an earlier one.

        Raises:
            WorkerRefusedError: There is no such worker, or it refuses connections.
        """
        worker_id = worker.key.worker_id
        found = self.by_key.get(worker.key) or self.worker_by_id(worker_id)
        if found is None:
            raise WorkerRefusedError(f"{worker_id} has ended")
        if found.refusing:
            raise WorkerRefusedError(f"{worker.key.worker_id} refuses connections")
        return found

    async def answer(
        self,
        worker: WorkerListing,
        timeout_s: float,
        carry_out: Callable[[MemoryWorker], Refusal | None],
    ) -> OrderAnswer:
        """Carries out an order and answers it, with the faults set on the worker.

        Raises:
            WorkerSilentError: The worker is silent, or the order is delayed, or its
                answer is lost.
        """
        found = self.reach(worker)
        if found.silent:
            await self.clock.sleep(timeout_s)
            raise WorkerSilentError(f"{worker.key.worker_id} is silent")
        if found.late_orders_s:
            delay_s = found.late_orders_s.pop(0)
            task = asyncio.create_task(self.carry_out_late(found, delay_s, carry_out))
            self.late.add(task)
            task.add_done_callback(self.late.discard)
            await self.clock.sleep(timeout_s)
            raise WorkerSilentError(f"order to {worker.key.worker_id} is delayed")
        refusal = carry_out(found)
        if found.lost_answers:
            found.lost_answers -= 1
            await self.clock.sleep(timeout_s)
            raise WorkerSilentError(f"answer of {worker.key.worker_id} was lost")
        return OrderAnswer(refusal, found.clock_ms())

    async def carry_out_late(
        self,
        worker: MemoryWorker,
        delay_s: float,
        carry_out: Callable[[MemoryWorker], Refusal | None],
    ) -> None:
        """Carries out an order after a delay, unless the worker has ended."""
        await self.clock.sleep(delay_s)
        if worker.alive:
            carry_out(worker)

    async def start(
        self, worker: WorkerListing, order: StartOrder, timeout_s: float
    ) -> OrderAnswer:
        """Orders a worker to start a run."""
        return await self.answer(worker, timeout_s, lambda found: found.start(order))

    async def stop(
        self,
        worker: WorkerListing,
        task: TaskId,
        run: int,
        fence: int,
        timeout_s: float,
    ) -> OrderAnswer:
        """Orders a worker to stop a run."""
        return await self.answer(
            worker, timeout_s, lambda found: found.stop(task, run, fence)
        )

    async def pace(
        self,
        worker: WorkerListing,
        task: TaskId,
        run: int,
        percent: int,
        fence: int,
        timeout_s: float,
    ) -> OrderAnswer:
        """Orders a worker to set the pace of a task, 0 to 100 percent."""

        def carry_out(found: MemoryWorker) -> Refusal | None:
            found.advance()
            if fence < found.fence:
                return Refusal.FENCED
            placed = found.runs.get((task, run))
            if placed is not None:
                placed.percent_allowed = percent
            return None

        return await self.answer(worker, timeout_s, carry_out)

    async def hold(
        self, worker: WorkerListing, order: HoldOrder, timeout_s: float
    ) -> HoldReport:
        """Renews the lease, acknowledges ends, and returns the worker's report.

        Waits for an ended run as long as the order allows.

        Raises:
            WorkerFencedError: The worker has accepted a higher fencing token.
            WorkerSilentError: The worker is silent, refuses connections or ended.
        """
        found = self.reach(worker)
        if found.silent:
            await self.clock.sleep(timeout_s)
            raise WorkerSilentError(f"{worker.key.worker_id} is silent")
        if order.fence < found.fence:
            self.audit.record_order(found.listing, "obey", order.fence, Refusal.FENCED)
            raise WorkerFencedError(
                f"{worker.key.worker_id} rejects fencing token {order.fence}, "
                f"has seen {found.fence}"
            )
        if order.fence > found.fence:
            self.audit.record_order(found.listing, "obey", order.fence)
        found.fence = order.fence
        found.advance()
        if order.lease_until_ms:
            found.extend(order.lease_until_ms)
        found.settle(order.settled_end)
        give_up_s = self.clock.now() + order.wait_ms / 1000
        while not found.ended and self.clock.now() < give_up_s:
            await self.clock.sleep(POLL_S)
            if found.refusing or not found.alive:
                raise WorkerSilentError(f"{worker.key.worker_id} closed the connection")
            if found.silent:
                await self.clock.sleep(timeout_s)
                raise WorkerSilentError(f"{worker.key.worker_id} is silent")
            found.advance()
        if found.lost_reports:
            found.lost_reports -= 1
            raise WorkerSilentError(f"report of {worker.key.worker_id} was lost")
        return found.report()

    async def close(self) -> None:
        """Does nothing; there are no connections."""
