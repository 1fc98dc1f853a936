"""Any settings are accepted or refused with the path of the fault."""

import copy
import json
from pathlib import Path

import pytest
from burdockthread_model.errors import SettingsError
from burdockthread_model.settings import parse_settings
from hypothesis import given, settings
from hypothesis import strategies as st

EXAMPLES = Path(__file__).resolve().parents[3] / "examples"
TEXTS = [
    (EXAMPLES / site / "entry-1.json").read_text() for site in ("trinacria", "kloofsig")
]
JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**70), 2**70)
    | st.floats()
    | st.text(max_size=9),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=6,
)


def paths(value, path=()):
    """Returns the path of every value within a document."""
    found = [path]
    items = value.items() if isinstance(value, dict) else ()
    items = enumerate(value) if isinstance(value, list) else items
    for key, inner in items:
        found += paths(inner, (*path, key))
    return found


@st.composite
def mutated(draw, texts):
    """Draws a worked example with some values replaced, added or taken away."""
    document = json.loads(draw(st.sampled_from(texts)))
    for _ in range(draw(st.integers(1, 3))):
        choices = [path for path in paths(document) if path]
        if not choices:
            break
        *above, last = draw(st.sampled_from(choices))
        target = document
        for key in above:
            target = target[key]
        kind = draw(st.sampled_from(["replace", "remove", "add", "copy"]))
        if kind == "remove":
            del target[last]
        elif kind == "add" and isinstance(target, dict):
            target[draw(st.text(max_size=5))] = draw(JSON)
        elif kind == "copy" and isinstance(target, list):
            target.append(copy.deepcopy(target[last]))
        else:
            target[last] = draw(JSON)
    return document


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
@given(mutated(TEXTS))
def test_a_changed_example_is_accepted_or_refused(document):
    check(json.dumps(document).encode())


@pytest.mark.parametrize("depth", [100, 100_000])
def test_deep_nesting_is_refused(depth):
    with pytest.raises(SettingsError):
        parse_settings(b"[" * depth + b"]" * depth)
