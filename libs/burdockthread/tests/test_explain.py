"""Findings about a job from the logs of all entries."""

from burdockthread.explain import explain, parse_line, read_lines, render

JOB = "a" * 16


def line(time_s, node, event, **fields):
    pairs = " ".join(f'{key}="{value}"' for key, value in fields.items())
    return f"level=info time={time_s:.3f} node={node} event={event} {pairs}"


def of(*texts):
    return explain(JOB, read_lines(texts))


ACCEPTED = line(1, "one", "job_submitted", job=JOB, pool="p", outcome="accepted")
TAKEN = line(1.1, "two", "job_taken", job=JOB, queue="q")
STARTED = line(1.2, "two", "run_started", task=f"{JOB}.0.0.0", run=5, worker="w")
ENDED = line(2, "two", "run_ended", task=f"{JOB}.0.0.0", run=5, worker="w", how="done")
COMPLETED = line(2.1, "two", "job_ended", job=JOB, end="completed")
WHOLE = (ACCEPTED, TAKEN, STARTED, ENDED, COMPLETED)


def test_lines_that_are_no_events_are_ignored():
    assert parse_line("Traceback (most recent call last):") is None
    assert parse_line("time=yesterday node=a event=b") is None
    found = parse_line(
        '  12.5 one level=info time=3.5 node=one event=e reason="a \\"b"'
    )
    assert found.time_s == 3.5
    assert found.fields["reason"] == 'a \\"b'


def test_undisturbed_job_has_no_findings():
    found = of(*reversed(WHOLE))
    assert found.lines[0].event == "job_submitted"
    assert found.findings == []
    assert found.missing == []
    assert render(found).endswith("findings:\n  - nothing\nmissing:\n  - nothing")


def test_job_unknown_to_all_logs_is_reported_missing():
    assert explain(JOB, []).missing == [f"no line names {JOB}"]


def test_refusal_is_attributed_to_the_store_outage():
    refused = line(1, "one", "job_submitted", job=JOB, pool="p", outcome="refused")
    cause = line(-5, "one", "store_lost", reason="answered 503")
    other = line(0.6, "two", "store_lost", reason="elsewhere")
    found = of(cause, other, refused)
    assert found.findings == [
        "one answered its submission as refused",
        "the store did not serve one: answered 503",
    ]


def test_takeover_is_reported_with_the_silence_before_it():
    first = line(0, "two", "duty_taken", duty="pool:p", fence=1)
    second = line(4.1, "three", "duty_taken", duty="pool:p", fence=9)
    found = of(
        first, ACCEPTED, TAKEN, STARTED, second, line(6, "three", "job_ended", job=JOB)
    )
    assert found.findings == [
        "three took the pool over from two, whose last line was 2.9 s old"
    ]
    assert found.missing == [f"no end of run 5 of {JOB}.0.0.0"]


def test_failing_and_slow_workers_are_named():
    failed = line(
        2, "two", "run_ended", task=f"{JOB}.0.0.0", run=5, worker="w", how="failed"
    )
    slow = line(2.5, "two", "run_overtaken", task=f"{JOB}.0.0.1", run=5, worker="v")
    rested = line(2.6, "two", "worker_rested", worker="w", reason="failed")
    found = of(
        ACCEPTED,
        TAKEN,
        STARTED,
        failed,
        slow,
        rested,
        line(3, "two", "job_ended", job=JOB),
    )
    assert found.findings == [
        "1 of its runs failed on worker w",
        "worker v was too slow for its runs",
    ]
    assert "worker_rested" in [x.event for x in found.lines]


def test_accepted_job_without_a_holder_is_reported():
    assert "it was accepted, and no holder took it" in of(ACCEPTED).missing


def test_ended_outage_does_not_explain_a_refusal():
    lost = line(0.1, "one", "store_lost", reason="answered 503")
    over = line(0.5, "one", "store_regained", silent_s=0.4)
    refused = line(1, "one", "job_submitted", job=JOB, pool="p", outcome="refused")
    found = of(lost, over, refused)
    assert found.findings == ["one answered its submission as refused"]


def test_lines_with_equal_times_are_all_kept():
    again = STARTED.replace("0.0.0", "0.0.1")
    found = of(ACCEPTED, TAKEN, STARTED, again, ENDED, COMPLETED)
    assert len(found.lines) == 6
