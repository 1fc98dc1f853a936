"""Placement policies, displacement and overcommit relief on single VMs."""

import pytest
from burdockthread_fleet.displacement import ClassUsage, choose_victims
from burdockthread_fleet.placement import FirstFit, ObservedFit, VmAllocation
from burdockthread_fleet.quotas import DEFAULT_CLASS_MINIMA
from burdockthread_fleet.relief import OvercommitRules, ReliefKind
from burdockthread_fleet.usage import Size, UsageEstimates
from burdockthread_model.job import Job, JobState
from burdockthread_model.request import RequestClass
from burdockthread_model.vm import VmListing, VmRecord, VmState, VmStatus

URGENT, STANDARD, DEFERRED = RequestClass


def new_job(job_id, request_class=STANDARD, cores=2.0, memory_gb=2.0, **fields):
    job = Job(
        job_id,
        "org/a",
        "org",
        "desk",
        request_class,
        cores,
        memory_gb,
        accelerators=0,
        run_time_s=1.0,
        idempotent=False,
        state=JobState.RUNNING,
        attempt=1,
    )
    return job._replace(**fields)


def new_allocation(name="vm-0", *jobs, accelerators=0):
    listing = VmListing(
        name, "ip", 1, "z", "r", "k", 8, 16, accelerators, VmStatus.LIVE, "boot"
    )
    allocation = VmAllocation(listing, VmRecord(name, "org/a", VmState.SERVING, 1))
    for job in jobs:
        allocation.add(job, Size(job.cores, job.memory_gb, job.accelerators))
    return allocation


def test_first_fit_uses_declared_sizes():
    full = new_allocation("vm-0", *(new_job(str(n)) for n in range(4)))
    for job_id in list(full.sizes):
        job = full.jobs[job_id]
        full.remove(job)
        full.add(job, Size(0.2, 0.2))
    allocations = [full, new_allocation("vm-1")]
    assert FirstFit().choose(new_job("x"), allocations).vm == "vm-1"
    assert FirstFit().choose(new_job("x"), [full]) is None
    assert ObservedFit(UsageEstimates()).choose(new_job("x"), [full]) is full


def test_observed_fit_takes_the_emptier_vm_and_never_exceeds_memory():
    policy = ObservedFit(UsageEstimates())
    allocations = [new_allocation("vm-0", new_job("a")), new_allocation("vm-1")]
    assert policy.choose(new_job("x"), allocations).vm == "vm-1"
    assert policy.choose(new_job("x"), allocations, {"vm-1"}).vm == "vm-0"
    assert policy.choose(new_job("x", memory_gb=15.5), allocations) is None


def test_accelerators_are_counted_one_by_one():
    policy = ObservedFit(UsageEstimates())
    allocations = [new_allocation("vm-0"), new_allocation("vm-1", accelerators=1)]
    job = new_job("x", accelerators=1)
    assert policy.choose(job, allocations).vm == "vm-1"
    allocations[1].add(job, Size(0.0, 0.0, 1))
    assert policy.choose(new_job("y", accelerators=1), allocations) is None


def usage_of(*allocations):
    usage = ClassUsage(
        Size(8.0 * len(allocations), 16.0 * len(allocations)), DEFAULT_CLASS_MINIMA
    )
    for allocation in allocations:
        for job_id, job in allocation.jobs.items():
            usage.add(job, allocation.sizes[job_id])
    return {"org/a": usage}


def victims(job, *allocations):
    size = Size(job.cores, job.memory_gb)
    found = choose_victims(job, size, allocations, usage_of(*allocations))
    return found and (found[0].vm, [victim.job_id for victim in found[1]])


def test_the_least_urgent_and_fewest_are_displaced():
    standard = new_allocation("vm-0", *(new_job(f"s{n}") for n in range(4)))
    deferred = new_allocation("vm-1", *(new_job(f"d{n}", DEFERRED) for n in range(4)))
    job = new_job("u", URGENT, cores=1.5)
    vm, names = victims(job, standard, deferred)
    assert (vm, len(names)) == ("vm-1", 1)


def test_urgent_jobs_are_never_displaced():
    allocation = new_allocation("vm-0", *(new_job(f"u{n}", URGENT) for n in range(4)))
    assert victims(new_job("u", URGENT), allocation) is None


def test_a_class_keeps_its_minimum():
    jobs = [new_job(f"u{n}", URGENT) for n in range(3)]
    allocation = new_allocation("vm-0", *jobs, new_job("d", DEFERRED, cores=1.0))
    assert victims(new_job("u", URGENT, cores=1.0), allocation) is None


def run_rules(rules, allocation, observed, now):
    return [
        (o.kind, o.job.job_id, round(o.share, 2))
        for o in rules.decide(allocation, observed, now)
    ]


def test_exceeded_memory_is_freed_at_once_down_to_the_low_mark():
    jobs = [new_job("u", URGENT), new_job("s"), new_job("d", DEFERRED)]
    allocation = new_allocation("vm-0", *jobs)
    observed = {"u": Size(1, 8), "s": Size(1, 6), "d": Size(1, 2.5)}
    orders = run_rules(OvercommitRules({}), allocation, observed, 0.0)
    assert [(kind, job) for kind, job, _ in orders] == [
        (ReliefKind.CHECKPOINT, "d"),
    ]
    observed["d"] = Size(1, 2)
    assert run_rules(OvercommitRules({}), allocation, observed, 0.0) == []


@pytest.mark.parametrize("idempotent", [True, False])
def test_an_unconfirmed_checkpoint_ends_in_a_stop_if_idempotent(idempotent):
    allocation = new_allocation("vm-0", new_job("a", idempotent=idempotent))
    rules = OvercommitRules({})
    observed = {"a": Size(1, 20)}
    run_rules(rules, allocation, observed, 0.0)
    ((kind, _, _),) = run_rules(rules, allocation, observed, 10.0)
    assert kind is (ReliefKind.STOP if idempotent else ReliefKind.CHECKPOINT)


def test_processors_are_throttled_when_hot_and_restored_when_cool():
    allocation = new_allocation("vm-0", new_job("u", URGENT), new_job("d", DEFERRED))
    rules = OvercommitRules({})
    hot = {"u": Size(6, 1), "d": Size(4, 1)}
    assert run_rules(rules, allocation, hot, 0.0) == []
    assert run_rules(rules, allocation, hot, 1.0) == []
    assert run_rules(rules, allocation, hot, 2.0) == [(ReliefKind.THROTTLE, "d", 0.3)]
    between = {"u": Size(6, 1), "d": Size(1.2, 1)}
    for now in (3.0, 9.0, 30.0):
        assert run_rules(rules, allocation, between, now) == []
    cool = {"u": Size(2, 1), "d": Size(1.2, 1)}
    assert run_rules(rules, allocation, cool, 40.0) == []
    assert run_rules(rules, allocation, cool, 46.0) == [(ReliefKind.THROTTLE, "d", 1.0)]
    assert rules.shares == {}


def test_a_throttled_job_is_checkpointed_if_that_is_not_enough():
    allocation = new_allocation("vm-0", new_job("u", URGENT), new_job("d", DEFERRED))
    rules = OvercommitRules({"d.1": 0.1})
    hot = {"u": Size(9, 1), "d": Size(0.4, 1)}
    run_rules(rules, allocation, hot, 0.0)
    ((kind, job_id, _),) = run_rules(rules, allocation, hot, 2.0)
    assert (kind, job_id) == (ReliefKind.CHECKPOINT, "d")
