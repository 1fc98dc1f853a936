"""The platform's protocol names stay in its folder, which holds no decisions."""

import re
from pathlib import Path

LIBS = Path(__file__).resolve().parents[2]
FOLDER = LIBS / "platform" / "burdockthread_platform"
NAMES = re.compile(
    r"lastSeen|coldRemainingMs|fencingToken|kv-(txn|range|key|watch|lease|keep)"
    r"|run-(start|stop)|mayMiss|longRunning|rejectsOverload|BURDOCKTHREAD_BOOT"
    r"|machine-(move|upkeep)|Expected-Instance|Duty-Holder|estimatedMs|servers/"
)
LONGEST_MODULE = 320
LARGEST_FOLDER = 1_800


def sources(folder):
    """Returns the modules of a folder, without tests."""
    return [p for p in folder.rglob("*.py") if "tests" not in p.parts]


def test_names_of_the_platform_stay_in_its_folder():
    # The stand-ins implement the other side of the protocol.
    allowed = (FOLDER, LIBS / "standins")
    found = [
        path.relative_to(LIBS)
        for path in sources(LIBS)
        if not path.is_relative_to(allowed[0])
        and not path.is_relative_to(allowed[1])
        and NAMES.search(path.read_text())
    ]
    assert found == []


def test_folder_stays_small():
    lengths = {
        path.name: len(path.read_text().splitlines()) for path in sources(FOLDER)
    }
    assert max(lengths.values()) <= LONGEST_MODULE
    assert sum(lengths.values()) <= LARGEST_FOLDER


def test_folder_has_no_retries_or_backoff():
    deciding = re.compile(r"random|retry|backoff|while True:\n\s+try", re.IGNORECASE)
    found = [p.name for p in sources(FOLDER) if deciding.search(p.read_text())]
    assert set(found) <= {"jobs_http.py"}
