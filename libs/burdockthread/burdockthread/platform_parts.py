"""The parts of an entry that need no other entry: clients, caches, clock, log."""

import secrets
import time

from burdockthread_http.http_calls import ClientSessions, HttpCalls
from burdockthread_model.addresses import Address
from burdockthread_model.clock import SystemClock
from burdockthread_model.histograms import HistogramMetrics
from burdockthread_model.load import LoadMonitor
from burdockthread_model.stdout_log import StdoutLog
from burdockthread_platform.configuration import (
    OPERATOR_PREFIX,
    ConfigurationReader,
)
from burdockthread_platform.kv_store import PlatformStore
from burdockthread_platform.machines_http import HttpMachineControl
from burdockthread_platform.policy_http import HttpPolicyService
from burdockthread_platform.registrations import (
    REGISTRATION_PREFIX,
    RegisteredWorkers,
)
from burdockthread_platform.settings import (
    EntrySettings,
)
from burdockthread_platform.waves import StoredWaves
from burdockthread_platform.worker_http import HttpWorkerGateway
from burdockthread_scheduling.configuration_view import ConfigurationView
from burdockthread_scheduling.job_index import JobIndex
from burdockthread_scheduling.placement_policy import NoPolicyService, PolicyService
from burdockthread_scheduling.records import CLUSTER_PREFIX, SHARED_PREFIX
from burdockthread_scheduling.specs import FleetConfiguration
from burdockthread_scheduling.store_contact import StoreContact
from burdockthread_store.prefix_cache import PrefixCache
from burdockthread_store.settled_store import SettledStore

# A change of these settings takes effect only when the process is restarted.
FIXED_SETTINGS = (
    "name",
    "host",
    "availability_zone",
    "callers",
    "readiness",
    "first_port",
    "cores",
    "memory_mb",
    "descriptors",
)
# Pause of a watch after changes, by prefix, to limit reads of the store. The state of
# an open job is read from the store for each caller, and job counts may be 2 s old.
# A worker that leaves must be noticed within 2 s.
WATCH_PAUSES_S = {SHARED_PREFIX: 0.5, REGISTRATION_PREFIX: 0.25}
STORE_RETRY_MAX_S = 0.3
PROCESS_ID_BYTES = 8


class BootTimeClock(SystemClock):
    """Clock that also advances while the machine is suspended."""

    def now(self) -> float:
        """Returns seconds since the machine booted, suspensions included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)


class EntryParts:
    """Clients of the platform, and what the entry follows there.

    Attributes:
        address: Address for calls of other entries.
        platform: Client of the platform's store, without retries.
        store: The same store with settled outcomes of writes.
        process: Random id of this process.
    """

    def __init__(self, settings: EntrySettings, sessions: ClientSessions) -> None:
        self.settings = settings
        # Fixed until a restart: other entries call the port that is opened at start.
        self.address = Address(settings.host, settings.first_port)
        self.clock = BootTimeClock()
        self.log = StdoutLog(settings.name)
        self.metrics = HistogramMetrics()
        self.load = LoadMonitor(
            self.clock, self.metrics, self.log, settings.link_bytes_per_s
        )
        self.calls = HttpCalls.from_sessions(sessions, self.load)
        self.platform = PlatformStore(
            str(settings.store), self.calls, self.clock, WATCH_PAUSES_S
        )
        self.store = SettledStore(
            self.platform, settings.name, self.clock, self.metrics, self.load
        )
        self.shared_cache = self.prefix_cache(SHARED_PREFIX)
        self.cluster_cache = self.prefix_cache(CLUSTER_PREFIX)
        self.operator_cache = self.prefix_cache(OPERATOR_PREFIX)
        self.registration_cache = self.prefix_cache(REGISTRATION_PREFIX)
        self.configuration = ConfigurationView(
            self.operator_cache, self.clock, self.metrics, self.log
        )
        reader = ConfigurationReader(self.configuration, self.log)
        self.operator_cache.listeners.append(reader.on_change)
        self.waves = StoredWaves(self.store, self.log)
        self.operator_cache.listeners.append(self.waves.on_change)
        self.roster = RegisteredWorkers(self.registration_cache, self.log)
        self.job_index = JobIndex(self.shared_cache, self.store, self.clock, self.log)
        self.contact = StoreContact(
            self.clock, lambda: self.platform.contact_s, self.load.hindered_s
        )
        self.gateway = HttpWorkerGateway(self.calls)
        self.process = secrets.token_hex(PROCESS_ID_BYTES)
        self.policy: PolicyService = (
            NoPolicyService()
            if settings.policy is None
            else HttpPolicyService(settings.policy, self.calls)
        )
        self.machines = (
            None
            if settings.machines is None
            else HttpMachineControl(settings.machines, self.calls)
        )

    def prefix_cache(self, prefix: str) -> PrefixCache:
        """Returns a cache of the keys below a prefix; the caller has to run it."""
        return PrefixCache(self.store, prefix, self.clock, STORE_RETRY_MAX_S)

    def current_configuration(self) -> FleetConfiguration:
        """Returns the current configuration; an empty one until the first is read."""
        return self.configuration.current or FleetConfiguration(-1, {}, {})

    def apply(self, settings: EntrySettings) -> None:
        """Applies new settings; those in `FIXED_SETTINGS` wait for a restart."""
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
