"""Runs every scenario file."""

from pathlib import Path

import pytest
from burdockthread_scenarios.language import Promise, read_scenario
from burdockthread_scenarios.runner import run_scenario

FILES = sorted((Path(__file__).parent / "scenarios").glob("*.scenario"))


@pytest.mark.parametrize("path", FILES, ids=lambda path: path.stem)
async def test_scenario(path):
    await run_scenario(path)


@pytest.mark.parametrize("path", FILES, ids=lambda path: path.stem)
def test_scenario_is_headed_by_its_promise(path):
    assert isinstance(read_scenario(path)[0].statement, Promise)
