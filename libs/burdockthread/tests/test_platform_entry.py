"""Changes to the settings of a running entry."""

import aiohttp
import pytest
from burdockthread.platform_entry import PlatformEntry
from burdockthread_platform.settings import EntrySettings
from burdockthread_scheduling.duty import Tenure
from burdockthread_standins.emulated_site import SETTINGS
from burdockthread_store.store import Guard

PORTS = {"callers": 7001, "ready": 7002, "internal": 7003, "store": "127.0.0.1:7004"}


@pytest.fixture
def settings(tmp_path):
    path = tmp_path / "settings.conf"
    fields = {"name": "entry-1", "host": "127.0.0.1", "stop_ms": 200}
    path.write_text(SETTINGS.format(**fields, **PORTS, machines="127.0.0.1:7005"))
    return EntrySettings.from_path(path)


# Ports change only at a restart: duties must not be recorded under an address on which
# no process listens.
async def test_changed_ports_do_not_change_the_address_for_entries(settings):
    async with aiohttp.ClientSession() as session:
        entry = PlatformEntry(settings, 0, session, session)
        entry.apply(settings._replace(first_port=settings.first_port + 1))
        tenure = Tenure("pool:pool-a", 1, Guard("cluster/duty/pool:pool-a", 1))
        holder = entry.pool_duty("pool-a", tenure)
        assert holder.core.parts.address == entry.duties.address == "127.0.0.1:7003"
