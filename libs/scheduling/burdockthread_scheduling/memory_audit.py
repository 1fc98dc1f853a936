"""Records what really happened to the runs of in-memory workers, for tests."""

from collections import deque

from burdockthread_model.clock import Clock

from burdockthread_scheduling.memory_disruptions import DisruptionAudit
from burdockthread_scheduling.memory_runs import (
    AVAILABLE_PERCENT,
    MemoryRun,
    OrderRecord,
    RunRecord,
)
from burdockthread_scheduling.specs import TaskId
from burdockthread_scheduling.workers import EndKind, Refusal, WorkerListing

# Orders kept for a trace; a soak test gives a few thousand.
MAX_ORDERS = 100_000


class RunAudit:
    """Records runs and orders, and finds broken guarantees.

    Attributes:
        records: Every run that was started.
        settled: Tasks whose success was acknowledged to a worker.
        violations: Descriptions of broken guarantees; empty if there are none.
        orders: The newest orders that workers received, the oldest first.
        disruptions: Audit of the long-running tasks that orders made unavailable.
        starts: Number of runs that were started.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.records: list[RunRecord] = []
        self.settled: set[TaskId] = set()
        self.violations: list[str] = []
        self.orders: deque[OrderRecord] = deque(maxlen=MAX_ORDERS)
        self.disruptions = DisruptionAudit(self.records)
        self.starts = 0

    def record_start(self, worker: WorkerListing, run: MemoryRun) -> None:
        """Records a start, and a violation if the task runs or succeeded already."""
        task, number = run.order.task, run.order.run
        self.starts += 1
        for record in self.records:
            if record.task != task:
                continue
            known = f"run {record.run} on {record.worker.worker_id}"
            fresh = f"run {number} on {worker.key.worker_id}"
            if record.ended_s == float("inf"):
                started = f"{known} since {self.wall_time(record.started_s):.3f}"
                at = f"{fresh} at {self.clock.wall():.3f}"
                self.violations.append(f"{task} runs twice: {started}, {at}")
            if record.kind is EndKind.SUCCEEDED and task in self.settled:
                ended = f"{known} until {self.wall_time(record.ended_s):.3f}"
                at = f"{fresh} at {self.clock.wall():.3f}"
                self.violations.append(
                    f"{task} starts after its success: {ended}, {at}"
                )
        self.records.append(
            RunRecord(
                task,
                number,
                worker.key,
                run.started_s,
                float("inf"),
                None,
                run.started_s + run.nature.startup_s,
            )
        )

    def record_order(
        self,
        worker: WorkerListing,
        order: str,
        fence: int,
        refusal: Refusal | None = None,
        task: TaskId | None = None,
        run: int = 0,
    ) -> None:
        """Records an order that a worker received, and its outcome."""
        outcome = "done" if refusal is None else refusal.value
        key, now = worker.key, self.clock.wall()
        self.orders.append(OrderRecord(now, key, order, task, run, fence, outcome))

    def wall_time(self, clock_s: float) -> float:
        """Returns the Unix time of a clock time."""
        return clock_s - self.clock.now() + self.clock.wall()

    def record_disruption(self, worker: WorkerListing, run: MemoryRun) -> None:
        """Records an order that ends a run, and a violation of its step's budget."""
        if run.percent() < AVAILABLE_PERCENT or worker.draining:
            return
        now = self.clock.now()
        broken = self.disruptions.record_disruption(run.order.task, run.order.run, now)
        if broken:
            self.violations.append(broken)

    def record_end(self, worker: WorkerListing, run: MemoryRun, kind: EndKind) -> None:
        """Records the end of a run."""
        self.replace_record(worker, run, self.clock.now(), kind)

    def replace_record(
        self, worker: WorkerListing, run: MemoryRun, now: float, kind: EndKind | None
    ) -> None:
        """Adds the end time and the outcome to the record of a run."""
        for position, record in enumerate(self.records):
            if (record.task, record.run, record.worker) == (
                run.order.task,
                run.order.run,
                worker.key,
            ):
                self.records[position] = record._replace(ended_s=now, kind=kind)
