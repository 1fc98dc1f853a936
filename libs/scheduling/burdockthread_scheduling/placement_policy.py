"""Placement policies: an external service allows only some workers for a step."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Iterable, Sequence
from typing import NamedTuple

from burdockthread_model.clock import Clock
from burdockthread_model.errors import PlatformError
from burdockthread_model.events import EventLog
from burdockthread_model.metrics import Metrics

from burdockthread_scheduling.specs import TaskId

# The service decides for each worker of a request; a step rarely needs more.
MAX_WORKERS_PER_REQUEST = 30
RETRY_S = 0.2
# A ticket that is about to expire could do so before the worker gets it.
TICKET_MARGIN_S = 0.3
# Tickets of a late answer may be valid still; they are used at least for this time,
# and a worker that rejects one shows that it has expired.
LEAST_USE_S = 1.0
# The service handles the calls of an entry one after another. One call more than that
# keeps it at work; the others wait here, where their order can still change.
MAX_REQUESTS = 2


class StepId(NamedTuple):
    """A step of one occurrence of a job."""

    job_id: str
    occurrence: int
    step: int


class PolicyAnswer(NamedTuple):
    """Decision of the policy service on a step.

    Attributes:
        tickets: Ticket of each worker that may run the step, by worker id.
        valid_s: Seconds for which the tickets are valid.
        took_s: Seconds from the sending of the request until the answer; a wait
            before it was sent does not count.
    """

    tickets: dict[str, str]
    valid_s: float
    took_s: float = 0.0


class PolicyService(ABC):
    """Client of the service that decides on placement policies."""

    @abstractmethod
    async def ask(self, step: StepId, workers: Sequence[str]) -> PolicyAnswer:
        """Returns which of some workers may run a step.

        Raises:
            PlatformError: The service did not answer.
        """


class NoPolicyService(PolicyService):
    """Used if no policy service is configured; each request fails."""

    async def ask(self, step: StepId, workers: Sequence[str]) -> PolicyAnswer:
        """Raises a PlatformError; a queue with a policy needs the service."""
        raise PlatformError("no placement policy service is configured")


class Ticket(NamedTuple):
    """Permission to run a step on a worker until a clock time."""

    text: str
    until_s: float


class PolicyTickets:
    """Cache of the policy's decisions for steps whose queue has a policy.

    Attributes:
        tickets: Tickets by step and worker.
        refused: Workers that may not run a step; a refusal is final.
        asking: Steps with a request in progress.
        asked_s: Clock time of the last request for each step.
        wanted: Steps that need decisions in this round, most urgent first, with the
            workers in question.
    """

    def __init__(
        self, service: PolicyService, clock: Clock, metrics: Metrics, log: EventLog
    ) -> None:
        self.service = service
        self.clock = clock
        self.metrics = metrics
        self.log = log
        self.tickets: dict[StepId, dict[str, Ticket]] = {}
        self.refused: dict[StepId, set[str]] = {}
        self.asking: set[StepId] = set()
        self.asked_s: dict[StepId, float] = {}
        self.wanted: dict[StepId, Sequence[str]] = {}

    def ticket(self, task: TaskId, worker_id: str) -> str:
        """Returns a valid ticket, or an empty text."""
        found = self.tickets.get(step_of(task), {}).get(worker_id)
        if found is None or self.clock.now() >= found.until_s:
            return ""
        return found.text

    def drop(self, task: TaskId, worker_id: str) -> None:
        """Removes a ticket that the worker rejected."""
        self.tickets.get(step_of(task), {}).pop(worker_id, None)

    def without_answer(self, step: StepId, workers: Iterable[str]) -> list[str]:
        """Returns the workers with neither a valid ticket nor a refusal."""
        refused = self.refused.get(step, set())
        now = self.clock.now()
        known = {
            worker
            for worker, ticket in self.tickets.get(step, {}).items()
            if now < ticket.until_s
        }
        return [worker for worker in workers if worker not in refused | known]

    def want(self, step: StepId, workers: Sequence[str]) -> None:
        """Notes that a step needs decisions on some workers in this round."""
        if workers and step not in self.asking:
            self.wanted[step] = workers

    def begin_requests(self) -> list[tuple[StepId, Sequence[str]]]:
        """Returns the requests to send now, and forgets what else was wanted.

        A step whose last request is longest ago comes first, so that none waits for
        ever, and among those without any the most urgent one. The caller passes each
        to `ask`.
        """
        places = max(MAX_REQUESTS - len(self.asking), 0)
        waiting = sorted(
            self.wanted, key=lambda step: self.asked_s.get(step, float("-inf"))
        )
        chosen = [(step, self.wanted[step]) for step in waiting[:places]]
        self.asking.update(step for step, _ in chosen)
        self.wanted.clear()
        return chosen

    async def ask(self, step: StepId, workers: Sequence[str]) -> None:
        """Asks the service about some workers and caches the decisions.

        After a failure, returns only after `RETRY_S`.
        """
        asked = workers[:MAX_WORKERS_PER_REQUEST]
        started_s = self.asked_s[step] = self.clock.now()
        try:
            answer = await self.service.ask(step, asked)
        except PlatformError as error:
            self.log.info(
                "policy_not_asked", step=".".join(map(str, step)), reason=error
            )
            await self.clock.sleep(RETRY_S)
            return
        finally:
            self.asking.discard(step)
        now = self.clock.now()
        self.metrics.timing("policy.ask", now - started_s)
        certain_s = answer.valid_s - answer.took_s - TICKET_MARGIN_S
        until_s = now + max(certain_s, min(answer.valid_s, LEAST_USE_S))
        known = self.tickets.setdefault(step, {})
        for worker, text in answer.tickets.items():
            known[worker] = Ticket(text, until_s)
        refused = set(asked) - answer.tickets.keys()
        self.refused.setdefault(step, set()).update(refused)
        self.log.info(
            "policy_asked",
            step=".".join(map(str, step)),
            asked=len(asked),
            allowed=len(answer.tickets),
            waited_s=round(now - started_s - answer.took_s, 3),
            took_s=round(answer.took_s, 3),
            usable_s=round(until_s - now, 3),
        )

    def keep_only(self, job_ids: Iterable[str]) -> None:
        """Removes the decisions for all other jobs."""
        kept = set(job_ids)
        for step in [step for step in self.asked_s if step.job_id not in kept]:
            for known in (self.tickets, self.refused, self.asked_s):
                known.pop(step, None)


class MemoryPolicyService(PolicyService):
    """In-memory policy for tests.

    Attributes:
        allowed: Workers that may run any step.
        valid_s: Seconds for which tickets are valid.
        asked: Workers of each request.
    """

    def __init__(self, valid_s: float = 3.0) -> None:
        self.allowed: set[str] = set()
        self.valid_s = valid_s
        self.asked: list[tuple[str, ...]] = []

    async def ask(self, step: StepId, workers: Sequence[str]) -> PolicyAnswer:
        """Allows the workers that the test has set."""
        self.asked.append(tuple(workers))
        await asyncio.sleep(0)
        tickets = {w: f"{step.job_id}-{w}" for w in workers if w in self.allowed}
        return PolicyAnswer(tickets, self.valid_s)


def step_of(task: TaskId) -> StepId:
    """Returns the step that a task belongs to."""
    return StepId(task.job_id, task.occurrence, task.step)
