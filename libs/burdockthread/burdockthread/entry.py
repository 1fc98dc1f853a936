"""Builds an entry from its parts and runs it."""

import asyncio
from collections.abc import AsyncIterator, Coroutine
from contextlib import AsyncExitStack, asynccontextmanager

from burdockthread_fleet.failure_poller import FailurePoller
from burdockthread_fleet.feasibility import check_feasible
from burdockthread_fleet.job_directory import (
    JobDirectory,
)
from burdockthread_fleet.job_rounds import JobDependencies
from burdockthread_fleet.job_runner import JobRunner
from burdockthread_fleet.job_segments import JobSegments
from burdockthread_fleet.leadership import Leadership
from burdockthread_fleet.planner import Planner
from burdockthread_http.connection_guard import ConnectionGuard
from burdockthread_http.received_bytes import ReceivedBytes
from burdockthread_model.events import EventLog
from burdockthread_model.intended import TemplateDocument
from burdockthread_model.metrics import MemoryMetrics, StatsdMetrics
from burdockthread_model.rendering import render
from burdockthread_model.settings import EntrySettings, Limits
from burdockthread_model.steps import Steps
from burdockthread_operators.authentication import Authenticator
from burdockthread_operators.changes import TemplateChanges
from burdockthread_operators.operators_api import OperatorsApi
from burdockthread_operators.views import Views
from burdockthread_peers.leaving_relay import LeavingRelay, LeavingVm
from burdockthread_peers.lent_permits import LentPermits
from burdockthread_peers.membership import Membership
from burdockthread_peers.mesh import PeerMesh
from burdockthread_peers.owned_keys import OwnedKeys
from burdockthread_peers.relay import ConfigurationRelay
from burdockthread_peers.share_ownership import ShareOwnership
from burdockthread_peers.static_permits import StaticPermits
from burdockthread_peers.stream_mesh import StreamMesh
from burdockthread_routing.callers_api import CallersApi
from burdockthread_routing.callers_port import callers_port
from burdockthread_routing.endpoint_choice import EndpointChooser
from burdockthread_routing.failure_reports import FailureReporter
from burdockthread_routing.fleet_view import VM_PREFIX, FleetView
from burdockthread_routing.http_port import http_port
from burdockthread_routing.job_ledger import JOB_PREFIX, JobLedger
from burdockthread_routing.jobs_api import JobAccess
from burdockthread_routing.router import Router
from burdockthread_store.applied import HEAD_PREFIX, AppliedConfiguration
from burdockthread_store.prefix_cache import PrefixCache
from burdockthread_store.settled_store import SettledStore

from burdockthread.external_clients import ExternalClients, connections_per_endpoint
from burdockthread.interface_limits import caller_limits, operator_limits
from burdockthread.state_reports import StateReports
from burdockthread.status import FleetStatus

DEFAULT_SLOTS = 8
READINESS_PROPAGATION_S = 1.0
DRAIN_POLL_S = 0.05
CLOSE_TIMEOUT_S = 1.0


