"""Measures job placement against first come, first fit by declared size."""

import asyncio
import time
from collections import Counter
from collections.abc import Callable, Iterator

from burdockthread_fleet.job_directory import JobDirectory
from burdockthread_fleet.job_runner import ROUND_INTERVAL_S
from burdockthread_model.job import Job, JobState
from burdockthread_model.request import RequestClass

from burdockthread.job_trial import KLOOFSIG, TRINACRIA, JobTrial, SiteSize
from burdockthread.measures import Measure, at_least, at_most

SITES = (TRINACRIA, KLOOFSIG)
URGENT_START_TARGET_S = 7.1
KEPT_TARGET = 0.99
FAILING_WORKER_JOBS_TARGET = 4
ROUND_TARGET_S = 0.029
WRITES_TARGET_PER_S = 3.0
WORKERS_AND_TEAMS = ((61, 0), (305, 0), (610, 0), (610, 47))
TEAM_QUOTA_FACTOR = 2.0
MEAN_LOAD = 0.3
BURST_FACTOR = 5.0
IDLE_FACTOR = 0.05
BURST_S = 10.0
DEMAND_S = 120.0
MEAN_RUN_TIME_S = 10.0
MEAN_CORES_SHARE = 0.15
CANCELLED_JOBS = 5_000
FLOOD_S = 40.0
FLOOD_END_S = 60.0
STEADY_LOAD = 0.4
FULL_FACTOR = 2.0
FAILING_S = 50.0
URGENT, STANDARD, DEFERRED = RequestClass
CLASS_WEIGHTS = (1, 5, 4)


Share = Callable[[JobTrial], float]
DEMAND_SHARES: dict[str, Share] = {
    "jobs.cores_used": lambda t: t.cores_s / t.cores() / DEMAND_S,
    "jobs.memory_used": lambda t: t.memory_gb_s / t.memory_gb() / DEMAND_S,
    "jobs.memory_exceeded": lambda t: t.exceeded_s / len(t.view.records) / DEMAND_S,
    "jobs.done": lambda t: t.done().total() / len(t.submitted),
}


async def measures(seed: int) -> list[Measure]:
    """Measures the placement of jobs.

    Args:
        seed: Seed of the generated demand.

    Returns:
        The measures of both sites and of the target size.
    """
    found: list[Measure] = []
    for site in SITES:
        found += await measure_demand(site, seed)
        found += await measure_urgent(site, seed)
        found += await measure_flood(site, seed)
        found.append(await measure_failing_worker(site, seed))
    found += await measure_rounds(seed)
    found += await measure_cancellations(seed)
    return found


def arrivals(
    trial: JobTrial,
    pool: str,
    load: float,
    request_class: RequestClass | None = None,
) -> list[Job]:
    """Returns the jobs that arrive at a pool between two rounds.

    Args:
        trial: Trial that generates the jobs.
        pool: Name of the pool.
        load: Cores demanded as a share of the cores of the pool.
        request_class: Class of the jobs, or None for a mixture.
    """
    per_second = load * trial.site.workers / (MEAN_CORES_SHARE * MEAN_RUN_TIME_S)
    expected = per_second * ROUND_INTERVAL_S
    count = int(expected) + (trial.random.random() < expected % 1)
    jobs = []
    for _ in range(count):
        chosen = request_class
        if chosen is None:
            chosen = trial.random.choices(tuple(RequestClass), CLASS_WEIGHTS)[0]
        run_time_s = trial.random.uniform(0.5, 1.5) * MEAN_RUN_TIME_S
        jobs.append(trial.new_job(pool, chosen, run_time_s))
    return jobs


def bursting(site: SiteSize, elapsed_s: float) -> str:
    """Returns the pool whose demand is at its peak."""
    return site.pools[int(elapsed_s / BURST_S) % len(site.pools)]


async def run_demand(site: SiteSize, seed: int, *, first_come: bool) -> JobTrial:
    """Runs the required demand: each queue in turn gets five times its mean."""
    trial = JobTrial(site, seed, first_come=first_come)
    for _ in rounds(DEMAND_S):
        elapsed_s = trial.clock.now() - 1_000_000.0
        turn = bursting(site, elapsed_s)
        jobs: list[Job] = []
        for pool in site.pools:
            factor = BURST_FACTOR if pool == turn else IDLE_FACTOR
            jobs += arrivals(trial, pool, MEAN_LOAD * factor)
        await trial.submit(jobs)
        await trial.round()
    return trial


def rounds(seconds: float) -> Iterator[int]:
    """Yields the number of each placement round within some seconds."""
    yield from range(int(seconds / ROUND_INTERVAL_S))


