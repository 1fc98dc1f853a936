"""An entry on the users' platform: every part wired together in one process."""

import asyncio
import secrets
import time
import traceback
from collections.abc import AsyncIterator, Coroutine, Mapping
from contextlib import AsyncExitStack, asynccontextmanager
from functools import partial

import aiohttp
from burdockthread_model.clock import SystemClock
from burdockthread_model.errors import PeerUnavailableError
from burdockthread_model.histograms import HistogramMetrics
from burdockthread_model.http_server import ListeningPort, serve
from burdockthread_model.stdout_log import StdoutLog
from burdockthread_platform.configuration import (
    OPERATOR_PREFIX,
    ConfigurationReader,
)
from burdockthread_platform.jobs_http import (
    JobsPort,
    readiness_server,
    text_server,
)
from burdockthread_platform.kv_store import PlatformStore
from burdockthread_platform.machines_http import HttpMachineControl
from burdockthread_platform.policy_http import HttpPolicyService
from burdockthread_platform.registrations import (
    REGISTRATION_PREFIX,
    RegisteredWorkers,
)
from burdockthread_platform.settings import (
    Address,
    EntrySettings,
)
from burdockthread_platform.waves import StoredWaves
from burdockthread_platform.worker_http import HttpWorkerGateway
from burdockthread_scheduling.configuration_view import ConfigurationView
from burdockthread_scheduling.desk import JobDesk
from burdockthread_scheduling.duties import Duties
from burdockthread_scheduling.duty import DutyFactory, DutyOffer, Tenure
from burdockthread_scheduling.entry_link import HttpEntryLink
from burdockthread_scheduling.intake import JobIntake
from burdockthread_scheduling.job_index import JobIndex
from burdockthread_scheduling.machine_planner import (
    MachinePlanner,
    MachineTimes,
    PlannerParts,
)
from burdockthread_scheduling.machines import MachineControl
from burdockthread_scheduling.placement_policy import NoPolicyService, PolicyService
from burdockthread_scheduling.pool_core import PoolParts
from burdockthread_scheduling.pool_scheduler import PoolScheduler
from burdockthread_scheduling.pool_status import (
    PlannerAnswer,
    PoolStatus,
    ReleaseAnswer,
    ReleaseOrder,
)
from burdockthread_scheduling.records import CLUSTER_PREFIX, SHARED_PREFIX
from burdockthread_scheduling.specs import FleetConfiguration
from burdockthread_store.prefix_cache import PrefixCache
from burdockthread_store.settled_store import SettledStore

POOL_DUTY = "pool:"
MACHINES_DUTY = "machines"
# A change of these takes effect only when the process starts again.
FIXED_SETTINGS = (
    "name",
    "host",
    "availability_zone",
    "callers",
    "readiness",
    "first_port",
    "cores",
)
# A job that has not ended is read anew for each caller, and counts may be two
# seconds old; a worker that leaves is to be seen within two seconds.
WATCH_PAUSES_S = {SHARED_PREFIX: 0.5, REGISTRATION_PREFIX: 0.25}
STORE_RETRY_MAX_S = 0.3
# Without an answer of the store for this long, callers are better served elsewhere.
READY_CONTACT_S = 2.5
DRAIN_POLL_S = 0.02
PROCESS_ID_BYTES = 8
# Two readings of the readiness, a second apart, take new callers elsewhere.
READINESS_NOTICE_S = 2.5
# Callers with open connections may ask again within this time.
QUIET_S = 0.5
# Parts of the time to stop: for the hand-over of duties, until the ports close, and
# for requests that are open then; the rest is for their answers on a slow processor.
HAND_OVER_SHARE = 0.4
STOP_SHARE = 0.7
FINISH_SHARE = 0.1


