"""Messages of etcd's v3 JSON gateway, the platform's published protocol.

Keys and values are encoded as base64, 64-bit integers as decimal strings.
"""

import base64
import binascii
import json
from collections.abc import Sequence
from typing import Any

from burdockthread_store.store import (
    ANY_REVISION,
    Change,
    Guard,
    KeyValue,
    Listing,
    WatchEvent,
)

RANGE_PATH = "/v3/kv/range"
TXN_PATH = "/v3/kv/txn"
WATCH_PATH = "/v3/watch"
LEASE_GRANT_PATH = "/v3/lease/grant"
LEASE_KEEPALIVE_PATH = "/v3/lease/keepalive"
LEASE_REVOKE_PATH = "/v3/lease/revoke"

JsonObject = dict[str, Any]

MAX_NUMBER_CHARS = 20


class WireError(ValueError):
    """A message that violates the protocol."""


def parse_object(data: bytes) -> JsonObject:
    """Decodes a message into a JSON object.

    Raises:
        WireError: The text is not JSON, or not a JSON object.
    """
    try:
        decoded = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise WireError(f"message of {len(data)} bytes is not JSON") from error
    return expect_object(decoded)


def expect_object(value: object) -> JsonObject:
    """Returns the value; raises `WireError` unless it is a JSON object."""
    if not isinstance(value, dict):
        raise WireError(f"expected a JSON object, got {type(value).__name__}")
    return value


def expect_text(item: JsonObject, name: str) -> str:
    """Returns a string field, or an empty string if the field is absent."""
    value = item.get(name, "")
    if not isinstance(value, str):
        raise WireError(f"{name}: expected a string, got {type(value).__name__}")
    return value


def expect_objects(item: JsonObject, name: str) -> list[JsonObject]:
    """Returns a field with a list of objects, empty if the field is absent."""
    value = item.get(name, [])
    if not isinstance(value, list):
        raise WireError(f"{name}: expected a list, got {type(value).__name__}")
    return [expect_object(entry) for entry in value]


def parse_number(item: JsonObject, name: str) -> int:
    """Returns a 64-bit integer field sent as a decimal string, or 0 if absent."""
    text = str(item.get(name, 0))
    if len(text) > MAX_NUMBER_CHARS or not text.removeprefix("-").isdecimal():
        raise WireError(
            f"{name}: expected a 64-bit integer, got {text[:MAX_NUMBER_CHARS]!r}"
        )
    return int(text)


def stream_result(item: JsonObject) -> JsonObject:
    """Returns the ``result`` object of a message in a stream, or an empty one."""
    return expect_object(item.get("result", {}))


def parse_lease(item: JsonObject) -> tuple[int, float]:
    """Returns the id and the time to live of a lease in seconds; 0 if expired."""
    return parse_number(item, "ID"), float(parse_number(item, "TTL"))


def parse_renewed_lease(item: JsonObject) -> tuple[int, float]:
    """Returns the lease in the answer to a renewal; see `parse_lease`."""
    return parse_lease(stream_result(item))


def encode_bytes(data: bytes) -> str:
    """Encodes bytes as base64 text."""
    return base64.b64encode(data).decode("ascii")


def decode_bytes(text: str) -> bytes:
    """Decodes base64 text; raises `WireError` if it is malformed."""
    try:
        return base64.b64decode(text, validate=True)
    except (binascii.Error, ValueError) as error:
        raise WireError(f"not base64: {error}") from error


def encode_key(key: str) -> str:
    """Encodes a key as base64 of its UTF-8 text."""
    return encode_bytes(key.encode())


def decode_key(text: str) -> str:
    """Decodes a key; raises `WireError` if it is not base64 of UTF-8 text."""
    try:
        return decode_bytes(text).decode()
    except UnicodeDecodeError as error:
        raise WireError(f"key is not UTF-8: {error}") from error


def prefix_end(prefix: str) -> str:
    """Returns the exclusive end of the range of keys with a prefix."""
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)


def range_request(key: str, *, prefix: bool) -> JsonObject:
    """Returns the request for one key, or for all keys below a prefix."""
    request: JsonObject = {"key": encode_key(key)}
    if prefix:
        request["range_end"] = encode_key(prefix_end(key))
    return request


def parse_key_values(response: JsonObject) -> tuple[KeyValue, ...]:
    """Returns the key-value pairs in the answer to a read."""
    return tuple(parse_key_value(item) for item in expect_objects(response, "kvs"))


def parse_listing(response: JsonObject) -> Listing:
    """Returns the key-value pairs of a read with its store-wide revision."""
    return Listing(parse_key_values(response), parse_revision(response))


def parse_key_value(item: JsonObject) -> KeyValue:
    """Returns one key-value pair of an answer."""
    return KeyValue(
        key=decode_key(expect_text(item, "key")),
        value=decode_bytes(expect_text(item, "value")),
        revision=parse_number(item, "mod_revision"),
    )


def parse_revision(response: JsonObject) -> int:
    """Returns the store-wide revision in the header of an answer."""
    return parse_number(expect_object(response.get("header", {})), "revision")


def txn_request(changes: Sequence[Change], guards: Sequence[Guard]) -> JsonObject:
    """Returns a transaction that applies all changes if every condition holds."""
    conditions: list[Guard | Change] = [
        *guards,
        *(c for c in changes if c.expected_revision != ANY_REVISION),
    ]
    return {
        "compare": [compare(condition) for condition in conditions],
        "success": [operation(change) for change in changes],
    }


def compare(condition: Guard | Change) -> JsonObject:
    """Returns the comparison of a key's revision for a change or guard."""
    return {
        "key": encode_key(condition.key),
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": str(condition.expected_revision),
    }


def operation(change: Change) -> JsonObject:
    """Returns the put or delete operation of a change."""
    key = encode_key(change.key)
    if change.value is None:
        return {"requestDeleteRange": {"key": key}}
    put = {"key": key, "value": encode_bytes(change.value)}
    if change.lease_id:
        put["lease"] = str(change.lease_id)
    return {"requestPut": put}


def watch_request(prefix: str, after_revision: int) -> JsonObject:
    """Returns the request that opens a watch after a revision."""
    return {
        "create_request": {
            "key": encode_key(prefix),
            "range_end": encode_key(prefix_end(prefix)),
            "start_revision": str(after_revision + 1),
        }
    }


def parse_watch_events(result: JsonObject) -> tuple[WatchEvent, ...]:
    """Returns the events in one message of a watch."""
    return tuple(parse_watch_event(item) for item in expect_objects(result, "events"))


def parse_watch_event(item: JsonObject) -> WatchEvent:
    """Returns one event of a watch; its value is None for a deletion."""
    found = parse_key_value(expect_object(item.get("kv")))
    deleted = item.get("type") == "DELETE"
    return WatchEvent(found.key, None if deleted else found.value, found.revision)
