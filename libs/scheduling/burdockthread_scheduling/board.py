"""Jobs of one pool: their steps, tasks and progress."""

from collections.abc import Iterator
from enum import Enum, auto
from typing import TYPE_CHECKING

from burdockthread_scheduling.records import JobProgress
from burdockthread_scheduling.specs import JobSpec, QueueSpec, StepSpec, TaskId
from burdockthread_scheduling.workers import Capacity

if TYPE_CHECKING:
    from burdockthread_scheduling.worker_state import Placement


class TaskRun:
    """A task that has not succeeded yet.

    Attributes:
        task: Id of the task.
        job: The job that the task belongs to.
        step: Specification of the task's step.
        size: Capacity that a run of the task needs on a worker.
        placements: Runs that may exist, the newest last.
        last_run: Highest run number that this holder has assigned.
        checkpoint: Newest saved progress, or empty.
        failures: Numbers of the runs that failed. A set, because a worker reports
            an ended run repeatedly until the end is acknowledged as stored.
        failed_on: Ids of the workers on which a run failed.
        foreseen_s: Durations that the runs stopped as too slow would have had.
        unaccounted: Whether a run was lost while another entry may have held the
            pool. That entry may keep the run alive, or have recorded its success.
        located: Whether a worker has listed a run after the last order of earlier
            holders, so that no other run of the task can exist.
    """

    __slots__ = (
        "checkpoint",
        "failed_on",
        "failures",
        "foreseen_s",
        "job",
        "last_run",
        "located",
        "placements",
        "size",
        "step",
        "task",
        "unaccounted",
    )

    def __init__(self, task: TaskId, job: "JobRun", step: StepSpec) -> None:
        self.task = task
        self.job = job
        self.step = step
        self.size = Capacity(step.cpu_milli, step.memory_mb, step.accelerators)
        self.placements: list[Placement] = []
        self.last_run = 0
        self.checkpoint = ""
        self.failures: set[int] = set()
        self.failed_on: set[str] = set()
        self.foreseen_s: list[float] = []
        self.unaccounted = False
        self.located = False

    def name(self) -> str:
        """Returns the task's name within the job, as used in the stored progress."""
        return f"{self.task.occurrence}.{self.task.step}.{self.task.number}"


class StepRun:
    """One step of one occurrence of a job.

    Attributes:
        occurrence: Number of the occurrence.
        number: Number of the step.
        spec: Specification of the step.
        queue: Name of the job's queue.
        open_tasks: Tasks that have not succeeded, by index.
        succeeded: Bit set of the indices of the tasks that have succeeded.
        located: Whether any of its tasks was located.
        durations_s: Durations of the successful runs in seconds.
    """

    def __init__(self, job: "JobRun", occurrence: int, number: int) -> None:
        self.occurrence = occurrence
        self.number = number
        self.spec = job.spec.steps[number]
        self.queue = job.spec.queue
        self.succeeded = 0
        self.located = False
        self.durations_s: list[float] = []
        self.open_tasks = {
            index: TaskRun(
                TaskId(job.spec.job_id, occurrence, number, index), job, self.spec
            )
            for index in range(self.spec.tasks)
        }

    def name(self) -> str:
        """Returns the step's name within the job, as used in the stored progress."""
        return f"{self.occurrence}.{self.number}"

    def succeed(self, index: int) -> TaskRun | None:
        """Records a success; returns the task, or None if it was recorded before."""
        self.succeeded |= 1 << index
        return self.open_tasks.pop(index, None)


class JobEnd(Enum):
    """Final state of a job."""

    COMPLETED = auto()
    FAILED = auto()
    CANCELLED = auto()


