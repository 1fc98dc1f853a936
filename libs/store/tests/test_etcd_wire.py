import json

from burdockthread_model.errors import StoreError
from burdockthread_store import etcd_wire as wire
from burdockthread_store.etcd_store import parse_watch_line
from hypothesis import given
from hypothesis import strategies as st

NAMES = st.sampled_from(
    (
        *("kvs", "kv", "key", "value", "events", "type", "header", "revision"),
        *("result", "mod_revision", "compact_revision", "canceled", "ID", "TTL"),
    )
)
VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=8)
    | st.binary(max_size=8).map(wire.encode_bytes),
    lambda inner: (
        st.lists(inner, max_size=3) | st.dictionaries(NAMES, inner, max_size=5)
    ),
    max_leaves=20,
)


@given(st.binary(max_size=60) | VALUES.map(lambda v: json.dumps(v).encode()))
def test_any_watch_line_is_decoded_or_refused(line):
    try:
        events = parse_watch_line(line)
    except (wire.WireError, StoreError):
        return
    assert isinstance(events, tuple)


@given(VALUES)
def test_any_answer_is_decoded_or_refused(value):
    for parse in (
        wire.parse_key_values,
        wire.parse_revision,
        wire.parse_lease,
        wire.stream_result,
    ):
        try:
            parse(wire.parse_object(json.dumps(value).encode()))
        except wire.WireError:
            continue


@given(st.text(min_size=1, max_size=20), st.binary(max_size=50), st.integers(0, 2**62))
def test_key_value_encoding_round_trips(key, value, revision):
    encoded = {
        "key": wire.encode_key(key),
        "value": wire.encode_bytes(value),
        "mod_revision": str(revision),
    }
    assert wire.parse_key_value(encoded) == (key, value, revision)
