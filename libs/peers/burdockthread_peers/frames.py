"""Frames between entries: a length and a msgpack array.

Before the first frame, both sides prove with fresh nonces that they know the
shared key. Later frames are not signed: they rely on the integrity of the TCP
stream between VMs of one owner. An attacker who can write into such a stream
can also reach the endpoints directly.
"""

import asyncio
import hashlib
import hmac
import secrets
import struct
from collections.abc import Awaitable, Callable
from typing import NamedTuple

import msgpack
from burdockthread_model.errors import PeerProtocolError

LENGTH = struct.Struct(">I")
MAX_FRAME_BYTES = 2 * 1_048_576
MAX_HANDSHAKE_BYTES = 4_096
NONCE_BYTES = 32
HANDSHAKE_TIMEOUT_S = 5.0
PROTOCOL = "burdockthread/1"


class Frame(NamedTuple):
    """One message on the wire.

    Attributes:
        call_id: Number that the answer repeats; 0 if no answer is expected.
        kind: Name of the message class; `REPLY` or `FAILURE` for answers.
        fields: Fields of the message in order.
    """

    call_id: int
    kind: str
    fields: list[object]


REPLY = ""
FAILURE = "!"


def encode_frame(frame: Frame) -> bytes:
    """Returns a frame as bytes, with its length in front.

    Raises:
        PeerProtocolError: The frame is too large.
    """
    return with_length(msgpack.packb(list(frame)))


def with_length(payload: bytes) -> bytes:
    """Returns a payload with its length in front.

    Raises:
        PeerProtocolError: The payload is too large.
    """
    if len(payload) > MAX_FRAME_BYTES:
        raise PeerProtocolError(
            f"frame of {len(payload)} bytes exceeds {MAX_FRAME_BYTES} bytes"
        )
    return LENGTH.pack(len(payload)) + payload


async def read_payload(
    reader: asyncio.StreamReader,
    max_bytes: int,
    reserve: Callable[[int], Awaitable[None]] | None = None,
) -> object:
    """Reads a length and decodes one msgpack value of that length.

    Args:
        reader: Incoming side of the stream.
        max_bytes: Largest length.
        reserve: Waits until there is room for as many bytes, before they are read.

    Raises:
        PeerProtocolError: The payload is malformed or too large.
        asyncio.IncompleteReadError: The stream ended.
    """
    (length,) = LENGTH.unpack(await reader.readexactly(LENGTH.size))
    if length > max_bytes:
        raise PeerProtocolError(f"frame of {length} bytes exceeds {max_bytes} bytes")
    if reserve is not None:
        await reserve(length)
    payload = await reader.readexactly(length)
    try:
        return msgpack.unpackb(payload, strict_map_key=False)
    except Exception as error:
        raise PeerProtocolError(f"frame is not msgpack: {error}") from error


async def read_frame(
    reader: asyncio.StreamReader,
    reserve: Callable[[int], Awaitable[None]] | None = None,
) -> Frame:
    """Reads one frame; see `read_payload` for the arguments and errors."""
    match await read_payload(reader, MAX_FRAME_BYTES, reserve):
        case [int(call_id), str(kind), list(fields)]:
            return Frame(call_id, kind, fields)
    raise PeerProtocolError("frame is not an array of id, kind and fields")


class Hello(NamedTuple):
    """Greeting: the first message of the handshake, sent by both sides."""

    protocol: str
    name: str
    incarnation: str
    nonce: bytes


async def handshake(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    hello: Hello,
    key: bytes,
    *,
    dialled: bool,
) -> Hello:
    """Authenticates both sides of a stream by their knowledge of the shared key.

    Args:
        reader: Incoming side of the stream.
        writer: Outgoing side of the stream.
        hello: This side's greeting with a fresh nonce.
        key: Shared key from the settings.
        dialled: Whether this side opened the stream.

    Returns:
        The greeting of the other side.

    Raises:
        PeerProtocolError: The other side's message is malformed, or the other
            side has another key.
    """
    writer.write(with_length(msgpack.packb(list(hello))))
    other = parse_hello(await read_payload(reader, MAX_HANDSHAKE_BYTES))
    writer.write(with_length(msgpack.packb(proof(key, hello, other, dialled))))
    received = await read_payload(reader, MAX_HANDSHAKE_BYTES)
    expected = proof(key, other, hello, not dialled)
    if not isinstance(received, bytes) or not hmac.compare_digest(received, expected):
        raise PeerProtocolError("the peer does not know the shared key")
    return other


def new_hello(name: str, incarnation: str) -> Hello:
    """Returns a greeting with a fresh nonce."""
    return Hello(PROTOCOL, name, incarnation, secrets.token_bytes(NONCE_BYTES))


def parse_hello(payload: object) -> Hello:
    """Decodes a greeting.

    Raises:
        PeerProtocolError: The greeting is malformed or of another protocol.
    """
    match payload:
        case [str(protocol), str(name), str(incarnation), bytes(nonce)]:
            if protocol != PROTOCOL:
                raise PeerProtocolError(f"unknown protocol {protocol!r}")
            if len(nonce) != NONCE_BYTES:
                raise PeerProtocolError(
                    f"nonce has {len(nonce)} bytes instead of {NONCE_BYTES}"
                )
            return Hello(protocol, name, incarnation, nonce)
    raise PeerProtocolError("greeting is malformed")


def proof(key: bytes, sender: Hello, receiver: Hello, dialled: bool) -> bytes:
    """Returns the HMAC with which a sender proves that it knows the key.

    The role and both nonces are included, so that a proof can be neither
    replayed nor reflected.
    """
    role = b"dial" if dialled else b"accept"
    names = msgpack.packb([sender.name, sender.incarnation, receiver.name])
    message = role + sender.nonce + receiver.nonce + names
    return hmac.new(key, message, hashlib.sha256).digest()
