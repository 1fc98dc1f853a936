from burdockthread_fleet.quarantine import (
    FIRST_QUARANTINE_S,
    MAX_ATTEMPTS,
    WorkerQuarantine,
)


def fail_many(quarantine, vm, jobs, now=0.0):
    return [quarantine.fail(vm, job, now) for job in jobs]


def test_a_worker_is_quarantined_after_three_failed_jobs():
    quarantine = WorkerQuarantine()
    assert fail_many(quarantine, "vm", "abc") == [False, False, True]
    assert quarantine.is_quarantined("vm", FIRST_QUARANTINE_S - 1)
    assert quarantine.is_on_probation("vm", FIRST_QUARANTINE_S)


def test_one_repeatedly_failing_job_quarantines_no_worker():
    quarantine = WorkerQuarantine()
    assert not any(fail_many(quarantine, "vm", "aaaaaa"))
    assert not any(quarantine.fail(f"vm-{n}", "a", 0.0) for n in range(9))


def test_a_success_clears_a_worker():
    quarantine = WorkerQuarantine()
    fail_many(quarantine, "vm", "ab")
    assert not quarantine.succeed("vm", "c")
    assert not any(fail_many(quarantine, "vm", "de"))


def test_a_failure_on_probation_doubles_the_quarantine():
    quarantine = WorkerQuarantine()
    fail_many(quarantine, "vm", "abc")
    later_s = FIRST_QUARANTINE_S + 1
    assert quarantine.fail("vm", "d", later_s)
    assert quarantine.is_quarantined("vm", later_s + 2 * FIRST_QUARANTINE_S - 1)
    assert quarantine.succeed("vm", "e")
    assert quarantine.reasons(later_s) == {}


def test_at_most_half_of_a_pool_is_quarantined():
    quarantine = WorkerQuarantine()
    vms = [f"vm-{n}" for n in range(4)]
    for number, vm in enumerate(vms):
        fail_many(quarantine, vm, [f"{vm}-{n}" for n in range(3)], now=number)
    assert quarantine.quarantined(vms, 10.0) == {"vm-2", "vm-3"}


def test_failures_on_a_quarantined_worker_do_not_count_against_jobs():
    quarantine = WorkerQuarantine()
    fail_many(quarantine, "sick", "abc")
    quarantine.fail("vm-1", "a", 0.0)
    assert not quarantine.fails_everywhere("a", "vm-2", 3, vms=6)
    quarantine.fail("vm-2", "a", 0.0)
    assert quarantine.fails_everywhere("a", "vm-3", 4, vms=6)


def test_a_job_fails_everywhere_in_a_small_pool_or_after_many_attempts():
    quarantine = WorkerQuarantine()
    quarantine.fail("vm-1", "a", 0.0)
    assert quarantine.fails_everywhere("a", "vm-2", 2, vms=2)
    assert quarantine.fails_everywhere("b", "vm-1", MAX_ATTEMPTS, vms=6)


def test_failures_of_jobs_that_have_ended_still_count():
    quarantine = WorkerQuarantine()
    for job in "ab":
        assert not quarantine.fail("vm", job, 0.0)
        quarantine.forget_job(job)
    assert quarantine.fail("vm", "c", 0.0)


def test_failures_of_a_job_at_fault_do_not_count_against_workers():
    quarantine = WorkerQuarantine()
    for vm in ("vm-1", "vm-2", "vm-3"):
        quarantine.fail(vm, "a", 0.0)
    quarantine.discard_failures_of_job("a")
    assert not any(quarantine.failures.values())
    assert not any(fail_many(quarantine, "vm-1", "bc"))