async def measure_demand(site: SiteSize, seed: int) -> list[Measure]:
    """Measures use, start delays and store traffic under the required demand."""
    ours = await run_demand(site, seed, first_come=False)
    plain = await run_demand(site, seed, first_come=True)
    found = []
    for name, share in DEMAND_SHARES.items():
        value, baseline = share(ours), share(plain)
        found.append(Measure(name, site.name, value, "share", baseline))
    for request_class in RequestClass:
        delays = [percentile_delay(trial, request_class) for trial in (ours, plain)]
        name = f"jobs.start_p99.{request_class.value}"
        if request_class is URGENT:
            target = URGENT_START_TARGET_S
            found.append(at_most(name, site.name, delays[0], "s", target, delays[1]))
        else:
            found.append(Measure(name, site.name, delays[0], "s", delays[1]))
    return found + store_measures(ours, plain)


def percentile_delay(trial: JobTrial, request_class: RequestClass) -> float:
    """Returns the 99th percentile of a class's start delays in seconds."""
    jobs = [j for j in trial.submitted.values() if j.request_class is request_class]
    delays = sorted(trial.delays_s(jobs))
    return delays[int(len(delays) * 0.99)]


def store_measures(ours: JobTrial, plain: JobTrial) -> list[Measure]:
    """Returns the store writes and watched bytes per job, and writes per second."""
    values = []
    for trial in (ours, plain):
        jobs = len(trial.submitted)
        written = trial.metrics.counters["jobs.writes"]
        watched = sum(len(event.value or b"") for event in trial.store.history)
        values.append((written / jobs, written / DEMAND_S, watched / jobs))
    site = ours.site.name
    (per_job, per_s, size), (plain_per_job, plain_per_s, plain_size) = values
    return [
        Measure("jobs.writes_per_job", site, per_job, "writes", plain_per_job),
        at_most("jobs.writes", site, per_s, "1/s", 3.0, plain_per_s),
        Measure("jobs.watched_bytes_per_job", site, size, "bytes", plain_size),
    ]


async def fill_pools(trial: JobTrial) -> None:
    """Submits long jobs of `FULL_FACTOR` times the capacity of every pool."""
    jobs = []
    for pool in trial.site.pools:
        for number in range(int(FULL_FACTOR * trial.site.workers / MEAN_CORES_SHARE)):
            request_class = DEFERRED if number % 2 else STANDARD
            jobs.append(trial.new_job(pool, request_class, 120.0))
    await trial.submit(jobs)
    for _ in rounds(30.0):
        await trial.round()


async def urgent_delays(site: SiteSize, seed: int, *, first_come: bool) -> list[float]:
    """Returns the start delays of urgent jobs that arrive when all pools are full."""
    trial = JobTrial(site, seed, first_come=first_come)
    await fill_pools(trial)
    jobs = [trial.new_job(p, URGENT, 20.0) for p in site.pools for _ in range(6)]
    await trial.submit(jobs)
    for _ in rounds(60.0):
        await trial.round()
    return sorted(trial.delays_s(jobs))


async def measure_urgent(site: SiteSize, seed: int) -> list[Measure]:
    """Measures the start delays of urgent jobs when every pool is full."""
    ours = await urgent_delays(site, seed, first_come=False)
    plain = await urgent_delays(site, seed, first_come=True)
    target = URGENT_START_TARGET_S
    middle = len(ours) // 2
    name = "jobs.urgent_start_full"
    return [
        at_most(f"{name}.worst", site.name, ours[-1], "s", target, plain[-1]),
        at_most(f"{name}.p50", site.name, ours[middle], "s", target, plain[middle]),
    ]


async def steady_done(
    site: SiteSize, seed: int, flood: RequestClass | None, *, first_come: bool
) -> Counter[str]:
    """Returns the standard jobs completed in flooded, spare and other pools."""
    trial = JobTrial(site, seed, first_come=first_come)
    flooded = site.pools[0]
    for number in rounds(FLOOD_END_S):
        jobs: list[Job] = []
        if number < FLOOD_S / ROUND_INTERVAL_S:
            for pool in site.pools:
                jobs += arrivals(trial, pool, STEADY_LOAD, STANDARD)
        await trial.submit(jobs)
        if flood is not None and number < FLOOD_S / ROUND_INTERVAL_S:
            others = JobTrial(site, seed + number)
            others.clock = trial.clock
            extra = arrivals(others, flooded, STEADY_LOAD * BURST_FACTOR, flood)
            renamed = [j._replace(job_id=f"flood-{number}-{j.job_id}") for j in extra]
            await trial.submit(renamed)
        await trial.round()
    names = {flooded: "same_pool", site.pools[-1]: "spare_pool"}
    done: Counter[str] = Counter()
    for (service, request_class), count in trial.done().items():
        if request_class is STANDARD:
            done[names.get(service.rpartition("/")[2], "other_pools")] += count
    return done


