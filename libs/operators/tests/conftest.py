import json

import pytest
from burdockthread_model.steps import Steps
from burdockthread_operators.changes import TemplateChanges
from burdockthread_store.faulty_store import FaultyStore
from burdockthread_store.settled_store import SettledStore


@pytest.fixture
def faulty(store, clock) -> FaultyStore:
    return FaultyStore(store, clock)


@pytest.fixture
def new_changes(faulty, clock, metrics):
    """Returns a function that builds the changes of an entry."""

    def build(
        name: str, check=lambda document: None, on_accepted=lambda accepted: None
    ) -> TemplateChanges:
        settled = SettledStore(faulty, name, clock, metrics)
        return TemplateChanges(settled, clock, Steps(), check, on_accepted)

    return build


@pytest.fixture
def changes(new_changes) -> TemplateChanges:
    return new_changes("entry-1")


@pytest.fixture
def template_text():
    """Returns a function that builds the JSON text of a small template."""

    def build(vms: int = 3, name: str = "yard") -> bytes:
        pool = {"vms": vms, "min_available": 1}
        document = {
            "name": name,
            "organisations": {"trinacria": {}},
            "pools": {"bookings": pool},
            "services": {},
        }
        return json.dumps(document).encode()

    return build
