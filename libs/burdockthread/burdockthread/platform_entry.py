"""Builds an entry on the users' platform from its parts and runs it."""

import asyncio
import traceback
from collections.abc import AsyncIterator, Coroutine
from contextlib import AsyncExitStack, asynccontextmanager
from math import inf

from burdockthread_http.connection_guard import ConnectionGuard
from burdockthread_http.connection_limits import PortLimits
from burdockthread_http.http_calls import ClientSessions
from burdockthread_http.http_server import ListeningPort, serve
from burdockthread_http.received_bytes import ReceivedBytes
from burdockthread_http.status_ports import readiness_server, text_server
from burdockthread_model.addresses import Address
from burdockthread_platform.jobs_http import JobsPort, job_id_at_end
from burdockthread_platform.settings import EntrySettings
from burdockthread_scheduling.admission_gate import AdmissionGate
from burdockthread_scheduling.desk import JobDesk
from burdockthread_scheduling.intake import JobIntake
from burdockthread_scheduling.port_limits import EntryPortLimits
from burdockthread_scheduling.request_relay import (
    CallerAnswer,
    CallerRequest,
    RequestRelay,
)

from burdockthread.platform_duties import DutyWiring
from burdockthread.platform_parts import EntryParts

# The entry reports itself not ready once the store has not answered for this time.
MAX_STORE_SILENCE_S = 2.5
DRAIN_POLL_S = 0.02
# The platform sends no new callers after two readiness polls, which are 1 s apart.
READINESS_PROPAGATION_S = 2.5
# Callers with open connections may send another request within this time.
IDLE_PERIOD_S = 0.5
# Shares of the stop timeout: for the hand-over of duties, until the ports close, and
# for requests that are open then. The rest is a reserve to send their answers on a
# slow processor.
HAND_OVER_SHARE = 0.4
STOP_SHARE = 0.7
FINISH_SHARE = 0.1


