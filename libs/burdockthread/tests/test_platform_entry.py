"""A running entry: changes to its settings, requests that others pass on."""

import aiohttp
import pytest
from burdockthread.platform_entry import PlatformEntry
from burdockthread_http.http_calls import ClientSessions
from burdockthread_platform.settings import EntrySettings
from burdockthread_scheduling.duty import Tenure
from burdockthread_scheduling.quota_ledger import FORGET_S
from burdockthread_scheduling.records import DutyRecord
from burdockthread_scheduling.request_relay import CallerRequest
from burdockthread_scheduling.specs import (
    FleetConfiguration,
    PoolSpec,
    QueueSpec,
    RequestLimits,
)
from burdockthread_standins.emulated_site import SETTINGS
from burdockthread_store.store import Guard

PORTS = {"callers": 7001, "ready": 7002, "internal": 7003, "store": "127.0.0.1:7004"}


@pytest.fixture
def settings(tmp_path):
    path = tmp_path / "settings.conf"
    fields = {"name": "entry-1", "host": "127.0.0.1", "machines": "127.0.0.1:7005"}
    times = {"stop_ms": 200, "max_lease_ms": 10_000}
    path.write_text(SETTINGS.format(**fields, **PORTS, **times))
    return EntrySettings.from_path(path)


# Ports change only at a restart: duties must not be recorded under an address on which
# no process listens.
async def test_changed_ports_do_not_change_the_address_for_entries(settings):
    async with aiohttp.ClientSession() as session:
        entry = PlatformEntry(settings, 0, ClientSessions(session, session, session))
        entry.parts.apply(settings._replace(first_port=settings.first_port + 1))
        tenure = Tenure("pool:pool-a", 1, Guard("cluster/duty/pool:pool-a", 1))
        holder = entry.wiring.pool_duty("pool-a", tenure)
        registered = entry.duties.registration.address
        assert holder.core.parts.address == registered == "127.0.0.1:7003"


# Guards against an entry that answers for another one by a configuration that is older
# than the one which that entry's callers have seen.
async def test_request_of_another_entry_is_not_decided_by_an_older_configuration(
    settings,
):
    queue = QueueSpec("queue-a", "a.example", "/a/", "pool-a")
    found = FleetConfiguration(3, {"queue-a": queue}, {"pool-a": PoolSpec("pool-a")})
    request = CallerRequest("GET", "a.example", "/a/", b"", 1.0, least_version=3)
    async with aiohttp.ClientSession() as session:
        entry = PlatformEntry(settings, 0, ClientSessions(session, session, session))
        entry.configuration.apply(found, 1)
        assert (await entry.on_request(request)).status == 200
        newer = request._replace(least_version=4)
        assert (await entry.on_request(newer)).status == 503


# Guards against an allocator of quotas that waits for ever for the report of a removed
# pool, whose last holder lives on.
async def test_pool_that_has_been_removed_is_not_expected_to_report(settings):
    queue = QueueSpec("queue-a", "a.example", "/a/", "pool-a")
    found = FleetConfiguration(3, {"queue-a": queue}, {"pool-a": PoolSpec("pool-a")})
    async with aiohttp.ClientSession() as session:
        entry = PlatformEntry(settings, 0, ClientSessions(session, session, session))
        entry.configuration.apply(found, 1)
        entry.duties.directory.owners["pool:removed"] = DutyRecord("entry-2", 1), 7
        assert entry.wiring.held_pools() == {"pool-a", "removed"}
        entry.wiring.reporting_pools.started_s -= FORGET_S + 1
        assert entry.wiring.held_pools() == {"pool-a"}


# Guards against limits of the configuration that are read and not enforced.
async def test_limits_of_callers_follow_the_configuration(settings):
    async with aiohttp.ClientSession() as session:
        entry = PlatformEntry(settings, 0, ClientSessions(session, session, session))
        assert entry.port.server.server.port.limits().body_bytes == 262_144
        limits = RequestLimits(body_bytes=1_000)
        entry.configuration.apply(FleetConfiguration(3, {}, {}, limits), 1)
        assert entry.port.server.server.port.limits().body_bytes == 1_000
        assert entry.guard.budget.limit == 25_000_000
