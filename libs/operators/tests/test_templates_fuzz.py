"""Any template is proposed whole or refused with a reason."""

import copy
import json
from pathlib import Path

import pytest
from burdockthread_model.errors import TemplateError
from burdockthread_model.rendering import render
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

EXAMPLES = Path(__file__).resolve().parents[3] / "examples"
TEXTS = [
    (EXAMPLES / site / "template.json").read_text()
    for site in ("trinacria", "kloofsig")
]
JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**70), 2**70)
    | st.floats()
    | st.text(max_size=9)
    | st.sampled_from(["$vms", "$none", "$", "/", "a/b"]),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=6,
)
FUZZ = settings(
    max_examples=200, suppress_health_check=[HealthCheck.function_scoped_fixture]
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
        kind = draw(st.sampled_from(["replace", "remove", "add", "rename"]))
        if kind == "remove":
            del target[last]
        elif kind == "add" and isinstance(target, dict):
            target[draw(st.text(max_size=5))] = draw(JSON)
        elif kind == "rename" and isinstance(target, dict):
            target[draw(st.text(max_size=5))] = copy.deepcopy(target[last])
        else:
            target[last] = draw(JSON)
    return document


async def check(changes, data):
    reason = None
    try:
        change = await changes.propose("ann", data, 0)
    except TemplateError as error:
        reason = error
    assert str(reason) if reason else render(change.document, 1)


@FUZZ
@given(st.binary(max_size=60))
async def test_any_bytes_are_a_template_or_refused(changes, data):
    await check(changes, data)


@FUZZ
@given(JSON)
async def test_any_json_is_a_template_or_refused(changes, value):
    await check(changes, json.dumps(value).encode())


@settings(FUZZ, max_examples=500)
@given(mutated(TEXTS))
async def test_a_changed_example_is_proposed_or_refused(changes, document):
    await check(changes, json.dumps(document).encode())


@pytest.mark.parametrize("depth", [100, 100_000])
async def test_deep_nesting_is_refused(changes, depth):
    with pytest.raises(TemplateError):
        await changes.propose("ann", b"[" * depth + b"]" * depth, 0)
