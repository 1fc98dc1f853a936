"""Encoding of records in the store across versions of the software."""

from typing import NamedTuple

import pytest
from burdockthread_model.records import RecordError
from burdockthread_scheduling.records import decode, encode


class Before(NamedTuple):
    """A record as an earlier version knows it."""

    name: str
    number: int = 0


class After(NamedTuple):
    """The record with one field added."""

    name: str
    number: int = 0
    names: tuple[str, ...] = ()


# Guards against records that an entry of the previous version cannot read, because
# they contain an added field.
@pytest.mark.parametrize("record", [After("a"), After("a", 3), After("a", 0)])
def test_unused_new_field_leaves_the_encoding_unchanged(record):
    assert decode(encode(record), Before) == record[:2]
    assert decode(encode(record), After) == record


def test_default_before_a_used_field_is_encoded():
    record = After("a", 0, ("b",))
    assert encode(record) == b'["a",0,["b"]]'
    assert decode(encode(record), After) == record
    with pytest.raises(RecordError):
        decode(encode(record), Before)
