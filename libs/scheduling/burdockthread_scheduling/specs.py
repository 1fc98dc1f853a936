"""Specifications of jobs and steps, and the configuration of queues and pools."""

from typing import NamedTuple

from burdockthread_scheduling.organisations import Organisations


class StepSpec(NamedTuple):
    """One step of a job.

    Attributes:
        tasks: Number of tasks.
        cpu_milli: Processor request of each task in thousandths of a core.
        memory_mb: Memory request of each task in megabytes.
        accelerators: Accelerators of each task.
        estimated_ms: Rough duration of a task in milliseconds.
        after: Earlier steps whose tasks must all have succeeded first.
        checkpointing: Whether its tasks save their progress.
        gang: Whether all its tasks have to run at the same time.
        same_rack: Whether the step runs slower when spread over racks.
        label: Label that its workers must have, or empty.
        data_rack: Rack that holds its data, or empty.
        max_per_worker: Most tasks of the step on one worker; 0 for no bound.
        duplicates_allowed: Whether copies of a task may run in parallel.
        lasting: Whether its tasks are long-running: until the job is cancelled.
        image: Image that its tasks run, or empty.
        target_ms: Highest tail latency allowed for its tasks, or 0.
        fills: Whether its tasks only use processors that other tasks leave free.
        max_unavailable: Most tasks that planned maintenance may stop at once.
    """

    tasks: int
    cpu_milli: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    estimated_ms: int = 0
    after: tuple[int, ...] = ()
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    label: str = ""
    data_rack: str = ""
    max_per_worker: int = 0
    duplicates_allowed: bool = False
    lasting: bool = False
    image: str = ""
    target_ms: float = 0.0
    fills: bool = False
    max_unavailable: int = 0

    def summary(self) -> str:
        """Returns a short text for the log with the fields that affect placement."""
        flags = {
            "gang": self.gang,
            "same-rack": self.same_rack,
            "copies": self.duplicates_allowed,
            "lasting": self.lasting,
            "fills": self.fills,
            "saves": self.checkpointing,
            f"label={self.label}": bool(self.label),
            f"rack={self.data_rack}": bool(self.data_rack),
            f"apart={self.max_per_worker}": bool(self.max_per_worker),
            f"target={self.target_ms:g}": bool(self.target_ms),
            f"miss={self.max_unavailable}": bool(self.max_unavailable),
            f"image={self.image}": bool(self.image),
        }
        named = [name for name, given in flags.items() if given]
        size = f"{self.tasks}x{self.cpu_milli}m/{self.memory_mb}MB"
        return ",".join([size, f"{self.estimated_ms}ms", *named])


class PlacementPolicyTimes(NamedTuple):
    """How long the placement policy of a queue takes to answer.

    Attributes:
        base_ms: Milliseconds for an answer.
        per_worker_ms: Additional milliseconds for each candidate worker.
        valid_ms: Milliseconds for which a ticket is valid.
    """

    base_ms: float
    per_worker_ms: float
    valid_ms: float


class QueueTerms(NamedTuple):
    """What a queue promises its jobs, kept with each job that it accepts.

    Attributes:
        priority: Urgency; 0 comes first.
        max_attempts: Failed runs of a task after which its job has failed.
        stretch: Allowed ratio of a job's time to its longest chain of work.
        latency_target_ms: Milliseconds allowed in addition to the stretched time.
        placement_policy: Times of the placement policy, or None without a policy.
    """

    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    latency_target_ms: float = 0.0
    placement_policy: PlacementPolicyTimes | None = None


