"""Fixtures of the scheduler tests."""

import sys
from pathlib import Path

import pytest

sys.path.insert(0, str(Path(__file__).parent))

from pool_site import PoolSite


@pytest.fixture
async def site():
    found = PoolSite()
    await found.pass_time(0.1)
    yield found
    await found.close()
    assert found.park.violations == []
