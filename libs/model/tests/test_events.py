import pytest
from burdockthread_model.events import format_event


@pytest.mark.parametrize(
    ("value", "text"),
    [
        ("plain-word_1.2", "plain-word_1.2"),
        ("two words", '"two words"'),
        ('say "x"', '"say \\"x\\""'),
        ("line\nbreak", '"line\\nbreak"'),
        ("", '""'),
        (1.5, "1.5"),
        (None, "None"),
    ],
)
def test_values_are_quoted_where_needed(value, text):
    assert format_event("e", {"v": value}) == f"event=e v={text}"


def test_secret_fields_are_left_out():
    fields = {"token": "x", "authorization": "x", "body": "x", "peer": "entry-1"}
    assert format_event("e", fields) == "event=e peer=entry-1"
