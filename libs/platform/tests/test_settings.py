"""Parsing of the settings file of a process."""

import pytest
from burdockthread_model.errors import SettingsError
from burdockthread_platform.settings import Address, EntrySettings

LINES = """\
node=front-palermo-1
ip=10.1.0.9
zone=palermo
listenAddresses.front=10.1.0.9:8624
listenAddresses.ready=10.1.0.9:8622
internalPorts=7060,7075
limits.cpuShare=0.537
limits.cores=2
limits.memoryMb=300
heartbeatMs=1500
bounds.graceS=6
bounds.stopMs=900
advice=10.200.1.9:8621
platform.address=10.200.1.7:8621
platform.writesPerS=400
platform.readsPerS=2000
cloudApi.address=10.200.0.107:8621
cloudApi.dutyPerS=64.0
somethingNew=of no concern
"""


def test_known_fields_are_read_and_others_ignored():
    settings = EntrySettings.from_lines(LINES)
    assert settings.name == "front-palermo-1"
    assert settings.callers == Address("10.1.0.9", 8624)
    assert settings.first_port == 7060
    assert settings.cores == pytest.approx(1.074)
    assert settings.policy == Address("10.200.1.9", 8621)
    assert settings.run_stop_s == pytest.approx(0.9)


@pytest.mark.parametrize(
    ("line", "bytes_per_s"),
    [
        ("", float("inf")),
        ("limits.linkMbps=0", float("inf")),
        ("limits.linkMbps=20.0", 2_500_000),
    ],
)
def test_rate_of_the_link_is_read_in_bytes(line, bytes_per_s):
    assert EntrySettings.from_lines(LINES + line).link_bytes_per_s == bytes_per_s


@pytest.mark.parametrize(
    ("line", "changed", "path"),
    [
        ("node=front-palermo-1", "", "node"),
        ("platform.address=10.200.1.7:8621", "", "platform.address"),
        ("listenAddresses.front=10.1.0.9:8624", "listenAddresses.front=x", None),
        ("heartbeatMs=1500", "heartbeatMs=soon", "heartbeatMs"),
        ("bounds.graceS=6", "bounds.graceS=-1", "bounds.graceS"),
        ("internalPorts=7060,7075", "internalPorts=many", "internalPorts"),
        ("zone=palermo", "zone", None),
    ],
)
def test_error_names_the_missing_or_invalid_field(line, changed, path):
    with pytest.raises(SettingsError) as caught:
        EntrySettings.from_lines(LINES.replace(line, changed))
    assert path is None or caught.value.path == path


def test_error_names_the_unreadable_file(tmp_path):
    with pytest.raises(SettingsError, match=r"missing\.conf"):
        EntrySettings.from_path(tmp_path / "missing.conf")
