import json

import pytest
from burdockthread_model.errors import TemplateError
from burdockthread_model.intended import AcceptedTemplate
from burdockthread_model.rendering import (
    content_hash,
    decode_accepted,
    encode_accepted,
    parse_template,
    render,
)


def test_parameters_are_filled_in(template):
    (spec,) = render(template, version=3)
    assert spec.version == 3
    assert len(spec.pools) == 5
    assert {pool.vms for pool in spec.pools} == {6}


@pytest.mark.parametrize(
    ("keys", "value", "message"),
    [
        (("pools", "extra"), {"vms": "$none", "min_available": 0}, "no parameter"),
        (("pools", "extra"), {"vms": 1, "min_available": 2}, "min_available"),
        (("services", "extra"), {"pool": "none"}, "no pool none"),
        (("weights", "speed"), 1, "unknown key"),
        (("maintenance", "period_days"), 0, "more than 0"),
    ],
)
def test_errors_name_the_invalid_value(template, keys, value, message):
    template[keys[0]][keys[1]] = value
    with pytest.raises(TemplateError, match=message):
        parse_template(json.dumps(template).encode())


def test_accepted_template_encoding_round_trips(template):
    accepted = AcceptedTemplate(
        template["name"], 1, content_hash(template), "c1", 5.0, template
    )
    assert decode_accepted(encode_accepted(accepted)) == accepted


def test_accepted_template_with_a_wrong_hash_is_refused(template):
    accepted = AcceptedTemplate(template["name"], 1, "0" * 64, "c1", 5.0, template)
    with pytest.raises(TemplateError, match="hash"):
        decode_accepted(encode_accepted(accepted))
