"""Signals that arrive while an entry starts."""

import json
import os
import signal
import subprocess
import sys

import pytest

# The signal is sent once the ports listen, before the start has returned.
PROGRAM = """
import os
import sys
from contextlib import asynccontextmanager

from burdockthread import service
from burdockthread.actions import run_entry


class SignalledEntry(service.Entry):
    @asynccontextmanager
    async def running(self):
        async with super().running() as entry:
            os.kill(os.getpid(), int(sys.argv[2]))
            yield entry


service.Entry = SignalledEntry
run_entry(sys.argv[1])
"""


@pytest.fixture
def settings_path(entry_settings_text, tmp_path):
    for port in ("callers", "operators", "peers"):
        entry_settings_text[port]["port"] = 0
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(entry_settings_text))
    return path


# Guards against an entry that a signal ends before its handlers are installed: callers
# that had connected were cut off.
@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGINT])
def test_a_signal_during_the_start_stops_the_entry_gracefully(settings_path, number):
    command = [sys.executable, "-c", PROGRAM, str(settings_path), str(int(number))]
    result = subprocess.run(
        command,
        env={**os.environ, "PYTHONPATH": os.pathsep.join(sys.path)},
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )
    assert result.returncode == 0, result.stderr
    assert "entry_stopped" in result.stderr
