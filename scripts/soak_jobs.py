"""Runs entries on the emulated platform under faults, one seed after another."""

import argparse
import sys
import time
from pathlib import Path

import uvloop
from burdockthread_standins.emulated_site import SitePlan
from burdockthread_standins.emulation import Emulation, FaultPlan, mixed_nature
from burdockthread_standins.job_load import LoadPlan

PATIENCE_S = 60.0
# Jobs are handed in within the first ten seconds or so, and have the rest to end.
PARTITIONS_UNTIL_S = 25.0
KEPT = Path(__file__).resolve().parent.parent / "target" / "soak"


def main() -> int:
    """Prints a line for each seed; returns 1 if a promise was broken."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=50, help="how many seeds")
    parser.add_argument("--first", type=int, default=None, help="first seed")
    parser.add_argument("--jobs", type=int, default=80, help="jobs of each run")
    parser.add_argument("--rate", type=float, default=8.0, help="jobs a second")
    parser.add_argument(
        "--keep", type=Path, default=KEPT, help="folder for logs of broken seeds"
    )
    parser.add_argument("--series", type=int, default=2, help="faults side by side")
    parser.add_argument(
        "--stops", action="store_true", help="also stop entries in turn, as planned"
    )
    parser.add_argument(
        "--partitions",
        action="store_true",
        help="also cut holders of pools off, with longer tasks",
    )
    options = parser.parse_args()
    first = int(time.time()) if options.first is None else options.first
    broken = 0
    for seed in range(first, first + options.seeds):
        load = LoadPlan(
            options.jobs, options.rate, cancelled=0.1, patience_s=PATIENCE_S
        )
        until_s = PARTITIONS_UNTIL_S if options.partitions else float("inf")
        plan = FaultPlan(options.series, options.stops, options.partitions, until_s)
        site = SitePlan(nature=mixed_nature) if options.partitions else SitePlan()
        emulation = Emulation(site, load, seed, options.keep, plan)
        result = uvloop.run(emulation.run(faults=True))
        broken += bool(result.broken)
        outcome = "; ".join(result.broken) or "whole"
        if options.stops:
            print("\n".join(line for line in result.lines if "cut" in line))
        print(f"seed {seed}: {outcome} ({', '.join(result.faults)})", flush=True)
        if result.kept is not None:
            print(f"seed {seed}: logs in {result.kept}", flush=True)
    print(f"{options.seeds - broken} passed, {broken} failed")
    return int(broken > 0)


if __name__ == "__main__":
    sys.exit(main())
