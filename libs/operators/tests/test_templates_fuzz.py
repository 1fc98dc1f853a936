"""Fuzz tests: each proposal is a template that renders or is refused with a reason."""

import json
from pathlib import Path

import pytest
from burdockthread_model.errors import TemplateError
from burdockthread_model.rendering import render
from burdockthread_scenarios.documents import changed_documents, json_values
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

EXAMPLES = Path(__file__).resolve().parents[3] / "examples"
TEXTS = [
    (EXAMPLES / site / "template.json").read_text()
    for site in ("trinacria", "kloofsig")
]
JSON = json_values(["$vms", "$none", "$", "/", "a/b"])
FUZZ = settings(
    max_examples=200, suppress_health_check=[HealthCheck.function_scoped_fixture]
)


async def check_proposal(changes, data):
    reason = None
    try:
        change = await changes.propose("ann", data, 0)
    except TemplateError as error:
        reason = error
    assert str(reason) if reason else render(change.document, 1)


@FUZZ
@given(st.binary(max_size=60))
async def test_any_bytes_are_a_template_or_refused(changes, data):
    await check_proposal(changes, data)


@FUZZ
@given(JSON)
async def test_any_json_is_a_template_or_refused(changes, value):
    await check_proposal(changes, json.dumps(value).encode())


@settings(FUZZ, max_examples=500)
@given(changed_documents(TEXTS, JSON))
async def test_a_changed_example_is_proposed_or_refused(changes, document):
    await check_proposal(changes, json.dumps(document).encode())


@pytest.mark.parametrize("depth", [100, 100_000])
async def test_deep_nesting_is_refused(changes, depth):
    with pytest.raises(TemplateError):
        await changes.propose("ann", b"[" * depth + b"]" * depth, 0)
