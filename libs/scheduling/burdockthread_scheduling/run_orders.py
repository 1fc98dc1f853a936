"""Orders to workers about single runs, and the handling of their answers."""

from collections.abc import Callable

from burdockthread_model.errors import PlatformError

from burdockthread_scheduling.board import TaskRun
from burdockthread_scheduling.duties import LEASE_GRACE_S
from burdockthread_scheduling.placement_policy import PolicyTickets
from burdockthread_scheduling.pool_core import PoolCore
from burdockthread_scheduling.sessions import CALL_TIMEOUT_S, HOLD_WAIT_MS
from burdockthread_scheduling.worker_state import (
    Placement,
    PlacementPhase,
    WorkerState,
)
from burdockthread_scheduling.workers import (
    OrderAnswer,
    Refusal,
    StartOrder,
    WorkerCallFailedError,
    WorkerRefusedError,
    WorkerReplacedError,
)

# A poll that was sent after the start has been answered by then.
LISTED_TIMEOUT_S = HOLD_WAIT_MS / 1000 + CALL_TIMEOUT_S
NO_ANSWER = "no answer to its order"
NOT_REACHED = "worker not reached"
STOP_RETRY_S = 0.2
STOP_RETRY_MAX_S = 0.8
# A worker that has refused a start gets none for this time.
PAUSES_S = {Refusal.NO_ROOM: 0.3, Refusal.UNHEALTHY: 1.0}
DEFAULT_PAUSE_S = 0.1
UNREACHED_PAUSE_S = 0.5
# The run numbers of a holder start at its fencing token times this.
RUNS_PER_FENCE = 1_000


