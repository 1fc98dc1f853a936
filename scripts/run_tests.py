"""Runs the tests in groups side by side, passing over those in KNOWN-RED.txt.

Tests under heavy load run after the other groups, so that neither disturbs the other.
"""

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
KNOWN_RED = ROOT / "KNOWN-RED.txt"
LONG_SCENARIOS = (
    "killed or (partition and not lists)",
    "answers-match or frozen-entry or graceful",
)
EMULATED_SITE = "tests/test_emulated_site.py"
GROUPS = (
    ("libs",),
    (EMULATED_SITE, "-k", "random"),
    (EMULATED_SITE, "-k", "not random"),
    *(("tests/test_scenarios.py", "-k", names) for names in LONG_SCENARIOS),
    ("tests/test_scenarios.py", "-k", f"not ({' or '.join(LONG_SCENARIOS)})"),
    ("tests/test_fault_matrix.py",),
)
GROUPS_ALONE = (
    ("tests/test_untrusted_clients.py",),
    ("tests/test_untrusted_clients_of_an_entry.py",),
)
TIMEOUT_S = 900


def known_red_tests() -> list[str]:
    """Returns the ids of the listed tests."""
    lines = KNOWN_RED.read_text().splitlines()
    entries = [line for line in lines if line.strip() and not line.startswith("#")]
    return [entry.split("|")[0].strip() for entry in entries]


def start(group: tuple[str, ...], options: list[str]) -> subprocess.Popen[str]:
    """Starts pytest on one group."""
    return subprocess.Popen(
        [sys.executable, "-m", "pytest", *group, *options],
        cwd=ROOT,
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
        text=True,
    )


def report(group: tuple[str, ...], process: subprocess.Popen[str]) -> int:
    """Waits for a group and prints what it has written; returns its exit code."""
    output, _ = process.communicate(timeout=TIMEOUT_S)
    print(f"tests of {' '.join(group)}:\n{output}", flush=True)
    return process.returncode


def main(arguments: list[str]) -> int:
    """Runs all groups; returns the first exit code that is not zero, or zero."""
    tests = known_red_tests()
    for test in tests:
        print(f"known red, passed over: {test}")
    options = [option for test in tests for option in ("--deselect", test)]
    options += arguments
    running = [start(group, options) for group in GROUPS]
    pairs = zip(GROUPS, running, strict=True)
    codes = [report(group, process) for group, process in pairs]
    codes += [report(group, start(group, options)) for group in GROUPS_ALONE]
    return next((code for code in codes if code), 0)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
