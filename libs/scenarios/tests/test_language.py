import pytest
from burdockthread_scenarios.language import (
    Accept,
    Expect,
    Fault,
    Propose,
    ScenarioSyntaxError,
    Send,
    WorldSize,
    parse_scenario,
)


def statement(text):
    (line,) = parse_scenario(text, "x")
    return line.statement


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("send 5 keyed urgent requests", Send(5, True, "urgent", "")),
        (
            "send 1 unkeyed standard request via entry-2",
            Send(1, False, "standard", "entry-2"),
        ),
        ("world entries 3 vms 4", WorldSize(3, 4)),
        ("world entries 3 vms 4 with vms = 2", WorldSize(3, 4, (("vms", 2.0),))),
        ("fault vms late 2", Fault("vms", "late", 2)),
        ("fault store slow 2.5", Fault("store", "slow", 2.5)),
        ("fault vm-1 drop", Fault("vm-1", "drop", 0)),
        ("propose c1 base 1 vms = 5", Propose("c1", 1, (("vms", 5.0),))),
        ("propose c1", Propose("c1", None, ())),
        ("accept c1 expecting conflict", Accept("c1", "conflict")),
        ("expect doubled = 0", Expect("doubled", "=", 0, 0)),
        ("expect answered >= 5 within 3 s", Expect("answered", ">=", 5, 3)),
    ],
)
def test_statements(text, expected):
    assert statement(text) == expected


def test_comments_and_blank_lines_are_skipped():
    lines = parse_scenario("# a\n\nheal\n", "x")
    assert [line.number for line in lines] == [3]


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("heal\nsend five", "f.scenario:2: expected int"),
        ("send 5 keyed urgent", "'request'"),
        ("frobnicate", "'advance'"),
        ("advance 5", "'s'"),
    ],
)
def test_syntax_errors_name_file_line_and_expectation(text, message):
    with pytest.raises(ScenarioSyntaxError) as caught:
        parse_scenario(text, "f.scenario")
    assert message in str(caught.value)