class Entry:
    """One entry of the system: router, planner, job runner and operators' API.

    Attributes:
        ports: Ports that the entry listens on, by name, once started.
    """

    def __init__(
        self,
        settings: EntrySettings,
        clients: ExternalClients,
        mesh: PeerMesh | None = None,
        steps: Steps | None = None,
    ) -> None:
        self.settings = settings
        self.steps = steps or Steps()
        self.clients = clients
        self.clock = clients.clock
        self.limits = Limits.from_settings(settings)
        self.name = settings["name"]
        self.log = EventLog(self.name)
        self.metrics = metrics_from_settings(settings)
        self.guard = ConnectionGuard(
            ReceivedBytes.of_memory(self.limits.memory_mb), self.metrics, self.log
        )
        self.store = SettledStore.with_budget(
            clients.store, self.name, self.limits, self.clock, self.metrics
        )
        self.mesh = mesh or StreamMesh(settings, self.clock, self.log, self.guard)
        self.build_configuration()
        self.build_routing()
        self.build_fleet()
        self.build_jobs()
        self.build_operators()
        self.ports: dict[str, int] = {}

    def build_configuration(self) -> None:
        """Builds the caches of the store and the relay of configuration to peers."""
        store = self.store
        self.config_cache = PrefixCache(store, HEAD_PREFIX, self.clock)
        self.vm_cache = PrefixCache(store, VM_PREFIX, self.clock)
        self.pool_cache = PrefixCache(store, "pool/", self.clock)
        self.applied = AppliedConfiguration(self.log)
        self.config_cache.listeners.append(self.applied.on_item)
        self.relay = ConfigurationRelay(self.mesh, self.applied, self.clock, self.log)

    def build_routing(self) -> None:
        """Builds the parts that route callers' requests to endpoints."""
        self.view = FleetView(
            self.applied, self.vm_cache, self.clients.directory, self.clock, self.log
        )
        self.leaving = LeavingRelay(self.mesh, self.on_peer_leaving, self.clock)
        self.view.leaving_listeners.append(self.leaving.announce)
        entries = [entry["name"] for entry in self.settings["entries"]]
        self.membership = Membership.from_settings(
            self.settings, self.mesh, self.store, self.clock, self.log
        )
        self.permits = LentPermits(
            self.mesh,
            StaticPermits(self.name, entries, self.slots_of),
            self.endpoints_of,
            self.membership.me.incarnation,
            self.clock,
            may_use=ShareOwnership(self.membership).holds,
        )
        chooser = EndpointChooser(
            self.settings["availability_zone"],
            self.permits,
            self.clock,
            self.settings["region"],
            connections=connections_per_endpoint(self.settings),
        )
        self.keys = OwnedKeys(
            self.mesh, self.membership, self.clock, self.limits.idempotency_keys
        )
        self.router = Router(
            self.name,
            self.view,
            chooser,
            self.clients.endpoints,
            self.keys,
            self.clock,
            self.metrics,
            self.log,
            self.steps,
        )
        self.failure_reporter = FailureReporter(self.mesh, chooser.outliers)
        self.ledger = JobLedger(self.store, self.clock, self.steps)
        self.callers_api = CallersApi(
            self.name, self.router, self.ledger, self.clock, self.metrics, self.log
        )

    def slots_of(self, service: str) -> int:
        """Returns the slots of one endpoint; the default for an unknown service."""
        spec = self.view.services.get(service)
        return DEFAULT_SLOTS if spec is None else spec.slots

    def on_peer_leaving(self, signal: LeavingVm) -> None:
        """Marks a VM as leaving on the report of another entry.

        Reports of an earlier boot of the VM are ignored.
        """
        listing = self.view.listings.get(signal.vm)
        if listing is not None and listing.boot_id == signal.boot_id:
            self.view.mark_leaving(signal.vm)

    def endpoints_of(self, service: str) -> tuple[str, ...]:
        """Returns the VMs that serve a service."""
        spec = self.view.services.get(service)
        endpoints = () if spec is None else self.view.endpoints(spec)
        return tuple(endpoint.vm for endpoint in endpoints)

    def build_fleet(self) -> None:
        """Builds the planner and what elects and informs it."""
        self.leadership = Leadership(self.name, self.store, self.clock)
        self.failures = FailurePoller(self.mesh, self.leadership, self.clock)
        self.planner = Planner(
            self.leadership,
            self.store,
            self.view,
            self.vm_cache,
            self.pool_cache,
            self.clients.control,
            self.failures,
            self.clock,
            self.metrics,
            self.log,
            self.steps,
        )

    def build_jobs(self) -> None:
        """Builds the parts that place and run deferred jobs."""
        store = self.store
        self.job_cache = PrefixCache(store, JOB_PREFIX, self.clock)
        self.job_segments = JobSegments(store, self.job_cache, self.log)
        parts = JobDependencies(
            name=self.mesh.name,
            segments=self.job_segments,
            store=store,
            view=self.view,
            workers=self.clients.workers,
            clock=self.clock,
            metrics=self.metrics,
            log=self.log,
            steps=self.steps,
        )
        self.job_runner = JobRunner(self.mesh, parts)
        self.job_directory = JobDirectory(
            self.job_segments, self.clock, self.metrics, self.log
        )
        self.callers_api.jobs.access = JobAccess(
            self.job_segments.jobs.get, self.job_directory.cancel
        )

    def build_operators(self) -> None:
        """Builds the operators' API and its reports."""
        self.status = FleetStatus(
            self.name, self.applied, self.mesh, self.relay, self.view, self.planner
        )
        reports = StateReports(self)
        self.operators_api = OperatorsApi(
            Authenticator(self.settings["operator_tokens"]),
            self.template_changes(),
            Views(self.status.report, reports.templates, reports.vms),
            reports.parts(),
            self.metrics,
            self.log,
            self.job_directory,
            self.clock,
            self.limits.operator_connections,
        )

    def template_changes(self) -> TemplateChanges:
        """Builds the handler of template changes."""
        return TemplateChanges(
            self.store,
            self.clock,
            self.steps,
            self.check_feasible,
            lambda accepted: self.applied.apply(accepted, "acceptance"),
        )

    def check_feasible(self, document: TemplateDocument) -> None:
        """Checks that the fleet can satisfy a template beside all others.

        Raises:
            TemplateError: The fleet cannot; the message names the numbers.
        """
        others = [
            spec
            for (template, _), spec in self.view.organisations.items()
            if template != document["name"]
        ]
        check_feasible(render(document, version=0), others, self.view.listings)

    @asynccontextmanager
    async def running(self) -> AsyncIterator["Entry"]:
        """Serves within the block and stops gracefully at its end."""
        async with AsyncExitStack() as stack:
            stack.push_async_callback(self.clients.close)
            await stack.enter_async_context(self.mesh.running())
            stack.push_async_callback(self.leadership.resign)
            for work in self.background_work():
                stack.push_async_callback(cancel, asyncio.create_task(work))
            await self.listen_for_operators(stack)
            await self.listen_for_callers(stack)
            self.callers_api.ready = True
            self.log.info("entry_started", **self.ports)
            try:
                yield self
            finally:
                await self.drain()

    def background_work(self) -> tuple[Coroutine[None, None, None], ...]:
        """Returns the coroutines that run until the entry stops."""
        return (*self.routing_work(), *self.control_work())

    def routing_work(self) -> tuple[Coroutine[None, None, None], ...]:
        """Returns the coroutines that answer callers from the cached configuration."""
        return (self.router.run(), self.ledger.run())

    def control_work(self) -> tuple[Coroutine[None, None, None], ...]:
        """Returns the coroutines that update the configuration and manage the fleet."""
        return (
            self.config_cache.run(),
            self.vm_cache.run(),
            self.pool_cache.run(),
            self.relay.run(),
            self.membership.run(),
            self.permits.run(),
            self.leaving.run(),
            self.keys.run(),
            self.view.run(self.limits.directory_interval_s),
            self.failures.run(),
            self.planner.run(),
            self.job_cache.run(),
            self.job_runner.run(),
        )

    async def listen_for_operators(self, stack: AsyncExitStack) -> None:
        """Starts the operators' port on the address of the settings."""
        address = self.settings["operators"]
        listening = http_port(
            "operators",
            self.operators_api.application(),
            self.operators_api.busy,
            self.operators_api.refuse,
            self.clock,
            self.log,
            self.guard,
            address["host"],
            address["port"],
            operator_limits(self.limits),
            stop_timeout_s=self.limits.stop_timeout_s,
        )
        self.ports["operators"] = await stack.enter_async_context(listening)

    async def listen_for_callers(self, stack: AsyncExitStack) -> None:
        """Starts the callers' port on the address of the settings."""
        address = self.settings["callers"]
        listening = callers_port(
            self.callers_api,
            self.clock,
            address["host"],
            address["port"],
            caller_limits(self.limits),
            stop_timeout_s=CLOSE_TIMEOUT_S,
            guard=self.guard,
        )
        self.ports["callers"] = await stack.enter_async_context(listening)

    def is_busy(self) -> bool:
        """Returns whether a caller is waiting or a sent request has no verdict yet."""
        return bool(self.router.in_flight or self.callers_api.busy)

    async def drain(self) -> None:
        """Stops accepting callers, then waits for the requests in flight.

        The wait ends after the stop timeout of the settings.
        """
        self.log.info("entry_stopping", in_flight=self.router.in_flight)
        self.callers_api.ready = False
        self.mesh.announce_leaving()
        deadline_s = self.clock.now() + self.limits.stop_timeout_s
        await self.clock.sleep(READINESS_PROPAGATION_S)
        self.callers_api.stop_accepting()
        while self.is_busy() and self.clock.now() < deadline_s:
            await self.clock.sleep(DRAIN_POLL_S)
        await self.membership.leave()
        self.log.info("entry_stopped", in_flight=self.router.in_flight)


def metrics_from_settings(settings: EntrySettings) -> MemoryMetrics:
    """Returns metrics that are sent to statsd if the settings give its address."""
    statsd = settings.get("statsd")
    if statsd is None:
        return MemoryMetrics()
    prefix = statsd.get("prefix", "burdockthread")
    return StatsdMetrics(statsd["host"], statsd["port"], f"{prefix}.{settings['name']}")


async def cancel(task: asyncio.Task[None]) -> None:
    """Cancels a task and waits until it has ended."""
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
