"""Runs every cell of the fault matrix in worker processes."""

import os
from concurrent.futures import ProcessPoolExecutor

import pytest
from burdockthread_scenarios.matrix import (
    CANNOT_OCCUR,
    all_cells,
    run_cells,
    sampled_pairs,
)

SINGLE = {cell.name: cell for cell in all_cells()}
PAIRS = {cell.name: cell for cell in sampled_pairs()}
CELLS = SINGLE | PAIRS
MAX_WORKERS = 5


@pytest.fixture(scope="session")
def results():
    workers = min(MAX_WORKERS, os.cpu_count() or 1)
    with ProcessPoolExecutor(workers) as pool:
        batches = pool.map(run_cells, [[cell] for cell in CELLS.values()])
        return {result.name: result for batch in batches for result in batch}


@pytest.mark.parametrize("name", CELLS)
def test_cell(results, name):
    assert results[name].reached
    assert results[name].broken == ()


def test_counts_are_printed(results, capsys):
    passed = {name for name, r in results.items() if r.reached and not r.broken}
    with capsys.disabled():
        for kind, cells in (("one fault", SINGLE), ("two faults", PAIRS)):
            count = len(passed & cells.keys())
            print(f"\nfault matrix, {kind}: cells={len(cells)} passed={count}")
        for name, reason in CANNOT_OCCUR.items():
            print(f"cannot occur: {name}: {reason}")
    assert len(results) == len(CELLS)
