"""Any input is accepted as settings or refused with a JSON path."""

import json
from pathlib import Path

import pytest
from burdockthread_model.errors import SettingsError
from burdockthread_model.settings import parse_settings
from burdockthread_scenarios.documents import changed_documents, json_values
from hypothesis import given, settings
from hypothesis import strategies as st

EXAMPLES = Path(__file__).resolve().parents[3] / "examples"
TEXTS = [
    (EXAMPLES / site / "entry-1.json").read_text() for site in ("trinacria", "kloofsig")
]
JSON = json_values()


def check(data):
    reason = None
    try:
        parsed = parse_settings(data)
    except SettingsError as error:
        reason = error
    assert reason.path.startswith("$") if reason else parsed["name"]


@settings(max_examples=200)
@given(st.binary(max_size=60))
def test_any_bytes_are_settings_or_refused(data):
    check(data)


@settings(max_examples=200)
@given(JSON)
def test_any_json_is_settings_or_refused(value):
    check(json.dumps(value).encode())


@settings(max_examples=500)
@given(changed_documents(TEXTS, JSON))
def test_a_changed_example_is_accepted_or_refused(document):
    check(json.dumps(document).encode())


@pytest.mark.parametrize("depth", [100, 100_000])
def test_deep_nesting_is_refused(depth):
    with pytest.raises(SettingsError):
        parse_settings(b"[" * depth + b"]" * depth)
