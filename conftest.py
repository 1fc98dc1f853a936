"""Fixtures and options shared by the tests of all libraries."""

import json
from pathlib import Path

import pytest
from burdockthread_model.clock import MemoryClock
from burdockthread_model.events import EventLog
from burdockthread_model.intended import TemplateDocument
from burdockthread_model.metrics import MemoryMetrics
from burdockthread_model.rendering import parse_template
from burdockthread_store.memory_store import MemoryStore
from hypothesis import settings


def pytest_addoption(parser: pytest.Parser) -> None:
    parser.addoption(
        "--keep-logs",
        help="folder for the logs of emulations that violate a requirement",
    )


EXAMPLES = Path(__file__).resolve().parent / "examples"

settings.register_profile("repeatable", derandomize=True, deadline=None, database=None)
settings.load_profile("repeatable")


@pytest.fixture
def clock() -> MemoryClock:
    return MemoryClock()


@pytest.fixture
def store(clock: MemoryClock) -> MemoryStore:
    return MemoryStore(clock)


@pytest.fixture
def log() -> EventLog:
    return EventLog("test")


@pytest.fixture
def metrics() -> MemoryMetrics:
    return MemoryMetrics()


@pytest.fixture(params=["trinacria", "kloofsig"])
def site_folder(request: pytest.FixtureRequest) -> Path:
    return EXAMPLES / request.param


@pytest.fixture
def template(site_folder: Path) -> TemplateDocument:
    return parse_template((site_folder / "template.json").read_bytes())


@pytest.fixture
def entry_settings_text(site_folder: Path) -> dict[str, object]:
    return json.loads((site_folder / "entry-1.json").read_text())