async def measure_flood(site: SiteSize, seed: int) -> list[Measure]:
    """Measures the throughput of other work while one queue gets five times its load.

    An urgent flood fills the flooded pool and the spare pool. Less urgent work there
    has no guaranteed throughput, so these figures have no target.
    """
    found = []
    quiet = {
        first_come: await steady_done(site, seed, None, first_come=first_come)
        for first_come in (False, True)
    }
    for flood in (DEFERRED, URGENT):
        flooded = {
            first_come: await steady_done(site, seed, flood, first_come=first_come)
            for first_come in (False, True)
        }
        for where in ("same_pool", "spare_pool", "other_pools"):
            value, baseline = (
                flooded[first_come][where] / quiet[first_come][where]
                for first_come in (False, True)
            )
            label = f"jobs.kept.{flood.value}_flood.{where}"
            if flood is DEFERRED or where == "other_pools":
                target = KEPT_TARGET
                found.append(
                    at_least(label, site.name, value, "share", target, baseline)
                )
            else:
                found.append(Measure(label, site.name, value, "share", baseline))
    return found


async def measure_failing_worker(site: SiteSize, seed: int) -> Measure:
    """Measures how many jobs are placed on a worker that fails every job."""
    values = []
    for first_come in (False, True):
        trial = JobTrial(site, seed, first_come=first_come)
        failing = trial.workers.workers[f"{site.pools[0]}-0"]
        failing.faults.fails_everything = True
        for _ in rounds(FAILING_S):
            await trial.submit(arrivals(trial, site.pools[0], STEADY_LOAD))
            await trial.round()
        values.append(float(failing.starts.total()))
    target = FAILING_WORKER_JOBS_TARGET
    name = "jobs.failing_worker"
    return at_most(name, site.name, values[0], "jobs", target, values[1])


async def measure_rounds(seed: int) -> list[Measure]:
    """Measures the duration of a placement round for numbers of workers and teams."""
    found = []
    for workers, teams in WORKERS_AND_TEAMS:
        pools = tuple(f"pool-{n}" for n in range(max(workers * 44 // 610, 1)))
        site = SiteSize("target", pools, workers // len(pools), 64, 128)
        trial = JobTrial(site, seed)
        if teams:
            names = tuple(f"team-{n}" for n in range(teams))
            trial.set_quotas(names, TEAM_QUOTA_FACTOR / teams)
        for pool in pools:
            jobs = [
                trial.new_job(pool, trial.random.choice(tuple(RequestClass)), 600.0)
                for _ in range(8 * site.workers)
            ]
            await trial.submit(jobs)
        for _ in range(8):
            await trial.round()
        started_s = time.perf_counter()
        rooms = trial.rounds.builder.build(
            trial.rounds.claimed_jobs(), trial.clock.wall()
        )
        await trial.rounds.placements(rooms)
        value = time.perf_counter() - started_s
        name = f"jobs.placement_round.{workers}_workers"
        if teams:
            name += f".{teams}_teams"
        found.append(at_most(name, "target", value, "s", ROUND_TARGET_S, None))
    return found


async def measure_cancellations(seed: int) -> list[Measure]:
    """Measures many single cancellations, which are grouped into few writes."""
    trial = JobTrial(TRINACRIA, seed)
    for _ in range(10):
        jobs = [
            trial.new_job(TRINACRIA.pools[0], DEFERRED, 60.0)
            for _ in range(CANCELLED_JOBS // 10)
        ]
        await trial.submit(jobs)
    directory = JobDirectory(trial.segments, trial.clock, trial.metrics, trial.log)
    before = trial.store.revision
    started_s = time.perf_counter()
    wave = directory.cancel_all(list(trial.submitted))
    task = asyncio.ensure_future(wave)
    await trial.clock.advance(1.0)
    cancelled = await task
    elapsed_s = time.perf_counter() - started_s
    assert all(job.state is JobState.CANCELLED for job in cancelled)
    writes = float(trial.store.revision - before)
    return [
        Measure("jobs.cancel_5000.writes", "target", writes, "writes", CANCELLED_JOBS),
        Measure("jobs.cancel_5000.time", "target", elapsed_s, "s"),
    ]
