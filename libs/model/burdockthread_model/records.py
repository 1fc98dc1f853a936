"""Encoding of NamedTuples as JSON objects, for the store and for HTTP."""

import json
from functools import cache
from typing import TypeVar, get_type_hints

import msgspec

from burdockthread_model.errors import BurdockthreadError
from burdockthread_model.rendering import canonical_json, to_plain

Record = TypeVar("Record", bound=tuple[object, ...])


class RecordError(BurdockthreadError):
    """A text cannot be decoded into the expected record."""


def encode_record(record: tuple[object, ...]) -> bytes:
    """Encodes a NamedTuple as a JSON object keyed by field name."""
    return canonical_json(to_plain(record))


def decode_record(data: bytes, kind: type[Record]) -> Record:
    """Decodes a NamedTuple from JSON text.

    Args:
        data: JSON object keyed by field name; missing fields take their defaults
            and unknown ones are ignored.
        kind: NamedTuple class to decode into.

    Returns:
        The record.

    Raises:
        RecordError: The text is malformed, a field without a default is missing, or
            a field has the wrong type.
    """
    try:
        raw = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise RecordError(f"{kind.__name__}: not JSON: {error}") from error
    return record_from_plain(raw, kind)


def record_from_plain(raw: object, kind: type[Record]) -> Record:
    """Builds a NamedTuple from decoded JSON; see `decode_record`."""
    if not isinstance(raw, dict):
        raise RecordError(
            f"{kind.__name__}: expected a JSON object, got {type(raw).__name__}"
        )
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
    """Returns the field types of a NamedTuple by name; cached by class."""
    return get_type_hints(kind)