class PlatformEntry:
    """One entry on the users' platform.

    Attributes:
        parts: Clients, caches, clock and log.
        wiring: Connects the duties of this entry with those of others.
        stopping: Whether the drain has begun.
    """

    def __init__(
        self,
        settings: EntrySettings,
        metrics_port: int,
        sessions: ClientSessions,
    ) -> None:
        self.metrics_port = metrics_port
        self.parts = EntryParts(settings, sessions)
        self.clock = self.parts.clock
        self.log = self.parts.log
        self.metrics = self.parts.metrics
        self.configuration = self.parts.configuration
        self.intake = JobIntake(
            self.parts.store,
            self.parts.job_index,
            self.parts.contact,
            self.clock,
            self.metrics,
            self.log,
        )
        self.desk = JobDesk(
            self.configuration,
            self.parts.job_index,
            self.intake,
            self.clock,
            self.metrics,
            self.log,
            AdmissionGate(
                self.parts.job_index,
                self.intake,
                self.clock,
                self.metrics,
                self.log,
            ),
            settings.revocation_s if settings.strict_revocation else inf,
        )
        self.wiring = DutyWiring(self.parts, self.on_request)
        self.duties = self.wiring.duties
        relay = RequestRelay(
            self.wiring.link,
            self.duties.directory.other_addresses,
            self.parts.contact,
            self.configuration.seen_version,
            self.configuration.expect_version,
            self.intake.refuse_unsent,
            lambda request: self.intake.is_unsettled(job_id_at_end(request.path)),
            self.clock,
            self.metrics,
            self.log,
        )
        self.limits = EntryPortLimits(settings.descriptors, settings.memory_mb)
        self.guard = ConnectionGuard(
            ReceivedBytes.of_memory(settings.memory_mb), self.metrics, self.log
        )
        self.port = JobsPort(
            self.desk, self.clock, relay, self.guard, self.caller_limits
        )
        self.stopping = False

    async def on_request(self, request: CallerRequest) -> CallerAnswer:
        """Answers a caller's request that another entry passes on."""
        self.configuration.expect_version(request.least_version)
        answer = await self.port.handle(request)
        return answer._replace(version=self.parts.current_configuration().version)

    def caller_limits(self) -> PortLimits:
        """Returns the limits of the callers' port by the current configuration."""
        return self.limits.callers(self.parts.current_configuration().limits)

    def entry_limits(self) -> PortLimits:
        """Returns the limits of the port between entries."""
        return self.limits.entries(self.parts.current_configuration().limits)

    def is_ready(self) -> bool:
        """Returns whether the platform should send callers to this entry."""
        return (
            not self.stopping
            and self.configuration.current is not None
            and self.parts.shared_cache.synced
            and self.parts.contact.age_s() < MAX_STORE_SILENCE_S
        )

    def background_work(self) -> tuple[Coroutine[None, None, None], ...]:
        """Returns the coroutines that run until the entry stops."""
        return (
            self.parts.load.run(),
            self.parts.operator_cache.run(),
            self.parts.shared_cache.run(),
            self.parts.cluster_cache.run(),
            self.wiring.follow_registrations(),
            self.duties.run(),
        )

    @asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Serves within the block and stops gracefully at its end."""
        async with AsyncExitStack() as stack:
            tasks = [asyncio.create_task(work) for work in self.background_work()]
            for task in tasks:
                task.add_done_callback(self.log_task_failure)
            # The last log lines report the outcomes of the requests that were open.
            stack.callback(self.log.flush)
            stack.callback(lambda: [task.cancel() for task in tasks])
            metrics_address = Address(self.parts.settings.host, self.metrics_port)
            finish_s = self.parts.settings.stop_timeout_s * FINISH_SHARE
            await stack.enter_async_context(
                serve(self.ports(metrics_address), finish_s)
            )
            self.log.info(
                "entry_started",
                callers=self.parts.settings.callers,
                entries=self.parts.address,
                metrics=metrics_address,
                store=self.parts.settings.store,
                memory_mb=self.parts.settings.memory_mb,
                cores=self.parts.settings.cores,
            )
            yield
            await self.drain()

    def ports(self, metrics: Address) -> tuple[ListeningPort, ...]:
        """Returns the servers of this entry with their addresses."""
        clock, log, guard = self.clock, self.log, self.guard
        settings = self.parts.settings
        status = self.limits.status
        readiness = readiness_server(self.is_ready, clock, log, guard, status)
        text = text_server(self.metrics.text, clock, log, guard, status)
        link = self.wiring.link.server(clock, log, guard, self.entry_limits)
        return (
            ListeningPort(link, *self.parts.address),
            ListeningPort(text, *metrics),
            ListeningPort(readiness, *settings.readiness),
            ListeningPort(self.port.server, *settings.callers),
        )

    def log_task_failure(self, task: asyncio.Task[None]) -> None:
        """Logs the error that ended a background task, which should never end."""
        if not task.cancelled():
            error = task.exception()
            trace = "".join(traceback.format_exception(error))
            self.log.error("work_failed", reason=repr(error), trace=trace)

    def is_idle(self) -> bool:
        """Returns whether no request is open and none was answered recently."""
        idle_s = self.clock.now() - self.port.last_answer_s
        return not self.port.server.requests.total() and idle_s > IDLE_PERIOD_S

    async def drain(self) -> None:
        """Hands over the duties, then waits until callers' requests are answered."""
        self.stopping = True
        self.log.info("entry_stopping", open_requests=self.port.server.requests.total())
        self.port.server.closing = True
        started_s = self.clock.now()
        stop_s = self.parts.settings.stop_timeout_s
        try:
            async with self.clock.timeout(stop_s * HAND_OVER_SHARE):
                await self.duties.hand_over()
        except TimeoutError:
            self.log.warning("hand_over_given_up", seconds=stop_s * HAND_OVER_SHARE)
        left_s = started_s + READINESS_PROPAGATION_S - self.clock.now()
        await self.clock.sleep(left_s)
        while not self.is_idle() and self.clock.now() < started_s + stop_s * STOP_SHARE:
            await self.clock.sleep(DRAIN_POLL_S)
        self.log.info("entry_stopped", open_requests=self.port.server.requests.total())
