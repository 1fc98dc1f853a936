"""Messages of etcd's v3 JSON gateway, the platform's published protocol.

Keys and values travel as base64, 64-bit numbers as decimal text.
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
    """A message that does not follow the protocol."""


def parse_object(data: bytes) -> JsonObject:
    """Returns the JSON object of a message.

    Raises:
        WireError: The text holds no JSON object.
    """
    try:
        decoded = json.loads(data)
    except (ValueError, RecursionError) as error:
        raise WireError("not JSON") from error
    return expect_object(decoded)


def expect_object(value: object) -> JsonObject:
    """Returns a value that has to be a JSON object."""
    if not isinstance(value, dict):
        raise WireError(f"expected an object, got {type(value).__name__}")
    return value


def expect_text(item: JsonObject, name: str) -> str:
    """Returns a text field; an absent one is empty."""
    value = item.get(name, "")
    if not isinstance(value, str):
        raise WireError(f"{name}: expected text")
    return value


def expect_objects(item: JsonObject, name: str) -> list[JsonObject]:
    """Returns a field with a list of objects; an absent one is empty."""
    value = item.get(name, [])
    if not isinstance(value, list):
        raise WireError(f"{name}: expected a list")
    return [expect_object(entry) for entry in value]


def parse_number(item: JsonObject, name: str) -> int:
    """Returns a 64-bit number, given as decimal text; an absent one is 0."""
    text = str(item.get(name, 0))
    if len(text) > MAX_NUMBER_CHARS or not text.removeprefix("-").isdecimal():
        raise WireError(f"{name}: expected a number")
    return int(text)


def result_of(item: JsonObject) -> JsonObject:
    """Returns the object that a message of a stream wraps."""
    return expect_object(item.get("result", {}))


def parse_lease(item: JsonObject) -> tuple[int, float]:
    """Returns the id and the time to live in seconds of a lease; 0 if lapsed."""
    return parse_number(item, "ID"), float(parse_number(item, "TTL"))


def parse_kept_lease(item: JsonObject) -> tuple[int, float]:
    """Returns the lease of an answer to a renewal; see `parse_lease`."""
    return parse_lease(result_of(item))


def encode_bytes(data: bytes) -> str:
    """Returns bytes as base64 text."""
    return base64.b64encode(data).decode("ascii")


def decode_bytes(text: str) -> bytes:
    """Returns the bytes of base64 text."""
    try:
        return base64.b64decode(text, validate=True)
    except (binascii.Error, ValueError) as error:
        raise WireError("not base64") from error


def encode_key(key: str) -> str:
    """Returns a key as base64 text."""
    return encode_bytes(key.encode())


def decode_key(text: str) -> str:
    """Returns the key of base64 text."""
    try:
        return decode_bytes(text).decode()
    except UnicodeDecodeError as error:
        raise WireError("key is not UTF-8") from error


def prefix_end(prefix: str) -> str:
    """Returns the first key after all keys with a prefix."""
    return prefix[:-1] + chr(ord(prefix[-1]) + 1)


def range_request(key: str, *, prefix: bool) -> JsonObject:
    """Returns a read of one key or of all keys below a prefix."""
    request: JsonObject = {"key": encode_key(key)}
    if prefix:
        request["range_end"] = encode_key(prefix_end(key))
    return request


def parse_key_values(response: JsonObject) -> tuple[KeyValue, ...]:
    """Returns the keys of an answer to a read."""
    return tuple(parse_key_value(item) for item in expect_objects(response, "kvs"))


def parse_listing(response: JsonObject) -> Listing:
    """Returns the keys of an answer with the revision they were read at."""
    return Listing(parse_key_values(response), parse_revision(response))


def parse_key_value(item: JsonObject) -> KeyValue:
    """Returns one key of an answer."""
    return KeyValue(
        key=decode_key(expect_text(item, "key")),
        value=decode_bytes(expect_text(item, "value")),
        revision=parse_number(item, "mod_revision"),
    )


def parse_revision(response: JsonObject) -> int:
    """Returns the store-wide revision of an answer."""
    return parse_number(expect_object(response.get("header", {})), "revision")


def txn_request(changes: Sequence[Change], guards: Sequence[Guard]) -> JsonObject:
    """Returns a transaction that applies all changes if each condition holds."""
    conditions: list[Guard | Change] = [
        *guards,
        *(c for c in changes if c.expected_revision != ANY_REVISION),
    ]
    return {
        "compare": [compare(condition) for condition in conditions],
        "success": [operation(change) for change in changes],
    }


def compare(condition: Guard | Change) -> JsonObject:
    """Returns the condition of a change or guard."""
    return {
        "key": encode_key(condition.key),
        "target": "MOD",
        "result": "EQUAL",
        "mod_revision": str(condition.expected_revision),
    }


def operation(change: Change) -> JsonObject:
    """Returns the write of a change."""
    key = encode_key(change.key)
    if change.value is None:
        return {"requestDeleteRange": {"key": key}}
    put = {"key": key, "value": encode_bytes(change.value)}
    if change.lease_id:
        put["lease"] = str(change.lease_id)
    return {"requestPut": put}


def watch_request(prefix: str, after_revision: int) -> JsonObject:
    """Returns the request that opens a watch."""
    return {
        "create_request": {
            "key": encode_key(prefix),
            "range_end": encode_key(prefix_end(prefix)),
            "start_revision": str(after_revision + 1),
        }
    }


def parse_watch_events(result: JsonObject) -> tuple[WatchEvent, ...]:
    """Returns the events of one message of a watch."""
    return tuple(parse_watch_event(item) for item in expect_objects(result, "events"))


def parse_watch_event(item: JsonObject) -> WatchEvent:
    """Returns one event of a watch."""
    found = parse_key_value(expect_object(item.get("kv")))
    deleted = item.get("type") == "DELETE"
    return WatchEvent(found.key, None if deleted else found.value, found.revision)
