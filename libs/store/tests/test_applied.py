import json

import pytest
from burdockthread_model.intended import AcceptedTemplate
from burdockthread_model.rendering import content_hash, encode_accepted
from burdockthread_store.applied import HEAD_PREFIX, AppliedConfiguration
from burdockthread_store.store import KeyValue
from hypothesis import given
from hypothesis import strategies as st

KEY = HEAD_PREFIX + "yard"


class RecordingLog:
    def __init__(self):
        self.events = []

    def info(self, name, **fields):
        self.events.append(name)

    warning = error = info


def accepted(version, vms=3):
    pools = {"bookings": {"vms": vms, "min_available": 1}}
    document = {"name": "yard", "organisations": {"trinacria": {}}, "pools": pools}
    document["services"] = {}
    hashed = content_hash(document)
    return AcceptedTemplate("yard", version, hashed, "yard:1", 0.0, document)


def item(template, **fields):
    value = json.loads(encode_accepted(template)) | fields
    return KeyValue(KEY, json.dumps(value).encode(), 1)


@given(st.lists(st.integers(1, 6), max_size=12))
def test_applied_version_never_decreases_in_any_order_of_delivery(versions):
    applied = AppliedConfiguration(RecordingLog())
    seen = []
    applied.listeners.append(lambda template: seen.append(template.version))
    for version in versions:
        applied.on_item(KEY, item(accepted(version)))
        assert applied.versions() == {"yard": max(seen)}
    assert seen == sorted(set(seen))


def test_template_of_a_deleted_head_stays_applied():
    applied = AppliedConfiguration(RecordingLog())
    applied.on_item(KEY, item(accepted(2)))
    applied.on_item(KEY, None)
    assert applied.versions() == {"yard": 2}


def test_different_content_under_the_applied_version_is_logged_and_refused():
    log = RecordingLog()
    applied = AppliedConfiguration(log)
    first, second = accepted(2), accepted(2, vms=9)
    applied.on_item(KEY, item(first))
    applied.on_item(KEY, item(second))
    assert applied.templates["yard"] == first
    assert log.events.count("configuration_diverged") == 1


@pytest.mark.parametrize(
    "fields",
    [
        {"version": "7"},
        {"version": None},
        {"version": True},
        {"version": 0},
        {"name": 7},
        {"name": "other"},
        {"content_hash": "0"},
        {"document": []},
        {"more": 1},
    ],
)
def test_malformed_head_is_refused_and_the_next_version_applied(fields):
    log = RecordingLog()
    applied = AppliedConfiguration(log)
    applied.on_item(KEY, item(accepted(1), **fields))
    assert applied.versions() == {}
    assert log.events == ["configuration_refused"]
    applied.on_item(KEY, item(accepted(2)))
    assert applied.versions() == {"yard": 2}
