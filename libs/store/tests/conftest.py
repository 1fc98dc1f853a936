import pytest
from burdockthread_store.faulty_store import FaultyStore


@pytest.fixture
def faulty(store, clock) -> FaultyStore:
    return FaultyStore(store, clock)
