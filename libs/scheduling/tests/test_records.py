"""The form of records in the store."""

from typing import NamedTuple

import pytest
from burdockthread_model.records import RecordError
from burdockthread_scheduling.records import decode, encode


class Before(NamedTuple):
    """A record as an earlier version knows it."""

    name: str
    number: int = 0


class After(NamedTuple):
    """The record with a field more."""

    name: str
    number: int = 0
    names: tuple[str, ...] = ()


# An entry of the version before could not read a record with a field more.
@pytest.mark.parametrize("record", [After("a"), After("a", 3), After("a", 0)])
def test_new_field_that_is_not_used_leaves_the_record_as_before(record):
    assert decode(encode(record), Before) == record[:2]
    assert decode(encode(record), After) == record


def test_field_before_one_that_is_used_is_kept():
    record = After("a", 0, ("b",))
    assert encode(record) == b'["a",0,["b"]]'
    assert decode(encode(record), After) == record
    with pytest.raises(RecordError):
        decode(encode(record), Before)
