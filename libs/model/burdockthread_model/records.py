"""NamedTuples as JSON objects, the form kept in the store and sent over HTTP."""

import json
from functools import cache
from typing import TypeVar, get_type_hints

import msgspec

from burdockthread_model.errors import BurdockthreadError
from burdockthread_model.rendering import canonical_json, to_plain

Record = TypeVar("Record", bound=tuple[object, ...])


class RecordError(BurdockthreadError):
    """Text that does not hold the record expected."""


def encode_record(record: tuple[object, ...]) -> bytes:
    """Returns a NamedTuple as JSON text with its field names."""
    return canonical_json(to_plain(record))


def decode_record(data: bytes, kind: type[Record]) -> Record:
    """Reads a NamedTuple from JSON text.

    Args:
        data: JSON object with the fields by name; missing ones take defaults.
        kind: NamedTuple class.

    Returns:
        The record.

    Raises:
        RecordError: The text is malformed or a field has the wrong type.
    """
    try:
        raw = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise RecordError(f"{kind.__name__}: not JSON: {error}") from error
    return record_from_plain(raw, kind)


def record_from_plain(raw: object, kind: type[Record]) -> Record:
    """Builds a NamedTuple from decoded JSON; see `decode_record`."""
    if not isinstance(raw, dict):
        raise RecordError(f"{kind.__name__}: expected an object")
    hints = field_types(kind)
    try:
        fields = {
            name: msgspec.convert(value, hints[name])
            for name, value in raw.items()
            if name in hints
        }
        return kind(**fields)
    except (msgspec.ValidationError, TypeError) as error:
        raise RecordError(f"{kind.__name__}: {error}") from error


@cache
def field_types(kind: type[tuple[object, ...]]) -> dict[str, object]:
    """Returns the types of a NamedTuple's fields by name."""
    return get_type_hints(kind)