class SuspendClock(SystemClock):
    """The machine's clock that also counts the time of a suspension."""

    def now(self) -> float:
        """Returns seconds since the machine started."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class PlatformEntry:
    """One entry."""

    def __init__(
        self,
        settings: EntrySettings,
        metrics_port: int,
        session: aiohttp.ClientSession,
    ) -> None:
        self.metrics_port = metrics_port
        self.settings = settings
        # Other entries go on calling the address that this process listens at.
        self.address = Address(settings.host, settings.first_port)
        self.clock = SuspendClock()
        self.log = StdoutLog(settings.name)
        self.metrics = HistogramMetrics()
        self.platform = PlatformStore(
            str(settings.store), session, self.clock, WATCH_PAUSES_S
        )
        self.store = SettledStore(
            self.platform, settings.name, self.clock, self.metrics
        )
        self.shared = self.followed(SHARED_PREFIX)
        self.cluster = self.followed(CLUSTER_PREFIX)
        self.operator = self.followed(OPERATOR_PREFIX)
        self.registrations = self.followed(REGISTRATION_PREFIX)
        self.configuration = ConfigurationView(
            self.operator, self.clock, self.metrics, self.log
        )
        reader = ConfigurationReader(self.configuration, self.log)
        self.operator.listeners.append(reader.on_change)
        self.waves = StoredWaves(self.store, self.log)
        self.operator.listeners.append(self.waves.on_change)
        self.roster = RegisteredWorkers(self.registrations, self.log)
        self.index = JobIndex(self.shared, self.store, self.clock, self.log)
        self.intake = JobIntake(
            self.store, self.index, self.clock, self.metrics, self.log
        )
        self.desk = JobDesk(
            self.configuration,
            self.index,
            self.intake,
            self.clock,
            self.metrics,
            self.log,
        )
        self.gateway = HttpWorkerGateway(session)
        self.process = secrets.token_hex(PROCESS_ID_BYTES)
        self.link = HttpEntryLink(
            session, self.on_status, self.on_release, self.on_offer
        )
        self.policy: PolicyService = (
            NoPolicyService()
            if settings.policy is None
            else HttpPolicyService(settings.policy, session)
        )
        self.machines = (
            None
            if settings.machines is None
            else HttpMachineControl(settings.machines, session)
        )
        self.duties = Duties(
            settings.name,
            str(self.address),
            settings.availability_zone,
            settings.cores,
            self.store,
            self.cluster,
            self.clock,
            self.metrics,
            self.log,
            self.wanted_duties,
            self.link.offer,
        )
        self.port = JobsPort(self.desk, self.clock)
        self.stopping = False

    def followed(self, prefix: str) -> PrefixCache:
        """Returns a copy of the keys below a prefix."""
        return PrefixCache(self.store, prefix, self.clock, STORE_RETRY_MAX_S)

    def on_status(self, status: PoolStatus) -> PlannerAnswer | None:
        """Passes the status of a pool to the planner, if that works here."""
        planner = self.duties.held_duty(MACHINES_DUTY)
        if isinstance(planner, MachinePlanner):
            return planner.on_status(status)
        return None

    def on_release(self, order: ReleaseOrder) -> ReleaseAnswer:
        """Gives up a pool that another entry holds."""
        self.duties.release(POOL_DUTY + order.pool, order.fence)
        return ReleaseAnswer(self.process)

    async def on_offer(self, offer: DutyOffer) -> bool:
        """Takes a duty over that another entry offers."""
        return await self.duties.accept_offer(offer)

    async def ask_release(self, address: str, pool: str, fence: int) -> str:
        """Asks an earlier holder to give a pool up; returns its process id."""
        answer = await self.link.release(address, ReleaseOrder(pool, fence))
        return answer.process

    async def report_status(self, status: PoolStatus) -> PlannerAnswer | None:
        """Tells the planner of machines the status of a pool held here."""
        answer = self.on_status(status)
        if answer is not None:
            return answer
        address = self.duties.holder_address(MACHINES_DUTY)
        if not address or address == str(self.address):
            return None
        try:
            return await self.link.report(address, status)
        except PeerUnavailableError as error:
            self.metrics.count("link.reports_failed")
            self.log.info("planner_not_reached", address=address, reason=error)
            return None

    def current_configuration(self) -> FleetConfiguration:
        """Returns the configuration in force, an empty one before the first."""
        return self.configuration.current or FleetConfiguration(-1, {}, {})

    def wanted_duties(self) -> Mapping[str, DutyFactory]:
        """Returns the duties that the configuration and the open jobs ask for.

        Jobs of a queue that is no more are accepted and have to be run.
        """
        configuration = self.current_configuration()
        open_pools = self.index.open_pools() & configuration.pools.keys()
        pools = sorted(open_pools.union(configuration.worker_pools()))
        duties: dict[str, DutyFactory] = {
            POOL_DUTY + pool: partial(self.pool_duty, pool) for pool in pools
        }
        if pools and self.machines is not None:
            duties[MACHINES_DUTY] = partial(self.machines_duty, self.machines)
        return duties

    def machines_duty(self, control: MachineControl, tenure: Tenure) -> MachinePlanner:
        """Returns the work of the planner of machines."""
        settings = self.settings
        parts = PlannerParts(
            entry=settings.name,
            store=self.store,
            control=control,
            waves=self.waves,
            lease=self.duties.lease,
            configuration=self.current_configuration,
            times=MachineTimes(
                settings.move_s, settings.upkeep_s, settings.order_spacing_s
            ),
            clock=self.clock,
            metrics=self.metrics,
            log=self.log,
        )
        return MachinePlanner(tenure, parts)

    def pool_duty(self, pool: str, tenure: Tenure) -> PoolScheduler:
        """Returns the work of the holder of a pool."""
        parts = PoolParts(
            entry=self.settings.name,
            address=str(self.address),
            process=self.process,
            store=self.store,
            jobs=self.index,
            roster=self.roster,
            gateway=self.gateway,
            policy=self.policy,
            configuration=self.current_configuration,
            clock=self.clock,
            metrics=self.metrics,
            log=self.log,
            report=self.report_status,
            release=self.ask_release,
            stop_s=self.settings.run_stop_s,
        )
        return PoolScheduler(pool, tenure, parts)

    def is_ready(self) -> bool:
        """Returns whether callers are well served here."""
        contact_age_s = self.clock.now() - self.platform.contact_s
        return (
            not self.stopping
            and self.configuration.current is not None
            and self.shared.synced
            and contact_age_s < READY_CONTACT_S
        )

    def background(self) -> tuple[Coroutine[None, None, None], ...]:
        """Returns the work that runs for as long as the entry does."""
        return (
            self.operator.run(),
            self.shared.run(),
            self.cluster.run(),
            self.follow_registrations(),
            self.duties.run(),
        )

    async def follow_registrations(self) -> None:
        """Follows the workers' registrations while a pool is held here."""
        while True:
            await self.duties.holding.wait()
            following = asyncio.create_task(self.registrations.run())
            try:
                await self.duties.idle.wait()
            finally:
                following.cancel()

    @asynccontextmanager
    async def running(self) -> AsyncIterator[None]:
        """Serves within the block and stops gracefully at its end."""
        async with AsyncExitStack() as stack:
            tasks = [asyncio.create_task(work) for work in self.background()]
            for task in tasks:
                task.add_done_callback(self.on_work_ended)
            # The last lines tell what became of the requests that were open.
            stack.callback(self.log.flush)
            stack.callback(lambda: [task.cancel() for task in tasks])
            metrics_address = Address(self.settings.host, self.metrics_port)
            finish_s = self.settings.stop_timeout_s * FINISH_SHARE
            await stack.enter_async_context(
                serve(self.ports(metrics_address), finish_s)
            )
            self.log.info(
                "entry_started",
                callers=self.settings.callers,
                entries=self.address,
                metrics=metrics_address,
                store=self.settings.store,
                memory_mb=self.settings.memory_mb,
                cores=self.settings.cores,
            )
            yield
            await self.drain()

    def ports(self, metrics: Address) -> tuple[ListeningPort, ...]:
        """Returns what listens where."""
        clock, log, settings = self.clock, self.log, self.settings
        readiness = readiness_server(self.is_ready, clock, log)
        return (
            ListeningPort(self.link.server(clock, log), *self.address),
            ListeningPort(text_server(self.metrics.text, clock, log), *metrics),
            ListeningPort(readiness, *settings.readiness),
            ListeningPort(self.port.server, *settings.callers),
        )

    def apply(self, settings: EntrySettings) -> None:
        """Takes settings over that have changed; ports stay as they are."""
        before, self.settings = self.settings, settings
        changed = [
            name
            for name, old, new in zip(before._fields, before, settings, strict=True)
            if old != new
        ]
        self.platform.base_url = f"http://{settings.store}"
        if isinstance(self.machines, HttpMachineControl) and settings.machines:
            self.machines.base_url = f"http://{settings.machines}"
        if isinstance(self.policy, HttpPolicyService) and settings.policy:
            self.policy.base_url = f"http://{settings.policy}"
        self.log.info(
            "settings_reloaded",
            changed=",".join(changed) or "nothing",
            after_restart=",".join(n for n in changed if n in FIXED_SETTINGS) or "-",
        )

    def on_work_ended(self, task: asyncio.Task[None]) -> None:
        """Logs the error of work that should have gone on."""
        if not task.cancelled():
            error = task.exception()
            trace = "".join(traceback.format_exception(error))
            self.log.error("work_failed", reason=repr(error), trace=trace)

    def is_quiet(self) -> bool:
        """Returns whether no caller has asked for a while."""
        quiet_s = self.clock.now() - self.port.last_answer_s
        return not self.port.server.requests.total() and quiet_s > QUIET_S

    async def drain(self) -> None:
        """Hands the duties over and answers what callers have sent."""
        self.stopping = True
        self.log.info("entry_stopping", open_requests=self.port.server.requests.total())
        self.port.server.closing = True
        started_s = self.clock.now()
        stop_s = self.settings.stop_timeout_s
        try:
            async with self.clock.timeout(stop_s * HAND_OVER_SHARE):
                await self.duties.hand_over()
        except TimeoutError:
            self.log.warning("hand_over_given_up", seconds=stop_s * HAND_OVER_SHARE)
        left_s = started_s + READINESS_NOTICE_S - self.clock.now()
        await self.clock.sleep(left_s)
        while (
            not self.is_quiet() and self.clock.now() < started_s + stop_s * STOP_SHARE
        ):
            await self.clock.sleep(DRAIN_POLL_S)
        self.log.info("entry_stopped", open_requests=self.port.server.requests.total())
