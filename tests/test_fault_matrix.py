"""Runs every cell of the fault matrix in worker processes."""

import os
from concurrent.futures import ProcessPoolExecutor

import pytest
from burdockthread_scenarios.matrix import CANNOT_OCCUR, all_cells, run_cells

CELLS = {cell.name: cell for cell in all_cells()}
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
    passed = sum(r.reached and not r.broken for r in results.values())
    with capsys.disabled():
        print(f"\nfault matrix: cells={len(results)} passed={passed}")
        for name, reason in CANNOT_OCCUR.items():
            print(f"cannot occur: {name}: {reason}")
    assert len(results) == len(CELLS)
