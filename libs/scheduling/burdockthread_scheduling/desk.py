"""Handles callers' requests to submit, show and cancel jobs."""

import asyncio
from typing import NamedTuple

from burdockthread_model.clock import Clock
from burdockthread_model.errors import (
    NotFoundError,
    RequestError,
    StoreError,
    StoreUnknownError,
)
from burdockthread_model.events import EventLog
from burdockthread_model.metrics import Metrics
from burdockthread_model.verdict import Verdict

from burdockthread_scheduling.admission_gate import AdmissionGate
from burdockthread_scheduling.configuration_view import ConfigurationView
from burdockthread_scheduling.intake import JobIntake, consume_error
from burdockthread_scheduling.job_index import JobIndex, ShownState
from burdockthread_scheduling.records import JobPhase
from burdockthread_scheduling.specs import JobSpec, QueueSpec

# An answer is sent at least this long before the caller's time-out.
ANSWER_MARGIN_S = 0.25
# Seconds after which callers retry while the store is unavailable.
RETRY_AFTER_S = 1.0
# Logged outcome of a request that was cancelled before its answer.
GIVEN_UP = "given up"


class NotReadyError(RequestError):
    """No configuration yet, or this entry is stopping."""

    status = 503


class NoQueueError(RequestError):
    """No queue has the host and path of the request."""

    status = 404


class UnknownKeyError(RequestError):
    """The queue needs a key, and no organisation has the key of the request."""

    status = 401


class NoJobError(RequestError):
    """No job has the id of the request."""

    status = 410


class NotStoredError(RequestError):
    """The store refused the write; the request has no effect."""

    status = 503


class UnsettledError(RequestError):
    """The write may have been stored; the caller has to retry to find out."""

    status = 504


class Caller(NamedTuple):
    """Whose request it is and for which queue.

    Attributes:
        queue: The queue.
        organisation: Name of the organisation, or empty for a public queue.
    """

    queue: QueueSpec
    organisation: str