class JobSpec(NamedTuple):
    """A job as accepted.

    Attributes:
        job_id: Id chosen by the caller.
        queue: Name of its queue.
        payload: Text that is passed to its tasks.
        steps: Steps of the job.
        repetitions: How often the steps run; 0 for a single run that starts at once.
        first_run_ms: Unix time in milliseconds of the first occurrence.
        interval_ms: Milliseconds from one occurrence to the next.
        accepted_ms: Unix time in milliseconds at which an entry accepted the job.
        terms: Terms of the queue when it accepted the job; they hold once the queue
            is no longer configured.
        organisation: Name of the organisation whose key submitted the job, or empty.
    """

    job_id: str
    queue: str
    payload: str
    steps: tuple[StepSpec, ...]
    repetitions: int = 0
    first_run_ms: int = 0
    interval_ms: int = 0
    accepted_ms: int = 0
    terms: QueueTerms = QueueTerms()
    organisation: str = ""

    def occurrences(self) -> int:
        """Returns how often the steps run; at least 1."""
        return max(self.repetitions, 1)

    def due_ms(self, occurrence: int) -> int:
        """Returns the Unix time in milliseconds from which an occurrence may run."""
        if not self.repetitions:
            return 0
        return self.first_run_ms + occurrence * self.interval_ms

    def is_lasting(self) -> bool:
        """Returns whether a step is lasting, so that the job runs until cancelled."""
        return any(step.lasting for step in self.steps)


class TaskId(NamedTuple):
    """A task of a job.

    Attributes:
        job_id: The job.
        occurrence: Occurrence of the steps, counted from 0.
        step: Step, counted from 0.
        number: Task within the step, counted from 0.
    """

    job_id: str
    occurrence: int
    step: int
    number: int

    def __str__(self) -> str:
        """Returns the parts with dots between them."""
        return f"{self.job_id}.{self.occurrence}.{self.step}.{self.number}"


class QueueSpec(NamedTuple):
    """A queue as configured.

    Attributes:
        name: Unique name.
        host: Host name of its requests.
        path: Prefix of the path of its requests.
        pool: Pool whose workers run its jobs.
        priority: Urgency; 0 comes first.
        max_attempts: Failed runs of a task after which its job has failed.
        stretch: Allowed ratio of a job's time to its longest chain of work.
        latency_target_ms: Milliseconds allowed in addition to the stretched time.
        answer_timeout_ms: Time-out in milliseconds of an answer to a caller.
        placement_policy: Times of the placement policy, or None without a policy.
        public: Whether callers need no key.
    """

    name: str
    host: str
    path: str
    pool: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    latency_target_ms: float = 0.0
    answer_timeout_ms: float = 0.0
    placement_policy: PlacementPolicyTimes | None = None
    public: bool = True

    def terms(self) -> QueueTerms:
        """Returns what the queue promises its jobs."""
        return QueueTerms(
            self.priority,
            self.max_attempts,
            self.stretch,
            self.latency_target_ms,
            self.placement_policy,
        )

    @classmethod
    def from_job(cls, job: JobSpec, pool: str) -> "QueueSpec":
        """Returns the queue of a job as it was when it accepted the job."""
        return cls(job.queue, "", "", pool, **job.terms._asdict())


class PoolSpec(NamedTuple):
    """A pool of workers as configured.

    Attributes:
        name: Unique name.
        refuses_overload: Whether its workers refuse tasks that exceed their
            capacity.
        spare: Whether its machines are switched off.
        health_path: Path of a worker's health check, or empty.
    """

    name: str
    refuses_overload: bool = True
    spare: bool = False
    health_path: str = ""


class RequestLimits(NamedTuple):
    """Limits of a caller's request; sizes in bytes, times in milliseconds."""

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    header_timeout_ms: float = 3_000.0
    idle_timeout_ms: float = 15_000.0


class FleetConfiguration(NamedTuple):
    """One version of the operators' configuration.

    Attributes:
        version: Number of the version; grows with every change.
        queues: Queues by name.
        pools: Pools by name.
        limits: Limits of a caller's request.
        organisations: Organisations with their keys and quotas.
    """

    version: int
    queues: dict[str, QueueSpec]
    pools: dict[str, PoolSpec]
    limits: RequestLimits = RequestLimits()
    organisations: Organisations = Organisations()

    def queue_of(self, host: str, path: str) -> QueueSpec | None:
        """Returns the queue with the longest prefix of a path, if any.

        Args:
            host: Host name of the request, without a port.
            path: Path of the request.
        """
        best: QueueSpec | None = None
        for queue in self.queues.values():
            if queue.host != host or not path.startswith(queue.path):
                continue
            if best is None or len(queue.path) > len(best.path):
                best = queue
        return best

    def worker_pools(self) -> tuple[str, ...]:
        """Returns the pools that have a queue, sorted by name."""
        return tuple(sorted({queue.pool for queue in self.queues.values()}))
