import pytest
from burdockthread_fleet.usage import (
    MEMORY_MARGIN,
    REPORT_MAX_AGE_S,
    STALE_MARGIN,
    Size,
    UsageEstimates,
)
from burdockthread_fleet.worker_client import TaskReport, TaskState
from burdockthread_model.job import Job, JobState
from burdockthread_model.request import RequestClass

JOB = Job(
    "a",
    "org/ledger",
    "org",
    "desk",
    RequestClass.STANDARD,
    cores=2.0,
    memory_gb=4.0,
    accelerators=0,
    run_time_s=1.0,
    idempotent=True,
    state=JobState.RUNNING,
    attempt=1,
)


def report(name, factor, observed_s=0.0):
    return TaskReport(
        f"{name}.1",
        "vm",
        TaskState.RUNNING,
        JOB.cores * factor,
        JOB.memory_gb * factor,
        "",
        observed_s,
    )


@pytest.mark.parametrize("factor", [0.1, 1.0, 10.0])
def test_a_correction_is_learned_for_a_service_and_team(factor):
    estimates = UsageEstimates()
    for number in range(10):
        estimates.learn(JOB, report(number, factor))
    assert estimates.expected(JOB) == pytest.approx((2 * factor, 4 * factor, 0))
    assert estimates.expected(JOB._replace(team="other")) == (2.0, 4.0, 0)


def test_memory_is_expected_high_when_ratios_scatter():
    estimates = UsageEstimates()
    for number in range(40):
        estimates.learn(JOB, report(number, 4.0 if number % 2 else 1.0))
    expected = estimates.expected(JOB)
    assert expected.memory_gb >= 4.0 * 4.0
    assert 2.0 * 2.0 <= expected.cores < 2.0 * 4.0


def test_a_few_small_samples_do_not_shrink_a_job():
    estimates = UsageEstimates()
    estimates.learn(JOB, report(1, 0.1))
    assert estimates.expected(JOB) == (2.0, 4.0, 0)


def test_a_task_is_learned_from_once_and_not_while_throttled():
    estimates = UsageEstimates()
    estimates.shares["2.1"] = 0.5
    for name in ("1", "1", "2"):
        estimates.learn(JOB, report(name, 10.0))
    key = (JOB.service, JOB.team)
    assert estimates.corrections[key].cores.samples == 1


def test_an_old_report_counts_only_with_a_margin():
    estimates = UsageEstimates()
    fresh = estimates.running(JOB, report("a", 0.1), REPORT_MAX_AGE_S)
    assert fresh == pytest.approx((0.2, 0.4 * MEMORY_MARGIN, 0))
    old = estimates.running(JOB, report("a", 0.1), REPORT_MAX_AGE_S + 1)
    assert old == Size(2.0 * STALE_MARGIN, 4.0 * STALE_MARGIN)
    assert estimates.running(JOB, None, 0.0) == (2.0, 4.0, 0)


def test_a_throttled_task_is_counted_at_full_speed():
    estimates = UsageEstimates()
    estimates.shares["a.1"] = 0.25
    assert estimates.running(JOB, report("a", 0.25), 0.0).cores == 2.0


def test_team_estimates_apply_until_a_service_has_samples():
    estimates = UsageEstimates()
    for number in range(5):
        estimates.learn(JOB, report(number, 0.1))
    elsewhere = JOB._replace(service="org/other")
    assert estimates.expected(elsewhere).cores == pytest.approx(0.2)
    for number in range(5, 8):
        estimates.learn(elsewhere, report(number, 1.0))
    assert estimates.expected(elsewhere).cores == pytest.approx(2.0)
    assert estimates.expected(JOB).cores == pytest.approx(0.2)


def test_cached_factors_are_dropped_after_learning():
    estimates = UsageEstimates()
    assert estimates.expected(JOB) == (2.0, 4.0, 0)
    for number in range(3):
        estimates.learn(JOB, report(number, 10.0))
    assert estimates.expected(JOB) == pytest.approx((20.0, 40.0, 0))
    assert estimates.expected(JOB._replace(service="org/new"))[0] > 2.0