class JobDesk:
    """Handles callers' requests with the configuration, job index and intake.

    Attributes:
        gate: Refuses jobs that would earn nothing, or None.
        max_key_age_s: Seconds without a confirmation of the configuration after which
            no key is trusted any more; infinity if removed keys may be in use longer.
    """

    def __init__(
        self,
        configuration: ConfigurationView,
        index: JobIndex,
        intake: JobIntake,
        clock: Clock,
        metrics: Metrics,
        log: EventLog,
        gate: AdmissionGate | None = None,
        max_key_age_s: float = float("inf"),
    ) -> None:
        self.configuration = configuration
        self.max_key_age_s = max_key_age_s
        self.index = index
        self.intake = intake
        self.clock = clock
        self.metrics = metrics
        self.log = log
        self.gate = gate

    async def identify(self, host: str, path: str, key: bytes = b"") -> Caller:
        """Returns the queue of a request and the organisation of its caller.

        Args:
            host: Host name of the request, without a port.
            path: Path of the request.
            key: Digest of the caller's key, or empty.

        Raises:
            NotReadyError: There is no configuration yet, callers of this entry have
                seen a newer one, or a newer one may have the queue or the key.
            NoQueueError: No queue has the host and path.
            UnknownKeyError: The queue needs a key, and no organisation has this one.
        """
        configuration = await self.configuration.fresh()
        if configuration is None:
            raise NotReadyError("no configuration yet", retry_after_s=RETRY_AFTER_S)
        if self.configuration.is_outdated():
            raise NotReadyError(
                "the configuration is out of date", retry_after_s=RETRY_AFTER_S
            )
        queue = configuration.queue_of(host, path)
        if queue is None:
            self.expect_certain()
            raise NoQueueError(f"no queue at {host}{path[:64]}")
        if queue.public:
            return Caller(queue, "")
        organisation = configuration.organisations.by_key.get(key)
        if organisation is None:
            self.expect_certain()
            raise self.key_refused(queue, bool(key), configuration.version)
        if self.configuration.age_s() > self.max_key_age_s:
            raise NotReadyError(
                "a removed key cannot be told from a valid one",
                retry_after_s=RETRY_AFTER_S,
            )
        return Caller(queue, organisation.name)

    def expect_certain(self) -> None:
        """Checks that no newer configuration can be in force.

        Raises:
            NotReadyError: The copy may be out of date.
        """
        if self.configuration.is_stale():
            self.configuration.doubt()
            raise NotReadyError(
                "the configuration may be out of date", retry_after_s=RETRY_AFTER_S
            )

    def key_refused(
        self, queue: QueueSpec, given: bool, version: int
    ) -> UnknownKeyError:
        """Logs a key that no organisation has, and returns the error."""
        self.metrics.count("desk.key_refused")
        self.log.info("key_refused", queue=queue.name, given=given, version=version)
        return UnknownKeyError(
            "the key is not known" if given else f"queue {queue.name} needs a key"
        )

    async def submit(
        self, queue: QueueSpec, job: JobSpec, wait_s: float, *, is_open: bool = False
    ) -> None:
        """Accepts a job.

        Args:
            queue: Queue of the job.
            job: The job.
            wait_s: Seconds that the caller waits for the answer.
            is_open: Whether another entry may still store the job, which must not be
                refused then.

        Raises:
            NotServedError: The job was not accepted, since it would earn nothing.
            NoJobError: The job was cancelled before it was accepted; it never runs.
            NotStoredError: The job was not accepted.
            UnsettledError: The job may have been accepted.
        """
        if self.gate is not None and not is_open:
            await self.gate.check(queue, job)
        started_s = self.clock.now()
        outcome = GIVEN_UP
        try:
            async with self.clock.timeout(max(wait_s - ANSWER_MARGIN_S, 0.1)):
                accepted = job._replace(terms=queue.terms())
                await self.intake.submit(accepted, queue.pool)
            outcome = "accepted"
        except NotFoundError as error:
            outcome = "withdrawn"
            raise NoJobError(str(error)) from error
        except StoreUnknownError as error:
            outcome = "unsettled"
            raise self.unsettled(job.job_id, str(error)) from error
        except StoreError as error:
            outcome = "refused"
            raise NotStoredError(
                f"job {job.job_id} was not stored: {error}",
                retry_after_s=RETRY_AFTER_S,
            ) from error
        except TimeoutError as error:
            outcome = "unsettled"
            raise self.unsettled(job.job_id, "no answer in time") from error
        finally:
            elapsed_s = self.clock.now() - started_s
            self.metrics.timing("desk.submit", elapsed_s)
            self.metrics.count(f"desk.submit.{outcome}")
            self.log.info(
                "job_submitted",
                job=job.job_id,
                queue=queue.name,
                pool=queue.pool,
                outcome=outcome,
                elapsed_ms=round(elapsed_s * 1000, 1),
            )

    def unsettled(self, job_id: str, reason: str) -> UnsettledError:
        """Returns the error for a job that may or may not be stored."""
        return UnsettledError(
            f"job {job_id} may be stored: {reason}",
            verdict=Verdict.UNKNOWN,
            retry_after_s=RETRY_AFTER_S,
        )

    async def state(self, job_id: str, wait_s: float) -> ShownState:
        """Returns the state of a job.

        Raises:
            NoJobError: There is no such job.
            NotReadyError: The job is not in the index and the store did not answer, or
                a write that stores the job is under way.
        """
        try:
            async with self.clock.timeout(max(wait_s - ANSWER_MARGIN_S, 0.1)):
                known = await self.index.find_newest(job_id)
        except (StoreError, TimeoutError) as error:
            raise NotReadyError(
                f"job {job_id}: the store did not answer", retry_after_s=RETRY_AFTER_S
            ) from error
        if known is None and self.intake.is_unsettled(job_id):
            raise NotReadyError(
                f"job {job_id} is being stored", retry_after_s=RETRY_AFTER_S
            )
        if known is None or known.record.phase is JobPhase.WITHDRAWN:
            raise NoJobError(f"no job {job_id}")
        state = self.index.shown_state(job_id, known)
        self.metrics.count(f"desk.shown.{state.value}")
        self.log.info(
            "job_shown",
            job=job_id,
            state=state.value,
            revision=known.revision,
            copy_age_s=round(self.clock.now() - self.index.cache.contact_s, 3),
        )
        return state

    async def cancel(self, job_id: str, wait_s: float) -> None:
        """Cancels a job.

        Raises:
            NoJobError: There is no such job.
            NotStoredError: The job was not cancelled.
            UnsettledError: The job may have been cancelled.
        """
        outcome = GIVEN_UP
        cancelling = asyncio.create_task(self.intake.cancel(job_id))
        cancelling.add_done_callback(consume_error)
        try:
            async with self.clock.timeout(max(wait_s - ANSWER_MARGIN_S, 0.1)):
                await asyncio.shield(cancelling)
            outcome = "cancelled"
        except NotFoundError as error:
            outcome = "no job"
            raise NoJobError(f"no job {job_id}") from error
        except (StoreUnknownError, TimeoutError) as error:
            outcome = "unsettled"
            raise self.unsettled(job_id, "the cancel was not answered") from error
        except StoreError as error:
            outcome = "refused"
            raise NotStoredError(
                f"job {job_id} was not cancelled: {error}", retry_after_s=RETRY_AFTER_S
            ) from error
        finally:
            self.log.info("job_cancel", job=job_id, outcome=outcome)

    def waiting(self, queue: QueueSpec) -> int:
        """Returns how many jobs of a queue have no task that has started."""
        return self.index.waiting(queue.name)