class JobRun:
    """A job of the pool and its progress.

    Attributes:
        spec: Specification of the job.
        queue: The job's queue.
        revision: Store revision of the key that holds the job's state.
        occurrences: Steps by occurrence, for occurrences that have been opened.
        closed: Occurrences that are complete.
        next_occurrence: First occurrence that has not been opened yet.
        begun: Whether a task of the job has started.
        end: Final state, or None while the job goes on.
        adopted: Whether an earlier holder may have started tasks of the job.
        held_back: Whether no task may be started yet: the job arrived when another
            entry may have held the pool, which would start its tasks at once.
        dirty: Whether the progress has changed since it was last stored.
        has_progress_key: Whether the store may have a progress key of the job.
        surplus: Whether its organisation had submitted more jobs than it may expect to
            have served.
    """

    def __init__(
        self, spec: JobSpec, queue: QueueSpec, revision: int, *, adopted: bool
    ) -> None:
        self.spec = spec
        self.queue = queue
        self.revision = revision
        self.occurrences: dict[int, list[StepRun]] = {}
        self.closed: set[int] = set()
        self.next_occurrence = 0
        self.begun = False
        self.end: JobEnd | None = None
        self.adopted = adopted
        self.held_back = False
        self.dirty = False
        self.has_progress_key = False
        self.surplus = False
        if not spec.repetitions:
            self.open_occurrence(0)

    def open_occurrence(self, occurrence: int) -> None:
        """Creates the tasks of an occurrence."""
        self.occurrences[occurrence] = [
            StepRun(self, occurrence, number) for number in range(len(self.spec.steps))
        ]

    def open_due(self, wall_ms: float) -> None:
        """Creates the tasks of the occurrences that are due."""
        while self.next_occurrence < self.spec.repetitions:
            occurrence = self.next_occurrence
            if self.spec.due_ms(occurrence) > wall_ms:
                return
            if occurrence not in self.occurrences and occurrence not in self.closed:
                self.open_occurrence(occurrence)
            self.next_occurrence += 1

    def step_run(self, occurrence: int, number: int) -> StepRun | None:
        """Returns a step of an open occurrence, or None if there is none."""
        steps = self.occurrences.get(occurrence)
        if steps is None or number >= len(steps):
            return None
        return steps[number]

    def find(self, task: TaskId) -> TaskRun | None:
        """Returns a task that has not succeeded, or None if there is none."""
        step = self.step_run(task.occurrence, task.step)
        return None if step is None else step.open_tasks.get(task.number)

    def runnable_steps(self) -> Iterator[StepRun]:
        """Yields the steps with open tasks whose predecessors have succeeded."""
        for steps in self.occurrences.values():
            for step in steps:
                if step.open_tasks and self.is_unlocked(steps, step):
                    yield step

    def is_unlocked(self, steps: list[StepRun], step: StepRun) -> bool:
        """Returns whether all predecessors of a step have succeeded."""
        return all(not steps[number].open_tasks for number in step.spec.after)

    def locate(self, task: TaskRun) -> None:
        """Records that a run was listed after the last order of earlier holders."""
        task.located = True
        step = self.step_run(task.task.occurrence, task.task.step)
        if step is not None:
            step.located = True

    def is_located(self, task: TaskRun) -> bool:
        """Returns whether all runs of a task are known.

        An earlier holder runs a task once at a time, and starts no step before its
        predecessors have succeeded, which one that was running after its last order
        had not.
        """
        if not self.adopted or task.located:
            return True
        steps = self.occurrences.get(task.task.occurrence, [])
        before = (steps[number] for number in task.step.after)
        return any(step.located and not step.spec.duplicates_allowed for step in before)

    def open_tasks(self) -> Iterator[TaskRun]:
        """Yields all tasks that have not succeeded."""
        for steps in self.occurrences.values():
            for step in steps:
                yield from step.open_tasks.values()

    def lasting_milli(self) -> int:
        """Returns the CPU that the job's long-running tasks need, in millicores.

        Tasks that fill spare capacity don't count.
        """
        return sum(
            step.spec.cpu_milli * len(step.open_tasks)
            for steps in self.occurrences.values()
            for step in steps
            if step.spec.lasting and not step.spec.fills
        )

    def failed_runs(self, task: TaskRun) -> set[int]:
        """Returns the numbers of the failed runs of a task, or of its gang."""
        step = self.step_run(task.task.occurrence, task.task.step)
        if step is None or not task.step.gang:
            return task.failures
        members = (member.failures for member in step.open_tasks.values())
        return set().union(*members)

    def succeed(self, task: TaskId) -> tuple[TaskRun, ...]:
        """Records that a task succeeded, together with all members of its gang.

        Closes the occurrence if no task of it is open any more.

        Returns:
            The tasks whose success had not been recorded before.
        """
        step = self.step_run(task.occurrence, task.step)
        if step is None:
            return ()
        indices = range(step.spec.tasks) if step.spec.gang else (task.number,)
        found = [step.succeed(index) for index in indices]
        self.dirty = True
        steps = self.occurrences[task.occurrence]
        if all(not step.open_tasks for step in steps):
            self.close_occurrence(task.occurrence)
        return tuple(task for task in found if task is not None)

    def close_occurrence(self, occurrence: int) -> None:
        """Records that all tasks of an occurrence have succeeded.

        The job is completed with its last occurrence.
        """
        self.closed.add(occurrence)
        if self.spec.repetitions:
            del self.occurrences[occurrence]
        if len(self.closed) == self.spec.occurrences():
            self.end = JobEnd.COMPLETED

    def progress(self) -> JobProgress:
        """Returns the progress to be stored."""
        succeeded = {str(occurrence): "" for occurrence in self.closed}
        failures = {}
        checkpoints = {}
        for steps in self.occurrences.values():
            for step in steps:
                if step.succeeded:
                    succeeded[step.name()] = f"{step.succeeded:x}"
        for task in self.open_tasks():
            if task.failures:
                failures[task.name()] = tuple(sorted(task.failures))
            if task.checkpoint:
                checkpoints[task.name()] = task.checkpoint
        return JobProgress(self.begun, succeeded, failures, checkpoints)

    def restore(self, progress: JobProgress) -> None:
        """Restores the progress that an earlier holder has stored."""
        self.begun = progress.begun
        self.has_progress_key = True
        for name, bits in progress.succeeded.items():
            occurrence, _, number = name.partition(".")
            self.restore_step(int(occurrence), number, bits)
        # An occurrence that has used up or saved anything was due before.
        for name in (*progress.failures, *progress.checkpoints):
            begun = int(name.partition(".")[0])
            if begun not in self.occurrences and begun not in self.closed:
                self.open_occurrence(begun)
        for task in self.open_tasks():
            task.failures = set(progress.failures.get(task.name(), ()))
            task.checkpoint = progress.checkpoints.get(task.name(), "")

    def restore_step(self, occurrence: int, number: str, bits: str) -> None:
        """Restores the successes of one step, or of a whole occurrence.

        Args:
            occurrence: Number of the occurrence.
            number: Number of the step, or empty if the whole occurrence is closed.
            bits: Indices of the successful tasks, as a hexadecimal bit set.
        """
        if not number:
            self.occurrences.setdefault(occurrence, [])
            self.close_occurrence(occurrence)
            return
        if occurrence not in self.occurrences:
            self.open_occurrence(occurrence)
        mask = int(bits, 16)
        for index in range(self.spec.steps[int(number)].tasks):
            if mask >> index & 1:
                self.succeed(TaskId(self.spec.job_id, occurrence, int(number), index))


class Board:
    """Jobs of one pool whose end has not been stored yet.

    Attributes:
        jobs: Jobs by id.
    """

    def __init__(self) -> None:
        self.jobs: dict[str, JobRun] = {}

    def find(self, task: TaskId) -> TaskRun | None:
        """Returns an open task of a job that has not ended, or None."""
        job = self.jobs.get(task.job_id)
        if job is None or job.end is not None:
            return None
        return job.find(task)
