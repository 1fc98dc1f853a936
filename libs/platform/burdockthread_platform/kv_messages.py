"""Messages of the platform's key-value store."""

import base64
import binascii
import json
from collections.abc import Callable, Sequence
from typing import NamedTuple, TypeVar

from burdockthread_model.errors import StoreUnavailableError, StoreUnknownError
from burdockthread_store.store import (
    ANY_REVISION,
    Change,
    Guard,
    KeyValue,
    ListingPage,
    WatchEvent,
)

from burdockthread_platform import wire

MAX_REASON_CHARS = 200
Parsed = TypeVar("Parsed")


class Answer(NamedTuple):
    """HTTP status and decoded body of an answer."""

    status: int
    body: wire.JsonObject


def parse_body(path: str, data: bytes) -> wire.JsonObject:
    """Decodes the body of an answer; an empty body gives an object without fields.

    Raises:
        StoreUnknownError: The body is not a JSON object.
    """
    if not data:
        return {}
    try:
        return wire.parse_object(data)
    except wire.WireError as error:
        raise StoreUnknownError(f"{path}: {error}") from error


def parse_or_unavailable(
    path: str, body: wire.JsonObject, parse: Callable[[wire.JsonObject], Parsed]
) -> Parsed:
    """Decodes an answer with a parser.

    Raises:
        StoreUnavailableError: The answer does not follow the protocol.
    """
    try:
        return parse(body)
    except wire.WireError as error:
        raise StoreUnavailableError(f"{path}: {error}") from error


def expect_success(path: str, answer: Answer) -> None:
    """Checks that an answer reports success.

    Raises:
        StoreUnavailableError: The status is not 200.
    """
    if answer.status != 200:
        reason = json.dumps(answer.body)[:MAX_REASON_CHARS]
        raise StoreUnavailableError(f"{path} answered {answer.status}: {reason}")


def parse_item(item: wire.JsonObject) -> KeyValue:
    """Decodes a key with its value and revision."""
    return KeyValue(
        key=wire.required_text(item, "key"),
        value=decode_value(wire.text(item, "value")),
        revision=wire.integer(item, "revision"),
    )


def decode_value(encoded: str) -> bytes:
    """Decodes a value from base64."""
    try:
        return base64.b64decode(encoded, validate=True)
    except (binascii.Error, ValueError) as error:
        raise wire.WireError("value", "not base64") from error


def parse_grant(body: wire.JsonObject) -> tuple[int, float]:
    """Decodes the id and the term in seconds of a lease that was granted."""
    return wire.integer(body, "lease", least=1), wire.number(body, "ttlMs") / 1000


def parse_page(body: wire.JsonObject) -> ListingPage:
    """Decodes one page of a listing.

    Raises:
        WireError: The page is malformed, or does not tell where the next one begins.
    """
    items = tuple(parse_item(item) for item in wire.objects(body, "items"))
    is_last = not wire.flag(body, "truncated")
    if not items and not is_last:
        raise wire.WireError("items", "expected an item in a truncated page")
    return ListingPage(items, parse_revision(body), is_last)


def parse_revision(body: wire.JsonObject, name: str = "currentRev") -> int:
    """Decodes a revision of the store, which is never zero."""
    return wire.integer(body, name, default=None, least=1)


def parse_events(body: wire.JsonObject) -> tuple[WatchEvent, ...]:
    """Decodes the events in the answer to a watch."""
    return tuple(parse_event(event) for event in wire.objects(body, "events"))


def parse_event(event: wire.JsonObject) -> WatchEvent:
    """Decodes one event; a deletion has no value."""
    if wire.flag(event, "deleted"):
        key = wire.required_text(event, "key")
        return WatchEvent(key, None, wire.integer(event, "revision"))
    return WatchEvent(*parse_item(event))


def txn_body(changes: Sequence[Change], guards: Sequence[Guard]) -> wire.JsonObject:
    """Encodes the body of a conditional write."""
    conditions: list[Change | Guard] = [*guards, *changes]
    return {
        "expected": [
            {"key": c.key, "revision": c.expected_revision}
            for c in conditions
            if c.expected_revision != ANY_REVISION
        ],
        "writes": [put_body(c) for c in changes if c.value is not None],
        "remove": [c.key for c in changes if c.value is None],
    }


def put_body(change: Change) -> wire.JsonObject:
    """Encodes the write of one key."""
    value = change.value or b""
    body: wire.JsonObject = {
        "key": change.key,
        "value": base64.b64encode(value).decode("ascii"),
    }
    if change.lease_id:
        body["lease"] = change.lease_id
    return body
