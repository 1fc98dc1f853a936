from burdockthread.text_output import render_text

POOL = {"pool": "maypole-yard/bookings", "intended_vms": 6, "states": {"serving": 6}}


def test_status_shows_fields_and_tables(snapshot):
    answer = {
        "entry": "entry-1",
        "planner": True,
        "versions": {"maypole-yard": 3},
        "peer_versions": {"entry-2": {"maypole-yard": 3}},
        "pools": [POOL, POOL | {"pool": "maypole-yard/releases", "states": {}}],
        "planning": {"view_fresh": False, "moves": [], "waves": [{"out": ["a", "b"]}]},
    }
    assert render_text(answer) == snapshot


def test_times_are_shown_as_utc_and_durations_as_seconds():
    answer = {"accepted_s": 1_796_372_677.3, "missing_s": 12.5, "reviewed_s": 0.0}
    assert render_text(answer).splitlines() == [
        "accepted_s: 2026-12-04 08:24:37",
        "missing_s: 12.5",
        "reviewed_s: 0",
    ]


def test_long_cells_of_tables_are_not_truncated():
    reason = "declares 900 cores " * 10
    text = render_text([{"job": "j1", "reason": reason}, {"job": "j2"}])
    lines = text.splitlines()
    assert lines[0].split() == ["job", "reason"]
    assert reason.strip() in lines[1]
    assert lines[2].split() == ["j2", "-"]


def test_markup_and_control_characters_are_not_interpreted():
    text = render_text([{"comment": "[red]two\nlines[/red] :boom: \x1b[31m"}])
    assert text.splitlines()[1] == "[red]two lines[/red] :boom: [31m"


def test_empty_answers_are_rendered():
    assert render_text([]) == "-"
    assert render_text({}) == ""
