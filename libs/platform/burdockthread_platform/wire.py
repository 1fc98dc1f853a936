"""Typed access to the fields of the platform's JSON messages."""

from typing import Any

import msgspec
from burdockthread_model.errors import BurdockthreadError

JsonObject = dict[str, Any]

MAX_INTEGER = 2**63 - 1
BODY_HEADERS = {"Content-Type": "application/json"}


class WireError(BurdockthreadError):
    """A message that does not follow the platform's protocol.

    Attributes:
        path: Path of the invalid field, such as ``steps[0].count``.
    """

    def __init__(self, path: str, reason: str) -> None:
        super().__init__(f"{path or 'body'}: {reason}")
        self.path = path


def parse_object(data: bytes) -> JsonObject:
    """Decodes a message that must be a JSON object.

    Raises:
        WireError: The message is not a JSON object.
    """
    try:
        value = msgspec.json.decode(data)
    except (msgspec.MsgspecError, UnicodeDecodeError, RecursionError) as error:
        raise WireError("", "not JSON") from error
    return as_object(value, "")


def encode(body: JsonObject) -> bytes:
    """Encodes a message without spaces."""
    return msgspec.json.encode(body)


def as_object(value: object, path: str) -> JsonObject:
    """Returns a value that must be an object."""
    if not isinstance(value, dict):
        raise WireError(path, "expected an object")
    return value


def objects(source: JsonObject, name: str, path: str = "") -> list[JsonObject]:
    """Returns a list of objects; an absent field gives an empty list."""
    values = source.get(name, [])
    if not isinstance(values, list):
        raise WireError(join(path, name), "expected a list")
    return [
        as_object(value, f"{join(path, name)}[{number}]")
        for number, value in enumerate(values)
    ]


def join(path: str, name: str) -> str:
    """Returns the path of a field below an object."""
    return f"{path}.{name}" if path else name


def text(source: JsonObject, name: str, path: str = "", default: str = "") -> str:
    """Returns a text; the default if the field is absent."""
    value = source.get(name, default)
    if not isinstance(value, str):
        raise WireError(join(path, name), "expected text")
    return value


def required_text(source: JsonObject, name: str, path: str = "") -> str:
    """Returns a text field that may not be empty."""
    value = text(source, name, path)
    if not value:
        raise WireError(join(path, name), "missing")
    return value


def integer(
    source: JsonObject,
    name: str,
    path: str = "",
    *,
    default: int | None = 0,
    least: int = 0,
    most: int = MAX_INTEGER,
) -> int:
    """Returns an integer within bounds.

    Args:
        source: Object with the field.
        name: Name of the field.
        path: Path of the object.
        default: Value of an absent field; None if the field is required.
        least: Smallest value allowed.
        most: Largest value allowed.
    """
    value = source.get(name, default)
    if isinstance(value, float) and value.is_integer():
        value = int(value)
    if isinstance(value, bool) or not isinstance(value, int):
        raise WireError(join(path, name), "expected an integer")
    if not least <= value <= most:
        raise WireError(join(path, name), f"not between {least} and {most}")
    return value


def number(
    source: JsonObject, name: str, path: str = "", default: float = 0.0
) -> float:
    """Returns a number of at least 0; the default if the field is absent."""
    value = source.get(name, default)
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise WireError(join(path, name), "expected a number")
    if not 0 <= value <= MAX_INTEGER:
        raise WireError(join(path, name), "out of range")
    return float(value)


def flag(source: JsonObject, name: str, path: str = "") -> bool:
    """Returns a Boolean; an absent field gives False."""
    value = source.get(name, False)
    if not isinstance(value, bool):
        raise WireError(join(path, name), "expected true or false")
    return value


def texts(
    source: JsonObject, name: str, path: str = "", default: tuple[()] | None = ()
) -> tuple[str, ...]:
    """Returns a list of texts; a default of None if the field is required."""
    values = source.get(name, default)
    if not isinstance(values, list | tuple) or not all(
        isinstance(v, str) for v in values
    ):
        raise WireError(join(path, name), "expected a list of texts")
    return tuple(values)