class RunOrders:
    """Starts, stops and paces runs.

    Attributes:
        window: The pool's window of starts.
        on_replaced: Called with a worker at whose address another life answers.
    """

    def __init__(
        self,
        core: PoolCore,
        tickets: PolicyTickets,
        on_replaced: Callable[[WorkerState], None],
    ) -> None:
        self.core = core
        self.clock = core.clock
        self.log = core.log
        self.tickets = tickets
        self.on_replaced = on_replaced
        self.window = core.window

    def next_run(self, task: TaskRun) -> int:
        """Returns a run number above all that any holder has given to a task."""
        first = self.core.tenure.fence * RUNS_PER_FENCE
        return max(task.last_run + 1, first)

    def start(self, task: TaskRun, worker: WorkerState, run: int = 0) -> None:
        """Starts a run of a task in the background.

        Args:
            task: The task.
            worker: Worker for the run.
            run: Number of the run; 0 for the next of the task.
        """
        task.last_run = run or self.next_run(task)
        now = self.clock.now()
        placement = Placement(task, task.task, task.last_run, worker, task.size, now)
        task.placements.append(placement)
        worker.add(placement)
        worker.wake.set()
        self.window.in_flight += 1
        self.core.spawn(self.send_start(placement, task))

    async def send_start(self, placement: Placement, task: TaskRun) -> None:
        """Sends the start of a run, whose place in the window was taken before."""
        try:
            await self.try_start(placement, task)
        finally:
            # The last round may have ended early for want of this place.
            if not self.window.has_room():
                self.core.wake.set()
            self.window.in_flight -= 1

    async def try_start(self, placement: Placement, task: TaskRun) -> None:
        """Sends the start of a run once and handles the answer."""
        worker = placement.worker
        if not worker.acknowledgement_answered.is_set():
            await worker.acknowledgement_answered.wait()
            if worker.failed_calls or worker.replaced:
                self.on_refused(placement, NOT_REACHED)
                return
        if placement.phase is not PlacementPhase.ORDERED:
            return
        if self.core.tenure.lease_left_s() < -LEASE_GRACE_S:
            self.core.lose("lease in doubt")
            return
        order = StartOrder(
            task=task.task,
            run=placement.run,
            payload=task.job.spec.payload,
            lease_until_ms=worker.next_lease_ms(self.clock.now()),
            fence=self.core.tenure.fence,
            checkpoint=task.checkpoint,
            ticket=self.tickets.ticket(task.task, worker.worker_id),
        )
        sent_s = self.clock.now()
        gateway = self.core.gateway
        try:
            answer = await gateway.start(worker.listing, order, CALL_TIMEOUT_S)
        except WorkerReplacedError:
            self.on_replaced(worker)
            return
        except WorkerRefusedError as error:
            worker.full_until_s = self.clock.now() + UNREACHED_PAUSE_S
            self.on_refused(placement, str(error))
            return
        except PlatformError as error:
            if isinstance(error, WorkerCallFailedError):
                self.core.health.stall(worker, task, len(self.core.workers))
            self.window.note_no_answer(worker.worker_id)
            self.on_no_answer(placement, error)
            return
        elapsed_s = self.clock.now() - sent_s
        self.core.metrics.timing("worker.start", elapsed_s)
        self.window.note_answer(elapsed_s)
        now = self.clock.now()
        placement.life_known = worker.is_own_clock(answer.clock_ms, sent_s, now)
        self.on_answer(placement, task, answer)

    def on_answer(
        self, placement: Placement, task: TaskRun, answer: OrderAnswer
    ) -> None:
        """Handles the answer to a start."""
        worker = placement.worker
        now = self.clock.now()
        if answer.refusal is None:
            placement.confirm(now)
            if placement.progress_clock_ms is None:
                placement.progress_clock_ms = answer.clock_ms
            task.job.begun = True
            self.log.info(
                "run_started",
                task=task.task,
                run=placement.run,
                worker=worker.worker_id,
                fence=self.core.tenure.fence,
                life_known=placement.life_known,
            )
            return
        if answer.refusal is Refusal.FENCED:
            self.core.lose(f"fenced by {worker.worker_id}")
            return
        if answer.refusal is Refusal.NO_TICKET:
            self.tickets.drop(task.task, worker.worker_id)
        pause_s = PAUSES_S.get(answer.refusal, DEFAULT_PAUSE_S)
        worker.full_until_s = now + pause_s
        self.on_refused(placement, answer.refusal.value)

    def on_refused(self, placement: Placement, reason: str) -> None:
        """Handles a run that was not started."""
        placement.worker.remove(placement)
        self.core.metrics.count("runs.refused")
        self.log.info(
            "run_refused",
            task=placement.task_id,
            run=placement.run,
            worker=placement.worker.worker_id,
            reason=reason,
        )
        if placement.task is not None and placement.task.step.gang:
            self.stop_gang(placement.task, placement.run, "a member was refused")
        self.core.wake.set()

    def on_no_answer(self, placement: Placement, error: PlatformError) -> None:
        """Handles a start without an answer, which may take effect later."""
        self.core.metrics.count("runs.unanswered")
        self.log.info(
            "run_unanswered",
            task=placement.task_id,
            run=placement.run,
            worker=placement.worker.worker_id,
            reason=error,
        )
        if placement.phase is not PlacementPhase.ORDERED:
            return
        placement.phase = PlacementPhase.UNANSWERED
        if placement.task is not None and placement.task.step.gang:
            self.stop_gang(placement.task, placement.run, "a member did not answer")
        elif self.window.is_narrow():
            placement.worker.wake.set()
            self.core.spawn(self.stop_unless_listed(placement))
        else:
            self.stop(placement, NO_ANSWER)

    async def stop_unless_listed(self, placement: Placement) -> None:
        """Stops an unanswered run that the worker's next report does not list.

        On a full path the answer is more likely late than lost, and a stop would
        throw away the work and send more over the same path.
        """
        await self.clock.sleep(LISTED_TIMEOUT_S)
        if placement.phase is PlacementPhase.UNANSWERED:
            self.stop(placement, NO_ANSWER)

    def stop_gang(self, task: TaskRun, run: int, reason: str) -> None:
        """Stops all members of a run of a gang."""
        step = task.job.step_run(task.task.occurrence, task.task.step)
        if step is None:
            return
        for member in step.open_tasks.values():
            for placement in tuple(member.placements):
                if placement.run == run:
                    self.stop(placement, reason)

    def stop(self, placement: Placement, reason: str, **inputs: object) -> None:
        """Stops a run, or prevents its start if the order is still in flight.

        Args:
            placement: The run.
            reason: Why.
            inputs: Values that decided the stop, for the log.
        """
        if placement.phase is PlacementPhase.STOPPING:
            return
        placement.phase = PlacementPhase.STOPPING
        placement.certain_s = float("inf")
        self.log.info(
            "run_stopping",
            task=placement.task_id,
            run=placement.run,
            worker=placement.worker.worker_id,
            reason=reason,
            **inputs,
        )
        self.core.spawn(self.send_stop(placement))

    async def send_stop(self, placement: Placement) -> None:
        """Repeats a stop until the worker answers or the run has ended."""
        retry_s = STOP_RETRY_S
        while not await self.try_stop(placement):
            await self.clock.sleep(retry_s)
            retry_s = min(2 * retry_s, STOP_RETRY_MAX_S)

    async def try_stop(self, placement: Placement) -> bool:
        """Sends a stop once; returns whether no retry is needed."""
        worker = placement.worker
        key = (placement.task_id, placement.run)
        if worker.placements.get(key) is not placement:
            return True
        if worker.replaced:
            # The next life may have started the run and is not registered yet.
            return False
        fence = self.core.tenure.fence
        try:
            answer = await self.core.gateway.stop(
                worker.listing, *key, fence, CALL_TIMEOUT_S
            )
        except WorkerReplacedError:
            self.on_replaced(worker)
            return True
        except PlatformError as error:
            self.log.info(
                "stop_unanswered",
                task=placement.task_id,
                run=placement.run,
                worker=worker.worker_id,
                reason=error,
            )
            return False
        if answer.refusal is Refusal.FENCED:
            self.core.lose(f"fenced by {worker.worker_id}")
        elif answer.refusal is not None:
            return False
        placement.certain_s = self.clock.now()
        worker.wake.set()
        return True

    async def pace(self, placement: Placement, percent: int) -> bool:
        """Sets the pace of a run in percent; returns whether the worker confirmed."""
        worker = placement.worker
        try:
            answer = await self.core.gateway.pace(
                worker.listing,
                placement.task_id,
                placement.run,
                percent,
                self.core.tenure.fence,
                CALL_TIMEOUT_S,
            )
        except PlatformError as error:
            self.log.info(
                "pace_unanswered",
                task=placement.task_id,
                worker=worker.worker_id,
                percent=percent,
                reason=error,
            )
            return False
        self.core.metrics.count("runs.paced")
        return answer.refusal is None
