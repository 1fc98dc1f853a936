import json
import os
import signal
import subprocess
import time
import urllib.error
import urllib.request
from pathlib import Path

import pytest

ROOT = Path(__file__).resolve().parents[3]
BINARY = ROOT / "dist" / "burdockthread"
START_TIMEOUT_S = 30.0


@pytest.fixture
def environment(tmp_path):
    kept = {k: v for k, v in os.environ.items() if k != "PYTHONPATH"}
    return {**kept, "SHIV_ROOT": str(tmp_path / "unpacked")}


def run(environment, *arguments):
    command = [str(BINARY), *arguments]
    return subprocess.run(
        command,
        env=environment,
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


def test_prints_its_version(environment):
    result = run(environment, "--version")
    assert result.returncode == 0
    assert result.stdout.strip() == "0.1.0"


def test_entry_serves_without_a_child_process(
    environment, entry_settings_text, tmp_path
):
    for port in ("callers", "operators", "peers"):
        entry_settings_text[port]["port"] = 0
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(entry_settings_text))
    log = tmp_path / "log"
    with log.open("wb") as output:
        process = subprocess.Popen(
            [str(BINARY), "entry", "--settings", str(path)],
            env=environment,
            stderr=output,
        )
    try:
        port = wait_for_port(log)
        assert is_answered(f"http://127.0.0.1:{port}/healthz")
        children = Path(f"/proc/{process.pid}/task/{process.pid}/children")
        assert children.read_text() == ""
    finally:
        process.send_signal(signal.SIGTERM)
        assert process.wait(timeout=30) == 0


def wait_for_port(log):
    deadline_s = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < deadline_s:
        for word in log.read_text().split():
            if word.startswith("callers="):
                return int(word.removeprefix("callers="))
        time.sleep(0.05)
    raise AssertionError(log.read_text())


def is_answered(url):
    try:
        with urllib.request.urlopen(url, timeout=5) as answer:
            return answer.status == 200
    except urllib.error.URLError:
        return False
